package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is an event of go test -json, see go doc test2json.
type event struct {
	Action, Package, Test, Output, ImportPath, FailedBuild string
}

// Actions of events, and results of tests.
const (
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionRun         = "run"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionBuildFail   = "build-fail"
)

// testRun is a test that has begun, and its output so far.
type testRun struct {
	name   string
	result string // an action, or nothing until it ends
	output []string
}

// pkgRun is a package whose tests run.
type pkgRun struct {
	tests   []*testRun
	byName  map[string]*testRun
	output  []string
	crash   string // why it ended otherwise than by its tests' results
	summary bool   // the test binary itself reported that tests failed
}

// judge reads the events of go test and decides whether the run passes.
type judge struct {
	list    []known
	results []string // of the listed tests, as in testRun
	out     io.Writer
	pkgs    map[string]*pkgRun

	passed, failed, skipped int
	faults                  []string // what nothing excuses
}

func newJudge(list []known, out io.Writer) *judge {
	return &judge{list: list, results: make([]string, len(list)), out: out, pkgs: map[string]*pkgRun{}}
}

// fault records what nothing excuses.
func (j *judge) fault(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// readAll reads all events. Lines that are no events are printed as they are.
func (j *judge) readAll(r io.Reader) error {
	b := bufio.NewReader(r)
	for {
		line, err := b.ReadString('\n')
		if line != "" {
			var e event
			if json.Unmarshal([]byte(line), &e) != nil {
				fmt.Fprint(j.out, line)
			} else {
				j.handle(e)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (j *judge) handle(e event) {
	switch e.Action {
	case actionBuildOutput:
		fmt.Fprint(j.out, e.Output)
		return
	case actionBuildFail:
		j.fault("%s does not build", e.ImportPath)
		return
	}
	p := j.pkgs[e.Package]
	if p == nil {
		p = &pkgRun{byName: map[string]*testRun{}}
		j.pkgs[e.Package] = p
	}
	switch e.Action {
	case actionOutput:
		p.addOutput(e)
	case actionRun:
		t := &testRun{name: e.Test}
		p.tests, p.byName[e.Test] = append(p.tests, t), t
	case actionPass, actionFail, actionSkip:
		if t := p.byName[e.Test]; t != nil {
			t.result = e.Action
		}
		if e.Test == "" { // the package itself
			j.finish(e, p)
			delete(j.pkgs, e.Package)
		}
	}
}

// addOutput keeps output and looks for signs that the package does not end by itself.
func (p *pkgRun) addOutput(e event) {
	switch line := strings.TrimSuffix(e.Output, "\n"); {
	case line == "WARNING: DATA RACE":
		p.crash = "a data race"
	case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "):
		p.crash = line
	case line == "FAIL" && e.Test == "":
		p.summary = true
	}
	if t := p.byName[e.Test]; t != nil {
		t.output = append(t.output, e.Output)
	} else {
		p.output = append(p.output, e.Output)
	}
}

// finish judges a package that has ended, and prints of it what go test would.
func (j *judge) finish(e event, p *pkgRun) {
	failed := 0
	for _, t := range p.tests {
		failed += j.finishTest(e.Package, p, t)
	}
	if e.Action != actionFail {
		if n := len(p.output); n > 0 {
			fmt.Fprint(j.out, p.output[n-1])
		}
		return
	}
	fmt.Fprint(j.out, strings.Join(p.output, ""))
	j.failed += max(failed, 1)
	if p.crash == "" && (failed == 0 || !p.summary) {
		p.crash = "it did not end by its tests' verdicts"
	}
	switch {
	case e.FailedBuild != "":
		j.fault("%s does not build", e.Package)
	case p.crash != "":
		j.fault("%s: %s", e.Package, p.crash)
	default:
		j.judgeFailures(e.Package, p)
	}
}

// finishTest counts a test of a package that has ended, and prints the output of one that
// did not pass. It returns 1 if the test failed or did not end, otherwise 0.
func (j *judge) finishTest(pkg string, p *pkgRun, t *testRun) (failed int) {
	for i, k := range j.list {
		if k.is(pkg, t.name) {
			j.results[i] = t.result
		}
	}
	switch t.result {
	case actionPass:
		j.passed++
		return 0
	case actionSkip:
		j.skipped++
		fmt.Fprintf(j.out, "skipped: %s.%s\n", pkg, t.name)
		return 0
	case actionFail:
	default:
		p.crash = "it ended while " + t.name + " ran"
	}
	fmt.Fprint(j.out, strings.Join(t.output, ""))
	return 1
}

// judgeFailures records the failed tests of a package that nothing excuses.
func (j *judge) judgeFailures(pkg string, p *pkgRun) {
	for _, t := range p.tests {
		if t.result == actionFail && !j.excused(pkg, p, t) {
			j.fault("%s.%s failed", pkg, t.name)
		}
	}
}

// excused says whether a failed test is listed, or failed only because of listed subtests:
// then it has no output of its own.
func (j *judge) excused(pkg string, p *pkgRun, t *testRun) bool {
	if slices.ContainsFunc(j.list, func(k known) bool { return k.is(pkg, t.name) }) {
		return true
	}
	subtests := 0
	for _, s := range p.tests {
		if s.result == actionFail && strings.HasPrefix(s.name, t.name+"/") {
			if !j.excused(pkg, p, s) {
				return false
			}
			subtests++
		}
	}
	return subtests > 0 && !slices.ContainsFunc(t.output, isOwnOutput)
}

// isOwnOutput says whether a line of output was not written by the testing package.
func isOwnOutput(line string) bool {
	line = strings.TrimSpace(line)
	return !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- FAIL: ")
}

// verdict prints the results of the listed tests, the faults and the counts, and says
// whether there are no faults.
func (j *judge) verdict() bool {
	for pkg := range j.pkgs {
		j.fault("%s did not end", pkg)
	}
	for i, k := range j.list {
		name := k.pkg + "." + k.test
		switch j.results[i] {
		case actionFail:
			fmt.Fprintf(j.out, "known red: %s, %s, %s\n", name, k.cause, k.issue)
		case actionPass:
			fmt.Fprintf(j.out, "known red, but passes again: %s, %s, %s: take it off the list\n", name, k.cause, k.issue)
		case actionSkip:
			j.fault("%s is listed but was skipped", name)
		default:
			j.fault("%s is listed but did not run to an end, or there is no such test", name)
		}
	}
	slices.Sort(j.faults)
	for _, f := range slices.Compact(j.faults) {
		fmt.Fprintln(j.out, "not excused:", f)
	}
	fmt.Fprintf(j.out, "%d passed, %d failed\n", j.passed, j.failed)
	return len(j.faults) == 0
}

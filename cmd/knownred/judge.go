package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is what go test -json says, see go doc test2json.
type event struct {
	Action, Package, Test, Output, ImportPath, FailedBuild string
}

// testRun is a test on its way, and its output so far.
type testRun struct {
	name, result string
	output       []string
}

// pkgRun is a package on its way.
type pkgRun struct {
	tests   []*testRun
	byName  map[string]*testRun
	output  []string
	died    string // why it ended otherwise than by its tests' verdicts
	summary bool   // the test binary said itself that tests failed
}

// judge reads the events of go test and decides.
type judge struct {
	list    []known
	results []string // of the listed tests: pass, fail, skip, or nothing
	out     io.Writer
	pkgs    map[string]*pkgRun

	passed, failed, skipped int
	faults                  []string // what nothing excuses
}

func newJudge(list []known, out io.Writer) *judge {
	return &judge{list: list, results: make([]string, len(list)), out: out, pkgs: map[string]*pkgRun{}}
}

func (j *judge) wrong(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// readAll takes all events. What is no event is printed as it is.
func (j *judge) readAll(r io.Reader) error {
	b := bufio.NewReader(r)
	for {
		line, err := b.ReadString('\n')
		var e event
		if line != "" && json.Unmarshal([]byte(line), &e) != nil {
			fmt.Fprint(j.out, line)
		} else if line != "" {
			j.take(e)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (j *judge) take(e event) {
	switch e.Action {
	case "build-output":
		fmt.Fprint(j.out, e.Output)
		return
	case "build-fail":
		j.wrong("%s does not build", e.ImportPath)
		return
	}
	p := j.pkgs[e.Package]
	if p == nil {
		p = &pkgRun{byName: map[string]*testRun{}}
		j.pkgs[e.Package] = p
	}
	switch e.Action {
	case "output":
		p.said(e)
	case "run":
		t := &testRun{name: e.Test}
		p.tests, p.byName[e.Test] = append(p.tests, t), t
	case "pass", "fail", "skip":
		if t := p.byName[e.Test]; t != nil {
			t.result = e.Action
		}
		if e.Test == "" {
			j.close(e, p)
			delete(j.pkgs, e.Package)
		}
	}
}

// said keeps output and looks for signs that the package did not end by itself.
func (p *pkgRun) said(e event) {
	switch line := strings.TrimSuffix(e.Output, "\n"); {
	case line == "WARNING: DATA RACE":
		p.died = "a data race"
	case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "):
		p.died = line
	case line == "FAIL" && e.Test == "":
		p.summary = true
	}
	if t := p.byName[e.Test]; t != nil {
		t.output = append(t.output, e.Output)
	} else {
		p.output = append(p.output, e.Output)
	}
}

// close judges a package that has ended and prints of it what go test would.
func (j *judge) close(e event, p *pkgRun) {
	failed := 0
	for _, t := range p.tests {
		switch t.result {
		case "pass":
			j.passed++
		case "skip":
			j.skipped++
			fmt.Fprintf(j.out, "skipped: %s.%s\n", e.Package, t.name)
		case "fail":
			failed++
		default:
			failed++
			p.died = "it ended while " + t.name + " ran"
		}
		for i, k := range j.list {
			if k.is(e.Package, t.name) {
				j.results[i] = t.result
			}
		}
		if t.result != "pass" && t.result != "skip" {
			fmt.Fprint(j.out, strings.Join(t.output, ""))
		}
	}
	if e.Action != "fail" {
		if n := len(p.output); n > 0 {
			fmt.Fprint(j.out, p.output[n-1])
		}
		return
	}
	fmt.Fprint(j.out, strings.Join(p.output, ""))
	j.failed += max(failed, 1)
	if p.died == "" && (failed == 0 || !p.summary) {
		p.died = "it did not end by its tests' verdicts"
	}
	switch {
	case e.FailedBuild != "":
		j.wrong("%s does not build", e.Package)
	case p.died != "":
		j.wrong("%s: %s", e.Package, p.died)
	default:
		for _, t := range p.tests {
			if t.result == "fail" && !j.excused(e.Package, p, t) {
				j.wrong("%s.%s failed", e.Package, t.name)
			}
		}
	}
}

// excused says whether a failed test is listed, or failed because of listed subtests
// only: then it has nothing to say itself.
func (j *judge) excused(pkg string, p *pkgRun, t *testRun) bool {
	if slices.ContainsFunc(j.list, func(k known) bool { return k.is(pkg, t.name) }) {
		return true
	}
	subs := 0
	for _, s := range p.tests {
		if s.result == "fail" && strings.HasPrefix(s.name, t.name+"/") {
			if !j.excused(pkg, p, s) {
				return false
			}
			subs++
		}
	}
	return subs > 0 && !slices.ContainsFunc(t.output, func(line string) bool {
		line = strings.TrimSpace(line)
		return !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- FAIL: ")
	})
}

// verdict prints the end and says whether all is well.
func (j *judge) verdict() bool {
	for pkg := range j.pkgs {
		j.wrong("%s did not end", pkg)
	}
	for i, k := range j.list {
		name := k.pkg + "." + k.test
		switch j.results[i] {
		case "fail":
			fmt.Fprintf(j.out, "known red: %s, %s, %s\n", name, k.cause, k.issue)
		case "pass":
			fmt.Fprintf(j.out, "known red, but passes again: %s, %s, %s: take it off the list\n", name, k.cause, k.issue)
		case "skip":
			j.wrong("%s is listed but was skipped", name)
		default:
			j.wrong("%s is listed but did not run to an end, or there is no such test", name)
		}
	}
	slices.Sort(j.faults)
	for _, f := range slices.Compact(j.faults) {
		fmt.Fprintln(j.out, "not excused:", f)
	}
	fmt.Fprintf(j.out, "%d passed, %d failed\n", j.passed, j.failed)
	return len(j.faults) == 0
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// testEvent is an event that go test -json prints. The fields are described by go doc test2json.
type testEvent struct {
	Action, Package, Test, Output, ImportPath, FailedBuild string
}

// Values of testEvent.Action. Those for pass, fail and skip are also the results of tests.
const (
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionRun         = "run"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionBuildFail   = "build-fail"
)

// testRun is a test that has started.
type testRun struct {
	name   string
	result string   // actionPass, actionFail or actionSkip; empty until the test ends
	output []string // lines printed so far
}

// packageRun is a package whose tests are running.
type packageRun struct {
	tests           []*testRun
	byName          map[string]*testRun
	output          []string
	abortCause      string // why the test binary aborted; empty if it ended with its tests' results
	reportedFailure bool   // the test binary printed FAIL for the whole package
}

// evaluator reads the events of go test and decides whether the run passes: each failure must be
// excused by a known failure.
type evaluator struct {
	knownFailures   []knownFailure
	knownResults    []string // result of each known failure's test, see testRun.result
	out             io.Writer
	runningPackages map[string]*packageRun

	passed, failed, skipped int
	unexcused               []string // failures that no known failure excuses
}

// newEvaluator returns an evaluator that prints to out.
func newEvaluator(list []knownFailure, out io.Writer) *evaluator {
	return &evaluator{
		knownFailures:   list,
		knownResults:    make([]string, len(list)),
		out:             out,
		runningPackages: map[string]*packageRun{},
	}
}

// addUnexcused records a failure that no known failure excuses.
func (e *evaluator) addUnexcused(format string, args ...any) {
	e.unexcused = append(e.unexcused, fmt.Sprintf(format, args...))
}

// readAll reads and handles all events. Lines that are not events are printed unchanged.
func (e *evaluator) readAll(r io.Reader) error {
	reader := bufio.NewReader(r)
	for {
		line, err := reader.ReadString('\n')
		if line != "" {
			var event testEvent
			if json.Unmarshal([]byte(line), &event) != nil {
				fmt.Fprint(e.out, line)
			} else {
				e.handle(event)
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

// handle updates the state of the package and test that an event is about.
func (e *evaluator) handle(event testEvent) {
	switch event.Action {
	case actionBuildOutput:
		fmt.Fprint(e.out, event.Output)
		return
	case actionBuildFail:
		e.addUnexcused("%s does not build", event.ImportPath)
		return
	}
	p := e.runningPackages[event.Package]
	if p == nil {
		p = &packageRun{byName: map[string]*testRun{}}
		e.runningPackages[event.Package] = p
	}
	switch event.Action {
	case actionOutput:
		p.addOutput(event)
	case actionRun:
		test := &testRun{name: event.Test}
		p.tests, p.byName[event.Test] = append(p.tests, test), test
	case actionPass, actionFail, actionSkip:
		if test := p.byName[event.Test]; test != nil {
			test.result = event.Action
		}
		if event.Test == "" { // the package itself
			e.finishPackage(event, p)
			delete(e.runningPackages, event.Package)
		}
	}
}

// addOutput stores a line of output and checks whether it shows that the test binary aborts.
func (p *packageRun) addOutput(event testEvent) {
	switch line := strings.TrimSuffix(event.Output, "\n"); {
	case line == "WARNING: DATA RACE":
		p.abortCause = "a data race"
	case strings.HasPrefix(line, "panic: "), strings.HasPrefix(line, "fatal error: "):
		p.abortCause = line
	case line == "FAIL" && event.Test == "":
		p.reportedFailure = true
	}
	if test := p.byName[event.Test]; test != nil {
		test.output = append(test.output, event.Output)
	} else {
		p.output = append(p.output, event.Output)
	}
}

// finishPackage evaluates a package that has ended, and prints what go test would print for it.
func (e *evaluator) finishPackage(event testEvent, p *packageRun) {
	failedTests := 0
	for _, test := range p.tests {
		failedTests += e.finishTest(event.Package, p, test)
	}
	if event.Action != actionFail {
		if n := len(p.output); n > 0 {
			fmt.Fprint(e.out, p.output[n-1])
		}
		return
	}
	fmt.Fprint(e.out, strings.Join(p.output, ""))
	e.failed += max(failedTests, 1)
	if p.abortCause == "" && (failedTests == 0 || !p.reportedFailure) {
		p.abortCause = "the test binary failed without reporting a failed test"
	}
	switch {
	case event.FailedBuild != "":
		e.addUnexcused("%s does not build", event.Package)
	case p.abortCause != "":
		e.addUnexcused("%s: %s", event.Package, p.abortCause)
	default:
		e.recordUnexcusedTests(event.Package, p)
	}
}

// finishTest counts a test of a package that has ended, and prints the output of a test that did
// not pass. It returns 1 if the test failed or did not end, otherwise 0.
func (e *evaluator) finishTest(pkg string, p *packageRun, test *testRun) (failed int) {
	for i, known := range e.knownFailures {
		if known.matches(pkg, test.name) {
			e.knownResults[i] = test.result
		}
	}
	switch test.result {
	case actionPass:
		e.passed++
		return 0
	case actionSkip:
		e.skipped++
		fmt.Fprintf(e.out, "skipped: %s.%s\n", pkg, test.name)
		return 0
	case actionFail:
	default:
		p.abortCause = "the test binary exited while " + test.name + " was running"
	}
	fmt.Fprint(e.out, strings.Join(test.output, ""))
	return 1
}

// recordUnexcusedTests records the failed tests of a package that no known failure excuses.
func (e *evaluator) recordUnexcusedTests(pkg string, p *packageRun) {
	for _, test := range p.tests {
		if test.result == actionFail && !e.isExcused(pkg, p, test) {
			e.addUnexcused("%s.%s failed", pkg, test.name)
		}
	}
}

// isExcused reports whether a failed test is listed, or failed only because of listed subtests:
// then all its failed subtests are excused, and it has printed no output of its own.
func (e *evaluator) isExcused(pkg string, p *packageRun, test *testRun) bool {
	if slices.ContainsFunc(e.knownFailures, func(known knownFailure) bool { return known.matches(pkg, test.name) }) {
		return true
	}
	excusedSubtests := 0
	for _, subtest := range p.tests {
		if subtest.result == actionFail && strings.HasPrefix(subtest.name, test.name+"/") {
			if !e.isExcused(pkg, p, subtest) {
				return false
			}
			excusedSubtests++
		}
	}
	return excusedSubtests > 0 && !slices.ContainsFunc(test.output, isOwnOutput)
}

// isOwnOutput reports whether a line of output was written by the test, not by the testing
// package.
func isOwnOutput(line string) bool {
	line = strings.TrimSpace(line)
	return !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- FAIL: ")
}

// printSummary prints the results of the listed tests, the unexcused failures and the counts. It
// reports whether there are no unexcused failures.
func (e *evaluator) printSummary() bool {
	for pkg := range e.runningPackages {
		e.addUnexcused("%s did not finish", pkg)
	}
	for i, known := range e.knownFailures {
		name := known.pkg + "." + known.test
		switch e.knownResults[i] {
		case actionFail:
			fmt.Fprintf(e.out, "known red: %s, %s, %s\n", name, known.cause, known.issue)
		case actionPass:
			fmt.Fprintf(e.out, "known red, but passes again: %s, %s, %s: remove it from the list\n",
				name, known.cause, known.issue)
		case actionSkip:
			e.addUnexcused("%s is listed but was skipped", name)
		default:
			e.addUnexcused("%s is listed but did not finish, or does not exist", name)
		}
	}
	slices.Sort(e.unexcused)
	for _, failure := range slices.Compact(e.unexcused) {
		fmt.Fprintln(e.out, "not excused:", failure)
	}
	fmt.Fprintf(e.out, "%d passed, %d failed\n", e.passed, e.failed)
	return len(e.unexcused) == 0
}

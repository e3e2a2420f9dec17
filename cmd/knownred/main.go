// Command knownred runs go test and excuses the failures of the tests in a list of known failures.
//
//	knownred LIST go test [flags] [packages]
//
// It prints the output of failed tests, the last line of output of each package, the excused
// failures and, at the end, the numbers of passed and failed tests. Both numbers include the
// tests of the list.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
)

// Exit statuses of the command.
const (
	exitPassed = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs go test and returns the exit status: exitPassed if all tests passed or were excused,
// exitUsage if the command line is invalid, otherwise exitFailed.
func run(args []string, out, errs io.Writer) int {
	if len(args) < 3 || args[1] != "go" || args[2] != "test" {
		fmt.Fprintln(errs, "usage: knownred LIST go test [flags] [packages]")
		return exitUsage
	}
	knownFailures, err := loadList(args[0])
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	cmd := exec.Command("go", slices.Insert(slices.Clone(args[2:]), 1, "-json")...)
	cmd.Stderr = errs
	events, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	e := newEvaluator(knownFailures, out)
	readErr := e.readAll(events)
	waitErr := cmd.Wait()
	if readErr != nil {
		e.addUnexcused("reading the events of go test: %v", readErr)
	}
	switch {
	case waitErr != nil && e.failed == 0:
		e.addUnexcused("go test: %v, although no test failed", waitErr)
	case e.passed+e.failed == 0:
		e.addUnexcused("no test ran")
	}
	if !e.printSummary() {
		return exitFailed
	}
	return exitPassed
}

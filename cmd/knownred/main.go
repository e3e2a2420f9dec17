// Command knownred runs the tests and passes over none that fail but those that a list
// names: knownred LIST go test [flags] [packages]. It prints what go test prints of
// failed tests, its closing line of each package, what the list excused and, last, a
// line with the numbers of tests that passed and failed, those of the list included.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit status: 0 if everything passed or was excused, 1 if not, 2 if the
// command line is wrong.
func run(args []string, out, errs io.Writer) int {
	if len(args) < 3 || args[1] != "go" || args[2] != "test" {
		fmt.Fprintln(errs, "usage: knownred LIST go test [flags] [packages]")
		return 2
	}
	list, err := loadList(args[0])
	if err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	cmd := exec.Command("go", slices.Insert(slices.Clone(args[2:]), 1, "-json")...)
	cmd.Stderr = errs
	events, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return 1
	}
	j := newJudge(list, out)
	read := j.readAll(events)
	ended := cmd.Wait()
	if read != nil {
		j.wrong("events of go test: %v", read)
	}
	switch {
	case ended != nil && j.failed == 0:
		j.wrong("go test: %v, though nothing failed", ended)
	case j.passed+j.failed == 0:
		j.wrong("no test ran")
	}
	if !j.verdict() {
		return 1
	}
	return 0
}

package main

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
)

// maxKnownFailures is the maximum number of tests in the list of known failures.
const maxKnownFailures = 3

// knownFailure is a test that is known to fail: its package and name, the cause of the failure,
// and the issue that tracks it.
type knownFailure struct {
	pkg, test, cause, issue string
}

// issuePattern matches the number of an issue, such as 16, #16 or issue 16.
var issuePattern = regexp.MustCompile(`^(issue )?#?[0-9]+$`)

// loadList reads the list of known failures from a file. If the file does not exist, the list is
// empty.
func loadList(path string) ([]knownFailure, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	list, err := parseList(string(data))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// parseList parses lines of the form "PACKAGE.TEST, CAUSE, ISSUE". The package is its import path,
// with or without the module path. Empty lines and lines that begin with # are ignored.
func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		known, err := parseLine(line)
		if err == nil {
			err = checkAddition(list, known)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		list = append(list, known)
	}
	return list, nil
}

// parseLine parses one line of the list. The cause may contain commas.
func parseLine(line string) (knownFailure, error) {
	name, rest, _ := strings.Cut(line, ",")
	last := strings.LastIndex(rest, ",")
	if last < 0 {
		return knownFailure{}, fmt.Errorf("expected PACKAGE.TEST, CAUSE, ISSUE, got %q", line)
	}
	known := knownFailure{cause: strings.TrimSpace(rest[:last]), issue: strings.TrimSpace(rest[last+1:])}
	if dot := strings.Index(name, ".Test"); dot > 0 {
		known.pkg, known.test = strings.TrimSpace(name[:dot]), strings.TrimSpace(name[dot+1:])
	}
	switch {
	case known.test == "":
		return knownFailure{}, fmt.Errorf("expected the test of a package, such as internal/core.TestName, got %q", name)
	case known.cause == "":
		return knownFailure{}, errors.New("expected a cause between PACKAGE.TEST and ISSUE, got none")
	case !issuePattern.MatchString(known.issue):
		return knownFailure{}, fmt.Errorf("expected an issue number, such as #16, got %q", known.issue)
	}
	return known, nil
}

// checkAddition returns an error if the list is full or already contains the test.
func checkAddition(list []knownFailure, known knownFailure) error {
	if len(list) == maxKnownFailures {
		return fmt.Errorf("expected at most %d tests, got more", maxKnownFailures)
	}
	for _, other := range list {
		if other.pkg == known.pkg && other.test == known.test {
			return fmt.Errorf("expected each test once, got %s.%s twice", known.pkg, known.test)
		}
	}
	return nil
}

// matches reports whether the known failure is that of the given test.
func (f knownFailure) matches(pkg, test string) bool {
	return f.test == test && (f.pkg == pkg || strings.HasSuffix(pkg, "/"+f.pkg))
}

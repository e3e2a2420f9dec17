package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// maxKnown is how many tests may be known to fail at a time.
const maxKnown = 3

// known is a test that fails for a fault that is known: where, its name, why, and the
// issue that will mend it.
type known struct {
	pkg, test, cause, issue string
}

var issueForm = regexp.MustCompile(`^(issue )?#?[0-9]+$`)

// loadList reads a list; one that does not exist is empty.
func loadList(path string) ([]known, error) {
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

// parseList reads lines of the form "PACKAGE.TEST, CAUSE, ISSUE". The package is as
// go test names it, or without the module in front. Empty lines and those that begin
// with # are ignored.
func parseList(text string) ([]known, error) {
	var list []known
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		wrong := func(why string) ([]known, error) { return nil, fmt.Errorf("line %d: %s", i+1, why) }
		name, rest, _ := strings.Cut(line, ",")
		last := strings.LastIndex(rest, ",")
		if last < 0 {
			return wrong("must be: PACKAGE.TEST, CAUSE, ISSUE")
		}
		at := strings.Index(name, ".Test")
		k := known{cause: strings.TrimSpace(rest[:last]), issue: strings.TrimSpace(rest[last+1:])}
		if at > 0 {
			k.pkg, k.test = strings.TrimSpace(name[:at]), strings.TrimSpace(name[at+1:])
		}
		switch {
		case k.test == "":
			return wrong("names no test of a package, such as internal/core.TestName")
		case k.cause == "":
			return wrong("names no cause")
		case !issueForm.MatchString(k.issue):
			return wrong("names no issue by its number")
		case len(list) == maxKnown:
			return wrong(fmt.Sprintf("more than %d tests", maxKnown))
		}
		for _, o := range list {
			if o.pkg == k.pkg && o.test == k.test {
				return wrong("names a test again")
			}
		}
		list = append(list, k)
	}
	return list, nil
}

// is says whether the line means the test.
func (k known) is(pkg, test string) bool {
	return k.test == test && (k.pkg == pkg || strings.HasSuffix(pkg, "/"+k.pkg))
}

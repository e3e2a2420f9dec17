package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testRules = `max_source_lines = 5
max_test_lines = 8
[[words]]
words = ["baton", "tenure"]
comments = true
allow = ["wire/", "peer/messages.go"]
instead = "fencing token, or leadership term"
[[words]]
words = ["part"]
instead = "shard"
[imports]
"low" = []
"high" = ["low"]
`

// repository writes files into a directory of the test's own.
func repository(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range files {
		name = filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		require.NoError(t, os.WriteFile(name, []byte(content), 0o644))
	}
	return dir
}

func TestViolationsAreNamed(t *testing.T) {
	const low, high = "package low\n", "package high\n\nimport _ \"roadcleat/low\"\n"
	for name, test := range map[string]struct {
		file, content string
		want          string // empty: none
	}{
		"nothing wrong":                  {"low/a.go", "package low\n\nvar token int\n", ""},
		"a word in an identifier":        {"low/a.go", "package low\n\nvar theBaton int\n", `low/a.go:3: "baton": say fencing token, or leadership term`},
		"a word in a comment":            {"low/a.go", "package low\n\n// The baton.\nvar token int\n", `low/a.go:3: "baton": say fencing token, or leadership term`},
		"a word within another":          {"low/a.go", "package low\n\nvar department int\n", ""},
		"a word that comments may have":  {"low/a.go", "package low\n\n// A part of it.\nvar token int\n", ""},
		"a word within its boundary":     {"wire/a.go", "package wire\n\nvar baton int\n", ""},
		"a word in the one file":         {"peer/messages.go", "package peer\n\nvar baton int\n", ""},
		"a word in a file beside it":     {"peer/peer.go", "package peer\n\nvar baton int\n", `peer/peer.go:3: "baton": say fencing token, or leadership term`},
		"an import against the order":    {"low/a.go", "package low\n\nimport _ \"roadcleat/high\"\n", "low/a.go:3: low must not import high"},
		"an import of a test":            {"low/a_test.go", "package low\n\nimport _ \"roadcleat/high\"\n", ""},
		"an import of the standard":      {"low/a.go", "package low\n\nimport _ \"fmt\"\n", ""},
		"a long file":                    {"low/a.go", "package low\n" + strings.Repeat("\n", 5), "low/a.go:6: 6 lines, at most 5 are allowed"},
		"a test file may be longer":      {"low/a_test.go", "package low\n" + strings.Repeat("\n", 7), ""},
		"a package without rule is free": {"other/a.go", "package other\n\nimport _ \"roadcleat/high\"\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			dir := repository(t, map[string]string{rulesFile: testRules, "low/low.go": low, "high/high.go": high, test.file: test.content})
			var out bytes.Buffer
			status := run(dir, &out)
			if test.want == "" {
				assert.Zero(t, status, out.String())
				return
			}
			assert.Equal(t, 1, status)
			assert.Equal(t, test.want+"\n", out.String())
		})
	}
}

func TestRulesThatCannotBeCheckedAreNoSuccess(t *testing.T) {
	for name, files := range map[string]map[string]string{
		"no rules":             {"low/low.go": "package low\n"},
		"an unknown key":       {rulesFile: testRules + "[more]\nx = 1\n"},
		"an empty section":     {rulesFile: "max_source_lines = 5\n"},
		"a file that is no Go": {rulesFile: testRules, "low/low.go": "no Go"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, 2, run(repository(t, files), &out))
			assert.NotEmpty(t, out.String())
		})
	}
}

func TestAPackageThatIsGoneIsNoticed(t *testing.T) {
	var out bytes.Buffer
	assert.Equal(t, 1, run(repository(t, map[string]string{rulesFile: testRules, "low/low.go": "package low\n"}), &out))
	assert.Contains(t, out.String(), "no package high")
}

func TestNamesAreSplitIntoWords(t *testing.T) {
	assert.Equal(t, []string{"max", "txn", "ops"}, wordsOf("MaxTxnOps"))
	assert.Equal(t, []string{"http", "server", "of", "parts"}, wordsOf("HTTPServer_ofParts2"))
}

package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// rules is the content of the rules file.
type rules struct {
	MaxSourceLines int                 `toml:"max_source_lines"`
	MaxTestLines   int                 `toml:"max_test_lines"`
	WordRules      []wordRule          `toml:"words"`
	AllowedImports map[string][]string `toml:"imports"` // by importing package; test files are exempt
}

// wordRule forbids words in identifiers, and in comments if InComments is set, except in the
// allowed files.
type wordRule struct {
	ForbiddenWords []string `toml:"words"`
	InComments     bool     `toml:"comments"`
	AllowedPaths   []string `toml:"allow"` // paths of files, and paths of directories that end with a slash
	Replacement    string   `toml:"instead"`
}

// loadRules reads the rules file of the repository in a directory.
func loadRules(dir string) (*rules, error) {
	var r rules
	meta, err := toml.DecodeFile(filepath.Join(dir, rulesPath), &r)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", rulesPath, unknown[0])
	}
	if len(r.WordRules) == 0 || len(r.AllowedImports) == 0 || r.MaxSourceLines == 0 || r.MaxTestLines == 0 {
		return nil, fmt.Errorf("%s: expected max_source_lines, max_test_lines, words and imports, got an empty one",
			rulesPath)
	}
	return &r, nil
}

// isAllowedIn reports whether the words are allowed in a file.
func (w *wordRule) isAllowedIn(file string) bool {
	return slices.ContainsFunc(w.AllowedPaths, func(allowed string) bool {
		return file == allowed || strings.HasSuffix(allowed, "/") && strings.HasPrefix(file, allowed)
	})
}

package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// rules are what the code is held to.
type rules struct {
	MaxSourceLines int                 `toml:"max_source_lines"`
	MaxTestLines   int                 `toml:"max_test_lines"`
	Words          []wordRule          `toml:"words"`
	Imports        map[string][]string `toml:"imports"` // packages of this module by package, tests left out
}

// wordRule is words that identifiers, and comments if so said, may have in some places only.
type wordRule struct {
	Words    []string `toml:"words"`
	Comments bool     `toml:"comments"`
	Allow    []string `toml:"allow"` // files, or directories ending with a slash
	Instead  string   `toml:"instead"`
}

// loadRules reads the rules of the repository at a directory.
func loadRules(dir string) (*rules, error) {
	var r rules
	meta, err := toml.DecodeFile(filepath.Join(dir, rulesFile), &r)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", rulesFile, unknown[0])
	}
	if len(r.Words) == 0 || len(r.Imports) == 0 || r.MaxSourceLines == 0 || r.MaxTestLines == 0 {
		return nil, fmt.Errorf("%s: a section is empty", rulesFile)
	}
	return &r, nil
}

// allows reports whether a file may have the words.
func (w *wordRule) allows(file string) bool {
	return slices.ContainsFunc(w.Allow, func(place string) bool {
		return file == place || strings.HasSuffix(place, "/") && strings.HasPrefix(file, place)
	})
}

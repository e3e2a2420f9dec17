package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// modulePrefix is the prefix of the import paths of this module's packages.
const modulePrefix = "roadcleat/"

// violation is a place in the code that breaks a rule.
type violation struct {
	file    string // path relative to the root of the repository
	line    int
	message string // the broken rule
}

// String formats the violation as compilers format their errors: file:line: message.
func (v violation) String() string { return fmt.Sprintf("%s:%d: %s", v.file, v.line, v.message) }

// checkDirectory checks all Go files below a directory, and that the packages with import rules exist.
func (r *rules) checkDirectory(dir string) ([]violation, error) {
	var found []violation
	seenPackages := map[string]bool{}
	err := filepath.WalkDir(dir, func(diskPath string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(diskPath) != ".go" {
			return err
		}
		relative, err := filepath.Rel(dir, diskPath)
		if err != nil {
			return err
		}
		file := filepath.ToSlash(relative)
		seenPackages[path.Dir(file)] = true
		violations, err := r.checkFile(diskPath, file)
		found = append(found, violations...)
		return err
	})
	for _, pkg := range slices.Sorted(maps.Keys(r.AllowedImports)) {
		if !seenPackages[pkg] {
			found = append(found, violation{rulesPath, 1, "[imports] names a package that does not exist: " + pkg})
		}
	}
	return found, err
}

// checkFile checks one file. diskPath is the path at which the file is read, and file is its path
// relative to the root of the repository, which the rules use.
func (r *rules) checkFile(diskPath, file string) ([]violation, error) {
	source, err := os.ReadFile(diskPath)
	if err != nil {
		return nil, err
	}
	fileSet := token.NewFileSet()
	parsed, err := parser.ParseFile(fileSet, file, source, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	lineOf := func(at token.Pos) int { return fileSet.Position(at).Line }
	found := r.checkLength(file, bytes.Count(source, []byte("\n")))
	found = append(found, r.checkImports(file, parsed, lineOf)...)
	found = append(found, r.checkWords(file, parsed, lineOf)...)
	return found, nil
}

// isTestFile reports whether a file is a Go test file.
func isTestFile(file string) bool { return strings.HasSuffix(file, "_test.go") }

// checkLength checks the number of lines of a file.
func (r *rules) checkLength(file string, lines int) []violation {
	maxLines := r.MaxSourceLines
	if isTestFile(file) {
		maxLines = r.MaxTestLines
	}
	if lines <= maxLines {
		return nil
	}
	return []violation{{file, maxLines + 1, fmt.Sprintf("expected at most %d lines, got %d", maxLines, lines)}}
}

// checkImports checks that a file imports only the packages of this module that the rules allow
// for its package. Test files and packages without a rule may import any.
func (r *rules) checkImports(file string, parsed *ast.File, lineOf func(token.Pos) int) []violation {
	allowed, hasRule := r.AllowedImports[path.Dir(file)]
	if !hasRule || isTestFile(file) {
		return nil
	}
	var found []violation
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue // not reached: the parser accepts only string literals
		}
		pkg, isOwnPackage := strings.CutPrefix(imported, modulePrefix)
		if isOwnPackage && !slices.Contains(allowed, pkg) {
			found = append(found, violation{file, lineOf(spec.Pos()), path.Dir(file) + " must not import " + pkg})
		}
	}
	return found
}

// checkWords checks a file's identifiers, and its comments where a rule includes them, for
// forbidden words.
func (r *rules) checkWords(file string, parsed *ast.File, lineOf func(token.Pos) int) []violation {
	var found []violation
	for i := range r.WordRules {
		rule := &r.WordRules[i]
		if rule.isAllowedIn(file) {
			continue
		}
		report := func(at token.Pos, words []string) {
			for _, word := range words {
				if slices.Contains(rule.ForbiddenWords, word) {
					message := fmt.Sprintf("%q is not allowed here: use %s", word, rule.Replacement)
					found = append(found, violation{file, lineOf(at), message})
				}
			}
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if name, ok := node.(*ast.Ident); ok {
				report(name.Pos(), splitWords(name.Name))
			}
			return true
		})
		if !rule.InComments {
			continue
		}
		for _, group := range parsed.Comments {
			for _, comment := range group.List {
				report(comment.Pos(), splitWords(comment.Text))
			}
		}
	}
	return found
}

// splitWords splits a name or text into lower-case words. Words are separated by characters that
// are not letters and by changes from lower to upper case; in a run of capitals the last one begins
// a word if a lower-case letter follows it.
func splitWords(text string) []string {
	var words []string
	var word []rune
	flush := func() {
		if len(word) > 0 {
			words = append(words, strings.ToLower(string(word)))
			word = word[:0]
		}
	}
	letters := []rune(text)
	for i, letter := range letters {
		if !unicode.IsLetter(letter) {
			flush()
			continue
		}
		beginsWord := unicode.IsUpper(letter) && i > 0 &&
			(unicode.IsLower(letters[i-1]) || i+1 < len(letters) && unicode.IsLower(letters[i+1]))
		if beginsWord {
			flush()
		}
		word = append(word, letter)
	}
	flush()
	return words
}

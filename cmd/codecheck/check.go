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

// modulePath begins the import paths of this module's packages.
const modulePath = "roadcleat/"

// violation is a place that breaks a rule.
type violation struct {
	file string
	line int
	text string
}

// String is the violation as compilers print theirs.
func (v violation) String() string { return fmt.Sprintf("%s:%d: %s", v.file, v.line, v.text) }

// check goes through all Go files below a directory.
func (r *rules) check(dir string) ([]violation, error) {
	var found []violation
	seen := map[string]bool{}
	err := filepath.WalkDir(dir, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(name) != ".go" {
			return err
		}
		relative, err := filepath.Rel(dir, name)
		if err != nil {
			return err
		}
		file := filepath.ToSlash(relative)
		seen[path.Dir(file)] = true
		violations, err := r.checkFile(name, file)
		found = append(found, violations...)
		return err
	})
	for _, pkg := range slices.Sorted(maps.Keys(r.Imports)) {
		if !seen[pkg] {
			found = append(found, violation{rulesFile, 1, "no package " + pkg})
		}
	}
	return found, err
}

// checkFile checks one file; name is where it is, file how rules call it.
func (r *rules) checkFile(name, file string) ([]violation, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, file, source, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	lineOf := func(at token.Pos) int { return files.Position(at).Line }
	found := r.checkLength(file, bytes.Count(source, []byte("\n")))
	found = append(found, r.checkImports(file, parsed, lineOf)...)
	found = append(found, r.checkWords(file, parsed, lineOf)...)
	return found, nil
}

func isTest(file string) bool { return strings.HasSuffix(file, "_test.go") }

func (r *rules) checkLength(file string, lines int) []violation {
	most := r.MaxSourceLines
	if isTest(file) {
		most = r.MaxTestLines
	}
	if lines <= most {
		return nil
	}
	return []violation{{file, most + 1, fmt.Sprintf("%d lines, at most %d are allowed", lines, most)}}
}

// checkImports checks which packages of this module a file imports. Test files may import any.
func (r *rules) checkImports(file string, parsed *ast.File, lineOf func(token.Pos) int) []violation {
	allowed, ruled := r.Imports[path.Dir(file)]
	if !ruled || isTest(file) {
		return nil
	}
	var found []violation
	for _, spec := range parsed.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue // the parser has seen that it is a string
		}
		pkg, own := strings.CutPrefix(imported, modulePath)
		if own && !slices.Contains(allowed, pkg) {
			found = append(found, violation{file, lineOf(spec.Pos()), path.Dir(file) + " must not import " + pkg})
		}
	}
	return found
}

func (r *rules) checkWords(file string, parsed *ast.File, lineOf func(token.Pos) int) []violation {
	var found []violation
	for i := range r.Words {
		rule := &r.Words[i]
		if rule.allows(file) {
			continue
		}
		report := func(at token.Pos, words []string) {
			for _, word := range words {
				if slices.Contains(rule.Words, word) {
					found = append(found, violation{file, lineOf(at), fmt.Sprintf("%q: say %s", word, rule.Instead)})
				}
			}
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			if name, ok := node.(*ast.Ident); ok {
				report(name.Pos(), wordsOf(name.Name))
			}
			return true
		})
		if !rule.Comments {
			continue
		}
		for _, group := range parsed.Comments {
			for _, comment := range group.List {
				report(comment.Pos(), wordsOf(comment.Text))
			}
		}
	}
	return found
}

// wordsOf splits a name or text into its words in lower case, at changes of case and at
// whatever is no letter.
func wordsOf(text string) []string {
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
		begins := unicode.IsUpper(letter) && i > 0 &&
			(unicode.IsLower(letters[i-1]) || i+1 < len(letters) && unicode.IsLower(letters[i+1]))
		if begins {
			flush()
		}
		word = append(word, letter)
	}
	flush()
	return words
}

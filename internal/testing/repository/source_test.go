package repository

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	root   = "../../.." // root of the repository, relative to this package
	module = "orchiddrift"
)

// sourceFile is a parsed Go file that is not a test file.
type sourceFile struct {
	path    string // path of the file, relative to root
	folder  string // folder of the file, relative to root
	syntax  *ast.File
	imports []string
}

// sources parses all Go files of the repository other than test files.
func sources(t *testing.T) (files []sourceFile, fileset *token.FileSet) {
	t.Helper()
	fileset = token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == ".git" || entry.Name() == "journal" || entry.Name() == "testdata") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		syntax, err := parser.ParseFile(fileset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		file := sourceFile{path: relative, folder: filepath.Dir(relative), syntax: syntax}
		for _, spec := range syntax.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			file.imports = append(file.imports, imported)
		}
		files = append(files, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return files, fileset
}

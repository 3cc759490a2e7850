package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

const module = "github.com/fescuejunction/fescuejunction/internal/"

// forbiddenImports maps each folder to the folders that its code must not
// import.
var forbiddenImports = map[string][]string{
	"base":             {"version/", "connection/", "request/", "process/"},
	"version":          {"base/", "connection/", "request/", "process/"},
	"connection":       {"process/"},
	"request":          {"process/"},
	"process/shared":   {"process/control", "process/entry", "process/operator", "request/"},
	"process/control":  {"process/entry", "process/operator", "request/"},
	"process/entry":    {"process/control", "process/operator"},
	"process/operator": {"process/entry", "process/shared", "request/"},
}

// Guards against imports that break the layering: process imports request and
// connection, these import version, and no import runs the other way; base
// imports none of them.
func TestImportsRunOneWay(t *testing.T) {
	for dir, others := range forbiddenImports {
		err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, i := range f.Imports {
				to, ours := strings.CutPrefix(strings.Trim(i.Path.Value, `"`), module)
				for _, no := range others {
					if ours && strings.HasPrefix(to, no) {
						t.Errorf("%s imports %s", path, to)
					}
				}
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	}
}

package rollout_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"lagoonlink.org/rollout/assert"
)

// purePackages contain decision logic and must not use I/O, clocks or goroutines.
var purePackages = []string{
	"sample", "fair", "placement", "request", "membership", "weights", "configuration", "lifecycle", "routing", "registry", "job", "candidacy", "scoring", "quota", "origin",
	"textread", "tenancy", "duty", "usage", "scaling", "spill", "memory", "review", "heartbeat", "document", "keyvalue", "isolation",
}

// impureImports are packages for I/O and synchronization that pure packages must
// not import.
var impureImports = []string{"net", "net/http", "os", "io", "sync", "sync/atomic", "os/exec", "syscall", "log"}

// clockCalls are functions of package time that read the clock or wait on it.
var clockCalls = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTicker", "NewTimer"}

// TestPurePackages checks that the packages with decision logic import no I/O,
// start no goroutine and call no clock. Otherwise their decisions would depend on
// more than the events and times passed to them.
func TestPurePackages(t *testing.T) {
	for _, p := range purePackages {
		t.Run(p, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join(p, "*.go"))
			assert.NoError(t, "list files", err)
			assert.True(t, "the package has files", len(files) > 0)
			for _, f := range files {
				if !strings.HasSuffix(f, "_test.go") {
					checkPure(t, f)
				}
			}
		})
	}
}

func checkPure(t *testing.T, file string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	assert.NoError(t, "parse "+file, err)
	for _, i := range parsed.Imports {
		path, err := strconv.Unquote(i.Path.Value)
		assert.NoError(t, "unquote", err)
		if slices.Contains(impureImports, path) {
			t.Errorf("%s: got an import of %s, want none", file, path)
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: got a go statement, want none", file)
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(clockCalls, n.Sel.Name) {
				t.Errorf("%s: got a call of time.%s, want none", file, n.Sel.Name)
			}
		}
		return true
	})
}

// TestNoNotices checks that no source file contains a licence notice or banner.
func TestNoNotices(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		for _, c := range parsed.Comments {
			text := strings.ToLower(c.Text())
			if strings.Contains(text, "copyright") || strings.Contains(text, "licen"+"sed under") {
				t.Errorf("%s: got a notice, want none", path)
			}
		}
		return nil
	})
	assert.NoError(t, "walk the sources", err)
}

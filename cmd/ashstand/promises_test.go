package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/lifecycle"
)

// Each test that the pages on promises and crossings name is there, and each rule that is checked at run time has its promise.
func TestPromisesNameTestsAndRules(t *testing.T) {
	root := filepath.Join("..", "..")
	declared := map[string]bool{}
	function := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range function.FindAllStringSubmatch(string(text), -1) {
			declared[m[1]] = true
		}
		return err
	}))
	named := regexp.MustCompile(`\bTest[A-Z]\w+`)
	promises := ""
	for _, page := range []string{"promises.md", "crossings.md"} {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		require.NoError(t, err)
		for _, name := range named.FindAllString(string(text), -1) {
			require.True(t, declared[name], "%s names %s", page, name)
		}
		if page == "promises.md" {
			promises = string(text)
		}
	}
	for _, rule := range lifecycle.Rules() {
		require.Contains(t, promises, "`"+rule.String()+"`")
	}
}

package routing

import (
	"go/ast"
	"go/format"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	maxModuleLines = 300 // of a policy file, without blank lines; comments count
	maxLineWidth   = 110 // in characters; a tab counts for four
)

// policyFiles are the files that the deploy file names as the decision logic.
func policyFiles(t *testing.T) []string {
	t.Helper()
	deploy, err := os.ReadFile(filepath.Join("..", "deploy", "balancer.toml"))
	require.NoError(t, err)
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	require.NotNil(t, list, "the deploy file names no policy")
	var files []string
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		files = append(files, filepath.Join("..", string(name[1])))
	}
	return files
}

// Each policy file holds one concern, and stays small enough to be read at once.
func TestPolicyFileLimits(t *testing.T) {
	for _, file := range policyFiles(t) {
		lines := 0
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := len(strings.ReplaceAll(l, "\t", "    ")); n > maxLineWidth {
				t.Errorf("%s: line %d has %d characters, %d are allowed", file, i+1, n, maxLineWidth)
			}
		}
		if lines > maxModuleLines {
			t.Errorf("%s: %d lines that are not blank, %d are allowed", file, lines, maxModuleLines)
		}
	}
}

// Every file of the package is listed as policy, except those that decide nothing: the interface, the construction of
// a Router and its exported state.
func TestPolicyNamesEveryFileWithRules(t *testing.T) {
	all, err := filepath.Glob("*.go")
	require.NoError(t, err)
	var want, got []string
	for _, file := range all {
		switch {
		case strings.HasSuffix(file, "_test.go"), file == "router.go", file == "types.go", file == "events.go", file == "state.go":
		default:
			want = append(want, file)
		}
	}
	for _, file := range policyFiles(t) {
		got = append(got, filepath.Base(file))
	}
	require.ElementsMatch(t, want, got)
}

// docs/tuning.md lists each tuned constant with the value that it has in the code.
func TestTuningPageFollowsTheConstants(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "tuning.md"))
	require.NoError(t, err)
	rows := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| `([^`]+)` \\| [^|]+ \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(string(page), -1) {
		rows[row[1]] = row[2]
	}
	require.Equal(t, tunedConstants(t), rows)
}

// tunedConstants returns the constants of constants.go with their values as written.
func tunedConstants(t *testing.T) map[string]string {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "constants.go", nil, 0)
	require.NoError(t, err)
	constants := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for i, name := range spec.Names {
			var value strings.Builder
			require.NoError(t, format.Node(&value, fset, spec.Values[i]))
			constants[name.Name] = value.String()
		}
		return false
	})
	require.NotEmpty(t, constants)
	return constants
}

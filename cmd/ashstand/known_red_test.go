package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// repositoryWith is a small module with the script beside it: package a has a test that fails, b has one that fails of the
// same name and one that passes.
func repositoryWith(t *testing.T, knownRed string) (run func(args ...string) (string, bool)) {
	root := t.TempDir()
	script, err := filepath.Abs("../../.ci/known-red")
	require.NoError(t, err)
	test := func(pkg, name, fails string) string {
		return "package " + pkg + "\n\nimport \"testing\"\n\nfunc " + name + "(t *testing.T) { t.Log(\"ran " + name + " of " + pkg + "\")" + fails + " }\n"
	}
	for name, text := range map[string]string{
		"KNOWN-RED.txt":     knownRed,
		"go.mod":            "module small\n\ngo 1.24\n",
		"a/red_test.go":     test("a", "TestRed", "; t.Fail()"),
		"a/longer_test.go":  test("a", "TestRedder", ""),
		"b/red_test.go":     test("b", "TestRed", "; t.Fail()"),
		"b/green_test.go":   test("b", "TestGreen", ""),
		"c/d/green_test.go": test("d", "TestGreen", ""),
		"a/build.sh":        "",
	} {
		path := filepath.Join(root, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	// A copy that this process had written could not be run while a child that another test has just forked holds it open (ETXTBSY).
	require.NoError(t, os.Mkdir(filepath.Join(root, ".ci"), 0o755))
	require.NoError(t, os.Symlink(script, filepath.Join(root, ".ci", "known-red")))
	if knownRed == "" {
		require.NoError(t, os.Remove(filepath.Join(root, "KNOWN-RED.txt")))
	}
	return func(args ...string) (string, bool) {
		c := exec.Command(filepath.Join(root, ".ci/known-red"), args...)
		c.Env = append(os.Environ(), "GOWORK=off")
		out, err := c.CombinedOutput()
		var failed *exec.ExitError
		if err != nil && !errors.As(err, &failed) {
			t.Fatal(err)
		}
		return string(out), err == nil
	}
}

func TestKnownRedRunsApart(t *testing.T) {
	if testing.Short() {
		t.Skip("runs go test")
	}
	for _, c := range []struct {
		name, file      string
		listed, others  bool   // whether each of the two steps passes
		printed, beside string // by listed, by others
	}{
		{"no file", "", true, false, `^$`, `ran TestRed of a(?s:.*)ran TestRed of b`},
		{"blank lines only", "\n  \n", true, false, `^$`, `ran TestRed of a(?s:.*)ran TestRed of b`},
		{
			"both red tests listed", "TestRed | a | a reset | 31\n\nTestRed | ./b | a close | 32", true, true,
			`KNOWN RED: TestRed of ./a failed \(a reset, issue 31\)(?s:.*)KNOWN RED: TestRed of ./b failed \(a close, issue 32\)`,
			`ran TestRedder of a(?s:.*)ran TestGreen of b(?s:.*)ran TestGreen of d`,
		},
		{"one of the same name is not listed", "TestRed | a | a reset | 31\n", true, false, `KNOWN RED: TestRed of ./a`, `ran TestRed of b`},
		{
			"one that passes is said to", "TestRed | a | a reset | 31\nTestRed | b | a close | 32\nTestGreen | c/d | none | 33\n", true, true,
			`NOT NOW: TestGreen of ./c/d`, `ran TestRedder of a(?s:.*)ran TestGreen of b`,
		},
		{
			"four lines", "TestRed | a | x | 1\nTestRed | b | x | 1\nTestGreen | b | x | 1\nTestRedder | a | x | 1\n", true, true,
			`NOT NOW: TestRedder of ./a`, `ran TestGreen of d`,
		},
		{
			"commands", "TestRed | a | x | 1\nTestRed | b | x | 1\n.ci/known-red a b | no seed | a gift is lost | 38, 54\na/bin/rig play . FILE | 7 | late | 54\n", true, true,
			`KNOWN RED, NOT RUN HERE: .ci/known-red a b, no seed \(a gift is lost, issue 38, 54\)(?s:.*)NOT RUN HERE: a/bin/rig play . FILE, 7 \(late, issue 54\)(?s:.*)TestRed of ./b failed`, `ran TestGreen of d`,
		},
		{"a command without a file", "a/run.sh | no seed | late | 54\n", false, false, `no file a/run.sh`, `no file a/run.sh`},
		{"a command that nothing builds", "b/bin/rig | no seed | late | 54\n", false, false, `no file b/bin/rig`, `no file b/bin/rig`},
		{"a command without an issue", ".ci/known-red | no seed | late |\n", false, false, `not of the form`, `not of the form`},
		{"a command without a seed", ".ci/known-red | | late | 54\n", false, false, `not of the form`, `not of the form`},
		{"a command twice", ".ci/known-red | 7 | late | 54\n.ci/known-red | 7 | x | 54\n", false, false, `twice`, `twice`},
		{"no such test", "TestRe | a | x | 1\n", false, false, `has no test TestRe`, `has no test TestRe`},
		{"the test of another package", "TestGreen | a | x | 1\n", false, false, `a has no test TestGreen`, `a has no test TestGreen`},
		{"no such package", "TestRed | e | x | 1\n", false, false, `e has no test TestRed`, `e has no test TestRed`},
		{"all packages", "TestRed | ./... | x | 1\n", false, false, `not of the form`, `not of the form`},
		{"a pattern for a name", "Test.* | a | x | 1\n", false, false, `not of the form`, `not of the form`},
		{"no cause", "TestRed | a | | 1\n", false, false, `not of the form`, `not of the form`},
		{"no issue", "TestRed | a | x\n", false, false, `not of the form`, `not of the form`},
		{"twice", "TestRed | a | x | 1\nTestRed | ./a | x | 1\n", false, false, `twice`, `twice`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			run := repositoryWith(t, c.file)
			out, passed := run("listed")
			require.Equal(t, c.listed, passed, out)
			require.Regexp(t, c.printed, out)
			out, passed = run("others", "-count=1", "-v", "./...")
			require.Equal(t, c.others, passed, out)
			require.Regexp(t, c.beside, out)
			if c.others {
				require.NotRegexp(t, `ran TestRed of`, out)
			}
		})
	}
}

// TestCIRunsEveryTestByWayOfKnownRed holds .ci/test to the script that the test above holds.
func TestCIRunsEveryTestByWayOfKnownRed(t *testing.T) {
	text, err := os.ReadFile("../../.ci/test")
	require.NoError(t, err)
	require.NotRegexp(t, `(?m)^[^#\n]*go test`, string(text), "a run that knows nothing of KNOWN-RED.txt")
	require.Regexp(t, `(?m)^\.ci/known-red listed$`, string(text))
	require.Regexp(t, `(?m)^\.ci/known-red others .*\./\.\.\.$`, string(text))
	require.Len(t, regexp.MustCompile(`(?m)^\.ci/known-red others `).FindAllString(string(text), -1), 2)
	require.Regexp(t, `(?m)^set -euo pipefail$`, string(text), "a step that fails ends the run")
}

package main

import (
	"debug/elf"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// The operators load a library of their own into each pooler (docs/fleet.md), which only a program that is linked
// dynamically against the C library takes. Go links statically wherever nothing asks for more, without a word.
func TestTheDeployFileBuildsAProgramThatIsLinkedAgainstTheCLibrary(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the programs")
	}
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	var deploy struct{ Build, Run string }
	_, err = toml.DecodeFile(filepath.Join(root, "deploy", "balancer.toml"), &deploy)
	require.NoError(t, err)
	program, execs := strings.CutPrefix(deploy.Run, "exec ")
	require.True(t, execs, "run = %q leaves the shell between the platform and the pooler", deploy.Run)

	build := exec.Command("/bin/sh", "-c", deploy.Build)
	build.Dir = root
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)

	f, err := elf.Open(filepath.Join(root, program))
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	interpreted := false
	for _, p := range f.Progs {
		interpreted = interpreted || p.Type == elf.PT_INTERP
	}
	require.True(t, interpreted, "no dynamic linker is named: the program is static")
	libraries, err := f.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, strings.Join(libraries, " "), "libc.so")
}

package vfs

import (
	"encoding/json"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files instead of comparing with them")

// golden compares bytes with a committed file and returns what the file holds.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
	return want
}

// A file holds what it was given and nothing around it; while it is written it has another name, and the mode keeps it
// from other users.
func TestGoldenFile(t *testing.T) {
	content := make([]byte, 2*maxWriteBytes+100)
	for i := range content {
		content[i] = byte(i * i)
	}
	path := filepath.Join(t.TempDir(), "f")
	var during []string
	require.NoError(t, ReplaceFile(OS{}, path, func(string) ([]byte, error) {
		names, err := OS{}.ReadDirNames(filepath.Dir(path))
		during = names
		return content, err
	}))
	require.Equal(t, []string{"f.new"}, during)
	b, is, err := OS{}.ReadFile(path, len(content))
	require.NoError(t, err)
	require.Equal(t, content, golden(t, "file.bin", b))
	require.Regexp(t, `^\d+( born \d+\.\d{9})?$`, is)
	s, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, fs.FileMode(0o600), s.Mode())
}

// Errors keep their texts and codes, which operators look for.
func TestGoldenErrors(t *testing.T) {
	type shown struct{ Text, Code, Advice string }
	var all []shown
	for _, cause := range []error{ErrLocked, syscall.ENOSPC, syscall.EDQUOT, syscall.EROFS, syscall.EIO, syscall.EACCES, syscall.ENOENT, errors.New("other")} {
		for _, op := range []string{"write", "sync", "sync folder"} {
			e := &Error{Op: op, Path: "/f", Err: &fs.PathError{Op: "x", Path: "/f", Err: cause}}
			all = append(all, shown{e.Error(), e.Code(), e.Advice()})
		}
	}
	b, err := json.MarshalIndent(all, "", "\t")
	require.NoError(t, err)
	golden(t, "errors.json", b)
}

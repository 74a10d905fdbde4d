package vfs

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReplaceAndBirth(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a", "b")
	require.NoError(t, Real{}.MakeFolder(folder))
	require.NoError(t, Real{}.MakeFolder(folder), "it is there")
	path := filepath.Join(folder, "f")
	_, _, err := Real{}.ReadFile(path, 10)
	require.ErrorIs(t, err, fs.ErrNotExist)
	for _, text := range []string{"one", "two"} {
		require.NoError(t, os.WriteFile(path+Temporary, []byte("left by a stop, and longer than what is written"), 0o600))
		var born string
		require.NoError(t, Replace(Real{}, path, func(birth string) ([]byte, error) { born = birth; return []byte(text), nil }))
		b, is, err := Real{}.ReadFile(path, 10)
		require.NoError(t, err)
		require.Equal(t, []string{text, born}, []string{string(b), is})
	}
	names, err := Real{}.Names(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"f"}, names)
	why := errors.New("no")
	require.ErrorIs(t, Replace(Real{}, path, func(string) ([]byte, error) { return nil, why }), why)
	require.NoFileExists(t, path+Temporary)
	_, err = Real{}.Create(path)
	require.ErrorIs(t, err, fs.ErrExist)

	l, err := Real{}.Lock(filepath.Join(folder, "lock"))
	require.NoError(t, err)
	_, err = Real{}.Lock(filepath.Join(folder, "lock"))
	require.ErrorIs(t, err, ErrHeld)
	require.NoError(t, l.Close())
	l, err = Real{}.Lock(filepath.Join(folder, "lock"))
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

func TestErrorsHaveACodeAndAdvice(t *testing.T) {
	for want, err := range map[string]error{
		"disk_full": &fs.PathError{Op: "write", Path: "/f", Err: syscall.ENOSPC}, "disk_failing": syscall.EIO,
		"disk_read_only": syscall.EROFS, "disk_denied": syscall.EACCES, "disk_missing": syscall.ENOENT, "disk_held": ErrHeld, "disk_unsynced": errors.New("x"),
	} {
		e := &Error{"sync", "/f", err}
		require.Equal(t, want, e.Code())
		require.NotEmpty(t, e.Advice())
		require.ErrorIs(t, e, err)
		var got *Error
		require.ErrorAs(t, errors.Join(e), &got)
	}
	_, _, err := Real{}.ReadFile("/nowhere/at/all", 1)
	require.EqualError(t, err, "read /nowhere/at/all: no such file or directory")
	require.Equal(t, "disk_error", (&Error{"write", "/f", errors.New("x")}).Code())
}

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

func TestReplaceFileAndIdentity(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "a", "b")
	require.NoError(t, OS{}.MkdirAll(folder))
	require.NoError(t, OS{}.MkdirAll(folder), "it is there")
	path := filepath.Join(folder, "f")
	_, _, err := OS{}.ReadFile(path, 10)
	require.ErrorIs(t, err, fs.ErrNotExist)
	for _, text := range []string{"one", "two"} {
		require.NoError(t, os.WriteFile(path+TemporarySuffix, []byte("left by a stop, and longer than what is written"), 0o600))
		var born string
		require.NoError(t, ReplaceFile(OS{}, path, func(birth string) ([]byte, error) { born = birth; return []byte(text), nil }))
		b, is, err := OS{}.ReadFile(path, 10)
		require.NoError(t, err)
		require.Equal(t, []string{text, born}, []string{string(b), is})
	}
	names, err := OS{}.ReadDirNames(folder)
	require.NoError(t, err)
	require.Equal(t, []string{"f"}, names)
	why := errors.New("no")
	require.ErrorIs(t, ReplaceFile(OS{}, path, func(string) ([]byte, error) { return nil, why }), why)
	require.NoFileExists(t, path+TemporarySuffix)
	_, err = OS{}.Create(path)
	require.ErrorIs(t, err, fs.ErrExist)

	l, err := OS{}.Lock(filepath.Join(folder, "lock"))
	require.NoError(t, err)
	_, err = OS{}.Lock(filepath.Join(folder, "lock"))
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, l.Close())
	l, err = OS{}.Lock(filepath.Join(folder, "lock"))
	require.NoError(t, err)
	require.NoError(t, l.Close())
}

func TestErrorsHaveCodeAndAdvice(t *testing.T) {
	for want, err := range map[string]error{
		"disk_full": &fs.PathError{Op: "write", Path: "/f", Err: syscall.ENOSPC}, "disk_failing": syscall.EIO,
		"disk_read_only": syscall.EROFS, "disk_denied": syscall.EACCES, "disk_missing": syscall.ENOENT, "disk_held": ErrLocked, "disk_unsynced": errors.New("x"),
	} {
		e := &Error{"sync", "/f", err}
		require.Equal(t, want, e.Code())
		require.NotEmpty(t, e.Advice())
		require.ErrorIs(t, e, err)
		var got *Error
		require.ErrorAs(t, errors.Join(e), &got)
	}
	_, _, err := OS{}.ReadFile("/nowhere/at/all", 1)
	require.EqualError(t, err, "read /nowhere/at/all: no such file or directory")
	require.Equal(t, "disk_error", (&Error{"write", "/f", errors.New("x")}).Code())
}

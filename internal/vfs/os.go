package vfs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OS is the operating system's file system. Its zero value is ready for use.
type OS struct{}

var _ FS = OS{}

// MkdirAll implements FS.
func (o OS) MkdirAll(path string) error {
	if s, err := os.Stat(path); err == nil && s.IsDir() {
		return nil
	}
	if err := os.MkdirAll(path, dirMode); err != nil {
		return wrap(OpMkdir, path, err)
	}
	return o.SyncDir(filepath.Dir(path))
}

// Lock implements FS by flock(2).
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, wrap(OpLock, path, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, wrap(OpLock, path, err)
	}
	return f, nil
}

// ReadFile implements FS.
func (OS) ReadFile(path string, limit int) ([]byte, string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, "", wrap(OpRead, path, err)
	}
	defer func() { _ = f.Close() }() // only read: nothing can be lost
	identity, _ := fileIdentity(f)   // "" where the file system has none
	b, err := io.ReadAll(io.LimitReader(f, int64(limit)+1))
	return b, identity, wrap(OpRead, path, err)
}

// fileIdentity returns the identity of an open file. Without a time of birth it is the inode number alone, which may be
// assigned again.
func fileIdentity(f *os.File) (string, error) {
	var s unix.Statx_t
	if err := unix.Statx(int(f.Fd()), "", unix.AT_EMPTY_PATH, unix.STATX_INO|unix.STATX_BTIME, &s); err != nil {
		return "", err
	}
	if s.Mask&unix.STATX_BTIME == 0 {
		return strconv.FormatUint(s.Ino, 10), nil
	}
	return fmt.Sprintf("%d born %d.%09d", s.Ino, s.Btime.Sec, s.Btime.Nsec), nil
}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, wrap(OpCreate, path, err)
	}
	return osFile{f}, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return wrap(OpRename, from, os.Rename(from, to)) }

// Remove implements FS.
func (OS) Remove(path string) error { return wrap(OpRemove, path, os.Remove(path)) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return wrap(OpSyncDir, path, err)
	}
	return wrap(OpSyncDir, path, errors.Join(f.Sync(), f.Close()))
}

// ReadDirNames implements FS.
func (OS) ReadDirNames(path string) (names []string, err error) {
	entries, err := os.ReadDir(path)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, wrap(OpReadDir, path, err)
}

// osFile is a file of OS.
type osFile struct{ f *os.File }

func (f osFile) Write(b []byte) (int, error) {
	n, err := f.f.Write(b)
	return n, wrap(OpWrite, f.f.Name(), err)
}

func (f osFile) Identity() (string, error) {
	identity, err := fileIdentity(f.f)
	return identity, wrap(OpIdentity, f.f.Name(), err)
}

func (f osFile) Sync() error  { return wrap(OpSync, f.f.Name(), f.f.Sync()) }
func (f osFile) Close() error { return wrap(OpClose, f.f.Name(), f.f.Close()) }

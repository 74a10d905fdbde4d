// Package disk is the file system under everything that a pooler keeps: what was agreed and what was learned. It has one
// interface, so that the laboratory can put a disk that lies in its place, and one way of writing a file.
package vfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// FS is the calls that whoever keeps something makes, each of which can fail or be the last. All errors are *Error.
type FS interface {
	// MkdirAll makes a folder, and those above it, if it is not there.
	MkdirAll(path string) error
	// Lock takes a file for this process until it is closed; one that another process has is ErrLocked.
	Lock(path string) (io.Closer, error)
	// ReadFile reads at most so many bytes and one more, and the file's birth; "": the file system tells none.
	ReadFile(path string, most int) (b []byte, birth string, err error)
	// Create makes a new file; one that is there is an error, since what is left of it could be taken for what is written now.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes names durable: those that were made, moved and removed.
	SyncDir(path string) error
	ReadDirNames(folder string) ([]string, error)
}

// File is one that is being written.
type File interface {
	io.Writer
	// Birth names the file: its number, and when that was given to it, which no tool can set.
	Identity() (string, error)
	Sync() error
	Close() error
}

// ErrLocked is a lock that another process has.
var ErrLocked = errors.New("another process has it")

// Error is a call that failed.
type Error struct {
	Op   string // make, lock, read, create, write, sync, close, rename, remove, sync folder, list, birth
	Path string
	Err  error
}

// Error words it.
func (e *Error) Error() string {
	var p *fs.PathError
	var l *os.LinkError
	cause := e.Err
	if errors.As(cause, &p) {
		cause = p.Err // the path is here already
	} else if errors.As(cause, &l) {
		cause = l.Err
	}
	return e.Op + " " + e.Path + ": " + cause.Error()
}

// Unwrap is the cause.
func (e *Error) Unwrap() error { return e.Err }

// Code is a short stable word for what failed.
func (e *Error) Code() string { return e.class().code }

// Advice is what an operator can do.
func (e *Error) Advice() string { return e.class().advice }

type errorClass struct {
	is           error
	code, advice string
}

var errorClasses = []errorClass{
	{ErrLocked, "disk_held", "End the other pooler, or give each a folder of its own."},
	{syscall.ENOSPC, "disk_full", "Make room on the folder's file system; the next attempt needs no restart."},
	{syscall.EDQUOT, "disk_full", "Raise the quota of the pooler's user on the folder's file system."},
	{syscall.EROFS, "disk_read_only", "Find out why the file system was set read-only, which a disk that fails often is; then mount it writable."},
	{syscall.EIO, "disk_failing", "Replace the disk. For a voter of the agreement: remove its folder first, it comes back under a new identity."},
	{fs.ErrPermission, "disk_denied", "Give the folder to the user that the pooler runs as, with mode 0700."},
	{fs.ErrNotExist, "disk_missing", "Make the folder, or mend its path in the operator's file."},
}

func (e *Error) class() errorClass {
	for _, k := range errorClasses {
		if errors.Is(e.Err, k.is) {
			return k
		}
	}
	if e.Op == "sync" || e.Op == "sync folder" {
		return errorClass{code: "disk_unsynced", advice: "See what the system's log says of the disk: what was written may not be there after a loss of power."}
	}
	return errorClass{code: "disk_error", advice: "See what the system's log says of the disk."}
}

func wrap(op, path string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{op, path, err}
}

// maxWriteBytes is how many bytes one write has at the most: a page of the usual file systems, the least that can tear.
const maxWriteBytes = 4096

// TemporarySuffix is the name under which Replace writes before it renames.
const TemporarySuffix = ".new"

// ReplaceFile writes a file so that a stop at any moment leaves the old one or the new one, whole: under another name, synced,
// renamed, and the folder synced. make gets the birth of the file that it is written as, "" where none is told.
//
// An error means that nobody knows which of both is there, also where it came from a sync alone. To read the file back
// proves nothing: a kernel marks pages that it failed to write as clean, so a read gives what was written, from memory, for
// as long as the page stays there, and the next sync of that file says yes, having nothing to write. Only another file,
// written whole and synced without an error, is known to be there. So each call writes a file that is new: what an earlier
// one left under the other name is removed, never written on.
func ReplaceFile(d FS, path string, make func(birth string) ([]byte, error)) (err error) {
	next := path + TemporarySuffix
	if err = d.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := d.Create(next)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil && f != nil {
			_ = f.Close()
			_ = d.Remove(next)
		}
	}()
	birth, err := f.Identity()
	if err != nil {
		return err
	}
	b, err := make(birth)
	if err != nil {
		return err
	}
	if err = WriteAll(f, b); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = d.Rename(next, path); err != nil {
		return err
	}
	f = nil
	return d.SyncDir(filepath.Dir(path))
}

// WriteAll writes in pieces, so that a stand-in for the disk can fail between them.
func WriteAll(f File, b []byte) error {
	for at := 0; at < len(b); at += maxWriteBytes {
		if _, err := f.Write(b[at:min(at+maxWriteBytes, len(b))]); err != nil {
			return err
		}
	}
	return nil
}

// OS is the operating system's file system.
type OS struct{}

// MkdirAll is Disk's.
func (d OS) MkdirAll(path string) error {
	if s, err := os.Stat(path); err == nil && s.IsDir() {
		return nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return wrap("make", path, err)
	}
	return d.SyncDir(filepath.Dir(path))
}

// Lock is Disk's.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, wrap("lock", path, err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, wrap("lock", path, err)
	}
	return f, nil
}

// ReadFile is Disk's.
func (OS) ReadFile(path string, most int) ([]byte, string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, "", wrap("read", path, err)
	}
	defer f.Close()
	is, _ := fileIdentity(f)
	b, err := io.ReadAll(io.LimitReader(f, int64(most)+1))
	return b, is, wrap("read", path, err)
}

// fileIdentity is of an open file. A file system that does not tell the time leaves the number, which may be given again.
func fileIdentity(f *os.File) (string, error) {
	var s unix.Statx_t
	if err := unix.Statx(int(f.Fd()), "", unix.AT_EMPTY_PATH, unix.STATX_INO|unix.STATX_BTIME, &s); err != nil {
		return "", err
	}
	if s.Mask&unix.STATX_BTIME == 0 {
		return fmt.Sprint(s.Ino), nil
	}
	return fmt.Sprintf("%d born %d.%09d", s.Ino, s.Btime.Sec, s.Btime.Nsec), nil
}

type osFile struct{ f *os.File }

// Create is Disk's.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, wrap("create", path, err)
	}
	return osFile{f}, nil
}

func (f osFile) Write(b []byte) (int, error) {
	n, err := f.f.Write(b)
	return n, wrap("write", f.f.Name(), err)
}

func (f osFile) Identity() (string, error) {
	s, err := fileIdentity(f.f)
	return s, wrap("birth", f.f.Name(), err)
}

func (f osFile) Sync() error  { return wrap("sync", f.f.Name(), f.f.Sync()) }
func (f osFile) Close() error { return wrap("close", f.f.Name(), f.f.Close()) }

// Rename is Disk's.
func (OS) Rename(from, to string) error { return wrap("rename", from, os.Rename(from, to)) }

// Remove is Disk's.
func (OS) Remove(path string) error { return wrap("remove", path, os.Remove(path)) }

// SyncDir is Disk's.
func (OS) SyncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return wrap("sync folder", path, err)
	}
	return wrap("sync folder", path, errors.Join(f.Sync(), f.Close()))
}

// ReadDirNames is Disk's.
func (OS) ReadDirNames(folder string) (names []string, err error) {
	es, err := os.ReadDir(folder)
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names, wrap("list", folder, err)
}

// Package vfs is the file system under everything that a pooler persists: the consensus state and the warm state. It has
// one interface, so that a test can inject faults, and one way to replace a file that survives a crash at any moment.
package vfs

import "io"

// FS is the set of file system calls that persisted state needs. Each of them can fail, or be the last one before a
// crash. All errors are *Error.
type FS interface {
	// MkdirAll creates a directory and its parents if they do not exist.
	MkdirAll(path string) error
	// Lock locks a file for this process until the result is closed. A lock of another process is ErrLocked.
	Lock(path string) (io.Closer, error)
	// ReadFile reads at most limit bytes and one more. identity is that of File.Identity; "" if the file system has none.
	ReadFile(path string, limit int) (b []byte, identity string, err error)
	// Create creates a file. It fails on one that exists, whose content could be taken for what is written now.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a directory durable: those that were created, renamed and removed.
	SyncDir(path string) error
	// ReadDirNames returns the names in a directory.
	ReadDirNames(path string) ([]string, error)
}

// File is a file that is being written. The caller of FS.Create closes it.
type File interface {
	io.Writer
	// Identity returns the inode number and the time at which the file system assigned it, which no tool can set. It
	// distinguishes a file from a copy of it.
	Identity() (string, error)
	Sync() error
	Close() error
}

package vfs

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// ErrLocked is the cause of the error of FS.Lock for a file that another process has locked.
var ErrLocked = errors.New("another process has it")

// The values of Error.Op, one for each call of FS and File.
const (
	OpMkdir    = "make"
	OpLock     = "lock"
	OpRead     = "read"
	OpCreate   = "create"
	OpWrite    = "write"
	OpSync     = "sync"
	OpClose    = "close"
	OpRename   = "rename"
	OpRemove   = "remove"
	OpSyncDir  = "sync folder"
	OpReadDir  = "list"
	OpIdentity = "birth"
)

// Error reports a call that failed.
type Error struct {
	Op   string // one of the Op constants
	Path string
	Err  error
}

// Error names the call, the path and the cause.
func (e *Error) Error() string {
	cause := e.Err
	var pathError *fs.PathError
	var linkError *os.LinkError
	if errors.As(cause, &pathError) {
		cause = pathError.Err // its path is that of e
	} else if errors.As(cause, &linkError) {
		cause = linkError.Err
	}
	return e.Op + " " + e.Path + ": " + cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Code is a stable identifier of the kind of failure.
func (e *Error) Code() string { return e.class().code }

// Advice says what an operator can do.
func (e *Error) Advice() string { return e.class().advice }

// errorClass is what operators are told of errors with one cause.
type errorClass struct {
	cause  error
	code   string
	advice string
}

// errorClasses are matched in this order.
var errorClasses = []errorClass{
	{ErrLocked, "disk_held", "End the other pooler, or give each a folder of its own."},
	{syscall.ENOSPC, "disk_full", "Make room on the folder's file system; the next attempt needs no restart."},
	{syscall.EDQUOT, "disk_full", "Raise the quota of the pooler's user on the folder's file system."},
	{syscall.EROFS, "disk_read_only", "Find out why the file system was set read-only, which a disk that fails often is; then mount it writable."},
	{syscall.EIO, "disk_failing", "Replace the disk. For a voter of the agreement: remove its folder first, it comes back under a new identity."},
	{fs.ErrPermission, "disk_denied", "Give the folder to the user that the pooler runs as, with mode 0700."},
	{fs.ErrNotExist, "disk_missing", "Make the folder, or mend its path in the operator's file."},
}

var (
	unsyncedClass = errorClass{code: "disk_unsynced", advice: "See what the system's log says of the disk: what was written may not be there after a loss of power."}
	otherClass    = errorClass{code: "disk_error", advice: "See what the system's log says of the disk."}
)

func (e *Error) class() errorClass {
	for _, c := range errorClasses {
		if errors.Is(e.Err, c.cause) {
			return c
		}
	}
	if e.Op == OpSync || e.Op == OpSyncDir {
		return unsyncedClass
	}
	return otherClass
}

func wrap(op, path string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{op, path, err}
}

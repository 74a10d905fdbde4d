package warmstate

import (
	"errors"
	"fmt"
)

// ErrNewerVersion is wrapped by the errors for a file of a newer version, which must not be changed.
var ErrNewerVersion = errors.New("written by a newer version")

// ErrMalformed is wrapped by the errors for a file that cannot be read.
var ErrMalformed = errors.New("malformed")

// FormatError reports why a file cannot be decoded.
type FormatError struct {
	Reason string
	Err    error // ErrMalformed or ErrNewerVersion
}

// Error returns the text of the wrapped error and the reason.
func (e *FormatError) Error() string { return e.Err.Error() + ": " + e.Reason }

// Unwrap returns ErrMalformed or ErrNewerVersion.
func (e *FormatError) Unwrap() error { return e.Err }

// LimitError reports that a snapshot is too large to be persisted.
type LimitError struct {
	// What is the unit of Count and Limit: hosts or bytes.
	What  string
	Count int
	Limit int
}

// Error returns a message with the count and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%d %s are more than the limit of %d", e.Count, e.What, e.Limit)
}

// DirectoryError reports a state directory that cannot be opened.
type DirectoryError struct {
	Path string
	// Locked is set if another pooler holds the lock of the directory.
	Locked bool
	Err    error
}

// Error returns a message with the directory and the cause.
func (e *DirectoryError) Error() string {
	if e.Locked {
		return fmt.Sprintf("state folder %s: another pooler has it: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("state folder: %v", e.Err)
}

// Unwrap returns the cause.
func (e *DirectoryError) Unwrap() error { return e.Err }

// LoadError reports a file that exists and cannot be used. It wraps the error of Decode.
type LoadError struct {
	Path string
	// QuarantinedAs is the path to which a malformed file was moved; "" if it was not moved.
	QuarantinedAs string
	// QuarantineErr is why it could not be moved.
	QuarantineErr error
	Err           error
}

// Error returns a message with the file, what was done with it, and the cause.
func (e *LoadError) Error() string {
	switch {
	case e.QuarantineErr != nil:
		return fmt.Sprintf("%s cannot be used and could not be moved aside (%v): %v", e.Path, e.QuarantineErr, e.Err)
	case e.QuarantinedAs != "":
		return fmt.Sprintf("%s can't be used and was moved to %s: %v", e.Path, e.QuarantinedAs, e.Err)
	}
	return fmt.Sprintf("%s is left as it is: %v", e.Path, e.Err)
}

// Unwrap returns the error of Decode.
func (e *LoadError) Unwrap() error { return e.Err }

// NewerFileError reports a file that is not overwritten because a newer version wrote it. It wraps
// ErrNewerVersion.
type NewerFileError struct{ Path string }

// Error returns a message with the file.
func (e *NewerFileError) Error() string {
	return e.Path + " is of a newer version and is not written over"
}

// Unwrap returns ErrNewerVersion.
func (e *NewerFileError) Unwrap() error { return ErrNewerVersion }

// Code returns the stable identifier of the error.
func (e *NewerFileError) Code() string { return "state_newer" }

// Advice tells an operator how to resolve the error.
func (e *NewerFileError) Advice() string {
	return "Run the newer program, or move the file out of the state folder."
}

package membership

import (
	"errors"
	"fmt"
)

// ErrMalformedInfo is wrapped by the errors of DecodeInfo.
var ErrMalformedInfo = errors.New("malformed member information")

// ErrNameConflict is wrapped by the error of Table.Admit for a name that another incarnation holds.
var ErrNameConflict = errors.New("the name is held by another instance")

// ErrTableFull is wrapped by the error of Table.Admit when the table has no room for another member.
var ErrTableFull = errors.New("the member table is full")

// InfoError reports why member information is malformed. It wraps ErrMalformedInfo.
type InfoError struct {
	Reason string
	Err    error // the cause; may be nil
}

// Error returns the sentinel's text and the reason.
func (e *InfoError) Error() string { return ErrMalformedInfo.Error() + ": " + e.Reason }

// Unwrap returns ErrMalformedInfo and the cause.
func (e *InfoError) Unwrap() []error {
	if e.Err == nil {
		return []error{ErrMalformedInfo}
	}
	return []error{ErrMalformedInfo, e.Err}
}

// InfoTooLongError reports encoded member information that exceeds the limit of gossip.
type InfoTooLongError struct {
	Bytes int
	Limit int
}

// Error names the length and the limit.
func (e *InfoTooLongError) Error() string {
	return fmt.Sprintf("the member information takes %d bytes, the limit is %d", e.Bytes, e.Limit)
}

// NameConflictError reports two incarnations of one member name. It wraps ErrNameConflict.
type NameConflictError struct {
	Known   Info // the incarnation in the table
	Claimed Info // the incarnation that was not admitted
}

// Error names both incarnations, their addresses and their start in Unix seconds.
func (e *NameConflictError) Error() string {
	return fmt.Sprintf("%v: %q started %.3f at %s is instance %016x, and %.3f at %s is %016x", ErrNameConflict, e.Known.Name,
		e.Known.StartedAt/millisPerSecond, e.Known.Address, e.Known.Incarnation,
		e.Claimed.StartedAt/millisPerSecond, e.Claimed.Address, e.Claimed.Incarnation)
}

// Unwrap returns ErrNameConflict.
func (e *NameConflictError) Unwrap() error { return ErrNameConflict }

// Code is a stable identifier of the error.
func (e *NameConflictError) Code() string { return "member_name_conflict" }

// Advice tells an operator how to resolve the error.
func (e *NameConflictError) Advice() string {
	return "Give one of the two poolers another name in its cluster block and restart it."
}

// TableFullError reports a member that was not admitted because the table is full. It wraps ErrTableFull.
type TableFullError struct {
	MaxMembers int
}

// Error names the limit.
func (e *TableFullError) Error() string { return fmt.Sprintf("%v: %d", ErrTableFull, e.MaxMembers) }

// Unwrap returns ErrTableFull.
func (e *TableFullError) Unwrap() error { return ErrTableFull }

// Code is a stable identifier of the error.
func (e *TableFullError) Code() string { return "member_table_full" }

// Advice tells an operator how to resolve the error.
func (e *TableFullError) Advice() string {
	return "Raise members in the cluster block of every pooler and restart them, or stop poolers that are not needed."
}

// KeyFileError reports a key file that holds no usable keys.
type KeyFileError struct {
	Path   string
	Line   int // 0 if the error concerns the whole file
	Reason string
	Err    error // the cause; may be nil
}

// Error names the file, the line and the reason.
func (e *KeyFileError) Error() string {
	if e.Line == 0 {
		return e.Path + ": " + e.Reason
	}
	return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Reason)
}

// Unwrap returns the cause.
func (e *KeyFileError) Unwrap() error { return e.Err }

// Code is a stable identifier of the error.
func (e *KeyFileError) Code() string { return "cluster_keys_invalid" }

// Advice tells an operator how to resolve the error.
func (e *KeyFileError) Advice() string {
	return "Write one key a line, the base64 of 16, 24 or 32 random bytes, the same in every pooler's file."
}

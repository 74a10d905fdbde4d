package wire

import "fmt"

// LineError says in which line of the input something is at fault; Cause says what, often a *FieldError.
type LineError struct {
	Line  int // from 1
	Cause error
}

// Error returns the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// FieldError says which field of a message is missing or malformed.
type FieldError struct {
	Message string // its name, such as REQUEST
	Field   string
	Reason  string
}

// Error returns the message, its field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", e.Message, e.Field, e.Reason)
}

package wire

import "fmt"

// LineError reports the line of the input that is invalid. Cause is the reason, often a *FieldError.
type LineError struct {
	Line  int // the first line is 1
	Cause error
}

// Error returns the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Cause) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Cause }

// FieldError reports which field of a message is missing or malformed.
type FieldError struct {
	Message string // the message's name, such as REQUEST
	Field   string
	Reason  string
}

// Error returns the message, its field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: %s", e.Message, e.Field, e.Reason)
}

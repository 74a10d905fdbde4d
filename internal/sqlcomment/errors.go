package sqlcomment

import (
	"errors"
	"fmt"
)

// ErrNoComment is the error of Parse for a statement that does not begin with a request's comment.
var ErrNoComment = errors.New("the statement does not begin with a whole comment /* id=…,c=…,d=… */")

// ErrZeroByte is the error of Parse for a statement that contains a zero byte, which no wire can carry.
var ErrZeroByte = errors.New("the statement holds a zero byte")

// ErrDuplicateTimeout is the error of Parse for a comment with two values of d.
var ErrDuplicateTimeout = errors.New("the comment names d twice")

// LengthError reports a statement that is too long.
type LengthError struct {
	Bytes int
	Limit int
}

// Error names the length and the limit.
func (e *LengthError) Error() string {
	return fmt.Sprintf("the statement has %d bytes, %d are allowed", e.Bytes, e.Limit)
}

// FieldError reports a field of the comment that is not name=value.
type FieldError struct{ Field string }

// Error names the field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("the comment holds %q, which is not name=value", e.Field)
}

// ValueError reports a field of the comment whose value is not a number in its range.
type ValueError struct {
	Name  string
	Value string
	Err   error
}

// Error names the field and its value.
func (e *ValueError) Error() string {
	return fmt.Sprintf("the comment's %s is %q, which is no number that fits", e.Name, e.Value)
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

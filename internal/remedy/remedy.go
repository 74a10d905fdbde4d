// Package remedy reads from an error what an operator can do about it. Errors that leave a package implement Error where
// an operator can act; commands and the admin socket show what Find returns.
package remedy

import "errors"

// Error is an error that an operator can act on.
type Error interface {
	error
	// Code is a stable identifier of the kind of error, such as disk_full.
	Code() string
	// Advice says in a sentence what an operator can do.
	Advice() string
}

// Find returns the first Error in the chain of err, or nil if there is none.
func Find(err error) Error {
	var found Error
	if errors.As(err, &found) {
		return found
	}
	return nil
}

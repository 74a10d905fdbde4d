// Package advice is what errors that leave a package tell operators, read in one place.
package remedy

import "errors"

// Error is an error with a short stable word and what an operator can do.
type Error interface {
	error
	Code() string
	Advice() string
}

// Find finds it in an error's chain; nil: there is none.
func Find(err error) Error {
	var a Error
	if errors.As(err, &a) {
		return a
	}
	return nil
}

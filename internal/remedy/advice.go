// Package advice is what errors that leave a package tell operators, read in one place.
package remedy

import "errors"

// Advised is an error with a short stable word and what an operator can do.
type Advised interface {
	error
	Code() string
	Advice() string
}

// Of finds it in an error's chain; nil: there is none.
func Of(err error) Advised {
	var a Advised
	if errors.As(err, &a) {
		return a
	}
	return nil
}

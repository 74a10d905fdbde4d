// Package panics decides which panics one request or one connection may survive.
//
// A panic in code that serves one request, one call or one connection ends just that, and is counted. A panic in
// code that owns state which everything else relies on ends the process: that state may be half changed, and a
// decision made from it may break a rule that a restart would keep. Such code defers Escalate, and whoever
// recovers a panic calls Check first.
package panics

import (
	"fmt"
	"runtime/debug"
)

// UnrecoverableError is the value of a panic that has to end the process.
type UnrecoverableError struct {
	Value any    // the value of the first panic
	Stack []byte // where the first panic arose
}

// Error implements error.
func (e *UnrecoverableError) Error() string {
	return fmt.Sprintf("shared state may be broken: %v\n%s", e.Value, e.Stack)
}

// Unwrap returns the value of the first panic, if that is an error.
func (e *UnrecoverableError) Unwrap() error {
	err, _ := e.Value.(error)
	return err
}

// Escalate turns a panic into one that ends the process. It has to be deferred directly.
func Escalate() {
	value := recover()
	if value == nil {
		return
	}
	if _, ok := value.(*UnrecoverableError); ok {
		panic(value)
	}
	panic(&UnrecoverableError{Value: value, Stack: debug.Stack()})
}

// Check panics again with a recovered value that has to end the process.
func Check(value any) {
	if unrecoverable, ok := value.(*UnrecoverableError); ok {
		panic(unrecoverable)
	}
}

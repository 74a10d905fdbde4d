package panics

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a recovery that goes on with shared state which a panic left half changed.
func TestEscalatedPanicIsNotRecovered(t *testing.T) {
	cause := errors.New("half changed")
	handle := func(body func()) {
		defer func() {
			if value := recover(); value != nil {
				Check(value)
			}
		}()
		body()
	}
	require.NotPanics(t, func() { handle(func() { panic(cause) }) })
	func() {
		defer func() {
			err, ok := recover().(*UnrecoverableError)
			require.True(t, ok)
			require.ErrorIs(t, err, cause)
			require.Contains(t, string(err.Stack), "TestEscalatedPanicIsNotRecovered")
		}()
		handle(func() {
			defer Escalate()
			defer Escalate() // nested owners keep the first stack
			panic(cause)
		})
	}()
	require.NotPanics(t, func() { defer Escalate() })
}

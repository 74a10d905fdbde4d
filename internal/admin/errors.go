package admin

import (
	"fmt"

	"ashstand/internal/remedy"
)

// failedCode is the code of errors that have none of their own.
const failedCode = "failed"

// RemoteError is an error as a running pooler reports it to its operators.
type RemoteError struct {
	Reason  string `json:"code"` // one word, for programs
	Message string `json:"message"`
	Remedy  string `json:"advice,omitempty"` // what an operator can do
}

// NewRemoteError returns the form in which err is sent, with the code and advice of the first error in its chain that has them.
func NewRemoteError(err error) *RemoteError {
	e := &RemoteError{Reason: failedCode, Message: err.Error()}
	if r := remedy.Find(err); r != nil {
		e.Reason, e.Remedy = r.Code(), r.Advice()
	}
	return e
}

// Error returns the message, with the remedy if there is one.
func (e *RemoteError) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; what to do: " + e.Remedy
}

// Code returns the reason in one word.
func (e *RemoteError) Code() string { return e.Reason }

// Advice returns what an operator can do.
func (e *RemoteError) Advice() string { return e.Remedy }

// ListenError is returned where the address of the operator's file can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error returns the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("admin: %v", e.Err) }

// Unwrap returns the system's error.
func (e *ListenError) Unwrap() error { return e.Err }

// AddressInUseError is returned where another process answers on the Unix socket.
type AddressInUseError struct{ Address string }

// Error names the address.
func (e *AddressInUseError) Error() string {
	return fmt.Sprintf("admin: another process answers at %s", e.Address)
}

// UnreachableError is returned where no pooler answers.
type UnreachableError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no pooler answers at %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// UnixSocketRequiredError is returned for a command to a pooler that answers on a TCP address.
type UnixSocketRequiredError struct{ Command, Address string }

// Error names the command and the address.
func (e *UnixSocketRequiredError) Error() string {
	return fmt.Sprintf("%s is done through a Unix socket alone; the pooler answers at %s", e.Command, e.Address)
}

// StatusError is returned for an answer with a status that a pooler of this version gives to no view or command it knows.
type StatusError struct{ Name, Status string }

// Error names what was asked for and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: the pooler answers %s", e.Name, e.Status)
}

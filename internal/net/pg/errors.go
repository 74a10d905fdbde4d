package pg

import (
	"errors"
	"fmt"

	"ashstand/internal/edge"
)

// Protocol errors of a peer.
var (
	errMessageLength     = errors.New("a message's length is out of bounds")
	errUnexpectedMessage = errors.New("an answer of a form that no request asks for")
	// errMalformed marks an answer that can't be parsed. Its request has run, and the remaining bytes on the
	// connection can't be interpreted.
	errMalformed   = errors.New("spoilt")
	errUnsolicited = fmt.Errorf("%w: the db host spoke unasked", errMalformed)
)

// Reasons why a connection to a database host is unavailable or must not be used.
var (
	errClosed          = errors.New("the connection was closed")
	errGateClosed      = errors.New("the gate did not open")
	errUnknownHost     = errors.New("discovery has given no address for this host")
	errAddressChanged  = errors.New("the host is at another address now")
	errHostRejected    = errors.New("the db host turns connections away")
	errHostUnavailable = errors.New("the db host takes nothing new, or is elsewhere now")
	errHostClosing     = errors.New("the db host ends the connection")
	errPasswordNeeded  = errors.New("the db host asks for a password, which is not supported")
)

// HandshakeError reports that a database host answered a startup message with an error. It wraps
// edge.ErrHostRejected if the host has no capacity left (SQLSTATE 53300).
type HandshakeError struct {
	SQLState string
	Text     string
}

// Error returns a message with the host's error text.
func (e *HandshakeError) Error() string {
	if e.SQLState == string(stateTooManyConnections) {
		return fmt.Sprintf("%v: %s", edge.ErrHostRejected, e.Text)
	}
	return fmt.Sprintf("the db host turned the connection away: %s %s", e.SQLState, e.Text)
}

// Unwrap returns edge.ErrHostRejected if the host has no capacity left, and nil otherwise.
func (e *HandshakeError) Unwrap() error {
	if e.SQLState == string(stateTooManyConnections) {
		return edge.ErrHostRejected
	}
	return nil
}

// StartupOptionError reports an item of the startup parameter "options" that is not a valid assignment.
type StartupOptionError struct {
	Option   string
	Expected string // the required form of the item
}

// Error returns a message with the item and its required form.
func (e *StartupOptionError) Error() string {
	return fmt.Sprintf("the startup message's options hold %q, which is no %s", e.Option, e.Expected)
}

// VerifierError reports why a text is not a valid password verifier.
type VerifierError struct {
	Detail string // the part that is invalid; empty if the text as a whole has another form
}

// Error returns a message with the required form of a verifier and the invalid part of this one.
func (e *VerifierError) Error() string {
	text := "a verifier is SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey"
	if e.Detail != "" {
		text += "; " + e.Detail
	}
	return text
}

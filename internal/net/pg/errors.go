package pg

import (
	"errors"
	"fmt"

	"ashstand/internal/edge"
)

// Faults of what a peer sent.
var (
	errMessageLength     = errors.New("a message's length is out of bounds")
	errUnexpectedMessage = errors.New("an answer of a form that no request asks for")
	// errMalformed marks an answer that can't be read. Its request has run, and nothing else on its connection can be
	// understood from what remains of it.
	errMalformed   = errors.New("spoilt")
	errUnsolicited = fmt.Errorf("%w: the db host spoke unasked", errMalformed)
)

// Reasons for which a connection to a db host is not there, or is not used.
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

// HandshakeError says that a db host answered a startup message with an error. It wraps edge.ErrHostRejected where the host
// has no capacity.
type HandshakeError struct {
	SQLState string
	Text     string
}

// Error names what the host answered.
func (e *HandshakeError) Error() string {
	if e.SQLState == string(stateTooManyConnections) {
		return fmt.Sprintf("%v: %s", edge.ErrHostRejected, e.Text)
	}
	return fmt.Sprintf("the db host turned the connection away: %s %s", e.SQLState, e.Text)
}

// Unwrap is edge.ErrHostRejected where the host has no capacity.
func (e *HandshakeError) Unwrap() error {
	if e.SQLState == string(stateTooManyConnections) {
		return edge.ErrHostRejected
	}
	return nil
}

// StartupOptionError names an item of the startup parameter "options" that sets nothing.
type StartupOptionError struct {
	Option   string
	Expected string // the form that it should have
}

// Error names the item and the form that it should have.
func (e *StartupOptionError) Error() string {
	return fmt.Sprintf("the startup message's options hold %q, which is no %s", e.Option, e.Expected)
}

// VerifierError says why a text is no password verifier.
type VerifierError struct {
	Detail string // "": it has another form
}

// Error gives the form of a verifier, and what is wrong with this one.
func (e *VerifierError) Error() string {
	text := "a verifier is SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey"
	if e.Detail != "" {
		text += "; " + e.Detail
	}
	return text
}

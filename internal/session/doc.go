// Package session tracks the state of a client's session, so that the session can move from one server
// connection to another: its settings, its prepared statements, its current transaction, where that
// transaction may run, and what the loss of a connection means for it. The package does no I/O and reads no
// clock. A front passes in the messages that were sent and received; where they differ from what the
// statements suggest, the server's command tags and transaction status are authoritative.
//
// Nothing in this package is safe for concurrent use. The state of a session, and the state that the sessions
// of a front share, may only be used by the goroutine of that front.
package session

// Package session decides what a client's session is and how it is carried from one server connection to the next:
// which settings it has, which statements it prepared, which transaction it is in, where that transaction may run and
// what it means when a connection is lost. It does no I/O and reads no clock; a front feeds it what was sent and what
// came back, and the server's tags and status are the truth.
//
// Nothing in it is safe for concurrent use: what belongs to a session, and what a front's sessions share, belongs to the
// goroutine of that front.
package session

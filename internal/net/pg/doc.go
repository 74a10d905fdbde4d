// Package pg speaks version 3 of PostgreSQL's protocol on both sides of the pooler.
//
// In statement mode a Front takes simple queries and gives each to the edge as a request, and a Pool holds the connections to
// db hosts over which the edge runs them. In transaction and session mode a SessionFront serves whole sessions: it links a
// client to a server connection for a transaction, or for as long as the session has to keep it, and relays messages.
//
// State of a client or a connection belongs to the event loop that serves it. The exceptions say which mutex guards them.
package pg

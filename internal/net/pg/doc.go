// Package pg speaks version 3 of PostgreSQL's protocol on both sides of the pooler.
//
// In statement mode, a Front accepts simple queries and passes each one to package edge as a request. A Pool
// holds the connections to database hosts over which the edge runs these requests. In transaction and session
// mode, a SessionFront serves whole sessions: it links a client to a server connection for one transaction, or
// for as long as the session has to keep that connection, and relays the messages between the two.
//
// The state of a client or a connection is confined to the event loop that serves it. Fields that are guarded
// by a mutex instead are documented as such.
package pg

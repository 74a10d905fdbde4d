package lifecycle

// CloseReason says why a client connection ended.
type CloseReason uint8

// The close reasons.
const (
	ClosedByClient      CloseReason = iota // the client closed or reset the connection
	ClosedTerminate                        // the client sent Terminate
	ClosedCancelRequest                    // the connection carried a cancel request, which gets no answer
	ClosedDraining                         // the process is draining, and the connection was between requests
	ClosedByShutdown                       // the process ends; the client was sent an error
	ClosedIdle                             // the connection was idle while its place, or many places, were needed
	ClosedSilent                           // the client did not complete a message in time
	ClosedProtocol                         // the client violated the protocol and was sent an error
	ClosedOverloaded                       // the client sent more ahead than may be buffered, and was sent an error
	ClosedTableFull                        // the connection table was full; the client was sent an error if possible
	ClosedNotReading                       // the client did not read its answers in time
	ClosedEngineFailure                    // the event loop failed to serve the connection
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"client", "terminate", "cancel_request", "draining", "cutting", "idle", "silent", "protocol", "overloaded", "table_full",
	"not_reading", "engine_failure",
}

// String returns the reason's name in logs and metrics.
func (r CloseReason) String() string {
	if r < closeReasonCount {
		return closeReasonNames[r]
	}
	return "unknown"
}

// CloseReasons returns all reasons.
func CloseReasons() []CloseReason { return enumerate(closeReasonCount) }

// RequiresAnswers reports whether every request of a connection must be answered before the connection is closed
// for this reason. That is so if the pooler itself closes the connection, unless it does so because the
// client has disconnected or does not read, or because the event loop failed.
func (r CloseReason) RequiresAnswers() bool {
	switch r {
	case ClosedByClient, ClosedTerminate, ClosedCancelRequest, ClosedNotReading, ClosedEngineFailure:
		return false
	}
	return true
}

// enumerate returns the values of an enumeration below n.
func enumerate[T ~uint8](n T) []T {
	all := make([]T, n)
	for i := range all {
		all[i] = T(i)
	}
	return all
}

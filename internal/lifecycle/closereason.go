package lifecycle

// CloseReason is why a client's connection ended.
type CloseReason uint8

// The reasons.
const (
	ClosedByClient      CloseReason = iota // it closed or reset the connection
	ClosedTerminate                        // it sent Terminate
	ClosedCancelRequest                    // it carried a cancel request, which gets no answer
	ClosedDraining                         // the process is to end, and the connection was between requests
	ClosedCutting                          // the process ends; it was told so
	ClosedIdle                             // it was idle while its place, or many places, were wanted
	ClosedSilent                           // it kept the pooler waiting for a complete message
	ClosedProtocol                         // what it sent makes no sense; it was told so
	ClosedOverloaded                       // it sent more ahead than can be retained; it was told so
	ClosedTableFull                        // no place was free; it was told so where that was possible
	ClosedNotReading                       // it did not take its answers in time
	ClosedEngineFailure                    // the event loop could not go on with it
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"client", "terminate", "cancel_request", "draining", "cutting", "idle", "silent", "protocol", "overloaded", "table_full",
	"not_reading", "engine_failure",
}

// String names the reason as logs and counters do.
func (r CloseReason) String() string {
	if r < closeReasonCount {
		return closeReasonNames[r]
	}
	return "unknown"
}

// CloseReasons returns all reasons.
func CloseReasons() []CloseReason { return enumerate(closeReasonCount) }

// OwesAnswers reports whether a connection that ends for this reason may have nothing open: the pooler itself ends it, and not
// because its client has gone or does not read.
func (r CloseReason) OwesAnswers() bool {
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

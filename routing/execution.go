package routing

// Execution is what the end of an attempt proves about whether the request ran at its host. It is independent
// of the Code: a request may have run although its answer is of no use to the client. The zero value proves
// nothing.
type Execution uint8

// The proofs. A host starts to run a request when it has received the last byte.
const (
	MayHaveRun         Execution = iota // nothing is proven
	Ran                                 // the host answered it, completely or in part
	NotBegun                            // no byte of the request was written
	NotWritten                          // the last byte of the request was not written, and will not be
	RejectedUnexecuted                  // the host rejected it before it sent any part of an answer
)

var executionNames = [...]string{"may_have_run", "ran", "not_begun", "not_written", "rejected_unexecuted"}

// String names the proof as logs do.
func (x Execution) String() string {
	if int(x) < len(executionNames) {
		return executionNames[x]
	}
	return "unknown"
}

// NeverRan reports whether it is proven that no part of the request ran.
func (x Execution) NeverRan() bool {
	switch x {
	case NotBegun, NotWritten, RejectedUnexecuted:
		return true
	}
	return false
}

// PermitsRejection reports whether a rejection may be the final answer to a request of the class. A rejection
// promises the client that a retry is harmless.
func (k *Class) PermitsRejection(mayHaveRun bool) bool {
	isRetryHarmless := k.Idempotency == Idempotent || k.Idempotency == Deduplicated && k.Scope == ScopeAll
	return isRetryHarmless || !mayHaveRun
}

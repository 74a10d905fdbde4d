package routing

// Execution is what the end of an attempt proves of whether the request ran at its host. It is a fact of the
// past, and apart from the Code: that an answer is of no use to the client does not take back that it ran.
// The zero value proves nothing.
type Execution uint8

// The proofs. A host starts a request with its last byte.
const (
	MayHaveRun         Execution = iota // nothing is proven
	Ran                                 // the host answered it, wholly or in part
	NotBegun                            // no byte of it was written
	NotWritten                          // its last byte was not written, and will not be
	RejectedUnexecuted                  // the host rejected it, and sent nothing of an answer before
)

var executionNames = [...]string{"may_have_run", "ran", "not_begun", "not_written", "rejected_unexecuted"}

// String names the proof as logs do.
func (x Execution) String() string {
	if int(x) < len(executionNames) {
		return executionNames[x]
	}
	return "unknown"
}

// NeverRan reports whether it is proven that nothing ran.
func (x Execution) NeverRan() bool {
	switch x {
	case NotBegun, NotWritten, RejectedUnexecuted:
		return true
	}
	return false
}

// PermitsRejection reports whether a rejection may be the final answer to a request of the class. A rejection
// promises its client that a retry is harmless.
func (k *Class) PermitsRejection(mayHaveRun bool) bool {
	isRetryHarmless := k.Idempotency == Idempotent || k.Idempotency == Deduplicated && k.Scope == ScopeAll
	return isRetryHarmless || !mayHaveRun
}

package lifecycle

// RejectionPermit is the proof that something may be answered with a rejection, which promises its client that a retry is
// harmless. Only this package makes one that permits anything, so that a front can't encode a rejection which nobody has judged.
// The zero value permits nothing.
type RejectionPermit struct{ granted bool }

// IsGranted reports whether a rejection may be given.
func (p RejectionPermit) IsGranted() bool { return p.granted }

// RejectionFacts are what MayReject rests on. They are facts of the attempts, as the network code saw them, whatever was made
// of their answers.
type RejectionFacts struct {
	MayHaveRun      bool // some attempt
	RetryIsHarmless bool // by the request's class, though it may have run
}

// MayReject decides whether a request may be rejected.
func MayReject(f RejectionFacts) (RejectionPermit, Decision) {
	if f.MayHaveRun && !f.RetryIsHarmless {
		return RejectionPermit{}, Decision{RequestMayHaveRun}
	}
	return RejectionPermit{granted: true}, Decision{Allowed}
}

// PermitUntried permits the rejection of something for which no attempt was made: a connection that is not taken, a statement
// that was not handed to the core.
func PermitUntried() RejectionPermit { return RejectionPermit{granted: true} }

// RepeatFacts are what MayRepeat rests on.
type RepeatFacts struct {
	MayHaveRun bool // some attempt
	AtMostOnce bool // the request's class must not be repeated
}

// MayRepeat decides whether one more attempt of a request may be made. Whether it can end inside the window in which hosts discard
// repeats is asked at the write.
func MayRepeat(f RepeatFacts) Decision {
	if f.MayHaveRun && f.AtMostOnce {
		return Decision{RequestMayHaveRun}
	}
	return Decision{Allowed}
}

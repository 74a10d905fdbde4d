package lifecycle

// RejectionPermit is the proof that a request may be rejected. A rejection promises the client that a retry
// is harmless. Only this package can create a granted permit, so a front cannot encode a rejection that was
// not checked here. The zero value permits nothing.
type RejectionPermit struct{ granted bool }

// IsGranted reports whether a rejection may be given.
func (p RejectionPermit) IsGranted() bool { return p.granted }

// RejectionFacts are the inputs of MayReject. They are facts about the attempts as the network code saw them,
// whether or not their answers were used.
type RejectionFacts struct {
	MayHaveRun      bool // some attempt of the request may have run
	RetryIsHarmless bool // the request's class makes a retry harmless even if the request ran
}

// MayReject decides whether a request may be rejected.
func MayReject(f RejectionFacts) (RejectionPermit, Decision) {
	if f.MayHaveRun && !f.RetryIsHarmless {
		return RejectionPermit{}, Decision{RequestMayHaveRun}
	}
	return RejectionPermit{granted: true}, Decision{Allowed}
}

// PermitUntried permits the rejection of work for which no attempt was made: a connection that is not
// accepted, or a statement that was not handed to the core.
func PermitUntried() RejectionPermit { return RejectionPermit{granted: true} }

// RepeatFacts are the inputs of MayRepeat.
type RepeatFacts struct {
	MayHaveRun bool // some attempt of the request may have run
	AtMostOnce bool // requests of the class must not be repeated
}

// MayRepeat decides whether one more attempt of a request may be made. Whether that attempt can end inside
// the window in which hosts discard repeats is checked when it is written.
func MayRepeat(f RepeatFacts) Decision {
	if f.MayHaveRun && f.AtMostOnce {
		return Decision{RequestMayHaveRun}
	}
	return Decision{Allowed}
}

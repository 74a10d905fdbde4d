package lifecycle

// Phase is a phase in the life of the process. It determines how requests are handled.
type Phase uint8

// The phases of a process, in their order.
const (
	Starting    Phase = iota // no complete endpoint list has been received: nothing can be served
	Ready                    // requests are served
	Draining                 // client connections are closed between requests; new requests are still served
	Terminating              // each open request gets its final answer now; nothing more is sent to a host
	Ended                    // the process is about to exit
)

// phaseNames are the names in logs and metrics. Terminating is called "cutting" there.
var phaseNames = [...]string{"starting", "ready", "draining", "cutting", "ended"}

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// PhaseEvent is an event that moves the process from one phase to another.
type PhaseEvent uint8

// The events.
const (
	EndpointListReceived PhaseEvent = iota // a complete endpoint list has been received
	DrainStarted                           // the shutdown has begun to close client connections between requests
	TerminationStarted                     // the time for open requests to finish is over
	ProcessExiting                         // the time to write the final answers is over
)

// Next returns the phase after an event. The process never goes back to an earlier phase: an event that comes
// late has no effect.
func (p Phase) Next(e PhaseEvent) Phase {
	to := p
	switch e {
	case EndpointListReceived:
		to = Ready
	case DrainStarted:
		to = Draining
	case TerminationStarted:
		to = Terminating
	case ProcessExiting:
		to = Ended
	}
	return max(p, to)
}

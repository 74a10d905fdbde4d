package lifecycle

// Phase is what a process does with requests.
type Phase uint8

// The phases of a process, in the order in which it goes through them.
const (
	Starting Phase = iota // no list of hosts is held: nothing can be served
	Ready                 // requests are served
	Draining              // client connections are closed between requests; what comes is served
	Cutting               // each request gets its final answer now; nothing is sent to a host
	Ended                 // the process is about to exit
)

var phaseNames = [...]string{"starting", "ready", "draining", "cutting", "ended"}

// String names the phase as logs and counters do.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// PhaseEvent is what moves a process from one phase to another.
type PhaseEvent uint8

// The events.
const (
	ListReceived   PhaseEvent = iota // a whole list of hosts is held
	DrainStarted                     // the process was told to end, and the time to send clients elsewhere has come
	CutStarted                       // the time for answers is over
	ProcessExiting                   // every connection has its last bytes
)

// Next returns the phase behind an event. A phase is never left for an earlier one: an event that comes late changes nothing.
func (p Phase) Next(e PhaseEvent) Phase {
	to := p
	switch e {
	case ListReceived:
		to = Ready
	case DrainStarted:
		to = Draining
	case CutStarted:
		to = Cutting
	case ProcessExiting:
		to = Ended
	}
	return max(p, to)
}

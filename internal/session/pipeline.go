package session

// The kinds of what a client asked for, in the order in which a server answers.
type replyKind uint8

// The kinds of what a server is asked for, in the order in which it answers.
const (
	replyParse replyKind = iota
	replyBind
	replyDescribe
	replyExecute
	replyClose
	replySync
	replyQuery
	replyFunction
	replySettings // of the pooler's: what brings the connection to the session's settings
)

// expectedReply is one message whose answer is due.
type expectedReply struct {
	kind          replyKind
	local         bool      // the server was not asked: the answer is ours
	hidden        bool      // the client did not ask: the answer is not passed on
	changesNames  bool      // Names.Ask was told of it
	prepared      *Prepared // Parse: what is being prepared; Bind, Execute: what runs
	statements    []Statement
	nextStatement int         // the first of run that is not done
	replacement   *ErrorReply // the server was sent something that fails in its place
	closedKey     Key         // Close of ours: the server's statement
}

// ErrorReply is an error of ours. Where a connection is linked, the server is sent something that fails at that point, so
// that its transaction has failed too, and its error is replaced by this one.
type ErrorReply struct{ SQLState, Text string }

// What is sent to make a server fail: a query that is no SQL, and the name of a statement that nobody prepares.
const (
	FailingQuery     = "ashstand refuses"
	FailingStatement = "as_refused"
)

// Injection is a message of ours that goes before the client's.
type Injection struct {
	Close   Key // of the server's statement; where Parse is nil
	Parse   *Prepared
	Unnamed bool // Parse: as the unnamed statement
}

// ClientAction says what becomes of a client's message.
type ClientAction struct {
	Before []Injection
	Drop   bool   // it is answered here, or skipped
	Rename string // the name that the statement has on the server; "": as the client worded it
	Text   string // Query: another text; "": as the client worded it
}

// ServerAction says what becomes of a server's message.
type ServerAction struct {
	Drop       bool // it answers something that the client did not ask
	Ready      bool // a ReadyForQuery of the client's
	Unexpected bool // nothing that is due is answered so: the two sides are out of step
	// Injected says that an answer to something of ours is complete; Failed with it, that it was an error.
	Injected, Failed bool
	Replacement      *ErrorReply // an ErrorResponse is to be replaced by this
}

// Pipeline is one session between its client and its server connection, message by message. It decides what goes to
// the server, under which names, and what of the server's answers is the client's.
type Pipeline struct {
	Tracker
	StatementNames

	server          *ServerStatements // what is prepared on the connection linked; nil: none is
	expected        []expectedReply
	head            int
	portals         map[string]*Prepared
	skipping        bool // an error came: what the client sends up to Sync is not run
	copyIn          bool
	status          byte // of the last ReadyForQuery passed
	blockLost       bool // the client is in a block whose connection is lost: it has failed, and only its end can follow
	staleStatements map[Key]bool
	readOnly        bool
	implicitWork    bool        // statements ran outside a block whose implicit transaction no ReadyForQuery has ended yet
	commitSeen      bool        // and a COMMIT went through
	wrote           bool        // a statement that may write ran since Wrote was asked
	stickyCause     StickyCause // why the session can't leave its connection; "": it can
}

// NewPipeline returns the pipeline of a session that connected with these settings.
func NewPipeline(startup *Settings, c *Catalogue) *Pipeline {
	return &Pipeline{Tracker: NewTracker(startup), StatementNames: NewStatementNames(c), status: 'I'}
}

// Link says that the session has a server connection from now on, for a transaction that is routed as read-only or not.
func (p *Pipeline) Link(s *ServerStatements, readOnly bool) { p.server, p.readOnly = s, readOnly }

// AssumePrepared makes the pipeline believe that whatever the session prepared is prepared on every connection. It is there so
// that what checks statements can be seen to fail.
func (p *Pipeline) AssumePrepared() {
	for _, s := range p.established {
		p.server.Add(s.Key, nil)
	}
}

// Unlink says that it has none.
func (p *Pipeline) Unlink() { p.server = nil }

// Status is the transaction status that the client was told last.
func (p *Pipeline) Status() byte { return p.status }

// Idle reports whether nothing is due, so that the connection may serve another session if the status is 'I'.
func (p *Pipeline) Idle() bool {
	return p.head == len(p.expected) && !p.skipping && p.status == 'I' && !p.copyIn
}

// TakeWrote reports whether a statement that may write ran since it was asked last.
func (p *Pipeline) TakeWrote() bool {
	w := p.wrote
	p.wrote = false
	return w
}

// StickyCause is why the session can't leave its connection; "": it can.
func (p *Pipeline) StickyCause() StickyCause { return p.stickyCause }

// NeedsRestore reports whether the connection has to be brought to the session's settings again: RESET gave it its own.
func (p *Pipeline) NeedsRestore() bool { return len(p.resetNames) > 0 && p.status != 'E' && !p.failed }

// DiscardAll takes a DISCARD ALL that is answered here, where the session has no connection.
func (p *Pipeline) DiscardAll() {
	p.Deallocate("", true)
	p.Completed(&Statement{Kind: DiscardAll}, "")
	p.Ready('I')
	p.Restored()
}

// Expected is how many answers are.
func (p *Pipeline) Expected() int { return len(p.expected) - p.head }

// CopyIn reports whether the server waits for the client's COPY data.
func (p *Pipeline) CopyIn() bool { return p.copyIn }

// BlockLost reports whether the client is in a block whose connection was lost: only its end can follow.
func (p *Pipeline) BlockLost() bool { return p.blockLost }

// EndLostBlock takes a COMMIT or ROLLBACK in a block whose connection is lost: the client is out of it.
func (p *Pipeline) EndLostBlock() { p.blockLost, p.status = false, 'I' }

// SkipUntilSync says that an error was given here to a message of a pipeline: what follows up to Sync is not run.
func (p *Pipeline) SkipUntilSync() { p.skipping = true }

// Skipping reports whether what comes up to Sync is passed over.
func (p *Pipeline) Skipping() bool { return p.skipping }

// SyncLocally takes a Sync that is answered here.
func (p *Pipeline) SyncLocally() { p.skipping = false }

func (p *Pipeline) push(e expectedReply) {
	if p.head > 0 && p.head == len(p.expected) {
		p.expected, p.head = p.expected[:0], 0
	}
	p.expected = append(p.expected, e)
}

func (p *Pipeline) pop() {
	p.expected[p.head] = expectedReply{}
	if p.head++; p.head == len(p.expected) {
		p.expected, p.head = p.expected[:0], 0
		if cap(p.expected) > 256 { // one long pipeline is no reason to keep its room
			p.expected = nil
		}
	}
}

func (p *Pipeline) front() *expectedReply {
	if p.head == len(p.expected) {
		return nil
	}
	return &p.expected[p.head]
}

// needsStatement reports whether the pipeline under way needs a statement on the server.
func (p *Pipeline) needsStatement(k Key) bool {
	for i := p.head; i < len(p.expected); i++ {
		if p.expected[i].prepared != nil && p.expected[i].prepared.Key == k {
			return true
		}
	}
	return false
}

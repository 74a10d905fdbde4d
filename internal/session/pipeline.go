package session

// replyKind is the kind of request that an expected reply answers.
type replyKind uint8

// The kinds of requests, named after the frontend messages of the PostgreSQL protocol.
const (
	replyParse replyKind = iota
	replyBind
	replyDescribe
	replyExecute
	replyClose
	replySync
	replyQuery
	replyFunction
	// replySettings is the pooler's own query that applies the session's settings to the connection.
	replySettings
)

// expectedReply is one request whose answer is outstanding. A server answers in the order of the requests.
type expectedReply struct {
	kind replyKind
	// local is set if the request was not sent to the server: the pooler answers it.
	local bool
	// hidden is set if the pooler sent the request itself: the answer is not passed on to the client.
	hidden bool
	// isBoundary is set for a hidden Sync between two transactions of one pipeline; see Pipeline.SyncBoundary.
	isBoundary bool
	// isEmpty is set for a Sync with no message of a pipeline before it.
	isEmpty bool
	// copyEndsSent is, for Sync, how many ends of COPY data were sent before it.
	copyEndsSent int
	// bytes and savepointBytes are what Pipeline.aheadBytes and pendingSavepointBytes include for it.
	bytes, savepointBytes int
	// changesNames is set if the request was recorded with StatementNames.Request.
	changesNames bool
	// prepared is, for Parse, the statement being prepared; for Bind, Describe and Execute, the statement
	// used.
	prepared   *PreparedStatement
	statements []Statement
	// nextStatement is the index in statements of the first one that has not completed.
	nextStatement int
	// replacement is set if the server was sent something that fails in place of the request. It replaces the
	// server's error.
	replacement *ErrorReply
	// closedKey is, for a hidden Close, the statement that it closes on the server.
	closedKey Key
}

// ErrorReply is an error that the pooler itself returns to the client. If the session is linked to a server
// connection, the server is sent something that fails at that point, so that its transaction fails too, and
// the server's error is replaced by this one.
type ErrorReply struct{ SQLState, Text string }

// What is sent to cause an error on the server: a query that is not valid SQL, and the name of a statement
// that is never prepared.
const (
	FailingQuery     = "ashstand refuses"
	FailingStatement = "as_refused"
)

// Injection is a Parse or Close message that the pooler sends before the client's message.
type Injection struct {
	// Close is the statement to close on the server; it is used if Parse is nil.
	Close Key
	// Parse is the statement to prepare.
	Parse *PreparedStatement
	// Unnamed is set if Parse prepares the unnamed statement.
	Unnamed bool
}

// ClientAction says what to do with a message of the client.
type ClientAction struct {
	// Before lists the messages to send before it.
	Before []Injection
	// Drop is set if the message is not sent to the server: the pooler answers it, or it is skipped after an
	// error.
	Drop bool
	// Rename is the statement's name on the server; if empty, the client's name is kept.
	Rename string
	// Text replaces the text of a Query; if empty, the client's text is kept.
	Text string
}

// ServerAction says what to do with a message of the server.
type ServerAction struct {
	// Drop is set if the message answers a request of the pooler and is not passed on to the client.
	Drop bool
	// Ready is set for a ReadyForQuery that is passed on to the client, and for the hidden one of SyncBoundary.
	Ready bool
	// Empty is set, with Ready, if the ReadyForQuery answers a Sync by itself, which runs nothing.
	Empty bool
	// Unexpected is set if the message answers no outstanding request: the pipeline and the server are out of
	// sync.
	Unexpected bool
	// SettingsApplied is set when the answer to the pooler's settings query is complete. Failed is set for an error in
	// that answer, and again with SettingsApplied.
	SettingsApplied, Failed bool
	// Replacement is the error that replaces the server's ErrorResponse; nil: the message is passed on.
	Replacement *ErrorReply
}

// Pipeline follows the messages of one session between its client and its server connection. It decides which
// messages are sent to the server, under which statement names, and which of the server's answers are passed
// on to the client.
type Pipeline struct {
	SettingsTracker
	StatementNames

	// server is what is prepared on the linked server connection; nil: the session is not linked.
	server *ServerStatements
	// expected holds the outstanding replies, from index head on.
	expected []expectedReply
	head     int
	// aheadBytes is the memory that the outstanding replies use.
	aheadBytes int
	// pendingSettingBytes and pendingSavepointBytes are what outstanding statements will make the session keep.
	pendingSettingBytes, pendingSavepointBytes int
	portals                                    portalSet
	// skipping is set after an error in a pipeline: what the client sends up to Sync is not run.
	skipping bool
	// copyIn is set while the server waits for the client's COPY data.
	copyIn bool
	// boundary tells where transactions end in what was sent.
	boundary boundaryState
	// status is the transaction status of the last ReadyForQuery that was passed on to the client.
	status byte
	// blockLost is set while the client is in a block whose connection was lost. The block has failed, and
	// the client can only end it.
	blockLost bool
	// staleStatements are to be closed on the server before they are prepared again.
	staleStatements map[Key]bool
	// readOnly is set if the current transaction was routed as read-only.
	readOnly bool
	// inImplicitTransaction is set if statements ran outside a block and no ReadyForQuery has ended their
	// implicit transaction yet.
	inImplicitTransaction bool
	// commitSeen is set if a COMMIT succeeded since the last ReadyForQuery.
	commitSeen bool
	// wrote is set if a statement that may write has run since the last call of TakeWrote.
	wrote bool
	// stickyCause is why the session cannot move to another connection; empty: it can.
	stickyCause StickyCause
}

// NewPipeline returns the pipeline of a session that connected with the settings startup.
func NewPipeline(startup *Settings, c *Catalogue) *Pipeline {
	return &Pipeline{SettingsTracker: NewSettingsTracker(startup), StatementNames: NewStatementNames(c), status: 'I'}
}

// Link records that the session now has a server connection, on which s is prepared. readOnly is whether its
// transaction was routed as read-only.
func (p *Pipeline) Link(s *ServerStatements, readOnly bool) { p.server, p.readOnly = s, readOnly }

// SetReadOnly records whether the transaction that begins on the linked connection was routed as read-only.
func (p *Pipeline) SetReadOnly(readOnly bool) { p.readOnly = readOnly }

// AssumePrepared makes the pipeline assume that all statements of the session are prepared on the linked
// connection. It serves to show that the check of prepared statements can fail.
func (p *Pipeline) AssumePrepared() {
	for _, s := range p.established {
		p.server.Add(s.Key, nil)
	}
}

// Unlink records that the session no longer has a server connection.
func (p *Pipeline) Unlink() { p.server = nil }

// Status returns the transaction status of the last ReadyForQuery that the client got.
func (p *Pipeline) Status() byte { return p.status }

// Idle reports whether no reply is outstanding and no transaction is open, so that the connection may serve
// another session.
func (p *Pipeline) Idle() bool {
	return p.head == len(p.expected) && !p.skipping && p.status == 'I' && !p.copyIn && !p.boundary.pipelineOpen
}

// TakeWrote reports whether a statement that may write has run since the last call, and resets this.
func (p *Pipeline) TakeWrote() bool {
	wrote := p.wrote
	p.wrote = false
	return wrote
}

// StickyCause returns why the session cannot move to another connection; empty if it can.
func (p *Pipeline) StickyCause() StickyCause { return p.stickyCause }

// NeedsRestore reports whether the session's settings have to be applied to the connection again, because
// RESET set some of them to the connection's defaults.
func (p *Pipeline) NeedsRestore() bool { return len(p.resetNames) > 0 && p.status != 'E' && !p.failed }

// DiscardAll records a DISCARD ALL that the pooler answers itself, because the session has no server
// connection.
func (p *Pipeline) DiscardAll() {
	p.Deallocate("", true)
	p.Completed(&Statement{Kind: DiscardAll}, "")
	p.Ready('I')
	p.Restored()
}

// ExpectedReplies returns the number of outstanding replies.
func (p *Pipeline) ExpectedReplies() int { return len(p.expected) - p.head }

// CopyIn reports whether the server waits for the client's COPY data.
func (p *Pipeline) CopyIn() bool { return p.copyIn }

// BlockLost reports whether the client is in a block whose connection was lost. The client can only end it.
func (p *Pipeline) BlockLost() bool { return p.blockLost }

// EndLostBlock records a COMMIT or ROLLBACK that ends a block whose connection was lost.
func (p *Pipeline) EndLostBlock() { p.blockLost, p.status = false, 'I' }

// SkipUntilSync records that the pooler answered a message of a pipeline with an error: what follows up to
// Sync is not run.
func (p *Pipeline) SkipUntilSync() { p.skipping = true }

// Skipping reports whether the client's messages up to Sync are skipped.
func (p *Pipeline) Skipping() bool { return p.skipping }

// SyncLocally records a Sync that the pooler answers itself.
func (p *Pipeline) SyncLocally() {
	p.skipping = false
	p.endPipeline()
}

func (p *Pipeline) push(e expectedReply) {
	p.expect(&e)
	// In place of growing, the queue takes the room of replies that have arrived.
	if p.head > 0 && len(p.expected) == cap(p.expected) && p.head >= len(p.expected)/2 {
		n := copy(p.expected, p.expected[p.head:])
		clear(p.expected[n:])
		p.expected, p.head = p.expected[:n], 0
	}
	p.expected = append(p.expected, e)
}

func (p *Pipeline) pop() {
	e := &p.expected[p.head]
	p.forget(e)
	*e = expectedReply{}
	if p.head++; p.head == len(p.expected) {
		p.expected, p.head = p.expected[:0], 0
		// Memory that one long pipeline needed is not retained.
		if cap(p.expected) > 256 {
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

// needsStatement reports whether an outstanding request uses a statement on the server.
func (p *Pipeline) needsStatement(key Key) bool {
	for i := p.head; i < len(p.expected); i++ {
		if p.expected[i].prepared != nil && p.expected[i].prepared.Key == key {
			return true
		}
	}
	return false
}

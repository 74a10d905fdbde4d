package session

// The kinds of what a client asked for, in the order in which a server answers.
type replyKind uint8

const (
	replyParse replyKind = iota
	replyBind
	replyDescribe
	replyExecute
	replyClose
	replySync
	replyQuery
	replyFunction
	replySettings // ours: what brings the connection to the session's settings
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

// Idle says whether nothing is due, so that the connection may serve another session if the status is 'I'.
func (p *Pipeline) Idle() bool {
	return p.head == len(p.expected) && !p.skipping && p.status == 'I' && !p.copyIn
}

// TakeWrote says whether a statement that may write ran since it was asked last.
func (p *Pipeline) TakeWrote() bool {
	w := p.wrote
	p.wrote = false
	return w
}

// StickyCause is why the session can't leave its connection; "": it can.
func (p *Pipeline) StickyCause() StickyCause { return p.stickyCause }

// NeedsRestore says whether the connection has to be brought to the session's settings again: RESET gave it its own.
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

// CopyIn says whether the server waits for the client's COPY data.
func (p *Pipeline) CopyIn() bool { return p.copyIn }

// BlockLost says whether the client is in a block whose connection was lost: only its end can follow.
func (p *Pipeline) BlockLost() bool { return p.blockLost }

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

// needsStatement says whether the pipeline under way needs a statement on the server.
func (p *Pipeline) needsStatement(k Key) bool {
	for i := p.head; i < len(p.expected); i++ {
		if p.expected[i].prepared != nil && p.expected[i].prepared.Key == k {
			return true
		}
	}
	return false
}

// Parse takes a Parse whose statement the caller took from the catalogue.
func (p *Pipeline) Parse(name string, s *Prepared) (out ClientAction) {
	if p.skipping {
		p.catalogue.Release(s)
		return ClientAction{Drop: true}
	}
	p.Request(name, s)
	e := expectedReply{kind: replyParse, changesNames: true, prepared: s}
	if name == "" {
		p.server.Unnamed, p.server.HasUnnamed = s.Key, true
		p.push(e)
		return ClientAction{}
	}
	if p.server.Has(s.Key) {
		e.local = true
		p.push(e)
		return ClientAction{Drop: true}
	}
	out.Before = p.addStatement(s.Key, nil)
	out.Rename = s.Name()
	p.push(e)
	return out
}

// addStatement makes room for a statement on the server.
func (p *Pipeline) addStatement(k Key, out []Injection) []Injection {
	for _, old := range p.server.Add(k, p.needsStatement) {
		out = append(out, Injection{Close: old})
		p.push(expectedReply{kind: replyClose, hidden: true, closedKey: old})
	}
	if p.staleStatements[k] {
		delete(p.staleStatements, k)
		out = append(out, Injection{Close: k})
		p.push(expectedReply{kind: replyClose, hidden: true, closedKey: k})
	}
	return out
}

// ensurePrepared makes sure that the server has a statement under the name that it will be used by.
func (p *Pipeline) ensurePrepared(name string, s *Prepared, out *ClientAction) {
	if name == "" {
		if !p.server.HasUnnamed || p.server.Unnamed != s.Key {
			p.server.Unnamed, p.server.HasUnnamed = s.Key, true
			out.Before = append(out.Before, Injection{Parse: s, Unnamed: true})
			p.push(expectedReply{kind: replyParse, hidden: true, prepared: s})
		}
		return
	}
	out.Rename = s.Name()
	if !p.server.Has(s.Key) {
		out.Before = append(p.addStatement(s.Key, out.Before), Injection{Parse: s})
		p.push(expectedReply{kind: replyParse, hidden: true, prepared: s})
	}
}

// Bind takes a Bind of a statement to a portal.
func (p *Pipeline) Bind(portal, name string) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	s := p.Find(name)
	if s != nil {
		p.ensurePrepared(name, s, &out)
		if p.portals == nil {
			p.portals = map[string]*Prepared{}
		}
		p.portals[portal] = s
	}
	p.push(expectedReply{kind: replyBind, prepared: s})
	return out
}

// DescribeStatement takes a Describe of a statement.
func (p *Pipeline) DescribeStatement(name string) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	s := p.Find(name)
	if s != nil {
		p.ensurePrepared(name, s, &out)
	}
	p.push(expectedReply{kind: replyDescribe, prepared: s})
	return out
}

// DescribePortal takes a Describe of a portal.
func (p *Pipeline) DescribePortal(string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.push(expectedReply{kind: replyDescribe})
	return ClientAction{}
}

// Execute takes an Execute of a portal.
func (p *Pipeline) Execute(portal string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	e := expectedReply{kind: replyExecute}
	if s := p.portals[portal]; s != nil {
		e.prepared, e.statements = s, s.Query.Statements
	}
	p.push(e)
	return ClientAction{}
}

// CloseStatement takes a Close of a statement: the server keeps it for others.
func (p *Pipeline) CloseStatement(name string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.Request(name, nil)
	p.push(expectedReply{kind: replyClose, changesNames: true, local: true})
	return ClientAction{Drop: true}
}

// ClosePortal takes a Close of a portal.
func (p *Pipeline) ClosePortal(string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.push(expectedReply{kind: replyClose})
	return ClientAction{}
}

// Sync takes a Sync. While the server takes COPY data it ignores it.
func (p *Pipeline) Sync() ClientAction {
	if p.copyIn {
		return ClientAction{Drop: true}
	}
	p.skipping = false
	p.push(expectedReply{kind: replySync})
	return ClientAction{}
}

// Query takes a simple query.
func (p *Pipeline) Query(text string, q Query) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.server.HasUnnamed = false
	for i := len(q.Statements) - 1; i >= 0; i-- { // from the end, so that places stay true
		st := &q.Statements[i]
		if s := p.Find(st.Name); (st.Kind == Execute || st.Kind == Deallocate) && s != nil {
			if out.Text == "" {
				out.Text = text
			}
			out.Text = out.Text[:st.from] + s.Name() + out.Text[st.to:]
			if !p.server.Has(s.Key) {
				out.Before = append(p.addStatement(s.Key, out.Before), Injection{Parse: s})
				p.push(expectedReply{kind: replyParse, hidden: true, prepared: s})
			}
		}
	}
	if len(out.Before) > 0 { // an error in what is injected must not be followed by the query
		p.push(expectedReply{kind: replySync, hidden: true})
	}
	p.push(expectedReply{kind: replyQuery, statements: q.Statements})
	return out
}

// Reject says that FailingQuery, or a Bind of FailingStatement, was sent in place of the client's message.
func (p *Pipeline) Reject(query bool, r ErrorReply) (drop bool) {
	if p.skipping {
		return true
	}
	e := expectedReply{kind: replyBind, replacement: &r}
	if query {
		e.kind = replyQuery
	}
	p.push(e)
	return false
}

// Function takes a function call.
func (p *Pipeline) Function() ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.push(expectedReply{kind: replyFunction})
	return ClientAction{}
}

// SettingsSent says that the query of Changes was sent.
func (p *Pipeline) SettingsSent() { p.push(expectedReply{kind: replySettings, hidden: true}) }

// NextLocalReply gives the next answer that is ours to give before any more of the server's; 0: none is.
func (p *Pipeline) NextLocalReply() byte {
	e := p.front()
	if e == nil || !e.local {
		return 0
	}
	kind := byte('1')
	if e.kind == replyClose {
		kind = '3'
	}
	p.finish(e)
	return kind
}

// finish ends an entry that succeeded.
func (p *Pipeline) finish(e *expectedReply) {
	if e.changesNames {
		p.Confirm()
	}
	p.pop()
}

// HandleServerMessage takes a message of the server by its kind, with the tag of a CommandComplete, the code of an ErrorResponse or
// the status of a ReadyForQuery.
func (p *Pipeline) HandleServerMessage(kind byte, word string) (out ServerAction) {
	e := p.front()
	if e != nil {
		out.Drop = e.hidden
	}
	switch kind {
	case 'N', 'A', 'S': // at any time
		return ServerAction{}
	case 'E':
		return p.fail(e, word)
	}
	if e == nil {
		return ServerAction{Unexpected: true}
	}
	switch kind {
	case 'Z':
		return p.ready(e, word)
	case '1':
		out.Unexpected = e.kind != replyParse
	case '2':
		out.Unexpected = e.kind != replyBind
	case '3':
		out.Unexpected = e.kind != replyClose
	case 't':
		out.Unexpected = e.kind != replyDescribe
		return out
	case 'T', 'n':
		if e.kind != replyDescribe {
			out.Unexpected = e.kind != replyQuery && e.kind != replySettings
			return out
		}
	case 'V':
		p.implicitWork = p.implicitWork || !p.inBlock
		return out
	case 'D', 'd', 'c', 'W', 'H':
		return out
	case 'G':
		p.copyIn = true
		// Syncs that were sent ahead of the data are not answered: the server reads them as part of it.
		if e.kind == replyExecute {
			for p.head+1 < len(p.expected) && p.expected[p.head+1].kind == replySync {
				p.expected = append(p.expected[:p.head+1], p.expected[p.head+2:]...)
			}
			e = p.front()
		}
		return out
	case 'C', 'I', 's':
		p.copyIn = false
		switch {
		case kind == 'C' && e.nextStatement < len(e.statements):
			p.completed(&e.statements[e.nextStatement], word)
		case kind != 'I':
			p.implicitWork, p.wrote = p.implicitWork || !p.inBlock, true
		}
		if e.nextStatement++; e.kind == replyQuery || e.kind == replySettings {
			return out
		}
		if out.Unexpected = e.kind != replyExecute; kind == 's' {
			e.nextStatement--
		}
	default:
		return ServerAction{Unexpected: true}
	}
	if !out.Unexpected {
		p.finish(e)
	}
	return out
}

// completed takes a statement that the server ran.
func (p *Pipeline) completed(s *Statement, tag string) {
	block := p.inBlock
	p.Completed(s, tag)
	switch s.Kind {
	case Other, Select, Execute, MakesSticky:
		p.implicitWork = p.implicitWork || !block
		p.wrote = p.wrote || s.Kind != Select
	case Commit:
		p.commitSeen = p.commitSeen || tag != "ROLLBACK"
	}
	switch s.Kind {
	case MakesSticky:
		if p.stickyCause == "" {
			p.stickyCause = s.Cause
		}
	case Deallocate:
		if held := p.Find(s.Name); held != nil && p.server != nil { // it was run under the server's name
			p.server.Remove(held.Key)
		}
		p.Deallocate(s.Name, false)
	case DeallocateAll, DiscardAll:
		if s.Kind == DiscardAll || p.stickyCause == CausePrepare {
			p.stickyCause = ""
		}
		p.Deallocate("", true)
		if p.server != nil {
			p.server.Clear()
		}
	}
}

// ready takes a ReadyForQuery.
func (p *Pipeline) ready(e *expectedReply, word string) ServerAction {
	if word == "" {
		return ServerAction{Unexpected: true}
	}
	switch e.kind {
	case replySettings:
		failed := p.failed
		p.failed = false
		p.pop()
		return ServerAction{Drop: true, Injected: true, Failed: failed}
	case replySync:
		if e.hidden {
			p.pop()
			return ServerAction{Drop: true}
		}
	case replyQuery, replyFunction:
	default:
		return ServerAction{Unexpected: true}
	}
	p.pop()
	p.copyIn, p.implicitWork, p.commitSeen = false, false, false
	p.status = word[0]
	p.Ready(p.status)
	if p.status == 'I' {
		clear(p.portals)
	}
	return ServerAction{Ready: true}
}

// fail takes an ErrorResponse. In a pipeline it skips all up to Sync, and what was skipped was never prepared.
func (p *Pipeline) fail(e *expectedReply, code string) ServerAction {
	if e == nil {
		return ServerAction{}
	}
	p.Failed()
	p.copyIn = false
	out := ServerAction{Replacement: e.replacement}
	switch e.kind {
	case replySettings:
		return ServerAction{Drop: true, Failed: true}
	case replyQuery, replyFunction, replySync:
		return out
	}
	// The statement's result is not what it was when it was prepared, or the server has it no more: prepare it anew.
	if e.prepared != nil && (code == "0A000" || code == "26000") && e.kind != replyParse && p.server != nil && p.server.Has(e.prepared.Key) {
		p.server.Remove(e.prepared.Key)
		if code == "0A000" {
			if p.staleStatements == nil {
				p.staleStatements = map[Key]bool{}
			}
			p.staleStatements[e.prepared.Key] = true
		}
	}
	named := 0
	for p.head < len(p.expected) && p.expected[p.head].kind != replySync {
		skipped := &p.expected[p.head]
		if skipped.changesNames {
			named++
		}
		if p.server != nil && skipped.kind == replyClose && skipped.hidden { // it was not closed
			p.server.Restore(skipped.closedKey)
		}
		if p.server != nil && skipped.kind == replyParse && !skipped.local {
			p.server.Remove(skipped.prepared.Key)
			if p.server.Unnamed == skipped.prepared.Key {
				p.server.HasUnnamed = false
			}
		}
		p.pop()
	}
	// What was asked for behind the Sync, in pipelines to come, stays.
	p.discardFirst(named)
	if p.head == len(p.expected) {
		p.skipping = true
	}
	if f := p.front(); f != nil && f.kind == replySync && f.hidden {
		p.failed = false // ours, before a query that runs EXECUTE, which will fail by itself
		return ServerAction{Drop: true}
	}
	return out
}

// discardFirst takes back the first k that were asked for.
func (p *Pipeline) discardFirst(k int) {
	for i := 0; i < k && len(p.requested) > 0; i++ {
		p.catalogue.Release(p.requested[0].prepared)
		p.requested = p.requested[1:]
	}
	if len(p.requested) == 0 {
		p.requested = nil
	}
}

// Loss is what a lost server connection means to its session.
type Loss struct {
	SQLState string // SQLSTATE
	Text     string
	Cycles   int // ReadyForQuery that are owed, each behind an error
	// Silent: nothing was under way and no block open; the client need not know.
	Silent bool
}

// The codes of a loss.
const (
	SQLStateSafeToRetry   = "40001" // rolled back or never run: safe to run again
	SQLStateInDoubt       = "08007" // it may have been committed
	SQLStateInFailedBlock = "25P02"
)

// Lose takes the loss of the server connection: what was not committed is rolled back, and where a commit may have
// happened nobody can tell. sent says whether anything that is due reached the connection.
func (p *Pipeline) Lose(sent bool) Loss {
	block, doubt := p.inBlock, p.commitSeen && !p.readOnly
	if p.implicitWork && !p.readOnly { // it ran, and the end of its implicit transaction was asked for
		for i := p.head; i < len(p.expected); i++ {
			k := p.expected[i].kind
			doubt = doubt || !p.expected[i].hidden && (k == replySync || k == replyQuery || k == replyFunction)
		}
	}
	for i := p.head; i < len(p.expected); i++ {
		e := &p.expected[i]
		if e.hidden {
			continue
		}
		whole := e.kind == replyQuery || e.kind == replyFunction // an implicit transaction ends with it, unless in a block
		if e.kind == replyExecute {
			for j := i + 1; j < len(p.expected); j++ {
				whole = whole || p.expected[j].kind == replySync
			}
		}
		if e.kind == replyFunction || e.kind == replyExecute && e.prepared == nil {
			doubt = doubt || !block && whole && !p.readOnly
		}
		for n := min(e.nextStatement, len(e.statements)); n < len(e.statements); n++ {
			switch s := &e.statements[n]; s.Kind {
			case Begin:
				block = true
			case Commit:
				doubt = doubt || !p.readOnly
				block = false
			case Rollback:
				block = false
			case Other, MakesSticky, Execute, Select:
				doubt = doubt || !block && whole && !p.readOnly
			}
		}
	}
	doubt = doubt && sent
	l := Loss{SQLState: SQLStateSafeToRetry, Text: "the connection to the db host was lost before anything was committed; it is safe to run the transaction again"}
	if doubt {
		l.SQLState, l.Text = SQLStateInDoubt, "the connection to the db host was lost while a commit was under way; it may have been committed"
	}
	open := false // messages came whose Sync did not
	for i := p.head; i < len(p.expected); i++ {
		switch e := &p.expected[i]; {
		case e.hidden:
		case e.kind == replySync || e.kind == replyQuery || e.kind == replyFunction:
			l.Cycles++
			open = false
		default:
			open = true
		}
	}
	l.Silent = l.Cycles == 0 && !open && !block && !p.skipping
	p.DiscardLast(len(p.requested))
	p.implicitWork, p.commitSeen, p.wrote = false, false, false
	p.expected, p.head, p.portals, p.server, p.copyIn, p.staleStatements, p.stickyCause = nil, 0, nil, nil, false, nil, ""
	p.skipping = open || p.skipping
	p.Tracker.Lost()
	if p.status = 'I'; block {
		p.status, p.blockLost = 'E', true
	}
	return l
}

// EndLostBlock takes a COMMIT or ROLLBACK in a block whose connection is lost: the client is out of it.
func (p *Pipeline) EndLostBlock() { p.blockLost, p.status = false, 'I' }

// SkipUntilSync says that an error was given here to a message of a pipeline: what follows up to Sync is not run.
func (p *Pipeline) SkipUntilSync() { p.skipping = true }

// Skipping says whether what comes up to Sync is passed over.
func (p *Pipeline) Skipping() bool { return p.skipping }

// SyncLocally takes a Sync that is answered here.
func (p *Pipeline) SyncLocally() { p.skipping = false }

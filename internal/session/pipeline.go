package session

// The kinds of what a client asked for, in the order in which a server answers.
type askKind uint8

const (
	askParse askKind = iota
	askBind
	askDescribe
	askExecute
	askClose
	askSync
	askQuery
	askFunction
	askSettings // ours: what brings the connection to the session's settings
)

// entry is one message whose answer is due.
type entry struct {
	kind   askKind
	local  bool      // the server was not asked: the answer is ours
	hidden bool      // the client did not ask: the answer is not passed on
	named  bool      // Names.Ask was told of it
	p      *Prepared // Parse: what is being prepared; Bind, Execute: what runs
	run    []Statement
	next   int      // the first of run that is not done
	refuse *Refusal // the server was sent something that fails in its place
	closes Key      // Close of ours: the server's statement
}

// Refusal is an error of ours. Where a connection is linked, the server is sent something that fails at that point, so
// that its transaction has failed too, and its error is replaced by this one.
type Refusal struct{ State, Text string }

// What is sent to make a server fail: a query that is no SQL, and the name of a statement that nobody prepares.
const (
	RefusedQuery     = "ashstand refuses"
	RefusedStatement = "as_refused"
)

// Inject is a message of ours that goes before the client's.
type Inject struct {
	Close   Key // of the server's statement; where Parse is nil
	Parse   *Prepared
	Unnamed bool // Parse: as the unnamed statement
}

// Send says what becomes of a client's message.
type Send struct {
	Before []Inject
	Drop   bool   // it is answered here, or skipped
	Rename string // the name that the statement has on the server; "": as the client worded it
	Text   string // Query: another text; "": as the client worded it
}

// Pass says what becomes of a server's message.
type Pass struct {
	Drop  bool // it answers something that the client did not ask
	Ready bool // a ReadyForQuery of the client's
	Bad   bool // nothing that is due is answered so: the two sides are out of step
	// Injected says that an answer to something of ours is complete; Failed with it, that it was an error.
	Injected, Failed bool
	Refusal          *Refusal // an ErrorResponse is to be replaced by this
}

// Pipeline is one session between its client and its server connection, message by message. It decides what goes to
// the server, under which names, and what of the server's answers is the client's.
type Pipeline struct {
	Tracker
	Names

	server   *Server // what is prepared on the connection linked; nil: none is
	due      []entry
	head     int
	portals  map[string]*Prepared
	skipping bool // an error came: what the client sends up to Sync is not run
	copyIn   bool
	status   byte // of the last ReadyForQuery passed
	lost     bool // the client is in a block whose connection is lost: it has failed, and only its end can follow
	stale    map[Key]bool
	readOnly bool
	work     bool  // statements ran outside a block whose implicit transaction no ReadyForQuery has ended yet
	ended    bool  // and a COMMIT went through
	wrote    bool  // a statement that may write ran since Wrote was asked
	pinned   Cause // why the session can't leave its connection; "": it can
}

// NewPipeline returns the pipeline of a session that connected with these settings.
func NewPipeline(startup *Values, c *Catalogue) *Pipeline {
	return &Pipeline{Tracker: NewTracker(startup), Names: NewNames(c), status: 'I'}
}

// Link says that the session has a server connection from now on, for a transaction that is routed as read-only or not.
func (p *Pipeline) Link(s *Server, readOnly bool) { p.server, p.readOnly = s, readOnly }

// Assume makes the pipeline believe that whatever the session prepared is prepared on every connection. It is there so
// that what checks statements can be seen to fail.
func (p *Pipeline) Assume() {
	for _, s := range p.held {
		p.server.Add(s.Key, nil)
	}
}

// Unlink says that it has none.
func (p *Pipeline) Unlink() { p.server = nil }

// Status is the transaction status that the client was told last.
func (p *Pipeline) Status() byte { return p.status }

// Idle says whether nothing is due, so that the connection may serve another session if the status is 'I'.
func (p *Pipeline) Idle() bool {
	return p.head == len(p.due) && !p.skipping && p.status == 'I' && !p.copyIn
}

// Wrote says whether a statement that may write ran since it was asked last.
func (p *Pipeline) Wrote() bool {
	w := p.wrote
	p.wrote = false
	return w
}

// Pinned is why the session can't leave its connection; "": it can.
func (p *Pipeline) Pinned() Cause { return p.pinned }

// Behind says whether the connection has to be brought to the session's settings again: RESET gave it its own.
func (p *Pipeline) Behind() bool { return len(p.resets) > 0 && p.status != 'E' && !p.failed }

// DiscardAll takes a DISCARD ALL that is answered here, where the session has no connection.
func (p *Pipeline) DiscardAll() {
	p.Forget("", true)
	p.Done(&Statement{Kind: DiscardAll}, "")
	p.Ready('I')
	p.Restored()
}

// Due is how many answers are.
func (p *Pipeline) Due() int { return len(p.due) - p.head }

// CopyIn says whether the server waits for the client's COPY data.
func (p *Pipeline) CopyIn() bool { return p.copyIn }

// LostBlock says whether the client is in a block whose connection was lost: only its end can follow.
func (p *Pipeline) LostBlock() bool { return p.lost }

func (p *Pipeline) push(e entry) {
	if p.head > 0 && p.head == len(p.due) {
		p.due, p.head = p.due[:0], 0
	}
	p.due = append(p.due, e)
}

func (p *Pipeline) pop() {
	p.due[p.head] = entry{}
	if p.head++; p.head == len(p.due) {
		p.due, p.head = p.due[:0], 0
		if cap(p.due) > 256 { // one long pipeline is no reason to keep its room
			p.due = nil
		}
	}
}

func (p *Pipeline) front() *entry {
	if p.head == len(p.due) {
		return nil
	}
	return &p.due[p.head]
}

// keeps says whether the pipeline under way needs a statement on the server.
func (p *Pipeline) keeps(k Key) bool {
	for i := p.head; i < len(p.due); i++ {
		if p.due[i].p != nil && p.due[i].p.Key == k {
			return true
		}
	}
	return false
}

// Parse takes a Parse whose statement the caller took from the catalogue.
func (p *Pipeline) Parse(name string, s *Prepared) (out Send) {
	if p.skipping {
		p.catalogue.Drop(s)
		return Send{Drop: true}
	}
	p.Ask(name, s)
	e := entry{kind: askParse, named: true, p: s}
	if name == "" {
		p.server.Unnamed, p.server.HasUnnamed = s.Key, true
		p.push(e)
		return Send{}
	}
	if p.server.Has(s.Key) {
		e.local = true
		p.push(e)
		return Send{Drop: true}
	}
	out.Before = p.evict(s.Key, nil)
	out.Rename = s.Name()
	p.push(e)
	return out
}

// evict makes room for a statement on the server.
func (p *Pipeline) evict(k Key, out []Inject) []Inject {
	for _, old := range p.server.Add(k, p.keeps) {
		out = append(out, Inject{Close: old})
		p.push(entry{kind: askClose, hidden: true, closes: old})
	}
	if p.stale[k] {
		delete(p.stale, k)
		out = append(out, Inject{Close: k})
		p.push(entry{kind: askClose, hidden: true, closes: k})
	}
	return out
}

// prepare makes sure that the server has a statement under the name that it will be used by.
func (p *Pipeline) prepare(name string, s *Prepared, out *Send) {
	if name == "" {
		if !p.server.HasUnnamed || p.server.Unnamed != s.Key {
			p.server.Unnamed, p.server.HasUnnamed = s.Key, true
			out.Before = append(out.Before, Inject{Parse: s, Unnamed: true})
			p.push(entry{kind: askParse, hidden: true, p: s})
		}
		return
	}
	out.Rename = s.Name()
	if !p.server.Has(s.Key) {
		out.Before = append(p.evict(s.Key, out.Before), Inject{Parse: s})
		p.push(entry{kind: askParse, hidden: true, p: s})
	}
}

// Bind takes a Bind of a statement to a portal.
func (p *Pipeline) Bind(portal, name string) (out Send) {
	if p.skipping {
		return Send{Drop: true}
	}
	s := p.Find(name)
	if s != nil {
		p.prepare(name, s, &out)
		if p.portals == nil {
			p.portals = map[string]*Prepared{}
		}
		p.portals[portal] = s
	}
	p.push(entry{kind: askBind, p: s})
	return out
}

// DescribeStatement takes a Describe of a statement.
func (p *Pipeline) DescribeStatement(name string) (out Send) {
	if p.skipping {
		return Send{Drop: true}
	}
	s := p.Find(name)
	if s != nil {
		p.prepare(name, s, &out)
	}
	p.push(entry{kind: askDescribe, p: s})
	return out
}

// DescribePortal takes a Describe of a portal.
func (p *Pipeline) DescribePortal(string) Send {
	if p.skipping {
		return Send{Drop: true}
	}
	p.push(entry{kind: askDescribe})
	return Send{}
}

// Execute takes an Execute of a portal.
func (p *Pipeline) Execute(portal string) Send {
	if p.skipping {
		return Send{Drop: true}
	}
	e := entry{kind: askExecute}
	if s := p.portals[portal]; s != nil {
		e.p, e.run = s, s.Query.Statements
	}
	p.push(e)
	return Send{}
}

// CloseStatement takes a Close of a statement: the server keeps it for others.
func (p *Pipeline) CloseStatement(name string) Send {
	if p.skipping {
		return Send{Drop: true}
	}
	p.Ask(name, nil)
	p.push(entry{kind: askClose, named: true, local: true})
	return Send{Drop: true}
}

// ClosePortal takes a Close of a portal.
func (p *Pipeline) ClosePortal(string) Send {
	if p.skipping {
		return Send{Drop: true}
	}
	p.push(entry{kind: askClose})
	return Send{}
}

// Sync takes a Sync. While the server takes COPY data it ignores it.
func (p *Pipeline) Sync() Send {
	if p.copyIn {
		return Send{Drop: true}
	}
	p.skipping = false
	p.push(entry{kind: askSync})
	return Send{}
}

// Query takes a simple query.
func (p *Pipeline) Query(text string, q Query) (out Send) {
	if p.skipping {
		return Send{Drop: true}
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
				out.Before = append(p.evict(s.Key, out.Before), Inject{Parse: s})
				p.push(entry{kind: askParse, hidden: true, p: s})
			}
		}
	}
	if len(out.Before) > 0 { // an error in what is injected must not be followed by the query
		p.push(entry{kind: askSync, hidden: true})
	}
	p.push(entry{kind: askQuery, run: q.Statements})
	return out
}

// Refuse says that RefusedQuery, or a Bind of RefusedStatement, was sent in place of the client's message.
func (p *Pipeline) Refuse(query bool, r Refusal) (drop bool) {
	if p.skipping {
		return true
	}
	e := entry{kind: askBind, refuse: &r}
	if query {
		e.kind = askQuery
	}
	p.push(e)
	return false
}

// Function takes a function call.
func (p *Pipeline) Function() Send {
	if p.skipping {
		return Send{Drop: true}
	}
	p.push(entry{kind: askFunction})
	return Send{}
}

// Settings says that the query of Changes was sent.
func (p *Pipeline) Settings() { p.push(entry{kind: askSettings, hidden: true}) }

// Local gives the next answer that is ours to give before any more of the server's; 0: none is.
func (p *Pipeline) Local() byte {
	e := p.front()
	if e == nil || !e.local {
		return 0
	}
	kind := byte('1')
	if e.kind == askClose {
		kind = '3'
	}
	p.finish(e)
	return kind
}

// finish ends an entry that succeeded.
func (p *Pipeline) finish(e *entry) {
	if e.named {
		p.Made()
	}
	p.pop()
}

// Answer takes a message of the server by its kind, with the tag of a CommandComplete, the code of an ErrorResponse or
// the status of a ReadyForQuery.
func (p *Pipeline) Answer(kind byte, word string) (out Pass) {
	e := p.front()
	if e != nil {
		out.Drop = e.hidden
	}
	switch kind {
	case 'N', 'A', 'S': // at any time
		return Pass{}
	case 'E':
		return p.fail(e, word)
	}
	if e == nil {
		return Pass{Bad: true}
	}
	switch kind {
	case 'Z':
		return p.ready(e, word)
	case '1':
		out.Bad = e.kind != askParse
	case '2':
		out.Bad = e.kind != askBind
	case '3':
		out.Bad = e.kind != askClose
	case 't':
		out.Bad = e.kind != askDescribe
		return out
	case 'T', 'n':
		if e.kind != askDescribe {
			out.Bad = e.kind != askQuery && e.kind != askSettings
			return out
		}
	case 'V':
		p.work = p.work || !p.explicit
		return out
	case 'D', 'd', 'c', 'W', 'H':
		return out
	case 'G':
		p.copyIn = true
		// Syncs that were sent ahead of the data are not answered: the server reads them as part of it.
		if e.kind == askExecute {
			for p.head+1 < len(p.due) && p.due[p.head+1].kind == askSync {
				p.due = append(p.due[:p.head+1], p.due[p.head+2:]...)
			}
			e = p.front()
		}
		return out
	case 'C', 'I', 's':
		p.copyIn = false
		switch {
		case kind == 'C' && e.next < len(e.run):
			p.completed(&e.run[e.next], word)
		case kind != 'I':
			p.work, p.wrote = p.work || !p.explicit, true
		}
		if e.next++; e.kind == askQuery || e.kind == askSettings {
			return out
		}
		if out.Bad = e.kind != askExecute; kind == 's' {
			e.next--
		}
	default:
		return Pass{Bad: true}
	}
	if !out.Bad {
		p.finish(e)
	}
	return out
}

// completed takes a statement that the server ran.
func (p *Pipeline) completed(s *Statement, tag string) {
	block := p.explicit
	p.Done(s, tag)
	switch s.Kind {
	case Other, Select, Execute, Pins:
		p.work = p.work || !block
		p.wrote = p.wrote || s.Kind != Select
	case Commit:
		p.ended = p.ended || tag != "ROLLBACK"
	}
	switch s.Kind {
	case Pins:
		if p.pinned == "" {
			p.pinned = s.Cause
		}
	case Deallocate:
		if held := p.Find(s.Name); held != nil && p.server != nil { // it was run under the server's name
			p.server.Remove(held.Key)
		}
		p.Forget(s.Name, false)
	case DeallocateAll, DiscardAll:
		if s.Kind == DiscardAll || p.pinned == CausePrepare {
			p.pinned = ""
		}
		p.Forget("", true)
		if p.server != nil {
			p.server.Clear()
		}
	}
}

// ready takes a ReadyForQuery.
func (p *Pipeline) ready(e *entry, word string) Pass {
	if word == "" {
		return Pass{Bad: true}
	}
	switch e.kind {
	case askSettings:
		failed := p.failed
		p.failed = false
		p.pop()
		return Pass{Drop: true, Injected: true, Failed: failed}
	case askSync:
		if e.hidden {
			p.pop()
			return Pass{Drop: true}
		}
	case askQuery, askFunction:
	default:
		return Pass{Bad: true}
	}
	p.pop()
	p.copyIn, p.work, p.ended = false, false, false
	p.status = word[0]
	p.Ready(p.status)
	if p.status == 'I' {
		clear(p.portals)
	}
	return Pass{Ready: true}
}

// fail takes an ErrorResponse. In a pipeline it skips all up to Sync, and what was skipped was never prepared.
func (p *Pipeline) fail(e *entry, code string) Pass {
	if e == nil {
		return Pass{}
	}
	p.Failed()
	p.copyIn = false
	out := Pass{Refusal: e.refuse}
	switch e.kind {
	case askSettings:
		return Pass{Drop: true, Failed: true}
	case askQuery, askFunction, askSync:
		return out
	}
	// The statement's result is not what it was when it was prepared, or the server has it no more: prepare it anew.
	if e.p != nil && (code == "0A000" || code == "26000") && e.kind != askParse && p.server != nil && p.server.Has(e.p.Key) {
		p.server.Remove(e.p.Key)
		if code == "0A000" {
			if p.stale == nil {
				p.stale = map[Key]bool{}
			}
			p.stale[e.p.Key] = true
		}
	}
	named := 0
	for p.head < len(p.due) && p.due[p.head].kind != askSync {
		skipped := &p.due[p.head]
		if skipped.named {
			named++
		}
		if p.server != nil && skipped.kind == askClose && skipped.hidden { // it was not closed
			p.server.Keep(skipped.closes)
		}
		if p.server != nil && skipped.kind == askParse && !skipped.local {
			p.server.Remove(skipped.p.Key)
			if p.server.Unnamed == skipped.p.Key {
				p.server.HasUnnamed = false
			}
		}
		p.pop()
	}
	// What was asked for behind the Sync, in pipelines to come, stays.
	p.skippedFirst(named)
	if p.head == len(p.due) {
		p.skipping = true
	}
	if f := p.front(); f != nil && f.kind == askSync && f.hidden {
		p.failed = false // ours, before a query that runs EXECUTE, which will fail by itself
		return Pass{Drop: true}
	}
	return out
}

// skippedFirst takes back the first k that were asked for.
func (p *Pipeline) skippedFirst(k int) {
	for i := 0; i < k && len(p.asked) > 0; i++ {
		p.catalogue.Drop(p.asked[0].p)
		p.asked = p.asked[1:]
	}
	if len(p.asked) == 0 {
		p.asked = nil
	}
}

// Loss is what a lost server connection means to its session.
type Loss struct {
	State  string // SQLSTATE
	Text   string
	Cycles int // ReadyForQuery that are owed, each behind an error
	// Silent: nothing was under way and no block open; the client need not know.
	Silent bool
}

// The codes of a loss.
const (
	StateSafe    = "40001" // rolled back or never run: safe to run again
	StateDoubt   = "08007" // it may have been committed
	StateInBlock = "25P02"
)

// Lose takes the loss of the server connection: what was not committed is rolled back, and where a commit may have
// happened nobody can tell. sent says whether anything that is due reached the connection.
func (p *Pipeline) Lose(sent bool) Loss {
	block, doubt := p.explicit, p.ended && !p.readOnly
	if p.work && !p.readOnly { // it ran, and the end of its implicit transaction was asked for
		for i := p.head; i < len(p.due); i++ {
			k := p.due[i].kind
			doubt = doubt || !p.due[i].hidden && (k == askSync || k == askQuery || k == askFunction)
		}
	}
	for i := p.head; i < len(p.due); i++ {
		e := &p.due[i]
		if e.hidden {
			continue
		}
		whole := e.kind == askQuery || e.kind == askFunction // an implicit transaction ends with it, unless in a block
		if e.kind == askExecute {
			for j := i + 1; j < len(p.due); j++ {
				whole = whole || p.due[j].kind == askSync
			}
		}
		if e.kind == askFunction || e.kind == askExecute && e.p == nil {
			doubt = doubt || !block && whole && !p.readOnly
		}
		for n := min(e.next, len(e.run)); n < len(e.run); n++ {
			switch s := &e.run[n]; s.Kind {
			case Begin:
				block = true
			case Commit:
				doubt = doubt || !p.readOnly
				block = false
			case Rollback:
				block = false
			case Other, Pins, Execute, Select:
				doubt = doubt || !block && whole && !p.readOnly
			}
		}
	}
	doubt = doubt && sent
	l := Loss{State: StateSafe, Text: "the connection to the db host was lost before anything was committed; it is safe to run the transaction again"}
	if doubt {
		l.State, l.Text = StateDoubt, "the connection to the db host was lost while a commit was under way; it may have been committed"
	}
	open := false // messages came whose Sync did not
	for i := p.head; i < len(p.due); i++ {
		switch e := &p.due[i]; {
		case e.hidden:
		case e.kind == askSync || e.kind == askQuery || e.kind == askFunction:
			l.Cycles++
			open = false
		default:
			open = true
		}
	}
	l.Silent = l.Cycles == 0 && !open && !block && !p.skipping
	p.Skipped(len(p.asked))
	p.work, p.ended, p.wrote = false, false, false
	p.due, p.head, p.portals, p.server, p.copyIn, p.stale, p.pinned = nil, 0, nil, nil, false, nil, ""
	p.skipping = open || p.skipping
	p.Tracker.Lost()
	if p.status = 'I'; block {
		p.status, p.lost = 'E', true
	}
	return l
}

// LocalEnd takes a COMMIT or ROLLBACK in a block whose connection is lost: the client is out of it.
func (p *Pipeline) LocalEnd() { p.lost, p.status = false, 'I' }

// Skip says that an error was given here to a message of a pipeline: what follows up to Sync is not run.
func (p *Pipeline) Skip() { p.skipping = true }

// Skipping says whether what comes up to Sync is passed over.
func (p *Pipeline) Skipping() bool { return p.skipping }

// LocalSync takes a Sync that is answered here.
func (p *Pipeline) LocalSync() { p.skipping = false }

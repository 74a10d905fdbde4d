package session

import "strings"

// Approximate memory of what a pipeline holds beside texts, in bytes.
const (
	expectedReplyBytes     = 192 // with the room that the queue keeps for its growth
	nameChangeBytes        = 64
	errorReplyBytes        = 256
	portalOverheadBytes    = 128
	savepointOverheadBytes = 80
)

// MaxStatements is how many statements a query string may have: each costs many times its least length on the wire.
const MaxStatements = 16384

// Bytes returns the approximate memory that the statements of a query use once its text is gone.
func (q *Query) Bytes() int { return statementsBytes(q.Statements) }

func statementsBytes(statements []Statement) int {
	bytes := len(statements) * parsedStatementBytes
	for i := range statements {
		bytes += len(statements[i].Name) + len(statements[i].Rendering)
	}
	return bytes
}

// detach copies what the query refers to in its text, so that the text is not held with it.
func (q *Query) detach() {
	q.Comment = strings.Clone(q.Comment)
	for i := range q.Statements {
		s := &q.Statements[i]
		s.Name, s.Rendering = strings.Clone(s.Name), strings.Clone(s.Rendering)
	}
}

// heldBytes returns the approximate memory that an outstanding reply uses until it arrives.
func (e *expectedReply) heldBytes() int {
	bytes := expectedReplyBytes
	if e.kind == replyQuery {
		bytes += statementsBytes(e.statements)
	}
	if e.replacement != nil {
		bytes += errorReplyBytes + len(e.replacement.Text)
	}
	if e.changesNames {
		bytes += nameChangeBytes
		if e.prepared != nil && e.prepared.references == 1 {
			bytes += e.prepared.Bytes()
		}
	}
	return bytes
}

// AheadBytes returns the approximate memory that the outstanding replies use. It shrinks as they arrive.
func (p *Pipeline) AheadBytes() int { return p.aheadBytes }

// RetainedBytes returns the approximate memory of what the transaction keeps until its end: portals and savepoints, with those that
// were sent and have no reply yet.
func (p *Pipeline) RetainedBytes() int {
	return p.portals.bytes + p.savepointBytes + p.pendingSavepointBytes
}

// PortalBytes returns the approximate memory that a portal of this name takes beside those that there are.
func (p *Pipeline) PortalBytes(name string) int {
	if p.portals.find(name) != nil {
		return 0
	}
	return portalBytes(name)
}

// SavepointBytes returns the approximate memory that the statements' savepoints take beside those that there are, with
// the settings that each remembers.
func (p *Pipeline) SavepointBytes(statements []Statement) (bytes int) {
	haveChanged, settings := p.pendingSettingBytes > 0 || p.remembered() != p.current, p.current.Bytes()+p.pendingSettingBytes
	for i := range statements {
		switch s := &statements[i]; s.Kind {
		case Set, Reset, ResetAll, DiscardAll:
			haveChanged, settings = true, settings+settingBytes(s)
		case Savepoint:
			if bytes += savepointOverheadBytes + len(s.Name); haveChanged {
				bytes += settings
			}
		default:
		}
	}
	return bytes
}

// settingsOf returns the approximate memory of the settings that statements set. One that resets some counts too: savepoints behind it
// remember settings of their own.
func settingsOf(statements []Statement) (bytes int) {
	for i := range statements {
		switch s := &statements[i]; s.Kind {
		case Set, Reset, ResetAll, DiscardAll:
			bytes += settingBytes(s)
		default:
		}
	}
	return bytes
}

func settingBytes(s *Statement) int { return settingOverheadBytes + len(s.Name) + len(s.Rendering) }

// PendingSettingBytes returns the approximate memory of the settings that were sent and have no reply yet.
func (p *Pipeline) PendingSettingBytes() int { return p.pendingSettingBytes }

// expect counts what an outstanding reply holds, and what its statements will make the session keep.
func (p *Pipeline) expect(e *expectedReply) {
	e.bytes = e.heldBytes()
	if e.kind == replyQuery || e.kind == replyExecute {
		e.savepointBytes = p.SavepointBytes(e.statements)
		p.pendingSavepointBytes += e.savepointBytes
		p.pendingSettingBytes += settingsOf(e.statements)
	}
	p.aheadBytes += e.bytes
}

// forget reverses expect.
func (p *Pipeline) forget(e *expectedReply) {
	if e.kind == replyQuery || e.kind == replyExecute {
		p.pendingSavepointBytes -= e.savepointBytes
		p.pendingSettingBytes -= settingsOf(e.statements)
	}
	p.aheadBytes -= e.bytes
}

// RepliesWillCome reports whether the server sends an outstanding reply without a further message of the client, given
// a Flush where needsFlush is set: it keeps small replies in its buffer until a Sync or Flush.
func (p *Pipeline) RepliesWillCome() (willCome, needsFlush bool) {
	return p.ExpectedReplies() > 0 && !p.awaitsCopyData(), p.boundary.pipelineOpen
}

// SkipBehindRejection reports whether the server skips what the client sends up to Sync, because a message of the pipeline was
// rejected. From then on it is not sent at all.
func (p *Pipeline) SkipBehindRejection() bool {
	p.skipping = p.skipping || p.boundary.rejected
	return p.boundary.rejected
}

// PortalStatements returns the statements that an Execute of a portal runs.
func (p *Pipeline) PortalStatements(name string) []Statement {
	if prepared := p.portals.find(name); prepared != nil {
		return prepared.Query.Statements
	}
	return nil
}

// portalSet holds the portals of a session. Each holds a reference to its statement.
type portalSet struct {
	byName map[string]*PreparedStatement
	bytes  int
}

func portalBytes(name string) int { return portalOverheadBytes + len(name) }

func (s *portalSet) find(name string) *PreparedStatement { return s.byName[name] }

// bind binds a portal to a statement.
func (s *portalSet) bind(c *Catalogue, name string, prepared *PreparedStatement) {
	s.close(c, name)
	if s.byName == nil {
		s.byName = map[string]*PreparedStatement{}
	}
	prepared.references++
	s.byName[name] = prepared
	s.bytes += portalBytes(name)
}

// close releases a portal, if there is one of this name.
func (s *portalSet) close(c *Catalogue, name string) {
	if prepared := s.byName[name]; prepared != nil {
		delete(s.byName, name)
		s.bytes -= portalBytes(name)
		c.Release(prepared)
	}
}

// clear releases all portals. The map is kept only where it is small, as it does not shrink.
func (s *portalSet) clear(c *Catalogue) {
	isSmall := s.bytes <= portalOverheadBytes
	for _, prepared := range s.byName {
		c.Release(prepared)
	}
	if s.bytes = 0; isSmall {
		clear(s.byName)
	} else {
		s.byName = nil
	}
}

// Close releases everything that the pipeline holds in the catalogue.
func (p *Pipeline) Close() {
	p.portals.clear(p.catalogue)
	p.StatementNames.Close()
}

package session

import (
	"container/list"
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// Key identifies a prepared statement across all sessions. It is a hash of the statement's text, its
// parameter types and the settings that affect how the text is interpreted.
type Key [16]byte

// interpretationSettings are the settings that affect how the text of a statement is interpreted.
var interpretationSettings = [...]string{"search_path", "role", "session_authorization", "standard_conforming_strings"}

// PreparedStatement is a prepared statement. All sessions that prepared the same statement share it.
type PreparedStatement struct {
	Key  Key
	Text string
	// Params are the parameter types as in a Parse message: a count of two bytes, then an object ID of four
	// bytes for each.
	Params []byte
	Query  Query
	// references is the number of references that sessions hold.
	references int
}

// Name returns the name of the statement on server connections.
func (p *PreparedStatement) Name() string { return "as_" + hex.EncodeToString(p.Key[:]) }

// Memory that a statement and a name take beside their texts, in bytes: the structures, their allocations and the map entries.
const (
	statementOverheadBytes = 224
	parsedStatementBytes   = 96 // for each statement of the parsed text
	nameOverheadBytes      = 64
)

// Bytes returns the approximate memory that the statement uses.
func (p *PreparedStatement) Bytes() int {
	return len(p.Text) + len(p.Params) + statementOverheadBytes + parsedStatementBytes*len(p.Query.Statements)
}

// KeyOf returns the key of a statement.
func KeyOf(text string, params []byte, settings *Settings) (key Key) {
	hash := blake3.New()
	var length [4]byte
	writePart := func(s string) {
		binary.BigEndian.PutUint32(length[:], uint32(len(s)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(s)
	}
	writePart(text)
	writePart(string(params))
	for _, name := range interpretationSettings {
		writePart(settings.Rendering(name))
	}
	copy(key[:], hash.Sum(nil))
	return key
}

// Catalogue holds one copy of each statement that any session has prepared.
type Catalogue struct {
	statements map[Key]*PreparedStatement
	bytes      int
	// nameBytes is the approximate memory of the names that sessions have for statements.
	nameBytes int
	// maxBytes is the limit of bytes, and of nameBytes; 0: no limit.
	maxBytes int
}

// NewCatalogue returns a catalogue that holds at most maxBytes; 0: no limit.
func NewCatalogue(maxBytes int) *Catalogue {
	return &Catalogue{statements: map[Key]*PreparedStatement{}, maxBytes: maxBytes}
}

// SetMaxBytes changes the limit for statements that are added from now on.
func (c *Catalogue) SetMaxBytes(maxBytes int) { c.maxBytes = maxBytes }

// Bytes returns the approximate memory that all statements use.
func (c *Catalogue) Bytes() int { return c.bytes }

// NameBytes returns the approximate memory that the names of all sessions use.
func (c *Catalogue) NameBytes() int { return c.nameBytes }

// HasRoomForName reports whether one more name of a session stays within the limit.
func (c *Catalogue) HasRoomForName(name string) bool { return c.fits(c.nameBytes + nameBytes(name)) }

// fits reports whether so many bytes are within the limit.
func (c *Catalogue) fits(bytes int) bool { return c.maxBytes <= 0 || bytes <= c.maxBytes }

// nameBytes returns the approximate memory that a session's name for a statement uses.
func nameBytes(name string) int { return nameOverheadBytes + len(name) }

// releaseNamed drops the reference that a name is to a statement. p may be nil.
func (c *Catalogue) releaseNamed(name string, p *PreparedStatement) {
	if p != nil {
		c.nameBytes -= nameBytes(name)
		c.Release(p)
	}
}

// Len returns the number of statements.
func (c *Catalogue) Len() int { return len(c.statements) }

// Acquire returns a statement with one more reference, and adds the statement if it is new. It returns nil if
// a new one would exceed the limit.
func (c *Catalogue) Acquire(text string, params []byte, settings *Settings) *PreparedStatement {
	key := KeyOf(text, params, settings)
	if p := c.statements[key]; p != nil {
		p.references++
		return p
	}
	p := &PreparedStatement{Key: key, Text: text, Params: append([]byte(nil), params...), references: 1}
	if !c.fits(c.bytes + p.Bytes()) { // before the text is parsed
		return nil
	}
	p.Query = ParseQuery(text)
	if !c.fits(c.bytes + p.Bytes()) {
		return nil
	}
	c.statements[key] = p
	c.bytes += p.Bytes()
	return p
}

// Release drops a reference to a statement, and removes the statement from the catalogue when no reference is
// left. p may be nil.
func (c *Catalogue) Release(p *PreparedStatement) {
	if p == nil {
		return
	}
	if p.references--; p.references == 0 {
		delete(c.statements, p.Key)
		c.bytes -= p.Bytes()
	}
}

// StatementNames maps the names that one session uses to its prepared statements; "" is the unnamed
// statement. A change that a pipeline requested is visible within the pipeline at once, but is established
// only when the server confirms it, because an error skips the rest of the pipeline up to Sync.
type StatementNames struct {
	catalogue   *Catalogue
	established map[string]*PreparedStatement
	requested   []nameChange
}

// nameChange is a requested change of the statement that a name stands for.
type nameChange struct {
	name     string
	prepared *PreparedStatement // nil: the name is closed
}

// NewStatementNames returns an empty set of names, whose statements are held in the catalogue.
func NewStatementNames(c *Catalogue) StatementNames { return StatementNames{catalogue: c} }

// Find returns the statement that a name stands for at this point of the pipeline; nil if there is none.
func (n *StatementNames) Find(name string) *PreparedStatement {
	for i := len(n.requested) - 1; i >= 0; i-- {
		if n.requested[i].name == name {
			return n.requested[i].prepared
		}
	}
	return n.established[name]
}

// Request records a requested Parse or, if p is nil, a requested Close. It takes over the caller's reference
// to p.
func (n *StatementNames) Request(name string, p *PreparedStatement) {
	n.requested = append(n.requested, nameChange{name, p})
	if p != nil {
		n.catalogue.nameBytes += nameBytes(name)
	}
}

// Confirm establishes the first requested change, which the server has confirmed.
func (n *StatementNames) Confirm() {
	if len(n.requested) == 0 {
		return
	}
	change := n.requested[0]
	if n.requested = n.requested[1:]; len(n.requested) == 0 {
		n.requested = nil
	}
	n.catalogue.releaseNamed(change.name, n.established[change.name])
	if change.prepared == nil {
		delete(n.established, change.name)
		return
	}
	if n.established == nil {
		n.established = map[string]*PreparedStatement{}
	}
	n.established[change.name] = change.prepared
}

// DiscardLast discards the last count requested changes, because an error came before them.
func (n *StatementNames) DiscardLast(count int) {
	count = min(count, len(n.requested))
	for _, change := range n.requested[len(n.requested)-count:] {
		n.catalogue.releaseNamed(change.name, change.prepared)
	}
	if n.requested = n.requested[:len(n.requested)-count]; len(n.requested) == 0 {
		n.requested = nil
	}
}

// Deallocate closes the statement of a name, as DEALLOCATE does; with all, it also closes every statement
// that has a name.
func (n *StatementNames) Deallocate(name string, all bool) {
	for existing, p := range n.established {
		if all && existing != "" || existing == name {
			n.catalogue.releaseNamed(existing, p)
			delete(n.established, existing)
		}
	}
}

// Len returns the number of the session's statements.
func (n *StatementNames) Len() int { return len(n.established) }

// Close releases all statements, established and requested.
func (n *StatementNames) Close() {
	n.DiscardLast(len(n.requested))
	for name, p := range n.established {
		n.catalogue.releaseNamed(name, p)
	}
	n.established = nil
}

// ServerStatements holds the statements that are prepared on one server connection, in the order of their
// last use.
type ServerStatements struct {
	maxStatements int
	elements      map[Key]*list.Element
	// recentlyUsed holds the keys, the most recently used one first.
	recentlyUsed list.List
	// Unnamed is the key of the connection's unnamed statement; it is valid if HasUnnamed is set.
	Unnamed    Key
	HasUnnamed bool
}

// NewServerStatements returns the state of a connection on which nothing is prepared, and which is to hold at
// most maxStatements.
func NewServerStatements(maxStatements int) *ServerStatements {
	return &ServerStatements{maxStatements: max(1, maxStatements), elements: map[Key]*list.Element{}}
}

// Has reports whether a statement is prepared on the connection, and marks it as used most recently.
func (s *ServerStatements) Has(k Key) bool {
	e := s.elements[k]
	if e != nil {
		s.recentlyUsed.MoveToFront(e)
	}
	return e != nil
}

// Add records that a statement is being prepared. It returns the least recently used statements that have to
// be closed to stay within the limit. It evicts none for which isNeeded returns true, because the current
// pipeline still uses it.
func (s *ServerStatements) Add(k Key, isNeeded func(Key) bool) (evicted []Key) {
	if s.Has(k) {
		return nil
	}
	for e := s.recentlyUsed.Back(); e != nil && len(s.elements) >= s.maxStatements; {
		oldKey, previous := e.Value.(Key), e.Prev()
		if isNeeded == nil || !isNeeded(oldKey) {
			s.Remove(oldKey)
			evicted = append(evicted, oldKey)
		}
		e = previous
	}
	s.elements[k] = s.recentlyUsed.PushFront(k)
	return evicted
}

// Restore records that a statement is still prepared, because the message that was to close it was skipped.
func (s *ServerStatements) Restore(k Key) {
	if s.elements[k] == nil {
		s.elements[k] = s.recentlyUsed.PushBack(k)
	}
}

// Remove records that a statement is not, or no longer, prepared on the connection.
func (s *ServerStatements) Remove(k Key) {
	if e := s.elements[k]; e != nil {
		s.recentlyUsed.Remove(e)
		delete(s.elements, k)
	}
}

// Clear records that no statement is prepared on the connection.
func (s *ServerStatements) Clear() {
	s.elements, s.HasUnnamed = map[Key]*list.Element{}, false
	s.recentlyUsed.Init()
}

// Len returns the number of statements that are prepared on the connection.
func (s *ServerStatements) Len() int { return len(s.elements) }

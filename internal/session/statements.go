package session

import (
	"container/list"
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// Key names a prepared statement among all that any session has: the hash of its text, its parameter types and the
// settings that change what its names mean.
type Key [16]byte

// meaningSettings are the settings under which a text may stand for something else.
var meaningSettings = [...]string{"search_path", "role", "session_authorization", "standard_conforming_strings"}

// Prepared is a statement that a session prepared. It is shared by all that prepared the same.
type Prepared struct {
	Key    Key
	Text   string
	Params []byte // object ids as Parse holds them, four bytes each, behind their count of two
	Query  Query
	users  int
}

// Name is what the statement is called on server connections.
func (p *Prepared) Name() string { return "as_" + hex.EncodeToString(p.Key[:]) }

// Bytes is what the statement takes.
func (p *Prepared) Bytes() int { return len(p.Text) + len(p.Params) + 160 }

// KeyOf names a statement.
func KeyOf(text string, params []byte, v *Settings) (k Key) {
	h := blake3.New()
	var n [4]byte
	part := func(s string) {
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(s)
	}
	part(text)
	part(string(params))
	for _, name := range meaningSettings {
		part(v.Rendering(name))
	}
	copy(k[:], h.Sum(nil))
	return k
}

// Catalogue holds every statement that some session prepared, once.
type Catalogue struct {
	statements map[Key]*Prepared
	bytes      int
	maxBytes   int // bytes; 0: no bound
}

// NewCatalogue returns a catalogue that holds so many bytes.
func NewCatalogue(most int) *Catalogue {
	return &Catalogue{statements: map[Key]*Prepared{}, maxBytes: most}
}

// SetMaxBytes takes another bound for what is added from now on.
func (c *Catalogue) SetMaxBytes(most int) { c.maxBytes = most }

// Bytes is what all statements take.
func (c *Catalogue) Bytes() int { return c.bytes }

// Len is how many there are.
func (c *Catalogue) Len() int { return len(c.statements) }

// Acquire adds a user to a statement, which it makes where it is new. nil: there is no memory for it.
func (c *Catalogue) Acquire(text string, params []byte, v *Settings) *Prepared {
	k := KeyOf(text, params, v)
	if p := c.statements[k]; p != nil {
		p.users++
		return p
	}
	p := &Prepared{Key: k, Text: text, Params: append([]byte(nil), params...), users: 1}
	if c.maxBytes > 0 && c.bytes+p.Bytes() > c.maxBytes {
		return nil
	}
	p.Query = Scan(text)
	c.statements[k] = p
	c.bytes += p.Bytes()
	return p
}

// Release takes a user away.
func (c *Catalogue) Release(p *Prepared) {
	if p == nil {
		return
	}
	if p.users--; p.users == 0 {
		delete(c.statements, p.Key)
		c.bytes -= p.Bytes()
	}
}

// StatementNames are one session's statements by the names that it gave them; "" is the unnamed one. What a pipeline asked for
// counts within the pipeline at once, and for good only when the server says so: an error skips the rest up to Sync.
type StatementNames struct {
	catalogue   *Catalogue
	established map[string]*Prepared
	requested   []nameChange
}

type nameChange struct {
	name     string
	prepared *Prepared // nil: closed
}

// NewStatementNames returns the statements of a session that has none.
func NewStatementNames(c *Catalogue) StatementNames { return StatementNames{catalogue: c} }

// Find is the statement that a name stands for at this point of the pipeline; nil: none.
func (n *StatementNames) Find(name string) *Prepared {
	for i := len(n.requested) - 1; i >= 0; i-- {
		if n.requested[i].name == name {
			return n.requested[i].prepared
		}
	}
	return n.established[name]
}

// Request notes a Parse (whose user the caller took) or, with nil, a Close that was sent.
func (n *StatementNames) Request(name string, p *Prepared) {
	n.requested = append(n.requested, nameChange{name, p})
}

// Confirm says that the first that was asked for has come to be.
func (n *StatementNames) Confirm() {
	if len(n.requested) == 0 {
		return
	}
	a := n.requested[0]
	if n.requested = n.requested[1:]; len(n.requested) == 0 {
		n.requested = nil
	}
	n.catalogue.Release(n.established[a.name])
	if a.prepared == nil {
		delete(n.established, a.name)
		return
	}
	if n.established == nil {
		n.established = map[string]*Prepared{}
	}
	n.established[a.name] = a.prepared
}

// DiscardLast says that an error came before the last k that were asked for.
func (n *StatementNames) DiscardLast(k int) {
	k = min(k, len(n.requested))
	for _, a := range n.requested[len(n.requested)-k:] {
		n.catalogue.Release(a.prepared)
	}
	if n.requested = n.requested[:len(n.requested)-k]; len(n.requested) == 0 {
		n.requested = nil
	}
}

// Deallocate closes a statement, as DEALLOCATE does; all of them with all.
func (n *StatementNames) Deallocate(name string, all bool) {
	for held, p := range n.established {
		if all && held != "" || held == name {
			n.catalogue.Release(p)
			delete(n.established, held)
		}
	}
}

// Len is how many statements the session has.
func (n *StatementNames) Len() int { return len(n.established) }

// Close releases every statement.
func (n *StatementNames) Close() {
	n.DiscardLast(len(n.requested))
	for _, p := range n.established {
		n.catalogue.Release(p)
	}
	n.established = nil
}

// ServerStatements is what is prepared on one server connection, the one used last in front.
type ServerStatements struct {
	maxStatements int
	elements      map[Key]*list.Element
	order         list.List
	// Unnamed is what the connection's unnamed statement is.
	Unnamed    Key
	HasUnnamed bool
}

// NewServerStatements returns a connection on which nothing is prepared; at most so many statements will be.
func NewServerStatements(most int) *ServerStatements {
	return &ServerStatements{maxStatements: max(1, most), elements: map[Key]*list.Element{}}
}

// Has reports whether a statement is prepared there, and counts that as its use.
func (s *ServerStatements) Has(k Key) bool {
	e := s.elements[k]
	if e != nil {
		s.order.MoveToFront(e)
	}
	return e != nil
}

// Add notes that a statement is being prepared and names the ones that have to be closed for it: keep holds those that
// the pipeline under way still needs.
func (s *ServerStatements) Add(k Key, keep func(Key) bool) (evicted []Key) {
	if s.Has(k) {
		return nil
	}
	for e := s.order.Back(); e != nil && len(s.elements) >= s.maxStatements; {
		old, before := e.Value.(Key), e.Prev()
		if keep == nil || !keep(old) {
			s.Remove(old)
			evicted = append(evicted, old)
		}
		e = before
	}
	s.elements[k] = s.order.PushFront(k)
	return evicted
}

// Restore notes that a statement is still there: what was to close it was skipped.
func (s *ServerStatements) Restore(k Key) {
	if s.elements[k] == nil {
		s.elements[k] = s.order.PushBack(k)
	}
}

// Remove notes that a statement is not prepared there, or not any more.
func (s *ServerStatements) Remove(k Key) {
	if e := s.elements[k]; e != nil {
		s.order.Remove(e)
		delete(s.elements, k)
	}
}

// Clear notes that nothing is.
func (s *ServerStatements) Clear() {
	s.elements, s.HasUnnamed = map[Key]*list.Element{}, false
	s.order.Init()
}

// Len is how many are prepared there.
func (s *ServerStatements) Len() int { return len(s.elements) }

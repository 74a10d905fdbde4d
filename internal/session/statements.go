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

// meaning are the settings under which a text may stand for something else.
var meaning = [...]string{"search_path", "role", "session_authorization", "standard_conforming_strings"}

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
func KeyOf(text string, params []byte, v *Values) (k Key) {
	h := blake3.New()
	var n [4]byte
	part := func(s string) {
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		h.Write(n[:])
		h.WriteString(s)
	}
	part(text)
	part(string(params))
	for _, name := range meaning {
		part(v.Of(name))
	}
	copy(k[:], h.Sum(nil))
	return k
}

// Catalogue holds every statement that some session prepared, once.
type Catalogue struct {
	of    map[Key]*Prepared
	bytes int
	most  int // bytes; 0: no bound
}

// NewCatalogue returns a catalogue that holds so many bytes.
func NewCatalogue(most int) *Catalogue { return &Catalogue{of: map[Key]*Prepared{}, most: most} }

// SetMost takes another bound for what is added from now on.
func (c *Catalogue) SetMost(most int) { c.most = most }

// Bytes is what all statements take.
func (c *Catalogue) Bytes() int { return c.bytes }

// Len is how many there are.
func (c *Catalogue) Len() int { return len(c.of) }

// Take adds a user to a statement, which it makes where it is new. nil: there is no memory for it.
func (c *Catalogue) Take(text string, params []byte, v *Values) *Prepared {
	k := KeyOf(text, params, v)
	if p := c.of[k]; p != nil {
		p.users++
		return p
	}
	p := &Prepared{Key: k, Text: text, Params: append([]byte(nil), params...), users: 1}
	if c.most > 0 && c.bytes+p.Bytes() > c.most {
		return nil
	}
	p.Query = Scan(text)
	c.of[k] = p
	c.bytes += p.Bytes()
	return p
}

// Drop takes a user away.
func (c *Catalogue) Drop(p *Prepared) {
	if p == nil {
		return
	}
	if p.users--; p.users == 0 {
		delete(c.of, p.Key)
		c.bytes -= p.Bytes()
	}
}

// Names are one session's statements by the names that it gave them; "" is the unnamed one. What a pipeline asked for
// counts within the pipeline at once, and for good only when the server says so: an error skips the rest up to Sync.
type Names struct {
	catalogue *Catalogue
	held      map[string]*Prepared
	asked     []ask
}

type ask struct {
	name string
	p    *Prepared // nil: closed
}

// NewNames returns the statements of a session that has none.
func NewNames(c *Catalogue) Names { return Names{catalogue: c} }

// Find is the statement that a name stands for at this point of the pipeline; nil: none.
func (n *Names) Find(name string) *Prepared {
	for i := len(n.asked) - 1; i >= 0; i-- {
		if n.asked[i].name == name {
			return n.asked[i].p
		}
	}
	return n.held[name]
}

// Ask notes a Parse (whose user the caller took) or, with nil, a Close that was sent.
func (n *Names) Ask(name string, p *Prepared) { n.asked = append(n.asked, ask{name, p}) }

// Made says that the first that was asked for has come to be.
func (n *Names) Made() {
	if len(n.asked) == 0 {
		return
	}
	a := n.asked[0]
	if n.asked = n.asked[1:]; len(n.asked) == 0 {
		n.asked = nil
	}
	n.catalogue.Drop(n.held[a.name])
	if a.p == nil {
		delete(n.held, a.name)
		return
	}
	if n.held == nil {
		n.held = map[string]*Prepared{}
	}
	n.held[a.name] = a.p
}

// Skipped says that an error came before the last k that were asked for.
func (n *Names) Skipped(k int) {
	k = min(k, len(n.asked))
	for _, a := range n.asked[len(n.asked)-k:] {
		n.catalogue.Drop(a.p)
	}
	if n.asked = n.asked[:len(n.asked)-k]; len(n.asked) == 0 {
		n.asked = nil
	}
}

// Forget closes a statement, as DEALLOCATE does; all of them with all.
func (n *Names) Forget(name string, all bool) {
	for held, p := range n.held {
		if all && held != "" || held == name {
			n.catalogue.Drop(p)
			delete(n.held, held)
		}
	}
}

// Len is how many statements the session has.
func (n *Names) Len() int { return len(n.held) }

// Close lets go of everything.
func (n *Names) Close() {
	n.Skipped(len(n.asked))
	for _, p := range n.held {
		n.catalogue.Drop(p)
	}
	n.held = nil
}

// Server is what is prepared on one server connection, the one used last in front.
type Server struct {
	most  int
	of    map[Key]*list.Element
	order list.List
	// Unnamed is what the connection's unnamed statement is.
	Unnamed    Key
	HasUnnamed bool
}

// NewServer returns a connection on which nothing is prepared; at most so many statements will be.
func NewServer(most int) *Server { return &Server{most: max(1, most), of: map[Key]*list.Element{}} }

// Has says whether a statement is prepared there, and counts that as its use.
func (s *Server) Has(k Key) bool {
	e := s.of[k]
	if e != nil {
		s.order.MoveToFront(e)
	}
	return e != nil
}

// Add notes that a statement is being prepared and names the ones that have to be closed for it: keep holds those that
// the pipeline under way still needs.
func (s *Server) Add(k Key, keep func(Key) bool) (evicted []Key) {
	if s.Has(k) {
		return nil
	}
	for e := s.order.Back(); e != nil && len(s.of) >= s.most; {
		old, before := e.Value.(Key), e.Prev()
		if keep == nil || !keep(old) {
			s.Remove(old)
			evicted = append(evicted, old)
		}
		e = before
	}
	s.of[k] = s.order.PushFront(k)
	return evicted
}

// Keep notes that a statement is still there: what was to close it was skipped.
func (s *Server) Keep(k Key) {
	if s.of[k] == nil {
		s.of[k] = s.order.PushBack(k)
	}
}

// Remove notes that a statement is not prepared there, or not any more.
func (s *Server) Remove(k Key) {
	if e := s.of[k]; e != nil {
		s.order.Remove(e)
		delete(s.of, k)
	}
}

// Clear notes that nothing is.
func (s *Server) Clear() {
	s.of, s.HasUnnamed = map[Key]*list.Element{}, false
	s.order.Init()
}

// Len is how many are prepared there.
func (s *Server) Len() int { return len(s.of) }

// Package cluster is the rig for many processes: real poolers, stand-in hosts and discovery, clients, a proxy on every
// ordered pair of them, faults from a plan, the traces of all and the judges that read them.
package cluster

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// LinkFault is what goes wrong on one way of a link.
type LinkFault struct {
	Drop    bool          // nothing passes: datagrams are lost, streams stand still
	Stall   bool          // nothing passes until it is let go, then all of it does
	Delay   time.Duration // of each piece
	Jitter  time.Duration // drawn on top
	Rate    int           // bytes a second of a stream; 0: no bound
	Loss    float64       // of datagrams, a chance each, as are the next two
	Double  float64
	Reorder float64
}

// with is what two troubles come to that are there at once.
func (t LinkFault) with(o LinkFault) LinkFault {
	either := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	t.Drop, t.Stall = t.Drop || o.Drop, t.Stall || o.Stall
	t.Delay, t.Jitter = t.Delay+o.Delay, t.Jitter+o.Jitter
	if t.Rate == 0 || o.Rate > 0 && o.Rate < t.Rate {
		t.Rate = o.Rate
	}
	t.Loss, t.Double, t.Reorder = either(t.Loss, o.Loss), either(t.Double, o.Double), either(t.Reorder, o.Reorder)
	return t
}

// way is one direction of a link.
type way struct {
	mu      sync.Mutex
	laid    []*LinkFault  // by whoever made it, until that lifts it
	t       LinkFault     // all of them
	changed chan struct{} // closed when t changes
	lots    *rand.Rand
}

func newWay(seed, of uint64) *way {
	return &way{changed: make(chan struct{}), lots: rand.New(rand.NewPCG(seed, of))}
}

// lay adds a trouble; lift takes that one away again.
func (w *way) lay(t LinkFault) (lift func()) {
	own := &t
	w.change(func() { w.laid = append(w.laid, own) })
	return func() {
		w.change(func() { w.laid = slices.DeleteFunc(w.laid, func(o *LinkFault) bool { return o == own }) })
	}
}

func (w *way) change(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
	w.t = LinkFault{}
	for _, t := range w.laid {
		w.t = w.t.with(*t)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *way) now() (LinkFault, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.t, w.changed
}

func (w *way) chance(p float64) bool {
	if p <= 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lots.Float64() < p
}

func (w *way) wait(t LinkFault) time.Duration {
	d := t.Delay
	if t.Jitter > 0 {
		w.mu.Lock()
		d += time.Duration(w.lots.Float64() * float64(t.Jitter))
		w.mu.Unlock()
	}
	return d
}

// open waits until something may pass; false: the link ended.
func (w *way) open(ended <-chan struct{}) bool {
	for {
		t, changed := w.now()
		if !t.Drop && !t.Stall {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}

const (
	piece      = 16 << 10 // of a stream that is passed on at once
	held       = 256      // datagrams that a stalled way holds, pieces of a stream that a slow one does
	reorderFor = 20 * time.Millisecond
)

// Link is a proxy from one process to another: streams that From opens and what comes back on them, and datagrams that
// From sends.
type Link struct {
	From, To string
	Address  string // where From finds To
	forth    *way
	back     *way

	to    func() string // where To listens; it may move
	tcp   net.Listener
	udp   net.PacketConn
	out   net.PacketConn // datagrams leave here
	ended chan struct{}
	once  sync.Once
	mu    sync.Mutex
	conns map[net.Conn]net.Conn
	late  [][]byte // datagrams of a stalled way
}

// NewLink opens a proxy at a free port; datagrams as well where asked for.
func NewLink(from, to string, at func() string, datagrams bool, seed uint64) (*Link, error) {
	l := &Link{
		From: from, To: to, to: at, forth: newWay(seed, hash(from+">"+to)), back: newWay(seed, hash(from+"<"+to)), ended: make(chan struct{}),
		conns: map[net.Conn]net.Conn{},
	}
	var err error
	for range 20 { // the same port has to be free for both
		if l.tcp, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		l.Address = l.tcp.Addr().String()
		if !datagrams {
			break
		}
		if l.udp, err = net.ListenPacket("udp", l.Address); err == nil {
			if l.out, err = net.ListenPacket("udp", "127.0.0.1:0"); err == nil {
				break
			}
			_ = l.udp.Close()
		}
		l.tcp.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("link %s>%s: %w", from, to, err)
	}
	go l.accept()
	if datagrams {
		go l.datagrams()
		go l.release()
	}
	return l, nil
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Close ends it and all that passes through it.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.ended)
		l.tcp.Close()
		if l.udp != nil {
			_ = l.udp.Close()
			_ = l.out.Close()
		}
	})
	l.Reset()
}

// Reset breaks all streams that are open now.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a, b := range l.conns {
		reset(a)
		reset(b)
	}
	clear(l.conns)
}

// reset closes a stream so that its other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Link) accept() {
	for {
		c, err := l.tcp.Accept()
		if err != nil {
			return
		}
		go l.carry(c)
	}
}

func (l *Link) carry(a net.Conn) {
	defer a.Close()
	if !l.forth.open(l.ended) {
		return
	}
	b, err := net.DialTimeout("tcp", l.to(), 2*time.Second)
	if err != nil {
		reset(a) // refused there, so reset here
		return
	}
	defer b.Close()
	l.mu.Lock()
	l.conns[a] = b
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, a)
		l.mu.Unlock()
	}()
	var both sync.WaitGroup
	both.Go(func() { l.pass(a, b, l.forth) })
	both.Go(func() { l.pass(b, a, l.back) })
	both.Wait()
}

// pass moves bytes one way, in order, each piece no sooner than the way's trouble has it.
func (l *Link) pass(from, to net.Conn, w *way) {
	type part struct {
		b   []byte
		due time.Time
	}
	parts := make(chan part, held)
	broken := make(chan struct{})
	go func() {
		defer close(parts)
		for {
			b := make([]byte, piece)
			n, err := from.Read(b)
			if n > 0 {
				t, _ := w.now()
				select {
				case parts <- part{b[:n], time.Now().Add(w.wait(t))}:
				case <-broken:
					return
				case <-l.ended:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() {
		close(broken)
		if t, ok := to.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.due))
		if !w.open(l.ended) {
			return
		}
		if t, _ := w.now(); t.Rate > 0 {
			time.Sleep(time.Duration(float64(len(p.b)) / float64(t.Rate) * float64(time.Second)))
		}
		if _, err := to.Write(p.b); err != nil {
			from.Close()
			return
		}
	}
}

func (l *Link) datagrams() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := l.udp.ReadFrom(b)
		if err != nil {
			return
		}
		t, _ := l.forth.now()
		copied := append([]byte(nil), b[:n]...)
		switch {
		case t.Drop || l.forth.chance(t.Loss):
			continue
		case t.Stall:
			l.mu.Lock()
			if len(l.late) < held {
				l.late = append(l.late, copied)
			}
			l.mu.Unlock()
			continue
		}
		d := l.forth.wait(t)
		if l.forth.chance(t.Reorder) {
			d += reorderFor
		}
		l.send(copied, d)
		if l.forth.chance(t.Double) {
			l.send(copied, d+time.Millisecond)
		}
	}
}

func (l *Link) send(b []byte, after time.Duration) {
	at, err := net.ResolveUDPAddr("udp", l.to())
	if err != nil {
		return
	}
	if after <= 0 {
		_, _ = l.out.WriteTo(b, at)
		return
	}
	time.AfterFunc(after, func() { _, _ = l.out.WriteTo(b, at) })
}

// release sends on what a stalled way held.
func (l *Link) release() {
	for {
		t, changed := l.forth.now()
		if !t.Stall {
			l.mu.Lock()
			late := l.late
			l.late = nil
			l.mu.Unlock()
			for _, b := range late {
				l.send(b, 0)
			}
		}
		select {
		case <-changed:
		case <-l.ended:
			return
		}
	}
}

// Mesh is the links between poolers, and from them to discovery and hosts.
type Mesh struct {
	mu    sync.Mutex
	links map[[2]string]*Link
}

// NewMesh returns an empty one.
func NewMesh() *Mesh { return &Mesh{links: map[[2]string]*Link{}} }

// Add puts a link there.
func (m *Mesh) Add(l *Link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[[2]string{l.From, l.To}] = l
}

// Link is that of a pair; nil: there is none.
func (m *Mesh) Link(from, to string) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[[2]string{from, to}]
}

// Impair lays a trouble on all that goes from one process to another: on streams of either side, and datagrams. What others
// have laid there stays, also when this one is lifted.
func (m *Mesh) Impair(from, to string, t LinkFault) (lift func()) {
	var lifts []func()
	if l := m.Link(from, to); l != nil {
		lifts = append(lifts, l.forth.lay(t))
	}
	if l := m.Link(to, from); l != nil {
		lifts = append(lifts, l.back.lay(t))
	}
	return together(lifts)
}

// ImpairBoth lays it both ways.
func (m *Mesh) ImpairBoth(a, b string, t LinkFault) (lift func()) {
	return together([]func(){m.Impair(a, b, t), m.Impair(b, a, t)})
}

func together(do []func()) func() {
	return func() {
		for _, f := range do {
			f()
		}
	}
}

// Reset breaks the streams of a pair, whoever opened them.
func (m *Mesh) Reset(a, b string) {
	for _, l := range []*Link{m.Link(a, b), m.Link(b, a)} {
		if l != nil {
			l.Reset()
		}
	}
}

// Close ends all.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.Close()
	}
}

package edge

import (
	"context"
	"errors"
	"sync"

	"ashstand/internal/dispatch"
	"ashstand/internal/sqlcomment"
)

// Backend reaches database hosts over one wire protocol.
type Backend interface {
	// Acquire returns an open connection, from its pool or by dialing. An error proves that the request did
	// not run.
	Acquire(ctx context.Context, host string) (Conn, error)
	// CloseIdle closes the connections to a host on which no answer is due.
	CloseIdle(host string)
	// SetAddress sets a host's address. An empty address removes the host.
	SetAddress(host, address string)
	// Probe requests a load report from a host. It calls listed just before the write, because a host that is
	// draining or was removed must get no probe.
	Probe(ctx context.Context, host string, listed func(host string) bool) dispatch.Outcome
}

// Gate is called just before a request is written, and again after each wait. It returns how long the host
// may take, in milliseconds, and whether the request may be sent at all.
type Gate func() (wait float64, ok bool)

// Conn is a connection that one request owns until the exchange ends.
type Conn interface {
	// Exchange writes a request once, if the gate permits it, and waits for the complete answer or until ctx
	// ends. It then returns the connection to its pool, or closes it if an answer is still due.
	Exchange(ctx context.Context, s *sqlcomment.Statement, gate Gate) Reply
}

// ErrHostRejected is returned by Acquire if the host itself rejected the connection: the host is at capacity,
// not down.
var ErrHostRejected = errors.New("the host turns connections away")

// ErrPoolExhausted is returned by Acquire if the limits of this process allow no further connection. It is no
// evidence against the host. A backoff has to pass before the next attempt, as with a host that is at
// capacity.
var ErrPoolExhausted = errors.New("all connections that this pooler may hold are in use")

// ErrUnlisted is returned by Acquire if the host started draining, or was removed, after it was chosen.
// Nothing was sent, and another host is to be chosen.
var ErrUnlisted = errors.New("the host takes nothing new")

var errNoBackend = errors.New("discovery has given no address for this host")

// BackendMux forwards the calls for each host to the backend that speaks the host's wire protocol. Its zero
// value has no hosts.
type BackendMux struct {
	mu       sync.Mutex // guards backends; never held during a call to a backend
	backends map[string]Backend
}

// Route sets the backend and the address of a host. If the host had another backend before, it is removed
// from that one.
func (m *BackendMux) Route(host string, b Backend, address string) {
	m.mu.Lock()
	if m.backends == nil {
		m.backends = map[string]Backend{}
	}
	old := m.backends[host]
	m.backends[host] = b
	m.mu.Unlock()
	if old != nil && old != b {
		old.SetAddress(host, "")
	}
	b.SetAddress(host, address)
}

func (m *BackendMux) backendOf(host string) Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.backends[host]
}

// Acquire implements Backend.
func (m *BackendMux) Acquire(ctx context.Context, host string) (Conn, error) {
	if b := m.backendOf(host); b != nil {
		return b.Acquire(ctx, host)
	}
	return nil, errNoBackend
}

// CloseIdle implements Backend.
func (m *BackendMux) CloseIdle(host string) {
	if b := m.backendOf(host); b != nil {
		b.CloseIdle(host)
	}
}

// SetAddress implements Backend: it changes the address of a host that has a backend, or removes the host.
func (m *BackendMux) SetAddress(host, address string) {
	if b := m.backendOf(host); b != nil {
		b.SetAddress(host, address)
	}
	if address == "" {
		m.mu.Lock()
		delete(m.backends, host)
		m.mu.Unlock()
	}
}

// Probe implements Backend.
func (m *BackendMux) Probe(ctx context.Context, host string, listed func(string) bool) dispatch.Outcome {
	if b := m.backendOf(host); b != nil {
		return b.Probe(ctx, host, listed)
	}
	return dispatch.Outcome{Code: dispatch.NoConnection}
}

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
	// Acquire returns an open connection, from its pool or by dialing. An error proves that nothing ran.
	Acquire(ctx context.Context, host string) (Conn, error)
	// CloseIdle closes the connections to a host on which no answer is due.
	CloseIdle(host string)
	// SetAddress sets a host's address. The empty address forgets the host.
	SetAddress(host, address string)
	// Probe requests a load report from a host. It calls listed again just before the write: nothing new goes to a
	// host that is draining or was removed.
	Probe(ctx context.Context, host string, listed func(host string) bool) dispatch.Outcome
}

// Gate is called just before a request is written, again after each wait. It returns how long the host may take, in
// milliseconds, and whether the request may be sent at all.
type Gate func() (wait float64, ok bool)

// Conn is a connection that one request owns until the exchange ends.
type Conn interface {
	// Exchange writes a request once, if the gate lets it, and waits for the complete answer, or until ctx ends.
	// The connection goes back to its pool, or is closed where an answer is still due.
	Exchange(ctx context.Context, s *sqlcomment.Statement, gate Gate) Reply
}

// ErrHostRejected is what Acquire returns where the host itself rejected the connection: it is at capacity, not down.
var ErrHostRejected = errors.New("the host turns connections away")

// ErrPoolExhausted is what Acquire returns where this process's own limits allow no further connection. It is no evidence
// against the host, and a backoff has to pass before the next attempt, as with a host that is at capacity.
var ErrPoolExhausted = errors.New("all connections that this pooler may hold are in use")

// ErrUnlisted is what Acquire returns where the host started draining, or was removed, after it was chosen: nothing was
// sent, and another host is to be chosen.
var ErrUnlisted = errors.New("the host takes nothing new")

var errNoBackend = errors.New("discovery has given no address for this host")

// BackendMux reaches each host over the backend that speaks its wire protocol. Its zero value knows no hosts.
type BackendMux struct {
	mu       sync.Mutex // guards backends; never held during a call to a backend
	backends map[string]Backend
}

// Route sets the backend over which a host is reached, and its address. A backend that reached the host before forgets
// it.
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

// SetAddress implements Backend: it changes the address of a host that has a backend, or forgets the host.
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

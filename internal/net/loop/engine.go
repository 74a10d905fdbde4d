// Package loop runs the event loop that serves every socket but gRPC's: client connections that are accepted, and connections
// to database hosts and discovery that are dialed on other goroutines and registered here.
//
// There is one event loop, so handlers share state without locks; in return they must not block. The engine survives a lack of
// file descriptors: it keeps a few in reserve, and asks the front to evict a client or to reject the next one.
package loop

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// Handler owns one connection. Its methods run on the event loop and must not block.
type Handler interface {
	// Traffic is called when data has arrived.
	Traffic(c gnet.Conn) gnet.Action
	// Closed is called once the connection is closed.
	Closed(c gnet.Conn, err error)
}

// Accept makes the handler of an accepted connection, with what to write to it at once; a nil handler rejects the connection.
// It runs on the event loop.
type Accept = func(c gnet.Conn) (Handler, []byte, gnet.Action)

// MaxRegistrations is how many connections are being registered at once, at most. Each uses two descriptors meanwhile.
const MaxRegistrations = 4

const (
	stopTimeout     = time.Second
	readBufferSize  = 64 << 10
	writeBufferSize = 16 << 10
	tickInterval    = time.Hour // of a tick that does nothing: gnet calls the first one once its loops run
)

// Engine is the listeners and their event loop. Start runs it; Stop closes all its connections.
type Engine struct {
	gnet.BuiltinEventEngine
	// Exhaustion is what to do while no descriptor is free. It must be set before Start.
	Exhaustion ExhaustionPolicy

	accept        Accept
	listeners     map[string]Accept // by further address
	engine        gnet.Engine
	started       chan struct{} // closed once the event loop runs
	startedOnce   sync.Once
	stopped       chan error
	registrations chan struct{} // holds an element for each registration in progress

	reserve       descriptorReserve
	exhaustionLog ThrottledLog
	listenerLost  sync.Once
}

// errorLogger limits the library's log to errors.
type errorLogger struct{}

func (errorLogger) Debugf(string, ...any) {}
func (errorLogger) Infof(string, ...any)  {}
func (errorLogger) Warnf(string, ...any)  {}
func (errorLogger) Errorf(f string, a ...any) {
	slog.Error("sockets: event loop failed", "error", fmt.Sprintf(f, a...))
}
func (errorLogger) Fatalf(f string, a ...any) { log.Fatalf("sockets: "+f, a...) }

// New returns an engine that does not run yet.
func New() *Engine {
	return &Engine{started: make(chan struct{}), stopped: make(chan error, 1), registrations: make(chan struct{}, MaxRegistrations)}
}

// AddListener adds a further address to listen at, before Start. The same event loop serves it.
func (e *Engine) AddListener(address string, accept Accept) error {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return err
	}
	if e.listeners == nil {
		e.listeners = map[string]Accept{}
	}
	e.listeners[a.String()] = accept
	return nil
}

// Start listens at the addresses that were added and then at address, a TCP host:port, and returns once the event loop runs.
// Clients that reach address therefore reach the others.
func (e *Engine) Start(address string, accept Accept) error {
	e.accept = accept
	addresses := append(slices.Sorted(maps.Keys(e.listeners)), address)
	urls := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if err := checkAddressFree(a); err != nil {
			return fmt.Errorf("listen on %s: %w", a, err)
		}
		urls = append(urls, "tcp://"+a)
	}
	e.reserve.fill()
	go func() {
		defer e.reserve.releaseAll()
		e.stopped <- gnet.Rotate(e, urls, e.options()...)
	}()
	select {
	case <-e.started:
		return nil
	case err := <-e.stopped:
		if err == nil {
			err = errors.New("the event loop ended")
		}
		return fmt.Errorf("listen on %s: %w", address, err)
	}
}

func (e *Engine) options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1), // one core; and what handlers share then needs no locks
		gnet.WithReuseAddr(true), // a restart finds the last process's connections in TIME_WAIT
		// The loop that serves connections accepts them too, one at a time. Otherwise a thread of its own takes all
		// that wait, before accept is called once: a burst of hundreds takes the last descriptor.
		gnet.WithReusePort(true),
		gnet.WithLoadBalancing(gnet.SourceAddrHash), // the default may not be used from several goroutines
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(readBufferSize),
		gnet.WithWriteBufferCap(writeBufferSize),
		gnet.WithTicker(true),
		gnet.WithLogger(acceptLogger{engine: e}),
	}
}

// Ended receives the error of an event loop that ended.
func (e *Engine) Ended() <-chan error { return e.stopped }

// Stop ends the event loop and closes its connections.
func (e *Engine) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = e.engine.Stop(ctx)
}

// checkAddressFree fails where an address can't be listened on. Sharing ports, the event loop would not notice another program
// there. It binds and does not listen: a client that connected during the check would be reset with what it had sent.
func checkAddressFree(address string) error {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil || a.Port == 0 {
		return err
	}
	family, bound := unix.AF_INET, unix.Sockaddr(nil)
	if ip := a.IP.To4(); ip != nil || a.IP == nil {
		v4 := &unix.SockaddrInet4{Port: a.Port}
		copy(v4.Addr[:], ip)
		bound = v4
	} else {
		v6 := &unix.SockaddrInet6{Port: a.Port}
		copy(v6.Addr[:], a.IP.To16())
		family, bound = unix.AF_INET6, v6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	return os.NewSyscallError("bind", unix.Bind(fd, bound))
}

// Dial opens a connection on the calling goroutine and registers it with the event loop, where h owns it. Where no descriptor
// is free it takes one of the reserve: the next client that comes, not discovery or a host, has to make room.
func (e *Engine) Dial(ctx context.Context, address string, h Handler) (c gnet.Conn, err error) {
	for range ReservedDescriptors {
		if c, err = e.dial(ctx, address, h); !OutOfDescriptors(err) || !e.reserve.release(ReservedDescriptors/2) {
			break
		}
	}
	return c, err
}

func (e *Engine) dial(ctx context.Context, address string, h Handler) (gnet.Conn, error) {
	var d net.Dialer
	d.KeepAlive, d.FallbackDelay = -1, -1 // one descriptor at a time, also for a name with addresses of two kinds
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return e.Register(c, h)
}

// Register hands a connection to the event loop, where h owns it. It blocks until the loop has it.
func (e *Engine) Register(c net.Conn, h Handler) (gnet.Conn, error) {
	e.registrations <- struct{}{} // an event loop that never blocks gives it back at once
	defer func() { <-e.registrations }()
	pending := &registration{Handler: h}
	done, err := e.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), pending), c))
	if err != nil {
		c.Close()
		return nil, err
	}
	r := awaitRegistration(done)
	if r.Err == nil && !pending.opened.Load() {
		return nil, errNotRegistered
	}
	return r.Conn, r.Err
}

// errNotRegistered is returned where the kernel did not take a connection into the event loop's set (epoll_ctl failed, such as
// with ENOMEM or ENOSPC). gnet reports such a registration as done, with a connection whose descriptor it has closed: the number
// may be another connection's by then.
var errNotRegistered = errors.New("the event loop could not take the connection")

// registration is the context of a connection that is being registered, until the event loop has it.
type registration struct {
	Handler
	opened atomic.Bool
}

// awaitRegistration waits for the result, and until the duplicated descriptor is closed: then the channel is.
func awaitRegistration(done <-chan gnet.RegisteredResult) gnet.RegisteredResult {
	r := <-done
	<-done
	return r
}

// OnBoot implements gnet.EventHandler. gnet has not made its event loops yet.
func (e *Engine) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	return gnet.None
}

// OnTick implements gnet.EventHandler. Only from the first tick on is it safe to register connections: a dial right after
// OnBoot read the list of event loops while gnet was filling it.
func (e *Engine) OnTick() (time.Duration, gnet.Action) {
	e.startedOnce.Do(func() { close(e.started) })
	return tickInterval, gnet.None
}

// OnOpen implements gnet.EventHandler, for accepted and registered connections alike; the latter have their handler.
func (e *Engine) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if pending, ok := c.Context().(*registration); ok {
		c.SetContext(pending.Handler)
		pending.opened.Store(true)
		return nil, gnet.None
	}
	if reply, ok := e.admit(c); !ok {
		return reply, gnet.Close
	}
	h, out, action := e.acceptOf(c)(c)
	if h != nil {
		c.SetContext(h)
	}
	return out, action
}

// acceptOf returns the accept function of the address at which a connection arrived.
func (e *Engine) acceptOf(c gnet.Conn) Accept {
	if len(e.listeners) > 0 && c.LocalAddr() != nil {
		if other := e.listeners[c.LocalAddr().String()]; other != nil {
			return other
		}
	}
	return e.accept
}

// OnTraffic implements gnet.EventHandler.
func (e *Engine) OnTraffic(c gnet.Conn) gnet.Action {
	if h, ok := c.Context().(Handler); ok {
		return h.Traffic(c)
	}
	return gnet.Close
}

// OnClose implements gnet.EventHandler.
func (e *Engine) OnClose(c gnet.Conn, err error) gnet.Action {
	if h, ok := c.Context().(Handler); ok {
		h.Closed(c, err)
	}
	return gnet.None
}

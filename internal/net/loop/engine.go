// Package loop runs the event loop that serves every socket but gRPC's: accepted client connections, and connections to database
// hosts and discovery, which are dialed on other goroutines and registered with the event loop.
//
// There is one event loop, so handlers share state without locks; in return they must not block. The engine keeps running when
// the process is out of file descriptors: it keeps a few in reserve, and asks the front to evict a client or to reject the next
// one.
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

	"ashstand/internal/panics"
)

// Handler owns one connection. Its methods run on the event loop and must not block.
type Handler interface {
	// Traffic is called when data has arrived.
	Traffic(c gnet.Conn) gnet.Action
	// Closed is called once the connection is closed.
	Closed(c gnet.Conn, err error)
}

// Accept returns the handler of an accepted connection and the bytes to write to it at once. A nil handler rejects the connection.
// Accept runs on the event loop.
type Accept = func(c gnet.Conn) (Handler, []byte, gnet.Action)

// MaxRegistrations is the maximum number of connections that are being registered at once. Each uses two descriptors meanwhile.
const MaxRegistrations = 4

const (
	stopTimeout     = time.Second
	readBufferSize  = 16 << 10
	writeBufferSize = 16 << 10
	// tickInterval is long because only the first tick matters: gnet calls it once its event loops run.
	tickInterval = time.Hour
)

// Engine holds the listeners and their event loop. Start runs it; Stop closes all its connections.
type Engine struct {
	gnet.BuiltinEventEngine
	// Exhaustion defines what to do while no descriptor is free. It must be set before Start.
	Exhaustion ExhaustionPolicy
	// OnPanic is told of each panic that ended one connection: in which function it was recovered, and its value. It must be set
	// before Start. If it is nil, a panic ends the process.
	OnPanic func(in string, value any)

	accept        Accept
	listeners     map[string]Accept // the listeners of AddListener, by address
	addresses     []string          // of all listeners
	engine        gnet.Engine
	eventLoop     atomic.Value  // gnet.EventLoop, set when the first connection opens
	started       chan struct{} // closed once the event loop runs
	startedOnce   sync.Once
	stopped       chan error
	loopEnded     chan struct{} // closed once the event loop has ended
	messages      messageCounter
	shares        FairQueue
	registrations chan struct{} // holds an element for each registration in progress

	reserve       descriptorReserve
	exhaustionLog ThrottledLog
	listenerLost  sync.Once
}

// errorLogger limits gnet's log to errors.
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
	e := &Engine{
		started: make(chan struct{}), stopped: make(chan error, 1), loopEnded: make(chan struct{}),
		registrations: make(chan struct{}, MaxRegistrations),
	}
	e.shares.panicked = e.panicked
	return e
}

// AddListener adds a further address to listen on. It must be called before Start. The same event loop serves it.
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

// Start listens on the addresses that were added and then on address, a TCP host:port, and returns once the event loop runs.
// Because of this order, a client that can connect to address can also connect to the others.
func (e *Engine) Start(address string, accept Accept) error {
	e.accept = accept
	e.addresses = append(slices.Sorted(maps.Keys(e.listeners)), address)
	urls := make([]string, 0, len(e.addresses))
	for _, a := range e.addresses {
		if err := checkAddressFree(a); err != nil {
			return fmt.Errorf("listen on %s: %w", a, err)
		}
		urls = append(urls, "tcp://"+a)
	}
	e.reserve.fill()
	go func() {
		defer e.reserve.releaseAll()
		err := gnet.Rotate(e, urls, e.options()...)
		close(e.loopEnded)
		e.stopped <- err
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
		gnet.WithNumEventLoop(1), // the process has one core, and handlers share state without locks
		gnet.WithReuseAddr(true), // after a restart, connections of the previous process may be in TIME_WAIT
		// With this option the event loop that serves connections also accepts them, one at a time. Without it a
		// separate thread accepts all waiting connections before the Accept function is called once, and a burst of
		// hundreds uses up the descriptors.
		gnet.WithReusePort(true),
		gnet.WithLoadBalancing(gnet.SourceAddrHash), // the default policy is not safe for concurrent use
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(readBufferSize),
		gnet.WithWriteBufferCap(writeBufferSize),
		gnet.WithTicker(true),
		gnet.WithLogger(acceptLogger{engine: e}),
	}
}

// Shares returns the queue of the connections whose input waits for its turn. The event loop owns it.
func (e *Engine) Shares() *FairQueue { return &e.shares }

// Ended returns a channel that receives the result of the event loop once it has ended.
func (e *Engine) Ended() <-chan error { return e.stopped }

// Stop ends the event loop and closes its connections.
func (e *Engine) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = e.engine.Stop(ctx)
}

// checkAddressFree returns an error if the process can't listen on an address. The event loop's listener uses SO_REUSEPORT and
// would not notice another program on the port. The check binds a socket without listening on it: a client that connected
// during the check would be reset and lose what it had sent.
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

// Dial opens a connection on the calling goroutine and registers it with the event loop, where h owns it. If no descriptor is
// free, it uses one of the reserve, up to half of them: connections to discovery and hosts take precedence over the next client.
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
	// Without the fallback, a name with IPv4 and IPv6 addresses uses one descriptor at a time.
	d.KeepAlive, d.FallbackDelay = -1, -1
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return e.Register(c, h)
}

// Register hands a connection to the event loop, where h owns it. It blocks until the event loop has registered it.
func (e *Engine) Register(c net.Conn, h Handler) (gnet.Conn, error) {
	e.registrations <- struct{}{} // waits only briefly, as the event loop never blocks
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

// errNotRegistered is returned when the kernel did not add a connection to the event loop's epoll set (epoll_ctl failed, for
// example with ENOMEM or ENOSPC). gnet reports such a registration as successful, with a connection whose descriptor it has
// closed; by then the descriptor number may belong to another connection.
var errNotRegistered = errors.New("the event loop could not take the connection")

// registration is the context of a connection until the event loop has opened it. opened is set by OnOpen.
type registration struct {
	Handler
	opened atomic.Bool
}

// awaitRegistration waits for the result, and then until gnet has closed the duplicated descriptor: it closes the channel after
// that.
func awaitRegistration(done <-chan gnet.RegisteredResult) gnet.RegisteredResult {
	r := <-done
	<-done
	return r
}

// OnBoot implements gnet.EventHandler. gnet has not created its event loops yet.
func (e *Engine) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	return gnet.None
}

// OnTick implements gnet.EventHandler. Registering connections is safe only from the first tick on: a dial right after OnBoot
// would read the list of event loops while gnet is still filling it.
func (e *Engine) OnTick() (time.Duration, gnet.Action) {
	e.startedOnce.Do(func() { close(e.started) })
	return tickInterval, gnet.None
}

// OnOpen implements gnet.EventHandler, for accepted and for registered connections. Registered ones already have their handler.
func (e *Engine) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	e.eventLoop.CompareAndSwap(nil, c.EventLoop())
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

// OnTraffic implements gnet.EventHandler. A panic closes the connection whose bytes led to it. One in a handler's Closed method or
// in a task ends the process, since it leaves what connections share half changed.
func (e *Engine) OnTraffic(c gnet.Conn) (action gnet.Action) {
	defer func() {
		if value := recover(); value != nil {
			e.panicked("loop.OnTraffic", value)
			action = gnet.Close
		}
	}()
	if h, ok := c.Context().(Handler); ok {
		return h.Traffic(c)
	}
	return gnet.Close
}

// panicked reports a panic that ends one connection, unless it has to end the process.
func (e *Engine) panicked(in string, value any) {
	panics.Check(value)
	if e.OnPanic == nil {
		panic(value)
	}
	e.OnPanic(in, value)
}

// OnClose implements gnet.EventHandler.
func (e *Engine) OnClose(c gnet.Conn, err error) gnet.Action {
	if h, ok := c.Context().(Handler); ok {
		h.Closed(c, err)
	}
	return gnet.None
}

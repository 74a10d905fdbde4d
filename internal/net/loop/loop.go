// Package loop runs the event loops that serve every socket but gRPC's: client connections that are accepted,
// and connections to db hosts and discovery that are dialled elsewhere and enrolled here.
package loop

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Handler owns one connection. Its methods run on the event loop and must not block.
type Handler interface {
	Traffic(c gnet.Conn) gnet.Action
	Closed(c gnet.Conn, err error)
}

// Accept makes the handler of a connection that came in; nil turns the connection away. It runs on the event loop.
type Accept = func(c gnet.Conn) (Handler, []byte, gnet.Action)

// Engine is the listeners and their event loop.
type Engine struct {
	gnet.BuiltinEventEngine
	accept        Accept
	listeners     map[string]Accept // by address
	engine        gnet.Engine
	started       chan struct{}
	startedOnce   sync.Once
	stopped       chan error
	registrations chan struct{} // bounds what is being enrolled

	Exhaustion    ExhaustionPolicy // set before Start
	reserve       descriptorReserve
	exhaustionLog ThrottledLog
	listenerLost  sync.Once // the listener is
}

// MaxRegistrations is how many connections hold two descriptors for a moment, at the most.
const MaxRegistrations = 4

// errorLogger keeps the library's chatter to what on-call staff can use.
type errorLogger struct{}

func (errorLogger) Debugf(string, ...any)     {}
func (errorLogger) Infof(string, ...any)      {}
func (errorLogger) Warnf(string, ...any)      {}
func (errorLogger) Errorf(f string, a ...any) { slog.Error(fmt.Sprintf("sockets: "+f, a...)) }
func (errorLogger) Fatalf(f string, a ...any) { log.Fatalf("sockets: "+f, a...) }

// New returns an engine that does not run yet.
func New() *Engine {
	return &Engine{started: make(chan struct{}), stopped: make(chan error, 1), registrations: make(chan struct{}, MaxRegistrations)}
}

// AddListener names a further address to listen at, before Start. It is served by the same loop.
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

// Start listens at address, a TCP host:port, and at those that Also named.
func (e *Engine) Start(address string, accept Accept) error {
	e.accept = accept
	all := []string{"tcp://" + address}
	if err := checkAddressFree(address); err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	for other := range e.listeners {
		if err := checkAddressFree(other); err != nil {
			return fmt.Errorf("listen on %s: %w", other, err)
		}
		all = append(all, "tcp://"+other)
	}
	e.reserve.fill()
	go func() {
		defer e.reserve.releaseAll()
		e.stopped <- gnet.Rotate(e, all,
			gnet.WithNumEventLoop(1), // one core; and what handlers share then needs no locks
			gnet.WithReuseAddr(true), // a restart finds the last process's connections in TIME_WAIT
			// The loop that serves connections accepts them too, one at a time. Otherwise a thread of its own takes all
			// that wait, before accept is asked once: a burst of hundreds takes the last descriptor.
			gnet.WithReusePort(true),
			gnet.WithLoadBalancing(gnet.SourceAddrHash), // the default may not be used from several goroutines
			gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithReadBufferCap(64<<10),
			gnet.WithWriteBufferCap(16<<10),
			gnet.WithTicker(true),
			gnet.WithLogger(acceptLogger{engine: e}))
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

// Ended reports a loop that stopped by itself.
func (e *Engine) Ended() <-chan error { return e.stopped }

// Stop ends the loop and closes its connections.
func (e *Engine) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.engine.Stop(ctx)
}

// checkAddressFree says whether an address can be listened on. Sharing ports, the loop would not notice another program there.
func checkAddressFree(address string) error {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil || a.Port == 0 {
		return err
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	return l.Close()
}

// Dial opens a connection on the calling goroutine and hands it to the loop, where h owns it. Where no descriptor is
// free it takes one of the reserve: the next client that comes, not discovery or a host, has to make room.
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

// Register hands a connection to the loop, where h owns it. It blocks until the loop has it.
func (e *Engine) Register(c net.Conn, h Handler) (gnet.Conn, error) {
	e.registrations <- struct{}{} // a loop that never blocks gives it back at once
	defer func() { <-e.registrations }()
	done, err := e.engine.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), h), c))
	if err != nil {
		c.Close()
		return nil, err
	}
	r := awaitRegistration(done)
	return r.Conn, r.Err
}

// awaitRegistration waits for what came of it, and until the descriptor that was doubled is closed: then the channel is.
func awaitRegistration(done <-chan gnet.RegisteredResult) gnet.RegisteredResult {
	r := <-done
	<-done
	return r
}

// OnBoot is called by gnet before it has made its event loops.
func (e *Engine) OnBoot(engine gnet.Engine) gnet.Action {
	e.engine = engine
	return gnet.None
}

// OnTick is called by gnet once the loops run. Only from here on is it safe to enrol connections: a dial that
// came right after OnBoot read the list of loops while gnet was filling it.
func (e *Engine) OnTick() (time.Duration, gnet.Action) {
	e.startedOnce.Do(func() { close(e.started) })
	return time.Hour, gnet.None
}

// OnOpen is called by gnet for accepted and enrolled connections alike; the latter have their handler.
func (e *Engine) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if c.Context() != nil {
		return nil, gnet.None
	}
	if words, ok := e.admit(c); !ok {
		return words, gnet.Close
	}
	accept := e.accept
	if len(e.listeners) > 0 && c.LocalAddr() != nil {
		if other := e.listeners[c.LocalAddr().String()]; other != nil {
			accept = other
		}
	}
	h, out, action := accept(c)
	if h != nil {
		c.SetContext(h)
	}
	return out, action
}

// OnTraffic is called by gnet.
func (e *Engine) OnTraffic(c gnet.Conn) gnet.Action {
	if h, ok := c.Context().(Handler); ok {
		return h.Traffic(c)
	}
	return gnet.Close
}

// OnClose is called by gnet.
func (e *Engine) OnClose(c gnet.Conn, err error) gnet.Action {
	if h, ok := c.Context().(Handler); ok {
		h.Closed(c, err)
	}
	return gnet.None
}

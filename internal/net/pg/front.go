package pg

import (
	"context"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/edge"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/net/loop"
)

// Bounds of the front in statement mode, in bytes and milliseconds.
const (
	maxUnreadBytes             = maxQueryBytes + 64<<10 // of one client at the least: a query, and what it sends ahead
	readAheadFraction          = 8                      // of what all clients may send ahead, one may send so much, if that is more
	maxUnsentMillis            = 20e3                   // for which a client may leave its answer in our buffer
	maxSilentMillis            = 2200                   // for which it may keep us waiting for a complete message, or for its first request
	minIdleMillis              = 100                    // after its answer a connection may be closed in favour of a new one
	minSilentMillis            = 100                    // and one on which nothing ever came
	maxIdleUnderPressureMillis = 1000                   // while many places are taken, no connection stays idle for longer
	maxIdleUsedOnceMillis      = 50                     // and none that was used once
	maxInvalidRequests         = 16                     // requests in a row that make no sense
	maxLingerMillis            = 500                    // for which a client that was sent away may go on sending
	maxLingerBytes             = 256 << 10              // and how much of that is read
	replyBatchBytes            = 16 << 10               // of what is answered at once, that is gathered for one write
	pressureFraction           = 5                      // many places are taken if more than one in so many is
	maxShutdownReadBytes       = 4 << 10                // of what a client that is sent away has sent already
)

// SweepInterval is the pace of the fronts' Sweep.
const SweepInterval = 50 * time.Millisecond

// FrontLimits bound the front.
type FrontLimits struct {
	Clients          int     // connections; an eighth of them is kept for telling others that there is no room
	Bytes            int     // of all clients that are unread
	RetryAfterMillis float64 // what is refused here may come again after so long; 0: no advice
}

// Front serves clients in statement mode. Its methods may be called from any goroutine. All that is not atomic belongs to the
// event loop; requests run on goroutines.
type Front struct {
	edge        *edge.Edge
	limits      atomic.Pointer[FrontLimits]
	draining    atomic.Bool
	terminating atomic.Bool     // the process is about to end
	eventLoop   atomic.Value    // gnet.EventLoop, once somebody came
	answers     *loop.TaskQueue // that requests bring back to the event loop; set with it

	clients     map[*client]gnet.Conn
	cancelKeys  map[uint64]*client // by what a cancel request names
	unreadBytes int                // of all clients
	lastNumber  uint32

	clientLimitLog loop.ThrottledLog
	unreadLimitLog loop.ThrottledLog
	slowReaderLog  loop.ThrottledLog
}

// NewFront returns a front that brings requests to e.
func NewFront(e *edge.Edge, limits FrontLimits) *Front {
	f := &Front{edge: e, clients: map[*client]gnet.Conn{}, cancelKeys: map[uint64]*client{}}
	f.SetLimits(limits)
	return f
}

// SetLimits takes other bounds for the connections and bytes to come.
func (f *Front) SetLimits(limits FrontLimits) { f.limits.Store(&limits) }

// Accept makes the handler of a connection; it is called on the event loop.
func (f *Front) Accept(c gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	if f.answers == nil {
		f.answers = loop.NewTaskQueue(c.EventLoop())
		f.eventLoop.Store(c.EventLoop())
	}
	f.lastNumber++
	h := &client{front: f, number: f.lastNumber, lastActive: f.edge.Now()}
	served := f.limits.Load().Clients * 7 / 8
	for len(f.clients) >= served && f.evictLeastUseful(h.lastActive) {
	}
	room := len(f.clients) < served
	if !room && len(f.clients) >= f.limits.Load().Clients {
		f.clientLimitLog.Printf("front: %d client connections are open, one more is closed", len(f.clients))
		return nil, nil, f.rejectConnection()
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	h.ctx, h.disconnect = ctx, func() { cancel(&edge.DisconnectedError{AtMillis: f.edge.Now()}) }
	h.cancelRequest = func() {} // until it has a request
	f.clients[h] = c
	if f.terminating.Load() {
		return h, nil, h.closeWithRejection(c, lifecycle.ClosedCutting, stateCannotConnectNow, textRestarting, "")
	}
	if room {
		return h, nil, gnet.None
	}
	f.clientLimitLog.Printf("front: %d client connections are open and in use, one more is sent away", len(f.clients))
	f.edge.RecordRejection(metrics.RejectTableFull, "connection", h.number)
	return h, nil, h.closeWithRejection(c, lifecycle.ClosedTableFull, stateTooManyConnections, "too many connections", f.retryAfter())
}

func (f *Front) retryAfter() string {
	after := f.limits.Load().RetryAfterMillis
	if after <= 0 {
		return ""
	}
	return strconv.Itoa(int(after))
}

// evictLeastUseful closes the connection that is missed least: one that was sent away, else one on which nothing ever
// came, else the one that was idle for longest. Connections that asked once and stayed would else fill the table
// for good, or for the 2 s that are usual: clients that open one for each request do that within a second. A client
// whose next request crosses the close sends it once more; one that finds no free place has lost its request.
func (f *Front) evictLeastUseful(now float64) bool {
	var least *client
	rank := 0
	for h, c := range f.clients {
		r, age := 0, now-h.lastActive
		switch {
		case h.closingWithError:
			r = 3
		case !h.parser.started && age >= minSilentMillis && !h.isBusy(c):
			r = 2
		case h.parser.started && age >= minIdleMillis && !h.isBusy(c):
			r = 1
		}
		if r > rank || r > 0 && r == rank && h.lastActive < least.lastActive {
			if r < 3 && hasUnreadBytes(c) {
				continue
			}
			least, rank = h, r
		}
	}
	if least == nil {
		return false
	}
	least.close(f.clients[least], lifecycle.ClosedIdle)
	return true
}

// EvictClient is for loop.ExhaustionPolicy: it closes the client that is missed least.
func (f *Front) EvictClient() bool { return f.evictLeastUseful(f.edge.Now()) }

// Reject is loop.Scarce's. What the client has sent is read first: a close over unread bytes is a reset.
func (f *Front) Reject(c gnet.Conn) []byte {
	b := make([]byte, maxShutdownReadBytes)
	_, _ = syscall.Read(c.Fd(), b)
	return encodeUntried(severityFatal, stateTooManyConnections, "too many connections", f.retryAfter())
}

// forEachClient does something on the loop for every connection.
func (f *Front) forEachClient(do func(h *client, c gnet.Conn)) {
	l, ok := f.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return // nobody ever came
	}
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for h, c := range f.clients {
			do(h, c)
		}
		return nil
	}))
}

// Sweep sends away clients that keep us waiting; call it every SweepInterval.
func (f *Front) Sweep() {
	now := f.edge.Now()
	many := f.limits.Load().Clients / pressureFraction
	f.forEachClient(func(h *client, c gnet.Conn) {
		idle := now - h.lastActive
		switch {
		case f.draining.Load() && h.hasRequested && !h.closingWithError && h.closeIfIdle(c, lifecycle.ClosedDraining):
		case h.hasRequested && len(f.clients) > many && !h.isBusy(c) &&
			(idle >= maxIdleUnderPressureMillis || h.requestCount == 1 && idle >= maxIdleUsedOnceMillis):
			h.closeIfIdle(c, lifecycle.ClosedIdle)
		case h.closingWithError:
			if now-h.lastActive > maxLingerMillis {
				h.close(c, h.closeReason)
				break
			}
			h.finishAction(c, h.endSending(c))
		case h.isBlocked():
		case !h.hasRequested && now-h.lastActive > maxSilentMillis, h.partialSince > 0 && now-h.partialSince > maxSilentMillis:
			if !hasUnreadBytes(c) {
				h.finishAction(c, h.closeWithError(c, lifecycle.ClosedSilent, sqlStateProtocolViolation, "no whole message came in time", ""))
			}
		}
	})
}

// boundUnread keeps what clients have sent ahead within its bound: of the client that has most, the newest queries are
// rejected. One that has most in a message that is not complete is told to go, behind the answers that it is owed. action is
// for the client that happens to speak.
func (f *Front) boundUnread(speaker *client) (action gnet.Action) {
	for limit := f.limits.Load().Bytes; f.unreadBytes > limit; {
		most := speaker
		for h := range f.clients {
			if h.unreadBytes > most.unreadBytes {
				most = h
			}
		}
		if most.unreadBytes == 0 {
			f.edge.Metrics().Violation(lifecycle.BoundExceeded, "bytes", f.unreadBytes, "limit", limit)
			return action
		}
		c := f.clients[most]
		f.unreadLimitLog.Printf("front: a client has %d bytes unread, %d of all clients: its newest requests are rejected", most.unreadBytes, f.unreadBytes)
		if most.queue.rejectNewest(f.unreadBytes-limit) > 0 {
			most.countUnread(c)
			continue
		}
		if ended := most.endOverloaded(c); most == speaker {
			action = ended
		} else {
			most.finishAction(c, ended)
		}
	}
	return action
}

// endOverloaded reads no more of a client and tells it to go, behind the answers that it is owed.
func (h *client) endOverloaded(c gnet.Conn) gnet.Action {
	_, _ = c.Discard(-1)
	h.queue.end(Command{Kind: Overloaded, Text: "the messages under way leave no memory for one more"})
	h.countUnread(c)
	return h.handleQueued(c)
}

// readAheadLimit returns how much of one client may wait, in bytes.
func (f *Front) readAheadLimit() int {
	return max(maxUnreadBytes, f.limits.Load().Bytes/readAheadFraction)
}

// cancel gives up the request that is under way on the connection with this key. Its client gets an error, and what it
// sent ahead is served. A key that was not given out here does nothing: it may be another pooler's.
func (f *Front) cancel(key uint64) {
	if h := f.cancelKeys[key]; h != nil && h.requestInFlight {
		h.cancelRequest()
	}
}

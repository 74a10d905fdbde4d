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

// Limits of the front in statement mode, in bytes and milliseconds.
const (
	// maxUnreadBytes is the least read-ahead limit of a client: one query, and 64 KiB sent ahead of its answer.
	maxUnreadBytes = maxQueryBytes + 64<<10
	// readAheadFraction is the divisor that yields one client's read-ahead limit from the limit for all clients.
	// The limit of one client is never less than maxUnreadBytes.
	readAheadFraction = 8
	// maxUnsentReplyBytes is how many bytes of immediate replies a client may leave unread before nothing more is read from it.
	maxUnsentReplyBytes = replyBatchBytes
	// maxUnsentMillis is how long a client may leave its answer in the pooler's send buffer.
	maxUnsentMillis = 20e3
	// maxSilentMillis is how long a client may take to complete a message, or to send its first request.
	maxSilentMillis = 2200
	// minIdleMillis is how long after its last answer a connection can be closed to make room for a new one.
	minIdleMillis = 100
	// minSilentMillis is how long after it was opened a connection that never sent anything can be closed to
	// make room for a new one.
	minSilentMillis = 100
	// maxIdleUnderPressureMillis is how long a connection may stay idle while the table is under pressure.
	maxIdleUnderPressureMillis = 1000
	// maxIdleUsedOnceMillis is how long a connection that sent only one request may stay idle under pressure.
	maxIdleUsedOnceMillis = 50
	// maxInvalidRequests is how many invalid requests in a row a client may send.
	maxInvalidRequests = 16
	// maxLingerMillis is how long the front goes on reading from a client after the final error.
	maxLingerMillis = 500
	// maxLingerBytes is how much the front reads from a client after the final error.
	maxLingerBytes = 256 << 10
	// replyBatchBytes is the size from which immediate replies that were gathered are written in one system
	// call.
	replyBatchBytes = 16 << 10
	// pressureFraction: the table is under pressure while more client connections are open than
	// FrontLimits.MaxClients divided by pressureFraction.
	pressureFraction = 5
	// maxShutdownReadBytes is how much of its input is read when a connection is rejected right after its
	// accept.
	maxShutdownReadBytes = 4 << 10
)

// SweepInterval is the interval at which the Sweep method of each front is called.
const SweepInterval = 50 * time.Millisecond

// FrontLimits are the limits of a Front.
type FrontLimits struct {
	// MaxClients is the maximum number of client connections. One eighth of them is reserved for connections
	// that are rejected with an error because the rest is in use.
	MaxClients int
	// MaxUnreadBytes is the maximum size of the unprocessed input of all clients together.
	MaxUnreadBytes int
	// RetryAfterMillis is the Retry-After sent with rejections; 0 sends none.
	RetryAfterMillis float64
}

// Front serves clients in statement mode. Its methods may be called from any goroutine. All fields that are not
// atomic are confined to the event loop. Each request runs on a goroutine of its own.
type Front struct {
	edge        *edge.Edge
	limits      atomic.Pointer[FrontLimits]
	draining    atomic.Bool
	watching    atomic.Bool     // Sweep looks which clients take their answers slowly
	slowDrain   atomic.Bool     // connections of such clients are closed between requests
	terminating atomic.Bool     // the process is about to exit
	eventLoop   atomic.Value    // gnet.EventLoop, set when the first client connects
	answers     *loop.TaskQueue // delivers answers of requests to the event loop; set together with eventLoop

	engine *loop.Engine

	closer            loop.ConfirmedCloser // keeps closed connections until their clients have confirmed their answers
	disabledGuarantee string

	clients    map[*client]gnet.Conn
	cancelKeys map[uint64]*client // clients by the key that a cancel request contains
	heldBytes  int                // total of all clients' heldBytes
	lastNumber uint32

	clientLimitLog loop.ThrottledLog
	unreadLimitLog loop.ThrottledLog
	slowReaderLog  loop.ThrottledLog
	lateLog        loop.ThrottledLog
}

// NewFront returns a front on an engine that passes requests to e.
func NewFront(engine *loop.Engine, e *edge.Edge, limits FrontLimits) *Front {
	f := &Front{engine: engine, edge: e, clients: map[*client]gnet.Conn{}, cancelKeys: map[uint64]*client{}}
	f.SetLimits(limits)
	return f
}

// SetLimits replaces the limits. They apply to new connections and new input.
func (f *Front) SetLimits(limits FrontLimits) { f.limits.Store(&limits) }

// Accept returns the handler for a new connection. It is called on the event loop.
func (f *Front) Accept(c gnet.Conn) (loop.Handler, []byte, gnet.Action) {
	if f.answers == nil {
		f.answers = loop.NewTaskQueue(c.EventLoop())
		f.eventLoop.Store(c.EventLoop())
	}
	f.lastNumber++
	h := &client{front: f, wire: loop.NewClientConn(c), number: f.lastNumber, openedAt: f.edge.Now()}
	h.lastActive = h.openedAt
	maxServed := f.limits.Load().MaxClients * 7 / 8
	for f.openConnections() >= maxServed && f.evictLeastUseful(h.lastActive) {
	}
	hasRoom := f.openConnections() < maxServed
	if !hasRoom && f.openConnections() >= f.limits.Load().MaxClients {
		f.clientLimitLog.Printf("front: %d client connections are open, closing a new one", f.openConnections())
		return nil, f.Reject(c), f.rejectConnection()
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	h.ctx, h.disconnect = ctx, func() { cancel(&edge.DisconnectedError{AtMillis: f.edge.Now()}) }
	h.cancelRequest = func() {} // replaced when a request starts
	f.clients[h] = c
	if f.terminating.Load() {
		return h, nil, h.closeWithRejection(c, lifecycle.ClosedByShutdown, stateCannotConnectNow, textRestarting, "")
	}
	if hasRoom {
		return h, nil, gnet.None
	}
	f.clientLimitLog.Printf("front: %d client connections are open and in use, rejecting a new one", len(f.clients))
	f.edge.RecordRejection(metrics.RejectTableFull, "connection", h.number)
	return h, nil, h.closeWithRejection(c, lifecycle.ClosedTableFull, stateTooManyConnections, "too many connections", f.retryAfter())
}

// DisableGuarantee disables a guarantee: confirm. It lets a test show that the checker of the guarantee detects the
// violation. It must be called before the first client connects.
func (f *Front) DisableGuarantee(guarantee string) { f.disabledGuarantee = guarantee }

// openConnections is the number of client connections that hold a descriptor.
func (f *Front) openConnections() int { return len(f.clients) + f.closer.Pending() }

func (f *Front) retryAfter() string {
	after := f.limits.Load().RetryAfterMillis
	if after <= 0 {
		return ""
	}
	return strconv.Itoa(int(after))
}

// evictLeastUseful closes one connection to make room, and reports whether it found one. It prefers a
// connection that already got its final error, then one that never sent anything, then the one that has been
// idle the longest. Without eviction, connections that sent one request and stayed open would fill the table
// permanently, or for the usual idle time of 2 s: clients that open a connection per request do so within a
// second. A client whose next request crosses the close sends it again, whereas a client that finds no free
// connection slot has lost its request.
func (f *Front) evictLeastUseful(now float64) bool {
	for range len(f.clients) {
		least := f.leastUseful(now)
		if least == nil {
			return false
		}
		if f.evict(least) {
			return true
		}
	}
	return false
}

// evict closes a connection to make room, unless its client has sent something since it was selected.
func (f *Front) evict(h *client) bool {
	c := f.clients[h]
	if h.closingWithError {
		h.close(c, lifecycle.ClosedIdle)
		return true
	}
	return h.closeIfIdle(c, lifecycle.ClosedIdle)
}

// leastUseful returns the client that evictLeastUseful closes next, or nil if there is none.
func (f *Front) leastUseful(now float64) (least *client) {
	rank := 0
	for h, c := range f.clients {
		r, age := 0, now-h.lastActive
		switch {
		case h.closingWithError && h.unconfirmedBytes(c) > 0:
		case h.closingWithError:
			r = 3
		case !h.parser.started && age >= minSilentMillis && !h.isBusy(c):
			r = 2
		case h.parser.started && age >= minIdleMillis && !h.isBusy(c):
			r = 1
		}
		if r > rank || r > 0 && r == rank && h.lastActive < least.lastActive {
			if r < 3 && (hasUnreadBytes(c) || h.unconfirmedBytes(c) > 0) {
				continue
			}
			least, rank = h, r
		}
	}
	return least
}

// EvictClient is called as part of the loop.ExhaustionPolicy. It closes the least useful client connection, and
// reports whether it found one.
func (f *Front) EvictClient() bool { return f.evictLeastUseful(f.edge.Now()) }

// Reject is called as part of the loop.ExhaustionPolicy. It returns the error for a connection that is closed
// right after its accept.
func (f *Front) Reject(c gnet.Conn) []byte { return rejectAccepted(c, f.retryAfter()) }

// rejectAccepted returns the error for a connection that is closed right after its accept. It first reads what the client has
// sent, since closing a socket with unread bytes resets the connection.
func rejectAccepted(c gnet.Conn, retryAfter string) []byte {
	b := make([]byte, maxShutdownReadBytes)
	_, _ = syscall.Read(c.Fd(), b)
	return encodeUntried(severityFatal, stateTooManyConnections, "too many connections", retryAfter)
}

// forEachClient calls do on the event loop for every connection.
func (f *Front) forEachClient(do func(h *client, c gnet.Conn)) {
	l, ok := f.eventLoop.Load().(gnet.EventLoop)
	if !ok {
		return // no client ever connected
	}
	_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for h, c := range f.clients {
			do(h, c)
		}
		return nil
	}))
}

// Sweep closes client connections that exceed a time limit or are idle under pressure or while the front
// drains. It must be called every SweepInterval.
func (f *Front) Sweep() {
	now := f.edge.Now()
	pressureThreshold := f.limits.Load().MaxClients / pressureFraction
	f.forEachClient(func(h *client, c gnet.Conn) {
		idle := now - h.lastActive
		if f.watching.Load() {
			h.readerWatch.observe(h.unconfirmedBytes(c))
		}
		switch {
		case f.isSlowReaderDrained(h) && h.hasRequested && !h.closingWithError && h.closeIfIdle(c, lifecycle.ClosedDraining):
		case f.draining.Load() && h.hasRequested && !h.closingWithError && h.closeIfIdle(c, lifecycle.ClosedDraining):
		case h.hasRequested && len(f.clients) > pressureThreshold && !h.isBusy(c) &&
			(idle >= maxIdleUnderPressureMillis || h.requestCount == 1 && idle >= maxIdleUsedOnceMillis):
			h.closeIfIdle(c, lifecycle.ClosedIdle)
		case h.closingWithError:
			if h.hasLingered(c, now) {
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

// enforceUnreadLimit keeps the memory of the unprocessed input of all clients within its limit. It rejects the newest queries
// of the client that holds the most. If that frees nothing, the client's memory is in an incomplete message or in many small ones:
// it is disconnected after the answers that it is still owed. current is the client whose input is
// being processed, and action applies to it.
func (f *Front) enforceUnreadLimit(current *client) (action gnet.Action) {
	for limit := f.limits.Load().MaxUnreadBytes; f.heldBytes > limit; { // each round frees memory, or ends a queue
		largest, ending := f.largestHolder()
		if largest == nil {
			if !ending {
				f.edge.Metrics().Violation(lifecycle.BoundExceeded, "bytes", f.heldBytes, "limit", limit)
			}
			return action
		}
		c, before := f.clients[largest], f.heldBytes
		f.unreadLimitLog.Printf("front: a client holds %d bytes of input, all clients together %d: rejecting its newest requests", largest.heldBytes, f.heldBytes)
		largest.queue.rejectNewest(f.heldBytes - limit)
		if largest.countUnread(); f.heldBytes < before {
			continue
		}
		if ended := largest.endOverloaded(c); largest == current {
			action = ended
		} else {
			largest.finishAction(c, ended)
		}
	}
	return action
}

// largestHolder returns the client that holds the most input of those from which more is read; nil if none holds any. ending
// reports whether one of the others does, which gives it back as it is answered.
func (f *Front) largestHolder() (largest *client, ending bool) {
	for h := range f.clients {
		switch {
		case h.heldBytes == 0:
		case h.queue.ended:
			ending = true
		case largest == nil || h.heldBytes > largest.heldBytes:
			largest = h
		}
	}
	return largest, ending
}

// endOverloaded stops reading from a client and disconnects it with an error after the answers that it is still
// owed.
func (h *client) endOverloaded(c gnet.Conn) gnet.Action {
	h.wire.DiscardAll()
	h.queue.end(Command{Kind: Overloaded, Text: "the messages under way leave no memory for one more"})
	h.countUnread()
	action := h.handleQueued(c)
	if !isClose(action) {
		h.settleShare()
	}
	return action
}

// readAheadLimit returns how many bytes of one client's commands may be queued.
func (f *Front) readAheadLimit() int {
	return max(maxUnreadBytes, f.limits.Load().MaxUnreadBytes/readAheadFraction)
}

// cancel cancels the request in flight on the connection with this key. Its client gets an error, and the
// commands that it sent ahead are served. An unknown key is ignored: another pooler may have issued it.
func (f *Front) cancel(key uint64) {
	if h := f.cancelKeys[key]; h != nil && h.requestInFlight {
		h.cancelRequest()
	}
}

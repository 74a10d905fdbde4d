// Package discovery keeps the list of db hosts: it fetches the whole list, watches for changes over HTTP/1.1,
// and starts again when a watch ends.
package discovery

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/net/loop"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Endpoint is a db host as discovery words it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Type    string  `json:"type"`
	Group   uint64  `json:"group"`
	Status  string  `json:"status"`
	SinceMS float64 `json:"since_ms"`
	Role    string  `json:"part"` // where the list shows roles
}

// EndpointList is the whole list, or the entries that changed.
type EndpointList struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// The words of Entry.Status.
const (
	Active   = "active"
	Draining = "leaving"
	Removed  = "left"
)

const (
	path    = "/registry/instances"
	maxHead = 16 << 10
	maxList = 4 << 20 // bytes of one list
)

// Watcher follows one discovery service at a time.
type Watcher struct {
	engine  dialer
	apply   func(EndpointList)
	index   uint64
	hasList bool

	clock            clock
	backoff          backoff
	received         bool      // the watch of the round under way got something whole, if only an empty line
	lastReceived     time.Time // a change that the round under way may have missed is no older: its begin, or what it got last
	previousReceived time.Time // the same of the round before it

	mu             sync.Mutex
	address        string
	cancelRound    context.CancelFunc // ends the round under way; nil before the first
	addressChanged bool               // since the last round began
}

// dialer is a loop.Engine, or a test's.
type dialer interface {
	Dial(ctx context.Context, address string, h loop.Handler) (gnet.Conn, error)
}

// New returns a watcher; apply gets each list and change, in order. known is the list already held, if any. The pauses
// after rounds that fail are drawn from seed.
func New(engine *loop.Engine, address string, known *EndpointList, seed uint64, apply func(EndpointList)) *Watcher {
	w := &Watcher{engine: engine, address: address, apply: apply, backoff: newBackoff(seed), clock: system{}}
	if known != nil {
		w.index, w.hasList = known.Index, true
	}
	return w
}

// SetServiceAddress follows the service at another address from now on. The watch at the old one is dropped at once; the list
// that it gave stays in force until the new service has sent its whole one.
func (w *Watcher) SetServiceAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address, w.addressChanged = address, true
	if w.cancelRound != nil {
		w.cancelRound()
	}
}

// beginRound starts a round. A service that was never asked counts in its own way, so there the whole list comes first.
func (w *Watcher) beginRound(ctx context.Context) (context.Context, context.CancelFunc, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addressChanged {
		w.addressChanged, w.hasList, w.backoff.failedRounds, w.lastReceived = false, false, 0, time.Time{}
	}
	w.previousReceived, w.received, w.lastReceived = w.lastReceived, false, w.clock.Now()
	if w.previousReceived.IsZero() { // none, or at another service
		w.previousReceived = w.lastReceived
	}
	w.backoff.changeAge = w.lastReceived.Sub(w.previousReceived)
	ctx, w.cancelRound = context.WithCancel(ctx)
	return ctx, w.cancelRound, w.address
}

// Run follows discovery until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	said := false
	for ctx.Err() == nil {
		round, cut, address := w.beginRound(ctx)
		begun := w.clock.Now()
		err := w.round(round, address)
		if round.Err() == nil {
			if !said {
				slog.Warn(fmt.Sprintf("discovery: the watch ended: %v; going on with the list held", err))
			}
			said = err != nil && !errors.Is(err, errServiceClosed) // a service that is down is told once
			var status statusError
			_ = errors.As(err, &status)
			now := w.clock.Now()
			// A service that ends each watch at once is asked less often, unless it has more to tell than was taken.
			lasted := w.received && (now.Sub(begun) >= expectedAnswer || errors.Is(err, errTooManyLists))
			w.backoff.changeAge = now.Sub(w.previousReceived)
			w.clock.Pause(round, w.backoff.nextBackoff(lasted, status.retryAfter, now.Sub(w.lastReceived))) // a move goes before the rest of it, too
		}
		if round.Err() != nil && ctx.Err() == nil {
			slog.Info("discovery: moved away from " + address)
			said = false
		}
		cut()
	}
}

// round fetches the list where none was ever fetched or a watch could not go on, then watches.
func (w *Watcher) round(ctx context.Context, address string) error {
	if !w.hasList {
		if err := w.fetch(ctx, address, path, true); err != nil {
			return err
		}
	}
	err := w.fetch(ctx, address, path+"?follow=1&since="+strconv.FormatUint(w.index, 10), false)
	var status statusError
	if errors.As(err, &status) && status.code < 500 && status.code != 429 || errors.Is(err, errMalformedHTTP) || errors.Is(err, errMalformedList) {
		w.hasList = false // going on from there is no use: the whole list puts it right
	} // A service that is down or overbooked wants the cheaper question again: changes are a few lines, the list is all.
	return err
}

var (
	errServiceClosed = errors.New("the service closed the connection")
	errServiceSilent = errors.New("the service fell silent")
)

// fetch asks for a path and applies each list that comes. once: the answer is one list. The head of the answer, and once
// the one list, have to be whole within the answer time of the pace, dial included. Where the pace says so, the same is asked a second
// time meanwhile, on a connection of its own: the first that brings something whole is kept. A watch is dropped once
// nothing whole came for quiet. Single bytes are no sign of life: a list that drips in is never there in time.
func (w *Watcher) fetch(ctx context.Context, address, path string, once bool) error {
	none := &stream{cancel: func() {}} // nothing comes from it
	first, second := w.openCall(ctx, address, path), none
	defer func() { first.cancel(); second.cancel() }()
	first.deadline = first.startedAt.Add(w.backoff.answerTimeout())
	var again time.Time // when the second is begun; zero: not at all
	if d := w.backoff.hedgeDelay(); d > 0 {
		again = first.startedAt.Add(d)
	}
	t := w.clock.Timer(until(first.startedAt, again, first.deadline))
	defer t.Stop()
	arm := func() { t.Reset(until(w.clock.Now(), again, latest(first.deadline, second.deadline))) }
	headed := func(s *stream) {
		if once {
			return
		}
		now := w.clock.Now()
		open := latest(s.startedAt.Add(silenceLimit), now.Add(lateHeaderSilenceLimit))
		if most := w.lastReceived.Add(openingLimit); open.After(most) {
			open = most
		}
		again, s.deadline = time.Time{}, latest(s.deadline, open)
		arm()
	}
	whole := func(s *stream) (done bool) {
		if s == first {
			second.cancel()
		} else {
			first.cancel()
		}
		first, second = s, none
		if any := w.applyPending(s.lists, s.startedAt, once); once {
			return any
		}
		now := w.clock.Now()
		w.received, w.lastReceived = true, now
		again, s.deadline = time.Time{}, now.Add(silenceLimit)
		arm()
		return false
	}
	failed := func(s *stream, err error) (done bool, _ error) {
		select {
		case <-s.received: // what came before the end counts
			if whole(s) {
				return true, nil
			}
			return true, err
		default:
		}
		s.cancel()
		switch {
		case second == none:
			return true, err
		case s == first:
			first = second
		}
		second = none
		arm()
		return false, nil
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-first.headerDone:
			headed(first)
		case <-second.headerDone:
			headed(second)
		case <-first.received:
			if whole(first) {
				return nil
			}
		case <-second.received:
			if whole(second) {
				return nil
			}
		case err := <-first.failed:
			if done, err := failed(first, err); done {
				return err
			}
		case err := <-second.failed:
			if done, err := failed(second, err); done {
				return err
			}
		case <-t.C():
			now := w.clock.Now()
			if again.IsZero() {
				return errServiceSilent
			}
			again, second = time.Time{}, w.openCall(ctx, address, path)
			second.deadline = now.Add(expectedAnswer)
			arm()
		}
	}
}

// until is how long it is from now to the earlier of two moments; the first may be none.
func until(now, first, second time.Time) time.Duration {
	if !first.IsZero() && first.Before(second) {
		second = first
	}
	return second.Sub(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// openCall begins a call; dialling does not hold up what else the watcher waits for. cancel of what it returns ends it.
func (w *Watcher) openCall(ctx context.Context, address, path string) *stream {
	s := newStream()
	ctx, s.cancel = context.WithCancel(ctx)
	s.startedAt = w.clock.Now()
	go func() {
		c, err := w.engine.Dial(ctx, address, s)
		if err != nil {
			s.fail(err)
			return
		}
		defer c.Close()
		if ctx.Err() != nil {
			return
		}
		if err := c.AsyncWrite([]byte("GET "+path+" HTTP/1.1\r\nHost: "+address+"\r\nAccept: application/json\r\n\r\n"), nil); err != nil {
			s.fail(err)
			return
		}
		<-ctx.Done()
	}()
	return s
}

// applyPending takes what lists holds and says whether that was anything. once: the first is the whole list, and all. That
// one may have taken its time, so it is as old as the call.
func (w *Watcher) applyPending(lists <-chan EndpointList, begun time.Time, once bool) (any bool) {
	for !any || !once {
		select {
		case l := <-lists:
			any = true
			if once {
				w.lastReceived = begun
			}
			l.Snapshot = l.Snapshot || once
			w.applyList(l)
		default:
			return any
		}
	}
	return any
}

func (w *Watcher) applyList(l EndpointList) {
	w.index = l.Index
	w.hasList = w.hasList || l.Snapshot
	w.apply(l)
}

// stream parses an HTTP answer on the event loop, as it arrives.
type stream struct {
	headerParsed bool // the head was read
	chunked      bool
	remaining    int // of the chunk or the body; -1: a chunk's size comes next, -2: an empty line after a chunk

	partial []byte // what came of the one under way
	depth   int    // of its braces and brackets that are open; 0: none is under way
	quoted  bool   // within a string
	escape  bool   // behind a backslash there

	headerDone chan struct{} // it is whole
	received   chan struct{} // a list, or a line outside of lists, is whole
	lists      chan EndpointList
	failed     chan error

	startedAt time.Time // the call was
	deadline  time.Time // when it is given up
	cancel    context.CancelFunc
}

// maxPendingLists is how many lists may wait to be taken.
const maxPendingLists = 256

func newStream() *stream {
	return &stream{headerDone: make(chan struct{}, 1), received: make(chan struct{}, 1), lists: make(chan EndpointList, maxPendingLists), failed: make(chan error, 1)}
}

// Traffic is called on the loop.
func (s *stream) Traffic(c gnet.Conn) gnet.Action {
	b, err := c.Peek(c.InboundBuffered())
	if err == nil {
		var used int
		if used, err = s.parse(b); used > 0 {
			_, _ = c.Discard(used)
		}
	}
	if err != nil {
		s.fail(err)
		return gnet.Close
	}
	return gnet.None
}

// Closed is called on the loop.
func (s *stream) Closed(gnet.Conn, error) { s.fail(errServiceClosed) }

func (s *stream) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

var (
	errMalformedHTTP = errors.New("the answer is no HTTP that is understood")
	errMalformedList = errors.New("a list that can't be read")
	// errTooManyLists loses nothing: the next watch goes on behind the last list that was taken.
	errTooManyLists = errors.New("lists come faster than they are taken")
)

// statusError is an answer with a status other than 200.
type statusError struct {
	code       int
	text       string
	retryAfter time.Duration // the service's own word of when to come back, as far as it is followed
}

func (e statusError) Error() string { return "the service answered " + e.text }

// parse takes as much of b as is whole and returns how much that was.
func (s *stream) parse(b []byte) (used int, err error) {
	if !s.headerParsed {
		end := bytes.Index(b, []byte("\r\n\r\n"))
		if end < 0 {
			if len(b) > maxHead {
				return 0, errMalformedHTTP
			}
			return 0, nil
		}
		if err := s.parseHeader(string(b[:end])); err != nil {
			return 0, err
		}
		if used = end + 4; s.remaining == 0 { // a body of no length
			return used, errServiceClosed
		}
	}
	for used < len(b) {
		rest := b[used:]
		if s.remaining < 0 { // a line of the chunked coding
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				if len(rest) > maxHead {
					return used, errMalformedHTTP
				}
				return used, nil
			}
			text := strings.TrimSpace(string(rest[:end]))
			used += end + 1
			if s.remaining == -2 {
				s.remaining = -1
				continue
			}
			text, _, _ = strings.Cut(text, ";")
			n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
			if err != nil {
				return used, errMalformedHTTP
			}
			if n == 0 {
				return used, cmp.Or(s.end(), errServiceClosed)
			}
			s.remaining = int(n)
			continue
		}
		n := min(len(rest), s.remaining)
		if err := s.parseBody(rest[:n]); err != nil {
			return used, err
		}
		used += n
		if s.remaining -= n; s.remaining == 0 {
			if !s.chunked {
				return used, cmp.Or(s.end(), errServiceClosed)
			}
			s.remaining = -2
		}
	}
	return used, nil
}

func (s *stream) parseHeader(head string) error {
	lines := strings.Split(head, "\r\n")
	words := strings.Fields(lines[0])
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return errMalformedHTTP
	}
	refused := statusError{text: strings.Join(words[1:], " ")}
	refused.code, _ = strconv.Atoi(words[1])
	s.remaining = maxList
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "transfer-encoding":
			if strings.EqualFold(value, "chunked") {
				s.chunked, s.remaining = true, -1
			}
		case "retry-after":
			if n, err := strconv.ParseUint(value, 10, 31); err == nil {
				refused.retryAfter = min(time.Duration(n)*time.Second, maxRetryAfter)
			}
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return errMalformedHTTP
			}
			if !s.chunked {
				s.remaining = int(n)
			}
		}
	}
	if refused.code != 200 {
		return refused
	}
	s.headerParsed = true
	notify(s.headerDone)
	return nil
}

// parseBody takes a piece of the answer: JSON objects, each on a line or printed over many, with lines of no text between
// them. Where an object ends follows from its braces, so neither chunks nor lines matter; what is gathered is bounded.
func (s *stream) parseBody(b []byte) error {
	from := 0 // of the object under way, in b
	for i, x := range b {
		switch {
		case s.escape:
			s.escape = false
		case s.quoted:
			s.escape, s.quoted = x == '\\', x != '"'
		case x == '{' || x == '[' && s.depth > 0:
			if s.depth++; s.depth == 1 {
				from = i
			}
		case s.depth == 0:
			switch x {
			case '\n':
				notify(s.received)
			case ' ', '\t', '\r':
			default:
				return fmt.Errorf("%w: %q outside of an object", errMalformedList, x)
			}
		case x == '"':
			s.quoted = true
		case x == '}' || x == ']':
			if s.depth--; s.depth > 0 {
				continue
			}
			if err := s.appendPartial(b[from : i+1]); err != nil {
				return err
			}
			if err := s.endObject(); err != nil {
				return err
			}
		}
	}
	if s.depth > 0 {
		return s.appendPartial(b[from:])
	}
	return nil
}

// appendPartial keeps a piece of the object under way.
func (s *stream) appendPartial(b []byte) error {
	if len(s.partial)+len(b) > maxList {
		return errMalformedHTTP
	}
	s.partial = append(s.partial, b...)
	return nil
}

// endObject ends an object.
func (s *stream) endObject() error {
	var l EndpointList
	err := json.Unmarshal(s.partial, &l)
	s.partial = s.partial[:0]
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformedList, err)
	}
	select {
	case s.lists <- l:
		notify(s.received)
		return nil
	default:
		return errTooManyLists
	}
}

// end ends the body.
func (s *stream) end() error {
	if s.depth > 0 {
		return fmt.Errorf("%w: it ends within an object", errMalformedList)
	}
	return nil
}

// notify leaves a mark that one reader takes up when it comes to it.
func notify(mark chan struct{}) {
	select {
	case mark <- struct{}{}:
	default:
	}
}

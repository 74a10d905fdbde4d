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

// Entry is a db host as discovery words it.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Type    string  `json:"type"`
	Group   uint64  `json:"group"`
	Status  string  `json:"status"`
	SinceMS float64 `json:"since_ms"`
	Part    string  `json:"part"` // where the list shows roles
}

// List is the whole list, or the entries that changed.
type List struct {
	Index     uint64  `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// The words of Entry.Status.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

const (
	path    = "/registry/instances"
	maxHead = 16 << 10
	maxList = 4 << 20 // bytes of one list
)

// Watcher follows one discovery service at a time.
type Watcher struct {
	engine dialer
	apply  func(List)
	index  uint64
	held   bool

	clock   clock
	pace    pace
	brought bool      // the watch of the round under way got something whole, if only an empty line
	since   time.Time // a change that the round under way may have missed is no older: its begin, or what it got last
	before  time.Time // the same of the round before it

	mu      sync.Mutex
	address string
	cut     context.CancelFunc // ends the round under way; nil before the first
	moved   bool               // since the last round began
}

// dialer is a loop.Engine, or a test's.
type dialer interface {
	Dial(ctx context.Context, address string, h loop.Handler) (gnet.Conn, error)
}

// New returns a watcher; apply gets each list and change, in order. known is the list already held, if any. The pauses
// after rounds that fail are drawn from seed.
func New(engine *loop.Engine, address string, known *List, seed uint64, apply func(List)) *Watcher {
	w := &Watcher{engine: engine, address: address, apply: apply, pace: newPace(seed), clock: system{}}
	if known != nil {
		w.index, w.held = known.Index, true
	}
	return w
}

// Move follows the service at another address from now on. The watch at the old one is dropped at once; the list
// that it gave stays in force until the new service has sent its whole one.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address, w.moved = address, true
	if w.cut != nil {
		w.cut()
	}
}

// begin starts a round. A service that was never asked counts in its own way, so there the whole list comes first.
func (w *Watcher) begin(ctx context.Context) (context.Context, context.CancelFunc, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved {
		w.moved, w.held, w.pace.failed, w.since = false, false, 0, time.Time{}
	}
	w.before, w.brought, w.since = w.since, false, w.clock.Now()
	if w.before.IsZero() { // none, or at another service
		w.before = w.since
	}
	w.pace.age = w.since.Sub(w.before)
	ctx, w.cut = context.WithCancel(ctx)
	return ctx, w.cut, w.address
}

// Run follows discovery until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	said := false
	for ctx.Err() == nil {
		round, cut, address := w.begin(ctx)
		begun := w.clock.Now()
		err := w.round(round, address)
		if round.Err() == nil {
			if !said {
				slog.Warn(fmt.Sprintf("discovery: the watch ended: %v; going on with the list held", err))
			}
			said = err != nil && !errors.Is(err, errEnded) // a service that is down is told once
			var status statusError
			_ = errors.As(err, &status)
			now := w.clock.Now()
			// A service that ends each watch at once is asked less often, unless it has more to tell than was taken.
			lasted := w.brought && (now.Sub(begun) >= answerFirst || errors.Is(err, errBurst))
			w.pace.age = now.Sub(w.before)
			w.clock.Pause(round, w.pace.next(lasted, status.after, now.Sub(w.since))) // a move goes before the rest of it, too
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
	if !w.held {
		if err := w.get(ctx, address, path, true); err != nil {
			return err
		}
	}
	err := w.get(ctx, address, path+"?follow=1&since="+strconv.FormatUint(w.index, 10), false)
	var status statusError
	if errors.As(err, &status) && status.code < 500 && status.code != 429 || errors.Is(err, errHTTP) || errors.Is(err, errList) {
		w.held = false // going on from there is no use: the whole list puts it right
	} // A service that is down or overbooked wants the cheaper question again: changes are a few lines, the list is all.
	return err
}

var (
	errEnded = errors.New("the service closed the connection")
	errQuiet = errors.New("the service fell silent")
)

// get asks for a path and applies each list that comes. once: the answer is one list. The head of the answer, and once
// the one list, have to be whole within the answer time of the pace, dial included. Where the pace says so, the same is asked a second
// time meanwhile, on a connection of its own: the first that brings something whole is kept. A watch is dropped once
// nothing whole came for quiet. Single bytes are no sign of life: a list that drips in is never there in time.
func (w *Watcher) get(ctx context.Context, address, path string, once bool) error {
	none := &stream{cancel: func() {}} // nothing comes from it
	first, second := w.open(ctx, address, path), none
	defer func() { first.cancel(); second.cancel() }()
	first.limit = first.begun.Add(w.pace.answer())
	var again time.Time // when the second is begun; zero: not at all
	if d := w.pace.second(); d > 0 {
		again = first.begun.Add(d)
	}
	t := w.clock.Timer(until(first.begun, again, first.limit))
	defer t.Stop()
	arm := func() { t.Reset(until(w.clock.Now(), again, latest(first.limit, second.limit))) }
	headed := func(s *stream) {
		if once {
			return
		}
		now := w.clock.Now()
		open := latest(s.begun.Add(quiet), now.Add(idle))
		if most := w.since.Add(opening); open.After(most) {
			open = most
		}
		again, s.limit = time.Time{}, latest(s.limit, open)
		arm()
	}
	whole := func(s *stream) (done bool) {
		if s == first {
			second.cancel()
		} else {
			first.cancel()
		}
		first, second = s, none
		if any := w.takeAll(s.lists, s.begun, once); once {
			return any
		}
		now := w.clock.Now()
		w.brought, w.since = true, now
		again, s.limit = time.Time{}, now.Add(quiet)
		arm()
		return false
	}
	failed := func(s *stream, err error) (done bool, _ error) {
		select {
		case <-s.signal: // what came before the end counts
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
		case <-first.head:
			headed(first)
		case <-second.head:
			headed(second)
		case <-first.signal:
			if whole(first) {
				return nil
			}
		case <-second.signal:
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
				return errQuiet
			}
			again, second = time.Time{}, w.open(ctx, address, path)
			second.limit = now.Add(answerFirst)
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

// open begins a call; dialling does not hold up what else the watcher waits for. cancel of what it returns ends it.
func (w *Watcher) open(ctx context.Context, address, path string) *stream {
	s := newStream()
	ctx, s.cancel = context.WithCancel(ctx)
	s.begun = w.clock.Now()
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

// takeAll takes what lists holds and says whether that was anything. once: the first is the whole list, and all. That
// one may have taken its time, so it is as old as the call.
func (w *Watcher) takeAll(lists <-chan List, begun time.Time, once bool) (any bool) {
	for !any || !once {
		select {
		case l := <-lists:
			any = true
			if once {
				w.since = begun
			}
			l.Snapshot = l.Snapshot || once
			w.take(l)
		default:
			return any
		}
	}
	return any
}

func (w *Watcher) take(l List) {
	w.index = l.Index
	w.held = w.held || l.Snapshot
	w.apply(l)
}

// stream parses an HTTP answer on the event loop, as it arrives.
type stream struct {
	headed  bool // the head was read
	chunked bool
	left    int // of the chunk or the body; -1: a chunk's size comes next, -2: an empty line after a chunk

	object []byte // what came of the one under way
	depth  int    // of its braces and brackets that are open; 0: none is under way
	quoted bool   // within a string
	escape bool   // behind a backslash there

	head   chan struct{} // it is whole
	signal chan struct{} // a list, or a line outside of lists, is whole
	lists  chan List
	failed chan error

	begun  time.Time // the call was
	limit  time.Time // when it is given up
	cancel context.CancelFunc
}

// waiting is how many lists may wait to be taken.
const waiting = 256

func newStream() *stream {
	return &stream{head: make(chan struct{}, 1), signal: make(chan struct{}, 1), lists: make(chan List, waiting), failed: make(chan error, 1)}
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
func (s *stream) Closed(gnet.Conn, error) { s.fail(errEnded) }

func (s *stream) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

var (
	errHTTP = errors.New("the answer is no HTTP that is understood")
	errList = errors.New("a list that can't be read")
	// errBurst loses nothing: the next watch goes on behind the last list that was taken.
	errBurst = errors.New("lists come faster than they are taken")
)

// statusError is an answer with a status other than 200.
type statusError struct {
	code  int
	text  string
	after time.Duration // the service's own word of when to come back, as far as it is followed
}

func (e statusError) Error() string { return "the service answered " + e.text }

// parse takes as much of b as is whole and returns how much that was.
func (s *stream) parse(b []byte) (used int, err error) {
	if !s.headed {
		end := bytes.Index(b, []byte("\r\n\r\n"))
		if end < 0 {
			if len(b) > maxHead {
				return 0, errHTTP
			}
			return 0, nil
		}
		if err := s.header(string(b[:end])); err != nil {
			return 0, err
		}
		if used = end + 4; s.left == 0 { // a body of no length
			return used, errEnded
		}
	}
	for used < len(b) {
		rest := b[used:]
		if s.left < 0 { // a line of the chunked coding
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				if len(rest) > maxHead {
					return used, errHTTP
				}
				return used, nil
			}
			text := strings.TrimSpace(string(rest[:end]))
			used += end + 1
			if s.left == -2 {
				s.left = -1
				continue
			}
			text, _, _ = strings.Cut(text, ";")
			n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
			if err != nil {
				return used, errHTTP
			}
			if n == 0 {
				return used, cmp.Or(s.end(), errEnded)
			}
			s.left = int(n)
			continue
		}
		n := min(len(rest), s.left)
		if err := s.body(rest[:n]); err != nil {
			return used, err
		}
		used += n
		if s.left -= n; s.left == 0 {
			if !s.chunked {
				return used, cmp.Or(s.end(), errEnded)
			}
			s.left = -2
		}
	}
	return used, nil
}

func (s *stream) header(head string) error {
	lines := strings.Split(head, "\r\n")
	words := strings.Fields(lines[0])
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return errHTTP
	}
	refused := statusError{text: strings.Join(words[1:], " ")}
	refused.code, _ = strconv.Atoi(words[1])
	s.left = maxList
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "transfer-encoding":
			if strings.EqualFold(value, "chunked") {
				s.chunked, s.left = true, -1
			}
		case "retry-after":
			if n, err := strconv.ParseUint(value, 10, 31); err == nil {
				refused.after = min(time.Duration(n)*time.Second, wordMost)
			}
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return errHTTP
			}
			if !s.chunked {
				s.left = int(n)
			}
		}
	}
	if refused.code != 200 {
		return refused
	}
	s.headed = true
	raise(s.head)
	return nil
}

// body takes a piece of the answer: JSON objects, each on a line or printed over many, with lines of no text between
// them. Where an object ends follows from its braces, so neither chunks nor lines matter; what is gathered is bounded.
func (s *stream) body(b []byte) error {
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
				raise(s.signal)
			case ' ', '\t', '\r':
			default:
				return fmt.Errorf("%w: %q outside of an object", errList, x)
			}
		case x == '"':
			s.quoted = true
		case x == '}' || x == ']':
			if s.depth--; s.depth > 0 {
				continue
			}
			if err := s.gather(b[from : i+1]); err != nil {
				return err
			}
			if err := s.flush(); err != nil {
				return err
			}
		}
	}
	if s.depth > 0 {
		return s.gather(b[from:])
	}
	return nil
}

// gather keeps a piece of the object under way.
func (s *stream) gather(b []byte) error {
	if len(s.object)+len(b) > maxList {
		return errHTTP
	}
	s.object = append(s.object, b...)
	return nil
}

// flush ends an object.
func (s *stream) flush() error {
	var l List
	err := json.Unmarshal(s.object, &l)
	s.object = s.object[:0]
	if err != nil {
		return fmt.Errorf("%w: %w", errList, err)
	}
	select {
	case s.lists <- l:
		raise(s.signal)
		return nil
	default:
		return errBurst
	}
}

// end ends the body.
func (s *stream) end() error {
	if s.depth > 0 {
		return fmt.Errorf("%w: it ends within an object", errList)
	}
	return nil
}

// raise leaves a mark that one reader takes up when it comes to it.
func raise(mark chan struct{}) {
	select {
	case mark <- struct{}{}:
	default:
	}
}

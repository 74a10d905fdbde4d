package discovery

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/net/loop"
)

// hand is a clock that stands still until the test moves it to the next moment at which something is due.
type hand struct {
	mu      sync.Mutex
	now     time.Time
	timers  map[*handTimer]struct{}
	resets  int
	pausing int           // pauses that began
	held    chan struct{} // Timer waits for it, unless nil
}

type handTimer struct {
	h   *hand
	c   chan time.Time
	due time.Time
}

func newHand() *hand {
	return &hand{now: time.Unix(1_700_000_000, 0), timers: map[*handTimer]struct{}{}}
}

func (h *hand) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hand) Timer(at time.Time) timer {
	if h.held != nil {
		<-h.held
	}
	t := &handTimer{h: h, c: make(chan time.Time, 1)}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.set(at)
	return t
}

func (h *hand) Pause(ctx context.Context, d time.Duration) {
	t := &handTimer{h: h, c: make(chan time.Time, 1)}
	h.mu.Lock()
	t.set(h.now.Add(d))
	h.pausing++
	h.mu.Unlock()
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.c:
	}
}

func (t *handTimer) set(at time.Time) {
	select {
	case <-t.c:
	default:
	}
	if t.due = at; !at.After(t.h.now) {
		t.c <- t.due
		return
	}
	t.h.timers[t] = struct{}{}
}

func (t *handTimer) C() <-chan time.Time { return t.c }

func (t *handTimer) Reset(at time.Time) {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	t.set(at)
	t.h.resets++
}

func (t *handTimer) Stop() {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	delete(t.h.timers, t)
}

func (h *hand) seen() (resets, pausing int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resets, h.pausing
}

// whenDue calls f, with the clock locked, once a timer is set, with the moment at which the first is due. A watcher always
// waits for something, or is about to.
func (h *hand) whenDue(f func(first time.Time)) {
	for !h.callIfDue(f) {
		runtime.Gosched()
	}
}

func (h *hand) callIfDue(f func(first time.Time)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var first time.Time
	for t := range h.timers {
		if first.IsZero() || t.due.Before(first) {
			first = t.due
		}
	}
	if first.IsZero() {
		return false
	}
	f(first)
	return true
}

// due is the moment at which something is due next.
func (h *hand) due() (first time.Time) {
	h.whenDue(func(at time.Time) { first = at })
	return first
}

// left is how long it is until something is due.
func (h *hand) left() (d time.Duration) {
	h.whenDue(func(at time.Time) { d = at.Sub(h.now) })
	return d
}

// advance moves the clock to the moment at which something is due next. It returns how many pauses had begun by then: looked
// up in one step with the move, so that the end of a pause is not taken for the begin of one.
func (h *hand) advance() (pausing int) {
	h.whenDue(func(at time.Time) {
		pausing = h.pausing
		h.moveTo(at)
	})
	return pausing
}

// move lets time pass, and what is due by then happen.
func (h *hand) move(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.moveTo(h.now.Add(d))
}

func (h *hand) moveTo(now time.Time) {
	h.now = now
	for t := range h.timers {
		if !t.due.After(h.now) {
			delete(h.timers, t)
			t.c <- h.now
		}
	}
}

// script is a service, and a watcher that goes by a clock of the test's. The test does at each call what it wants.
type script struct {
	t     *testing.T
	clock *hand
	calls chan *scripted
	lists chan EndpointList
	w     *Watcher
	c     net.Listener
	*loop.Engine
	quit  chan struct{}
	name  string
	known int // pauses when the last call came
}

// scripted is a call that was begun. Its dial stands still until it is let through.
type scripted struct {
	peer
	beside  bool // another is not over yet
	through chan struct{}
	up      chan struct{}   // the request was read
	over    <-chan struct{} // the watcher is done with it
}

// Dial is the engine's, once the test lets it.
func (s *script) Dial(ctx context.Context, address string, h loop.Handler) (gnet.Conn, error) {
	call := &scripted{through: make(chan struct{}), up: make(chan struct{}), over: ctx.Done()}
	s.calls <- call
	select {
	case <-call.through:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	go func() { // one is let through at a time
		c, err := s.c.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			call.peer = peer{t: s.t, c: c, since: r.URL.Query().Get("since"), quit: s.quit}
		}
		close(call.up)
	}()
	return s.Engine.Dial(ctx, address, h)
}

// accept lets a call through and waits for its request.
func (s *script) accept(call *scripted) *peer {
	close(call.through)
	select {
	case <-call.up:
	case <-time.After(10 * time.Second):
		require.Fail(s.t, "the call never came")
	}
	require.NotNil(s.t, call.c)
	return &call.peer
}

var (
	crossing     *loop.Engine
	crossingOnce sync.Once
)

var services atomic.Uint32

// loopbackAddress is another address of this machine each time, with a free port: there are thousands of services, and the ports
// of one address would run out beside other tests.
func loopbackAddress() string {
	n := services.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+n>>16%100, n>>8%256, 1+n%254)
}

func newScript(t *testing.T, known *EndpointList, seed uint64) *script {
	crossingOnce.Do(func() { // for all: they are many
		crossing = loop.New()
		require.NoError(t, crossing.Start("127.0.0.1:0", nil))
	})
	l, err := net.Listen("tcp", loopbackAddress())
	require.NoError(t, err)
	s := &script{t: t, clock: newHand(), calls: make(chan *scripted, 16), lists: make(chan EndpointList, 4096), c: l, Engine: crossing, quit: make(chan struct{})}
	s.w = New(crossing, l.Addr().String(), known, seed, func(l EndpointList) { s.lists <- l })
	s.w.engine, s.w.clock = s, s.clock
	return s
}

// run starts the watcher.
func (s *script) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.w.Run(ctx) }()
	s.t.Cleanup(func() { cancel(); close(s.quit); s.c.Close(); <-ended })
}

// call waits for the next call; time passes as far as it has to.
func (s *script) call() *scripted {
	for {
		if c := s.came(s.clock.advance()); c != nil {
			_, now := s.clock.seen()
			if c.beside = now == s.known; c.beside {
				s.clock.due() // the watcher has set its timer for both
			}
			s.known = now
			return c
		}
	}
}

// came waits until a call came, or a pause has begun behind the ones before: then it returns nil.
func (s *script) came(paused int) (call *scripted) {
	require.Eventually(s.t, func() bool {
		select {
		case call = <-s.calls:
			return true
		default:
			_, now := s.clock.seen()
			return now > paused
		}
	}, 10*time.Second, 20*time.Microsecond, "neither a call nor a pause: %s", s.name)
	return call
}

// paused waits until the watcher has taken a failure in.
func (s *script) paused(before int) {
	require.Eventually(s.t, func() bool { _, now := s.clock.seen(); return now > before }, 10*time.Second, 20*time.Microsecond, "no pause: %s", s.name)
}

// took waits until the watcher has taken a head, a line or a list in.
func (s *script) took(resets int) {
	require.Eventually(s.t, func() bool { now, _ := s.clock.seen(); return now >= resets }, 10*time.Second, 20*time.Microsecond, "it was not taken in: %s", s.name)
}

// gaveUp waits until the watcher is done with a call and waits for the other one, as long as it did before. A header in between
// may have made it wait longer for a moment.
func (s *script) gaveUp(call *scripted, due time.Time) {
	select {
	case <-call.over:
	case <-time.After(10 * time.Second):
		require.Fail(s.t, "the call was not given up: "+s.name)
	}
	require.Eventually(s.t, func() bool { return s.clock.due().Equal(due) }, 10*time.Second, 20*time.Microsecond, "the other call is not waited for: %s", s.name)
}

// kind is a way in which a call fails.
type kind struct {
	name string
	// play does it, up to where only time is to pass, and returns from when on a change may be missed.
	play func(s *script, call *scripted) time.Time
	late bool // (1) in pace.go: no call is left behind it and a second failure
	wait bool // (2): it may not be the second of a pair
}

// atOnce writes and waits until the watcher knows.
func atOnce(name, answer string, reset bool) kind {
	return kind{name: name, play: func(s *script, call *scripted) time.Time {
		_, paused := s.clock.seen()
		var due time.Time
		if call.beside {
			due = s.clock.due()
		}
		p := s.accept(call)
		if p.write(answer); reset {
			_ = p.c.(*net.TCPConn).SetLinger(0)
		}
		p.c.Close()
		if call.beside {
			s.gaveUp(call, due)
		} else {
			s.paused(paused)
		}
		return s.clock.Now()
	}}
}

// later waits until the call would be given up, almost.
func later(name, answer string) kind {
	return kind{name: name, late: true, play: func(s *script, call *scripted) time.Time {
		at := s.clock.Now()
		p := s.accept(call)
		_, paused := s.clock.seen()
		s.clock.move(s.clock.left() - 10*time.Millisecond)
		p.write(answer)
		p.c.Close()
		s.paused(paused)
		return at
	}}
}

// stalls writes and says nothing more.
func stalls(name, answer string) kind {
	return kind{name: name, play: func(s *script, call *scripted) time.Time {
		s.accept(call).write(answer)
		return s.clock.Now()
	}}
}

const busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"

var (
	unanswered = stalls("never answered", "")
	half49     = line(49, false)[:40]
	kinds      = []kind{
		atOnce("reset", "", true),
		atOnce("closed", "", false),
		atOnce("503", busy+"\r\n", false),
		atOnce("503, 2 s", busy+"Retry-After: 2\r\n\r\n", false),
		atOnce("429, 30 s", "HTTP/1.1 429 Slow\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n", false),
		atOnce("404", "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", false),
		atOnce("no HTTP", "SSH-2.0\r\n\r\n", false),
		atOnce("empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false),
		atOnce("a list that can't be read", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"index\":", true),
		atOnce("no list", chunkedHead+chunk("[]"), false),
		atOnce("no length, reset in a list", "HTTP/1.1 200 OK\r\n\r\n"+half49, true),
		unanswered,
		stalls("stalls in the head", "HTTP/1.1 200 OK\r\nTransfer-"),
		{name: "slow dial", play: func(s *script, _ *scripted) time.Time { return s.clock.Now() }},
		{name: "a head and no more", wait: true, play: func(s *script, call *scripted) time.Time {
			at, p := s.clock.Now(), s.accept(call)
			resets, _ := s.clock.seen()
			if p.write(chunkedHead); p.since != "" {
				s.took(resets + 1)
			}
			return at
		}},
		{name: "half a list, no length", wait: true, play: func(s *script, call *scripted) time.Time {
			at, p := s.clock.Now(), s.accept(call)
			resets, _ := s.clock.seen()
			if p.write("HTTP/1.1 200 OK\r\n\r\n" + half49); p.since != "" {
				s.took(resets + 1)
			}
			return at
		}},
	}
	silent = kind{name: "silent watch", play: func(s *script, call *scripted) time.Time {
		p := s.accept(call)
		resets, _ := s.clock.seen()
		p.write(chunkedHead + chunk("\n"))
		s.took(resets + 2)
		return s.clock.Now()
	}}
	stuck = kind{name: "stuck in a list", play: func(s *script, call *scripted) time.Time {
		p := s.accept(call)
		resets, _ := s.clock.seen()
		p.write(chunkedHead + chunk("\n") + fmt.Sprintf("%x\r\n", 1<<20) + half49 + "\n\n")
		s.took(resets + 2)
		return s.clock.Now()
	}}
	lateKinds = []kind{later("503 late", busy+"\r\n"), later("503 late, 30 s", busy+"Retry-After: 30\r\n\r\n"), later("spoilt late", "SSH-2.0\r\n\r\n")}
)

// after answers a call well and says how long behind at the list was acted on.
func (s *script) after(call *scripted, at time.Time) time.Duration {
	go s.accept(call).well()
	require.Equal(s.t, uint64(50), s.list().Index)
	return s.clock.Now().Sub(at)
}

// list waits for the next that is applied.
func (s *script) list() (l EndpointList) {
	select {
	case l = <-s.lists:
	case <-time.After(10 * time.Second):
		require.Fail(s.t, "no list")
	}
	return l
}

// worst keeps the longest.
type worst struct {
	mu   sync.Mutex
	took time.Duration
	name string
}

func (w *worst) see(took time.Duration, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if took > w.took {
		w.took, w.name = took, name
	}
}

// Whatever a call did and the one behind it, a change that discovery had when the first was begun, or fell silent, has an
// answer on its way 5 s later, and is acted on by 6 where that takes a second.
func TestBehindEachPairOfFailuresAChangeIsThereInTime(t *testing.T) {
	t.Parallel()
	var pair, single worst
	firsts := append(append([]kind{}, kinds...), silent, stuck)
	for _, failed := range []int{0, 1, 5} {
		for _, known := range []*EndpointList{{Index: 41}, nil} {
			for i, first := range firsts {
				for j, second := range kinds {
					if known == nil && i >= len(kinds) {
						continue // a watch comes behind the whole list there
					}
					s := newScript(t, known, uint64(failed*1000+i*40+j))
					s.w.backoff.failedRounds = failed
					name := fmt.Sprintf("%s, %s; %d failures before; known: %t", first.name, second.name, failed, known != nil)
					s.name = name
					s.run()
					call := <-s.calls
					at := first.play(s, call)
					call = s.call()
					if call.beside && strings.Contains(second.name, "list") { // a head comes before: TestOfTwoCallsOneMayFail
						continue
					}
					last := second.play(s, call)
					call = s.call()
					if begun := s.clock.Now().Sub(at); !second.wait {
						require.LessOrEqual(t, begun, notifyBound-expectedAnswer, name)
						pair.see(begun, name)
					}
					begun := s.after(call, last)
					require.LessOrEqual(t, begun, notifyBound-maxAnswerTimeout, "%s: behind the second alone", name)
					single.see(begun, name)
				}
			}
		}
	}
	t.Logf("worst behind two failures: %v and the answer (%s)", pair.took, pair.name)
	t.Logf("worst behind one: %v and the answer (%s)", single.took, single.name)
}

// What comes late, and says to come later still, leaves time for one call.
func TestBehindALateFailureAChangeIsThereInTime(t *testing.T) {
	t.Parallel()
	var longest worst
	for _, known := range []*EndpointList{{Index: 41}, nil} {
		for i, k := range lateKinds {
			for j, before := range kinds {
				s := newScript(t, known, uint64(i*40+j))
				s.w.backoff.failedRounds = 4
				s.run()
				call := <-s.calls
				before.play(s, call)
				at := k.play(s, s.call())
				name := before.name + ", " + k.name
				took := s.after(s.call(), at)
				require.LessOrEqual(t, took, notifyBound-expectedAnswer, name)
				longest.see(took, name)
			}
		}
	}
	// The whole list comes late, and the watch behind it fails late, or shows a head late and nothing more.
	for _, last := range []kind{lateKinds[1], unanswered, {name: "late head", play: func(s *script, call *scripted) time.Time {
		p := s.accept(call)
		s.clock.move(s.clock.left() - 10*time.Millisecond)
		resets, _ := s.clock.seen()
		p.write(chunkedHead)
		s.took(resets + 1)
		return s.clock.Now()
	}}} {
		s := newScript(t, nil, 7)
		s.w.backoff.failedRounds = 4
		s.run()
		call := <-s.calls
		at, p := s.clock.Now(), s.accept(call)
		s.clock.move(s.clock.left() - 10*time.Millisecond)
		l := line(49, false)
		p.write("HTTP/1.1 200 OK\r\n\r\n" + l)
		require.Equal(t, uint64(49), s.list().Index)
		last.play(s, <-s.calls)
		took := s.after(s.call(), at)
		require.LessOrEqual(t, took, notifyBound-expectedAnswer, "whole list late, "+last.name)
		longest.see(took, "whole list late, "+last.name)
	}
	// A head that comes a little late and is all moves nothing: the watch is given up as if it had come at once.
	s := newScript(t, &EndpointList{Index: 41}, 7)
	s.w.backoff.failedRounds = 4
	s.run()
	call := <-s.calls
	at, p := s.clock.Now(), s.accept(call)
	s.clock.left()
	s.clock.move(1200 * time.Millisecond)
	p.write(chunkedHead)
	s.took(1)
	require.LessOrEqual(t, s.after(s.call(), at), notifyBound-maxAnswerTimeout, "a head after 1.2 s")
	t.Logf("worst behind a late failure: %v and the answer (%s)", longest.took, longest.name)
}

// The first call answers while a second was begun beside it, or the second does; whoever brings the first thing whole is
// kept, and a list of the other, which may be older, is not taken behind it.
func TestOfTwoCallsTheFirstThatAnswersIsKept(t *testing.T) {
	t.Parallel()
	for _, known := range []*EndpointList{{Index: 41}, nil} {
		for _, slow := range []bool{false, true} { // the first call answers
			s := newScript(t, known, 1)
			s.run()
			a := s.accept(<-s.calls)
			b := s.accept(s.call())
			require.Less(t, s.clock.Now().Sub(time.Unix(1_700_000_000, 0)), expectedAnswer+initialBackoff+1)
			good, bad := b, a
			if slow {
				good, bad = a, b
			}
			go good.well()
			require.Equal(t, uint64(50), s.list().Index)
			_ = bad.c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := bad.c.Read(make([]byte, 1))
			require.Error(t, err)
			require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the other is closed")
			bad.write(chunkedHead + chunk(line(49, false)))
			if known == nil { // the watch goes on from there
				require.Equal(t, "50", s.accept(<-s.calls).since)
			}
			require.Empty(t, s.lists)
		}
	}
}

// One of the two fails, and the other is waited for; only once both have is the call over.
func TestOfTwoCallsOneMayFail(t *testing.T) {
	t.Parallel()
	for _, first := range []bool{true, false} {
		s := newScript(t, &EndpointList{Index: 41}, 1)
		s.run()
		a := s.accept(<-s.calls)
		b := s.accept(s.call())
		good, bad := a, b
		if first {
			good, bad = b, a
		}
		bad.write(busy + "Retry-After: 30\r\n\r\n")
		_, _ = bad.c.Read(make([]byte, 1)) // it was taken in by the loop
		go good.well()
		require.Equal(t, uint64(50), s.list().Index)
		_, paused := s.clock.seen()
		require.Zero(t, paused)
	}
}

// A line and the end of the watch are there at the same moment. Either order says that the watch brought something.
func TestALineAndTheEndAtOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		s := newScript(t, &EndpointList{Index: 41}, seed)
		s.w.backoff.failedRounds = 6
		s.clock.held = make(chan struct{})
		s.run()
		p := s.accept(<-s.calls)
		s.clock.move(expectedAnswer) // so long lasts a watch, and the call has time left
		p.write("HTTP/1.1 200 OK\r\n\r\n\n")
		_ = p.c.(*net.TCPConn).CloseWrite()
		_, err := p.c.Read(make([]byte, 1)) // the loop has read both
		require.Error(t, err)
		close(s.clock.held)
		s.paused(0)
		require.LessOrEqual(t, s.clock.left(), initialBackoff)
	}
}

// More lists than are held come in one piece. What is dropped is asked for at once, not behind a pause that grows.
func TestABurstOfLists(t *testing.T) {
	t.Parallel()
	const all = 1000
	s := newScript(t, &EndpointList{Index: 0}, 1)
	s.w.backoff.failedRounds = 5
	s.clock.held = make(chan struct{}, 1)
	s.run()
	begun := s.clock.Now()
	next := 1
	for call := <-s.calls; ; call = s.call() {
		p := s.accept(call)
		from := 0
		_, _ = fmt.Sscan(p.since, &from)
		require.Equal(t, next-1, from, "none is left out")
		var text strings.Builder
		for i := from + 1; i <= all; i++ {
			fmt.Fprintf(&text, "{\"index\":%d,\"endpoints\":[]}\n", i)
		}
		p.write(chunkedHead + chunk(text.String()))
		if all-from > maxPendingLists { // the loop cuts it off
			_, err := p.c.Read(make([]byte, 1))
			require.Error(t, err)
		}
		_, paused := s.clock.seen()
		s.clock.held <- struct{}{}
		for range min(maxPendingLists, all-from) {
			require.Equal(t, uint64(next), s.list().Index)
			next++
		}
		if next > all {
			break
		}
		s.paused(paused) // else time would pass for the watch, which is ending
	}
	took := s.clock.Now().Sub(begun)
	require.LessOrEqual(t, took, time.Second, "on the clock")
	t.Logf("%d lists at once: %v", all, took)
}

// A list of the old service and a move to another cross: whichever comes first, the new service is asked for its whole
// list, and what the old one said is not applied behind what the new one said.
func TestAMoveCrossesAListOfTheOldService(t *testing.T) {
	t.Parallel()
	for _, listFirst := range []bool{true, false} {
		s := newScript(t, &EndpointList{Index: 41}, 1)
		s.clock.held = make(chan struct{}) // the watcher stands still between its call and the first look at the answer
		s.run()
		p := s.accept(<-s.calls)
		next, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		old := s.c
		defer old.Close()
		s.c = next
		list := func() {
			p.write("HTTP/1.1 200 OK\r\n\r\n" + line(900, false))
			_ = p.c.(*net.TCPConn).CloseWrite()
			_, _ = p.c.Read(make([]byte, 1)) // the loop has read it
		}
		if listFirst {
			list()
		}
		s.w.SetServiceAddress(next.Addr().String())
		if !listFirst {
			list()
		}
		close(s.clock.held)
		q := s.accept(<-s.calls)
		require.Empty(t, q.since, "the new service counts in its own way")
		go q.well()
		last := EndpointList{}
		for last.Index != 50 {
			last = s.list()
		}
		require.Equal(t, "50", s.accept(<-s.calls).since)
		require.Empty(t, s.lists)
	}
}

// 300 poolers lose their service at the same moment. It takes all calls and answers none, or refuses late or at once; the
// fleet doesn't fall into step, and asks no more often than it would of a service that refuses without a word.
func TestAFleetIsNotInStepWhateverFails(t *testing.T) {
	for _, c := range []struct {
		name   string
		takes  time.Duration // until a call is over
		word   time.Duration
		silent bool // all watches fell silent before
	}{
		{"never answered", maxAnswerTimeout, 0, false},
		{"never answered, behind a silence", maxAnswerTimeout, 0, true},
		{"refused at once", 0, 0, true},
		{"refused late", 2 * time.Second, 0, false},
		{"refused late, 30 s", 2 * time.Second, 30 * time.Second, false},
		{"refused, 30 s", 0, 30 * time.Second, false},
		{"refused, 30 s, behind a silence", 0, 30 * time.Second, true},
		{"refused, 1 s", 0, time.Second, true},
	} {
		const poolers = 300
		calls, first := make([]int, 700), 100 // in 100 ms each; what is counted begins 10 s behind the first call
		if c.silent {
			first += int(silenceLimit / (100 * time.Millisecond))
		}
		for i := range poolers {
			p, at, before := newBackoff(uint64(i)), time.Duration(0), time.Duration(0)
			if c.silent {
				at = silenceLimit + p.nextBackoff(true, 0, silenceLimit)
			}
			for at < time.Minute {
				calls[at/(100*time.Millisecond)]++
				begun := at
				p.changeAge = begun - before
				takes := min(c.takes, p.answerTimeout())
				if d := p.hedgeDelay(); d > 0 && d < takes {
					calls[(at+d)/(100*time.Millisecond)]++
				}
				p.changeAge += takes
				at += takes + p.nextBackoff(false, c.word, takes)
				before = begun
			}
		}
		most, all := 0, 0
		for i, n := range calls {
			if i >= first && i < 600 {
				most, all = max(most, n), all+n
			}
		}
		t.Logf("%s: at most %d calls in 100 ms, %.1f/s", c.name, most, float64(all)/50)
		require.LessOrEqual(t, most, 45, c.name)
		require.LessOrEqual(t, all, poolers*50*10/15, "%s: one in 1.5 s each", c.name)
	}
}

// The pauses of pace alone, over many seeds and histories: the same bounds as on sockets.
func TestPairsOfPauses(t *testing.T) {
	type failure struct {
		name  string
		takes time.Duration // 0: at once; maxAnswerTimeout: until it is given up
		word  time.Duration
	}
	failures := []failure{{"at once", 0, 0}, {"a word", 0, 2 * time.Second}, {"a long word", 0, time.Hour}, {"a short word", 0, time.Second}, {"no answer", maxAnswerTimeout, 0}}
	var longest worst
	lots := rand.New(rand.NewPCG(1, 2))
	for seed := range uint64(20000) {
		p := newBackoff(seed)
		calls, name := []time.Duration{0}, "" // when they begin
		if seed%2 == 0 {                      // or the last line of a watch that falls silent
			name = "silent watch; "
			p.changeAge = silenceLimit
			calls = append(calls, silenceLimit+p.nextBackoff(true, 0, silenceLimit))
		}
		for at, before := calls[len(calls)-1], time.Duration(0); len(calls) < 14; {
			f := failures[lots.IntN(len(failures))]
			name += f.name + "; "
			p.changeAge = at - before
			takes := min(f.takes, p.answerTimeout())
			if d := p.hedgeDelay(); d > 0 && d < takes {
				calls = append(calls, at+d)
			}
			p.changeAge += takes
			before = at
			at += takes + p.nextBackoff(false, f.word, takes)
			calls = append(calls, at)
			require.LessOrEqual(t, at-before, notifyBound-maxAnswerTimeout, name)
			for i := max(0, len(calls)-4); i+2 < len(calls); i++ {
				require.LessOrEqual(t, calls[i+2]-calls[i], notifyBound-expectedAnswer, name)
				longest.see(calls[i+2]-calls[i], name)
			}
		}
	}
	t.Logf("a third call begins %v behind the first at the latest (%s)", longest.took, longest.name)
}

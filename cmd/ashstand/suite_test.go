package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/edge"
	"ashstand/internal/net/discovery"
)

const (
	browse  = "/* id=b%d,c=browse,d=9000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'"
	library = "/* id=l%d,c=my-library,d=7000,cluster=1,after=%d */ SELECT payload FROM entries WHERE ref = 'k'"
	report  = "/* id=r%d,c=report,d=14000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'"
	donate  = "/* id=d%d,c=donate,d=%d,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('k', '\\x9f') RETURNING payload"
)

var served = verdict{kind: "served", value: value}

// TestSameVerdicts is the proof that no wire has rules of its own: the same stories, word for word, with
// clients and db hosts on either wire.
func TestSameVerdicts(t *testing.T) {
	for _, front := range []string{"postgresql", "flightsql"} {
		for _, hosts := range []string{"postgresql", "flightsql"} {
			for _, s := range []struct {
				name string
				tell func(t *testing.T, w *world, ask client)
			}{
				{"each class is served where it may be", eachClass},
				{"a stale replica gets no read that needs newer data", staleReplica},
				{"a donate whose connection is reset runs once and fails", donateReset},
				{"a refusal says when to come back", refusal},
				{"a deadline ends the wait", deadline},
				{"a report cut half-way is asked for again, whole", cutReport},
				{"a spoilt answer has run and teaches nothing", spoiltAnswer},
				{"a load report that can't be read spoils nothing", oddReport},
				{"the id of an open request is not another's", openID},
				{"statements that the memory has no room for are refused", noRoom},
				{"a request that makes no sense is tried nowhere", nonsense},
			} {
				t.Run(front+" to "+hosts+": "+s.name, func(t *testing.T) {
					w := build(t, hosts, hosts, hosts)
					s.tell(t, w, w.ask[front])
				})
			}
		}
	}
}

func eachClass(t *testing.T, w *world, ask client) {
	p := w.hosts[0]
	for i, text := range []string{
		fmt.Sprintf(browse, 1), fmt.Sprintf(library, 2, time.Now().Add(-time.Minute).UnixMilli()),
		fmt.Sprintf(report, 3), fmt.Sprintf(donate, 4, 9000),
	} {
		before := [3]int{p.count(), w.hosts[1].count(), w.hosts[2].count()}
		require.Equal(t, served, ask(t, text))
		got := ""
		for j, h := range w.hosts {
			if h.count() > before[j] {
				require.Empty(t, got, "one attempt was enough")
				got = h.seen[len(h.seen)-1]
				require.Equal(t, i == 3, h == p, "%s went to %s", text, h.name)
			}
		}
		same(t, text, got)
	}
}

// Guards against a route by what a replica would like to be: only a position that it has proven counts.
func staleReplica(t *testing.T, w *world, ask client) {
	for _, h := range w.hosts[1:] {
		h.set(func() { h.lag = time.Minute })
	}
	for i := range 5 {
		require.Equal(t, served, ask(t, fmt.Sprintf(browse, i)))
		require.Equal(t, served, ask(t, fmt.Sprintf(library, i, time.Now().UnixMilli())))
	}
	require.Equal(t, 10, w.hosts[0].count())
	require.Zero(t, w.hosts[1].count()+w.hosts[2].count())
	require.Equal(t, served, ask(t, fmt.Sprintf(report, 9)))
	require.Equal(t, 10, w.hosts[0].count(), "any age will do for a report")
}

// Guards against a second donate: neither a router, a pool nor a library may send again what may have run.
func donateReset(t *testing.T, w *world, ask client) {
	for _, h := range w.hosts {
		h.set(func() { h.do = func(string) act { return reset } })
	}
	require.Equal(t, verdict{kind: "failed"}, ask(t, fmt.Sprintf(donate, 1, 3000)))
	require.Equal(t, []int{1, 0, 0}, []int{w.hosts[0].count(), w.hosts[1].count(), w.hosts[2].count()})
}

func refusal(t *testing.T, w *world, ask client) {
	w.hosts[0].set(func() { w.hosts[0].do = func(string) act { return turnAway } })
	require.Equal(t, verdict{kind: "refused", advice: true}, ask(t, fmt.Sprintf(donate, 1, 1500)))
	require.NotZero(t, w.hosts[0].count())
}

func deadline(t *testing.T, w *world, ask client) {
	w.hosts[0].set(func() { w.hosts[0].do = func(string) act { return hang } })
	begun := time.Now()
	require.Equal(t, verdict{kind: "timed out"}, ask(t, fmt.Sprintf(donate, 1, 1500)))
	require.GreaterOrEqual(t, time.Since(begun), 1300*time.Millisecond)
	require.Equal(t, 1, w.hosts[0].count())
}

// Guards against half an answer taken for a whole one. Every host cuts its first report.
func cutReport(t *testing.T, w *world, ask client) {
	var cuts atomic.Int32
	for _, h := range w.hosts {
		h.set(func() {
			h.do = func(string) act {
				if cuts.Add(1) == 1 {
					return half
				}
				return serve
			}
		})
	}
	require.Equal(t, served, ask(t, fmt.Sprintf(report, 1)))
	require.EqualValues(t, 2, cuts.Load())
}

// Guards against noise taken for an answer, and a donate sent again after one: whatever came, it has run.
func spoiltAnswer(t *testing.T, w *world, ask client) {
	var spoilt atomic.Int32
	for _, h := range w.hosts {
		h.set(func() {
			h.do = func(text string) act {
				if spoilt.Add(1) <= 1 {
					return noise
				}
				return serve
			}
		})
	}
	require.Equal(t, verdict{kind: "failed"}, ask(t, fmt.Sprintf(donate, 1, 3000)))
	require.EqualValues(t, 1, spoilt.Load())
	spoilt.Store(0)
	require.Equal(t, served, ask(t, fmt.Sprintf(report, 2)))
	require.EqualValues(t, 2, spoilt.Load())
}

// Guards against a good answer that is thrown away for a bad report beside it.
func oddReport(t *testing.T, w *world, ask client) {
	for _, h := range w.hosts {
		h.set(func() { h.odd = true })
	}
	for i, text := range []string{fmt.Sprintf(donate, 1, 9000), fmt.Sprintf(report, 2), fmt.Sprintf(browse, 3)} {
		require.Equal(t, served, ask(t, text), i)
	}
}

// Guards against clients that together send more than the process can hold.
func noRoom(t *testing.T, w *world, ask client) {
	w.core.SetLimits(edge.Limits{StatementBytes: 40, RetryAfterMillis: 300})
	require.Equal(t, verdict{kind: "refused", advice: true}, ask(t, fmt.Sprintf(donate, 1, 9000)))
	require.Equal(t, verdict{kind: "refused", advice: true}, ask(t, fmt.Sprintf(report, 2)))
	for _, h := range w.hosts {
		require.Zero(t, h.count())
	}
	w.core.SetLimits(edge.Limits{StatementBytes: 1 << 20})
	require.Equal(t, served, ask(t, fmt.Sprintf(donate, 1, 9000)))
}

// Guards against two requests that a host would take for one: an id counts once while it is open.
func openID(t *testing.T, w *world, ask client) {
	entered, release := make(chan struct{}), make(chan struct{})
	p := w.hosts[0]
	p.set(func() {
		p.do = func(string) act {
			p.mu.Unlock()
			entered <- struct{}{}
			<-release
			p.mu.Lock()
			return serve
		}
	})
	first := make(chan verdict)
	go func() { first <- ask(t, fmt.Sprintf(donate, 1, 9000)) }()
	<-entered
	require.Equal(t, verdict{kind: "invalid"}, ask(t, fmt.Sprintf(donate, 1, 9000)))
	close(release)
	require.Equal(t, served, <-first)
	require.Equal(t, 1, p.count())
	go func() { <-entered }()
	require.Equal(t, served, ask(t, fmt.Sprintf(donate, 1, 9000)), "once answered, it is free again")
}

func nonsense(t *testing.T, w *world, ask client) {
	for _, text := range []string{
		"SELECT 1", "/* id=1,c=listen,d=100,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'",
		"/* id=1,c=browse,d=x,cluster=1 */ SELECT 1", "/* c=browse,d=900,cluster=1 */ SELECT 1", "/* id=,c=browse,d=900,cluster=1 */ SELECT 1",
		"/* id=1,c=browse,cluster=1 */ SELECT 1",
	} {
		require.Equal(t, "invalid", ask(t, text).kind, text)
	}
	require.Equal(t, "refused", ask(t, "/* id=1,c=browse,d=500,cluster=77 */ SELECT 1").kind, "a group of which no list tells")
	for _, h := range w.hosts {
		require.Zero(t, h.count())
	}
}

// carry has four clients on each wire ask without a pause. more waits until each wire had n answers more; stop ends it.
func carry(t *testing.T, w *world) (more func(n int32), stop func()) {
	var over atomic.Bool
	var group sync.WaitGroup
	var answers [2]atomic.Int32
	for i, front := range []string{"postgresql", "flightsql"} {
		for n := range 4 {
			group.Go(func() {
				for k := 0; !over.Load(); k++ {
					id := (i*4+n)*1000000 + k // an id is open once, on whichever wire
					text := fmt.Sprintf(report, id)
					if k%4 == 0 {
						text = fmt.Sprintf(donate, id, 9000)
					}
					if v := w.ask[front](t, text); v != served {
						t.Errorf("%s: %s: %+v", front, text, v)
						return
					}
					answers[i].Add(1)
				}
			})
		}
	}
	return func(n int32) {
			from := [2]int32{answers[0].Load(), answers[1].Load()}
			require.Eventually(t, func() bool {
				return t.Failed() || answers[0].Load() >= from[0]+n && answers[1].Load() >= from[1]+n
			}, 30*time.Second, time.Millisecond)
		}, func() {
			over.Store(true)
			group.Wait()
		}
}

// without says that hosts get nothing new once the list no longer lets them have any.
func without(t *testing.T, w *world, hosts []*host, more func(n int32)) {
	require.Eventually(t, func() bool {
		return !w.facade.IsActive(hosts[0].name) && !w.facade.IsActive(hosts[1].name)
	}, 10*time.Second, time.Millisecond)
	more(8) // what had passed the gate before has arrived: each client has had answers since
	before := [2]int{hosts[0].count(), hosts[1].count()}
	require.NotZero(t, before[0])
	require.NotZero(t, before[1])
	more(40)
	require.Equal(t, before, [2]int{hosts[0].count(), hosts[1].count()})
}

// A drain is announced while both wires carry load, on both sides: from then on neither gets anything new, and
// no request is lost over it.
func TestDrainUnderLoadOnBothWires(t *testing.T) {
	w := build(t, "postgresql", "postgresql", "flightsql", "postgresql", "flightsql")
	more, stop := carry(t, w)
	more(20)
	leaving := w.hosts[1:3] // one on each wire
	w.change <- w.list(2, false, w.entry(leaving[0], discovery.Draining), w.entry(leaving[1], discovery.Draining))
	without(t, w, leaving, more)
	stop()
}

// Discovery moves while both wires carry load: the list held is in force until the new service has sent its own, what
// that leaves out is gone, and no request is lost over it.
func TestDiscoveryMovesUnderLoadOnBothWires(t *testing.T) {
	w := build(t, "postgresql", "postgresql", "flightsql", "postgresql", "flightsql")
	more, stop := carry(t, w)
	more(20)
	asked, tell := make(chan struct{}), make(chan struct{})
	next := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			close(asked)
			<-tell
			io.WriteString(rw, w.list(1, true, w.entry(w.hosts[0], discovery.Active), w.entry(w.hosts[3], discovery.Active),
				w.entry(w.hosts[4], discovery.Active)))
			return
		}
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() { w.watch.SetServiceAddress("127.0.0.1:1"); next.CloseClientConnections(); next.Close() })
	w.watch.SetServiceAddress(next.Listener.Addr().String())
	<-asked
	more(20)
	require.True(t, w.facade.IsActive(w.hosts[1].name))
	close(tell)
	without(t, w, w.hosts[1:3], more)
	stop()
}

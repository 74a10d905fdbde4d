package executor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/jobs"
)

// world is a log that answers at once, and one place with a fence.
type world struct {
	mu     sync.Mutex
	ledger jobs.StateMachine
	until  map[string]float64 // of leases
	fence  jobs.FencingToken
	rows   []string // deeds that the place has taken
	late   int
	frozen map[string]map[string]jobs.Job // what a process that sleeps knows
}

func (w *world) enter(e jobs.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.ledger.Apply(e); r != nil {
		return r
	}
	return nil
}

func (w *world) work() jobs.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *w.ledger.Jobs["w"]
}

// log is a process's view of it.
type log struct {
	*world
	name string
}

func (l log) Jobs() (map[string]jobs.Job, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.frozen[l.name]; f != nil {
		return f, l.until[l.name]
	}
	out := map[string]jobs.Job{}
	for n, w := range l.ledger.Jobs {
		out[n] = *w
	}
	return out, l.until[l.name]
}

func (l log) Propose(_ context.Context, e jobs.Entry) error { return l.enter(e) }
func (l log) SetReport(jobs.Report)                         {}

// count writes rows until there are as many as its spec says.
type count struct {
	*world
	hold  func(d *jobs.Operation)       // before the act
	after func(d *jobs.Operation) error // after it, before its answer
}

func (c *count) Next(_ float64, w *jobs.Job, _ any) jobs.Decision {
	return jobs.Decision{OperationName: "row"}
}

func (c *count) Observe(context.Context, *jobs.Job) (any, error) { return nil, nil }

func (c *count) take(t jobs.FencingToken) error {
	if c.fence > t {
		return &jobs.FencedError{Target: "p", Presented: t, Current: c.fence}
	}
	c.fence = t
	return nil
}

func (c *count) Execute(_ context.Context, w *jobs.Job, d *jobs.Operation) (jobs.Result, error) {
	if c.hold != nil {
		c.hold(d)
	}
	c.mu.Lock()
	if err := c.take(w.Token); err != nil {
		c.late++
		c.mu.Unlock()
		return jobs.Result{}, err
	}
	c.rows = append(c.rows, d.ID(w.Name))
	c.mu.Unlock()
	if c.after != nil {
		if err := c.after(d); err != nil {
			return jobs.Result{}, err
		}
	}
	return proof(w), nil
}

func proof(w *jobs.Job) jobs.Result {
	var want, is int
	_ = json.Unmarshal(w.Spec, &want)
	_ = json.Unmarshal(w.State, &is)
	return jobs.Result{State: []byte(fmt.Sprint(is + 1)), Finished: is+1 >= want}
}

func (c *count) Recover(_ context.Context, w *jobs.Job, d *jobs.Operation) (bool, jobs.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.take(w.Token); err != nil {
		return false, jobs.Result{}, err
	}
	for _, r := range c.rows {
		if r == d.ID(w.Name) {
			return true, proof(w), nil
		}
	}
	return false, jobs.Result{}, nil
}

func begin(t *testing.T, w *world, name string, instance uint64, k jobs.Handler) *Executor {
	w.until[name] = 1e18
	d := Start(Options{Name: name, Incarnation: instance, Handlers: map[string]jobs.Handler{"k": k}, Log: log{w, name}, Clock: clock.System(), PollMillis: 4, OperationMillis: 2000})
	t.Cleanup(d.Stop)
	return d
}

func newWorld(t *testing.T, rows int) *world {
	w := &world{until: map[string]float64{}, frozen: map[string]map[string]jobs.Job{}}
	require.NoError(t, w.enter(jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k", Spec: []byte(fmt.Sprint(rows))}))
	require.NoError(t, w.enter(jobs.Entry{Type: jobs.EntryAssign, Job: "w", Holder: "a", Incarnation: 1}))
	return w
}

func ends(t *testing.T, w *world, rows int) {
	require.Eventually(t, func() bool { return w.work().Finished }, 10*time.Second, time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Len(t, w.rows, rows)
	seen := map[string]bool{}
	for _, r := range w.rows {
		require.False(t, seen[r], "%s was done twice", r)
		seen[r] = true
	}
}

func TestOperationsInDoubtAreRecovered(t *testing.T) {
	// Every third answer is lost after the act, every fifth deed never gets there: each row is there once.
	w := newWorld(t, 40)
	n := 0
	k := &count{world: w}
	k.after = func(*jobs.Operation) error {
		if n++; n%3 == 0 {
			return errors.New("the link broke")
		}
		return nil
	}
	begin(t, w, "a", 1, k)
	ends(t, w, 40)
	require.Zero(t, w.work().AbortedOperations)
}

// The owner stops before its act, for longer than its lease; another settles the deed, and goes on. The first wakes and acts.
func TestHolderPausedDuringOperation(t *testing.T) {
	w := newWorld(t, 20)
	asleep, wake := make(chan struct{}), make(chan struct{})
	k := &count{world: w, hold: func(d *jobs.Operation) {
		if d.Number == 5 {
			close(asleep)
			<-wake
		}
	}}
	begin(t, w, "a", 1, k)
	<-asleep
	log := log{w, "a"}
	was, _ := log.Jobs()
	w.mu.Lock()
	w.frozen["a"] = maps.Clone(was)
	w.mu.Unlock()
	require.NoError(t, w.enter(jobs.Entry{Type: jobs.EntryAssign, Job: "w", Token: 1, Holder: "b", Incarnation: 2}))
	begin(t, w, "b", 2, &count{world: w})
	require.Eventually(t, func() bool { return w.work().Step > 10 }, 10*time.Second, time.Millisecond)
	close(wake)
	ends(t, w, 20)
	require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.late == 1 }, 5*time.Second, time.Millisecond, "the place refused it")
	require.Equal(t, 1, w.work().AbortedOperations)
}

func TestNothingStartsWithoutLease(t *testing.T) {
	w := newWorld(t, 1000)
	begin(t, w, "a", 1, &count{world: w})
	require.Eventually(t, func() bool { return w.work().Step > 3 }, 10*time.Second, time.Millisecond)
	w.mu.Lock()
	w.until["a"] = 0
	w.mu.Unlock()
	var at uint64
	require.Eventually(t, func() bool { // it comes to rest
		was := at
		at = w.work().Step
		time.Sleep(20 * time.Millisecond)
		return w.work().Step == at && at == was
	}, 5*time.Second, time.Millisecond)
	w.mu.Lock()
	w.until["a"] = 1e18
	w.mu.Unlock()
	require.Eventually(t, func() bool { return w.work().Step > at }, 5*time.Second, time.Millisecond)
}

func TestDrainReleasesJobs(t *testing.T) {
	w := newWorld(t, 1000)
	d := begin(t, w, "a", 1, &count{world: w})
	require.Eventually(t, func() bool { return w.work().Step > 3 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d.Drain(ctx)
	got := w.work()
	require.Empty(t, got.Holder)
	require.Nil(t, got.Operation, "what was under way was finished")
}

// A place has seen a higher token than the log: the owner says so, and the work is given out above it.
func TestHostHasSeenHigherToken(t *testing.T) {
	w := newWorld(t, 3)
	w.fence = 50
	begin(t, w, "a", 1, &count{world: w})
	require.Eventually(t, func() bool { return w.work().Holder == "" }, 5*time.Second, time.Millisecond)
	require.NoError(t, w.enter(jobs.Entry{Type: jobs.EntryAssign, Job: "w", Token: 1, Holder: "a", Incarnation: 1}))
	ends(t, w, 3)
	require.Equal(t, jobs.FencingToken(51), w.work().Token)
}

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

// cluster is a fake log without delay, together with one fake database host that checks fencing tokens.
type cluster struct {
	mu         sync.Mutex
	machine    jobs.StateMachine
	leaseUntil map[string]float64 // end of the lease, by process
	token      jobs.FencingToken
	rows       []string // operations that the host has executed
	fenced     int
	paused     map[string]map[string]jobs.Job // the outdated jobs that a paused process sees, by process
}

func (w *cluster) propose(e jobs.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.machine.Apply(e); r != nil {
		return r
	}
	return nil
}

func (w *cluster) job() jobs.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *w.machine.Jobs["w"]
}

// clusterLog is one process's view of the log.
type clusterLog struct {
	*cluster
	name string
}

func (l clusterLog) Jobs() (map[string]jobs.Job, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.paused[l.name]; f != nil {
		return f, l.leaseUntil[l.name]
	}
	out := map[string]jobs.Job{}
	for n, w := range l.machine.Jobs {
		out[n] = *w
	}
	return out, l.leaseUntil[l.name]
}

func (l clusterLog) Propose(_ context.Context, e jobs.Entry) error { return l.propose(e) }
func (l clusterLog) SetReport(jobs.Report)                         {}

// rowHandler writes one row per operation until there are as many as its spec says.
type rowHandler struct {
	*cluster
	beforeExecute func(d *jobs.Operation)       // called before the host executes the operation
	afterExecute  func(d *jobs.Operation) error // called after that; its error replaces the answer
}

func (c *rowHandler) Next(_ float64, w *jobs.Job, _ any) jobs.Decision {
	return jobs.Decision{OperationName: "row"}
}

func (c *rowHandler) Observe(context.Context, *jobs.Job) (any, error) { return nil, nil }

func (c *rowHandler) raiseFence(t jobs.FencingToken) error {
	if c.token > t {
		return &jobs.FencedError{Target: "p", Presented: t, Current: c.token}
	}
	c.token = t
	return nil
}

func (c *rowHandler) Execute(_ context.Context, w *jobs.Job, d *jobs.Operation) (jobs.Result, error) {
	if c.beforeExecute != nil {
		c.beforeExecute(d)
	}
	c.mu.Lock()
	if err := c.raiseFence(w.Token); err != nil {
		c.fenced++
		c.mu.Unlock()
		return jobs.Result{}, err
	}
	c.rows = append(c.rows, d.ID(w.Name))
	c.mu.Unlock()
	if c.afterExecute != nil {
		if err := c.afterExecute(d); err != nil {
			return jobs.Result{}, err
		}
	}
	return result(w), nil
}

func result(w *jobs.Job) jobs.Result {
	var wanted, written int
	_ = json.Unmarshal(w.Spec, &wanted)
	_ = json.Unmarshal(w.State, &written)
	return jobs.Result{State: []byte(fmt.Sprint(written + 1)), Finished: written+1 >= wanted}
}

func (c *rowHandler) Recover(_ context.Context, w *jobs.Job, d *jobs.Operation) (bool, jobs.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.raiseFence(w.Token); err != nil {
		return false, jobs.Result{}, err
	}
	for _, r := range c.rows {
		if r == d.ID(w.Name) {
			return true, result(w), nil
		}
	}
	return false, jobs.Result{}, nil
}

func start(t *testing.T, w *cluster, name string, incarnation uint64, handler jobs.Handler) *Executor {
	w.mu.Lock() // other executors read it meanwhile
	w.leaseUntil[name] = 1e18
	w.mu.Unlock()
	executor := Start(Options{Name: name, Incarnation: incarnation, Handlers: map[string]jobs.Handler{"k": handler}, Log: clusterLog{w, name}, Clock: clock.System(), PollMillis: 4, OperationMillis: 2000})
	t.Cleanup(executor.Stop)
	return executor
}

func newCluster(t *testing.T, rows int) *cluster {
	w := &cluster{leaseUntil: map[string]float64{}, paused: map[string]map[string]jobs.Job{}}
	require.NoError(t, w.propose(jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k", Spec: []byte(fmt.Sprint(rows))}))
	require.NoError(t, w.propose(jobs.Entry{Type: jobs.EntryAssign, Job: "w", Holder: "a", Incarnation: 1}))
	return w
}

func requireFinished(t *testing.T, w *cluster, rows int) {
	require.Eventually(t, func() bool { return w.job().Finished }, 10*time.Second, time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Len(t, w.rows, rows)
	seen := map[string]bool{}
	for _, r := range w.rows {
		require.False(t, seen[r], "%s was executed twice", r)
		seen[r] = true
	}
}

func TestOperationsInDoubtAreRecovered(t *testing.T) {
	// Every third answer is lost after the host has executed the operation. Each row must still be written exactly once.
	w := newCluster(t, 40)
	n := 0
	k := &rowHandler{cluster: w}
	k.afterExecute = func(*jobs.Operation) error {
		if n++; n%3 == 0 {
			return errors.New("connection reset")
		}
		return nil
	}
	start(t, w, "a", 1, k)
	requireFinished(t, w, 40)
	require.Zero(t, w.job().AbortedOperations)
}

// The holder is paused before it executes an operation, and another holder is assigned, aborts the operation and continues.
// When the first one resumes and executes it, the host must reject it.
func TestHolderPausedDuringOperation(t *testing.T) {
	w := newCluster(t, 20)
	paused, resume := make(chan struct{}), make(chan struct{})
	k := &rowHandler{cluster: w, beforeExecute: func(d *jobs.Operation) {
		if d.Number == 5 {
			close(paused)
			<-resume
		}
	}}
	start(t, w, "a", 1, k)
	<-paused
	view := clusterLog{w, "a"}
	jobsBefore, _ := view.Jobs()
	w.mu.Lock()
	w.paused["a"] = maps.Clone(jobsBefore)
	w.mu.Unlock()
	require.NoError(t, w.propose(jobs.Entry{Type: jobs.EntryAssign, Job: "w", Token: 1, Holder: "b", Incarnation: 2}))
	start(t, w, "b", 2, &rowHandler{cluster: w})
	require.Eventually(t, func() bool { return w.job().Step > 10 }, 10*time.Second, time.Millisecond)
	close(resume)
	requireFinished(t, w, 20)
	require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.fenced == 1 }, 5*time.Second, time.Millisecond, "the host rejected it")
	require.Equal(t, 1, w.job().AbortedOperations)
}

func TestNothingStartsWithoutLease(t *testing.T) {
	w := newCluster(t, 1000)
	start(t, w, "a", 1, &rowHandler{cluster: w})
	require.Eventually(t, func() bool { return w.job().Step > 3 }, 10*time.Second, time.Millisecond)
	w.mu.Lock()
	w.leaseUntil["a"] = 0
	w.mu.Unlock()
	var step uint64
	require.Eventually(t, func() bool { // until the step no longer changes
		was := step
		step = w.job().Step
		time.Sleep(20 * time.Millisecond)
		return w.job().Step == step && step == was
	}, 5*time.Second, time.Millisecond)
	w.mu.Lock()
	w.leaseUntil["a"] = 1e18
	w.mu.Unlock()
	require.Eventually(t, func() bool { return w.job().Step > step }, 5*time.Second, time.Millisecond)
}

func TestDrainReleasesJobs(t *testing.T) {
	w := newCluster(t, 1000)
	d := start(t, w, "a", 1, &rowHandler{cluster: w})
	require.Eventually(t, func() bool { return w.job().Step > 3 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d.Drain(ctx)
	got := w.job()
	require.Empty(t, got.Holder)
	require.Nil(t, got.Operation, "the open operation was completed")
}

// A host has seen a higher token than the log has: the holder reports it, and the job is assigned again with a higher one.
func TestHostHasSeenHigherToken(t *testing.T) {
	w := newCluster(t, 3)
	w.token = 50
	start(t, w, "a", 1, &rowHandler{cluster: w})
	require.Eventually(t, func() bool { return w.job().Holder == "" }, 5*time.Second, time.Millisecond)
	require.NoError(t, w.propose(jobs.Entry{Type: jobs.EntryAssign, Job: "w", Token: 1, Holder: "a", Incarnation: 1}))
	requireFinished(t, w, 3)
	require.Equal(t, jobs.FencingToken(51), w.job().Token)
}

// Stop waits until the job's goroutine has ended, even if the handler ignores that its context has been cancelled.
func TestStopWaitsForJobs(t *testing.T) {
	w := newCluster(t, 10)
	executing, proceed := make(chan struct{}), make(chan struct{})
	e := start(t, w, "a", 1, &rowHandler{cluster: w, beforeExecute: func(*jobs.Operation) {
		close(executing)
		<-proceed
	}})
	<-executing
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.Stop()
	}()
	select {
	case <-stopped:
		t.Fatal("Stop returned before the operation under way")
	case <-time.After(30 * time.Millisecond):
	}
	close(proceed)
	<-stopped
	step := w.job().Step
	e.reconcile()
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, step, w.job().Step, "nothing is started any more")
}

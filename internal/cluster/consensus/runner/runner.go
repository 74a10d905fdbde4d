// Package runner runs a consensus node in a process: it persists the node's state, carries its messages and passes it the
// time.
//
// One goroutine, the loop, owns the node and the Storage; nothing else touches either. The methods of a Runner talk to it
// through channels, or read the lease that it publishes. Stop ends the loop, waits for it and then closes the Storage.
// There is no lock; the loop calls Options.Send, OnChange and OnLease, which therefore must not wait for the Runner.
package runner

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/vfs"
)

// Options are what a runner needs.
type Options struct {
	Config    consensus.Config
	Directory string // for the persisted state; "": none, and such a pooler can't vote
	FS        vfs.FS // nil: the operating system's
	Clock     clock.Clock
	Send      func(to string, message []byte) // never waits; what can't be sent is lost
	OnChange  func(consensus.EffectiveRules)  // called whenever the effective rules change; nil: not called
	OnLease   func(remainingMillis float64)   // called for each new lease, and while rules are used without one; for the testbed; nil: not called
}

// maxInbox bounds the messages that wait for the loop. More are dropped: their senders repeat them.
const maxInbox = 1024

// Runner runs one node. Its methods are safe for concurrent use.
type Runner struct {
	options Options
	storage *Storage // nil: nothing is persisted

	inbox    chan consensus.Message
	calls    chan call
	views    chan chan View
	reports  chan jobs.Report // holds the latest only
	stopping chan struct{}    // closed by Stop
	running  sync.WaitGroup

	lease             atomic.Pointer[consensus.Lease] // published by the loop, after what it rests on is persisted
	messagesLost      atomic.Int64
	messagesMalformed atomic.Int64
	savesFailed       atomic.Int64
	isSuspended       atomic.Bool // the state can't be persisted, so the node is stopped
}

// call is a request to the loop: to propose something, or to abandon a proposal.
type call struct {
	id      uint64
	propose func(n *consensus.Node, now float64, id uint64) error // nil: abandon
	reply   chan consensus.ProposalResult                         // of room for one
}

// Start runs a node on its persisted state. The caller stops the Runner.
func Start(o Options) (*Runner, error) {
	if o.Directory == "" && slices.Contains(o.Config.Voters, o.Config.Name) {
		return nil, &consensus.NoStorageError{Pooler: o.Config.Name}
	}
	r := &Runner{
		options:  o,
		inbox:    make(chan consensus.Message, maxInbox),
		calls:    make(chan call),
		views:    make(chan chan View),
		reports:  make(chan jobs.Report, 1),
		stopping: make(chan struct{}),
	}
	if o.Directory != "" {
		fsys := o.FS
		if fsys == nil {
			fsys = vfs.OS{}
		}
		var err error
		if r.storage, err = OpenStorage(fsys, o.Directory); err != nil {
			return nil, err
		}
	}
	node, err := r.firstNode()
	if err != nil {
		r.closeStorage()
		return nil, err
	}
	r.running.Go(func() { newLoop(r, node).run() })
	return r, nil
}

// firstNode returns the node of the persisted state, and publishes its lease. nil: the state is not durable, and the
// pooler goes by its limits until it is.
func (r *Runner) firstNode() (*consensus.Node, error) {
	state, err := r.load()
	notDurable := errors.Is(err, ErrNotDurable)
	if err != nil && !notDurable {
		return nil, err
	}
	node, nodeErr := consensus.New(r.options.Config, state, r.options.Clock.Now())
	if nodeErr != nil {
		return nil, nodeErr
	}
	r.publishLease(node)
	if notDurable {
		r.savesFailed.Add(1)
		r.isSuspended.Store(true)
		slog.Error("cluster: consensus suspended: persisted state is not durable", "error", err)
		return nil, nil
	}
	return node, nil
}

// load reads the persisted state. With one that is a copy or malformed, the node gets a new identity.
func (r *Runner) load() (*consensus.PersistentState, error) {
	if r.storage == nil {
		return nil, nil
	}
	state, err := r.storage.Load()
	if errors.Is(err, ErrCopy) || errors.Is(err, ErrMalformed) {
		slog.Error("cluster: voter gets a new identity", "error", err)
		return state, nil
	}
	return state, err
}

func (r *Runner) publishLease(node *consensus.Node) {
	lease := node.Lease()
	r.lease.Store(&lease)
}

func (r *Runner) closeStorage() {
	if r.storage != nil {
		r.storage.Close()
	}
}

// Stop ends the loop, waits for it, and closes the storage. It is called once.
func (r *Runner) Stop() {
	close(r.stopping)
	r.running.Wait()
	r.closeStorage()
}

// Effective returns the rules to go by now.
func (r *Runner) Effective() consensus.EffectiveRules {
	return r.Lease().Effective(r.options.Clock.Now())
}

// Lease returns the present lease. It is not to be changed.
func (r *Runner) Lease() *consensus.Lease { return r.lease.Load() }

// IsStorageHealthy says whether the state can be persisted.
func (r *Runner) IsStorageHealthy() bool { return !r.isSuspended.Load() }

// Receive takes a message from another pooler. It never waits.
func (r *Runner) Receive(text []byte) {
	message, err := consensus.DecodeMessage(text)
	if err != nil {
		r.messagesMalformed.Add(1)
		return
	}
	r.enqueue(message)
}

func (r *Runner) enqueue(message consensus.Message) {
	select {
	case r.inbox <- message:
	default:
		r.messagesLost.Add(1)
	}
}

// SetReport sets what this pooler reports of itself with its next lease requests.
func (r *Runner) SetReport(report jobs.Report) {
	select {
	case <-r.reports: // one that the loop has not taken yet is out of date
	default:
	}
	select {
	case r.reports <- report:
	default: // another call came first
	}
}

// Propose proposes rules and waits until they are committed to the log as a version, or rejected.
func (r *Runner) Propose(ctx context.Context, rules consensus.Rules) (version int, err error) {
	if err := rules.Validate(); err != nil {
		return 0, err
	}
	return r.propose(ctx, func(n *consensus.Node, now float64, id uint64) error { return n.Propose(now, id, rules) })
}

// ProposeJobEntry proposes an entry about a job and waits until it is committed, or rejected (*jobs.RejectedError). With a
// change it makes a version of the rules, whose number it returns. After any other error it may still be committed.
func (r *Runner) ProposeJobEntry(ctx context.Context, e jobs.Entry, change consensus.Rules) (version int, err error) {
	if rejected := e.Validate(); rejected != nil {
		return 0, rejected
	}
	return r.propose(ctx, func(n *consensus.Node, now float64, id uint64) error { return n.ProposeJobEntry(now, id, e, change) })
}

// propose has the loop propose something and waits for the result.
func (r *Runner) propose(ctx context.Context, propose func(*consensus.Node, float64, uint64) error) (version int, err error) {
	begun := time.Now()
	c := call{id: rand.Uint64(), propose: propose, reply: make(chan consensus.ProposalResult, 1)}
	select {
	case r.calls <- c:
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.stopping:
		return 0, &consensus.ShutdownError{}
	}
	select {
	case result := <-c.reply:
		return result.VersionNumber, resultError(result)
	case <-ctx.Done():
		r.abandon(c.id)
		return 0, &consensus.NoLeaderError{Waited: time.Since(begun), Err: ctx.Err()}
	case <-r.stopping:
		return 0, &consensus.ShutdownError{MayHaveCommitted: true}
	}
}

// abandon tells the loop that nobody waits for a proposal's result any more.
func (r *Runner) abandon(id uint64) {
	select {
	case r.calls <- call{id: id}:
	case <-r.stopping:
	}
}

func resultError(result consensus.ProposalResult) error {
	if result.Rejected != nil {
		return result.Rejected
	}
	if !result.Accepted {
		return &consensus.RejectedError{Reason: result.Reason}
	}
	return nil
}

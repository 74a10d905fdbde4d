// Package runner runs a consensus node in a process: it persists the node's state, sends and receives its
// messages and passes it the time.
//
// One goroutine, the loop, owns the node and the Storage; nothing else accesses either. The methods of a
// Runner communicate with the loop through channels, or read the lease that it publishes. Stop ends the loop,
// waits for it and then closes the Storage. There is no lock; the loop calls Options.Send, OnChange and
// OnLease, which therefore must not wait for the Runner.
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

// Options configure a Runner.
type Options struct {
	Config consensus.Config
	// Directory is where the state is persisted; "": nowhere, and such a pooler can't vote.
	Directory string
	FS        vfs.FS // nil: the operating system's
	Clock     clock.Clock
	// Send sends a message. It must not block, and drops messages that it can't send.
	Send func(to string, message []byte)
	// OnChange is called whenever the effective rules change; nil: not called.
	OnChange func(consensus.EffectiveRules)
	// OnLease is called for each new lease, and repeatedly while rules are used without one; nil: not called.
	// The testbed uses it.
	OnLease func(remainingMillis float64)
}

// maxInbox is the maximum number of messages that wait for the loop. Further ones are dropped; their senders
// repeat them.
const maxInbox = 1024

// Runner runs one node. Its methods are safe for concurrent use.
type Runner struct {
	options Options
	storage *Storage // nil: nothing is persisted

	inbox    chan consensus.Message
	calls    chan call
	views    chan chan View
	reports  chan jobs.Report // holds only the latest report
	stopping chan struct{}    // closed by Stop
	running  sync.WaitGroup

	// lease is published by the loop once the state that it depends on is persisted
	lease             atomic.Pointer[consensus.Lease]
	messagesLost      atomic.Int64
	messagesMalformed atomic.Int64
	savesFailed       atomic.Int64
	isSuspended       atomic.Bool // the state can't be persisted, so the node does not run
}

// call is a request to the loop: to propose something, or to abandon a proposal.
type call struct {
	id      uint64
	propose func(n *consensus.Node, now float64, id uint64) error // nil: abandon
	reply   chan consensus.ProposalResult                         // buffered, so that the loop never waits
}

// Start starts a node with its persisted state. The caller has to call Stop.
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

// firstNode returns a node with the persisted state, and publishes its lease. It returns nil if the state is
// not durable; until it is, the pooler acts on its limits.
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

// load reads the persisted state. If the state is a copy or malformed, the node gets a new identity.
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

// Effective returns the rules to act on now.
func (r *Runner) Effective() consensus.EffectiveRules {
	return r.Lease().Effective(r.options.Clock.Now())
}

// Lease returns the current lease. Callers must not modify it.
func (r *Runner) Lease() *consensus.Lease { return r.lease.Load() }

// IsStorageHealthy reports whether the state can be persisted.
func (r *Runner) IsStorageHealthy() bool { return !r.isSuspended.Load() }

// Receive queues a message from another pooler. It never blocks.
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

// SetReport sets the report that this pooler sends with its next lease requests.
func (r *Runner) SetReport(report jobs.Report) {
	select {
	case <-r.reports: // discard a report that the loop has not received yet
	default:
	}
	select {
	case r.reports <- report:
	default: // a concurrent call set its report first
	}
}

// Propose proposes rules and waits until they are committed to the log as a version, or rejected.
func (r *Runner) Propose(ctx context.Context, rules consensus.Rules) (version int, err error) {
	if err := rules.Validate(); err != nil {
		return 0, err
	}
	return r.propose(ctx, func(n *consensus.Node, now float64, id uint64) error { return n.Propose(now, id, rules) })
}

// ProposeJobEntry proposes an entry about a job and waits until it is committed, or rejected
// (*jobs.RejectedError). If change is not nil, the entry also creates a version of the rules, whose number is
// returned. After any other error the entry may still be committed.
func (r *Runner) ProposeJobEntry(ctx context.Context, e jobs.Entry, change consensus.Rules) (version int, err error) {
	if rejected := e.Validate(); rejected != nil {
		return 0, rejected
	}
	return r.propose(ctx, func(n *consensus.Node, now float64, id uint64) error { return n.ProposeJobEntry(now, id, e, change) })
}

// propose passes a proposal to the loop and waits for the result.
func (r *Runner) propose(ctx context.Context, propose func(*consensus.Node, float64, uint64) error) (version int, err error) {
	startedAt := time.Now()
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
		return 0, &consensus.NoLeaderError{Waited: time.Since(startedAt), Err: ctx.Err()}
	case <-r.stopping:
		return 0, &consensus.ShutdownError{MayHaveCommitted: true}
	}
}

// abandon tells the loop that a proposal's result is no longer awaited.
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

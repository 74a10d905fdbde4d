package runner

import (
	"log/slog"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
)

const (
	ticksPerElection = 20
	// restartDelay is how long a node whose state can't be persisted stays suspended before a restart is
	// attempted.
	restartDelay = 2 * time.Second
	// overrunReportIntervalMillis is the interval of the reports that rules are used without a lease.
	overrunReportIntervalMillis = 100.0
	// minLeaseRemainingMillis is the lowest remaining time that is reported. A node that never had a lease
	// would report minus infinity.
	minLeaseRemainingMillis = -1e9
)

// loop is the state of the only goroutine that accesses the node and the storage.
type loop struct {
	runner      *Runner
	node        *consensus.Node // nil: suspended, since its state could not be persisted
	suspendedAt time.Time
	waiting     map[uint64]chan consensus.ProposalResult // receivers of results, by the proposal's ID

	notifiedKey    *consensus.EffectiveKey // key of the rules at the last call of OnChange; nil: none yet
	notifiedExpiry float64                 // expiry of the lease at the last call of OnLease
	// nextOverrunReport is the earliest time of the next report of rules that are used without a lease
	nextOverrunReport float64
}

func newLoop(r *Runner, node *consensus.Node) *loop {
	return &loop{runner: r, node: node, waiting: map[uint64]chan consensus.ProposalResult{}}
}

func (l *loop) run() {
	r := l.runner
	ticker := time.NewTicker(clock.Duration(r.options.Config.ElectionTimeoutMillis / ticksPerElection))
	defer ticker.Stop()
	for {
		var now float64
		select {
		case <-r.stopping:
			return
		case <-ticker.C:
			now = r.options.Clock.Now()
			l.tick(now)
		case message := <-r.inbox:
			now = r.options.Clock.Now()
			if l.node != nil {
				l.node.Receive(now, message)
			}
		case c := <-r.calls:
			now = r.options.Clock.Now()
			if l.node == nil {
				l.reject(c)
				continue
			}
			l.handle(c, now)
		case report := <-r.reports:
			now = r.options.Clock.Now()
			if l.node != nil {
				l.node.SetReport(report)
			}
		case reply := <-r.views:
			reply <- l.view()
			continue
		}
		l.processOutput()
		l.notifyChange(now)
		l.notifyLease(now)
	}
}

// tick passes the time to the node, or tries to restart a suspended one.
func (l *loop) tick(now float64) {
	if l.node != nil {
		l.node.Tick(now)
		return
	}
	if time.Since(l.suspendedAt) <= restartDelay {
		return
	}
	if l.node = l.restart(); l.node == nil {
		l.suspendedAt = time.Now()
	}
}

// restart returns a node with the persisted state; nil: the state can't be loaded, or is not durable, yet.
func (l *loop) restart() *consensus.Node {
	state, err := l.runner.load()
	if err != nil {
		return nil
	}
	node, err := consensus.New(l.runner.options.Config, state, l.runner.options.Clock.Now())
	if err != nil {
		slog.Error("cluster: consensus node can't start", "error", err)
		return nil
	}
	slog.Info("cluster: consensus resumed with the persisted state")
	return node
}

// reject answers a call while the node is suspended.
func (l *loop) reject(c call) {
	if c.propose != nil {
		c.reply <- consensus.ProposalResult{Reason: (&consensus.NoStorageError{Pooler: l.runner.options.Config.Name}).Error()}
	}
}

func (l *loop) handle(c call, now float64) {
	if c.propose == nil {
		l.node.Abandon(c.id)
		delete(l.waiting, c.id)
		return
	}
	if err := c.propose(l.node, now, c.id); err != nil {
		c.reply <- consensus.ProposalResult{Reason: err.Error()}
		return
	}
	l.waiting[c.id] = c.reply
}

// processOutput performs the work that the node requests. If the node's state can't be persisted, none of
// that work is done and the node is suspended, as if its process had ended.
func (l *loop) processOutput() {
	if l.node == nil {
		return
	}
	out := l.node.Output()
	if out.Save != nil && !l.save(out.Save) {
		l.node, l.suspendedAt = nil, time.Now()
		l.runner.isSuspended.Store(true)
		return
	}
	l.runner.publishLease(l.node)
	l.send(out.Messages)
	for _, result := range out.Results {
		if reply, ok := l.waiting[result.ID]; ok {
			reply <- result
			delete(l.waiting, result.ID)
		}
	}
	l.runner.isSuspended.Store(false)
}

func (l *loop) save(state *consensus.PersistentState) bool {
	r := l.runner
	if r.storage == nil {
		return true
	}
	startedAt := time.Now()
	err := r.storage.Save(state)
	l.node.RecordSaveDuration(clock.Millis(time.Since(startedAt)))
	if err != nil && r.savesFailed.Add(1) == 1 {
		slog.Error("cluster: consensus suspended: state can't be persisted; acting on the current lease until it expires", "error", err)
	}
	return err == nil
}

func (l *loop) send(messages []consensus.Message) {
	r := l.runner
	for _, message := range messages {
		if message.To == r.options.Config.Name {
			r.enqueue(message)
			continue
		}
		text, err := consensus.EncodeMessage(message)
		if err != nil {
			slog.Error("cluster: consensus message can't be encoded", "error", err)
			continue
		}
		r.options.Send(message.To, text)
	}
}

// notifyChange calls OnChange if the effective rules changed since the last call.
func (l *loop) notifyChange(now float64) {
	if l.runner.options.OnChange == nil {
		return
	}
	lease := l.runner.Lease()
	key := lease.EffectiveKey(now)
	if l.notifiedKey == nil || key != *l.notifiedKey {
		l.notifiedKey = &key
		l.runner.options.OnChange(lease.Effective(now))
	}
}

// notifyLease calls OnLease for a new lease that has not expired already. It also calls OnLease at a fixed
// interval while rules are used without a lease, which is a fault.
func (l *loop) notifyLease(now float64) {
	if l.runner.options.OnLease == nil {
		return
	}
	lease := l.runner.Lease()
	isNew := lease.ExpiresAt != l.notifiedExpiry && now < lease.ExpiresAt
	isOverrun := now >= lease.ExpiresAt && !lease.Expired(now) && now >= l.nextOverrunReport
	if isNew || isOverrun {
		l.notifiedExpiry, l.nextOverrunReport = lease.ExpiresAt, now+overrunReportIntervalMillis
		l.runner.options.OnLease(max(lease.ExpiresAt-now, minLeaseRemainingMillis))
	}
}

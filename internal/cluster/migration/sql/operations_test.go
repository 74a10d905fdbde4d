package sql

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
	"ashstand/testbed/host"
)

// call calls the place's method of a deed.
func (r *rig) call(a migration.Request) (err error) {
	source, target := r.databases.operation(a).currentGroups()
	switch a.Operation {
	case migration.OperationPublish:
		err = r.databases.Publish(r.ctx, a)
	case migration.OperationSubscribe:
		_, err = r.databases.Subscribe(r.ctx, a)
	case migration.OperationCopy:
		_, err = r.databases.Copy(r.ctx, a)
	case migration.OperationTrack:
		_, err = r.databases.Track(r.ctx, a, source, target)
	case migration.OperationCompare:
		_, err = r.databases.Compare(r.ctx, a, source, target)
	case migration.OperationFence:
		_, _, err = r.databases.Fence(r.ctx, a, source)
	case migration.OperationVerify:
		_, err = r.databases.Verify(r.ctx, a, source, target)
	case migration.OperationSwitch:
		err = r.databases.Unfence(r.ctx, a, target)
	case migration.OperationReplicateBack:
		_, err = r.databases.ReplicateBack(r.ctx, a)
	case migration.OperationCleanUp:
		err = r.databases.CleanUp(r.ctx, a)
	case migration.OperationFinish:
		err = r.databases.Finish(r.ctx, a)
	}
	return err
}

var operations = []migration.Operation{
	migration.OperationPublish, migration.OperationSubscribe, migration.OperationCopy, migration.OperationTrack, migration.OperationCompare, migration.OperationFence, migration.OperationVerify,
	migration.OperationSwitch, migration.OperationReplicateBack, migration.OperationFinish, migration.OperationCleanUp,
}

// Each deed is done by an owner; a later one looks for it; then the first one comes late with it, and with all others.
func TestStaleTokenChangesNothing(t *testing.T) {
	for _, end := range []string{migration.ActionAccept, migration.ActionRollback} {
		r := newRig(t, 2, migration.Plan{From: 1, To: 2, FenceWaitMillis: 200, BackoffMillis: 1, MaxAbortedPauses: 10})
		r.db(1).Table("entries", host.Traits{}).Seed(30)
		seen := map[migration.Operation]bool{}
		r.override = r.executeLate(seen)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		r.approve(end)
		r.runUntil("", func(s migration.State) bool { return false })
		require.Equal(t, map[string]migration.Phase{migration.ActionAccept: migration.PhaseCompleted, migration.ActionRollback: migration.PhaseRolledBack}[end], r.state().Phase)
		for _, name := range operations {
			if name != map[string]migration.Operation{migration.ActionAccept: migration.OperationCleanUp, migration.ActionRollback: migration.OperationFinish}[end] {
				require.True(t, seen[name], name)
			}
		}
	}
}

// executeLate does a deed, has a new owner look for it, and lets the one before do it and all others.
func (r *rig) executeLate(seen map[migration.Operation]bool) func() error {
	return func() error {
		a := r.request()
		w := *r.job()
		if !slices.Contains(operations, a.Operation) {
			p, err := r.migrator.Execute(r.ctx, &w, w.Operation)
			if err == nil {
				r.confirm(p)
			}
			return err
		}
		first := !seen[a.Operation]
		if seen[a.Operation] = true; !first {
			p, err := r.migrator.Execute(r.ctx, &w, w.Operation)
			if err == nil {
				r.confirm(p)
			}
			return err
		}
		if _, err := r.migrator.Execute(r.ctx, &w, w.Operation); err != nil { // proven by nobody
			return err
		}
		done := r.recoverOpen()
		can := slices.Contains([]migration.Operation{migration.OperationCopy, migration.OperationCompare, migration.OperationVerify}, a.Operation)
		require.True(r.t, done || can, "%s was done", a.Operation)
		if a.Operation == migration.OperationSwitch || a.Operation == migration.OperationVerify { // the switch raised one place's token, the verification none yet
			return nil
		}
		r.awaitCopies()
		before := r.stored()
		for _, name := range operations {
			if a.Operation == migration.OperationFence && name != a.Operation { // it was looked for at the home alone
				continue
			}
			b := a
			b.Operation = name
			err := r.call(b)
			require.True(r.t, isFenced(err), "%s after %s: %v", name, a.Operation, err)
			require.Equal(r.t, before, r.stored(), "%s after %s", name, a.Operation)
		}
		return nil
	}
}

func isFenced(err error) bool {
	var f *jobs.FencedError
	return errors.As(err, &f)
}

func TestOperationsAreIdempotent(t *testing.T) {
	for _, end := range []string{migration.ActionAccept, migration.ActionRollback} {
		r := newRig(t, 2, plan())
		r.db(1).Table("entries", host.Traits{}).Seed(250)
		w := r.startWriters(3, 100)
		r.override = func() error {
			work := *r.job()
			if _, err := r.migrator.Execute(r.ctx, &work, work.Operation); err != nil {
				return err
			}
			p, err := r.migrator.Execute(r.ctx, &work, work.Operation)
			if err == nil {
				r.confirm(p)
			}
			return err
		}
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		r.approve(end)
		r.runUntil("", func(s migration.State) bool { return false })
		w.stopAll()
		require.Empty(t, r.state().Differences)
		r.requireAcknowledged(w, map[string]migration.Group{migration.ActionAccept: 2, migration.ActionRollback: 1}[end])
	}
}

// Whatever breaks in the middle of whatever deed, the next owner finds out, and the move comes to its end.
func TestInterruptedOperationsRecover(t *testing.T) {
	for seed := range int64(4) {
		r := newRig(t, 2, migration.Plan{From: 1, To: 2, FenceWaitMillis: 200, MaxPauseMillis: 60000, MaxAbortedPauses: 100, BackoffMillis: 1})
		r.db(1).Table("entries", host.Traits{}).Seed(250)
		lots := rand.New(rand.NewPCG(uint64(seed), 7))
		w := r.startWriters(3, 60)
		faults := func(on float64) {
			for _, c := range r.groups {
				for _, h := range c.Hosts() {
					h.SetFaults(host.Faults{CutBefore: 0.01 * on, CutAfter: 0.02 * on, CutAnswer: 0.005 * on})
				}
			}
		}
		cuts, did := 0, 0
		r.override = func() error {
			work := *r.job()
			ctx, cancel := context.WithTimeout(r.ctx, 20*time.Second)
			if lots.IntN(3) == 0 {
				cancel()
				ctx, cancel = context.WithTimeout(r.ctx, time.Duration(lots.IntN(60))*time.Millisecond)
			}
			defer cancel()
			p, err := r.migrator.Execute(ctx, &work, work.Operation)
			if err == nil {
				r.confirm(p)
				return nil
			}
			if cuts++; r.recoverOpen() {
				did++
			}
			return nil
		}
		faults(1)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		require.Empty(t, r.state().Differences)
		r.approve([]string{migration.ActionAccept, migration.ActionRollback}[seed%2])
		r.runUntil("", func(s migration.State) bool { return false })
		faults(0)
		w.stopAll()
		t.Logf("%d deeds cut, %d of them were done; %d rows written, %d refused, %v", cuts, did, len(w.acknowledged), w.rejected, r.state().Notes)
		require.Positive(t, cuts)
		r.requireAcknowledged(w, r.servingGroup())
	}
}

func TestBlockingSessionIsNamedAndEnded(t *testing.T) {
	p := plan()
	p.BlockingSessions, p.FenceWaitMillis = "end", 100
	r := newRig(t, 2, p)
	r.db(1).Table("entries", host.Traits{}).Seed(30)
	r.runUntil(migration.OperationFence, nil)
	c := r.dial(1)
	r.exec(c, "BEGIN")
	r.exec(c, "INSERT INTO entries VALUES ('straggler', '')")
	pid := int(c.PID())
	require.NoError(t, r.execute())
	s := r.state()
	require.Equal(t, migration.PhaseFencing, s.Phase)
	require.Len(t, s.BlockingSessions, 1)
	require.Equal(t, pid, s.BlockingSessions[0].PID)
	require.Equal(t, "web", s.BlockingSessions[0].User)
	r.runToPhase(migration.PhaseSwitched)
	_, _, err := fencing.Exec(r.ctx, c, "COMMIT")
	require.Error(t, err)
	require.Empty(t, r.db(2).History("entries", "straggler"))
}

// A deed whose owner died in its transaction holds the token's row: the host lets it go.
func TestLockOfDeadHolderIsReleased(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(30)
	r.runUntil(migration.OperationFence, nil)
	a := r.request()
	c := r.dial(1)
	require.NoError(t, fencing.SetTimeouts(r.ctx, c, r.databases.operation(a).timeouts()))
	r.exec(c, "BEGIN")
	require.NoError(t, r.databases.Client.RaiseFence(r.ctx, c, "1", tenant, a.Token))
	r.assign()
	b := r.request()
	b.Data.TimeoutMillis = 5000
	began := time.Now()
	closed, _, err := r.databases.Fence(r.ctx, b, 1)
	took := time.Since(began)
	require.NoError(t, err)
	require.NotNil(t, closed)
	require.Greater(t, took, 200*time.Millisecond)
	require.Less(t, took, 300*time.Millisecond+500*time.Millisecond)
}

func TestTenantOfOtherMigrationIsLocked(t *testing.T) {
	r := newRig(t, 3, plan())
	r.runToPhase(migration.PhaseCatchingUp)
	before := r.stored()
	a := r.request()
	a.Job, a.OperationID, a.Operation, a.Token, a.AnnouncedToken, a.Plan.To = "m2", "m2/2", migration.OperationPublish, 100, 100, 3
	var by *migration.TenantLockedError
	require.ErrorAs(t, r.databases.Publish(r.ctx, a), &by)
	require.Equal(t, "m1", by.Job)
	f, err := r.databases.Recover(r.ctx, a)
	require.NoError(t, err)
	require.False(t, f.Done)
	require.Equal(t, before[fmt.Sprint(1, "ashstand.fence")], r.stored()[fmt.Sprint(1, "ashstand.fence")], "the first work's token counts on")
	r.runToPhase(migration.PhaseSwitched)
	r.runUntil("", func(s migration.State) bool { return s.ReverseReplicating && s.Comparison.Complete })
	r.approve(migration.ActionAccept)
	r.runToPhase(migration.PhaseCompleted)
	a.Plan.From = 2
	require.NoError(t, r.databases.Publish(r.ctx, a), "it was given up")
}

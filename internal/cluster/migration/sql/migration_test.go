package sql

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
	"ashstand/testbed/host"
)

func TestMigrationUnderWrites(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(500)
	w := r.startWriters(4, 200)
	r.runToPhase(migration.PhaseVerifying) // fenced; the switch waits here until a write has met the fence
	require.Eventually(t, func() bool { return w.rejections() > 0 }, 5*time.Second, time.Millisecond)
	r.runToPhase(migration.PhaseSwitched)
	r.runUntil("", func(s migration.State) bool { return s.ReverseReplicating && s.Comparison.Complete })
	require.Equal(t, migration.Group(2), r.servingGroup())
	at := w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	r.approve(migration.ActionAccept)
	r.runToPhase(migration.PhaseCompleted)
	w.stopAll()
	require.Positive(t, w.rejected)
	r.requireAcknowledged(w, 2)
	require.Len(t, r.db(2).Dump("entries"), 500+len(insertedKeys(w)))
	// The old home stays fenced, and nothing of the move stands at either home but that.
	_, _, err := fencing.Exec(r.ctx, r.dial(1), "INSERT INTO entries VALUES ('late', '')")
	require.Equal(t, codeTenantNotWriteable, sqlState(err))
	for g := range r.groups {
		c := r.dial(g)
		require.Empty(t, r.exec(c, "SELECT subname FROM pg_subscription"))
		require.Empty(t, r.exec(c, "SELECT slot_name FROM pg_replication_slots"))
		require.Empty(t, r.exec(c, "SELECT pubname FROM pg_publication"))
		require.Empty(t, r.exec(c, "SELECT tgname FROM pg_trigger WHERE tgname LIKE 'z%'"))
	}
}

func TestRollbackAfterSwitchLosesNoCommit(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(300)
	w := r.startWriters(4, 200)
	r.runToPhase(migration.PhaseSwitched)
	at := w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	r.approve(migration.ActionRollback)
	r.runToPhase(migration.PhaseRolledBack)
	require.Equal(t, migration.Group(1), r.servingGroup())
	at = w.count()
	require.Eventually(t, func() bool { return w.count() > at+20 }, 5*time.Second, time.Millisecond)
	w.stopAll()
	r.requireAcknowledged(w, 1)
	require.Empty(t, r.db(2).Dump("entries"))
}

func TestSourceFailover(t *testing.T) {
	for lost := range 2 {
		r := newRig(t, 2, plan())
		r.db(1).Table("entries", host.Traits{}).Seed(300)
		w := r.startWriters(3, 100)
		r.runUntil("", func(s migration.State) bool { return s.Phase == migration.PhaseCatchingUp && s.Comparison.Complete })
		c := r.groups[1]
		c.FailLosing(c.Hosts()[1], 5*lost, 20*time.Millisecond, true)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		require.Equal(t, 1, r.state().Copy.Restarts, "its slot died with the old primary")
		w.stopAll()
		r.requireEqualRows(1, 2)
		if lost == 0 {
			r.requireAcknowledged(w, 2)
		}
	}
}

func TestTargetFailover(t *testing.T) {
	for lost := range 2 {
		r := newRig(t, 2, plan())
		r.db(1).Table("entries", host.Traits{}).Seed(300)
		w := r.startWriters(3, 100)
		r.runUntil("", func(s migration.State) bool { return s.Phase == migration.PhaseCatchingUp && s.Comparison.Complete })
		c := r.groups[2]
		c.FailLosing(c.Hosts()[1], 5*lost, 20*time.Millisecond, true)
		r.runUntil("", func(s migration.State) bool {
			return s.Phase == migration.PhaseSwitched && s.ReverseReplicating && s.Comparison.Complete
		})
		require.Empty(t, r.state().Differences)
		if lost == 1 {
			require.Equal(t, 1, r.state().Copy.Restarts, "what it lost had been passed on")
		}
		w.stopAll()
		r.requireAcknowledged(w, 2)
		r.requireEqualRows(1, 2)
	}
}

// Sequences stand at the new home where they stood, keys of several columns and tables without any come along.
func TestAllKindsOfTables(t *testing.T) {
	r := newRig(t, 2, plan())
	for g := range r.groups {
		c := r.dial(g)
		r.exec(c, "CREATE TABLE pairs (a bigint, b text, v text, PRIMARY KEY (a, b))")
		r.exec(c, "CREATE TABLE bare (v text)")
		r.exec(c, "ALTER TABLE bare REPLICA IDENTITY FULL")
		r.exec(c, "CREATE SEQUENCE used")
		r.exec(c, "CREATE SEQUENCE fresh START WITH 7")
	}
	c := r.dial(1)
	for i := range 250 {
		r.exec(c, fmt.Sprintf("INSERT INTO pairs VALUES (%d, 'k%d', '')", i%7, i))
	}
	r.exec(c, "INSERT INTO bare VALUES ('x'), ('x'), (NULL)")
	r.exec(c, "SELECT setval('used', 41)")
	r.runUntil(migration.OperationPause, nil)
	require.Equal(t, 5, r.state().Comparison.EqualRanges, "three of pairs, one of bare, one of entries")
	r.exec(c, "DELETE FROM pairs WHERE b = 'k9'")
	r.exec(c, "UPDATE bare SET v = 'y' WHERE v IS NULL")
	r.exec(c, "SELECT nextval('used')")
	r.runToPhase(migration.PhaseSwitched)
	to := r.dial(2)
	require.Equal(t, "43", r.exec(to, "SELECT nextval('used')")[0][0])
	require.Equal(t, "7", r.exec(to, "SELECT nextval('fresh')")[0][0])
	require.Equal(t, "249", r.exec(to, "SELECT count(*) FROM pairs")[0][0])
	require.Equal(t, [][]string{{"x"}, {"x"}, {"y"}}, r.exec(to, "SELECT v FROM bare ORDER BY v"))
}

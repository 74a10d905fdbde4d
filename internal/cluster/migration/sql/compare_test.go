package sql

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/migration"
	"ashstand/testbed/host"
)

// A row that was changed by hand at the new home is found, and named by its table and range.
func TestCompareFindsDifferingRow(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(300)
	r.runUntil(migration.OperationCompare, nil)
	r.exec(r.dial(2), "SET session_replication_role = replica")
	c := r.dial(2)
	r.exec(c, "SET session_replication_role = replica")
	r.exec(c, "UPDATE entries SET payload = 'by hand' WHERE ref = 'seed-0000142'")
	require.NoError(t, r.execute())
	s := r.state()
	require.Len(t, s.Differences, 1)
	require.Equal(t, "public.entries", s.Differences[0].Table)
	require.Equal(t, "seed-0000099 to seed-0000199", s.Differences[0].Range)
	require.Contains(t, s.HoldReason, "differs")
	r.approve(migration.ActionResume)
	r.runToPhase(migration.PhaseSwitched)
	require.Equal(t, 1, r.state().Copy.Restarts)
	r.requireEqualRows(1, 2)
}

// A key that was touched is read again in the pause: what differs there is found then.
func TestVerifyReadsTouchedRows(t *testing.T) {
	r := newRig(t, 2, plan())
	r.db(1).Table("entries", host.Traits{}).Seed(300)
	r.runUntil(migration.OperationPause, nil)
	r.exec(r.dial(1), "UPDATE entries SET payload = 'touched' WHERE ref = 'seed-0000142'")
	r.runUntil(migration.OperationVerify, nil)
	c := r.dial(2)
	r.exec(c, "SET session_replication_role = replica")
	r.exec(c, "UPDATE entries SET payload = 'by hand' WHERE ref = 'seed-0000142'")
	require.NoError(t, r.execute())
	s := r.state()
	require.Len(t, s.Differences, 1)
	require.Equal(t, "seed-0000142 to seed-0000142", s.Differences[0].Range)
	require.False(t, s.Pause.Verified)
}

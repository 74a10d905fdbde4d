package pg

import (
	"testing"

	"github.com/stretchr/testify/require"

	lab "ashstand/testbed/host"
)

func sessionMode(l *SessionLimits) { l.Pools[0].Mode = SessionMode }

// In session mode the second transaction ran on the connection of the first, whatever group it named.
func TestKeptConnectionIsLeftForAnotherGroup(t *testing.T) {
	w := startTwoGroups(t, sessionMode)
	s := w.rawConnect()
	for i, text := range []string{insertInto(1, "k1"), insertInto(2, "k2"), insertInto(1, "k3")} {
		s.send(query(text))
		require.Equal(t, "INSERT 0 1 I", s.replies(1))
		w.requireOnly(2-(i+1)%2, []string{"k1", "k2", "k3"}[i])
	}
	s.send(query(insertInto(2, "k4")), query(insertInto(1, "k5"))) // ahead of the answer
	require.Equal(t, "INSERT 0 1 I INSERT 0 1 I", s.replies(2))
	w.requireOnly(2, "k4")
	w.requireOnly(1, "k5")
	s.send(query("/* cluster=x */ SELECT 1"), query("/* c=none */ SELECT 1"), query("SELECT 1"))
	require.Equal(t, "08P01 I 08P01 I =1 SELECT 1 I", s.replies(3))
}

// A sticky session's transaction for another group ran in the group of its connection.
func TestStickySessionRejectsAnotherGroup(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.rawConnect()
	s.send(query("/* c=donate,cluster=2 */ CREATE TEMP TABLE mine (a int)"))
	require.Equal(t, "CREATE TABLE I", s.replies(1))
	s.send(query(insertInto(1, "sticky")), query(insertInto(2, "sticky2")))
	require.Equal(t, "0A000 I INSERT 0 1 I", s.replies(2))
	require.Zero(t, w.cluster.Versions("public", "entries", "sticky")+w.other.Versions("public", "entries", "sticky"))
	w.requireOnly(2, "sticky2")
}

// A committed write behind a read was told as safe to run again, since the read's decision was taken for it.
func TestCommittedWriteBehindAReadIsInDoubt(t *testing.T) {
	for name, mode := range map[string]func(*SessionLimits){"transaction mode": func(*SessionLimits) {}, "session mode": sessionMode} {
		t.Run(name, func(t *testing.T) {
			w := startTwoGroups(t, func(l *SessionLimits) {
				mode(l)
				l.Pools[0].Defaults.SelectsAsRead = true
				l.Pools[0].Defaults.ReadOnly = "donate" // so that the read goes to the primary
			})
			s := w.rawConnect()
			s.send(query("/* c=donate,cluster=2 */ SELECT 1"))
			require.Equal(t, "=1 SELECT 1 I", s.replies(1))
			w.c.SetFaults(lab.Faults{CutAfter: 1})
			s.send(query("/* c=donate,cluster=2 */ SELECT 1"), query(insertInto(2, "doubt")))
			require.Equal(t, "=1 SELECT 1 I 08007 I", s.replies(2))
			w.requireOnly(2, "doubt")
		})
	}
}

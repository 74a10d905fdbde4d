package pg

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/internal/metrics"
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

const (
	listenAtReplica = "/* c=my-library,cluster=1 */ LISTEN news"
	libraryRead     = "/* c=my-library,cluster=1 */ SELECT payload FROM entries WHERE ref = 'own'"
	browseRead      = "/* c=browse,cluster=1 */ SELECT payload FROM entries WHERE ref = 'own'"
)

// keepReplica connects a session that keeps a connection to the replica, after a value was written that the replica has.
func (w *poolerFixture) keepReplica(keep string) *rawSession {
	w.t.Helper()
	w.cluster.Write("own", "old")
	s := w.rawConnect()
	require.Eventually(w.t, func() bool {
		s.send(query(keep))
		s.replies(1)
		onReplica := false
		w.requireOnLoop(func(c *sessionClient) bool {
			onReplica = c.server != nil && c.server.pool.host.name == "b"
			return true
		})
		return onReplica
	}, 5*time.Second, 10*time.Millisecond, "the session is not at the replica")
	return s
}

// Guards against reads on a connection that a session keeps which are served data older than their class or session permits: a session
// that can be moved reads elsewhere, a sticky one is told that nothing ran, and goes on.
func TestKeptConnectionServesNoStaleRead(t *testing.T) {
	const lag = 5 * time.Second
	after := func(w *poolerFixture) string { return fmt.Sprintf("after=%.0f", w.front.clock.Now()) }
	for name, test := range map[string]struct {
		mode   Mode
		keep   string
		read   func(w *poolerFixture) string
		sticky bool
	}{
		"session mode, after": {SessionMode, libraryRead, func(w *poolerFixture) string {
			return strings.Replace(libraryRead, "cluster=1", "cluster=1,"+after(w), 1)
		}, false},
		"session mode, bounded age": {SessionMode, browseRead, func(*poolerFixture) string { return browseRead }, false},
		"sticky, after": {TransactionMode, listenAtReplica, func(w *poolerFixture) string {
			return strings.Replace(libraryRead, "cluster=1", "cluster=1,d=300,"+after(w), 1)
		}, true},
		"sticky, bounded age": {TransactionMode, listenAtReplica, func(*poolerFixture) string {
			return strings.Replace(browseRead, "cluster=1", "cluster=1,d=300", 1)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := startPooler(t, func(l *SessionLimits) { l.Pools[0].Mode = test.mode })
			s := w.keepReplica(test.keep)
			w.b.SetLag(lag)
			w.cluster.Write("own", "new")
			time.Sleep(400 * time.Millisecond) // older than the class of bounded age permits
			read := test.read(w)
			for range 3 {
				s.send(query(read))
				if replies := s.replies(1); test.sticky {
					require.Equal(t, "53300 I", replies)
				} else {
					require.Equal(t, "=new SELECT 1 I", replies)
				}
			}
			if test.sticky { // its state is still there, and a read that may be old is served
				s.send(query("/* c=report,cluster=1 */ SELECT 1"))
				require.Equal(t, "=1 SELECT 1 I", s.replies(1))
				w.requireOnLoop(func(c *sessionClient) bool { return c.pipeline.StickyCause() != "" && c.server.pool.host.name == "b" })
			}
		})
	}
}

// Guards against a write that is sent to the replica at which a session's reads keep a connection: the host can't take it.
func TestWriteBehindAReadOnAKeptConnectionGoesToThePrimary(t *testing.T) {
	for name, write := range map[string][]pgproto3.FrontendMessage{
		"query":       {query(insertInto(1, "kept"))},
		"string":      {query("/* c=donate,cluster=1 */ BEGIN; INSERT INTO entries (ref, payload) VALUES ('kept', '1'); COMMIT")},
		"pipeline":    append(extended(insertInto(1, "kept")), &pgproto3.Sync{}),
		"BEGIN first": {query("/* c=donate,cluster=1 */ BEGIN"), query(insertInto(1, "kept")), query("COMMIT")},
	} {
		t.Run(name, func(t *testing.T) {
			w := startPooler(t, sessionMode)
			s := w.keepReplica(libraryRead)
			s.send(write...)
			readies := 1
			if name == "BEGIN first" {
				readies = 3
			}
			require.NotContains(t, s.replies(readies), "25006")
			require.Equal(t, 1, w.cluster.Versions("public", "entries", "kept"))
		})
	}
}

// Guards against a sticky session at a replica that loses its state by a write that can't run there, or that can't give it up.
func TestStickySessionKeepsItsStateBehindARejectedWrite(t *testing.T) {
	w := startPooler(t, nil)
	counted := metrics.New()
	w.front.CountViolations(counted)
	s := w.keepReplica(listenAtReplica)
	donation := strings.Replace(insertInto(1, "sticky"), "cluster=1", "cluster=1,d=300", 1)
	s.send(query(donation))
	require.Equal(t, "53300 I", s.replies(1))
	s.send(append(extended(donation), &pgproto3.Sync{}, query("/* c=my-library,cluster=1 */ SELECT 1"))...)
	require.Equal(t, "53300 I =1 SELECT 1 I", s.replies(2))
	w.requireOnLoop(func(c *sessionClient) bool { return c.pipeline.StickyCause() != "" })
	s.send(query("SET app.mine TO 1"), query("SHOW app.mine"), query("DISCARD ALL"))
	require.Equal(t, "SET I =1 SHOW I DISCARD ALL I", s.replies(3))
	figures, err := counted.Snapshot()
	require.NoError(t, err)
	require.Empty(t, metrics.Violations(figures), "the Sync behind a rejected pipeline runs nothing")
}

// Guards against reads of sound replicas that are rejected or moved because the position that is known of a replica lags behind its
// real one.
func TestKeptConnectionIsNotLeftWhileReplicasAreSound(t *testing.T) {
	for _, text := range []string{libraryRead, browseRead} {
		w := startPooler(t, sessionMode)
		s := w.keepReplica(text)
		w.front.keptLeft.Store(0) // connections before the session was at the replica
		for range 20 {
			s.send(query(text))
			require.Equal(t, "=old SELECT 1 I", s.replies(1))
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(400 * time.Millisecond) // longer than the class of bounded age permits
		s.send(query(text))
		require.Equal(t, "=old SELECT 1 I", s.replies(1))
		require.Zero(t, w.front.keptLeft.Load())
	}
}

package pg

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	lab "ashstand/testbed/host"
)

const sleepInGroup1 = "/* c=donate,cluster=1 */ SELECT pg_sleep(0.8)"

// sendBehindSleep sends a long query and a write for the other group behind it, and waits until the write is held.
func (w *groupsFixture) sendBehindSleep(ref string) *rawSession {
	s := w.rawConnect()
	s.send(query(sleepInGroup1), query(insertInto(2, ref)))
	w.requireOnLoop(func(c *sessionClient) bool { return c.isHeld() })
	return s
}

// requireOnLoop waits until a condition holds for the only session.
func (w *poolerFixture) requireOnLoop(holds func(*sessionClient) bool) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		out := make(chan bool, 1)
		w.front.onLoop(func() {
			for c := range w.front.clients.all {
				out <- holds(c)
				return
			}
			out <- false
		})
		return <-out
	}, 5*time.Second, time.Millisecond)
}

// A cancel request hit the transaction that waits behind the running one.
func TestCancelHitsOnlyTheRunningTransaction(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.sendBehindSleep("cancelled")
	w.front.onLoop(func() {
		for key := range w.front.clients.byCancelKey {
			w.front.cancel(key)
		}
	})
	require.Equal(t, "57014 I INSERT 0 1 I", s.replies(2))
	w.requireOnly(2, "cancelled")
}

// A transaction that waits behind a running one began after its client had closed.
func TestHeldTransactionEndsWithItsClient(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.sendBehindSleep("gone")
	s.conn.Close()
	const clientEndSeenWithin = 100 * time.Millisecond
	require.Eventually(t, func() bool { return w.front.Stats().Clients == 0 }, clientEndSeenWithin, time.Millisecond)
	time.Sleep(time.Second) // the running one would have ended
	require.Zero(t, w.other.Versions("public", "entries", "gone"))
}

// Terminate behind a held transaction is a close: nothing of it ran.
func TestTerminateBehindAHeldTransaction(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.sendBehindSleep("terminated")
	s.send(&pgproto3.Terminate{})
	require.Eventually(t, func() bool { return w.front.Stats().Clients == 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(time.Second)
	require.Zero(t, w.other.Versions("public", "entries", "terminated"))
}

// A lost connection answered the waiting transaction too; it is routed by itself.
func TestLossOfTheRunningTransactionSparesTheHeldOne(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.rawConnect()
	w.a.SetFaults(lab.Faults{CutAfter: 1})
	s.send(query(insertInto(1, "lost")), query(insertInto(2, "held")))
	require.Equal(t, "08007 I INSERT 0 1 I", s.replies(2))
	w.requireOnly(1, "lost")
	w.requireOnly(2, "held")
}

// At the end of the process a held transaction was told that it may have run.
func TestShutdownTellsAHeldTransactionThatItNeverRan(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.sendBehindSleep("shutdown")
	w.front.Drain()
	w.requireOnLoop(func(c *sessionClient) bool { return c.isHeld() }) // a drain leaves what was sent
	w.front.CloseClients()
	require.Equal(t, "57P01 I", s.replies(1))
	m, err := s.f.Receive()
	require.NoError(t, err)
	require.Equal(t, "57P03", m.(*pgproto3.ErrorResponse).Code)
	time.Sleep(time.Second)
	require.Zero(t, w.other.Versions("public", "entries", "shutdown"))
}

// A host that is listed as draining while a transaction waits for it got it.
func TestHeldTransactionAvoidsADrainingHost(t *testing.T) {
	w := startTwoGroups(t, nil)
	w.updateEndpoints("b") // reads go to the primary
	s := w.rawConnect()
	s.send(query("/* c=my-library,cluster=1 */ SELECT pg_sleep(0.3)"), query("/* c=my-library,cluster=1 */ SELECT 1"))
	w.requireOnLoop(func(c *sessionClient) bool { return c.isHeld() })
	w.updateEndpoints("a")
	require.Equal(t, "= SELECT 1 I =1 SELECT 1 I", s.replies(2))
	require.Zero(t, w.a.Counts.All()["sent_to_draining"])
}

// A read that was sent behind a write of its session was served without the write.
func TestReadSentBehindAWriteSeesIt(t *testing.T) {
	w := startTwoGroups(t, nil)
	w.b.SetLag(400 * time.Millisecond)
	s := w.rawConnect()
	for i, ref := range []string{"w1", "w2", "w3"} {
		s.send(query(insertInto(1, ref)), query("/* c=my-library,cluster=1 */ SELECT payload FROM entries WHERE ref = '"+ref+"'"))
		require.Equal(t, "INSERT 0 1 I =1 SELECT 1 I", s.replies(2), i)
	}
}

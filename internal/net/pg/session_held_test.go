package pg

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// repeat returns the messages of so many rounds.
func repeat(rounds int, messages ...pgproto3.FrontendMessage) (all []pgproto3.FrontendMessage) {
	for range rounds {
		all = append(all, messages...)
	}
	return all
}

// sendAll sends messages on another goroutine, since the pooler reads them only as replies arrive.
func (s *rawSession) sendAll(messages []pgproto3.FrontendMessage) {
	s.t.Helper()
	out := s.encode(messages)
	go func() { _, _ = s.conn.Write(out) }()
}

// sendBehindBlockSleep begins a block with a long query and sends messages behind it that take all of the session's allowance.
func (w *poolerFixture) sendBehindBlockSleep(sleep string, behind ...pgproto3.FrontendMessage) *rawSession {
	s := w.rawConnect()
	s.send(query("/* c=donate,cluster=1 */ BEGIN"))
	require.Equal(w.t, "BEGIN T", s.replies(1))
	s.send(query("SELECT pg_sleep(" + sleep + ")"))
	s.sendAll(repeat(20000, behind...))
	w.requireOnLoop(func(c *sessionClient) bool { return c.input.behindReplies })
	return s
}

// Guards against replies that a session has the pooler expect and that nobody bounds, in bytes held, and against a refusal of what is
// legal: each message that was sent ahead gets its reply.
func TestMessagesSentAheadAreBoundedAndAnswered(t *testing.T) {
	const messages = 20000
	for name, behind := range map[string]pgproto3.FrontendMessage{
		"Sync": &pgproto3.Sync{}, "Query": query("SELECT 1"), "empty Query": query(""),
	} {
		t.Run(name, func(t *testing.T) {
			w := startPooler(t, nil)
			s := w.sendBehindBlockSleep("0.3", behind)
			statuses := slices.DeleteFunc(strings.Fields(s.replies(messages+1)), func(reply string) bool { return reply != "T" })
			require.Len(t, statuses, messages+1)
			require.LessOrEqual(t, w.front.clients.ahead.highest.Load(), int64(maxAheadBytes+1<<10))
			s.send(query("COMMIT"))
			require.Equal(t, "COMMIT I", s.replies(1))
			w.requireOnLoop(func(c *sessionClient) bool { return w.front.clients.ahead.bytes() == 0 })
		})
	}
}

// Guards against a deadlock of a client that is held up and a host that keeps its replies until the Sync that waits behind them.
func TestBatchBeyondTheAllowanceEndsAlthoughTheHostBuffers(t *testing.T) {
	const rows = 3000
	w := startPooler(t, nil)
	s := w.rawConnect()
	var batch []pgproto3.FrontendMessage
	for i := range rows {
		batch = append(batch, extended(fmt.Sprintf("/* c=donate,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('row%d', '1')", i))...)
	}
	s.sendAll(append(batch, &pgproto3.Sync{}))
	require.Equal(t, strings.Repeat("INSERT 0 1 ", rows)+"I", s.replies(1))
	require.LessOrEqual(t, w.front.clients.ahead.highest.Load(), int64(maxAheadBytes+1<<10))
	for _, ref := range []string{"row0", fmt.Sprint("row", rows-1)} {
		require.Equal(t, 1, w.cluster.Versions("public", "entries", ref))
	}
}

// Guards against a deadlock of a client that is held up and a host that skips everything up to the Sync, a Flush included.
func TestBatchBeyondTheAllowanceEndsBehindAnError(t *testing.T) {
	w := startPooler(t, nil)
	s := w.rawConnect()
	var batch []pgproto3.FrontendMessage
	for range 1000 {
		batch = append(batch, extended("SELECT 1")...)
	}
	failing := append(append(slices.Clone(batch), extended("SELECT 1/0")...), batch...)
	s.sendAll(append(failing, &pgproto3.Sync{}, query("SELECT 2")))
	require.Equal(t, strings.Repeat("=1 SELECT 1 ", 1000)+"22012 I =2 SELECT 1 I", s.replies(2))
}

// Guards against a deadlock of COPY: the host answers what is ahead of the COPY data only once these have come.
func TestCopyBehindTheAllowanceEnds(t *testing.T) {
	const rows = 20000
	w := startPooler(t, nil)
	s := w.rawConnect()
	messages := append(repeat(3000, query("SELECT 1")), query("COPY entries (ref, payload) FROM STDIN"))
	for i := range rows {
		messages = append(messages, &pgproto3.CopyData{Data: fmt.Appendf(nil, "copied%d\t1\n", i)})
	}
	s.send(query("/* c=donate,cluster=1 */ BEGIN"))
	s.replies(1)
	s.sendAll(append(messages, &pgproto3.CopyDone{}, query("COMMIT")))
	require.Contains(t, s.replies(3002), fmt.Sprintf("copy COPY %d T COMMIT I", rows))
	require.Equal(t, 1, w.cluster.Versions("public", "entries", fmt.Sprint("copied", rows-1)))
}

// Guards against a client that is held up and whose end, cancel request or shutdown nobody sees.
func TestClientHeldBehindItsRepliesEndsAndIsCancelled(t *testing.T) {
	t.Run("end", func(t *testing.T) {
		w := startPooler(t, nil)
		s := w.sendBehindBlockSleep("5", &pgproto3.Sync{})
		s.conn.Close()
		const clientEndSeenWithin = 100 * time.Millisecond
		require.Eventually(t, func() bool { return w.front.Stats().Clients == 0 }, clientEndSeenWithin, time.Millisecond)
		require.Zero(t, w.front.clients.ahead.bytes())
	})
	t.Run("cancel", func(t *testing.T) {
		w := startPooler(t, nil)
		s := w.sendBehindBlockSleep("5", &pgproto3.Sync{})
		w.front.onLoop(func() {
			for key := range w.front.clients.byCancelKey {
				w.front.cancel(key)
			}
		})
		require.Equal(t, "57014 E", s.replies(1))
	})
	t.Run("shutdown", func(t *testing.T) {
		w := startPooler(t, nil)
		s := w.sendBehindBlockSleep("5", &pgproto3.Sync{})
		w.front.Drain()
		w.front.CloseClients()
		m, err := s.f.Receive()
		require.NoError(t, err)
		require.Equal(t, "57P01", m.(*pgproto3.ErrorResponse).Code, "what is under way may have run")
		_ = s.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = s.f.Receive()
		require.Error(t, err)
		require.NotErrorIs(t, err, io.ErrNoProgress)
	})
}

// Guards against sessions that send much and hold up those that send little: all keep within the bound, and each goes on.
func TestAllSessionsKeepWithinTheBoundOfMessagesSentAhead(t *testing.T) {
	const limit = 256 << 10
	w := startPooler(t, func(l *SessionLimits) { l.MaxBytes, l.Pools[0].Sizes.MaxConnections = limit, 10 })
	var greedy []*rawSession
	for range 6 {
		s := w.rawConnect()
		s.send(query("/* c=donate,cluster=1 */ BEGIN"))
		require.Equal(t, "BEGIN T", s.replies(1))
		s.send(query("SELECT pg_sleep(1)"))
		s.sendAll(repeat(20000, &pgproto3.Sync{}))
		greedy = append(greedy, s)
	}
	require.Eventually(t, func() bool { return w.front.clients.ahead.bytes() >= limit*3/4 }, 5*time.Second, time.Millisecond)
	modest := w.connect("")
	for range 20 {
		require.Equal(t, "1", w.queryValue(modest, "SELECT $1", "1"))
	}
	for _, s := range greedy {
		s.replies(20001)
	}
	require.LessOrEqual(t, w.front.clients.ahead.highest.Load(), int64(limit+7*minAheadBytes))
}

// Guards against portals that a transaction makes up without end, and against counting one that was closed.
func TestMadeUpPortalsAreBounded(t *testing.T) {
	w := startPooler(t, nil)
	s := w.rawConnect()
	s.send(query("/* c=donate,cluster=1 */ BEGIN"), &pgproto3.Parse{Name: "one", Query: "SELECT 1"}, &pgproto3.Sync{})
	s.replies(2)
	var closing []pgproto3.FrontendMessage
	for i := range 2 * maxRetainedBytes / 128 {
		name := fmt.Sprint("portal", i)
		closing = append(closing, &pgproto3.Bind{PreparedStatement: "one", DestinationPortal: name}, &pgproto3.Close{ObjectType: 'P', Name: name})
	}
	s.sendAll(append(closing, &pgproto3.Sync{}))
	require.Equal(t, "T", s.replies(1), "portals that are closed take no room")
	var kept []pgproto3.FrontendMessage
	for i := range 2 * maxRetainedBytes / 128 {
		kept = append(kept, &pgproto3.Bind{PreparedStatement: "one", DestinationPortal: fmt.Sprint("kept", i)})
	}
	s.sendAll(append(kept, &pgproto3.Sync{}))
	require.Equal(t, "53200 E", s.replies(1))
	require.LessOrEqual(t, w.front.clients.retained.highest.Load(), int64(maxRetainedBytes))
	s.send(query("ROLLBACK"))
	require.Equal(t, "ROLLBACK I", s.replies(1))
	w.requireOnLoop(func(c *sessionClient) bool { return w.front.clients.retained.bytes() == 0 })
}

// Guards against savepoints whose number is bounded, but neither their names nor the settings that each remembers; also where the
// savepoints are prepared, or sent ahead.
func TestSavepointsAreBoundedByWhatTheyHold(t *testing.T) {
	set := "SET app.big TO '" + strings.Repeat("v", 40<<10) + "'"
	var resets []pgproto3.FrontendMessage
	for i := range 40 {
		set += fmt.Sprintf(";SET app.n%d TO 1", i)
		resets = append(resets, query(fmt.Sprintf("RESET app.n%d; SAVEPOINT s", i)))
	}
	setting := query(set)
	long := strings.Repeat("s", 30<<10)
	for name, messages := range map[string][]pgproto3.FrontendMessage{
		"long names": {query("SAVEPOINT " + long)},
		"settings":   {query("SET app.small TO 1; SAVEPOINT s"), query("SET app.small TO 2; SAVEPOINT s")},
		"resets":     resets,
		"prepared":   {&pgproto3.Parse{Query: "SAVEPOINT " + long}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}},
	} {
		t.Run(name, func(t *testing.T) {
			w := startPooler(t, nil)
			s := w.rawConnect()
			s.send(query("/* c=donate,cluster=1 */ BEGIN"), setting, query("SAVEPOINT first"))
			s.replies(3)
			s.sendAll(append(repeat(40, messages...), query("ROLLBACK")))
			replies := ""
			for !strings.HasSuffix(replies, "I") {
				replies += " " + s.replies(1)
			}
			require.Contains(t, replies, " 53200 E")
			require.Greater(t, strings.Count(replies, "SAVEPOINT"), 3)
			require.LessOrEqual(t, w.front.clients.retained.highest.Load(), int64(maxRetainedBytes))
			w.requireOnLoop(func(c *sessionClient) bool { return w.front.clients.retained.bytes() == 0 })
		})
	}
}

// Guards against a query string of very many statements, each of which costs many times its length.
func TestStatementsOfAQueryStringAreBounded(t *testing.T) {
	w := startPooler(t, nil)
	s := w.rawConnect()
	s.send(query("SELECT 1" + strings.Repeat(";SELECT 1", 17000)))
	require.Equal(t, "54000 I", s.replies(1))
	s.send(query("SELECT 1" + strings.Repeat(";SELECT 1", 999)))
	require.Equal(t, 1000, strings.Count(s.replies(1), "SELECT 1"))
}

package pg

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	lab "ashstand/testbed/host"
)

// groupsFixture is a front with two groups and no assignments: a comment's cluster names the group.
type groupsFixture struct {
	*poolerFixture
	other *lab.Cluster
	c     *lab.Host // the primary of group 2
}

func startTwoGroups(t testing.TB, change func(l *SessionLimits)) *groupsFixture {
	w := &groupsFixture{poolerFixture: startPooler(t, change), other: lab.NewCluster(2, 2)}
	var err error
	w.c, err = w.other.Add("c", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(w.c.Stop)
	w.front.SetAddress("c", w.c.Address)
	w.dispatcher.UpdateEndpoints(false, []dispatch.Endpoint{{Host: "c", Group: 2, Primary: true}})
	return w
}

// rawSession is a session whose client decides which messages are sent in one write.
type rawSession struct {
	t    testing.TB
	conn net.Conn
	f    *pgproto3.Frontend
}

func (w *poolerFixture) rawConnect() *rawSession {
	c, err := net.Dial("tcp", w.address)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	_, err = c.Write(startupMessage("web", "orders"))
	require.NoError(w.t, err)
	s := &rawSession{t: w.t, conn: c, f: pgproto3.NewFrontend(c, io.Discard)}
	s.replies(1)
	return s
}

// send sends messages in one write.
func (s *rawSession) send(messages ...pgproto3.FrontendMessage) {
	s.t.Helper()
	_, err := s.conn.Write(s.encode(messages))
	require.NoError(s.t, err)
}

// encode returns the bytes of messages.
func (s *rawSession) encode(messages []pgproto3.FrontendMessage) (out []byte) {
	s.t.Helper()
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		require.NoError(s.t, err)
	}
	return out
}

// replies reads up to the ReadyForQuery of the given number, and returns command tags, values, SQLSTATEs and statuses.
func (s *rawSession) replies(readies int) string {
	s.t.Helper()
	var out []string
	_ = s.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for readies > 0 {
		m, err := s.f.Receive()
		require.NoError(s.t, err, "after %v", out)
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			out = append(out, string(m.CommandTag))
		case *pgproto3.DataRow:
			out = append(out, "="+string(m.Values[0]))
		case *pgproto3.ErrorResponse:
			out = append(out, m.Code)
		case *pgproto3.CopyInResponse:
			out = append(out, "copy")
		case *pgproto3.ReadyForQuery:
			out = append(out, string(m.TxStatus))
			readies--
		}
	}
	return strings.Join(out, " ")
}

func query(text string) *pgproto3.Query { return &pgproto3.Query{String: text} }

func insertInto(group int, ref string) string {
	return fmt.Sprintf("/* c=donate,cluster=%d */ INSERT INTO entries (ref, payload) VALUES ('%s', '%d')", group, ref, group)
}

// extended returns the messages that run a statement through the extended protocol, without a Sync.
func extended(text string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, &pgproto3.Execute{}}
}

// requireOnly requires that a row exists once in its group, and not in the other one.
func (w *groupsFixture) requireOnly(group int, ref string) {
	w.t.Helper()
	versions := map[int]int{1: w.cluster.Versions("public", "entries", ref), 2: w.other.Versions("public", "entries", ref)}
	require.Equal(w.t, map[int]int{group: 1, 3 - group: 0}, versions, ref)
}

// A transaction that a client sent before the answer to the one before ran on that one's host, in another group.
func TestTransactionSentAheadIsRoutedByItself(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.rawConnect()
	s.send(query(insertInto(1, "q1")), query(insertInto(2, "q2")), query(insertInto(1, "q3")), query(insertInto(2, "q4")))
	require.Equal(t, "INSERT 0 1 I INSERT 0 1 I INSERT 0 1 I INSERT 0 1 I", s.replies(4))
	var all []pgproto3.FrontendMessage
	for i := range 4 {
		all = append(append(all, extended(insertInto(i%2+1, fmt.Sprintf("e%d", i+1)))...), &pgproto3.Sync{})
	}
	s.send(all...)
	require.Equal(t, "INSERT 0 1 I INSERT 0 1 I INSERT 0 1 I INSERT 0 1 I", s.replies(4))
	for i := 1; i <= 4; i++ {
		w.requireOnly(2-i%2, fmt.Sprintf("q%d", i))
		w.requireOnly(2-i%2, fmt.Sprintf("e%d", i))
	}
}

// A transaction begins where nothing announces one: each of these ran on the host of the transaction before.
func TestTransactionBehindAnEndedBlockIsRoutedByItself(t *testing.T) {
	begin := "/* c=donate,cluster=1 */ BEGIN"
	pipeline := func(texts ...string) (out []pgproto3.FrontendMessage) {
		for _, text := range texts {
			out = append(out, extended(text)...)
		}
		return out
	}
	for name, c := range map[string]struct {
		ahead   []pgproto3.FrontendMessage
		readies int
		want    string
		inOne   int // how many rows with the reference "one" are to stand in group 1
	}{
		"BEGIN fails": {
			[]pgproto3.FrontendMessage{query("/* c=donate,cluster=1 */ BEGIN; SELECT 1/0"), query("ROLLBACK"), query(insertInto(2, "two"))},
			3,
			"BEGIN 22012 E ROLLBACK I INSERT 0 1 I", 0,
		},
		"COMMIT in the middle": {
			[]pgproto3.FrontendMessage{query(begin), query(insertInto(1, "one")), query("COMMIT"), query(insertInto(2, "two"))},
			4,
			"BEGIN T INSERT 0 1 T COMMIT I INSERT 0 1 I", 1,
		},
		"ROLLBACK in the middle": {
			[]pgproto3.FrontendMessage{query(begin), query(insertInto(1, "one")), query("ROLLBACK"), query(insertInto(2, "two"))},
			4,
			"BEGIN T INSERT 0 1 T ROLLBACK I INSERT 0 1 I", 0,
		},
		"a block in one string": {
			[]pgproto3.FrontendMessage{query(begin + "; INSERT INTO entries (ref, payload) VALUES ('one', '1'); COMMIT"), query(insertInto(2, "two"))},
			2,
			"BEGIN INSERT 0 1 COMMIT I INSERT 0 1 I", 1,
		},
		"a savepoint": {
			[]pgproto3.FrontendMessage{query(begin), query("SAVEPOINT s"), query(insertInto(1, "one")), query("ROLLBACK TO s"), query("COMMIT"), query(insertInto(2, "two"))},
			6,
			"BEGIN T SAVEPOINT T INSERT 0 1 T ROLLBACK T COMMIT I INSERT 0 1 I", 0,
		},
		"an error that skips to Sync": {
			append(append(pipeline(insertInto(1, "one"), "SELECT 1/0", insertInto(1, "one")), &pgproto3.Sync{}), append(pipeline(insertInto(2, "two")), &pgproto3.Sync{})...), 2,
			"INSERT 0 1 22012 I INSERT 0 1 I", 0,
		},
		"COMMIT in a pipeline without a Sync behind it": {
			append(pipeline(begin, insertInto(1, "one"), "COMMIT", insertInto(2, "two")), &pgproto3.Sync{}), 1,
			"BEGIN INSERT 0 1 COMMIT INSERT 0 1 I", 1,
		},
		"an error before such a COMMIT": {
			append(append(pipeline(begin, "SELECT 1/0", "COMMIT", insertInto(2, "none")), &pgproto3.Sync{}), query("ROLLBACK"), query(insertInto(2, "two"))), 3,
			"BEGIN 22012 E ROLLBACK I INSERT 0 1 I", 0,
		},
		"a Flush and no Sync": {
			append(append(pipeline(insertInto(1, "one")), &pgproto3.Flush{}, &pgproto3.Sync{}), query(insertInto(2, "two"))), 2,
			"INSERT 0 1 I INSERT 0 1 I", 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := startTwoGroups(t, nil)
			s := w.rawConnect()
			s.send(c.ahead...)
			require.Equal(t, c.want, s.replies(c.readies))
			w.requireOnly(2, "two")
			require.Equal(t, c.inOne, w.cluster.Versions("public", "entries", "one"))
			require.Zero(t, w.other.Versions("public", "entries", "none"))
		})
	}
}

// COPY data that was sent before the host asked for it, and the Sync behind it, left the session out of step.
func TestCopyDataSentAheadIsFollowedByAnotherGroup(t *testing.T) {
	w := startTwoGroups(t, nil)
	s := w.rawConnect()
	copyIn := "/* c=donate,cluster=1 */ COPY entries (ref, payload) FROM STDIN"
	data := func(ref string) *pgproto3.CopyData { return &pgproto3.CopyData{Data: []byte(ref + "\t1\n")} }
	s.send(query(copyIn), data("copy1"), &pgproto3.CopyDone{}, query(insertInto(2, "behind1")))
	require.Equal(t, "copy COPY 1 I INSERT 0 1 I", s.replies(2))
	s.send(append(extended(copyIn), data("copy2"), &pgproto3.CopyDone{}, &pgproto3.Sync{}, query(insertInto(2, "behind2")))...)
	require.Equal(t, "copy COPY 1 I INSERT 0 1 I", s.replies(2))
	for _, ref := range []string{"copy1", "copy2"} {
		w.requireOnly(1, ref)
	}
	for _, ref := range []string{"behind1", "behind2"} {
		w.requireOnly(2, ref)
	}
}

// BenchmarkTransactionsSentAhead measures a statement of a client that sends many single transactions in one go.
func BenchmarkTransactionsSentAhead(b *testing.B) {
	const ahead = 50
	w := startTwoGroups(b, nil)
	s := w.rawConnect()
	var one, block []pgproto3.FrontendMessage
	for range ahead {
		one = append(append(one, extended("SELECT 1")...), &pgproto3.Sync{})
	}
	block = append(block, query("BEGIN"))
	for range ahead - 2 {
		block = append(block, query("SELECT 1"))
	}
	block = append(block, query("COMMIT"))
	for name, messages := range map[string][]pgproto3.FrontendMessage{"single": one, "block": block} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s.send(messages...)
				s.replies(ahead)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*ahead), "ns/statement")
		})
	}
}

// BenchmarkHonestSessions measures a statement of a session that sends so many ahead, in a block or in a pipeline.
func BenchmarkHonestSessions(b *testing.B) {
	for _, mode := range []Mode{TransactionMode, SessionMode} {
		w := startPooler(b, func(l *SessionLimits) { l.Pools[0].Mode = mode })
		for _, ahead := range []int{1, 16, 256} {
			block, pipeline := []pgproto3.FrontendMessage{query("BEGIN")}, []pgproto3.FrontendMessage{}
			for range ahead {
				block, pipeline = append(block, query("SELECT 1")), append(pipeline, extended("SELECT 1")...)
			}
			block, pipeline = append(block, query("COMMIT")), append(pipeline, &pgproto3.Sync{})
			for name, messages := range map[string][]pgproto3.FrontendMessage{"block": block, "pipeline": pipeline} {
				b.Run(fmt.Sprintf("%s/%s/%d", mode, name, ahead), func(b *testing.B) {
					s := w.rawConnect()
					defer s.conn.Close()
					readies := 1
					if name == "block" {
						readies = len(messages)
					}
					for b.Loop() {
						s.send(messages...)
						s.replies(readies)
					}
					b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*ahead), "ns/statement")
				})
			}
		}
	}
}

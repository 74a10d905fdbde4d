package pg

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/internal/sqlcomment"
)

// lateAnswer is one call of a pool's OnLateAnswer callback.
type lateAnswer struct {
	host  string
	sent  float64
	write bool
	dispatch.Outcome
}

func (r *poolFixture) recordLateAnswers() chan lateAnswer {
	lateAnswers := make(chan lateAnswer, 4)
	r.lateAnswerWindow = 30 * time.Second
	r.OnLateAnswer(func(host string, sent float64, write bool, o dispatch.Outcome) {
		lateAnswers <- lateAnswer{host, sent, write, o}
	})
	return lateAnswers
}

// receiveLateAnswer waits for the next late answer.
func receiveLateAnswer(t *testing.T, lateAnswers chan lateAnswer) lateAnswer {
	select {
	case h := <-lateAnswers:
		return h
	case <-time.After(10 * time.Second):
		t.Fatal("no late answer was reported")
		return lateAnswer{}
	}
}

// blockLoop blocks the event loop until the returned function is called. When blockLoop returns, the loop is blocked.
func (r *poolFixture) blockLoop(t *testing.T, l gnet.EventLoop) (resume func()) {
	held, release := make(chan struct{}), make(chan struct{})
	require.NoError(t, l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		close(held)
		<-release
		return nil
	})))
	<-held
	return func() { close(release) }
}

func (r *poolFixture) mustAcquire(t *testing.T) *conn {
	c, err := r.acquire(context.Background(), "h")
	require.NoError(t, err)
	return c
}

func parsedPlainQuery(t *testing.T) *sqlcomment.Statement {
	s, err := sqlcomment.Parse(plainQuery)
	require.NoError(t, err)
	return &s
}

// sendReplicaAnswer sends the answer of a replica at this log position.
func sendReplicaAnswer(b *pgproto3.Backend, position string) {
	b.Send(&pgproto3.ParameterStatus{Name: Platform.Role, Value: Platform.Replica})
	b.Send(&pgproto3.ParameterStatus{Name: Platform.Position, Value: position})
	b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("payload"), DataTypeOID: 17, Format: 1}}})
	b.Send(&pgproto3.DataRow{Values: [][]byte{{1}}})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	_ = b.Flush()
}

const plainQuery = "/* id=1,c=a,d=900,cluster=1 */ SELECT payload"

// A host that hung comes back as a replica and answers a request at the moment at which the pooler cancels it.
// No client gets the answer, but it must be reported as a late answer, so that the role and
// the log position in it are known.
func TestLateAnswerAfterCancellationIsReported(t *testing.T) {
	queryReceived, ended := make(chan struct{}), make(chan struct{})
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		completeHandshake(b)
		_, _ = b.Receive()
		close(queryReceived)
		_, _ = b.Receive() // the pooler shuts down its sending direction: the attempt is canceled
		close(ended)
		sendReplicaAnswer(b, "999999999000")
	})
	lateAnswers := r.recordLateAnswers()
	ctx, cancelAttempt := context.WithCancel(context.Background())
	codes := make(chan dispatch.Code, 1)
	c := r.mustAcquire(t)
	go func() { codes <- c.Exchange(ctx, parsedPlainQuery(t), open).Code }()
	<-queryReceived
	cancelAttempt()
	require.Equal(t, dispatch.Cancelled, <-codes)
	<-ended
	require.Equal(t, lateAnswer{"h", 1e12, false, dispatch.Outcome{Code: dispatch.OK, Execution: dispatch.Ran, Role: dispatch.Replica, Position: 999999999000}}, receiveLateAnswer(t, lateAnswers))
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 0 }, 10*time.Second, time.Millisecond)
}

// Like the test above, but the answer is already in the kernel's buffer while the loop is busy, and the attempt
// is canceled before the loop reads it.
func TestUnreadAnswerAtCancellationIsReported(t *testing.T) {
	queryReceived, answer, answered := make(chan struct{}), make(chan struct{}), make(chan struct{})
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		completeHandshake(b)
		_, _ = b.Receive()
		close(queryReceived)
		<-answer
		sendReplicaAnswer(b, "999999999000")
		close(answered)
		_, _ = b.Receive()
	})
	lateAnswers := r.recordLateAnswers()
	ctx, cancelAttempt := context.WithCancel(context.Background())
	codes := make(chan dispatch.Code, 1)
	c := r.mustAcquire(t)
	go func() { codes <- c.Exchange(ctx, parsedPlainQuery(t), open).Code }()
	<-queryReceived
	resume := r.blockLoop(t, c.gnetConn.EventLoop())
	close(answer)
	<-answered
	cancelAttempt()
	require.Equal(t, dispatch.Cancelled, <-codes)
	resume()
	require.Equal(t, dispatch.Replica, receiveLateAnswer(t, lateAnswers).Role)
}

// If the answer comes before the cancellation, it is the reply of its attempt and is not reported as late.
func TestAnswerBeforeCancellationIsServed(t *testing.T) {
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		completeHandshake(b)
		_, _ = b.Receive()
		sendReplicaAnswer(b, "999999999000")
		_, _ = b.Receive()
	})
	lateAnswers := r.recordLateAnswers()
	ctx, cancelAttempt := context.WithCancel(context.Background())
	reply := r.mustAcquire(t).Exchange(ctx, parsedPlainQuery(t), open)
	cancelAttempt()
	require.Equal(t, dispatch.OK, reply.Code)
	require.Equal(t, dispatch.Replica, reply.Role)
	require.Empty(t, lateAnswers)
	require.Len(t, r.hosts["h"].idle, 1)
}

// The connection of a canceled attempt must not wait for a late answer if the pool has no other free connection
// slot.
func TestCanceledConnectionFreesItsSlotUnderPressure(t *testing.T) {
	queryReceived := make(chan struct{})
	r := start(t, func(c net.Conn, b *pgproto3.Backend) {
		completeHandshake(b)
		_, _ = b.Receive()
		close(queryReceived)
		_, _ = b.Receive()
	})
	lateAnswers := r.recordLateAnswers()
	r.SetLimits(PoolLimits{Connections: 1, ConnectTimeout: 300 * time.Millisecond, IdleTimeout: 15 * time.Second})
	ctx, cancelAttempt := context.WithCancel(context.Background())
	go func() { <-queryReceived; cancelAttempt() }()
	require.Equal(t, dispatch.Cancelled, r.mustAcquire(t).Exchange(ctx, parsedPlainQuery(t), open).Code)
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 0 }, 10*time.Second, time.Millisecond)
	require.Empty(t, lateAnswers)
}

// The gate checks the age of the data, drains and disconnected clients at the moment of the write. A loop that
// was busy after a write was queued must not send it if the gate has closed since.
func TestGateIsCheckedOnTheLoopAtTheWrite(t *testing.T) {
	for _, probe := range []bool{false, true} {
		var received atomic.Int32
		r := start(t, func(c net.Conn, b *pgproto3.Backend) {
			completeHandshake(b)
			for {
				if _, err := b.Receive(); err != nil {
					return
				}
				received.Add(1)
				sendReplicaAnswer(b, "1")
			}
		})
		c := r.mustAcquire(t)
		l := c.gnetConn.EventLoop()
		c.release()
		resume := r.blockLoop(t, l)
		var gateCalls atomic.Int32
		var gateClosed atomic.Bool
		codes := make(chan dispatch.Code, 1)
		if probe {
			go func() {
				codes <- r.Probe(context.Background(), "h", func(string) bool { gateCalls.Add(1); return !gateClosed.Load() }).Code
			}()
		} else {
			go func() {
				codes <- r.exchange(t, func() (float64, bool) { gateCalls.Add(1); return 500, !gateClosed.Load() }).Code
			}()
		}
		// The exchange now waits for the loop, and the connection is out of the pool.
		require.Eventually(t, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.pending != nil
		}, 10*time.Second, time.Millisecond)
		before := gateCalls.Load()
		gateClosed.Store(true)
		resume()
		require.Equal(t, dispatch.NotSent, <-codes)
		require.Greater(t, gateCalls.Load(), before)
		require.Zero(t, received.Load())
		require.Len(t, r.hosts["h"].idle, 1, "the connection is idle again")
	}
}

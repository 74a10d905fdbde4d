package pg

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/sqlcomment"
)

// Checks what each outcome of an exchange proves about whether the statement ran. Only an error that is the
// whole answer, and that matches the kind of statement, proves that nothing ran. An error after a part of a
// result proves that it ran.
func TestExecutionProvenByEachOutcome(t *testing.T) {
	const read, write = "/* id=1,c=a,d=900,cluster=1 */ SELECT payload", "/* id=1,c=a,d=900,cluster=1 */ INSERT"
	described := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("payload"), DataTypeOID: 17, Format: 1}}}
	row := &pgproto3.DataRow{Values: [][]byte{{1}}}
	completed := &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}
	failed := func(state string) pgproto3.BackendMessage {
		return &pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: "no"}
	}
	fatal := func(state string) pgproto3.BackendMessage {
		return &pgproto3.ErrorResponse{Severity: "FATAL", Code: state, Message: "no"}
	}
	type messages = []pgproto3.BackendMessage
	for _, testCase := range []struct {
		name      string
		text      string
		replies   messages
		code      dispatch.Code
		execution dispatch.Execution
	}{
		{"served", read, messages{described, row, completed}, dispatch.OK, dispatch.Ran},
		{"53300", write, messages{failed("53300")}, dispatch.Rejected, dispatch.RejectedUnexecuted},
		{"FATAL 53300, as its connection ends", write, messages{fatal("53300")}, dispatch.Rejected, dispatch.RejectedUnexecuted},
		{"25006 to a write", write, messages{failed("25006")}, dispatch.Misdirected, dispatch.RejectedUnexecuted},
		{"25006 to a read", read, messages{failed("25006")}, dispatch.Misdirected, dispatch.MayHaveRun},
		{"72000 to a read", read, messages{failed("72000")}, dispatch.Misdirected, dispatch.RejectedUnexecuted},
		{"72000 to a write", write, messages{failed("72000")}, dispatch.Misdirected, dispatch.MayHaveRun},
		{"XX000", write, messages{failed("XX000")}, dispatch.ServerError, dispatch.MayHaveRun},
		{"a description, then 53300", write, messages{described, failed("53300")}, dispatch.ServerError, dispatch.Ran},
		{"a row, then 53300", write, messages{described, row, failed("53300")}, dispatch.ServerError, dispatch.Ran},
		{"a row, then 25006", write, messages{described, row, failed("25006")}, dispatch.ServerError, dispatch.Ran},
		{"a row, then 72000", read, messages{described, row, failed("72000")}, dispatch.ServerError, dispatch.Ran},
		{"all of it, then 53300", write, messages{described, row, completed, failed("53300")}, dispatch.ServerError, dispatch.Ran},
		{"all of it, then FATAL 53300", write, messages{described, row, completed, fatal("53300")}, dispatch.ServerError, dispatch.Ran},
		{"no row", write, messages{completed}, dispatch.Malformed, dispatch.Ran},
		{"reset", write, nil, dispatch.ConnectionLost, dispatch.MayHaveRun},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			r := start(t, func(c net.Conn, b *pgproto3.Backend) {
				completeHandshake(b)
				_, _ = b.Receive()
				for _, m := range testCase.replies {
					b.Send(m)
				}
				if len(testCase.replies) > 0 && testCase.code != dispatch.ConnectionLost {
					b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				}
				if b.Flush() != nil || len(testCase.replies) == 0 {
					c.Close()
					return
				}
				_, _ = b.Receive()
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c, err := r.Acquire(ctx, "h")
			require.NoError(t, err)
			statement, err := sqlcomment.Parse(testCase.text)
			require.NoError(t, err)
			statement.IsWrite = testCase.text == write
			reply := c.Exchange(ctx, &statement, open)
			require.Equal(t, testCase.code.String(), reply.Code.String())
			require.Equal(t, testCase.execution.String(), reply.Execution.String())
		})
	}
}

// A request that is abandoned before the event loop has written it was never begun, whatever happens later.
func TestRequestAbandonedBeforeWriteIsNotBegun(t *testing.T) {
	r := start(t, answerQueries)
	ctx, abandon := context.WithCancel(context.Background())
	c, err := r.Acquire(ctx, "h")
	require.NoError(t, err)
	loopBlocked, releaseLoop := make(chan struct{}), make(chan struct{})
	require.NoError(t, c.(*conn).gnetConn.EventLoop().Execute(ctx, gnet.RunnableFunc(func(context.Context) error {
		close(loopBlocked)
		<-releaseLoop
		return nil
	})))
	<-loopBlocked
	gateCalls := make(chan struct{}, 1)
	replies := make(chan edge.Reply, 1)
	statement := parsedPlainQuery(t)
	go func() {
		replies <- c.Exchange(ctx, statement, func() (float64, bool) {
			gateCalls <- struct{}{}
			return 500, true
		})
	}()
	require.Eventually(t, func() bool {
		o := c.(*conn)
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.pending != nil
	}, 10*time.Second, time.Millisecond)
	abandon()
	reply := <-replies
	require.Equal(t, dispatch.NotSent.String(), reply.Code.String())
	require.Equal(t, dispatch.NotBegun.String(), reply.Execution.String())
	close(releaseLoop)
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.openConns == 0 }, 10*time.Second, time.Millisecond)
	require.Empty(t, gateCalls, "the gate was called for an abandoned request")
}

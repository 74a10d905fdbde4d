package pg

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"ashstand/internal/edge"
	"ashstand/internal/sqlcomment"
)

// The end of a client whose commands are read ahead and rejected is heard as soon as that of any other, however much it sent.
func TestTheEndOfAClientThatPipelinesMuchIsHeard(t *testing.T) {
	d, _ := listenGated(t, FrontLimits{Clients: 16, Bytes: 8 << 20, RetryAfterMillis: 300})
	c, written := d.sendAhead(t, "a", 400, 16<<10) // more than the windows of both sides hold
	<-written
	d.busy(t, 1)
	c.Close()
	closed := time.Now()
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.requestInFlight }) == 0 }, 10*time.Second, time.Millisecond)
	require.Less(t, time.Since(closed), 100*time.Millisecond)
}

// A client that pipelines sends a cancel request, and a goodbye: both are heard behind what is rejected.
func TestAGoodbyeBehindMuchIsHeard(t *testing.T) {
	d, _ := listenGated(t, FrontLimits{Clients: 16, Bytes: 8 << 20, RetryAfterMillis: 300})
	c, written := d.sendAhead(t, "a", 200, 4<<10)
	<-written
	d.busy(t, 1)
	_, err := c.Write([]byte{'X', 0, 0, 0, 4})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.requestInFlight }) == 0 }, 10*time.Second, time.Millisecond)
}

// At the end of the process, what is rejected for its amount is answered too, and nothing else is.
func TestAtTheEndAPipelineGetsEveryAnswer(t *testing.T) {
	const requests = 150
	d, _ := listenGated(t, FrontLimits{Clients: 16, Bytes: 8 << 20, RetryAfterMillis: 300})
	c, written := d.sendAhead(t, "a", requests, 4<<10)
	<-written
	require.Eventually(t, func() bool {
		return d.count(func(h *client) bool { return h.requestInFlight && h.queue.commands() == requests-1 }) == 1
	}, 10*time.Second, time.Millisecond, "all of them have come")
	d.Drain()
	d.Cut()
	answers := answersOf(t, c, requests)
	require.Len(t, answers, requests)
	require.Equal(t, "ERROR 57P01", answers[0], "it may have run")
	for _, a := range answers[1 : requests-1] {
		require.Contains(t, []string{"ERROR 57P03", "ERROR 53300"}, a)
	}
	require.Equal(t, "FATAL 57P03", answers[requests-1])
}

// A client that reads late gets all its short answers: it is waited for, within a bound, and not cut off.
func TestShortAnswersWaitForAClientThatReadsLate(t *testing.T) {
	const commands = 400_000
	d := listen(t, FrontLimits{Clients: 16, Bytes: 8 << 20, RetryAfterMillis: 300})
	c := d.call(t, "")
	require.Equal(t, []string{"empty"}, errorsOf(t, c, 1))
	_ = c.(*net.TCPConn).SetReadBuffer(128 << 10)
	d.onLoop(t, func(_ *client, g gnet.Conn) { require.NoError(t, g.SetWriteBuffer(128<<10)) })
	sync := appendMessage(nil, 'S', func(b []byte) []byte { return b })
	written := make(chan error, 1)
	go func() {
		b := make([]byte, 0, commands*len(sync))
		for range commands {
			b = append(b, sync...)
		}
		_, err := c.Write(b)
		written <- err
	}()
	require.Eventually(t, func() bool {
		held := false
		d.on(func() {
			for _, g := range d.clients {
				held = held || g.OutboundBuffered() > 0
			}
		})
		return held
	}, 10*time.Second, time.Millisecond)
	got := make([]byte, 6*commands)
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.NoError(t, <-written)
	require.LessOrEqual(t, d.count(func(*client) bool { return true }), 1)
}

// At the end of the process a client has been answered, but has not taken its answer yet: that is its request's final answer, whole,
// and the request behind it, which never ran, is rejected. Told twice, it would take the second for the answer to the next.
func TestAtTheEndAnAnswerThatWaitsForItsReaderIsTheOnlyOne(t *testing.T) {
	d := listen(t, FrontLimits{Clients: 16, Bytes: 8 << 20})
	c := d.call(t, "")
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.hasRequested }) == 1 }, 10*time.Second, time.Millisecond)
	_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
	d.onLoop(t, func(h *client, g gnet.Conn) {
		require.NoError(t, g.SetWriteBuffer(16<<10))
		h.requestInFlight, h.cancelRequest = true, func() {}
		require.True(t, h.queue.push(Command{Kind: Query, Text: report("b")}, 1<<20))
		statement := sqlcomment.Statement{ID: "a", TimeoutMillis: 1000}
		require.Nil(t, d.edge.Begin(&statement))
		result := edge.Result{Verdict: edge.Served, Answer: edge.Answer{Value: make([]byte, 8<<20)}}
		h.answer(g, &statement, &result, EncodeResult(&result), d.clock.Now())
		require.Positive(t, g.OutboundBuffered())
	})
	d.Cut()
	require.Equal(t, []string{"", "served", "FATAL 57P03"}, answersOf(t, c, 3), "the first was an empty query")
	require.Empty(t, d.violations(t))
}

// commands is how many commands wait.
func (q *commandQueue) commands() (n int) {
	for _, r := range q.runs {
		n += r.count
	}
	return n
}

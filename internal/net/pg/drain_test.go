package pg

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is read is taken. At shutdown a connection whose client's machine has not all of its answer stays open, and the
// request that it brings then is served, not read and thrown away; once the answer is there, it closes.
func TestARequestThatIsReadAtShutdownIsServed(t *testing.T) {
	d := answers(t, 16, 60<<10)
	c := narrow(t, d.address)
	_, err := c.Write(append(startup(nil, "web", "orders"), asked("a")...))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.host.sent.Load() == 1 }, 10*time.Second, time.Millisecond)
	d.host.gate <- struct{}{}
	require.Eventually(t, func() bool { return d.count(func(h *client) bool { return h.asked && !h.busy }) == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, d.count(func(h *client) bool { return unacknowledged(d.conns[h]) }), "the client reads nothing")
	d.Drain()
	_, err = c.Write(asked("b"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.host.sent.Load() == 2 }, 10*time.Second, time.Millisecond)
	d.host.gate <- struct{}{}
	kinds, _, whole := said(t, c)
	require.Regexp(t, answer+answer+"$", kinds)
	require.True(t, whole)
}

package flight

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/edge"
)

// If a host changes its address, is removed or starts to drain while it is being dialed, nothing may be sent on that connection. A
// request then uses the host's current address.
func TestAHostChangesWhileItIsDialled(t *testing.T) {
	for _, k := range []struct {
		name  string
		event func(h *Hosts, other string, draining *atomic.Bool)
		want  error // nil: the host is reached at its new address
	}{
		{"moves", func(h *Hosts, other string, _ *atomic.Bool) { h.SetAddress("h", other) }, nil},
		{"leaves", func(h *Hosts, _ string, _ *atomic.Bool) { h.SetAddress("h", "") }, errNoAddress},
		{"drains", func(_ *Hosts, _ string, draining *atomic.Bool) { draining.Store(true) }, edge.ErrUnlisted},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		received := make(chan []byte, 16)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					b, _ := io.ReadAll(c)
					received <- b
				}()
			}
		}()
		other, _ := startRefusingServer(t)
		h := NewHosts(20 * time.Second)
		defer h.Close()
		var draining atomic.Bool
		var listChecks atomic.Int32
		h.IsListed = func(string) bool {
			if listChecks.Add(1) == 2 { // the connection is open, and nothing was written to it yet
				k.event(h, other, &draining)
			}
			return !draining.Load()
		}
		h.SetAddress("h", l.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err = h.Acquire(ctx, "h")
		require.Empty(t, <-received, "%s: greeted all the same", k.name)
		if k.want == nil {
			require.NoError(t, err, k.name)
		} else {
			require.ErrorIs(t, err, k.want, k.name)
		}
	}
}

// A dial continues after the request that started it was cancelled, and the next request uses its connection.
func TestADialThatCompletesAfterItsAttempt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	other, _ := startRefusingServer(t)
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	h := NewHosts(20 * time.Second)
	defer h.Close()
	h.SetAddress("h", l.Addr().String())
	ctx, giveUp := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := h.Acquire(ctx, "h")
		done <- err
	}()
	c := <-accepted
	giveUp()
	require.ErrorIs(t, <-done, context.Canceled)
	to, err := net.Dial("tcp", other) // the host sends its HTTP/2 settings only from now on
	require.NoError(t, err)
	go func() { _, _ = io.Copy(to, c); to.Close() }()
	go func() { _, _ = io.Copy(c, to); c.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = h.Acquire(ctx, "h")
	require.NoError(t, err)
	require.Empty(t, accepted, "the host was not asked for another")
}

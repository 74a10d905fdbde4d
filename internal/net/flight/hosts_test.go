package flight

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"ashstand/internal/dispatch"
	"ashstand/internal/sqlcomment"
)

// startRefusingServer starts a server that refuses every stream with REFUSED_STREAM, after which gRPC may transparently retry the call.
func startRefusingServer(t *testing.T) (address string, streams *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	streams = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
					return
				}
				f := http2.NewFramer(c, c)
				_ = f.WriteSettings()
				for {
					frame, err := f.ReadFrame()
					if err != nil {
						return
					}
					switch frame := frame.(type) {
					case *http2.HeadersFrame:
						streams.Add(1)
						_ = f.WriteRSTStream(frame.StreamID, http2.ErrCodeRefusedStream)
					case *http2.SettingsFrame:
						if !frame.IsAck() {
							_ = f.WriteSettingsAck()
						}
					}
				}
			}()
		}
	}()
	return l.Addr().String(), streams
}

// Guards against gRPC's transparent retry, which no option disables: a request of the write class donate would be sent twice.
func TestGRPCSendsNothingAgainByItself(t *testing.T) {
	address, streams := startRefusingServer(t)
	h := NewHosts(5 * time.Second)
	defer h.Close()
	h.SetAddress("h", address)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := h.Acquire(ctx, "h")
	require.NoError(t, err)
	s, err := sqlcomment.Parse("/* id=1,c=donate,d=900,cluster=1 */ INSERT INTO entries (ref) VALUES ('k')")
	require.NoError(t, err)
	s.IsWrite = true
	r := c.Exchange(ctx, &s, func() (float64, bool) { return 900, true })
	require.EqualValues(t, 1, streams.Load())
	require.NotContains(t, []dispatch.Code{dispatch.OK, dispatch.NotSent, dispatch.Rejected, dispatch.Misdirected}, r.Code, "%+v", r)
	s.IsWrite = false
	r = c.Exchange(ctx, &s, func() (float64, bool) { return 900, true })
	require.EqualValues(t, 2, streams.Load(), "a read's first call was refused, and nothing came after it")
	require.NotEqual(t, dispatch.OK, r.Code)
}

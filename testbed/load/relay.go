package load

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/net/loop"
)

// Relay copies bytes between clients and one host on the pooler's event loop, parses nothing and shares nothing: a
// connection to the host for each client. It is the floor for whatever passes through such a loop.
func Relay(ctx context.Context, listen, to string) error {
	runtime.GOMAXPROCS(2) // as the pooler
	e := loop.New()
	err := e.Start(listen, func(c gnet.Conn) (loop.Handler, []byte, gnet.Action) {
		near, far := &half{g: c}, &half{}
		near.other, far.other = far, near
		l := c.EventLoop()
		go func() {
			dial, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			g, err := e.Dial(dial, to, far)
			_ = l.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
				if err != nil {
					return l.Close(c)
				}
				far.g = g
				near.pass()
				return nil
			}))
		}()
		return near, nil, gnet.None
	})
	if err != nil {
		return err
	}
	fmt.Println("relay listens on", listen)
	<-ctx.Done()
	e.Stop()
	return nil
}

type half struct {
	g     gnet.Conn
	other *half
}

func (h *half) pass() {
	if h.other.g == nil || h.g == nil {
		return
	}
	if n := h.g.InboundBuffered(); n > 0 {
		b, _ := h.g.Peek(n)
		_, _ = h.other.g.Write(b)
		_, _ = h.g.Discard(n)
	}
}

func (h *half) Traffic(c gnet.Conn) gnet.Action {
	h.g = c
	h.pass()
	return gnet.None
}

func (h *half) Closed(gnet.Conn, error) {
	if o := h.other.g; o != nil {
		h.other.g, h.g = nil, nil
		_ = o.EventLoop().Close(o)
	}
}

package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const wide = `sessions {
  listen             = "SESSIONS"
  clients            = 100
  server_connections = 100
  pool "main" {
    read_only  = "browse"
    read_write = "donate"
    group      = 1
    size       = 40
    patience   = "10s"
  }
}
`

// slowReaders: session clients take long values slowly, all at once.
func slowReaders(r *run) (broken int, err error) {
	const clients, size = 96, 4 << 20
	hosts, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	for _, h := range hosts {
		h.long = size
	}
	p, err := r.pooler("n1", a.address, wide)
	if err != nil {
		return 0, err
	}
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	for n := range clients {
		c, err := connect(p.sessions, "web", "orders")
		if err != nil {
			return 0, err
		}
		defer c.Close()
		if raw, err := c.Conn.(*net.TCPConn).SyscallConn(); err == nil && r.trouble {
			_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
		}
		group.Go(func() {
			id := fmt.Sprintf("c%d", n)
			begun := time.Now()
			text := fmt.Sprintf("/* id=%s,c=report,d=15000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'long%d'", id, n)
			if _, err := c.Write(query(text)); err != nil {
				return
			}
			_ = c.SetReadDeadline(time.Now().Add(40 * time.Second))
			var err error
			got, piece := 0, make([]byte, 64<<10)
			for ended := false; !ended && err == nil; {
				var k int
				k, err = c.Conn.Read(piece)
				got += k
				ended = k >= 6 && string(piece[k-6:k]) == "Z\x00\x00\x00\x05I"
				if r.trouble {
					time.Sleep(time.Duration(k) * time.Second / (1 << 20)) // 1 MiB a second
				}
			}
			if err != nil {
				r.say("client %d: CUT OFF after %d bytes and %d ms: %v", n, got, time.Since(begun).Milliseconds(), err)
				mu.Lock()
				broken++
				mu.Unlock()
				return
			}
			r.say("client %d: whole, %d bytes, after %d ms", n, got, time.Since(begun).Milliseconds())
		})
	}
	group.Wait()
	return broken, nil
}

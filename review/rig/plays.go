package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Plays that are no cases of the review: its report names what they showed.

const (
	holdTime     = 1500 * time.Millisecond // for so long the only server connection is busy
	goneGrace    = 100.0                   // ms behind a client's close, by which an attempt has to have begun
	slowSessions = 40
	sentAhead    = 100             // commands that each of them sends at once
	restTime     = 3 * time.Second // before it begins to read
)

// goneClient: a session client sends a donation while the only server connection is busy, sends much behind it at full speed, and
// closes. The connection is free again a second later. With TROUBLE=0 it sends nothing behind the donation.
func goneClient(r *rig) (broken []string, err error) {
	if err := r.prepare(1, strings.Replace(sessionPool, "size              = 8", "size              = 1", 1)); err != nil {
		return nil, err
	}
	g := r.groups[0]
	holderID, donation := r.id(), "/* id=%s,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('%s', '%s') RETURNING payload"
	g.fault = func(_ *dbHost, fields map[string]string) bool {
		if fields["id"] == holderID { // a long donation; the lock is held by the caller
			g.mu.Unlock()
			time.Sleep(holdTime)
			g.mu.Lock()
		}
		return false
	}
	if err := r.pooler.start(r.root); err != nil {
		return nil, err
	}
	holder, err := connect(r.record, "holder", r.pooler.sessions)
	if err != nil {
		return nil, err
	}
	defer holder.close()
	go holder.ask(fmt.Sprintf(donation, holderID, "held", "gift"))
	time.Sleep(200 * time.Millisecond)
	k, err := connect(r.record, "goer", r.pooler.sessions)
	if err != nil {
		return nil, err
	}
	goerID, behind := r.id(), 0
	if _, err := k.conn.Write(queryMessage(fmt.Sprintf(donation, goerID, "gone", "gift"))); err != nil {
		return nil, err
	}
	if r.trouble {
		_ = k.conn.(*net.TCPConn).SetWriteBuffer(4 << 20)
		_ = k.conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		more := queryMessage(fmt.Sprintf(donation, r.id(), "more", strings.Repeat("a", longValue)))
		for err == nil {
			var n int
			n, err = k.conn.Write(more)
			behind += n
		}
	}
	k.close()
	closed := nowMillis()
	r.record.printf("goer: donated with id=%s, sent %d bytes behind that, and closed", goerID, behind)
	time.Sleep(2 * holdTime)
	for _, h := range g.hosts {
		for _, late := range h.receivedAfter(closed + goneGrace) {
			broken = append(broken, fmt.Sprintf("id=%s began at %s %.0f ms after its client had closed", late.fields["id"], h.name, late.at-closed))
		}
	}
	return broken, nil
}

// slowReaders: sessions send many reads at once, and begin to read three seconds later. The pooler has 48 MB. With TROUBLE=0 they
// read at once.
func slowReaders(r *rig) (broken []string, err error) {
	if err := r.prepare(1, strings.Replace(sessionPool, "size              = 8", "size              = 64", 1)); err != nil {
		return nil, err
	}
	r.pooler.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 48, "sockets": 1024}
	if err := r.pooler.start(r.root); err != nil {
		return nil, err
	}
	writer, err := connect(r.record, "writer", r.pooler.listen)
	if err != nil {
		return nil, err
	}
	writer.ask(fmt.Sprintf("/* id=%s,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('page', '%s') RETURNING payload", r.id(), strings.Repeat("p", longValue)))
	writer.close()
	time.Sleep(500 * time.Millisecond)
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range slowSessions {
		c, err := dialer.DialContext(context.Background(), "tcp", r.pooler.sessions)
		if err != nil {
			return nil, err
		}
		k, err := start(r.record, fmt.Sprintf("session %d", i), c)
		if err != nil {
			return nil, err
		}
		all.Add(1)
		go func() {
			defer all.Done()
			defer k.close()
			var b []byte
			for j := range sentAhead {
				b = append(b, queryMessage(fmt.Sprintf("/* id=%x%06x,c=report,d=15000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'page'", 0xc0+i, j))...)
			}
			if _, err := c.Write(b); err != nil {
				r.record.printf("%s: can't write: %v", k.name, err)
			}
			if r.trouble {
				time.Sleep(restTime)
			}
			for j := range sentAhead {
				if a := k.read(); a.broken != nil {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("%s: answer %d: %v", k.name, j+1, a))
					mu.Unlock()
					return
				}
			}
		}()
	}
	all.Wait()
	return broken, nil
}

const (
	staleRounds   = 10
	gapAfterWrite = 500 * time.Millisecond // from a listener's write to the read, inside the site's 240 to 700 ms
	slowApplyFor  = 10 * time.Second       // inside the site's 8.4 to 22 s
)

// staleRead: an app server holds one session for two listeners and sends a read of each in one go. The replicas apply the log more
// slowly for ten seconds. Listener b writes half a second before each pair of reads, listener a has not written for a while. Each read
// carries the position of its listener's last commit.
func staleRead(r *rig) (broken []string, err error) {
	if err := r.prepare(1, sessionPool); err != nil {
		return nil, err
	}
	if err := r.pooler.start(r.root); err != nil {
		return nil, err
	}
	app, err := connect(r.record, "app", r.pooler.sessions)
	if err != nil {
		return nil, err
	}
	defer app.close()
	writer, err := connect(r.record, "writer", r.pooler.listen)
	if err != nil {
		return nil, err
	}
	defer writer.close()
	write := func(ref, payload string) (reply, error) {
		a := writer.ask(fmt.Sprintf("/* id=%s,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('%s', '%s') RETURNING payload", r.id(), ref, payload))[0]
		if !a.served {
			return a, fmt.Errorf("a write failed: %v", a)
		}
		return a, nil
	}
	read := func(ref string, after float64) string {
		return fmt.Sprintf("/* id=%s,c=my-library,d=750,cluster=1,after=%.0f */ SELECT payload FROM entries WHERE ref = '%s'", r.id(), after, ref)
	}
	a, err := write("listener-a", "a0")
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.groups[0].setSlow(true)
		time.AfterFunc(slowApplyFor, func() { r.groups[0].setSlow(false) })
	}
	for i := range staleRounds {
		payload := fmt.Sprintf("b%d", i)
		b, err := write("listener-b", payload)
		if err != nil {
			return nil, err
		}
		time.Sleep(gapAfterWrite)
		if got := app.ask(read("listener-a", a.position), read("listener-b", b.position))[1]; got.served && got.value != payload {
			broken = append(broken, fmt.Sprintf("round %d: listener b wrote %q at %.0f, and a read with that in after was served %q", i, payload, b.position, got.value))
		}
		time.Sleep(300 * time.Millisecond)
	}
	return broken, nil
}

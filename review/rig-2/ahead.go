package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

// sendsAhead: session clients send many small messages behind a report, without waiting for answers.
func sendsAhead(r *run) (broken int, err error) {
	const clients, most, limit = 6, 6 << 20, 192 << 10
	hosts, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	for _, h := range hosts {
		h.reportWork = 5 * time.Second
	}
	p, err := r.pooler("n1", a.address, fmt.Sprintf(pooled, "transaction"))
	if err != nil {
		return 0, err
	}
	w := r.watch(p, limit)
	var group sync.WaitGroup
	for n := range clients {
		c, err := connect(p.sessions, "web", "orders")
		if err != nil {
			return 0, err
		}
		defer c.Close()
		group.Go(func() {
			if err := r.sendAhead(n, c, most); err != nil {
				r.say("client %d: %v", n, err)
			}
		})
	}
	group.Wait()
	sound, err := connect(p.listen, "web", "orders")
	if err == nil {
		var x answer
		x, err = sound.ask("/* id=s1,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('s', 'v') RETURNING payload", 2550*time.Millisecond)
		sound.Close()
		r.say("a donation of another client, over the platform's front: %v", x)
	}
	if err != nil {
		r.say("a donation of another client, over the platform's front: %v", err)
	}
	return w.ended(r), nil
}

// sendAhead plays one client of sendsAhead.
func (r *run) sendAhead(n int, c *client, most int) error {
	b, err := c.ask("/* c=report,d=15000,cluster=1 */ BEGIN READ ONLY", 3*time.Second)
	if err != nil {
		return err
	}
	r.say("client %d: begins: %v", n, b)
	if _, err := c.Write(query(fmt.Sprintf("/* id=big%d,c=report,d=15000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'year'", n))); err != nil {
		return err
	}
	r.say("client %d: sends a report of 5 s of work", n)
	if r.trouble {
		piece, sent := bytes.Repeat(message('S', nil), 2000), 0
		for sent < most && err == nil {
			_ = c.SetWriteDeadline(time.Now().Add(3 * time.Second))
			var k int
			k, err = c.Write(piece)
			sent += k
		}
		r.say("client %d: has sent %d bytes behind it, %d Sync messages (%v)", n, sent, sent/5, err)
	}
	report, err := c.answer(10 * time.Second)
	r.say("client %d: the report: %v, %v", n, report, err)
	for i := 0; !r.trouble && i < 20000; i++ { // the same messages, each sent when the one before is answered
		if _, err := c.Write(message('S', nil)); err != nil {
			return err
		}
		if _, err := c.answer(5 * time.Second); err != nil {
			return fmt.Errorf("answer %d: %w", i, err)
		}
	}
	return nil
}

// watcher is the platform, which kills a pooler over its memory.
type watcher struct {
	stop, done chan struct{}
	peak       int
	limit      int
}

func (r *run) watch(p *pooler, limit int) *watcher {
	w := &watcher{stop: make(chan struct{}), done: make(chan struct{}), limit: limit}
	go func() {
		defer close(w.done)
		for said := 0; ; {
			select {
			case <-w.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := resident(p.cmd.Process.Pid)
			if now > said+8<<10 {
				said = now
				r.say("platform: the pooler holds %d MiB", now>>10)
			}
			if w.peak = max(w.peak, now); now > limit {
				r.say("platform: the pooler holds %d KiB, over its memory_mb of 192: KILLED", now)
				_ = p.cmd.Process.Kill()
				return
			}
		}
	}()
	return w
}

// ended ends the watch and returns 1 if the pooler was over its memory.
func (w *watcher) ended(r *run) int {
	close(w.stop)
	<-w.done
	r.say("platform: at the most the pooler held %d KiB of %d", w.peak, w.limit)
	if w.peak > w.limit {
		return 1
	}
	return 0
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// small starts a primary and replicas of one group, and discovery's agent that lists them.
func (r *run) small(replicas int) (hosts []*host, a *agent, err error) {
	g, sequence := &group{rows: map[string][]version{}}, new(int)
	for i := range replicas + 1 {
		h := &host{name: fmt.Sprintf("host-%d", i), primary: i == 0, group: g, rec: r.record, work: 20 * time.Millisecond, behind: 10, sequence: sequence}
		if err := h.serve(); err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
	}
	a = &agent{}
	if err := a.serve(); err != nil {
		return nil, nil, err
	}
	var entries []map[string]any
	for _, h := range hosts {
		entries = append(entries, entry(h, "active"))
	}
	a.set(entries...)
	return hosts, a, nil
}

const pooled = `sessions {
  listen             = "SESSIONS"
  clients            = 100
  server_connections = 32
  pool "main" {
    mode       = "%s"
    read_only  = "browse"
    read_write = "donate"
    group      = 1
  }
}
`

// silentHost: hosts fall silent, as behind a cut link, while session clients have requests under way.
func silentHost(r *run) (broken int, err error) {
	hosts, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	p, err := r.pooler("n1", a.address, fmt.Sprintf(pooled, "transaction"))
	if err != nil {
		return 0, err
	}
	// A request is lost if it has no final answer half a second, and the 50 ms of sockets, after its time.
	const clients, deadline, lost = 8, time.Second, time.Second + 550*time.Millisecond
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	stop := time.Now().Add(12 * time.Second)
	for n := range clients {
		c, err := connect(p.sessions, "web", "orders")
		if err != nil {
			return 0, err
		}
		defer c.Close()
		group.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				id := fmt.Sprintf("c%d-%d", n, i)
				begun := time.Now()
				a, err := c.ask(fmt.Sprintf("/* id=%s,c=browse,d=%d,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k%d'", id, deadline.Milliseconds(), n), 9*time.Second)
				took := time.Since(begun)
				if err != nil || took > lost {
					r.say("client %d: request %s: LOST: after %d ms it has %v, %v", n, id, took.Milliseconds(), a, err)
					mu.Lock()
					broken++
					mu.Unlock()
					if err != nil {
						return
					}
					continue
				}
				r.say("client %d: request %s after %d ms: %v", n, id, took.Milliseconds(), a)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.say("the link to %s is cut: nothing is said", hosts[1].name)
		hosts[1].hang()
	}
	time.Sleep(7300 * time.Millisecond)
	r.say("the link is back")
	hosts[1].wake()
	group.Wait()
	return broken, nil
}

// keptStale: a session in session mode keeps its connection to a replica that falls behind.
func keptStale(r *run) (broken int, err error) {
	hosts, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	p, err := r.pooler("n1", a.address, fmt.Sprintf(pooled, "session"))
	if err != nil {
		return 0, err
	}
	writer, err := connect(p.listen, "web", "orders")
	if err != nil {
		return 0, err
	}
	defer writer.Close()
	const listeners = 4
	sessions := make([]*client, listeners)
	for n := range sessions {
		if sessions[n], err = connect(p.sessions, "web", "orders"); err != nil {
			return 0, err
		}
		defer sessions[n].Close()
	}
	number := 0
	for round := range 12 {
		if round == 3 && r.trouble {
			for _, h := range hosts[1:] {
				h.mu.Lock()
				h.slowFrom, h.slowFor, h.slowBy = time.Now(), 12*time.Second, 10
				h.mu.Unlock()
			}
			r.say("the replicas apply the log 10 times more slowly")
		}
		for n, s := range sessions {
			number++
			ref, payload := fmt.Sprintf("listener-%d", n), fmt.Sprintf("v%d", round)
			// The listener's write comes in at the statement front, as a part of a session's requests roam.
			w, err := writer.ask(fmt.Sprintf("/* id=w%d,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('%s', '%s') RETURNING payload", number, ref, payload), 3*time.Second)
			if err != nil {
				return broken, fmt.Errorf("the write: %w", err)
			}
			r.say("listener %d: write w%d: %v", n, number, w)
			if w.code != "" {
				continue
			}
			after := hosts[0].committed(ref)
			time.Sleep(240 * time.Millisecond)
			read, err := s.ask(fmt.Sprintf("/* id=r%d,c=my-library,d=750,cluster=1,after=%.0f */ SELECT payload FROM entries WHERE ref = '%s'", number, after, ref), 2*time.Second)
			if err != nil {
				return broken, fmt.Errorf("the read: %w", err)
			}
			word := "as written"
			if read.code == "" && read.value != payload {
				word = "STALE"
				broken++
			}
			r.say("listener %d: read r%d, after=%.0f: %v, %s (%q was written before)", n, number, after, read, word, payload)
		}
	}
	return broken, nil
}

// committed returns the position of the last commit of a key.
func (h *host) committed(ref string) float64 {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	v := h.group.rows[ref]
	return v[len(v)-1].at
}

package main

import (
	"fmt"
	"sync"
	"time"
)

// flightCrowd: idle clients hold every place of the Flight SQL front, and others come with requests.
func flightCrowd(r *run) (broken int, err error) {
	_, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	p, err := r.pooler("n1", a.address, flightFront)
	if err != nil {
		return 0, err
	}
	idle := 64 // the front's connections, as its block says
	if !r.trouble {
		idle = 32
	}
	for range idle {
		c, err := dialFlight(p.flight, true)
		if err != nil {
			return 0, err
		}
		defer c.Close()
		if _, err := c.ticket("/* id=t,c=browse,d=1000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'"); err != nil {
			return 0, fmt.Errorf("an idle client's first call: %w", err)
		}
	}
	r.say("%d clients are connected to the Flight SQL front, have had a ticket each, and rest", idle)
	const d, patience = time.Second, 6 * time.Second
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	for n := range 4 {
		group.Go(func() {
			c, err := dialFlight(p.flight, true)
			if err != nil {
				r.say("client %d: is turned away: %v", n, err)
				return
			}
			defer c.Close()
			// The ticket is the one that the front gives for the text, so the request can go at once.
			text := fmt.Sprintf("/* id=n%d,c=browse,d=%d,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'", n, d.Milliseconds())
			ticket := protoBytes(1, anyOf("TicketStatementQuery", protoBytes(1, []byte(text))))
			stream, begun := c.call("DoGet", ticket), time.Now()
			timer := time.AfterFunc(patience, func() { c.Close() })
			defer timer.Stop()
			body, err := c.wait(stream)
			took := time.Since(begun)
			switch {
			case err != nil && took < d+550*time.Millisecond:
				r.say("client %d: its connection was shut unread after %d ms: %v", n, took.Milliseconds(), err)
			case err != nil:
				r.say("client %d: request n%d: LOST: no answer after %d ms", n, n, took.Milliseconds())
				mu.Lock()
				broken++
				mu.Unlock()
			case took > d+550*time.Millisecond:
				r.say("client %d: request n%d: LOST: answered after %d ms", n, n, took.Milliseconds())
				mu.Lock()
				broken++
				mu.Unlock()
			default:
				r.say("client %d: request n%d: answered after %d ms, %d bytes", n, n, took.Milliseconds(), len(body))
			}
		})
	}
	group.Wait()
	return broken, nil
}

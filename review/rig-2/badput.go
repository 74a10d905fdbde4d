package main

import (
	"fmt"
	"sync"
	"time"
)

// badPut: one bad client of the Flight SQL front sends a DoPut whose first message has no descriptor.
func badPut(r *run) (broken int, err error) {
	_, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	p, err := r.pooler("n1", a.address, flightFront)
	if err != nil {
		return 0, err
	}
	var (
		mu    sync.Mutex
		group sync.WaitGroup
		lost  int
	)
	stop := time.Now().Add(4 * time.Second)
	for n := range 4 { // sound clients of the platform's front
		c, err := connect(p.listen, "web", "orders")
		if err != nil {
			return 0, err
		}
		defer c.Close()
		group.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				id := fmt.Sprintf("s%d-%d", n, i)
				a, err := c.ask(fmt.Sprintf("/* id=%s,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('s%d', 'v%d') RETURNING payload", id, n, i), 2550*time.Millisecond)
				if err != nil {
					r.say("client %d: request %s: NO ANSWER: %v", n, id, err)
					mu.Lock()
					lost++
					mu.Unlock()
					return
				}
				if i%10 == 0 {
					r.say("client %d: request %s: %v", n, id, a)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	f, err := dialFlight(p.flight, true)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	put := []byte(nil) // a FlightData without any field
	if !r.trouble {
		text := "/* id=f0,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('f', 'v') RETURNING payload"
		descriptor := append([]byte{1<<3 | 0, 2}, protoBytes(2, anyOf("CommandStatementUpdate", protoBytes(1, []byte(text))))...)
		put = protoBytes(1, descriptor)
	}
	r.say("a Flight SQL client sends a DoPut of %d bytes", len(put))
	body, err := f.wait(f.call("DoPut", put))
	r.say("it gets %d bytes, %v", len(body), err)
	group.Wait()
	select {
	case <-p.ended:
		r.say("platform: the pooler's process has ENDED: %v; %d requests of other clients were lost", p.cmd.ProcessState, lost)
		broken = 1
	case <-time.After(time.Second):
		r.say("platform: the pooler runs; %d requests of other clients were lost", lost)
		broken = lost
	}
	return broken, nil
}

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	slowAnswer    = 2500 * time.Millisecond // from a call to discovery until its whole answer
	toldAfter     = 6 * time.Second         // a change counts as told at the latest so long after discovery had it and could be reached
	drainGrace    = 1 * time.Second         // obligations.stop_sending_within_ms
	socketSlack   = 50 * time.Millisecond   // every time limit is so much longer on sockets
	heldUp        = 150 * time.Millisecond  // so long a pooler may be held up
	drainPlay     = 20 * time.Second        // after the host began to drain
	browseClients = 4
)

// slowDiscovery: discovery takes 2.5 s for each answer. A pooler starts with the list that it had last, and three seconds later a db
// host begins to drain. It stays up, and answers what reaches it.
func slowDiscovery(r *rig) (broken []string, err error) {
	if err := r.prepare(1, ""); err != nil {
		return nil, err
	}
	if r.trouble {
		r.agent.setDelay(slowAnswer)
	}
	if err := r.pooler.start(r.root); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range browseClients {
		k, err := connect(r.record, fmt.Sprintf("client %d", i), r.pooler.listen)
		if err != nil {
			return nil, err
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			defer k.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := k.ask(fmt.Sprintf("/* id=%x%06x,c=browse,d=1000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'page'", 0xa0+i, n))[0]
				if a.broken != nil {
					r.record.printf("client %d: %v", i, a)
					return
				}
				if a.served {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	leaving := r.groups[0].hosts[2]
	r.agent.setStatus(leaving.name, "leaving")
	begun := nowMillis()
	time.Sleep(drainPlay)
	close(stop)
	clients.Wait()
	limit := toldAfter + drainGrace + 2*socketSlack + heldUp
	for _, late := range leaving.receivedAfter(begun + float64(limit.Milliseconds())) {
		broken = append(broken, fmt.Sprintf("id=%s reached %s, which is leaving, %.2f s after discovery had that", late.fields["id"], leaving.name, (late.at-begun)/1e3))
	}
	r.record.printf("%d requests served; %d reached the host that is leaving later than %v after discovery had it", served, len(broken), limit)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return broken, nil
}

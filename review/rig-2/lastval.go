package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// draw answers nextval and lastval, as a server does: lastval is of the connection.
func (h *host) draw(state *connection, isNext bool) []byte {
	if !isNext && state.lastval == 0 {
		return errorResponse("ERROR", "55000", "lastval is not yet defined in this session")
	}
	if isNext {
		h.group.mu.Lock()
		*h.sequence++
		state.lastval = *h.sequence
		h.group.mu.Unlock()
	}
	return append(row([]byte(strconv.Itoa(state.lastval)), "SELECT 1"), h.report(millis(time.Now()))...)
}

// foreignNumber: sessions draw a number for a gift and ask for the number that they drew, while others do the same.
func foreignNumber(r *run) (broken int, err error) {
	_, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	p, err := r.pooler("n1", a.address, fmt.Sprintf(pooled, "transaction"))
	if err != nil {
		return 0, err
	}
	sessions := 8
	if !r.trouble {
		sessions = 1
	}
	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)
	for n := range sessions {
		c, err := connect(p.sessions, "web", "orders")
		if err != nil {
			return 0, err
		}
		defer c.Close()
		group.Go(func() {
			for i := range 40 {
				next, err := c.ask(fmt.Sprintf("/* id=n%d-%d,c=donate,d=2000,cluster=1 */ SELECT nextval('gifts')", n, i), 3*time.Second)
				if err != nil || next.code != "" {
					r.say("session %d: nextval: %v, %v", n, next, err)
					continue
				}
				last, err := c.ask(fmt.Sprintf("/* id=l%d-%d,c=donate,d=2000,cluster=1 */ SELECT lastval()", n, i), 3*time.Second)
				word := ""
				if err == nil && (last.code == "" && last.value != next.value || last.code == "55000") {
					word = ": FOREIGN"
					mu.Lock()
					broken++
					mu.Unlock()
				}
				r.say("session %d: drew %s, lastval: %v, %v%s", n, next.value, last, err, word)
			}
		})
	}
	group.Wait()
	return broken, nil
}

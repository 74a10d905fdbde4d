package main

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/internal/lifecycle"
)

// newConnectionsFor is how long the platform goes on to make connections after SIGTERM.
const newConnectionsFor = 400 * time.Millisecond

// siteWithDeadline is the site with one deadline for all classes.
func siteWithDeadline(millis int) string {
	text := regexp.MustCompile(`"deadline_ms":\d+`).ReplaceAllString(site, `"deadline_ms":`+strconv.Itoa(millis))
	return regexp.MustCompile(`"aim_ms":\d+`).ReplaceAllString(text, `"aim_ms":`+strconv.Itoa(millis*3/4))
}

// SIGKILL comes as early as the platform may send it: after the longest deadline and 0.7 s. Until then clients send on the
// connections that they have, ahead of answers, in two halves, and for 0.4 s on new ones; one stays in the middle of a message, and
// some answers take longer than the process has. No request that was read is lost, and the process has ended by itself.
func TestAtTheEarliestKillNoRequestIsLost(t *testing.T) {
	for _, deadlineMillis := range []int{50, 263, 600} {
		t.Run(fmt.Sprint(deadlineMillis), func(t *testing.T) {
			h, seen := slowHost(t)
			discovery, known := silentDiscovery(t), (&world{}).list(1, true, (&world{}).entry(h, "active"))
			listen, cmd, logged, _ := launchProgram(t, "", discovery, func(listen string) string {
				return fmt.Sprintf(configuration, listen, discovery, known, siteWithDeadline(deadlineMillis))
			})
			w := &tail{timeoutMillis: deadlineMillis, ends: map[string]int{}, hadBy: map[string]time.Time{}}
			stopHalfway(t, listen, w.text("half"))
			const each = 12 // connections of a kind
			var clients, going sync.WaitGroup
			term := make(chan struct{})
			for kind := range 3 {
				for i := range each {
					going.Add(1)
					lots := rand.New(rand.NewPCG(uint64(kind), uint64(i)))
					clients.Go(func() { w.client(t, listen, kind, fmt.Sprintf("%d-%d", kind, i), lots, seen, going.Done, term) })
				}
			}
			going.Wait() // each has had an answer
			begun := time.Now()
			endWithinBesideOthers(t, cmd.Process, time.Duration(deadlineMillis)*time.Millisecond+lifecycle.KillSlack)
			close(term)
			for i := range each {
				clients.Go(func() { w.reconnect(listen, fmt.Sprint("new-", i), begun.Add(newConnectionsFor), seen) })
			}
			require.NoError(t, cmd.Wait(), "it was killed; %s", logged)
			clients.Wait()
			t.Logf("ended after %v; %d sent after SIGTERM: %v, %d lost", time.Since(begun), w.sent, w.ends, len(w.lost))
			require.Greater(t, w.sent, 100)
			require.Empty(t, w.lost)
		})
	}
}

// stopHalfway sends the half of a request and stays.
func stopHalfway(t *testing.T, address, text string) {
	t.Helper()
	c, _, err := tailDial(address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	b, err := (&pgproto3.Query{String: text}).Encode(nil)
	require.NoError(t, err)
	_, err = c.Write(b[:len(b)/2])
	require.NoError(t, err)
}

// reconnect makes a connection for each request, until a moment.
func (w *tail) reconnect(address, name string, until time.Time, seen func(string) bool) {
	for n := 0; time.Now().Before(until); n++ {
		c, f, err := tailDial(address)
		if err != nil {
			w.end("no new connection")
			continue
		}
		id := fmt.Sprintf("%s-%d", name, n)
		b, _ := (&pgproto3.Query{String: w.text(id)}).Encode(nil)
		if _, err = c.Write(b); err != nil {
			w.end("could not be written")
		} else {
			w.written(id)
			how, err := tailAnswer(f)
			if err != nil && how == "" {
				w.closed([]string{id}, seen)
			} else {
				w.end(how)
			}
		}
		c.Close()
		time.Sleep(5 * time.Millisecond)
	}
}

package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"sync"
	"time"

	"ashstand/internal/edge"
	"ashstand/internal/net/pg"
	"ashstand/internal/pcap"
	"ashstand/internal/sqlcomment"
)

// replay brings the queries of a capture to the core, at the pace at which they were sent.
func replay(capture, out, file string, must bool) error {
	conversations, err := readCapture(capture)
	if err != nil {
		return err
	}
	cfg, err := prepare(file, must)
	if err != nil {
		return err
	}
	n, err := start(cfg)
	if err != nil {
		return err
	}
	defer n.stop()
	for begun := time.Now(); !n.core.Ready(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			return errors.New("replay: discovery gave no list of hosts")
		}
	}
	answered, tally := n.replay(context.Background(), conversations)
	log.Printf("replay: %d conversations: %v", len(conversations), tally)
	if out == "" {
		return nil
	}
	f, err := os.Create(out)
	if err != nil {
		return err
	}
	return errors.Join(pcap.Write(f, answered), f.Close())
}

func readCapture(path string) ([]*pcap.Conversation, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // it was only read
	cs, err := pcap.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cs, nil
}

// tally counts final answers; its text is for the log.
type tally struct{ served, refused, timedOut, failed, invalid, broken int }

func (t tally) String() string {
	return fmt.Sprintf("%d served, %d refused, %d timed out, %d failed, %d invalid; %d conversations not understood to their end",
		t.served, t.refused, t.timedOut, t.failed, t.invalid, t.broken)
}

func (t *tally) add(v edge.Verdict) {
	switch v {
	case edge.Served:
		t.served++
	case edge.Rejected:
		t.refused++
	case edge.TimedOut:
		t.timedOut++
	case edge.Invalid:
		t.invalid++
	default:
		t.failed++
	}
}

// replay plays conversations and returns them with the answers that came.
func (n *node) replay(ctx context.Context, cs []*pcap.Conversation) ([]*pcap.Conversation, tally) {
	var (
		mu    sync.Mutex
		sum   tally
		group sync.WaitGroup
	)
	out := make([]*pcap.Conversation, len(cs))
	var first time.Time
	for _, c := range cs {
		if len(c.Segments) > 0 && (first.IsZero() || c.Segments[0].At.Before(first)) {
			first = c.Segments[0].At
		}
	}
	begun := time.Now()
	for i, c := range cs {
		out[i] = &pcap.Conversation{Client: c.Client, Server: c.Server}
		group.Go(func() {
			t := n.play(ctx, c, out[i], func(at time.Time) { time.Sleep(at.Sub(first) - time.Since(begun)) })
			mu.Lock()
			defer mu.Unlock()
			sum.served += t.served
			sum.refused += t.refused
			sum.timedOut += t.timedOut
			sum.failed += t.failed
			sum.invalid += t.invalid
			sum.broken += t.broken
		})
	}
	group.Wait()
	return out, sum
}

// play brings one conversation's commands through the front's parser; what its server said then is left out.
func (n *node) play(ctx context.Context, c, out *pcap.Conversation, wait func(time.Time)) (t tally) {
	var parser pg.Parser
	var unread []byte
	say := func(fromClient bool, b []byte) {
		if len(b) > 0 {
			out.Segments = append(out.Segments, pcap.Segment{At: time.Now().UTC(), FromClient: fromClient, Data: b})
		}
	}
	for _, p := range c.Segments {
		if !p.FromClient {
			continue
		}
		wait(p.At)
		say(true, p.Data)
		unread = append(unread, p.Data...)
		for {
			command := parser.Next(unread)
			unread = unread[command.Size:]
			switch command.Kind {
			case pg.Incomplete:
			case pg.Query:
				s, err := sqlcomment.Parse(command.Text)
				if err != nil {
					t.invalid++
					say(false, pg.EncodeResult(&edge.Result{Verdict: edge.Invalid, Detail: err.Error()}))
					continue
				}
				r := n.core.Do(ctx, &s, n.core.Now())
				t.add(r.Verdict)
				say(false, pg.EncodeResult(&r))
				continue
			case pg.Startup:
				say(false, pg.Greeting(0, command.NewerMinor))
				continue
			case pg.Malformed: // nothing behind this can be told apart
				t.broken++
				log.Printf("replay: %v to %v: %s", c.Client, c.Server, command.Text)
				return t
			default:
				continue
			}
			break
		}
	}
	if len(unread) > 0 {
		t.broken++
		log.Printf("replay: %v to %v: it ends inside a message", c.Client, c.Server)
	}
	return t
}

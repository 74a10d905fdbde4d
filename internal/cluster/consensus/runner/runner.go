package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/vfs"
)

// Options are what a runner needs.
type Options struct {
	Config    consensus.Config
	Directory string // "": nothing is kept; such a pooler can't vote
	FS        vfs.FS // nil: the operating system's
	Clock     clock.Clock
	Send      func(to string, b []byte)      // never waits; what can't be sent is lost
	OnChange  func(consensus.EffectiveRules) // told whenever what is acted on changes; nil: nobody
	OnLease   func(left float64)             // told of each lease, and of going on without one; for the laboratory; nil: nobody
}

const (
	inboxMost  = 1024
	maxMessage = 1 << 20
	// diskPause is how long a node whose folder can't be written stays away.
	diskPause = 2 * time.Second
)

// Runner runs one node. Its methods are safe for concurrent use.
type Runner struct {
	o       Options
	folder  *Storage
	lease   atomic.Pointer[consensus.Lease]
	inbox   chan consensus.Message
	calls   chan call
	views   chan chan View
	reports chan jobs.Report
	ended   chan struct{}
	done    sync.WaitGroup

	lost, foreign, failed atomic.Int64
	away                  atomic.Bool // since its folder could not be written
}

type call struct {
	id     uint64
	rules  consensus.Rules // a version
	entry  *jobs.Entry     // or a line about a work
	change consensus.Rules
	drop   bool // nobody waits any more
	reply  chan consensus.Message
}

// View is what operators see.
type View struct {
	Enabled                  bool                     `json:"on"`
	Effective                consensus.EffectiveRules `json:"acting"`
	LeaseLeftMillis          float64                  `json:"lease_left_ms"`
	IsLeader                 bool                     `json:"leading"`
	Voters                   map[uint64]string        `json:"voters"`
	Versions                 []consensus.Version      `json:"versions"`
	BoundMillis              float64                  `json:"bound_ms"`
	BoundAfterElectionMillis float64                  `json:"bound_with_new_leader_ms"`
	MessagesLost             int64                    `json:"messages_lost"`
	MessagesMalformed        int64                    `json:"messages_unread"`
	SavesFailed              int64                    `json:"saves_failed"`
}

// Start runs a node on what its folder holds.
func Start(o Options) (*Runner, error) {
	r := &Runner{o: o, inbox: make(chan consensus.Message, inboxMost), calls: make(chan call), views: make(chan chan View), reports: make(chan jobs.Report, 1), ended: make(chan struct{})}
	if o.Directory == "" && slices.Contains(o.Config.Voters, o.Config.Name) {
		return nil, &consensus.NoStorageError{Pooler: o.Config.Name}
	}
	var kept *consensus.PersistentState
	var unkept error
	if o.Directory != "" {
		var err error
		if o.FS == nil {
			o.FS = vfs.OS{}
		}
		if r.folder, err = OpenStorage(o.FS, o.Directory); err != nil {
			return nil, err
		}
		if kept, err = r.load(); errors.Is(err, ErrNotDurable) {
			unkept = err
		} else if err != nil {
			r.folder.Close()
			return nil, err
		}
	}
	n, err := consensus.New(o.Config, kept, o.Clock.Now())
	if err != nil {
		if r.folder != nil {
			r.folder.Close()
		}
		return nil, err
	}
	g := n.Lease()
	r.lease.Store(&g)
	if unkept != nil { // it goes by its limits meanwhile
		r.failed.Add(1)
		r.away.Store(true)
		slog.Error("cluster: " + unkept.Error())
		n = nil
	}
	r.done.Go(func() { r.run(n) })
	return r, nil
}

// Stop ends it.
func (r *Runner) Stop() {
	close(r.ended)
	r.done.Wait()
	if r.folder != nil {
		r.folder.Close()
	}
}

// Effective is what to go by now.
func (r *Runner) Effective() consensus.EffectiveRules {
	return r.lease.Load().Effective(r.o.Clock.Now())
}

// Receive takes a message from another pooler. It never waits.
func (r *Runner) Receive(b []byte) {
	m, err := Decode(b)
	if err != nil {
		r.foreign.Add(1)
		return
	}
	select {
	case r.inbox <- m:
	default:
		r.lost.Add(1)
	}
}

// Propose brings rules in and waits until they stand in the log, or are refused.
func (r *Runner) Propose(ctx context.Context, rules consensus.Rules) (version int, err error) {
	if err := rules.Validate(); err != nil {
		return 0, err
	}
	a, err := r.ask(ctx, call{rules: rules})
	return a.Version.Number, err
}

// ProposeJobEntry brings an entry about a work in and waits until it stands in the log, or is refused (*owner.Refusal). With change
// it makes a version of the rules, whose number it returns. After any other error it may still come into the log.
func (r *Runner) ProposeJobEntry(ctx context.Context, e jobs.Entry, change consensus.Rules) (version int, err error) {
	if f := e.Validate(); f != nil {
		return 0, f
	}
	a, err := r.ask(ctx, call{entry: &e, change: change})
	return a.Version.Number, err
}

// ask has the node propose something and waits for what comes of it.
func (r *Runner) ask(ctx context.Context, c call) (consensus.Message, error) {
	begun := time.Now()
	c.id, c.reply = rand.Uint64(), make(chan consensus.Message, 1)
	select {
	case r.calls <- c:
	case <-ctx.Done():
		return consensus.Message{}, ctx.Err()
	case <-r.ended:
		return consensus.Message{}, &consensus.ShutdownError{}
	}
	select {
	case a := <-c.reply:
		if a.Refused != nil {
			return a, a.Refused
		}
		if !a.OK {
			return a, &consensus.RejectedError{Reason: a.Why}
		}
		return a, nil
	case <-ctx.Done():
		select {
		case r.calls <- call{id: c.id, drop: true}:
		case <-r.ended:
		}
		return consensus.Message{}, &consensus.NoLeaderError{Waited: time.Since(begun), Err: ctx.Err()}
	case <-r.ended:
		return consensus.Message{}, &consensus.ShutdownError{MayHaveCommitted: true}
	}
}

// SetReport tells the leader what this pooler says of itself, with the next renewals.
func (r *Runner) SetReport(o jobs.Report) {
	select {
	case <-r.reports: // one that was not taken yet is out of date
	default:
	}
	select {
	case r.reports <- o:
	default:
	}
}

// IsStorageHealthy says whether the folder takes what is to be kept.
func (r *Runner) IsStorageHealthy() bool { return !r.away.Load() }

// Lease is what is held now.
func (r *Runner) Lease() *consensus.Lease { return r.lease.Load() }

// View returns it.
func (r *Runner) View() View {
	c := make(chan View, 1)
	select {
	case r.views <- c:
		return <-c
	case <-r.ended:
		return View{}
	}
}

// run is the only goroutine that touches the node.
func (r *Runner) run(n *consensus.Node) {
	tick := time.NewTicker(clock.Duration(r.o.Config.ElectionTimeoutMillis / 20))
	defer tick.Stop()
	open := map[uint64]chan consensus.Message{}
	var last *consensus.EffectiveKey // that Changed was told of; nil: none yet
	var until, warned float64
	var away time.Time // since its folder could not be written
	for {
		var now float64
		select {
		case <-r.ended:
			return
		case <-tick.C:
			if now = r.o.Clock.Now(); n != nil {
				n.Tick(now)
			} else if time.Since(away) > diskPause {
				if n = r.again(); n == nil {
					away = time.Now()
				}
			}
		case m := <-r.inbox:
			if now = r.o.Clock.Now(); n != nil {
				n.Receive(now, m)
			}
		case c := <-r.calls:
			if now = r.o.Clock.Now(); n == nil {
				if !c.drop {
					c.reply <- consensus.Message{Why: (&consensus.NoStorageError{Pooler: r.o.Config.Name}).Error()}
				}
				continue
			}
			if c.drop {
				n.Abandon(c.id)
				delete(open, c.id)
				break
			}
			open[c.id] = c.reply
			var err error
			if c.entry != nil {
				err = n.ProposeJobEntry(now, c.id, *c.entry, c.change)
			} else {
				err = n.Propose(now, c.id, c.rules)
			}
			if err != nil {
				c.reply <- consensus.Message{Why: err.Error()}
				delete(open, c.id)
			}
		case o := <-r.reports:
			if now = r.o.Clock.Now(); n != nil {
				n.SetReport(o)
			}
		case c := <-r.views:
			c <- r.view(n)
			continue
		}
		if n != nil && !r.carry(n, open) {
			n, away = nil, time.Now()
			r.away.Store(true)
		} else if n != nil {
			r.away.Store(false)
		}
		g := r.lease.Load()
		if b := g.EffectiveKey(now); r.o.OnChange != nil && (last == nil || b != *last) {
			last = &b
			r.o.OnChange(g.Effective(now))
		}
		if r.o.OnLease != nil {
			// A grant that came too late for its lease is none; to go on without one is a fault, told every 100 ms.
			if fresh := g.ExpiresAt != until && now < g.ExpiresAt; fresh || !g.Expired(now) && now >= g.ExpiresAt && now >= warned {
				until, warned = g.ExpiresAt, now+100
				r.o.OnLease(max(g.ExpiresAt-now, -1e9))
			}
		}
	}
}

// carry does what the node wants done; false: it could not be saved, so nothing of it has happened, and the node ends as
// if its process had.
func (r *Runner) carry(n *consensus.Node, open map[uint64]chan consensus.Message) bool {
	out := n.Output()
	if out.Save != nil && r.folder != nil {
		begun := time.Now()
		err := r.folder.Save(out.Save)
		n.RecordSaveDuration(clock.Millis(time.Since(begun)))
		if err != nil {
			if r.failed.Add(1) == 1 {
				slog.Error("cluster: what was agreed can't be kept: " + err.Error() + "; this pooler goes on with what it holds, until its lease ends")
			}
			return false
		}
	}
	g := n.Lease()
	r.lease.Store(&g)
	for _, m := range out.Messages {
		if m.To == r.o.Config.Name {
			select {
			case r.inbox <- m:
			default:
				r.lost.Add(1)
			}
			continue
		}
		b, err := Encode(m)
		if err != nil {
			slog.Error("cluster: a message can't be written: " + err.Error())
			continue
		}
		r.o.Send(m.To, b)
	}
	for _, a := range out.Results {
		if c, ok := open[a.ID]; ok {
			c <- a
			delete(open, a.ID)
		}
	}
	return true
}

// load reads the folder; with one that is a copy or spoilt the node goes on under a new identity.
func (r *Runner) load() (*consensus.PersistentState, error) {
	kept, err := r.folder.Load()
	if errors.Is(err, ErrCopy) || errors.Is(err, ErrMalformed) {
		slog.Error("cluster: " + err.Error() + "; this pooler comes under a new identity")
		return kept, nil
	}
	return kept, err
}

// again starts the node once more on what its folder holds.
func (r *Runner) again() *consensus.Node {
	kept, err := r.load()
	if err != nil {
		return nil
	}
	n, err := consensus.New(r.o.Config, kept, r.o.Clock.Now())
	if err != nil {
		slog.Error("cluster: " + err.Error())
		return nil
	}
	slog.Info("cluster: trying the folder again")
	return n
}

func (r *Runner) view(n *consensus.Node) View {
	now := r.o.Clock.Now()
	g := r.lease.Load()
	v := View{Enabled: true, Effective: g.Effective(now), LeaseLeftMillis: max(0, g.ExpiresAt-now), MessagesLost: r.lost.Load(), MessagesMalformed: r.foreign.Load(), SavesFailed: r.failed.Load()}
	v.BoundMillis, v.BoundAfterElectionMillis = r.o.Config.ActivationBoundMillis()
	if n != nil {
		v.IsLeader, v.Voters, v.Versions = n.IsLeader(), maps.Clone(n.Voters()), slices.Clone(n.Versions()) // they change while this is read
	}
	return v
}

// wire is a message as it travels.
type wire struct {
	consensus.Message
	Raft []byte `json:"Raft,omitempty"`
}

// Encode writes a message.
func Encode(m consensus.Message) ([]byte, error) {
	w := wire{Message: m}
	if m.Raft != nil {
		b, err := proto.Marshal(m.Raft)
		if err != nil {
			return nil, err
		}
		w.Raft, w.Message.Raft = b, nil
	}
	return json.Marshal(w)
}

// Decode reads one. What no node would send is an error.
func Decode(b []byte) (consensus.Message, error) {
	var w wire
	if len(b) > maxMessage {
		return consensus.Message{}, fmt.Errorf("a message of %d bytes", len(b))
	}
	if err := json.Unmarshal(b, &w); err != nil {
		return consensus.Message{}, err
	}
	m := w.Message
	if m.Raft = nil; w.Raft != nil {
		m.Raft = &pb.Message{}
		if err := proto.Unmarshal(w.Raft, m.Raft); err != nil {
			return consensus.Message{}, err
		}
	}
	if (m.Kind == consensus.KindRaft) != (m.Raft != nil) || m.From == "" || m.Kind > consensus.KindJobUpdate {
		return consensus.Message{}, fmt.Errorf("a message of kind %d that lacks a part", m.Kind)
	}
	for _, held := range []*consensus.Version{&m.Version, &m.Held.Active, m.Held.Pending} {
		if held != nil {
			if err := held.Rules.Validate(); err != nil {
				return consensus.Message{}, err
			}
		}
	}
	return m, nil
}

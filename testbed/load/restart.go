package load

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/admin"
	"ashstand/internal/warmstate"
	"ashstand/testbed/fleet"
	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// RestartOptions are those of the measurement of restarts.
type RestartOptions struct {
	Kills    int
	Replicas int // of the primary; half of those beyond the first six take reads and say nothing
	Rounds   int // restarts with the file and as many without it
	Seed     uint64
	Break    string
	Only     string // of what is kept, this kind of fact alone
	Pooler   string
	Log      bool
}

// Facts are the kinds that Only can name.
var Facts = []string{"limit", "failures", "lag", "role", "class"}

// keepOnly takes all other kinds of facts out of a file.
func keepOnly(path, fact string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	s, _, err := warmstate.Decode(b)
	if err != nil {
		return err
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if fact != "limit" {
			h.Limit = 3 // as at the start
		}
		if fact != "failures" {
			h.FailureScore = 0
		}
		if fact != "lag" {
			h.Lag = -1
		}
		if fact != "role" {
			h.IsPrimary = false
		}
	}
	if fact != "class" {
		s.Classes = nil
	}
	if b, err = warmstate.Encode(s); err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}

// RestartBreakable are the guarantees that restart can see broken.
var RestartBreakable = []string{"ageing", "sync", "position"}

// oldest is the age from which nothing may count; it is said here again, so that the pooler's own word is not what
// judges it.
const oldest = 24 * time.Hour

// Restart kills the real program while it writes what it learned, over and over, and then compares restarts with the
// file and without it.
func Restart(ctx context.Context, o RestartOptions) (*report.Result, error) {
	g := report.New("restart", o.Seed, "unreadable_file", "trusted_past_age", "stale_read", "missed_own_write", "sent_to_draining", "cold_overload", "lost_commit")
	folder, err := os.MkdirTemp("", "testbed-state-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	var env []string
	if o.Break != "" {
		env = append(env, "ASHSTAND_BREAK="+o.Break)
	}
	f, err := fleet.Start(fleet.Options{
		Pooler: o.Pooler, Replicas: max(7, o.Replicas), Lag: 20 * time.Millisecond, Seed: o.Seed, Clients: 10, Servers: 8, Env: env,
		Log: o.Log, State: folder, Pace: 2 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	defer func() { f.Stop() }()
	begun := time.Now()
	if err := kills(ctx, o, f, g, folder); err != nil {
		return nil, err
	}
	if err := tooOld(ctx, f, g, folder); err != nil {
		return nil, err
	}
	if err := compare(ctx, o, f, g, folder); err != nil {
		return nil, err
	}
	_, rss := f.Pooler.Usage()
	g.Do(func(r *report.Result) {
		for _, h := range f.Hosts {
			c := h.Counts.All()
			r.Broken["sent_to_draining"] += c["sent_to_draining"]
			r.Broken["cold_overload"] += c["cold_overload"]
		}
		r.Broken["stale_read"] = r.Broken["missed_own_write"]
		r.Memory.RSS = rss
	})
	return g.Result(time.Since(begun).Seconds()), nil
}

// crowd is the load on a fleet's one pooler, which may be killed at any moment.
func crowd(ctx context.Context, f *fleet.Fleet, g *report.Collector, seed uint64, n int, mean time.Duration, observed func(string, time.Duration, bool)) *sync.WaitGroup {
	return StartListeners(ctx, f, g, ListenerOptions{
		Name: fmt.Sprint("k", seed), Seed: seed, Count: n, Mean: mean, Address: func() string { return f.Pooler.Statement },
		Killed: func(time.Time) bool { return true }, Observed: observed,
	})
}

// ListenerOptions are clients of one pooler that outlive it.
type ListenerOptions struct {
	Name     string // of all; each has a number behind it
	Seed     uint64
	Count    int
	Mean     time.Duration // between two requests of one
	Open     bool          // a request is due when it is, however long the one before took
	Address  func() string
	Killed   func(since time.Time) bool
	Observed func(class string, took time.Duration, ok bool) // nil: nobody
}

// StartListeners plays them until ctx ends.
func StartListeners(ctx context.Context, f *fleet.Fleet, g *report.Collector, o ListenerOptions) *sync.WaitGroup {
	var all sync.WaitGroup
	var done atomic.Int64
	for i := range o.Count {
		l := &listener{name: fmt.Sprintf("%s-%d", o.Name, i), g: g, fleet: f, rng: rand.New(rand.NewPCG(o.Seed, uint64(i))), done: &done, killed: o.Killed, observed: o.Observed}
		all.Go(func() {
			defer l.close()
			due := time.Now()
			for ctx.Err() == nil {
				l.step(o.Address())
				if !o.Open {
					due = time.Now()
				}
				due = due.Add(time.Duration(l.rng.ExpFloat64() * float64(o.Mean)))
				if !sleep(ctx, time.Until(due)) {
					return
				}
			}
		})
	}
	return &all
}

// again kills the pooler and starts it at the same addresses.
func again(f *fleet.Fleet) error {
	f.Pooler.Stop()
	p, err := f.StartPooler("n1")
	if err == nil {
		f.Pooler = p
	}
	return err
}

// kills ends the pooler at random moments while it writes all the time, and reads what it left.
func kills(ctx context.Context, o RestartOptions, f *fleet.Fleet, g *report.Collector, folder string) error {
	rng := rand.New(rand.NewPCG(o.Seed, 77))
	run, stop := context.WithCancel(ctx)
	defer stop()
	all := crowd(run, f, g, o.Seed, 10, 20*time.Millisecond, nil)
	defer func() { stop(); all.Wait() }()
	lagging := f.Hosts[2]
	for i := range o.Kills {
		if !sleep(ctx, time.Duration(10+rng.IntN(60))*time.Millisecond) {
			return ctx.Err()
		}
		f.Pooler.Stop()
		b, err := os.ReadFile(filepath.Join(folder, "learned.ash"))
		switch {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil:
			return err
		default:
			if _, lost, err := warmstate.Decode(b); err != nil || len(lost) > 0 {
				g.Break("unreadable_file", "kill %d left %d bytes: %v, lost %v", i, len(b), err, lost)
			}
		}
		switch i % 10 { // what was learned is not what holds now
		case 3:
			lagging.SetLag(3 * time.Second)
		case 6:
			lagging.SetLag(20 * time.Millisecond)
			f.Drain(f.Hosts[3], i%20 == 6)
		case 9:
			h := f.Hosts[4]
			h.Stop()
			if err := h.Restart(); err != nil {
				return err
			}
			f.Publish()
		}
		g.Do(func(r *report.Result) { r.Faults["kill"]++ })
		if err := again(f); err != nil {
			return err
		}
	}
	f.Drain(f.Hosts[3], false)
	lagging.SetLag(20 * time.Millisecond)
	return nil
}

// tooOld starts the pooler with files that are too old, from the future, or another's, and asks what it made of them.
func tooOld(ctx context.Context, f *fleet.Fleet, g *report.Collector, folder string) error {
	path := filepath.Join(folder, "learned.ash")
	for name, change := range map[string]func(h *warmstate.Header){
		"two days old":    func(h *warmstate.Header) { h.WrittenAt -= float64((2 * oldest).Milliseconds()) },
		"from the future": func(h *warmstate.Header) { h.WrittenAt += float64(time.Hour.Milliseconds()) },
		"another's":       func(h *warmstate.Header) { h.Name = "n2" },
	} {
		if !sleep(ctx, 300*time.Millisecond) {
			return ctx.Err()
		}
		f.Pooler.Stop()
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		s, _, err := warmstate.Decode(b)
		if err != nil {
			continue // it was counted
		}
		change(&s.Header)
		if b, err = warmstate.Encode(s); err != nil {
			return err
		}
		if err := os.WriteFile(path, b, 0o600); err != nil {
			return err
		}
		if err := again(f); err != nil {
			return err
		}
		var view struct{ Taken []warmstate.FactAge }
		if err := admin.Get(f.Pooler.Admin, "state", &view); err != nil {
			return err
		}
		if len(view.Taken) == 0 {
			return fmt.Errorf("the pooler tells nothing of a file that is %s", name)
		}
		for _, v := range view.Taken {
			if v.Weight > 0 {
				g.Break("trusted_past_age", "a file that is %s counts for %.2f: %s", name, v.Weight, v.Fact)
			}
		}
		g.Do(func(r *report.Result) { r.Faults["file "+name]++ })
	}
	return nil
}

// side is what was seen of restarts with the file, or without it.
type side struct {
	recovery, primary, cold []float64
}

const (
	steadyFor = 5 * time.Second
	watchFor  = 5 * time.Second
	slot      = 20 * time.Millisecond
	window    = 20 // slots over which a share is taken
)

// compare restarts the pooler before a fleet with a slow, a lagging and a cold host, with the file and without it.
func compare(ctx context.Context, o RestartOptions, f *fleet.Fleet, g *report.Collector, folder string) error {
	if o.Rounds == 0 {
		return nil
	}
	// The primary, a usual one, a slow one, one that lags, one that is cold, a usual one, and two that take reads and say
	// nothing for seconds while their reports look well.
	for i, h := range f.Hosts {
		h.SetCapacity(500)
		if i < 3 {
			h.SetCapacity([]float64{700, 500, 8}[i])
		}
	}
	f.Hosts[3].SetLag(1500 * time.Millisecond)
	for _, h := range f.Hosts[6+(len(f.Hosts)-6)/2:] {
		h.SetFaults(host.Faults{Stall: 0.9, StallFor: 3 * time.Second})
	}
	var mu sync.Mutex
	good, asked := map[int64]int{}, map[int64]int{}
	observed := func(_ string, took time.Duration, ok bool) {
		at := time.Now().Add(-took).UnixMilli() / slot.Milliseconds() // by when it was asked
		mu.Lock()
		defer mu.Unlock()
		if asked[at]++; ok && took < 300*time.Millisecond {
			good[at]++
		}
	}
	run, stop := context.WithCancel(ctx)
	defer stop()
	all := crowd(run, f, g, o.Seed+1, 20, 150*time.Millisecond, observed)
	defer func() { stop(); all.Wait() }()
	share := func(from, to time.Time) float64 {
		mu.Lock()
		defer mu.Unlock()
		a, b := 0, 0
		for s := from.UnixMilli() / slot.Milliseconds(); s < to.UnixMilli()/slot.Milliseconds(); s++ {
			a, b = a+good[s], b+asked[s]
		}
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	var sides [2]side
	for i := range 2 * o.Rounds {
		with := i%2 == 0
		cold := f.Hosts[4]
		if !sleep(ctx, steadyFor) {
			return ctx.Err()
		}
		steady := share(time.Now().Add(-steadyFor/2), time.Now())
		cold.Stop() // it starts just before the pooler does
		if err := cold.Restart(); err != nil {
			return err
		}
		f.Publish()
		if !sleep(ctx, 700*time.Millisecond) {
			return ctx.Err()
		}
		f.Pooler.Stop()
		path := filepath.Join(folder, "learned.ash")
		if !with {
			_ = os.Remove(path)
		} else if o.Only != "" {
			if err := keepOnly(path, o.Only); err != nil {
				return err
			}
		}
		before := f.Hosts[0].Counts.All()["reads"]
		for _, h := range f.Hosts {
			h.WarmupLoad()
		}
		p, err := f.StartPooler("n1")
		if err != nil {
			return err
		}
		f.Pooler = p
		up := time.Now()
		if !sleep(ctx, watchFor+slot) {
			return ctx.Err()
		}
		recovered := watchFor
		for d := time.Duration(0); d+window*slot <= watchFor; d += slot {
			if share(up.Add(d), up.Add(d+window*slot)) >= 0.95*steady {
				recovered = d
				break
			}
		}
		s := &sides[i%2]
		s.recovery = append(s.recovery, max(slot.Seconds(), recovered.Seconds()))
		s.primary = append(s.primary, float64(f.Hosts[0].Counts.All()["reads"]-before))
		s.cold = append(s.cold, cold.WarmupLoad())
	}
	g.Do(func(r *report.Result) {
		for name, of := range map[string]func(s *side) []float64{
			"seconds to 95 % of the steady share": func(s *side) []float64 { return s.recovery },
			"reads at the primary in 5 s":         func(s *side) []float64 { return s.primary },
			"work sent to the cold host in 5 s":   func(s *side) []float64 { return s.cold },
		} {
			with, without := median(of(&sides[0])), median(of(&sides[1]))
			if without > 0 {
				r.Baseline[name], r.Ratio[name] = without, with/without
			}
			r.Notes = append(r.Notes, fmt.Sprintf("%s: with the file %.2f, without %.2f (medians of %d)", name, with, without, o.Rounds))
		}
	})
	return nil
}

func median(xs []float64) float64 {
	s := slices.Sorted(slices.Values(xs))
	if len(s) == 0 {
		return 0
	}
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

package cluster

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ashstand/internal/admin"
	"ashstand/testbed/fleet"
	"ashstand/testbed/report"
)

// The times of works in a run. A deed of a drill takes a few milliseconds; one in doubt is looked for after a second.
const (
	runStall   = 2500 * time.Millisecond
	runTenure  = 500 * time.Millisecond
	runBackOff = 2 * time.Second
	runPace    = 40 * time.Millisecond
	runDeed    = time.Second
	runDrills  = 4
	drillEvery = 60 * time.Millisecond
	drillIn    = "works" // the database
	ownerEvery = 3 * time.Second
	ownerRest  = 5 * time.Second // that an owner which is left alone needs at the most, from the last fault on: stall, deed, takeover
	// OwnerRest is for how long nothing goes wrong at the end of a run.
	OwnerRest = 6*time.Second + ownerRest
)

// JobsBreakable are the guarantees of works that can be switched off.
var JobsBreakable = []string{"fence", "token", "resume"}

// works is that block of a pooler's file.
func (r *rig) works() string {
	return fmt.Sprintf("    works {\n      stall = %q\n      tenure = %q\n      back_off = %q\n      pace = %q\n      deed = %q\n    }\n", runStall, runTenure, runBackOff, runPace, runDeed)
}

// workSeen is what the judge reads of a work: declared here again, so that the program's own types don't judge it.
type workSeen struct {
	Name     string
	Owner    string
	Instance uint64
	Token    uint64
	Step     uint64
	State    struct{ Prepared, Done int }
	Deed     *struct{ Number uint64 }
	Owners   int
	Ended    bool
}

type workPoll struct {
	at    time.Time
	of    string // whose view
	works []workSeen
}

// owners is what a run of works has seen.
type owners struct {
	*rig
	mu    sync.Mutex
	polls []workPoll
	kills []handing // in calm; of disturb alone until that has ended
	words map[string]bool
}

// handing is a work taken from its owner while nothing else was wrong.
type handing struct {
	work, kind string
	token      uint64
	at         time.Time
	leads      bool // the owner also led the log
}

// RunJobs plays a plan while works are done by one owner at a time, and judges by the places that they act on.
func RunJobs(ctx context.Context, o Options) (*Outcome, error) {
	o.Agree, o.Works = true, true
	g := report.New("cluster owner", o.Plan.Seed, append([]string{
		"two_owners", "old_token_accepted", "token_went_back", "deed_twice", "deed_lost", "orphaned",
		"takeover_past_bound",
	}, service...)...)
	r := &owners{rig: &rig{o: o, g: g, begun: time.Now()}, words: map[string]bool{}}
	return r.whole(ctx, r.beside, r.judge)
}

// Calm is for how long a run's owners alone are taken away, so that the time without one can be held to its bound.
func Calm(length time.Duration) time.Duration { return min(length/3, 20*time.Second) }

func (r *owners) beside(ctx context.Context) {
	r.fleet.Cluster.Database(drillIn)
	var all sync.WaitGroup
	all.Go(func() { r.watchWorks(ctx) })
	for i := range runDrills {
		r.create(ctx, fmt.Sprint("drill-", i+1))
	}
	all.Go(func() { r.disturb(ctx) })
	all.Wait()
}

// create brings a drill in, at whichever pooler takes it.
func (r *owners) create(ctx context.Context, name string) {
	spec := map[string]any{"database": drillIn, "groups": []int{1}, "deeds": 1000000, "every_ms": float64(drillEvery.Milliseconds())}
	body, _ := json.Marshal(map[string]any{"op": "create", "work": name, "kind": "drill", "spec": spec})
	for i := 0; ctx.Err() == nil; i++ {
		p, paused := r.nodes[i%len(r.nodes)].process()
		if p == nil || paused {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		var out struct{ Work string }
		err := admin.Invoke(p.Admin, "work", body, &out)
		if err == nil || strings.Contains(err.Error(), "there is a work of that name") {
			r.tell(name, "created")
			return
		}
		r.tell(name, "not created: %v", err)
		sleep(ctx, 100*time.Millisecond)
	}
}

// watchWorks reads every pooler's copy of the ledger at a pace.
func (r *owners) watchWorks(ctx context.Context) {
	for sleep(ctx, 100*time.Millisecond) {
		r.each(func(n *node, p *fleet.Pooler) {
			at := time.Now()
			var v struct{ Works []workSeen }
			if admin.Get(p.Admin, "works", &v) == nil && time.Since(at) < 500*time.Millisecond {
				r.mu.Lock()
				r.polls = append(r.polls, workPoll{at, n.name, v.Works})
				r.mu.Unlock()
			}
		})
	}
}

// latest is what is known of a work: from whoever has its highest token, and of those the furthest.
func (r *owners) latest(work string) (w workSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.polls[max(0, len(r.polls)-60):] {
		for _, x := range p.works {
			if x.Name == work && (x.Token > w.Token || x.Token == w.Token && x.Step >= w.Step) {
				w = x
			}
		}
	}
	return w
}

// disturb takes works from their owners: in the calm part each by itself and dated, later on top of what else goes wrong.
func (r *owners) disturb(ctx context.Context) {
	lots := rand.New(rand.NewPCG(r.o.Plan.Seed, 0x0b))
	length, calm := r.o.Plan.Length.D(), Calm(r.o.Plan.Length.D())
	kinds := []string{"kill", "restart", "kill", "stopped at a deed", "long pause", "killed at a deed", "stopped at a deed", "pause", "killed at a deed"}
	for i := 0; sleep(ctx, ownerEvery/2+time.Duration(lots.Int64N(int64(ownerEvery/2)))); i++ {
		if at := r.at(); at > length-OwnerRest {
			return
		} else if len(r.o.Plan.Faults) == 0 && at > calm {
			continue
		}
		w := r.latest(fmt.Sprint("drill-", 1+lots.IntN(runDrills)))
		n := r.node(w.Owner)
		if n == nil {
			continue
		}
		kind := kinds[i%len(kinds)]
		if r.o.Plan.Break == "fence" { // of what it would have caught there is little otherwise
			kind = "stopped at a deed"
		}
		d := 300 + lots.IntN(700)
		if Kinds[kind] == "owner" { // before the act and behind it, in turn
			point := []string{"announced", "acted"}[lots.IntN(2)]
			if r.o.Plan.Break == "fence" {
				point = "announced"
			}
			r.atDeed(ctx, n, kind, point, time.Duration(d)*time.Millisecond)
			continue
		}
		if kind == "long pause" {
			d = int(5 * runLease / time.Millisecond)
		}
		at := r.at()
		if at < calm-ownerRest && (kind == "kill" || kind == "restart") {
			p, _ := n.process()
			var v struct{ Leading bool }
			if p != nil && admin.Get(p.Admin, "agreement", &v) == nil {
				for j := range runDrills { // all that it owns
					if x := r.latest(fmt.Sprint("drill-", j+1)); x.Owner == n.name {
						r.kills = append(r.kills, handing{x.Name, kind, x.Token, time.Now(), v.Leading})
					}
				}
			}
		}
		r.play(ctx, Fault{Kind: kind, A: n.name, At: Millis(at.Milliseconds()), For: Millis(d)})
	}
}

// atDeed has an owner's process stop, or end, between announcing a deed and doing it, or between that and its proof.
func (r *owners) atDeed(ctx context.Context, n *node, kind, point string, d time.Duration) {
	n.mu.Lock()
	p := n.pooler
	if !n.serves || n.paused || n.drains {
		n.mu.Unlock()
		return
	}
	n.drains = true // it ends or stops by itself, and that is no crash
	n.mu.Unlock()
	word := "stop"
	if kind == "killed at a deed" {
		word = "kill"
	}
	trap := n.trace + ".trap"
	s := &span{Fault: Fault{Kind: kind, A: n.name, At: Millis(r.at().Milliseconds())}, from: time.Now()}
	r.rig.mu.Lock()
	r.spans = append(r.spans, s)
	r.rig.mu.Unlock()
	_ = os.WriteFile(trap, []byte(word+" "+point+" write"), 0o600)
	sprung := false
	for end := time.Now().Add(1500 * time.Millisecond); !sprung && time.Now().Before(end) && sleep(ctx, 5*time.Millisecond); {
		_, err := os.Stat(trap)
		sprung = err != nil
	}
	_ = os.Remove(trap)
	if sprung {
		r.tell(n.name, "%s, %s", kind, point)
		r.g.Do(func(q *report.Result) { q.Faults[kind+", "+point]++ })
	}
	if sprung && word == "kill" {
		select { // it may have been another fault's kill meanwhile
		case <-p.Ended():
		case <-time.After(time.Second):
		}
		if end, err := r.away(n, nil); err == nil {
			sleep(ctx, d)
			end()
		}
	} else if sprung {
		n.mu.Lock()
		n.paused = n.pooler == p
		n.mu.Unlock()
		sleep(ctx, 5*runLease)
		_ = p.Signal(syscall.SIGCONT)
	}
	n.mu.Lock()
	if n.pooler == p {
		n.paused, n.drains = false, false
	}
	n.mu.Unlock()
	r.rig.mu.Lock()
	s.till = time.Now()
	r.rig.mu.Unlock()
}

// act is a row that a drill wrote.
type act struct {
	at    float64 // commit
	deed  string
	token uint64
}

func (r *owners) judge() {
	var drills []string
	for i := range runDrills {
		drills = append(drills, fmt.Sprint("drill-", i+1))
	}
	trails := r.trails() // before the rows: works go on meanwhile
	// What the place has taken, in its own order.
	acts := map[string][]act{}
	for _, vs := range r.fleet.Cluster.Database(drillIn).Histories("ashstand.acts") {
		for _, v := range vs {
			deed, _, _ := strings.Cut(v.Values["ref"], "#")
			work, _, _ := strings.Cut(deed, "/")
			token, _ := strconv.ParseUint(v.Values["payload"], 10, 64)
			acts[work] = append(acts[work], act{v.At, deed, token})
		}
	}
	changes, total := 0, 0
	for _, name := range drills {
		of := acts[name]
		slices.SortStableFunc(of, func(a, b act) int { return cmp.Compare(a.at, b.at) })
		count, high := map[string]int{}, uint64(0)
		for _, a := range of {
			if a.token < high {
				r.g.Break("old_token_accepted", "%s: %s by token %d after token %d", name, a.deed, a.token, high)
			}
			high = max(high, a.token)
			if count[a.deed]++; count[a.deed] == 2 {
				r.g.Break("deed_twice", "%s", a.deed)
			}
		}
		for deed, proven := range trails[name] {
			if proven && count[deed] == 0 {
				r.g.Break("deed_lost", "%s was proven, and its row is not there", deed)
			} else if !proven && count[deed] > 0 {
				r.g.Break("deed_twice", "%s was found not done, and its row is there beside that of the next try", deed)
			}
		}
		end := r.latest(name)
		changes, total = changes+max(0, end.Owners-1), total+end.State.Done
		// What is proven, and what was done and not yet proven.
		if n := len(count); n < end.State.Done {
			r.g.Break("deed_lost", "%s: the log has %d deeds done, the place has rows of %d", name, end.State.Done, n)
		} else if n > end.State.Done+r.since(name, end) {
			r.g.Break("deed_twice", "%s: the log has %d deeds done, the place has rows of %d", name, end.State.Done, n)
		}
		r.judgeOrder(name)
		r.judgeEnd(name, end, of)
	}
	r.judgeTakeover(acts)
	r.g.Do(func(q *report.Result) {
		q.Baseline["changes of owner"], q.Baseline["deeds"] = float64(changes), float64(total)
		q.Baseline["tokens, highest"] = 0
		for _, name := range drills {
			q.Baseline["tokens, highest"] = max(q.Baseline["tokens, highest"], float64(r.latest(name).Token))
		}
	})
}

// since is how many deeds may have been done after a work's state was read: by the pace, until the run's end.
func (r *owners) since(name string, end workSeen) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.polls) - 1; i >= 0; i-- {
		for _, x := range r.polls[i].works {
			if x.Name == name && x.Token == end.Token && x.Step == end.Step {
				return 2 + int(time.Since(r.polls[i].at)/(drillEvery/2))
			}
		}
	}
	return 1
}

// trails are the deeds that processes say were proven, or found not done, by work.
func (r *owners) trails() map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, n := range r.nodes {
		for _, e := range n.events() {
			if e.Event != "work" || e.Deed != "write" { // preparing can be done again and leaves no row
				continue
			}
			if out[e.Work] == nil {
				out[e.Work] = map[string]bool{}
			}
			if deed, ok := strings.CutPrefix(e.Text, "proved "); ok {
				out[e.Work][deed] = true
			} else if deed, ok := strings.CutPrefix(e.Text, "found not done "); ok && !out[e.Work][deed] {
				out[e.Work][deed] = false
			}
		}
	}
	return out
}

// judgeOrder holds what poolers were told of a work against each other: one owner a token, and no process that goes back.
func (r *owners) judgeOrder(name string) {
	type who struct {
		owner    string
		instance uint64
	}
	of := map[uint64]who{}
	high := map[string]uint64{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.polls {
		for _, x := range p.works {
			if x.Name != name {
				continue
			}
			if x.Owner != "" {
				is := who{x.Owner, x.Instance}
				if was, ok := of[x.Token]; ok && was != is {
					r.g.Break("two_owners", "%s: token %d is %v's and %v's", name, x.Token, was, is)
				}
				of[x.Token] = is
			}
			if x.Token < high[p.of] {
				r.g.Break("token_went_back", "%s at %s: %d after %d", name, p.of, x.Token, high[p.of])
			}
			high[p.of] = max(high[p.of], x.Token)
		}
	}
}

// judgeEnd: nothing has been wrong for a while, so each work has an owner that gets on.
func (r *owners) judgeEnd(name string, end workSeen, of []act) {
	age := time.Duration(1 << 62)
	if len(of) > 0 {
		age = time.Since(time.UnixMicro(int64(of[len(of)-1].at * 1e3)))
	}
	if n := r.node(end.Owner); !end.Ended && (n == nil || age > ownerRest) {
		r.g.Break("orphaned", "%s ends with owner %q; its last act was %v ago", name, end.Owner, age.Round(time.Millisecond))
	}
}

// judgeTakeover holds the time without an owner, while nothing else was wrong, against the stated one.
func (r *owners) judgeTakeover(acts map[string][]act) {
	lease, election := float64(runLease.Milliseconds()), float64(runElection.Milliseconds())
	stretch := (1 + runDrift) / (1 - runDrift)
	steady := lease*stretch + 2*float64(runRenew.Milliseconds()) + 4*election/10
	change := steady + 4*election + lease*stretch
	// To the first act: the doer's turn, the drill's own pace, one look for a deed in doubt, the act itself.
	first := 2*float64(runPace.Milliseconds()) + float64(drillEvery.Milliseconds()) + 150
	worst, handed := 0.0, 0.0
	for _, k := range r.kills {
		at := float64(k.at.UnixMicro()) / 1e3
		took := -1.0
		for _, a := range acts[k.work] {
			if a.token > k.token && a.at > at {
				took = a.at - at
				break
			}
		}
		bound := steady + first
		if k.leads || k.kind == "restart" { // one that drains may lead until its end
			bound = change + first
		}
		if took < 0 || took > bound {
			r.g.Break("takeover_past_bound", "%s: %s of its owner at %.2f s, the next act came after %.0f ms; stated are %.0f", k.work, k.kind, k.at.Sub(r.begun).Seconds(), took, bound)
		}
		if worst = max(worst, took/bound); k.kind == "restart" {
			handed = max(handed, took)
		}
	}
	r.g.Do(func(q *report.Result) {
		q.Baseline["takeover"], q.Ratio["takeover"] = steady+first, worst
		q.Baseline["takeover, stated with a new leader, ms"] = change + first
		q.Baseline["without an owner at a hand-over, longest, ms"], q.Baseline["owners taken away in calm"] = handed, float64(len(r.kills))
	})
}

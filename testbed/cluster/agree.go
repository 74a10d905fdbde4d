package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"ashstand/internal/admin"
	"ashstand/internal/cluster/consensus"
	"ashstand/testbed/fleet"
	"ashstand/testbed/report"
)

// The times of the agreement in a run: leases far above a renewal, elections far above a round trip on a busy machine.
const (
	runLease    = 600 * time.Millisecond
	runRenew    = 80 * time.Millisecond
	runElection = 200 * time.Millisecond
	runDrift    = 0.05
	proposeAt   = 1500 * time.Millisecond // about, from one to the next
)

// strictest are the limits of every pooler of a run.
const strictest = `{"class.browse.bound_ms": 50, "class.my-library.repeat": false, "tries": 1, "database.orders.group": 0}`

// limits are strictest and, of each tenant, that nobody serves it who does not know where it is.
func (r *rig) limits() string {
	text := strings.TrimSuffix(strictest, "}")
	for _, t := range r.o.tenants() {
		text += fmt.Sprintf(`, "database.%s.group": 0, "database.%s.paused": true`, t, t)
	}
	return text + "}"
}

// found writes each voter's first folder, by the program's own command, and keeps a copy for later.
func (r *rig) found() error {
	program := r.o.Pooler
	if program == "" {
		var err error
		if program, err = fleet.SiblingProgram("ashstand"); err != nil {
			return err
		}
	}
	voters := r.o.Plan.Names[:Voters(len(r.o.Plan.Names))]
	for _, name := range voters {
		out, err := exec.Command(program, "cluster", "found", name, "--folder", r.folder(name), "--voters", strings.Join(voters, ",")).CombinedOutput()
		if err != nil {
			return fmt.Errorf("cluster found: %w: %s", err, out)
		}
		if err := os.CopyFS(r.folder(name)+"-old", os.DirFS(r.folder(name))); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(r.dir, "limits.json"), []byte(r.limits()), 0o600)
}

func (r *rig) folder(name string) string { return filepath.Join(r.dir, name+"-agreed") }

// agreement is that block of a pooler's file.
func (r *rig) agreement(n *node) string {
	var quoted []string
	works := ""
	if r.o.Works {
		works = r.works()
	}
	for _, v := range r.o.Plan.Names[:Voters(len(r.o.Plan.Names))] {
		quoted = append(quoted, fmt.Sprintf("%q", v))
	}
	return fmt.Sprintf("  agreement {\n    voters = [%s]\n    folder = %q\n    lease = %q\n    renew = %q\n    election = %q\n    drift = %v\n    limits = %q\n%s  }\n",
		strings.Join(quoted, ", "), r.folder(n.name), runLease, runRenew, runElection, runDrift, filepath.Join(r.dir, "limits.json"), works)
}

// spoil takes a node's folder away, or puts the one of the beginning in its place.
func (r *rig) spoil(n *node, old bool) error {
	if err := os.RemoveAll(r.folder(n.name)); err != nil || !old {
		return err
	}
	return os.CopyFS(r.folder(n.name), os.DirFS(r.folder(n.name)+"-old"))
}

// RunConsensus plays a plan while rules are proposed all along, and judges by the processes' traces what each acted on.
func RunConsensus(ctx context.Context, o Options) (*Outcome, error) {
	o.Agree = true
	g := report.New("cluster agree", o.Plan.Seed, append([]string{
		"contradiction_past_bound", "version_went_back", "two_values_one_version",
		"acted_without_lease", "stuck", "order",
	}, service...)...)
	r := &rig{o: o, g: g, begun: time.Now()}
	var told []answered
	return r.whole(ctx, func(ctx context.Context) { told = r.propose(ctx) }, func() { r.judgeTraces(told) })
}

// answered is a proposal that was taken: when it was made and answered, and as which version.
type answered struct {
	begun, ended time.Time
	version      int
}

// propose brings rules in at drawn poolers, and stops early enough for the last to come into force.
func (r *rig) propose(ctx context.Context) (out []answered) {
	lots := rand.New(rand.NewPCG(r.o.Plan.Seed, 0x9209))
	last := r.begun.Add(r.o.Plan.Length.D() - 6*time.Second)
	for time.Now().Before(last) && sleep(ctx, proposeAt/2+time.Duration(lots.Int64N(int64(proposeAt)))) {
		rules := map[string]any{"class.browse.bound_ms": 50 * (1 + lots.IntN(6)), "tries": 1 + lots.IntN(5)}
		if lots.IntN(2) == 0 {
			rules["class.my-library.repeat"] = lots.IntN(2) == 0
		}
		if lots.IntN(3) > 0 {
			rules["database.orders.group"] = 1 + lots.IntN(3)
		}
		n := r.nodes[lots.IntN(len(r.nodes))]
		p, paused := n.process()
		if p == nil || paused {
			continue
		}
		body, _ := json.Marshal(rules)
		var got struct{ Version int }
		begun := time.Now()
		if err := admin.Invoke(p.Admin, "propose", body, &got); err != nil {
			r.tell(n.name, "a proposal was not taken: %v", err)
			continue
		}
		out = append(out, answered{begun, time.Now(), got.Version})
		r.tell(n.name, "proposed version %d", got.Version)
	}
	return out
}

// stretch of time in which a process acted on something.
type stretch struct {
	acted
	who        string
	from, till float64
}

// read makes stretches of a process's trace. Under a lease one ends when the lease does, and each when the process does,
// whatever the trace says.
func (r *rig) read(n *node) (out []stretch) {
	var at stretch
	until := 0.0
	end := func(t float64) {
		if at.versions == nil {
			return
		}
		for _, e := range n.ends {
			if e := float64(e.UnixMicro()) / 1e3; e >= at.from {
				t = min(t, e)
				break
			}
		}
		if at.till = t; !at.lapsed && until < t {
			at.till = until
		}
		if at.till > at.from {
			out = append(out, at)
		}
	}
	for _, e := range n.events() {
		switch e.Event {
		case "start":
			end(e.At)
			at, until = stretch{}, 0
		case "lease":
			if e.Left <= 0 {
				r.g.Break("acted_without_lease", "%s at %.2f s: its lease ended %.0f ms before", n.name, e.At/1e3-float64(r.begun.UnixMilli())/1e3, -e.Left)
			}
			until = max(until, e.At+e.Left)
		case "acts":
			end(e.At)
			at = stretch{acted{e.Versions, e.Rules, e.Lapsed}, n.name, e.At, 0}
		}
	}
	end(float64(time.Now().UnixMilli()))
	return out
}

// acted is what a pooler goes by.
type acted struct {
	versions []int
	rules    map[string]any
	lapsed   bool
}

// proposed are the keys that are brought in, by what is stricter.
type proposed struct {
	lower []string // of two numbers
	no    string   // what forbids
	fence string   // neither
}

// contradicts names the keys at which a permits what b forbids though b has not heard of what a has in force. What is
// stricter is said here by hand, so that the program's own table does not judge it.
func (p proposed) contradicts(a, b acted) (keys []string) {
	fenced := func(r map[string]any) bool { return r[p.fence] == "fenced" || consensus.Rules(r).Fenced(p.fence) } // as shown, or held
	if !fenced(a.rules) && !fenced(b.rules) && a.rules[p.fence] != b.rules[p.fence] {
		keys = append(keys, p.fence)
	}
	if a.lapsed || b.lapsed || slices.Min(a.versions) <= slices.Max(b.versions) {
		return keys // without a lease a pooler claims nothing of others; who knows of the version that a has in force has made room for it
	}
	for _, k := range p.lower {
		x, given := a.rules[k].(float64)
		if y, limited := b.rules[k].(float64); limited && (!given || x > y) {
			keys = append(keys, k)
		}
	}
	if x, given := a.rules[p.no].(bool); !given || x {
		if y, limited := b.rules[p.no].(bool); limited && !y {
			keys = append(keys, p.no)
		}
	}
	return keys
}

// runKeys are those of a run.
var runKeys = proposed{[]string{"class.browse.bound_ms", "tries"}, "class.my-library.repeat", "database.orders.group"}

// grace is how far two processes' traces may be apart: an event is written when its process next has a turn.
const grace = 30.0

func (r *rig) judgeTraces(told []answered) {
	var all []stretch
	for _, n := range r.nodes {
		all = append(all, r.read(n)...)
	}
	longest, versions, values := 0.0, 0, map[int]string{}
	first := map[int]float64{}
	for i, a := range all {
		for _, b := range all[:i] {
			if a.who == b.who {
				continue
			}
			from, till := max(a.from, b.from), min(a.till, b.till)
			if till <= from {
				continue
			}
			keys := append(runKeys.contradicts(a.acted, b.acted), runKeys.contradicts(b.acted, a.acted)...)
			if len(keys) == 0 {
				continue
			}
			if longest = max(longest, till-from); till-from > grace {
				r.g.Break("contradiction_past_bound", "at %.2f s for %.0f ms: %s on %v and %s on %v, by %s", from/1e3-float64(r.begun.UnixMilli())/1e3, till-from, a.who,
					a.versions, b.who, b.versions, keys[0])
			}
		}
		if a.lapsed {
			continue
		}
		if len(a.versions) == 1 {
			v := a.versions[0]
			text, _ := json.Marshal(a.rules)
			if was, ok := values[v]; ok && was != string(text) {
				r.g.Break("two_values_one_version", "version %d is %s and %s", v, was, text)
			}
			values[v], versions = string(text), max(versions, v)
			if _, ok := first[v]; !ok || a.from < first[v] {
				first[v] = a.from
			}
		}
	}
	for _, n := range r.nodes {
		low, end := 0, stretch{}
		for _, a := range all {
			if a.who != n.name {
				continue
			}
			if end = a; a.lapsed {
				continue
			}
			if slices.Min(a.versions) < low {
				r.g.Break("version_went_back", "%s acted on %v, it was at %d", n.name, a.versions, low)
			}
			low = max(low, slices.Min(a.versions))
		}
		if n.gone {
			continue
		}
		if end.lapsed || len(end.versions) != 1 || end.versions[0] != versions {
			r.g.Break("stuck", "%s ends on %v, lapsed %v; version %d is in force", n.name, end.versions, end.lapsed, versions)
		}
	}
	var took []float64
	for _, a := range told {
		for _, b := range told {
			if a.ended.Before(b.begun) && a.version >= b.version {
				r.g.Break("order", "version %d was answered before %d was proposed", a.version, b.version)
			}
		}
		if at, ok := first[a.version]; ok {
			took = append(took, at-float64(a.begun.UnixMicro())/1e3)
		}
	}
	slices.Sort(took)
	r.g.Do(func(q *report.Result) {
		bound := float64(runLease.Milliseconds())*(1+runDrift)/(1-runDrift) + 4*float64(runRenew.Milliseconds()) + 2*float64(runElection.Milliseconds())/10
		q.Baseline["stated time, ms"], q.Ratio["contradiction"] = bound, longest/bound
		q.Baseline["contradiction"] = bound
		q.Baseline["versions in force"], q.Baseline["proposals taken"] = float64(versions), float64(len(told))
		if len(took) > 0 {
			q.Baseline["proposal to in force p50, ms"], q.Baseline["proposal to in force max, ms"] = took[len(took)/2], took[len(took)-1]
		}
	})
}

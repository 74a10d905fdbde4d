package cluster

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"ashstand/testbed/host"
	"ashstand/testbed/report"
)

// judge holds what clients were told against what the groups hold, and what moved against what was said.
func (r *movers) judge() {
	r.noteOnce()
	r.mu.Lock()
	defer r.mu.Unlock()
	lost, lostCommit := map[[2]string]bool{}, map[noted]bool{}
	passed := 0
	for g, c := range r.fleet.Groups {
		for _, k := range c.Lost() {
			for _, row := range k.Rows {
				if k.Origin != "" {
					passed++
					continue
				}
				lost[[2]string{k.Database, row.Key}] = true
				lostCommit[noted{k.At, g + 1, k.LSN, k.Database, row.Key}] = true
			}
		}
	}
	homes := r.homes()
	r.judgeWrites(homes, lost)
	r.judgeHomes(homes, lostCommit)
	r.judgeRegisters(lost)
	r.judgePauses()
	r.judgeWords()
	ended, back := 0, 0
	for _, m := range r.moves {
		switch {
		case m.Ended && m.State.Phase == "done":
			ended++
		case m.Ended:
			back++
		}
	}
	if r.o.Plan.Length.D() >= time.Minute && r.o.Plan.Break == "" && (ended < 6 || back < 2) {
		r.g.Break("too_few", "%d moves ended and %d were taken back", ended, back)
	}
	r.g.Do(func(q *report.Result) {
		q.Baseline["moves ended"], q.Baseline["moves taken back"], q.Baseline["moves ordered"] = float64(ended), float64(back), float64(len(r.orders))
		q.Baseline["rows lost with failovers"], q.Baseline["rows lost that had been passed on"] = float64(len(lost)), float64(passed)
	})
}

// homes are the groups of each tenant by the versions of the rules, in order, each once as long as it lasted.
func (r *movers) homes() map[string][]int {
	versions := map[int]map[string]any{}
	for _, n := range r.nodes {
		for _, e := range n.events() {
			if e.Event == "acts" && !e.Lapsed && len(e.Versions) == 1 {
				versions[e.Versions[0]] = e.Rules
			}
		}
	}
	var order []int
	for v := range versions {
		order = append(order, v)
	}
	sort.Ints(order)
	out := map[string][]int{}
	for _, t := range r.tenants {
		out[t] = []int{r.fleet.Options.Home(t)}
		for _, v := range order {
			if g, ok := versions[v]["database."+t+".group"].(float64); ok && out[t][len(out[t])-1] != int(g) {
				out[t] = append(out[t], int(g))
			}
		}
	}
	return out
}

func (r *movers) judgeWrites(homes map[string][]int, lost map[[2]string]bool) {
	rows := map[string]map[string]bool{}
	for _, t := range r.tenants {
		rows[t] = map[string]bool{}
		h := homes[t]
		for _, row := range r.fleet.Groups[h[len(h)-1]-1].Database(t).Dump("entries") {
			rows[t][row["ref"]] = true
		}
	}
	acked, doubt, refusals := 0, 0, 0
	for _, w := range r.writes {
		switch w.became {
		case done:
			if acked++; !rows[w.tenant][w.ref] && !lost[[2]string{w.tenant, w.ref}] {
				r.g.Break("lost_write", "%s of %s, done at %.2f s, is not at group %v", w.ref, w.tenant, w.begun.Sub(r.begun).Seconds(), homes[w.tenant])
			}
		case inDoubt:
			doubt++
		case refused:
			refusals++
		}
	}
	for _, m := range r.misses {
		if !lost[[2]string{m.tenant, m.ref}] {
			r.g.Break("missed_own_write", "%s", m.text)
		}
	}
	r.g.Do(func(q *report.Result) {
		q.Baseline["writes done"], q.Baseline["writes in doubt"], q.Baseline["writes refused"] = float64(acked), float64(doubt), float64(refusals)
	})
}

// judgeHomes: in the order of commits a tenant's ordinary writes go from group to group as the rules did, and no row of its
// own is inserted by two.
func (r *movers) judgeHomes(homes map[string][]int, lost map[noted]bool) {
	of := map[string][]noted{}
	for k := range r.commits {
		if !lost[k] {
			of[k.tenant] = append(of[k.tenant], k)
		}
	}
	for t, list := range of {
		slices.SortFunc(list, func(a, b noted) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		agreed, i := homes[t], 0
		by := map[string]int{}
		told := false
		for _, k := range list {
			j := i
			for j < len(agreed) && agreed[j] != k.group {
				j++
			}
			if j == len(agreed) {
				if !told {
					r.g.Break("two_homes", "%s: %s was committed at group %d at %.2f s, after group %d had taken writes; the rules said %v", t, k.ref, k.group,
						k.at/1e3-float64(r.begun.UnixMicro())/1e6, agreed[i], agreed)
				} else {
					r.g.Do(func(q *report.Result) { q.Broken["two_homes"]++ })
				}
				told = true
			} else {
				i = j
			}
			if strings.Contains(k.ref, "/") {
				if by[k.ref]++; by[k.ref] == 2 {
					r.g.Break("duplicate_write", "%s of %s was inserted twice", k.ref, t)
				}
			}
		}
	}
}

// registerModel is one row that is written and read.
var registerModel = porcupine.Model{
	Init: func() any { return "0" },
	Step: func(state, input, output any) (bool, any) {
		if w, is := input.(string); is {
			return true, w
		}
		return output == state, state
	},
}

// registerPatience bounds how long one history is judged; what is not decided by then is told.
const registerPatience = 5 * time.Second

func (r *movers) judgeRegisters(lost map[[2]string]bool) {
	judged, undecided, requests := 0, 0, 0
	for _, key := range sortedKeys(r.ops) {
		tenant, ref, _ := strings.Cut(key, " ")
		if lost[[2]string{tenant, ref}] {
			continue // a failover took back what was told
		}
		var history []porcupine.Operation
		for _, o := range r.ops[key] {
			p := porcupine.Operation{ClientId: o.client, Call: o.begin, Return: o.end, Output: o.value}
			if o.write {
				p.Input = o.value
			}
			if o.open {
				p.Return = math.MaxInt64 / 2
			}
			history = append(history, p)
		}
		requests += len(history)
		switch porcupine.CheckOperationsTimeout(registerModel, history, registerPatience) {
		case porcupine.Illegal:
			r.g.Break("stale_read", "%s of %s: no order of its %d requests explains what was read", ref, tenant, len(history))
		case porcupine.Unknown:
			undecided++
		}
		judged++
	}
	r.g.Do(func(q *report.Result) {
		q.Baseline["registers judged"], q.Baseline["registers undecided"], q.Baseline["requests to registers"] = float64(judged), float64(undecided), float64(requests)
	})
}

func sortedKeys[V any](m map[string]V) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// judgePauses holds each pause, from when the first pooler acted on it until the last no longer does, against the bound.
func (r *movers) judgePauses() {
	var all []stretch
	for _, n := range r.nodes {
		all = append(all, r.read(n)...)
	}
	slices.SortFunc(all, func(a, b stretch) int { return int(math.Copysign(1, a.from-b.from)) })
	var lengths []float64
	apart := 0
	for _, t := range r.tenants {
		from, till := 0.0, 0.0
		end := func() {
			if till > from {
				if r.excused(t, from, till) {
					apart++
				} else if lengths = append(lengths, till-from); till-from > r.bound {
					r.g.Break("paused_past_bound", "%s: for %.0f ms from %.2f s on; the bound is %.0f", t, till-from, from/1e3-float64(r.begun.UnixMicro())/1e6, r.bound)
				}
			}
		}
		for _, s := range all {
			if paused, _ := s.rules["database."+t+".paused"].(bool); !paused || s.lapsed {
				continue
			}
			if s.from > till {
				end()
				from, till = s.from, s.till
			}
			till = max(till, s.till)
		}
		end()
	}
	slices.Sort(lengths)
	r.g.Do(func(q *report.Result) {
		q.Baseline["pause"], q.Baseline["pauses"], q.Baseline["pauses counted apart"] = r.bound, float64(len(lengths)), float64(apart)
		if n := len(lengths); n > 0 {
			q.Baseline["pause p50, ms"], q.Baseline["pause p99, ms"], q.Baseline["pause worst, ms"] = lengths[n/2], lengths[min(n-1, n*99/100)], lengths[n-1]
			q.Ratio["pause"] = lengths[n-1] / r.bound
		}
	})
}

// excused says whether the bound does not hold for a pause: the log took nothing, or two owners were lost in it.
func (r *movers) excused(tenant string, from, till float64) bool {
	ms := func(t time.Time) float64 { return float64(t.UnixMicro()) / 1e3 }
	for _, s := range r.spans {
		if k := Kinds[s.Kind]; (k == "parts" || k == "voters") && ms(s.from) < till && (s.till.IsZero() || ms(s.till) > from) {
			return true
		}
	}
	tokens := map[string]map[uint64]bool{}
	for _, n := range r.nodes {
		for _, e := range n.events() {
			if o := r.orders[e.Work]; e.Event == "work" && o != nil && o.tenant == tenant && e.At >= from && e.At <= till {
				if tokens[e.Work] == nil {
					tokens[e.Work] = map[uint64]bool{}
				}
				tokens[e.Work][e.Token] = true
			}
		}
	}
	for _, of := range tokens {
		if len(of) > 2 {
			return true
		}
	}
	return false
}

// judgeWords: no step that waits for a word is taken without one, and no rollback that came into the log is forgotten.
func (r *movers) judgeWords() {
	given := map[string]bool{}
	rolled := map[string]bool{}
	for _, s := range r.words {
		given[fmt.Sprint(s.work, " ", s.step, " ", s.say)] = true
		if s.say == "rollback" {
			rolled[s.work] = true
		}
	}
	needs := map[string]string{"publish": "go", "pause": "go", "switch": "go", "accept": "accept"}
	for _, n := range r.nodes {
		for _, e := range n.events() {
			word := needs[e.Deed]
			if e.Event != "work" || r.orders[e.Work] == nil || word == "" || !strings.HasPrefix(e.Text, "announced ") {
				continue
			}
			if (e.Deed == "pause" || e.Deed == "switch") && rolled[e.Work] { // on the way back the one word counts for all
				continue
			}
			if !given[fmt.Sprint(e.Work, " ", e.Step, " ", word)] {
				r.g.Break("stepped_without_word", "%s: %s at step %d", e.Work, e.Deed, e.Step)
			}
		}
	}
	for _, s := range r.words {
		m := r.moves[s.work]
		if s.say != "rollback" || !s.taken || m.State.Back != "" || m.State.Phase == "taken back" || m.State.Phase == "clearing" || time.Since(s.at) < MoveRest/2 {
			continue
		}
		if m.State.Phase == "accepted" || m.State.Phase == "done" {
			if given[fmt.Sprint(s.work, " ", s.step, " accept")] || given[fmt.Sprint(s.work, " ", s.step-1, " accept")] {
				continue // the accepting came first
			}
		}
		r.g.Break("rollback_lost", "%s: rollback was taken at step %d; it is %s at step %d", s.work, s.step, m.State.Phase, m.Step)
	}
}

// compare holds both homes of a move that has just switched against each other, at the position of its closing.
func (r *movers) compare(o *order, m moveSeen) {
	if m.State.Pause == nil || m.State.Pause.Closed == nil {
		return
	}
	upTo := m.State.Pause.Closed.Position
	at := func(g int, counts func(v host.Version) bool) map[string]string {
		out := map[string]string{}
		for _, vs := range r.fleet.Groups[g-1].Database(o.tenant).Histories("entries") {
			last := host.Version{Deleted: true}
			for _, v := range vs {
				if counts(v) {
					last = v
				}
			}
			if !last.Deleted {
				out[last.Values["ref"]] = last.Values["payload"]
			}
		}
		return out
	}
	home := at(o.from, func(v host.Version) bool { return position(v.LSN) <= upTo })
	other := at(o.to, func(v host.Version) bool { return v.Origin != "" || v.Values["payload"] == "tampered" })
	for ref, value := range home {
		if other[ref] != value {
			r.g.Break("verified_wrong", "%s: %s is %q at the old home and %q at the new one", o.name, ref, value, other[ref])
		}
	}
	for ref := range other {
		if _, there := home[ref]; !there {
			r.g.Break("verified_wrong", "%s: %s is at the new home alone", o.name, ref)
		}
	}
	r.g.Do(func(q *report.Result) { q.Baseline["switches held against each other"]++ })
}

// position is a place in the log as a number.
func position(lsn string) uint64 {
	hi, lo, _ := strings.Cut(lsn, "/")
	h, _ := strconv.ParseUint(hi, 16, 32)
	l, _ := strconv.ParseUint(lo, 16, 32)
	return h<<32 | l
}

package cluster

import (
	"slices"
	"time"

	"ashstand/testbed/fleet"
)

// poll is a pooler's view at a moment, and how things were then.
type poll struct {
	at    time.Time
	of    string
	view  seen
	truth map[string]place
}

// place is what was true of a node.
type place struct {
	up       bool
	instance uint64
}

// stamp notes how things are beside the views that were read last.
func (r *rig) stamp() {
	truth := map[string]place{}
	for _, n := range r.nodes {
		n.mu.Lock()
		truth[n.name] = place{up: n.serves && !n.paused && n.started, instance: n.instance}
		n.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.polls) - 1; i >= 0 && r.polls[i].truth == nil; i-- {
		r.polls[i].truth = truth
	}
}

// quiet says whether none of the faults that are asked for was there at a moment, nor for so long before it.
func (r *rig) quiet(at time.Time, bound time.Duration, asked func(*span) bool) bool {
	return at.Sub(r.begun) > bound && !slices.ContainsFunc(r.spans, func(s *span) bool {
		return asked(s) && !s.from.After(at) && s.lasts(at.Add(-bound))
	})
}

// settled says whether nothing touched a pair for so long before a moment.
func (r *rig) settled(a, b string, at time.Time, bound time.Duration) bool {
	return r.quiet(at, bound, func(s *span) bool { return s.touches(a, b) })
}

// calm says whether nothing was wrong anywhere.
func (r *rig) calm(at time.Time, bound time.Duration) bool {
	return r.quiet(at, bound, func(s *span) bool { return !s.harmless() })
}

// judge holds each view to what was true: of a pair that nothing touched for the stated time, each sees the other as it
// is; and while nothing at all was wrong for as long, nobody doubts anybody.
func (r *rig) judge() {
	bound := r.bound()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.polls) == 0 {
		r.g.Break("wrong_view", "no pooler's view could be read")
		return
	}
	checked := 0
	for _, p := range r.polls {
		for name, is := range p.truth {
			if name == p.of || !r.settled(p.of, name, p.at, bound) {
				continue
			}
			checked++
			state, instance := "", uint64(0)
			for _, m := range p.view.Members {
				if m.Name == name {
					state, instance = m.State, m.Instance
				}
			}
			there := state != "" && state != "gone"
			if there != is.up || there && is.instance != 0 && instance != is.instance {
				r.g.Break("wrong_view", "at %.1f s %s sees %s as %q (%016x); it is up: %v (%016x)", p.at.Sub(r.begun).Seconds(), p.of, name, state, instance, is.up, is.instance)
			} else if state == "suspect" && r.calm(p.at, bound) {
				r.g.Break("false_doubt", "at %.1f s %s doubts %s", p.at.Sub(r.begun).Seconds(), p.of, name)
			}
		}
	}
	if checked == 0 {
		r.g.Break("wrong_view", "nothing could be judged: no pair was left alone for the stated %v", bound)
	}
	r.garbage()
}

// garbage holds the counters to what was spilt at processes that still run.
func (r *rig) garbage() {
	for _, s := range r.spans {
		if s.Kind != "garbage" {
			continue
		}
		later := false
		for _, o := range r.spans {
			later = later || o.ends(s.A) && o.lasts(s.from)
		}
		var v *seen
		for i := range r.polls {
			if r.polls[i].of == s.A {
				v = &r.polls[i].view
			}
		}
		if !later && v != nil && (v.Counters["garbage"] == 0 || v.Counters["huge"] == 0) {
			r.g.Break("garbage_uncounted", "%s counted %v", s.A, v.Counters)
		}
	}
}

// double is what a second process of a name said of itself while it ran. It stays out for a while once it is refused, then
// comes back and has to be refused again.
type double struct {
	in   time.Time // since when it has not been refused
	long time.Duration
	ever bool // it was refused
	told bool // it knew of the first
}

// hear takes its view at a moment.
func (d *double) hear(v seen, at time.Time) {
	if v.Refused != nil {
		d.ever, d.in = true, at
	}
	d.long = max(d.long, at.Sub(d.in))
	d.told = d.told || len(v.Twins) > 0
}

// judgeTwin looks at a second process of a name before it ends: within the stated time of each coming it must be out, and
// both must know. Where the first is no longer the one that was there before it, the second is the first.
func (r *rig) judgeTwin(n *node, first *fleet.Pooler, d *double, begun time.Time) {
	bound := r.bound()
	if time.Since(begun) < bound {
		return
	}
	r.mu.Lock()
	settled := r.settled(n.name, n.name, time.Now(), bound)
	r.mu.Unlock()
	if still, _ := n.process(); !settled || still != first {
		return
	}
	holder, err := look(first.Admin)
	if err != nil {
		return
	}
	if d.long > bound || holder.Refused != nil {
		r.g.Break("name_twice", "%s: the first process is refused: %v, the second was in for %v, ever refused: %v", n.name, holder.Refused != nil,
			d.long.Round(time.Millisecond), d.ever)
	}
	if !d.told || len(holder.Twins) == 0 {
		r.g.Break("twin_untold", "%s: the first process knows of %d, the second was told: %v", n.name, len(holder.Twins), d.told)
	}
}

package consensus

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// works are those of the ledger as a pooler was told of them: a copy that may be old, for its operators and for the works
// that it owns itself. Nothing that is decided by it is safe without the token.
type works struct {
	epoch, count uint64
	of           map[string]jobs.Job // replaced, never changed
}

const (
	worksBytes = 48 << 10 // of works in one message; the rest comes with the next
	worksMost  = 160      // in a copy
	askersKept = 1024
)

// take brings a copy up to date.
func (w *works) take(m Message) {
	if m.Epoch == 0 || len(m.Works) == 0 && m.Epoch == w.epoch {
		return
	}
	next := map[string]jobs.Job{}
	if m.Epoch == w.epoch {
		maps.Copy(next, w.of)
	} else {
		w.epoch, w.count = m.Epoch, 0
	}
	for _, x := range m.Works {
		if was, ok := next[x.Name]; !ok || x.Revision > was.Revision {
			next[x.Name] = x
		}
	}
	for len(next) > worksMost { // the ledger has fewer: one that ended first has left it
		least := ""
		for name, x := range next {
			if least == "" || x.Revision < next[least].Revision {
				least = name
			}
		}
		delete(next, least)
	}
	if m.Kind == KindLeaseGrant { // the others bring what changed by itself, not all that came before it
		w.count = max(w.count, m.Count)
	}
	w.of = next
}

// tell puts what changed since a renewal's word into its grant: at once of the works that the asker owns, of the others at
// a slower pace, since nothing waits for it and a busy work changes with each deed.
func (n *Node) tell(to *Message, m Message, h *leaseHolder) {
	if to.Epoch = n.st.Epoch; to.Epoch == 0 {
		return
	}
	since := m.Count
	if m.Epoch != n.st.Epoch {
		since = 0
	}
	list := n.st.Ledger.ChangedSince(since)
	if n.now-h.told < n.cfg.LeaseMillis/2 && since > 0 {
		to.Count = since
		for _, w := range list {
			if w.Holder == m.From && w.Incarnation == m.Instance {
				to.Works = append(to.Works, w)
			}
		}
		return
	}
	h.told = n.now
	to.Count = since
	size := 0
	for _, w := range list {
		size += 256 + len(w.Spec) + len(w.State)
		if w.Operation != nil {
			size += len(w.Operation.Data)
		}
		if size > worksBytes && len(to.Works) > 0 {
			return
		}
		to.Works, to.Count = append(to.Works, w), w.Revision
	}
	to.Count = n.st.Ledger.Revision
}

// SetReport tells what this pooler says of itself from now on.
func (n *Node) SetReport(r jobs.Report) { n.report = r }

// seenToken is the highest token that this pooler has seen, over its restarts.
func (n *Node) seenToken() jobs.FencingToken { return n.held.HighestToken }

// ProposeJobEntry brings an entry about a work in; the answer comes in some Output. With change, the entry's work, under its token,
// makes a version of the rules in force with those keys changed.
func (n *Node) ProposeJobEntry(now float64, id uint64, e jobs.Entry, change Rules) error {
	n.now = max(n.now, now)
	if r := e.Validate(); r != nil {
		return r
	}
	m := Message{Kind: KindProposal, From: n.cfg.Name, ID: id, Entry: &e, Change: change}
	if change != nil {
		m.Version.Format = 1
	}
	n.mine[id] = m
	n.ask(m)
	n.drain()
	return nil
}

// Abandon forgets a proposal: nobody waits for its answer any more. It may still come into the log.
func (n *Node) Abandon(id uint64) { delete(n.mine, id) }

// appliedTo returns rules with a change made to them.
func (r Rules) appliedTo(base Rules) Rules {
	out := make(Rules, len(base)+len(r))
	maps.Copy(out, base)
	for name, v := range r {
		if out[name] = v; v == nil {
			delete(out, name)
		}
	}
	return out
}

// enter puts an entry about a work into the log. One that the log would refuse as it stands is answered at once.
func (n *Node) enter(m Message) (answer Message, over bool) {
	a := Message{To: m.From, Kind: KindProposalResult, ID: m.ID}
	b, err := json.Marshal(logEntry{ID: m.ID, Work: m.Entry})
	if err == nil {
		err = n.rn.Propose(b)
	}
	if err != nil {
		a.Why = err.Error()
		return a, true
	}
	n.waits(m)
	return a, false
}

// waits notes who is to be told once an entry stands in the log.
func (n *Node) waits(m Message) {
	if len(n.askers) < askersKept {
		n.askers[m.ID] = m.From
	}
}

// version takes rules in as the next version.
func (n *Node) version(v Version) int {
	n.st.Last++
	v.Number = n.st.Last
	n.st.Held.Pending = &v
	n.st.Versions = append(n.st.Versions, v)
	n.st.Versions = n.st.Versions[max(0, len(n.st.Versions)-versionsKept):]
	return v.Number
}

// settle is what a line about a work comes to; it must come out alike everywhere.
func (n *Node) settle(x logEntry) proposalOutcome {
	d := proposalOutcome{ID: x.ID, Work: true, Name: x.Work.Job}
	if n.st.Epoch == 0 {
		n.st.Epoch = x.ID | 1
	}
	if x.Change != nil && x.Work.Type != jobs.EntryAuthorize {
		d.Refused = &jobs.RejectedError{Reason: jobs.RejectMalformed, Job: x.Work.Job}
		return d
	}
	n.st.Ledger.ReuseTokens = n.cfg.Break == "token"
	if d.Refused = n.st.Ledger.Apply(*x.Work); d.Refused != nil || x.Change == nil {
		n.named(x.Work)
		return d
	}
	if p := n.st.Held.Pending; p != nil {
		d.Work, d.Why = false, fmt.Sprintf("version %d came first and is not in force yet", p.Number)
		return d
	}
	d.N = n.version(Version{Rules: x.Change.appliedTo(n.st.Held.Active.Rules), ProposedBy: x.Work.Job, Format: 1})
	return d
}

// finish keeps what a proposal came to, and tells whoever waits for it.
func (n *Node) finish(d proposalOutcome) {
	n.st.Done = append(n.st.Done, d)
	n.st.Done = n.st.Done[max(0, len(n.st.Done)-doneKept):]
	if to, ok := n.askers[d.ID]; ok && n.leading {
		delete(n.askers, d.ID)
		n.send(n.answer(to, d))
	}
}

// answer words what a proposal came to.
func (n *Node) answer(to string, d proposalOutcome) Message {
	a := Message{To: to, Kind: KindProposalResult, ID: d.ID, OK: d.N > 0 || d.Work && d.Refused == nil, Why: d.Why, Refused: d.Refused}
	if a.Version.Number = d.N; d.Work {
		a.Epoch, a.Held = n.st.Epoch, n.st.Held
		if w := n.st.Ledger.Jobs[d.Name]; w != nil {
			a.Works = []jobs.Job{*w}
		}
	}
	if d.Refused != nil {
		a.Why = d.Refused.Error()
	}
	return a
}

// appoint names owners: the leader's part. A new leader does not know who holds leases until one length has passed.
func (n *Node) appoint() {
	if n.st.Epoch == 0 && n.desk.HighestToken == 0 || n.conf == nil || n.now-n.looked < n.cfg.RenewIntervalMillis/4 && n.st.Ledger.Revision == n.counted {
		return
	}
	n.looked, n.counted = n.now, n.st.Ledger.Revision
	cands := make([]jobs.Candidate, 0, len(n.holders))
	for _, k := range slices.Sorted(maps.Keys(n.holders)) {
		h := n.holders[k]
		cands = append(cands, jobs.Candidate{Name: h.name, Incarnation: h.instance, LeaseUntil: h.until, Report: h.report})
	}
	for _, e := range n.desk.Tick(n.now, &n.st.Ledger, cands, n.now < n.safe) {
		if b, err := json.Marshal(logEntry{ID: n.lots.Uint64(), Work: &e}); err == nil {
			_ = n.rn.Propose(b) // one that is lost is made again
		}
	}
}

// named tells a work's new owner at once, rather than with its next lease.
func (n *Node) named(e *jobs.Entry) {
	if w := n.st.Ledger.Jobs[e.Job]; n.leading && e.Type == jobs.EntryAssign && w != nil && w.Holder == e.Holder && w.Incarnation == e.Incarnation {
		n.send(Message{To: e.Holder, Kind: KindJobUpdate, Epoch: n.st.Epoch, Held: n.st.Held, Works: []jobs.Job{*w}})
	}
}

// TakeoverBoundMillis is the stated time from an owner's end until another may act, in milliseconds: its lease has to run out, the
// leader to see that, the log to take the next owner in, and that one to be told, at the latest with its own next lease.
// Where the leader went with it, an election and the first lease of all come before.
func (c Config) TakeoverBoundMillis() (steady, change float64) {
	steady = c.LeaseMillis*c.driftFactor() + 2*c.RenewIntervalMillis + 2*c.ElectionTimeoutMillis/tickShare*heartbeat
	return steady, steady + 4*c.ElectionTimeoutMillis + c.LeaseMillis*c.driftFactor()
}

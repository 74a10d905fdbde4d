package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/jobs"
)

// testCluster is a cluster of three voters and one that follows, whose messages all arrive at once.
type testCluster struct {
	t       *testing.T
	names   []string
	nodes   map[string]*Node
	now     float64
	mail    []Message // kept back from whom is asleep
	asleep  map[string]bool
	answers map[uint64]Message
}

func newTestCluster(t *testing.T) *testCluster {
	w := &testCluster{t: t, names: []string{"n1", "n2", "n3", "n4"}, nodes: map[string]*Node{}, asleep: map[string]bool{}, answers: map[uint64]Message{}}
	voters := w.names[:3]
	for i, name := range w.names {
		var disk *PersistentState
		if i < len(voters) {
			disk = InitialState(name, voters)
		}
		n, err := New(Config{
			Name: name, Incarnation: uint64(i + 1), Voters: voters, LeaseMillis: 200, ClockDrift: 0.01, RenewIntervalMillis: 30, ElectionTimeoutMillis: 50, Format: 1, Seed: 7,
			Scheduler: jobs.SchedulerConfig{StallMillis: 1e6, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 500, RetryMillis: 50},
		}, disk, 0)
		require.NoError(t, err)
		n.SetReport(jobs.Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, ReachableGroups: []uint64{1}, UptimeMillis: 1000})
		w.nodes[name] = n
	}
	return w
}

func (w *testCluster) deliver(mail []Message) {
	for len(mail) > 0 {
		m := mail[0]
		mail = mail[1:]
		if w.asleep[m.To] {
			w.mail = append(w.mail, m)
		} else if n := w.nodes[m.To]; n != nil {
			n.Receive(w.now, m)
			out := n.Output()
			mail = append(mail, out.Messages...)
			for _, a := range out.Results {
				w.answers[a.ID] = a
			}
		}
	}
}

func (w *testCluster) run(length float64) {
	for end := w.now + length; w.now < end; w.now += 5 {
		var mail []Message
		for _, name := range w.names {
			if n := w.nodes[name]; n != nil && !w.asleep[name] {
				n.Tick(w.now)
				mail = append(mail, n.Output().Messages...)
			}
		}
		w.deliver(mail)
	}
}

// enter brings an entry in at a node and returns what came of it.
func (w *testCluster) enter(at string, id uint64, e jobs.Entry, change Rules) Message {
	n := w.nodes[at]
	require.NoError(w.t, n.ProposeJobEntry(w.now, id, e, change))
	w.deliver(n.Output().Messages)
	for range 200 {
		if a, ok := w.answers[id]; ok {
			return a
		}
		w.run(5)
	}
	w.t.Fatal("no answer")
	return Message{}
}

func (w *testCluster) leader() string {
	for _, name := range w.names {
		if n := w.nodes[name]; n != nil && !w.asleep[name] && n.IsLeader() {
			return name
		}
	}
	w.t.Fatal("nobody leads")
	return ""
}

// work is a work as the leader's log has it.
func (w *testCluster) work(name string) jobs.Job { return *w.nodes[w.leader()].st.Ledger.Jobs[name] }

// A leader that is gone for good, after it has lent to all for long: the others find the next one and have leases again.
func TestDepartedLeaderIsReplaced(t *testing.T) {
	w := newTestCluster(t)
	w.run(5000) // far more renewals than a node keeps in mind
	w.nodes[w.leader()] = nil
	w.run(3000)
	held := 0
	for name, n := range w.nodes {
		if n != nil {
			held++
			require.False(t, n.LeaseExpired(w.now), "%s asks %q and has no lease", name, n.leader)
		}
	}
	require.Equal(t, 3, held)
}

// An owner that stops for long, and wakes after another was named: what it brings in then is refused, and it learns so.
func TestStaleLeaseHolderIsRejected(t *testing.T) {
	w := newTestCluster(t)
	w.run(500)
	require.True(t, w.enter("n4", 1, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k", RequiredGroups: []uint64{1}}, nil).OK)
	w.run(300)
	first := w.work("w")
	require.NotEmpty(t, first.Holder)
	for name, n := range w.nodes { // all know who owns it
		require.Equal(t, first.Holder, n.Lease().Jobs["w"].Holder, name)
	}
	deed := &jobs.Operation{Number: 1, Name: "d"}
	require.True(t, w.enter(first.Holder, 2, jobs.Entry{Type: jobs.EntryAnnounce, Job: "w", Token: first.Token, Operation: deed}, nil).OK)
	w.asleep[first.Holder] = true
	slept := w.now
	w.run(3000)
	second := w.work("w")
	require.NotEqual(t, first.Holder, second.Holder)
	require.Greater(t, second.Token, first.Token)
	require.Equal(t, deed.Number, second.Operation.Number, "the next owner finds what is in doubt")
	require.Less(t, 3000.0, w.now-slept+1)
	w.asleep[first.Holder] = false
	late := w.mail
	w.mail = nil
	w.deliver(late)
	a := w.enter(first.Holder, 3, jobs.Entry{Type: jobs.EntryConfirm, Job: "w", Token: first.Token, Operation: deed}, nil)
	require.False(t, a.OK)
	require.Equal(t, jobs.RejectStaleToken, a.Refused.Reason)
	// Nor does it change rules under its old token; the present owner does, and what it changed stands beside what was there.
	a = w.enter(first.Holder, 4, jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: first.Token}, Rules{"tries": 2.0})
	require.False(t, a.OK)
	for _, n := range w.nodes {
		n.cfg.Limits = Rules{"tries": 1.0, "class.a.bound_ms": 50.0}
	}
	for i, change := range []Rules{{"class.a.bound_ms": 100.0}, {"tries": 2.0}, {"class.a.bound_ms": nil}} {
		a = w.enter(second.Holder, uint64(10+i), jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: second.Token}, change)
		require.True(t, a.OK, a.Why)
		w.run(500)
	}
	acting := w.nodes["n4"].Effective(w.now)
	require.Equal(t, []int{3}, acting.Versions)
	require.Equal(t, Rules{"tries": 2.0}, acting.Rules)
	require.Equal(t, second.Token, w.nodes["n4"].held.HighestToken, "what was seen is kept")
}

// A cluster that is founded anew beside poolers that remember the one before: its tokens go on above theirs.
func TestTokensRiseAfterClusterIsBootstrappedAnew(t *testing.T) {
	w := newTestCluster(t)
	w.nodes["n4"].held.HighestToken = 40
	w.run(500)
	require.True(t, w.enter("n1", 1, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k"}, nil).OK)
	w.run(300)
	require.Greater(t, w.work("w").Token, jobs.FencingToken(40))
}

// The time without an owner, from its end to another's first turn, against what is stated.
func TestTakeoverWithinBound(t *testing.T) {
	w := newTestCluster(t)
	w.run(500)
	require.True(t, w.enter("n4", 1, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k"}, nil).OK)
	w.run(300)
	for range 3 {
		was := w.work("w")
		killed := w.now
		lead := w.leader() == was.Holder
		kept := w.nodes[was.Holder]
		w.nodes[was.Holder] = nil
		steady, change := kept.cfg.TakeoverBoundMillis()
		bound := steady
		if lead {
			bound = change
		}
		for w.now-killed < bound+1000 {
			w.run(5)
			told := false
			for name, n := range w.nodes {
				if n != nil {
					x := n.Lease().Jobs["w"]
					told = told || x.Token > was.Token && x.Holder == name && !n.LeaseExpired(w.now)
				}
			}
			if told {
				break
			}
		}
		require.Less(t, w.now-killed, bound, "the leader went: %v", lead)
		w.nodes[was.Holder] = kept
		w.run(500)
	}
}

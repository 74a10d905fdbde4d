package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/jobs"
)

// testCluster is a cluster of three voters and one other pooler. Messages arrive without delay.
type testCluster struct {
	t           *testing.T
	names       []string
	nodes       map[string]*Node
	now         float64
	undelivered []Message // messages to stopped nodes
	stopped     map[string]bool
	results     map[uint64]ProposalResult
}

func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{t: t, names: []string{"n1", "n2", "n3", "n4"}, nodes: map[string]*Node{}, stopped: map[string]bool{}, results: map[uint64]ProposalResult{}}
	voters := c.names[:3]
	for i, name := range c.names {
		var persisted *PersistentState
		if i < len(voters) {
			persisted = InitialState(name, voters)
		}
		n, err := New(Config{
			Name: name, Incarnation: uint64(i + 1), Voters: voters, LeaseMillis: 200, ClockDrift: 0.01, RenewIntervalMillis: 30, ElectionTimeoutMillis: 50, Format: 1, Seed: 7,
			Scheduler: jobs.SchedulerConfig{StallMillis: 1e6, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 500, RetryMillis: 50},
		}, persisted, 0)
		require.NoError(t, err)
		n.SetReport(jobs.Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, ReachableGroups: []uint64{1}, UptimeMillis: 1000})
		c.nodes[name] = n
	}
	return c
}

func (c *testCluster) deliver(messages []Message) {
	for len(messages) > 0 {
		m := messages[0]
		messages = messages[1:]
		if c.stopped[m.To] {
			c.undelivered = append(c.undelivered, m)
		} else if n := c.nodes[m.To]; n != nil {
			n.Receive(c.now, m)
			out := n.Output()
			messages = append(messages, out.Messages...)
			for _, a := range out.Results {
				c.results[a.ID] = a
			}
		}
	}
}

func (c *testCluster) run(length float64) {
	for end := c.now + length; c.now < end; c.now += 5 {
		var mail []Message
		for _, name := range c.names {
			if n := c.nodes[name]; n != nil && !c.stopped[name] {
				n.Tick(c.now)
				mail = append(mail, n.Output().Messages...)
			}
		}
		c.deliver(mail)
	}
}

// propose proposes an entry about a job at a node and returns the result.
func (c *testCluster) propose(at string, id uint64, e jobs.Entry, change Rules) ProposalResult {
	n := c.nodes[at]
	require.NoError(c.t, n.ProposeJobEntry(c.now, id, e, change))
	c.deliver(n.Output().Messages)
	for range 200 {
		if a, ok := c.results[id]; ok {
			return a
		}
		c.run(5)
	}
	c.t.Fatal("no result")
	return ProposalResult{}
}

func (c *testCluster) leader() string {
	for _, name := range c.names {
		if n := c.nodes[name]; n != nil && !c.stopped[name] && n.IsLeader() {
			return name
		}
	}
	c.t.Fatal("no leader")
	return ""
}

// job returns the job "w" from the leader's replicated state.
func (c *testCluster) job() jobs.Job {
	return *c.nodes[c.leader()].replica.state.Jobs.Jobs["w"]
}

// After a leader has ended permanently, the other poolers find the next leader and get leases again.
func TestDepartedLeaderIsReplaced(t *testing.T) {
	c := newTestCluster(t)
	c.run(5000) // long enough for more than maxNonces lease requests per node
	c.nodes[c.leader()] = nil
	c.run(3000)
	running := 0
	for name, n := range c.nodes {
		if n != nil {
			running++
			require.False(t, n.LeaseExpired(c.now), "%s asks %q and has no lease", name, n.client.leader)
		}
	}
	require.Equal(t, 3, running)
}

// A lease holder that is suspended, and resumes after the job was assigned to another pooler, is rejected
// with the reason.
func TestStaleLeaseHolderIsRejected(t *testing.T) {
	c := newTestCluster(t)
	c.run(500)
	require.True(t, c.propose("n4", 1, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k", RequiredGroups: []uint64{1}}, nil).Accepted)
	c.run(300)
	first := c.job()
	require.NotEmpty(t, first.Holder)
	for name, n := range c.nodes { // every node knows the holder
		require.Equal(t, first.Holder, n.Lease().Jobs["w"].Holder, name)
	}
	operation := &jobs.Operation{Number: 1, Name: "d"}
	require.True(t, c.propose(first.Holder, 2, jobs.Entry{Type: jobs.EntryAnnounce, Job: "w", Token: first.Token, Operation: operation}, nil).Accepted)
	c.stopped[first.Holder] = true
	stoppedAt := c.now
	c.run(3000)
	second := c.job()
	require.NotEqual(t, first.Holder, second.Holder)
	require.Greater(t, second.Token, first.Token)
	require.Equal(t, operation.Number, second.Operation.Number, "the next holder gets the operation whose outcome is unknown")
	require.Less(t, 3000.0, c.now-stoppedAt+1)
	c.stopped[first.Holder] = false
	late := c.undelivered
	c.undelivered = nil
	c.deliver(late)
	result := c.propose(first.Holder, 3, jobs.Entry{Type: jobs.EntryConfirm, Job: "w", Token: first.Token, Operation: operation}, nil)
	require.False(t, result.Accepted)
	require.Equal(t, jobs.RejectStaleToken, result.Rejected.Reason)
	// A stale token does not allow a change of rules, either. The current holder can change rules; its
	// changes are applied to the active rules.
	result = c.propose(first.Holder, 4, jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: first.Token}, Rules{"tries": 2.0})
	require.False(t, result.Accepted)
	for _, n := range c.nodes {
		n.cfg.Limits = Rules{"tries": 1.0, "class.a.bound_ms": 50.0}
	}
	for i, change := range []Rules{{"class.a.bound_ms": 100.0}, {"tries": 2.0}, {"class.a.bound_ms": nil}} {
		result = c.propose(second.Holder, uint64(10+i), jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: second.Token}, change)
		require.True(t, result.Accepted, result.Reason)
		c.run(500)
	}
	effective := c.nodes["n4"].Effective(c.now)
	require.Equal(t, []int{3}, effective.Versions)
	require.Equal(t, Rules{"tries": 2.0}, effective.Rules)
	require.Equal(t, second.Token, c.nodes["n4"].versions.HighestToken, "the highest token is remembered")
}

// In a cluster that is bootstrapped again, fencing tokens start above those that a pooler remembers from the
// earlier cluster.
func TestTokensRiseAfterClusterIsBootstrappedAnew(t *testing.T) {
	c := newTestCluster(t)
	c.nodes["n4"].versions.HighestToken = 40
	c.run(500)
	require.True(t, c.propose("n1", 1, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k"}, nil).Accepted)
	c.run(300)
	require.Greater(t, c.job().Token, jobs.FencingToken(40))
}

// The time from a holder's end until another pooler may act is below TakeoverBoundMillis.
func TestTakeoverWithinBound(t *testing.T) {
	c := newTestCluster(t)
	c.run(500)
	require.True(t, c.propose("n4", 1, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k"}, nil).Accepted)
	c.run(300)
	for range 3 {
		before := c.job()
		endedAt := c.now
		wasLeader := c.leader() == before.Holder
		ended := c.nodes[before.Holder]
		c.nodes[before.Holder] = nil
		steady, afterElection := ended.cfg.TakeoverBoundMillis()
		bound := steady
		if wasLeader {
			bound = afterElection
		}
		for c.now-endedAt < bound+1000 {
			c.run(5)
			notified := false
			for name, n := range c.nodes {
				if n != nil {
					job := n.Lease().Jobs["w"]
					notified = notified || job.Token > before.Token && job.Holder == name && !n.LeaseExpired(c.now)
				}
			}
			if notified {
				break
			}
		}
		require.Less(t, c.now-endedAt, bound, "the leader ended: %v", wasLeader)
		c.nodes[before.Holder] = ended
		c.run(500)
	}
}

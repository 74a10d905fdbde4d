package runner

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/vfs"
)

var updateGolden = flag.Bool("update-golden", false, "write testdata/golden anew from this program")

// golden compares bytes with those of a committed file and returns the file's content.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), path)
	return want
}

func goldenVersion(number int) consensus.Version {
	return consensus.Version{Number: number, ProposedBy: "pooler-a", Format: 1, Rules: consensus.Rules{
		"tries": 3.0, "class.browse.bound_ms": 250.5, "class.browse.repeat": false,
		"host.s-1.x.closed": true, "database.orders.group": 7.0,
	}}
}

func goldenVersions() consensus.VersionState {
	pending := goldenVersion(5)
	return consensus.VersionState{Active: goldenVersion(4), Pending: &pending, HighestToken: 9}
}

func goldenEntry(index uint64) *pb.Entry {
	term, typ := uint64(3), pb.EntryType_EntryNormal
	return &pb.Entry{Term: &term, Index: &index, Type: &typ, Data: []byte(`{"force":4}`)}
}

func goldenSnapshot() *pb.Snapshot {
	index, term := uint64(40), uint64(2)
	return &pb.Snapshot{Data: []byte(`{"last":5}`), Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{3, 5}, Learners: []uint64{7}}}}
}

// fixedIdentityFS reports the same identity for all files, so that the content of a state file is reproducible.
type fixedIdentityFS struct{ vfs.OS }

type fixedFile struct{ vfs.File }

const goldenIdentity = "12 born 34.000000056"

func (fixedFile) Identity() (string, error) { return goldenIdentity, nil }

func (d fixedIdentityFS) Create(path string) (vfs.File, error) {
	f, err := d.OS.Create(path)
	return fixedFile{f}, err
}

func (d fixedIdentityFS) ReadFile(path string, limit int) ([]byte, string, error) {
	b, _, err := d.OS.ReadFile(path, limit)
	return b, goldenIdentity, err
}

// A state file that an earlier program version wrote is loaded, and written again with the same bytes.
func TestGoldenStorage(t *testing.T) {
	one := uint64(1)
	vote, commit, term := uint64(5), uint64(41), uint64(4)
	for name, d := range map[string]*consensus.PersistentState{
		"voter":    {ID: 1<<63 + 9, HardState: &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}, Snapshot: goldenSnapshot(), Entries: []*pb.Entry{goldenEntry(41), goldenEntry(42)}, Versions: goldenVersions()},
		"follower": {Versions: goldenVersions()},
		"first":    consensus.InitialState("n1", []string{"n1", "n2", "n3"}),
		"log-only": {ID: 7, HardState: &pb.HardState{Term: &one}, Entries: []*pb.Entry{goldenEntry(1)}},
	} {
		path := filepath.Join(t.TempDir(), name)
		f, err := OpenStorage(fixedIdentityFS{}, path)
		require.NoError(t, err)
		require.NoError(t, f.Save(d))
		b, err := os.ReadFile(filepath.Join(path, "agreed.json"))
		require.NoError(t, err)
		stored := golden(t, filepath.Join("folders", name, "agreed.json"), b)
		f.Close()

		// A new process rewrites the state file when it loads it.
		require.NoError(t, os.WriteFile(filepath.Join(path, "agreed.json"), stored, 0o600))
		f, err = OpenStorage(fixedIdentityFS{}, path)
		require.NoError(t, err)
		read, err := f.Load()
		require.NoError(t, err)
		require.Equal(t, d.ID, read.ID)
		require.Equal(t, d.Versions, read.Versions)
		require.True(t, proto.Equal(d.HardState, read.HardState))
		require.True(t, proto.Equal(d.Snapshot, read.Snapshot))
		require.Len(t, read.Entries, len(d.Entries))
		for i, e := range d.Entries {
			require.True(t, proto.Equal(e, read.Entries[i]))
		}
		b, err = os.ReadFile(filepath.Join(path, "agreed.json"))
		require.NoError(t, err)
		require.Equal(t, string(stored), string(b), name)
		names, err := vfs.OS{}.ReadDirNames(path)
		require.NoError(t, err)
		require.Equal(t, []string{"agreed.json", "agreed.lock"}, names)
		f.Close()
	}
}

// goldenCluster runs nodes by one simulated clock and records everything that they send and save.
type goldenCluster struct {
	t           *testing.T
	now         float64
	names       []string
	nodes       map[string]*consensus.Node
	saved       map[string]*consensus.PersistentState
	partitioned map[string]bool
	transcript  bytes.Buffer
}

func (c *goldenCluster) start(name string, instance uint64) {
	n, err := consensus.New(consensus.Config{
		Name: name, Incarnation: instance, Voters: c.names[:3], LeaseMillis: 200, ClockDrift: 0.01, RenewIntervalMillis: 30, ElectionTimeoutMillis: 50, Format: 1, Seed: 7,
		Limits:    consensus.Rules{"tries": 1.0, "class.a.bound_ms": 50.0, "database.d.group": 0.0},
		Scheduler: jobs.SchedulerConfig{StallMillis: 400, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 500, RetryMillis: 50},
	}, c.saved[name], c.now)
	require.NoError(c.t, err)
	n.SetReport(jobs.Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, Zone: "z", UptimeMillis: 1000, ReachableGroups: []uint64{1}})
	c.nodes[name] = n
}

func digest(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// recordOutput records a node's Output and returns the messages in it.
func (c *goldenCluster) recordOutput(name string) []consensus.Message {
	out := c.nodes[name].Output()
	if out.Save != nil {
		c.saved[name] = out.Save
		b, err := encodeState(out.Save, goldenIdentity)
		require.NoError(c.t, err)
		fmt.Fprintf(&c.transcript, "%.0f %s saves %d %016x\n", c.now, name, len(b), digest(b))
	}
	for _, m := range out.Messages {
		b, err := consensus.EncodeMessage(m)
		require.NoError(c.t, err)
		fmt.Fprintf(&c.transcript, "%.0f %s>%s %d %016x\n", c.now, m.From, m.To, len(b), digest(b))
	}
	for _, a := range out.Results {
		fmt.Fprintf(&c.transcript, "%.0f %s has the answer to %d: %v, version %d, %q\n", c.now, name, a.ID, a.Accepted, a.VersionNumber, a.Reason)
	}
	return out.Messages
}

func (c *goldenCluster) deliver(messages []consensus.Message) {
	for ; len(messages) > 0; messages = messages[1:] {
		m := messages[0]
		if n := c.nodes[m.To]; n != nil && !c.partitioned[m.From] && !c.partitioned[m.To] {
			n.Receive(c.now, m)
			messages = append(messages, c.recordOutput(m.To)...)
		}
	}
}

func (c *goldenCluster) run(till float64) {
	for ; c.now < till; c.now += 5 {
		var mail []consensus.Message
		for _, name := range c.names {
			if n := c.nodes[name]; n != nil {
				n.Tick(c.now)
				mail = append(mail, c.recordOutput(name)...)
			}
		}
		c.deliver(mail)
		for _, name := range c.names {
			if n := c.nodes[name]; n != nil && int(c.now)%50 == 0 {
				b, err := json.Marshal(n.Effective(c.now))
				require.NoError(c.t, err)
				fmt.Fprintf(&c.transcript, "%.0f %s leads %v acts on %s\n", c.now, name, n.IsLeader(), b)
			}
		}
	}
}

func (c *goldenCluster) leader() string {
	i := slices.IndexFunc(c.names, func(name string) bool { n := c.nodes[name]; return n != nil && !c.partitioned[name] && n.IsLeader() })
	require.GreaterOrEqual(c.t, i, 0)
	return c.names[i]
}

func (c *goldenCluster) propose(at string, id uint64, rules consensus.Rules) {
	require.NoError(c.t, c.nodes[at].Propose(c.now, id, rules))
	c.deliver(c.recordOutput(at))
}

func (c *goldenCluster) proposeEntry(at string, id uint64, e jobs.Entry, change consensus.Rules) {
	require.NoError(c.t, c.nodes[at].ProposeJobEntry(c.now, id, e, change))
	c.deliver(c.recordOutput(at))
}

// With the same seed, nodes send and save the same bytes in the same order as an earlier program version did.
// The run covers an election, versions, a job and its lease holder, a change of rules by that holder, a
// leader that is partitioned from the others, and a voter that lost its directory.
func TestGoldenConversation(t *testing.T) {
	c := &goldenCluster{t: t, names: []string{"n1", "n2", "n3", "n4"}, nodes: map[string]*consensus.Node{}, saved: map[string]*consensus.PersistentState{}, partitioned: map[string]bool{}}
	for i, name := range c.names {
		if i < 3 {
			c.saved[name] = consensus.InitialState(name, c.names[:3])
		}
		c.start(name, uint64(i+1))
	}
	c.run(400)
	c.propose("n4", 11, consensus.Rules{"tries": 3.0, "database.d.group": 1.0})
	c.propose("n1", 12, consensus.Rules{"tries": 4.0}) // while the first is pending
	c.run(600)
	c.propose("n4", 11, consensus.Rules{"tries": 3.0, "database.d.group": 1.0}) // repeated: takes effect once
	c.propose("n2", 13, consensus.Rules{"host.h.closed": true})                 // not in the limits
	c.proposeEntry("n4", 21, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k", RequiredGroups: []uint64{1}}, nil)
	c.run(900)
	job := c.nodes[c.leader()].Lease().Jobs["w"]
	require.NotEmpty(t, job.Holder)
	c.proposeEntry(job.Holder, 22, jobs.Entry{Type: jobs.EntryAnnounce, Job: "w", Token: job.Token, Operation: &jobs.Operation{Number: 1, Name: "d"}}, nil)
	c.run(950)
	c.proposeEntry(job.Holder, 23, jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: job.Token, Operation: &jobs.Operation{Number: 1, Name: "d"}}, consensus.Rules{"class.a.bound_ms": 100.0})
	c.proposeEntry(job.Holder, 24, jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: job.Token + 1}, consensus.Rules{"tries": 1.0})
	c.run(1300)
	old := c.leader()
	c.partitioned[old] = true
	c.run(1900)
	require.NotEqual(t, old, c.leader())
	c.partitioned[old] = false
	c.run(2200)
	lost := c.names[slices.IndexFunc(c.names, func(name string) bool { return name != c.leader() })]
	c.saved[lost] = nil
	c.start(lost, 30)
	c.run(3000)
	require.Len(t, c.nodes[c.leader()].Voters(), 3)
	require.NotEmpty(t, c.nodes[c.leader()].Voters()[c.saved[lost].ID])
	for i := range 300 { // more entries than are kept before a snapshot
		c.proposeEntry("n4", uint64(1000+i), jobs.Entry{Type: jobs.EntryApprove, Job: "w", Approval: &jobs.Approval{Action: "go", Step: 99}}, nil)
	}
	c.run(3300)
	golden(t, "conversation.txt", c.transcript.Bytes())
}

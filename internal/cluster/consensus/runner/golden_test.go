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

// golden compares bytes with those of a committed file and returns the latter.
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

func goldenVersion(n int) consensus.Version {
	return consensus.Version{Number: n, ProposedBy: "pooler-a", Format: 1, Rules: consensus.Rules{
		"tries": 3.0, "class.browse.bound_ms": 250.5, "class.browse.repeat": false,
		"host.s-1.x.closed": true, "database.orders.group": 7.0,
	}}
}

func goldenHeld() consensus.VersionState {
	pending := goldenVersion(5)
	return consensus.VersionState{Active: goldenVersion(4), Pending: &pending, HighestToken: 9}
}

func goldenWord() *jobs.Approval {
	return &jobs.Approval{Action: "go", By: "op", Step: 2, Persistent: true}
}

func goldenDeed() *jobs.Operation {
	return &jobs.Operation{Number: 3, Name: "copy", Token: 9, Data: json.RawMessage(`{"from":1}`), Approval: goldenWord()}
}

func goldenOperation() *jobs.Entry {
	return &jobs.Entry{
		Type: jobs.EntryAnnounce, Job: "move-orders", Token: 9, Holder: "pooler-b", Incarnation: 1 << 63, JobKind: "move", Spec: json.RawMessage(`{"to":2}`),
		RequiredGroups: []uint64{1, 2}, Step: 2, Operation: goldenDeed(), State: json.RawMessage(`{"phase":"copy"}`), Approval: goldenWord(), Finished: true, Reason: "finished",
	}
}

func goldenJob() jobs.Job {
	return jobs.Job{
		Name: "move-orders", Kind: "move", Spec: json.RawMessage(`{"to":2}`), RequiredGroups: []uint64{1, 2}, Holder: "pooler-b", Incarnation: 1<<63 + 1, Token: 9, Step: 2,
		State: json.RawMessage(`{"phase":"copy"}`), Operation: goldenDeed(), Approval: goldenWord(), HolderCount: 4, AbortedOperations: 1, Finished: true, Reason: "finished", Revision: 11,
	}
}

func goldenReport() *jobs.Report {
	return &jobs.Report{
		Kinds: []string{"move"}, AcceptsJobs: true, Healthy: true, Zone: "a", UptimeMillis: 1500.5, Load: 0.25, ReachableGroups: []uint64{1, 2}, LocalGroups: []uint64{1},
		Progress: map[string]uint64{"move-orders": 4, "a": 5}, HighestToken: 9,
	}
}

func goldenEntry(index uint64) *pb.Entry {
	term, typ := uint64(3), pb.EntryType_EntryNormal
	return &pb.Entry{Term: &term, Index: &index, Type: &typ, Data: []byte(`{"force":4}`)}
}

func goldenSnapshot() *pb.Snapshot {
	index, term := uint64(40), uint64(2)
	return &pb.Snapshot{Data: []byte(`{"last":5}`), Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{3, 5}, Learners: []uint64{7}}}}
}

func goldenRaft() *pb.Message {
	typ, reject := pb.MessageType_MsgApp, true
	to, from, term, logTerm, index, commit, vote, hint := uint64(5), uint64(3), uint64(4), uint64(3), uint64(41), uint64(40), uint64(6), uint64(39)
	return &pb.Message{
		Type: &typ, To: &to, From: &from, Term: &term, LogTerm: &logTerm, Index: &index, Entries: []*pb.Entry{goldenEntry(42)}, Commit: &commit,
		Vote: &vote, Snapshot: goldenSnapshot(), Reject: &reject, RejectHint: &hint, Context: []byte("context"),
	}
}

// goldenMessages are messages of every kind, with all that its kind carries.
func goldenMessages() map[string]consensus.Message {
	const nonce, id, instance, epoch = 1<<63 + 1, 1<<63 + 2, 1<<63 + 3, 1<<63 + 4
	refused := &jobs.RejectedError{Reason: jobs.RejectStaleToken, Job: "move-orders", Presented: 8, Current: 9, Detail: "late"}
	of := map[string]consensus.Message{
		"raft":  {Kind: consensus.KindRaft, Raft: goldenRaft()},
		"hello": {Kind: consensus.KindVoterHello, ID: id},
		"renew": {Kind: consensus.KindLeaseRequest, Nonce: nonce, Known: 4, Format: 1, Report: goldenReport(), Epoch: epoch, Count: 12},
		"grant": {Kind: consensus.KindLeaseGrant, Nonce: nonce, For: 200.5, Held: goldenHeld(), Epoch: epoch, Count: 12, Works: []jobs.Job{goldenJob()}},
		// An empty one: no job is known, and no version.
		"grant-empty":           {Kind: consensus.KindLeaseGrant, Nonce: nonce, For: 200.5},
		"propose-version":       {Kind: consensus.KindProposal, ID: id, Version: goldenVersion(0)},
		"propose-entry":         {Kind: consensus.KindProposal, ID: id, Entry: goldenOperation()},
		"propose-change":        {Kind: consensus.KindProposal, ID: id, Entry: goldenOperation(), Change: consensus.Rules{"tries": 2.0, "class.a.repeat": nil}, Version: consensus.Version{Format: 1}},
		"answer-version":        {Kind: consensus.KindProposalResult, ID: id, OK: true, Version: consensus.Version{Number: 5}},
		"answer-refused":        {Kind: consensus.KindProposalResult, ID: id, Why: "version 4 is not in force yet"},
		"answer-entry":          {Kind: consensus.KindProposalResult, ID: id, OK: true, Version: consensus.Version{Number: 5}, Held: goldenHeld(), Epoch: epoch, Works: []jobs.Job{goldenJob()}},
		"answer-entry-refused":  {Kind: consensus.KindProposalResult, ID: id, Why: refused.Error(), Refused: refused, Held: goldenHeld(), Epoch: epoch, Works: []jobs.Job{goldenJob()}},
		"no-leader":             {Kind: consensus.KindLeaderRedirect, Leader: "pooler-c"},
		"no-leader-unknown":     {Kind: consensus.KindLeaderRedirect},
		"works":                 {Kind: consensus.KindJobUpdate, Epoch: epoch, Held: goldenHeld(), Works: []jobs.Job{goldenJob(), goldenJob()}},
		"renew-without-a-count": {Kind: consensus.KindLeaseRequest, Nonce: nonce, Report: &jobs.Report{}},
	}
	for name, m := range of {
		m.From, m.To, m.Instance = "pooler-a", "pooler-b", instance
		of[name] = m
	}
	return of
}

// What an earlier program sends is read, and the same is sent.
func TestGoldenMessages(t *testing.T) {
	kinds := map[consensus.MessageKind]bool{}
	for name, m := range goldenMessages() {
		b, err := Encode(m)
		require.NoError(t, err)
		sent := golden(t, filepath.Join("messages", name+".json"), b)
		read, err := Decode(sent)
		require.NoError(t, err, name)
		again, err := Encode(read)
		require.NoError(t, err)
		require.Equal(t, string(sent), string(again), name)
		if m.Raft != nil {
			require.True(t, proto.Equal(m.Raft, read.Raft))
			m.Raft, read.Raft = nil, nil
		}
		require.Equal(t, m, read, name)
		kinds[m.Kind] = true
	}
	require.Len(t, kinds, 8, "every kind")
}

// fixedBirth is a file system that gives all files one birth, so that a folder comes out alike each time.
type fixedBirth struct{ vfs.OS }

type fixedFile struct{ vfs.File }

const goldenBirth = "12 born 34.000000056"

func (fixedFile) Identity() (string, error) { return goldenBirth, nil }

func (d fixedBirth) Create(path string) (vfs.File, error) {
	f, err := d.OS.Create(path)
	return fixedFile{f}, err
}

func (d fixedBirth) ReadFile(path string, most int) ([]byte, string, error) {
	b, _, err := d.OS.ReadFile(path, most)
	return b, goldenBirth, err
}

// A voter's folder, with a snapshot and a log behind it, is read and written again as an earlier program wrote it.
func TestGoldenFolder(t *testing.T) {
	one := uint64(1)
	vote, commit, term := uint64(5), uint64(41), uint64(4)
	for name, d := range map[string]*consensus.PersistentState{
		"voter":    {ID: 1<<63 + 9, HardState: &pb.HardState{Term: &term, Vote: &vote, Commit: &commit}, Snapshot: goldenSnapshot(), Entries: []*pb.Entry{goldenEntry(41), goldenEntry(42)}, Versions: goldenHeld()},
		"follower": {Versions: goldenHeld()},
		"first":    consensus.InitialState("n1", []string{"n1", "n2", "n3"}),
		"log-only": {ID: 7, HardState: &pb.HardState{Term: &one}, Entries: []*pb.Entry{goldenEntry(1)}},
	} {
		path := filepath.Join(t.TempDir(), name)
		f, err := OpenStorage(fixedBirth{}, path)
		require.NoError(t, err)
		require.NoError(t, f.Save(d))
		b, err := os.ReadFile(filepath.Join(path, "agreed.json"))
		require.NoError(t, err)
		stored := golden(t, filepath.Join("folders", name, "agreed.json"), b)
		f.Close()

		// Read as another process does: it writes once more what it found.
		require.NoError(t, os.WriteFile(filepath.Join(path, "agreed.json"), stored, 0o600))
		f, err = OpenStorage(fixedBirth{}, path)
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

// goldenCluster runs nodes by one clock and notes all that they send and save.
type goldenCluster struct {
	t     *testing.T
	now   float64
	names []string
	nodes map[string]*consensus.Node
	kept  map[string]*consensus.PersistentState
	cut   map[string]bool
	notes bytes.Buffer
}

func (c *goldenCluster) start(name string, instance uint64) {
	n, err := consensus.New(consensus.Config{
		Name: name, Incarnation: instance, Voters: c.names[:3], LeaseMillis: 200, ClockDrift: 0.01, RenewIntervalMillis: 30, ElectionTimeoutMillis: 50, Format: 1, Seed: 7,
		Limits:    consensus.Rules{"tries": 1.0, "class.a.bound_ms": 50.0, "database.d.group": 0.0},
		Scheduler: jobs.SchedulerConfig{StallMillis: 400, MinTenureMillis: 200, BackoffMillis: 2000, SettledMillis: 500, RetryMillis: 50},
	}, c.kept[name], c.now)
	require.NoError(c.t, err)
	n.SetReport(jobs.Report{Kinds: []string{"k"}, AcceptsJobs: true, Healthy: true, Zone: "z", UptimeMillis: 1000, ReachableGroups: []uint64{1}})
	c.nodes[name] = n
}

func digest(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// take notes what a node wants done and returns its messages.
func (c *goldenCluster) take(name string) []consensus.Message {
	out := c.nodes[name].Output()
	if out.Save != nil {
		c.kept[name] = out.Save
		b, err := encode(out.Save, goldenBirth)
		require.NoError(c.t, err)
		fmt.Fprintf(&c.notes, "%.0f %s saves %d %016x\n", c.now, name, len(b), digest(b))
	}
	for _, m := range out.Messages {
		b, err := Encode(m)
		require.NoError(c.t, err)
		fmt.Fprintf(&c.notes, "%.0f %s>%s %d %016x\n", c.now, m.From, m.To, len(b), digest(b))
	}
	for _, a := range out.Results {
		fmt.Fprintf(&c.notes, "%.0f %s has the answer to %d: %v, version %d, %q\n", c.now, name, a.ID, a.OK, a.Version.Number, a.Why)
	}
	return out.Messages
}

func (c *goldenCluster) deliver(mail []consensus.Message) {
	for ; len(mail) > 0; mail = mail[1:] {
		m := mail[0]
		if n := c.nodes[m.To]; n != nil && !c.cut[m.From] && !c.cut[m.To] {
			n.Receive(c.now, m)
			mail = append(mail, c.take(m.To)...)
		}
	}
}

func (c *goldenCluster) run(till float64) {
	for ; c.now < till; c.now += 5 {
		var mail []consensus.Message
		for _, name := range c.names {
			if n := c.nodes[name]; n != nil {
				n.Tick(c.now)
				mail = append(mail, c.take(name)...)
			}
		}
		c.deliver(mail)
		for _, name := range c.names {
			if n := c.nodes[name]; n != nil && int(c.now)%50 == 0 {
				b, err := json.Marshal(n.Effective(c.now))
				require.NoError(c.t, err)
				fmt.Fprintf(&c.notes, "%.0f %s leads %v acts on %s\n", c.now, name, n.IsLeader(), b)
			}
		}
	}
}

func (c *goldenCluster) leader() string {
	i := slices.IndexFunc(c.names, func(name string) bool { n := c.nodes[name]; return n != nil && !c.cut[name] && n.IsLeader() })
	require.GreaterOrEqual(c.t, i, 0)
	return c.names[i]
}

func (c *goldenCluster) propose(at string, id uint64, rules consensus.Rules) {
	require.NoError(c.t, c.nodes[at].Propose(c.now, id, rules))
	c.deliver(c.take(at))
}

func (c *goldenCluster) enter(at string, id uint64, e jobs.Entry, change consensus.Rules) {
	require.NoError(c.t, c.nodes[at].ProposeJobEntry(c.now, id, e, change))
	c.deliver(c.take(at))
}

// With one seed, nodes send and save the same bytes in the same order as an earlier program did: through an election,
// versions, a job and its owner, a change of rules by that, a leader that is cut off, and a voter that lost its folder.
func TestGoldenConversation(t *testing.T) {
	c := &goldenCluster{t: t, names: []string{"n1", "n2", "n3", "n4"}, nodes: map[string]*consensus.Node{}, kept: map[string]*consensus.PersistentState{}, cut: map[string]bool{}}
	for i, name := range c.names {
		if i < 3 {
			c.kept[name] = consensus.InitialState(name, c.names[:3])
		}
		c.start(name, uint64(i+1))
	}
	c.run(400)
	c.propose("n4", 11, consensus.Rules{"tries": 3.0, "database.d.group": 1.0})
	c.propose("n1", 12, consensus.Rules{"tries": 4.0}) // before the first is in force
	c.run(600)
	c.propose("n4", 11, consensus.Rules{"tries": 3.0, "database.d.group": 1.0}) // again: counted once
	c.propose("n2", 13, consensus.Rules{"host.h.closed": true})                 // beyond the limits
	c.enter("n4", 21, jobs.Entry{Type: jobs.EntryCreate, Job: "w", JobKind: "k", RequiredGroups: []uint64{1}}, nil)
	c.run(900)
	work := c.nodes[c.leader()].Lease().Jobs["w"]
	require.NotEmpty(t, work.Holder)
	c.enter(work.Holder, 22, jobs.Entry{Type: jobs.EntryAnnounce, Job: "w", Token: work.Token, Operation: &jobs.Operation{Number: 1, Name: "d"}}, nil)
	c.run(950)
	c.enter(work.Holder, 23, jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: work.Token, Operation: &jobs.Operation{Number: 1, Name: "d"}}, consensus.Rules{"class.a.bound_ms": 100.0})
	c.enter(work.Holder, 24, jobs.Entry{Type: jobs.EntryAuthorize, Job: "w", Token: work.Token + 1}, consensus.Rules{"tries": 1.0})
	c.run(1300)
	old := c.leader()
	c.cut[old] = true
	c.run(1900)
	require.NotEqual(t, old, c.leader())
	c.cut[old] = false
	c.run(2200)
	lost := c.names[slices.IndexFunc(c.names, func(name string) bool { return name != c.leader() })]
	c.kept[lost] = nil
	c.start(lost, 30)
	c.run(3000)
	require.Len(t, c.nodes[c.leader()].Voters(), 3)
	require.NotEmpty(t, c.nodes[c.leader()].Voters()[c.kept[lost].ID])
	for i := range 300 { // more than is kept before a snapshot
		c.enter("n4", uint64(1000+i), jobs.Entry{Type: jobs.EntryApprove, Job: "w", Approval: &jobs.Approval{Action: "go", Step: 99}}, nil)
	}
	c.run(3300)
	golden(t, "conversation.txt", c.notes.Bytes())
}

package main

import (
	"bufio"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/clock"
	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/consensus/runner"
	"ashstand/internal/cluster/membership"
	"ashstand/internal/net/discovery"
	"ashstand/internal/vfs"
)

// The formats between poolers that this program reads, and the one that it writes.
const (
	oldestFormat = 1
	newestFormat = 1
)

// fellows is what a pooler has to do with the others.
type fellows struct {
	gossip      *membership.Gossip
	agreed      *runner.Runner // nil: nothing is agreed on
	assignments *assignments   // nil as well then
	trace       *trace
	open        chan struct{} // closed once the gossip is up
	state       membership.State
	mu          sync.Mutex

	name     string
	instance uint64
	broken   string
	config   consensus.Config // of the agreement
	jobs     *jobService      // nil: off
}

// meet starts it; nil where the operator's file has no cluster: then nothing of it is opened, started or allocated.
func meet(cfg *config, now clock.Clock) (*fellows, error) {
	o := cfg.operator.Cluster
	if o == nil || o.Listen == "" {
		return nil, nil
	}
	keys, err := membership.ReadKeys(o.Keys)
	if err != nil {
		return nil, fmt.Errorf("cluster.keys: %w", err)
	}
	var drawn [8]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return nil, err
	}
	name := o.Name
	if name == "" {
		name = cfg.Name
	}
	if _, own := o.Peers[name]; own {
		return nil, fmt.Errorf("%s: cluster.peer %q: that is this pooler's own name", cfg.operator.Path, name)
	}
	f := &fellows{state: membership.Starting, open: make(chan struct{})}
	if l := cfg.operator.Testbed; l != nil && l.Trace != "" {
		if f.trace, err = openTrace(l.Trace, name); err != nil {
			return nil, err
		}
	}
	broken := ""
	if what, ok := strings.CutPrefix(os.Getenv("ASHSTAND_BREAK"), "cluster-"); ok && cfg.operator.Testbed != nil {
		slog.Error("a guarantee is switched off, to see its checker fail: " + what)
		broken = what
	}
	f.name, f.instance, f.broken = name, binary.BigEndian.Uint64(drawn[:])|1, broken
	self := membership.Info{
		Name: name, Incarnation: f.instance, StartedAt: now.Now(), Version: version(), OldestFormat: oldestFormat,
		NewestFormat: newestFormat, Zone: o.Zone, State: membership.Starting,
	}
	if o.Agreement != nil {
		if err := f.agree(cfg, self, now, broken); err != nil {
			return nil, err
		}
	}
	f.gossip, err = membership.Start(membership.Options{
		Self: self, Listen: o.Listen, Peers: o.Peers, Keys: keys, MaxMembers: o.Members, ProbeInterval: o.Probe,
		Seed: cfg.seed, Clock: now, OnChange: f.changed, DisabledGuarantee: broken, OnMessage: f.message,
	})
	if err != nil {
		f.stop()
		return nil, err
	}
	close(f.open)
	return f, nil
}

// agree starts this pooler's part in the agreement on rules.
func (f *fellows) agree(cfg *config, self membership.Info, now clock.Clock, broken string) error {
	a := cfg.operator.Cluster.Agreement
	for _, v := range a.Voters {
		if _, peer := cfg.operator.Cluster.Peers[v]; !peer && v != self.Name {
			return fmt.Errorf("%s: cluster.agreement: voters has %q, which is neither this pooler (%q) nor a peer block", cfg.operator.Path, v, self.Name)
		}
	}
	var limits consensus.Rules
	if a.Limits != "" {
		text, err := os.ReadFile(a.Limits)
		if err == nil {
			limits, err = consensus.ParseRules(text)
		}
		if err != nil {
			return fmt.Errorf("cluster.agreement.limits: %s: %w", a.Limits, err)
		}
	}
	c := consensus.Config{
		Name: self.Name, Incarnation: self.Incarnation, Voters: a.Voters, LeaseMillis: clock.Millis(a.Lease), ClockDrift: a.Drift, RenewIntervalMillis: clock.Millis(a.Renew),
		ElectionTimeoutMillis: clock.Millis(a.Election), Limits: limits, Format: newestFormat, Seed: cfg.seed, Scheduler: schedulerConfig(cfg), DisabledGuarantee: broken,
	}
	f.config = c
	var err error
	o := runner.Options{Config: c, Directory: a.Folder, Clock: now, Send: f.send, OnChange: f.acts}
	if f.trace != nil {
		o.OnLease = func(left float64) { f.trace.line(map[string]any{"event": "lease", "left": left}) }
	}
	f.assignments = &assignments{clock: now}
	if f.agreed, err = runner.Start(o); err != nil {
		return fmt.Errorf("cluster.agreement: %w", err)
	}
	f.assignments.consensus = f.agreed
	steady, change := c.ActivationBoundMillis()
	slog.Info(fmt.Sprintf("cluster: rules that are agreed on are in force everywhere within %v, with a new leader within %v", clock.Duration(steady).Round(time.Millisecond),
		clock.Duration(change).Round(time.Millisecond)))
	return nil
}

// send brings a message to another pooler; before the gossip is up nobody is reached.
func (f *fellows) send(to string, b []byte) {
	select {
	case <-f.open:
		f.gossip.Send(to, b)
	default:
	}
}

func (f *fellows) message(b []byte) {
	if f.agreed != nil {
		f.agreed.Receive(b)
	}
}

// acts is told of each change of what is acted on.
func (f *fellows) acts(a consensus.EffectiveRules) {
	text := fmt.Sprintf("cluster: acting on version %d", a.Versions[0])
	if len(a.Versions) > 1 {
		text += fmt.Sprintf(" and, where it is stricter, %d", a.Versions[1])
	}
	if a.LeaseExpired {
		text += ", within the limits: without a lease"
	}
	slog.Info(text)
	f.assignments.changed()
	f.trace.line(map[string]any{"event": "acts", "versions": a.Versions, "rules": a.Rules, "lapsed": a.LeaseExpired})
}

// changed is told of each change of view.
func (f *fellows) changed(changes []membership.Change) {
	for _, c := range changes {
		slog.Info(fmt.Sprintf("cluster: %s is %s, it was %s", c.Name, cmp.Or(c.To, "forgotten"), cmp.Or(c.From, "unknown")))
	}
	f.trace.views(changes)
}

// now tells the others what this pooler is.
func (f *fellows) now(s membership.State) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != membership.Draining { // there is no way back
		f.state = s
		f.gossip.SetState(s)
	}
}

// reload takes other keys and addresses; the rest needs a restart.
func (f *fellows) reload(old, next *config) (wait []string) {
	o, n := old.operator.Cluster, next.operator.Cluster
	if o == nil || n == nil || f == nil {
		if (o == nil || o.Listen == "") != (n == nil || n.Listen == "") {
			return []string{"cluster"}
		}
		return nil
	}
	if !reflect.DeepEqual(o.Agreement, n.Agreement) {
		wait = append(wait, "cluster.agreement")
	}
	if o.Name != n.Name || o.Listen != n.Listen || o.Zone != n.Zone || o.Members != n.Members || o.Probe != n.Probe {
		wait = append(wait, "cluster: name, listen, zone, members or probe")
	}
	keys, err := membership.ReadKeys(n.Keys)
	if err == nil {
		err = f.gossip.RotateKeys(keys)
	}
	if err != nil {
		slog.Error("reload: cluster.keys: " + err.Error() + "; going on with those held")
	}
	f.gossip.SetPeers(n.Peers)
	return wait
}

func (f *fellows) stop() {
	if f == nil {
		return
	}
	f.jobs.stop()
	if f.agreed != nil {
		f.agreed.Stop()
	}
	if f.gossip != nil {
		f.gossip.Stop()
	}
	f.trace.close()
}

// drain hands works over before the process ends.
func (f *fellows) drain(within time.Duration) {
	if f != nil {
		f.jobs.drain(within)
	}
}

// holds tells the others that this pooler serves once it has a list.
func (f *fellows) holds(l discovery.EndpointList) {
	if f != nil && len(l.Endpoints) > 0 {
		f.now(membership.Serving)
	}
}

// view is what operators see of the cluster.
type clusterView struct {
	On bool `json:"on"`
	membership.View
}

func (f *fellows) view() any {
	if f == nil {
		return clusterView{}
	}
	return clusterView{true, f.gossip.View()}
}

// agreement is what operators see of the rules.
func (f *fellows) agreement() any {
	if f == nil || f.agreed == nil {
		return runner.View{}
	}
	return f.agreed.View()
}

// adminCommands are what operators can have done.
func (n *node) adminCommands() map[string]admin.Command {
	return map[string]admin.Command{"cost": n.costs.estimate, "jobs": n.requestJob, "work": n.requestLegacyJob, "migration-plan": n.planMigration, "move-plan": n.planLegacyMigration, "propose": func(ctx context.Context, body []byte) (any, error) {
		if n.others == nil || n.others.agreed == nil {
			return nil, errors.New("this pooler's file has no cluster.agreement block")
		}
		rules, err := consensus.ParseRules(body)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		v, err := n.others.agreed.Propose(ctx, rules)
		return map[string]int{"version": v}, err
	}}
}

// trace is the file in which a process of the laboratory writes what it acted on.
type trace struct {
	mu   sync.Mutex
	file *os.File
	name string
}

func openTrace(path, name string) (*trace, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lab.trace: %w", err)
	}
	t := &trace{file: f, name: name}
	t.line(map[string]any{"event": "start", "pid": os.Getpid()})
	return t, nil
}

// line writes one event. The time is the machine's, which all processes of a laboratory share, whatever their own
// clocks are set to.
func (t *trace) line(of map[string]any) {
	if t == nil {
		return
	}
	of["at"], of["name"] = float64(time.Now().UnixMicro())/1e3, t.name
	b, err := json.Marshal(of)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = t.file.Write(append(b, '\n'))
}

func (t *trace) views(changes []membership.Change) {
	for _, c := range changes {
		t.line(map[string]any{"event": "view", "of": c.Name, "from": c.From, "to": c.To, "before": fmt.Sprintf("%016x", c.PreviousIncarnation), "instance": fmt.Sprintf("%016x", c.Incarnation)})
	}
}

// trap ends or stops this process at a point that the laboratory asks for, by a file beside the trace: "kill" or "stop", an
// event's first word, and a deed's name. It counts once.
func (t *trace) trap(event, deed string) {
	path := t.file.Name() + ".trap"
	b, err := os.ReadFile(path)
	if err != nil {
		return
	}
	words := strings.Fields(string(b))
	if first, _, _ := strings.Cut(event, " "); len(words) != 3 || words[1] != first || words[2] != deed || os.Remove(path) != nil {
		return
	}
	s := syscall.SIGSTOP
	if words[0] == "kill" {
		s = syscall.SIGKILL
	}
	_ = syscall.Kill(os.Getpid(), s)
	time.Sleep(20 * time.Millisecond) // a signal reaches the threads of a process one by one: nothing is to go on before it has
}

func (t *trace) close() {
	if t != nil {
		_ = t.file.Close()
	}
}

// clusterCommands ask a running pooler about the others.
func clusterCommands(ask func(*cobra.Command) *cobra.Command, view func(string, any, func(*bufio.Writer)) func(*cobra.Command, []string) error,
	address func() (string, error),
) *cobra.Command {
	var v clusterView
	var rules runner.View
	var places assignmentsView
	listAssignments := func() *cobra.Command {
		return &cobra.Command{
			Use: "assignments", Short: "list the databases with the group that each is at, and what waits for those that are paused", Args: cobra.NoArgs,
			RunE: view("assignments", &places, func(w *bufio.Writer) { writeAssignmentTable(w, &places) }),
		}
	}
	root := &cobra.Command{Use: "cluster", Short: "what a pooler knows of the others"}
	key := &cobra.Command{Use: "key", Short: "print a new key for the file that cluster.keys names", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		b := make([]byte, 32)
		if _, err := rand.Read(b); err != nil {
			return err
		}
		_, err := fmt.Fprintln(c.OutOrStdout(), base64.StdEncoding.EncodeToString(b))
		return err
	}}
	propose := func(text []byte, w io.Writer) error {
		if _, err := consensus.ParseRules(text); err != nil {
			return err
		}
		a, err := address()
		if err != nil {
			return err
		}
		var out struct{ Version int }
		if err := admin.Invoke(a, "propose", text, &out); err != nil {
			return err
		}
		_, err = fmt.Fprintf(w, "version %d is in the log; ashstand cluster versions says when it is in force\n", out.Version)
		return err
	}
	versions := func(words ...string) (found []consensus.Version, err error) {
		a, err := address()
		if err != nil {
			return nil, err
		}
		if err := admin.Get(a, "agreement", &rules); err != nil {
			return nil, err
		}
		for _, word := range words {
			i := slices.IndexFunc(rules.Versions, func(v consensus.Version) bool { return word == strconv.Itoa(v.Number) })
			if i < 0 {
				return nil, fmt.Errorf("version %q is not among the %d that this pooler's log has", word, len(rules.Versions))
			}
			found = append(found, rules.Versions[i])
		}
		return found, nil
	}
	root.AddCommand(key, bootstrapCommand(), deprecatedCommand(bootstrapCommand(), "cluster found", "cluster bootstrap"),
		ask(&cobra.Command{
			Use: "versions", Short: "show the rules that this pooler acts on, and the versions in its log", Args: cobra.NoArgs,
			RunE: view("agreement", &rules, func(w *bufio.Writer) { versionTable(w, &rules) }),
		}),
		ask(&cobra.Command{Use: "diff V W", Short: "show in which keys two versions differ", Args: cobra.ExactArgs(2), RunE: func(c *cobra.Command, args []string) error {
			v, err := versions(args...)
			if err != nil {
				return err
			}
			for _, line := range consensus.DiffRules(v[0].Rules, v[1].Rules) {
				if _, err := fmt.Fprintln(c.OutOrStdout(), line); err != nil {
					return err
				}
			}
			return nil
		}}),
		ask(&cobra.Command{
			Use: "propose FILE", Short: "bring rules in for all poolers; FILE holds one JSON object of keys", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				text, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}
				if err = propose(text, c.OutOrStdout()); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				return nil
			},
		}),
		ask(&cobra.Command{
			Use: "rollback V", Short: "bring the rules of an earlier version in again, as a new version", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				v, err := versions(args...)
				if err != nil {
					return err
				}
				text, err := json.Marshal(v[0].Rules)
				if err != nil {
					return err
				}
				return propose(text, c.OutOrStdout())
			},
		}),
		ask(listAssignments()),
		ask(deprecatedCommand(listAssignments(), "cluster homes", "cluster assignments")),
		ask(&cobra.Command{
			Use: "members", Short: "list the poolers that this one knows, with what it believes of each", Args: cobra.NoArgs,
			RunE: view("cluster", &v, func(w *bufio.Writer) { memberTable(w, &v) }),
		}),
		ask(&cobra.Command{
			Use: "status", Short: "show where this pooler stands in its cluster, and what it has dropped", Args: cobra.NoArgs,
			RunE: view("cluster", &v, func(w *bufio.Writer) { statusTable(w, &v) }),
		}))
	return root
}

// bootstrapCommand writes the first state of a voter.
func bootstrapCommand() *cobra.Command {
	var folder string
	var voters []string
	c := &cobra.Command{
		Use: "bootstrap NAME", Short: "write a voter's first folder, once for each voter of a new cluster", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if folder == "" || !slices.Contains(voters, args[0]) {
				return errors.New("--folder names where, --voters all voters, this one among them, alike for each")
			}
			return runner.Bootstrap(vfs.OS{}, folder, args[0], voters)
		},
	}
	c.Flags().StringVar(&folder, "folder", "", "as cluster.agreement.folder has it")
	c.Flags().StringSliceVar(&voters, "voters", nil, "the names of all voters")
	return c
}

func versionTable(w *bufio.Writer, v *runner.View) {
	if !v.Enabled {
		fmt.Fprintln(w, "the operator's file has no cluster.agreement block: this pooler acts on its own files alone")
		return
	}
	fmt.Fprintf(w, "acting on\t%v\n", v.Effective.Versions)
	if v.Effective.LeaseExpired {
		fmt.Fprintln(w, "lease\tnone: the limits count")
	} else {
		fmt.Fprintf(w, "lease\t%v left\n", clock.Duration(v.LeaseRemainingMillis).Round(time.Millisecond))
	}
	fmt.Fprintf(w, "in force everywhere within\t%v; with a new leader %v\n", clock.Duration(v.BoundMillis).Round(time.Millisecond), clock.Duration(v.BoundAfterElectionMillis).Round(time.Millisecond))
	if v.IsLeader {
		fmt.Fprintln(w, "leads\tyes")
	}
	for _, line := range consensus.DiffRules(nil, v.Effective.Rules) {
		fmt.Fprintf(w, "rule\t%s\n", line)
	}
	for id, name := range v.Voters {
		fmt.Fprintf(w, "voter\t%s as %016x\n", name, id)
	}
	for _, x := range v.Versions {
		b, _ := json.Marshal(x.Rules)
		fmt.Fprintf(w, "version %d\tby %s: %s\n", x.Number, x.ProposedBy, b)
	}
}

func memberTable(w *bufio.Writer, v *clusterView) {
	if !v.On {
		fmt.Fprintln(w, "the operator's file has no cluster block with an address: this pooler knows of no others")
		return
	}
	fmt.Fprintln(w, "NAME\tSTATE\tFOR\tADDRESS\tINSTANCE\tSTARTED\tZONE\tFORMATS\tVERSION")
	now := clock.System().Now()
	for _, m := range v.Members {
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%016x\t%s\t%s\t%d-%d\t%s\n", m.Name, m.State, clock.Duration(now-m.Since).Round(time.Second), m.Address,
			m.Incarnation, time.UnixMilli(int64(m.StartedAt)).UTC().Format(time.DateTime), m.Zone, m.OldestFormat, m.NewestFormat, m.Version)
	}
}

func statusTable(w *bufio.Writer, v *clusterView) {
	if !v.On {
		memberTable(w, v)
		return
	}
	count := map[membership.State]int{}
	for _, m := range v.Members {
		count[m.State]++
	}
	fmt.Fprintf(w, "name\t%s, instance %016x at %s\n", v.Self.Name, v.Self.Incarnation, v.Self.Address)
	if v.NameHolder != nil {
		fmt.Fprintf(w, "refused\tthe name is held by instance %016x at %s, which started first\n", v.NameHolder.Incarnation, v.NameHolder.Address)
	}
	fmt.Fprintf(w, "members\t%d serving, %d starting, %d draining, %d suspect, %d gone\n", count[membership.Serving], count[membership.Starting],
		count[membership.Draining], count[membership.Suspect], count[membership.Dead])
	fmt.Fprintf(w, "known to all within\t%v, where they reach each other\n", clock.Duration(v.ConvergenceMillis).Round(100*time.Millisecond))
	fmt.Fprintf(w, "formats that all read\t%d to %d\n", v.Formats[0], v.Formats[1])
	if len(v.Incompatible) > 0 {
		fmt.Fprintf(w, "no format in common with\t%s\n", strings.Join(v.Incompatible, ", "))
	}
	for _, t := range v.NameConflicts {
		fmt.Fprintf(w, "name that came twice\t%s: %016x at %s holds it, %016x at %s is refused\n", t.Name, t.Holder.Incarnation, t.Holder.Address, t.Rejected.Incarnation, t.Rejected.Address)
	}
	for _, k := range []string{"packets", "sent", "streams", "dialed", "huge", "twice", "overrun", "busy", "unreached", "garbage", "foreign", "calls", "joins"} {
		fmt.Fprintf(w, "%s\t%d\n", k, v.Counters[k])
	}
}

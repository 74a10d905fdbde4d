package operator

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// TestbedEnv is the environment variable without which a process rejects the lab block.
const TestbedEnv = "ASHSTAND_LAB"

// Parse reads the text of a file; path names it in errors. It returns an *InvalidFileError with all faults found.
func Parse(path string, text []byte) (*File, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(text, path)
	c := checker{path: path}
	if diags.HasErrors() {
		c.diagnostics(diags)
		return nil, c.err()
	}
	var b fileBody
	if diags = gohcl.DecodeBody(parsed.Body, nil, &b); diags.HasErrors() {
		c.diagnostics(diags)
		return nil, c.err()
	}
	f := New()
	f.Path = path
	if b.Log != nil {
		c.log(f, b.Log)
	}
	if b.Admin != nil {
		c.admin(f, b.Admin)
	}
	if b.State != nil {
		c.state(f, b.State)
	}
	if b.Flight != nil {
		c.flight(f, b.Flight)
	}
	if b.Sessions != nil {
		c.sessions(f, b.Sessions)
	}
	if b.Cluster != nil {
		c.cluster(f, b.Cluster)
	}
	if b.Cost != nil {
		c.cost(f, b.Cost)
	}
	if b.Testbed != nil {
		c.testbed(f, b.Testbed)
	}
	f.Deprecations = c.deprecations
	return f, c.err()
}

func (c *checker) log(f *File, b *logBody) {
	c.block = "log"
	c.oneOf(b.Body, "level", b.Level, &f.Log.Level, "debug", "info", "warn", "error")
	c.oneOf(b.Body, "format", b.Format, &f.Log.Format, "text", "json")
}

func (c *checker) admin(f *File, b *adminBody) {
	c.block = "admin"
	setIfGiven(b.Listen, &f.Admin.Listen)
	if f.Admin.Listen != "" && !strings.HasPrefix(f.Admin.Listen, "unix:/") {
		c.address(b.Body, "listen", f.Admin.Listen, true)
	}
}

func (c *checker) state(f *File, b *stateBody) {
	c.block = "state"
	c.absolutePath(b.Body, "folder", b.Folder, &f.State.Folder, "a folder that outlives the process")
	c.duration(b.Body, "pace", b.Pace, &f.State.Pace, time.Millisecond, time.Hour, false)
}

func (c *checker) flight(f *File, b *flightBody) {
	c.block = "flight"
	f.Flight = &Flight{Connections: 64, HostTypes: b.HostTypes}
	if setIfGiven(b.Listen, &f.Flight.Listen); f.Flight.Listen != "" {
		c.address(b.Body, "listen", f.Flight.Listen, false)
	}
	c.integer(b.Body, "connections", b.Connections, &f.Flight.Connections, 1, 1<<20)
}

func (c *checker) testbed(f *File, b *testbedBody) {
	c.block = "lab"
	f.Testbed = &Testbed{Rate: 1}
	c.absolutePath(b.Body, "trace", b.Trace, &f.Testbed.Trace, "a file")
	c.duration(b.Body, "clock_offset", b.Offset, &f.Testbed.Offset, -time.Hour, time.Hour, true)
	c.number(b.Body, "clock_rate", b.Rate, &f.Testbed.Rate, func(rate float64) bool { return !(rate < 0.5 || rate > 2) }, "a number from 0.5 to 2")
	if os.Getenv(TestbedEnv) == "" {
		c.fail(b.Body, "lab", "set", "nothing of it in service; the laboratory sets "+TestbedEnv)
	}
}

func (c *checker) cost(f *File, b *costBody) {
	c.block = "cost"
	out := &Cost{Memory: 4 << 20, Span: 6 * time.Hour, Drift: 0.2, Kinds: map[string]string{}}
	f.Cost = out
	c.bytes(b.Body, "memory", b.Memory, &out.Memory, 64<<10, 256<<20, "a size from 64KiB to 256MiB, such as \"4MiB\"")
	c.duration(b.Body, "span", b.Span, &out.Span, time.Minute, 30*24*time.Hour, false)
	c.number(b.Body, "drift", b.Drift, &out.Drift, func(drift float64) bool { return !(drift <= 0 || drift > 2) }, "a number above 0, at most 2")
	c.integer(b.Body, "capacity", b.Capacity, &out.Capacity, 1, 1<<20)
	if len(b.Kinds) > maxKinds {
		c.fail(b.Body, "kind", fmt.Sprint(len(b.Kinds), " blocks"), "at most 16: evidence is kept for each")
	}
	for _, k := range b.Kinds {
		c.block = "cost.kind " + strconv.Quote(k.Name)
		c.name(k.Body, "name", k.Name, false)
		for _, h := range k.Hosts {
			if other, twice := out.Kinds[h]; twice {
				c.fail(k.Body, "hosts", strconv.Quote(h)+", which kind "+strconv.Quote(other)+" has", "each host in one kind")
			}
			out.Kinds[h] = k.Name
		}
	}
}

const maxKinds = 16

func (c *checker) cluster(f *File, b *clusterBody) {
	c.block = "cluster"
	out := &Cluster{Members: 64, Probe: time.Second, Peers: map[string]string{}}
	f.Cluster = out
	setIfGiven(b.Name, &out.Name)
	setIfGiven(b.Zone, &out.Zone)
	c.name(b.Body, "name", out.Name, true)
	c.name(b.Body, "zone", out.Zone, true)
	if setIfGiven(b.Listen, &out.Listen); out.Listen != "" {
		c.clusterListen(out, b)
	}
	setIfGiven(b.Keys, &out.Keys)
	c.integer(b.Body, "members", b.Members, &out.Members, 2, 2000)
	c.duration(b.Body, "probe", b.Probe, &out.Probe, 50*time.Millisecond, time.Minute, false)
	for i := range b.Peers {
		c.peer(out, &b.Peers[i])
	}
	if b.Agreement != nil {
		c.agreement(out, b.Agreement)
	}
	if c.block = "cluster"; len(out.Peers) >= out.Members {
		c.fail(b.Body, "members", strconv.Itoa(out.Members), fmt.Sprintf("at least %d: this pooler and its peers", len(out.Peers)+1))
	}
}

func (c *checker) clusterListen(out *Cluster, b *clusterBody) {
	c.address(b.Body, "listen", out.Listen, false)
	if host, _, err := net.SplitHostPort(out.Listen); err == nil && (net.ParseIP(host) == nil || net.ParseIP(host).IsUnspecified()) {
		c.fail(b.Body, "listen", strconv.Quote(out.Listen), "the IP address at which the others reach this pooler, and a port")
	}
	if b.Keys == nil || *b.Keys == "" {
		c.fail(b.Body, "keys", "not there", "the path of a file with the keys between poolers, a base64 key a line; ashstand cluster key prints one")
	}
}

func (c *checker) peer(out *Cluster, p *peerBody) {
	c.block = "cluster.peer " + strconv.Quote(p.Name)
	if _, twice := out.Peers[p.Name]; twice {
		c.fail(p.Body, "address", "given twice for this name", "one peer block a name")
	}
	c.address(p.Body, "address", p.Address, false)
	c.name(p.Body, "name", p.Name, false)
	if p.Name == out.Name {
		c.fail(p.Body, "name", strconv.Quote(p.Name), "the name of another pooler; this is its own")
	}
	out.Peers[p.Name] = p.Address
}

func (c *checker) agreement(of *Cluster, b *agreementBody) {
	c.block = "cluster.agreement"
	a := &Agreement{Voters: b.Voters, Lease: 2 * time.Second, Renew: 300 * time.Millisecond, Election: 500 * time.Millisecond, Drift: 0.01}
	of.Agreement = a
	c.duration(b.Body, "lease", b.Lease, &a.Lease, 100*time.Millisecond, time.Minute, false)
	c.duration(b.Body, "renew", b.Renew, &a.Renew, 10*time.Millisecond, time.Minute, false)
	c.duration(b.Body, "election", b.Election, &a.Election, 50*time.Millisecond, time.Minute, false)
	if a.Renew*4 > a.Lease {
		c.fail(b.Body, "renew", strconv.Quote(a.Renew.String()), fmt.Sprintf("at most a quarter of lease, which is %v: a renewal that is lost must not cost it", a.Lease))
	}
	c.number(b.Body, "drift", b.Drift, &a.Drift, func(drift float64) bool { return !(drift < 0 || drift > 0.2) },
		"a share from 0 to 0.2: by how much a clock may run fast or slow")
	c.absolutePath(b.Body, "folder", b.Folder, &a.Folder, "a folder that outlives the process")
	c.absolutePath(b.Body, "limits", b.Limits, &a.Limits, "a file")
	if n := len(a.Voters); n != 1 && n != 3 && n != 5 && n != 7 {
		c.fail(b.Body, "voters", fmt.Sprint(n, " names"), "three or five names of poolers; one for a trial")
	}
	seen := map[string]bool{}
	for _, v := range a.Voters {
		if seen[v] {
			c.fail(b.Body, "voters", strconv.Quote(v), "each name once")
		}
		seen[v] = true
		if _, peer := of.Peers[v]; !peer && of.Name != "" && v != of.Name {
			c.fail(b.Body, "voters", strconv.Quote(v), "this pooler's name, or that of a peer block")
		}
	}
	c.jobsBlocks(a, b)
}

// jobsBlocks reads the jobs block, or the one by its deprecated name.
func (c *checker) jobsBlocks(of *Agreement, b *agreementBody) {
	const name, deprecated = "cluster.agreement.jobs", "cluster.agreement.works"
	switch {
	case b.Jobs != nil && b.Works != nil:
		c.block = name
		c.fail(b.Works.Body, "works", "there, too", "one of both: works is the deprecated name of jobs")
	case b.Jobs != nil:
		c.block = name
		c.jobs(of, b.Jobs)
	case b.Works != nil:
		c.block = deprecated
		c.deprecate(b.Works.Body, deprecated, name)
		c.jobs(of, b.Works)
	}
}

func (c *checker) jobs(of *Agreement, b *jobsBody) {
	j := &Jobs{
		User: "ashstand", StallTimeout: 20 * time.Second, MinTenure: 5 * time.Second, Backoff: 30 * time.Second,
		PollInterval: 200 * time.Millisecond, OperationTimeout: 10 * time.Second,
	}
	of.Jobs = j
	if setIfGiven(b.User, &j.User); j.User == "" || len(j.User) > 63 {
		c.fail(b.Body, "user", strconv.Quote(j.User), "a name of 1 to 63 characters, by which database hosts know the lease holder of a job")
	}
	c.duration(b.Body, "stall", b.StallTimeout, &j.StallTimeout, 100*time.Millisecond, time.Hour, false)
	c.duration(b.Body, "tenure", b.MinTenure, &j.MinTenure, 0, time.Hour, true)
	c.duration(b.Body, "back_off", b.Backoff, &j.Backoff, 100*time.Millisecond, time.Hour, false)
	c.duration(b.Body, "pace", b.PollInterval, &j.PollInterval, 5*time.Millisecond, time.Minute, false)
	c.duration(b.Body, "deed", b.OperationTimeout, &j.OperationTimeout, 50*time.Millisecond, time.Hour, false)
	if j.StallTimeout < 2*j.OperationTimeout {
		c.fail(b.Body, "stall", strconv.Quote(j.StallTimeout.String()),
			fmt.Sprintf("at least twice deed, which is %v: an operation in doubt, and finding out whether it was executed, are no stall", j.OperationTimeout))
	}
}

func (c *checker) sessions(f *File, b *sessionsBody) {
	c.block = "sessions"
	out := &Sessions{Clients: 100, ServerConnections: 32, MaxMessage: 1 << 20, Held: 1000, Users: map[string]string{}}
	f.Sessions = out
	if setIfGiven(b.Listen, &out.Listen); out.Listen != "" {
		c.address(b.Body, "listen", out.Listen, false)
	}
	c.integer(b.Body, "clients", b.Clients, &out.Clients, 1, 1<<20)
	c.integer(b.Body, "server_connections", b.ServerConnections, &out.ServerConnections, 1, 1<<20)
	c.integer(b.Body, "held", b.Held, &out.Held, 0, 1<<20)
	c.bytes(b.Body, "max_message", b.MaxMessage, &out.MaxMessage, 64<<10, 64<<20, "a size from 64KiB to 64MiB, such as \"1MiB\"")
	for i := range b.Pools {
		c.pool(out, &b.Pools[i])
	}
	if len(out.Pools) == 0 && out.Listen != "" {
		c.fail(b.Body, "pool", "not there", "at least one pool \"NAME\" { } block")
	}
	for i := range b.Users {
		c.user(out, &b.Users[i])
	}
}

func (c *checker) user(out *Sessions, u *userBody) {
	c.block = "sessions.user " + strconv.Quote(u.Name)
	if out.Users[u.Name] != "" {
		c.fail(u.Body, "scram", "given twice for this user", "one user block a name")
	}
	if out.Users[u.Name] = u.Scram; !strings.HasPrefix(u.Scram, "SCRAM-SHA-256$") || strings.Count(u.Scram, "$") != 2 {
		c.fail(u.Body, "scram", "no verifier", "SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey, as a server keeps it")
	}
}

func (c *checker) pool(out *Sessions, b *poolBody) {
	c.block = "sessions.pool " + strconv.Quote(b.Name)
	p := Pool{
		Name: b.Name, Database: anyName, User: anyName, Mode: "transaction", Size: 8, Waiting: 100, Patience: 2 * time.Second,
		IdleInTransaction: time.Minute, ServerIdle: 10 * time.Second, ServerLife: time.Hour, Statements: 200, Pins: 4, Held: 100, Hold: 5 * time.Second,
	}
	setIfGiven(b.Database, &p.Database)
	setIfGiven(b.User, &p.User)
	c.oneOf(b.Body, "mode", b.Mode, &p.Mode, "transaction", "session")
	c.integer(b.Body, "size", b.Size, &p.Size, 1, 1<<20)
	c.integer(b.Body, "reserve", b.Reserve, &p.Reserve, 0, p.Size-1)
	c.integer(b.Body, "waiting", b.Waiting, &p.Waiting, 0, 1<<20)
	c.duration(b.Body, "patience", b.Patience, &p.Patience, time.Millisecond, time.Hour, false)
	c.duration(b.Body, "idle_in_transaction", b.IdleInTransaction, &p.IdleInTransaction, 100*time.Millisecond, 24*time.Hour, true)
	c.duration(b.Body, "server_idle", b.ServerIdle, &p.ServerIdle, 100*time.Millisecond, 24*time.Hour, true)
	c.duration(b.Body, "server_life", b.ServerLife, &p.ServerLife, time.Second, 7*24*time.Hour, true)
	c.integer(b.Body, "statements", b.Statements, &p.Statements, 1, 100000)
	c.integer(b.Body, "pins", b.Pins, &p.Pins, 0, p.Size)
	c.integer(b.Body, "held", b.Held, &p.Held, 0, 1<<20)
	c.duration(b.Body, "hold", b.Hold, &p.Hold, time.Millisecond, time.Hour, true)
	c.poolClasses(&p, b)
	group := 0
	c.integer(b.Body, "group", b.Group, &group, 0, 1<<31-1)
	p.Group = uint64(group)
	c.poolOrder(out, &p, b)
	out.Pools = append(out.Pools, p)
}

func (c *checker) poolClasses(p *Pool, b *poolBody) {
	setIfGiven(b.ReadOnly, &p.ReadOnly)
	setIfGiven(b.ReadWrite, &p.ReadWrite)
	if p.ReadOnly == "" {
		c.fail(b.Body, "read_only", "not there", "the class of the settings by which read-only transactions are routed")
	}
	if p.ReadWrite == "" {
		c.fail(b.Body, "read_write", "not there", "the class of the settings by which all other transactions are routed")
	}
	setIfGiven(b.SelectsReadOnly, &p.SelectsReadOnly)
}

// poolOrder checks a pool against those before it: the first pool that matches a session serves it.
func (c *checker) poolOrder(out *Sessions, p *Pool, b *poolBody) {
	for _, o := range out.Pools {
		same := o.Database == p.Database && o.User == p.User
		if same {
			c.fail(b.Body, "database", fmt.Sprintf("%q with user %q, as in pool %q", p.Database, p.User, o.Name), "each pair of database and user once; the first pool that fits counts")
		}
		if (o.Database == anyName || o.Database == p.Database) && (o.User == anyName || o.User == p.User) && !same {
			c.fail(b.Body, "database", fmt.Sprintf("never reached: pool %q before it takes all of its sessions", o.Name), "the narrower pool first")
		}
	}
}

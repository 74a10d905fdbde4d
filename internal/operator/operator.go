// Package operator reads the operator's own file: what the platform's configuration knows nothing of. It is HCL, checked
// as a whole before any of it counts; a fault names file, line, key, the value that stands there and what is allowed.
package operator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// File is the operator's file. What is left out has the value that New gives it.
type File struct {
	Path     string    `json:"path"`
	Log      Log       `json:"log"`
	Admin    Admin     `json:"admin"`
	State    State     `json:"state"`
	Flight   *Flight   `json:"flight,omitempty"` // nil: the file says nothing of it
	Sessions *Sessions `json:"sessions,omitempty"`
	Cluster  *Cluster  `json:"cluster,omitempty"` // nil: the pooler knows of no others
	Cost     *Cost     `json:"cost,omitempty"`    // nil: nothing is observed
	Testbed  *Testbed  `json:"lab,omitempty"`     // nil: as in service
}

// Cost says how this pooler learns what statements cost.
type Cost struct {
	Memory   int               `json:"memory"`   // bytes of evidence
	Span     time.Duration     `json:"span"`     // after which evidence counts 1/e
	Drift    float64           `json:"drift"`    // by how much the logarithm of work wanders in a span
	Capacity int               `json:"capacity"` // requests that a host works on at once; 0: as many as this pooler lets it have
	Kinds    map[string]string `json:"kinds"`    // of hardware, by host
}

// Cluster says who the other poolers are.
type Cluster struct {
	Name      string            `json:"name"`   // "": the platform's
	Listen    string            `json:"listen"` // "": off
	Zone      string            `json:"zone"`
	Keys      string            `json:"keys"`    // the file of the keys between poolers
	Members   int               `json:"members"` // the most that are known
	Probe     time.Duration     `json:"probe"`
	Peers     map[string]string `json:"peers"` // address by name, as this pooler reaches them
	Agreement *Agreement        `json:"agreement,omitempty"`
}

// Agreement is on rules that all poolers act on.
type Agreement struct {
	Voters   []string      `json:"voters"`
	Folder   string        `json:"folder"` // "": nothing is kept; such a pooler can't vote
	Lease    time.Duration `json:"lease"`
	Renew    time.Duration `json:"renew"`
	Election time.Duration `json:"election"`
	Drift    float64       `json:"drift"`
	Limits   string        `json:"limits"`          // a file
	Jobs     *Jobs         `json:"works,omitempty"` // nil: this pooler does no works
}

// Jobs are done by one owner at a time, on behalf of the whole fleet.
type Jobs struct {
	User             string        `json:"user"`  // by which db hosts know the owner
	StallTimeout     time.Duration `json:"stall"` // an owner that gets nothing done for so long is replaced
	MinTenure        time.Duration `json:"tenure"`
	Backoff          time.Duration `json:"back_off"`
	PollInterval     time.Duration `json:"pace"` // between two looks at a place
	OperationTimeout time.Duration `json:"deed"` // a deed that takes longer is in doubt
}

// Testbed is for the laboratory alone: a process in service refuses it.
type Testbed struct {
	Trace  string        `json:"trace"`  // a file to which the process writes what it acted on
	Offset time.Duration `json:"offset"` // of its clock
	Rate   float64       `json:"rate"`   // of its clock: 1 is true
}

// Log says how the log is written.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text (key=value) or json
}

// Admin says where the pooler answers its operators.
type Admin struct {
	Listen string `json:"listen"` // unix:PATH or a loopback host:port; "": nowhere
}

// State says where what was learned is kept across restarts.
type State struct {
	Folder string        `json:"folder"` // "": nowhere
	Pace   time.Duration `json:"pace"`
}

// Flight is the Flight SQL front.
type Flight struct {
	Listen      string   `json:"listen"`
	Connections int      `json:"connections"`
	HostTypes   []string `json:"host_types"`
}

// Sessions is the front for transaction and session pooling.
type Sessions struct {
	Listen            string            `json:"listen"`
	Clients           int               `json:"clients"`
	ServerConnections int               `json:"server_connections"`
	MaxMessage        int               `json:"max_message"` // bytes
	Held              int               `json:"held"`
	Pools             []Pool            `json:"pools"`
	Users             map[string]string `json:"-"` // SCRAM verifiers: not to be shown
}

// Pool is how the sessions of a database and user are served.
type Pool struct {
	Name              string        `json:"name"`
	Database          string        `json:"database"`
	User              string        `json:"user"`
	Mode              string        `json:"mode"`
	Size              int           `json:"size"`
	Reserve           int           `json:"reserve"`
	Waiting           int           `json:"waiting"`
	Patience          time.Duration `json:"patience"`
	IdleInTransaction time.Duration `json:"idle_in_transaction"`
	ServerIdle        time.Duration `json:"server_idle"`
	ServerLife        time.Duration `json:"server_life"`
	Statements        int           `json:"statements"`
	Pins              int           `json:"pins"`
	Held              int           `json:"held"`
	Hold              time.Duration `json:"hold"`
	ReadOnly          string        `json:"read_only"`
	ReadWrite         string        `json:"read_write"`
	SelectsReadOnly   bool          `json:"selects_read_only"`
	Group             uint64        `json:"group"`
}

// The file as HCL has it. Pointers tell what is left out from what is zero.
type (
	fileBody struct {
		Log      *logBody      `hcl:"log,block"`
		Admin    *adminBody    `hcl:"admin,block"`
		State    *stateBody    `hcl:"state,block"`
		Flight   *flightBody   `hcl:"flight,block"`
		Sessions *sessionsBody `hcl:"sessions,block"`
		Cluster  *clusterBody  `hcl:"cluster,block"`
		Cost     *costBody     `hcl:"cost,block"`
		Testbed  *testbedBody  `hcl:"lab,block"`
	}
	costBody struct {
		Memory   *string    `hcl:"memory"`
		Span     *string    `hcl:"span"`
		Drift    *float64   `hcl:"drift"`
		Capacity *int       `hcl:"capacity"`
		Kinds    []kindBody `hcl:"kind,block"`
		Body     hcl.Body   `hcl:",body"`
	}
	kindBody struct {
		Name  string   `hcl:"name,label"`
		Hosts []string `hcl:"hosts"`
		Body  hcl.Body `hcl:",body"`
	}
	clusterBody struct {
		Name      *string        `hcl:"name"`
		Listen    *string        `hcl:"listen"`
		Zone      *string        `hcl:"zone"`
		Keys      *string        `hcl:"keys"`
		Members   *int           `hcl:"members"`
		Probe     *string        `hcl:"probe"`
		Peers     []peerBody     `hcl:"peer,block"`
		Agreement *agreementBody `hcl:"agreement,block"`
		Body      hcl.Body       `hcl:",body"`
	}
	agreementBody struct {
		Voters   []string  `hcl:"voters,optional"`
		Folder   *string   `hcl:"folder"`
		Lease    *string   `hcl:"lease"`
		Renew    *string   `hcl:"renew"`
		Election *string   `hcl:"election"`
		Drift    *float64  `hcl:"drift"`
		Limits   *string   `hcl:"limits"`
		Works    *jobsBody `hcl:"works,block"`
		Body     hcl.Body  `hcl:",body"`
	}
	jobsBody struct {
		User   *string  `hcl:"user"`
		Stall  *string  `hcl:"stall"`
		Tenure *string  `hcl:"tenure"`
		Back   *string  `hcl:"back_off"`
		Pace   *string  `hcl:"pace"`
		Deed   *string  `hcl:"deed"`
		Body   hcl.Body `hcl:",body"`
	}
	peerBody struct {
		Name    string   `hcl:"name,label"`
		Address string   `hcl:"address"`
		Body    hcl.Body `hcl:",body"`
	}
	testbedBody struct {
		Trace  *string  `hcl:"trace"`
		Offset *string  `hcl:"clock_offset"`
		Rate   *float64 `hcl:"clock_rate"`
		Body   hcl.Body `hcl:",body"`
	}
	logBody struct {
		Level  *string  `hcl:"level"`
		Format *string  `hcl:"format"`
		Body   hcl.Body `hcl:",body"`
	}
	adminBody struct {
		Listen *string  `hcl:"listen"`
		Body   hcl.Body `hcl:",body"`
	}
	stateBody struct {
		Folder *string  `hcl:"folder"`
		Pace   *string  `hcl:"pace"`
		Body   hcl.Body `hcl:",body"`
	}
	flightBody struct {
		Listen      *string  `hcl:"listen"`
		Connections *int     `hcl:"connections"`
		HostTypes   []string `hcl:"host_types,optional"`
		Body        hcl.Body `hcl:",body"`
	}
	sessionsBody struct {
		Listen            *string    `hcl:"listen"`
		Clients           *int       `hcl:"clients"`
		ServerConnections *int       `hcl:"server_connections"`
		MaxMessage        *string    `hcl:"max_message"`
		Held              *int       `hcl:"held"`
		Pools             []poolBody `hcl:"pool,block"`
		Users             []userBody `hcl:"user,block"`
		Body              hcl.Body   `hcl:",body"`
	}
	poolBody struct {
		Name              string   `hcl:"name,label"`
		Database          *string  `hcl:"database"`
		User              *string  `hcl:"user"`
		Mode              *string  `hcl:"mode"`
		Size              *int     `hcl:"size"`
		Reserve           *int     `hcl:"reserve"`
		Waiting           *int     `hcl:"waiting"`
		Patience          *string  `hcl:"patience"`
		IdleInTransaction *string  `hcl:"idle_in_transaction"`
		ServerIdle        *string  `hcl:"server_idle"`
		ServerLife        *string  `hcl:"server_life"`
		Statements        *int     `hcl:"statements"`
		Pins              *int     `hcl:"pins"`
		Held              *int     `hcl:"held"`
		Hold              *string  `hcl:"hold"`
		ReadOnly          *string  `hcl:"read_only"`
		ReadWrite         *string  `hcl:"read_write"`
		SelectsReadOnly   *bool    `hcl:"selects_read_only"`
		Group             *int     `hcl:"group"`
		Body              hcl.Body `hcl:",body"`
	}
	userBody struct {
		Name  string   `hcl:"name,label"`
		Scram string   `hcl:"scram"`
		Body  hcl.Body `hcl:",body"`
	}
)

// New is the file that says nothing: all that is new is off.
func New() *File {
	return &File{Log: Log{Level: "info", Format: "text"}, State: State{Pace: 2 * time.Second}}
}

// Load reads a file. One that is not there is like one that says nothing, unless it must be there.
func Load(path string, must bool) (*File, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && !must {
		return New(), nil
	}
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads the text of a file; path names it in faults. All faults found are reported, a line each.
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
	if l := b.Log; l != nil {
		c.block = "log"
		c.word(l.Body, "level", l.Level, &f.Log.Level, "debug", "info", "warn", "error")
		c.word(l.Body, "format", l.Format, &f.Log.Format, "text", "json")
	}
	if a := b.Admin; a != nil {
		c.block = "admin"
		if set(a.Listen, &f.Admin.Listen); f.Admin.Listen != "" && !strings.HasPrefix(f.Admin.Listen, "unix:/") {
			c.address(a.Body, "listen", f.Admin.Listen, true)
		}
	}
	if s := b.State; s != nil {
		c.block = "state"
		c.place(s.Body, "folder", s.Folder, &f.State.Folder, "a folder that outlives the process")
		c.time(s.Body, "pace", s.Pace, &f.State.Pace, time.Millisecond, time.Hour, false)
	}
	if l := b.Flight; l != nil {
		c.block = "flight"
		f.Flight = &Flight{Connections: 64, HostTypes: l.HostTypes}
		if set(l.Listen, &f.Flight.Listen); f.Flight.Listen != "" {
			c.address(l.Body, "listen", f.Flight.Listen, false)
		}
		c.count(l.Body, "connections", l.Connections, &f.Flight.Connections, 1, 1<<20)
	}
	if s := b.Sessions; s != nil {
		c.sessions(f, s)
	}
	if l := b.Cluster; l != nil {
		c.cluster(f, l)
	}
	if l := b.Cost; l != nil {
		c.cost(f, l)
	}
	if l := b.Testbed; l != nil {
		c.block = "lab"
		f.Testbed = &Testbed{Rate: 1}
		c.place(l.Body, "trace", l.Trace, &f.Testbed.Trace, "a file")
		c.time(l.Body, "clock_offset", l.Offset, &f.Testbed.Offset, -time.Hour, time.Hour, true)
		if set(l.Rate, &f.Testbed.Rate); f.Testbed.Rate < 0.5 || f.Testbed.Rate > 2 {
			c.fail(l.Body, "clock_rate", strconv.FormatFloat(f.Testbed.Rate, 'g', -1, 64), "a number from 0.5 to 2")
		}
		if os.Getenv(TestbedEnv) == "" {
			c.fail(l.Body, "lab", "set", "nothing of it in service; the laboratory sets "+TestbedEnv)
		}
	}
	return f, c.err()
}

// TestbedEnv is the variable without which a process refuses the lab block.
const TestbedEnv = "ASHSTAND_LAB"

func (c *checker) cost(f *File, b *costBody) {
	c.block = "cost"
	out := &Cost{Memory: 4 << 20, Span: 6 * time.Hour, Drift: 0.2, Kinds: map[string]string{}}
	f.Cost = out
	if b.Memory != nil {
		n, err := size(*b.Memory)
		if out.Memory = n; err != nil || n < 64<<10 || n > 256<<20 {
			c.fail(b.Body, "memory", strconv.Quote(*b.Memory), "a size from 64KiB to 256MiB, such as \"4MiB\"")
		}
	}
	c.time(b.Body, "span", b.Span, &out.Span, time.Minute, 30*24*time.Hour, false)
	if set(b.Drift, &out.Drift); out.Drift <= 0 || out.Drift > 2 {
		c.fail(b.Body, "drift", strconv.FormatFloat(out.Drift, 'g', -1, 64), "a number above 0, at most 2")
	}
	c.count(b.Body, "capacity", b.Capacity, &out.Capacity, 1, 1<<20)
	if len(b.Kinds) > 16 {
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

func (c *checker) cluster(f *File, b *clusterBody) {
	c.block = "cluster"
	out := &Cluster{Members: 64, Probe: time.Second, Peers: map[string]string{}}
	f.Cluster = out
	set(b.Name, &out.Name)
	set(b.Zone, &out.Zone)
	c.name(b.Body, "name", out.Name, true)
	c.name(b.Body, "zone", out.Zone, true)
	if set(b.Listen, &out.Listen); out.Listen != "" {
		c.address(b.Body, "listen", out.Listen, false)
		if host, _, err := net.SplitHostPort(out.Listen); err == nil && (net.ParseIP(host) == nil || net.ParseIP(host).IsUnspecified()) {
			c.fail(b.Body, "listen", strconv.Quote(out.Listen), "the IP address at which the others reach this pooler, and a port")
		}
		if b.Keys == nil || *b.Keys == "" {
			c.fail(b.Body, "keys", "not there", "the path of a file with the keys between poolers, a base64 key a line; ashstand cluster key prints one")
		}
	}
	set(b.Keys, &out.Keys)
	c.count(b.Body, "members", b.Members, &out.Members, 2, 2000)
	c.time(b.Body, "probe", b.Probe, &out.Probe, 50*time.Millisecond, time.Minute, false)
	for _, p := range b.Peers {
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
	if b.Agreement != nil {
		c.agreement(out, b.Agreement)
	}
	if c.block = "cluster"; len(out.Peers) >= out.Members {
		c.fail(b.Body, "members", strconv.Itoa(out.Members), fmt.Sprintf("at least %d: this pooler and its peers", len(out.Peers)+1))
	}
}

func (c *checker) agreement(of *Cluster, b *agreementBody) {
	c.block = "cluster.agreement"
	a := &Agreement{Voters: b.Voters, Lease: 2 * time.Second, Renew: 300 * time.Millisecond, Election: 500 * time.Millisecond, Drift: 0.01}
	of.Agreement = a
	c.time(b.Body, "lease", b.Lease, &a.Lease, 100*time.Millisecond, time.Minute, false)
	c.time(b.Body, "renew", b.Renew, &a.Renew, 10*time.Millisecond, time.Minute, false)
	c.time(b.Body, "election", b.Election, &a.Election, 50*time.Millisecond, time.Minute, false)
	if a.Renew*4 > a.Lease {
		c.fail(b.Body, "renew", strconv.Quote(a.Renew.String()), fmt.Sprintf("at most a quarter of lease, which is %v: a renewal that is lost must not cost it", a.Lease))
	}
	if set(b.Drift, &a.Drift); a.Drift < 0 || a.Drift > 0.2 {
		c.fail(b.Body, "drift", strconv.FormatFloat(a.Drift, 'g', -1, 64), "a share from 0 to 0.2: by how much a clock may run fast or slow")
	}
	c.place(b.Body, "folder", b.Folder, &a.Folder, "a folder that outlives the process")
	c.place(b.Body, "limits", b.Limits, &a.Limits, "a file")
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
	if b.Works != nil {
		c.jobs(a, b.Works)
	}
}

func (c *checker) jobs(of *Agreement, b *jobsBody) {
	c.block = "cluster.agreement.works"
	w := &Jobs{User: "ashstand", StallTimeout: 20 * time.Second, MinTenure: 5 * time.Second, Backoff: 30 * time.Second, PollInterval: 200 * time.Millisecond, OperationTimeout: 10 * time.Second}
	of.Jobs = w
	if set(b.User, &w.User); w.User == "" || len(w.User) > 63 {
		c.fail(b.Body, "user", strconv.Quote(w.User), "a name of 1 to 63 characters, by which db hosts know the owner of a work")
	}
	c.time(b.Body, "stall", b.Stall, &w.StallTimeout, 100*time.Millisecond, time.Hour, false)
	c.time(b.Body, "tenure", b.Tenure, &w.MinTenure, 0, time.Hour, true)
	c.time(b.Body, "back_off", b.Back, &w.Backoff, 100*time.Millisecond, time.Hour, false)
	c.time(b.Body, "pace", b.Pace, &w.PollInterval, 5*time.Millisecond, time.Minute, false)
	c.time(b.Body, "deed", b.Deed, &w.OperationTimeout, 50*time.Millisecond, time.Hour, false)
	if w.StallTimeout < 2*w.OperationTimeout {
		c.fail(b.Body, "stall", strconv.Quote(w.StallTimeout.String()), fmt.Sprintf("at least twice deed, which is %v: a deed that is in doubt, and the look that settles it, are no stall", w.OperationTimeout))
	}
}

func (c *checker) sessions(f *File, s *sessionsBody) {
	c.block = "sessions"
	out := &Sessions{Clients: 100, ServerConnections: 32, MaxMessage: 1 << 20, Held: 1000, Users: map[string]string{}}
	f.Sessions = out
	if set(s.Listen, &out.Listen); out.Listen != "" {
		c.address(s.Body, "listen", out.Listen, false)
	}
	c.count(s.Body, "clients", s.Clients, &out.Clients, 1, 1<<20)
	c.count(s.Body, "server_connections", s.ServerConnections, &out.ServerConnections, 1, 1<<20)
	c.count(s.Body, "held", s.Held, &out.Held, 0, 1<<20)
	if s.MaxMessage != nil {
		n, err := size(*s.MaxMessage)
		if out.MaxMessage = n; err != nil || n < 64<<10 || n > 64<<20 {
			c.fail(s.Body, "max_message", strconv.Quote(*s.MaxMessage), "a size from 64KiB to 64MiB, such as \"1MiB\"")
		}
	}
	for i := range s.Pools {
		c.pool(out, &s.Pools[i])
	}
	if len(out.Pools) == 0 && out.Listen != "" {
		c.fail(s.Body, "pool", "not there", "at least one pool \"NAME\" { } block")
	}
	for _, u := range s.Users {
		c.block = "sessions.user " + strconv.Quote(u.Name)
		if out.Users[u.Name] != "" {
			c.fail(u.Body, "scram", "given twice for this user", "one user block a name")
		}
		if out.Users[u.Name] = u.Scram; !strings.HasPrefix(u.Scram, "SCRAM-SHA-256$") || strings.Count(u.Scram, "$") != 2 {
			c.fail(u.Body, "scram", "no verifier", "SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey, as a server keeps it")
		}
	}
}

func (c *checker) pool(out *Sessions, b *poolBody) {
	c.block = "sessions.pool " + strconv.Quote(b.Name)
	p := Pool{
		Name: b.Name, Database: "*", User: "*", Mode: "transaction", Size: 8, Waiting: 100, Patience: 2 * time.Second,
		IdleInTransaction: time.Minute, ServerIdle: 10 * time.Second, ServerLife: time.Hour, Statements: 200, Pins: 4, Held: 100, Hold: 5 * time.Second,
		ReadOnly: "", ReadWrite: "",
	}
	set(b.Database, &p.Database)
	set(b.User, &p.User)
	c.word(b.Body, "mode", b.Mode, &p.Mode, "transaction", "session")
	c.count(b.Body, "size", b.Size, &p.Size, 1, 1<<20)
	c.count(b.Body, "reserve", b.Reserve, &p.Reserve, 0, p.Size-1)
	c.count(b.Body, "waiting", b.Waiting, &p.Waiting, 0, 1<<20)
	c.time(b.Body, "patience", b.Patience, &p.Patience, time.Millisecond, time.Hour, false)
	c.time(b.Body, "idle_in_transaction", b.IdleInTransaction, &p.IdleInTransaction, 100*time.Millisecond, 24*time.Hour, true)
	c.time(b.Body, "server_idle", b.ServerIdle, &p.ServerIdle, 100*time.Millisecond, 24*time.Hour, true)
	c.time(b.Body, "server_life", b.ServerLife, &p.ServerLife, time.Second, 7*24*time.Hour, true)
	c.count(b.Body, "statements", b.Statements, &p.Statements, 1, 100000)
	c.count(b.Body, "pins", b.Pins, &p.Pins, 0, p.Size)
	c.count(b.Body, "held", b.Held, &p.Held, 0, 1<<20)
	c.time(b.Body, "hold", b.Hold, &p.Hold, time.Millisecond, time.Hour, true)
	set(b.ReadOnly, &p.ReadOnly)
	set(b.ReadWrite, &p.ReadWrite)
	if p.ReadOnly == "" {
		c.fail(b.Body, "read_only", "not there", "the class of the settings by which read-only transactions are routed")
	}
	if p.ReadWrite == "" {
		c.fail(b.Body, "read_write", "not there", "the class of the settings by which all other transactions are routed")
	}
	if b.SelectsReadOnly != nil {
		p.SelectsReadOnly = *b.SelectsReadOnly
	}
	group := 0
	c.count(b.Body, "group", b.Group, &group, 0, 1<<31-1)
	p.Group = uint64(group)
	for _, o := range out.Pools {
		if o.Database == p.Database && o.User == p.User {
			c.fail(b.Body, "database", fmt.Sprintf("%q with user %q, as in pool %q", p.Database, p.User, o.Name), "each pair of database and user once; the first pool that fits counts")
		}
		if (o.Database == "*" || o.Database == p.Database) && (o.User == "*" || o.User == p.User) && !(o.Database == p.Database && o.User == p.User) {
			c.fail(b.Body, "database", fmt.Sprintf("never reached: pool %q before it takes all of its sessions", o.Name), "the narrower pool first")
		}
	}
	out.Pools = append(out.Pools, p)
}

// CheckClasses checks the pools' classes against those of the platform's settings.
func (f *File) CheckClasses(known func(class string) (writes, ok bool)) error {
	if f.Sessions == nil || f.Sessions.Listen == "" {
		return nil
	}
	for _, p := range f.Sessions.Pools {
		for _, k := range []struct {
			key, class string
			writes     bool
		}{{"read_only", p.ReadOnly, false}, {"read_write", p.ReadWrite, true}} {
			writes, ok := known(k.class)
			if !ok {
				return fmt.Errorf("%s: sessions.pool %q: %s = %q: the settings name no such class", f.Path, p.Name, k.key, k.class)
			}
			if writes != k.writes {
				return fmt.Errorf("%s: sessions.pool %q: %s = %q: it takes a class of %s", f.Path, p.Name, k.key, k.class,
					map[bool]string{true: "writes, which the primary serves", false: "reads"}[k.writes])
			}
		}
	}
	return nil
}

func set[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

// size reads a number of bytes, with KiB or MiB behind it or nothing.
func size(s string) (int, error) {
	unit := 1
	for suffix, n := range map[string]int{"KiB": 1 << 10, "MiB": 1 << 20} {
		if rest, ok := strings.CutSuffix(s, suffix); ok {
			s, unit = rest, n
		}
	}
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if n > 1<<31/unit {
		return 0, strconv.ErrRange
	}
	return n * unit, err
}

// checker gathers faults, each with its place.
type checker struct {
	path   string
	block  string
	faults []string
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(c.faults, "\n"))
}

func (c *checker) diagnostics(ds hcl.Diagnostics) {
	for _, d := range ds {
		at := c.path
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d", c.path, d.Subject.Start.Line)
		}
		c.faults = append(c.faults, fmt.Sprintf("%s: %s: %s", at, d.Summary, strings.ReplaceAll(d.Detail, "\n", " ")))
	}
}

// fail notes a fault of a key in the block under way.
func (c *checker) fail(b hcl.Body, key, value, allowed string) {
	line := b.MissingItemRange().Start.Line
	if body, ok := b.(*hclsyntax.Body); ok {
		line = body.SrcRange.Start.Line
		if a := body.Attributes[key]; a != nil {
			line = a.SrcRange.Start.Line
		}
	}
	c.faults = append(c.faults, fmt.Sprintf("%s:%d: %s: %s is %s; allowed is %s", c.path, line, c.block, key, value, allowed))
}

// place takes the absolute path of what is named; "" stands for none.
func (c *checker) place(b hcl.Body, key string, from, to *string, what string) {
	if set(from, to); *to != "" && !filepath.IsAbs(*to) {
		c.fail(b, key, strconv.Quote(*to), "the absolute path of "+what)
	}
}

// name checks what other poolers are told, and what stands in their log lines.
func (c *checker) name(b hcl.Body, key, name string, optional bool) {
	if name == "" && !optional || len(name) > 64 || strings.ContainsAny(name, "/\"\n ") {
		c.fail(b, key, strconv.Quote(name), "a word of at most 64 bytes, without spaces, quotes and slashes")
	}
}

func (c *checker) word(b hcl.Body, key string, from, to *string, allowed ...string) {
	if from == nil {
		return
	}
	for _, a := range allowed {
		if *from == a {
			*to = a
			return
		}
	}
	c.fail(b, key, strconv.Quote(*from), strings.Join(allowed, ", "))
}

func (c *checker) count(b hcl.Body, key string, from, to *int, least, most int) {
	if from == nil {
		return
	}
	if *to = *from; *from < least || *from > most {
		c.fail(b, key, strconv.Itoa(*from), fmt.Sprintf("a whole number from %d to %d", least, most))
	}
}

func (c *checker) time(b hcl.Body, key string, from *string, to *time.Duration, least, most time.Duration, off bool) {
	if from == nil {
		return
	}
	d, err := time.ParseDuration(*from)
	if *to = d; err == nil && (off && d == 0 || d >= least && d <= most) {
		return
	}
	allowed := fmt.Sprintf("a time from %v to %v, such as \"2s\"", least, most)
	if off {
		allowed += ", or \"0s\" for none"
	}
	c.fail(b, key, strconv.Quote(*from), allowed)
}

func (c *checker) address(b hcl.Body, key, address string, loopback bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.fail(b, key, strconv.Quote(address), "host:port")
		return
	}
	if ip := net.ParseIP(host); loopback && (ip == nil || !ip.IsLoopback()) {
		c.fail(b, key, strconv.Quote(address), "unix:PATH or a loopback address with a port: whoever reaches it may read what the pooler holds")
	}
}

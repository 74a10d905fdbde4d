// Package fleet starts stand-in hosts, discovery and poolers on loopback addresses, and makes failures happen to them.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"ashstand/testbed/discovery"
	"ashstand/testbed/host"
)

// Options are what a fleet is to be.
type Options struct {
	Pooler   string        // the program; "": ashstand beside this one
	Replicas int           // of each group
	Lag      time.Duration // of the replicas
	Groups   int           // of hosts, each with a primary; 0: one
	// Databases of the groups, with tables of their own, each at one group, its home; none: clients may name any, and share
	// one table a group.
	Databases []string
	Homes     map[string]int // the home of a database, from 1; one that is not there has the group that its turn gives it
	Seed      uint64
	MemoryMB  int
	Sockets   int
	Sessions  string   // the operator's sessions block; "": one pool in transaction mode with these sizes
	Clients   int      // session clients
	Servers   int      // session server connections
	Env       []string // for the pooler
	Log       bool     // pass the pooler's log on to standard error
	State     string   // a folder in which the pooler keeps what it learned; "": none
	Pace      time.Duration
	Plain     bool // a version that knows neither commands nor the operator's file

	// Of a fleet of several poolers; nil: it has one.
	Names    []string                                                 // of all, in the order of their numbers
	Extra    func(name string) string                                 // more of a pooler's operator's file
	Settings func(poolers, index int) map[string]any                  // the platform's; nil: the usual ones
	Agent    func(name string, r *discovery.Registry) (string, error) // where a pooler asks for the list
}

// Fleet is what runs.
type Fleet struct {
	Cluster  *host.Cluster   // the first group
	Groups   []*host.Cluster // group g stands at g-1
	Registry *discovery.Registry
	Hosts    []*host.Host // of all groups, one after the other
	Pooler   *Pooler
	Options  Options
	dir      string

	mu       sync.Mutex
	draining map[string]bool

	poolers   map[string]*Pooler   // the latest of each name
	addresses map[string][2]string // of poolers
	ports     []*Port              // held until the fleet stops
}

// Pooler is a process.
type Pooler struct {
	Statement string // where it takes the platform's requests
	Sessions  string // and sessions
	Admin     string
	cmd       *exec.Cmd
	log       *tail
	ended     chan struct{}
	err       error
}

// tail keeps the end of a log.
type tail struct {
	mu   sync.Mutex
	b    bytes.Buffer
	pass bool
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.b.Len() > 1<<20 {
		t.b.Reset()
	}
	if t.pass {
		_, _ = os.Stderr.Write(b) // for a reader; the tail is kept in any case
	}
	return t.b.Write(b)
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.b.String()
}

// SiblingProgram is a program in the folder of this one.
func SiblingProgram(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%s is not there; build both programs into one folder, or name it with --pooler", path)
	}
	return path, nil
}

// Home is the group that a database of the fleet has in the beginning; 0: there is no such database.
func (o Options) Home(database string) int {
	i := slices.Index(o.Databases, database)
	if i < 0 {
		return 0
	}
	if g, named := o.Homes[database]; named {
		return g
	}
	return 1 + i%max(1, o.Groups)
}

// check refuses what can't be built.
func (o Options) check() error {
	for name, g := range o.Homes {
		if !slices.Contains(o.Databases, name) || g < 1 || g > max(1, o.Groups) {
			return fmt.Errorf("home of database %q: group %d; there are the databases %v in groups 1 to %d", name, g, o.Databases, max(1, o.Groups))
		}
	}
	return nil
}

// Start brings up hosts and discovery, then one pooler, and waits until it serves.
func Start(o Options) (*Fleet, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	f := &Fleet{Options: o, draining: map[string]bool{}, poolers: map[string]*Pooler{}, addresses: map[string][2]string{}}
	var err error
	if f.dir, err = os.MkdirTemp("", "testbed-"); err != nil {
		return nil, err
	}
	for g := range max(1, o.Groups) {
		if err := f.group(g + 1); err != nil {
			f.Stop()
			return nil, err
		}
	}
	f.Cluster = f.Groups[0]
	if f.Registry, err = discovery.Start("127.0.0.1:0"); err != nil {
		f.Stop()
		return nil, err
	}
	f.Publish()
	if o.Names != nil { // whoever wants several starts each
		return f, nil
	}
	if f.Pooler, err = f.StartPooler("n1"); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// group brings up the hosts of one group and the databases whose home it is. Their names have the group's number where
// there are several.
func (f *Fleet) group(g int) error {
	c, prefix := host.NewCluster(uint64(g), f.Options.Seed), "host-"
	if f.Options.Groups > 1 {
		prefix += strconv.Itoa(g) + "-"
	}
	f.Groups = append(f.Groups, c)
	c.Seed(1000)
	for _, name := range f.Options.Databases {
		if f.Options.Home(name) == g {
			c.Database(name)
		}
	}
	for i := range f.Options.Replicas + 1 {
		at, err := f.port() // it starts again at the same one
		if err != nil {
			return err
		}
		h, err := c.Add(prefix+strconv.Itoa(i), at)
		if err != nil {
			return err
		}
		h.SetLag(f.Options.Lag)
		f.Hosts = append(f.Hosts, h)
	}
	return nil
}

// port is an address that is held until the fleet stops.
func (f *Fleet) port() (string, error) {
	p, err := Hold()
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ports = append(f.ports, p)
	return p.Address, nil
}

// Publish brings the hosts as they are now to discovery.
func (f *Fleet) Publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var es []discovery.Entry
	for _, c := range f.Groups {
		for _, h := range c.Hosts() {
			e := discovery.Entry{
				Name: h.Name, Address: h.Address, Zone: "a", Type: "std-4core", Group: c.Group, Status: "active", Weight: 1,
				SinceMS: h.Since(), Part: "replica",
			}
			if h.Primary() {
				e.Part = "master"
			}
			if f.draining[h.Name] {
				e.Status = "leaving"
			}
			es = append(es, e)
		}
	}
	f.Registry.Set(es...)
}

// Drain tells discovery, and the host itself, that it is to take nothing new, or that it may again.
func (f *Fleet) Drain(h *host.Host, on bool) {
	f.mu.Lock()
	f.draining[h.Name] = on
	f.mu.Unlock()
	if !on {
		h.Drain(false)
	}
	f.Publish()
	if on {
		h.Drain(true)
	}
}

// settings are the platform's for one of so many poolers, as on the scored days but for wider deadlines.
func settings(poolers, index int) map[string]any {
	class := func(name, effect string, aim, deadline, worth, late float64) map[string]any {
		return map[string]any{"name": name, "aim_ms": aim, "deadline_ms": deadline, "worth": worth, "late_share": late, "effect": effect}
	}
	return map[string]any{
		"balancers": poolers, "index": index, "period_ms": 5, "deductions": map[string]any{"probe": 0.04},
		"domain": map[string]any{
			"class_read": []string{"bounded", "session", "any", "write"}, "role_in_list": "late",
			"staleness_bound_ms": []float64{200, 0, 0, 0}, "token_mode": "carried", "when_behind": "off", "answers_stamped": true,
		},
		"obligations": map[string]any{"cold_from": 0.24, "ramp_time_ms": 15000, "overload_factor": 3, "fall_ms": 1500, "stop_sending_within_ms": 1000},
		"policy_limits": map[string]any{
			"conn_idle_ms": 15000, "connect_timeout_ms": 1000, "max_retry_after_ms": 2000, "may_cancel": true,
			"most_tries": 8, "probes": true, "retry_after": true, "max_open": 10000,
		},
		"report": map[string]any{"fields": []string{"x0", "x1", "inflight", "util"}, "how": "on_probe"},
		"request_classes": []any{
			class("browse", "idempotent", 300, 1000, 1, 0.2), class("my-library", "idempotent", 300, 2000, 3, 0),
			class("report", "idempotent", 7500, 15000, 4, 0.2), class("donate", "at_most_once", 1000, 3000, 3, 0.3),
		},
	}
}

// settings are those of the pooler with this number.
func (o Options) settings(index int) map[string]any {
	if o.Settings != nil {
		return o.Settings(max(1, len(o.Names)), index)
	}
	return settings(max(1, len(o.Names)), index)
}

// StartPooler starts one more pooler of the fleet and waits until it serves. After an error it may still run.
func (f *Fleet) StartPooler(name string) (*Pooler, error) {
	p, err := f.Launch(name)
	if err != nil {
		return nil, err
	}
	return p, p.Ready()
}

// Launch starts a pooler's process, at the addresses that it had before if there was one of its name. While one of that
// name runs there is no second: both would write one file and listen at one port.
func (f *Fleet) Launch(name string) (p *Pooler, err error) {
	p = &Pooler{log: &tail{pass: f.Options.Log}, ended: make(chan struct{}), Admin: "unix:" + filepath.Join(f.dir, name+".sock")}
	f.mu.Lock()
	was := f.poolers[name]
	if was != nil {
		select {
		case <-was.ended:
		default:
			f.mu.Unlock()
			return nil, fmt.Errorf("%s runs already", name)
		}
	}
	f.poolers[name] = p
	f.mu.Unlock()
	defer func() {
		if err != nil {
			close(p.ended) // it never ran
		}
	}()
	if p.Statement, p.Sessions, err = f.address(name); err != nil {
		return nil, err
	}
	return p, f.launch(name, p)
}

// address is where a pooler takes statements and sessions: held from its first start until the fleet stops.
func (f *Fleet) address(name string) (statement, sessions string, err error) { // Launch has one call of a name at a time
	f.mu.Lock()
	at, again := f.addresses[name]
	f.mu.Unlock()
	if again {
		return at[0], at[1], nil
	}
	for i := range at {
		if at[i], err = f.port(); err != nil {
			return "", "", err
		}
	}
	f.mu.Lock()
	f.addresses[name] = at
	f.mu.Unlock()
	return at[0], at[1], nil
}

func (f *Fleet) launch(name string, p *Pooler) error {
	o := f.Options
	program := o.Pooler
	var err error
	if program == "" {
		if program, err = SiblingProgram("ashstand"); err != nil {
			return err
		}
	}
	if program, err = filepath.Abs(program); err != nil {
		return err
	}
	memory, sockets := o.MemoryMB, o.Sockets
	if memory == 0 {
		memory = 192
	}
	if sockets == 0 {
		sockets = 1024
	}
	index := max(0, slices.Index(o.Names, name))
	agent := f.Registry.Address
	if o.Agent != nil {
		if agent, err = o.Agent(name, f.Registry); err != nil {
			return err
		}
	}
	config, err := json.Marshal(map[string]any{
		"name": name, "listen": p.Statement, "discovery": agent, "seed": strconv.FormatUint(o.Seed+1+uint64(index), 16),
		"limits":   map[string]any{"cores": 1, "memory_mb": memory, "sockets": sockets},
		"settings": o.settings(index),
	})
	if err != nil {
		return err
	}
	path, file := filepath.Join(f.dir, name+".json"), filepath.Join(f.dir, name+".hcl")
	block := o.Sessions
	if block == "" {
		block = o.pools(o.Clients, o.Servers, o.Servers)
	}
	text := fmt.Sprintf("admin {\n  listen = %q\n}\n", p.Admin) + strings.ReplaceAll(block, "LISTEN", p.Sessions)
	if o.State != "" {
		text += fmt.Sprintf("state {\n  folder = %q\n  pace = %q\n}\n", o.State, o.Pace)
	}
	if o.Extra != nil {
		text += o.Extra(name)
	}
	if err := errors.Join(write(path, config), write(file, []byte(text))); err != nil {
		return err
	}
	args := []string{"serve", "--file", file}
	if o.Plain {
		args = nil // an earlier version knows no commands
	}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME=", "EDGE_LISTEN=", "EDGE_DISCOVERY="), o.Env...)
	p.cmd.Dir = f.dir
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the lab, also when that is killed
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return nil
}

// write puts a file there whole: whoever reads it meanwhile gets what was there before.
func write(path string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// Pool words a sessions block with one pool of so many connections a host.
func Pool(clients, servers, size int) string { return Options{}.pools(clients, servers, size) }

// pools words a sessions block with a pool of so many connections a host for each database, which goes to its home; where
// none is named, with one for all.
func (o Options) pools(clients, servers, size int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "sessions {\n  listen             = \"LISTEN\"\n  clients            = %d\n  server_connections = %d\n", max(1, clients), max(1, servers))
	pool := func(name, database string, group int) {
		fmt.Fprintf(&b, `  pool %q {
%s    size                = %d
    waiting             = %d
    patience            = "5s"
    idle_in_transaction = "20s"
    pins                = %d
    reserve             = 0
    read_only           = "my-library"
    read_write          = "donate"
    group               = %d
  }
`, name, database, max(1, size), max(100, clients), max(1, size/8), group)
	}
	for _, d := range o.Databases {
		pool(d, fmt.Sprintf("    database            = %q\n", d), o.Home(d))
	}
	if len(o.Databases) == 0 {
		pool("all", "", 1)
	}
	b.WriteString("}\n")
	return b.String()
}

// Ready waits until the pooler answers an empty query, as the platform's front does.
func (p *Pooler) Ready() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		select {
		case <-p.ended:
			return p.EndedError()
		default:
		}
		if ready(p.Statement) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the pooler does not serve\n%s", p.log)
}

func ready(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	start := "\x00\x03\x00\x00user\x00web\x00database\x00orders\x00\x00"
	_, _ = c.Write(append([]byte{0, 0, 0, byte(len(start) + 4)}, start+"Q\x00\x00\x00\x05\x00"...))
	f := pgproto3.NewFrontend(c, io.Discard)
	for {
		m, err := f.Receive()
		if err != nil {
			return false
		}
		switch m.(type) {
		case *pgproto3.EmptyQueryResponse:
			return true
		case *pgproto3.ErrorResponse:
			return false
		}
	}
}

// Signal sends one to the pooler.
func (p *Pooler) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Ended is closed once the pooler has; Err says how.
func (p *Pooler) Ended() <-chan struct{} { return p.ended }

// Err is how it ended.
func (p *Pooler) Err() error { return p.err }

// EndedError is returned where a pooler has ended that should run.
type EndedError struct {
	Err error // nil: with exit code 0
	Log string
}

// Error says how the process ended, with its log.
func (e *EndedError) Error() string { return fmt.Sprintf("the pooler ended: %v\n%s", e.Err, e.Log) }

// Unwrap returns how the process ended.
func (e *EndedError) Unwrap() error { return e.Err }

// EndedError returns how a pooler ended, with the end of its log.
func (p *Pooler) EndedError() error { return &EndedError{Err: p.err, Log: p.Log()} }

// Log is the end of its log.
func (p *Pooler) Log() string { return p.log.String() }

// Usage is what the process has used: CPU in seconds, and memory in MB now.
func (p *Pooler) Usage() (cpu, rss float64) { return Usage(p.cmd.Process.Pid) }

// Usage of a process.
func Usage(pid int) (cpu, rss float64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0
	}
	n := func(i int) float64 {
		x, _ := strconv.ParseFloat(fields[i], 64)
		return x
	}
	return (n(11) + n(12)) / 100, n(21) * float64(os.Getpagesize()) / (1 << 20)
}

// PID is the process's.
func (p *Pooler) PID() int { return p.cmd.Process.Pid }

// Stop ends everything that was started.
func (f *Fleet) Stop() {
	f.mu.Lock()
	poolers, ports := slices.Collect(maps.Values(f.poolers)), f.ports
	f.ports = nil
	f.mu.Unlock()
	for _, p := range poolers {
		p.Stop()
	}
	if f.Registry != nil {
		f.Registry.Stop()
	}
	for _, h := range f.Hosts {
		h.Stop()
	}
	for _, p := range ports {
		p.Release()
	}
	_ = os.RemoveAll(f.dir)
}

// Stop ends a pooler at once.
func (p *Pooler) Stop() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// Terminate asks a pooler to end and waits for it.
func (p *Pooler) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.ended:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Rewrite changes a pooler's operator's file.
func (f *Fleet) Rewrite(name string, change func(string) string) error {
	path := filepath.Join(f.dir, name+".hcl")
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return write(path, []byte(change(string(b))))
}

// RewriteSettings changes the platform's settings in a pooler's configuration. They count once the pooler is told to read it again.
func (f *Fleet) RewriteSettings(name string, next map[string]any) error {
	path := filepath.Join(f.dir, name+".json")
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(b, &config); err != nil {
		return err
	}
	config["settings"] = next
	if b, err = json.Marshal(config); err != nil {
		return err
	}
	return write(path, b)
}

// SettingsJSON are the platform's settings that poolers of a fleet have.
func SettingsJSON() ([]byte, error) { return json.Marshal(settings(1, 0)) }

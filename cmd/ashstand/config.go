package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"reflect"
	"strconv"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	jsoniter "github.com/json-iterator/go"

	"ashstand/internal/clock"
	"ashstand/internal/net/discovery"
	"ashstand/internal/net/loop"
	"ashstand/internal/net/pg"
	"ashstand/internal/operator"
	"ashstand/internal/session"
	"ashstand/internal/settings"
	"ashstand/routing"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// config is what the platform tells a pooler.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.EndpointList `json:"known"`
	Settings jsoniter.RawMessage     `json:"settings"`

	site     *settings.Parsed
	seed     uint64
	operator *operator.File
	flight   flightConfig
	old      bool   // the old file of the Flight SQL front was read
	said     string // Discovery as the file words it
}

// load reads the file that EDGE_CONFIG names; the other variables go before what stands in it. held is the
// configuration in force, nil at the start. The environment is as old as the process, so from then on an address
// that the file has changed since goes before the variable.
func load(env func(string) string, held *config) (*config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	var c config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.said = c.Discovery
	for _, v := range []struct {
		name string
		to   *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Discovery}} {
		if s := env(v.name); s != "" {
			*v.to = s
		}
	}
	if held != nil {
		if c.Discovery = held.Discovery; c.said != "" && c.said != held.said {
			c.Discovery = c.said
		}
	}
	for _, a := range []struct{ name, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return nil, fmt.Errorf("%s: %s: %w", path, a.name, err)
		}
	}
	if len(c.Settings) == 0 {
		return nil, fmt.Errorf("%s: it holds no settings", path)
	}
	if c.site, err = settings.Parse(c.Settings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	if c.seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		h := fnv.New64a() // any word will do for a seed
		h.Write([]byte(c.Seed + c.Name))
		c.seed = h.Sum64()
	}
	if c.Limits.Sockets < 0 || c.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("%s: limits: a limit is below 0", path)
	}
	return &c, nil
}

// descriptors shares out what the process may hold, or fails where that is too little to work with. An event
// loop that can't accept for want of a descriptor ends, so both shares must hold at every moment.
func descriptors(sockets int, reserved int) (clients, hosts int, err error) {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil && (sockets == 0 || r.Cur < uint64(sockets)) {
		sockets = int(min(r.Cur, 1<<20))
	}
	free := sockets - spareDescriptors - loop.MaxRegistrations - reserved
	if free < 16 {
		return 0, 0, fmt.Errorf("limits: %d descriptors are too few, %d are the least", sockets,
			spareDescriptors+loop.MaxRegistrations+reserved+16)
	}
	clients = free * 3 / 5
	return clients, free - clients, nil
}

// memoryLimit is how many bytes the process may hold; 0: there is no limit.
func (c *config) memoryLimit() int { return c.Limits.MemoryMB << 20 }

// operatorFile is the operator's own file, from the root of the repository; oldFlightFile is what it has taken in.
const (
	operatorFile  = "deploy/ashstand.hcl"
	oldFlightFile = "deploy/flightsql.toml"
)

// flightConfig is what the operator's file says of the Flight SQL front. Without an address it is off.
type flightConfig struct {
	Listen      string   `toml:"listen"`
	Connections int      `toml:"connections"`
	HostTypes   []string `toml:"host_types"`
}

// loadFlight reads the file in which the Flight SQL front was set before the operator's file was there.
func loadFlight(path string) (c flightConfig, there bool, err error) {
	c = flightConfig{Connections: 64}
	meta, err := toml.DecodeFile(path, &c)
	if errors.Is(err, os.ErrNotExist) {
		return c, false, nil
	} else if err != nil {
		return c, true, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, true, fmt.Errorf("%s: key %s is unknown", path, unknown[0])
	}
	if c.Listen != "" {
		if _, _, err := net.SplitHostPort(c.Listen); err != nil {
			return c, true, fmt.Errorf("%s: listen: %w", path, err)
		}
	}
	if c.Connections < 1 {
		return c, true, fmt.Errorf("%s: connections: %d is below 1", path, c.Connections)
	}
	return c, true, nil
}

// operate reads the operator's file and takes it into the configuration.
func (c *config) operate(path string, must bool) (err error) {
	if c.operator, err = operator.Load(path, must); err != nil {
		return err
	}
	if f := c.operator.Flight; f != nil {
		c.flight = flightConfig{Listen: f.Listen, Connections: f.Connections, HostTypes: f.HostTypes}
	} else if c.flight, c.old, err = loadFlight(oldFlightFile); err != nil {
		return err
	}
	return c.operator.CheckClasses(c.class)
}

// class says whether the settings name a class, and whether it writes.
func (c *config) class(name string) (writes, ok bool) {
	i, ok := c.site.Classes[name]
	return ok && c.site.Settings.Classes[i].Access == routing.Write, ok
}

// prepare reads both files, as every start does, and sets the log up.
func prepare(file string, must bool) (*config, error) {
	c, err := load(os.Getenv, nil)
	if err != nil {
		return nil, err
	}
	if err = c.operate(file, must); err != nil {
		return nil, err
	}
	logTo(os.Stderr, c.operator.Log)
	c.logDeprecations()
	if c.old {
		slog.Warn(oldFlightFile + " is read, since " + operatorFile + " has no flight block; move it there")
	}
	return c, nil
}

// logDeprecations logs the keys of the operator's file that stand under the names of earlier versions.
func (c *config) logDeprecations() {
	for _, d := range c.operator.Deprecations {
		slog.Warn("operator's file: deprecated key", "file", c.operator.Path, "line", d.Line, "key", d.Key, "replacement", d.Replacement)
	}
}

// moved names what a reload can't change.
func (c *config) moved(old *config) (wait []string) {
	listen := func(c *config) string {
		if s := c.operator.Sessions; s != nil {
			return s.Listen
		}
		return ""
	}
	if listen(c) != listen(old) {
		wait = append(wait, "sessions.listen")
	}
	if c.operator.Admin != old.operator.Admin {
		wait = append(wait, "admin.listen")
	}
	if c.operator.State != old.operator.State {
		wait = append(wait, "state")
	}
	bounds := func(c *config) (o operator.Cost) { // kinds and capacity are looked up as they are needed
		if c.operator.Cost != nil {
			o = *c.operator.Cost
			o.Kinds, o.Capacity = nil, 0
		}
		return o
	}
	if !reflect.DeepEqual(bounds(c), bounds(old)) {
		wait = append(wait, "cost")
	}
	if c.flight.Listen != old.flight.Listen || c.flight.Connections != old.flight.Connections {
		wait = append(wait, "flight")
	}
	return wait
}

// reserved is how many descriptors the fronts need that are not the platform's.
func (c *config) reserved() int {
	n := 0
	if c.flight.Listen != "" {
		n += c.flight.Connections + 1
	}
	if s := c.operator.Sessions; s != nil && s.Listen != "" {
		n += s.Clients + s.Clients/8 + 2 + s.ServerConnections + 2*loop.MaxRegistrations
	}
	if c.operator.Admin.Listen != "" {
		n += 9
	}
	return n
}

// sessionLimits are what the operator's file says of the session front, within a share of the memory.
func (c *config) sessionLimits(share int, after float64) (l pg.SessionLimits, err error) {
	s := c.operator.Sessions
	if s == nil {
		return l, nil
	}
	l = pg.SessionLimits{
		MaxClients: s.Clients, MaxServerConnections: s.ServerConnections, MaxBytes: share, MaxUnsentBytes: unsentShare(c.memoryLimit(), share), MaxMessageBytes: min(s.MaxMessage, max(64<<10, share/2)),
		MaxPausedTransactions: s.Held, RetryAfterMillis: after, ConnectTimeout: c.site.ConnectTimeout, Users: map[string]pg.Verifier{},
	}
	if l.ConnectTimeout <= 0 {
		l.ConnectTimeout = 2 * time.Second
	}
	for name, text := range s.Users {
		if l.Users[name], err = pg.ParseVerifier(text); err != nil {
			return l, fmt.Errorf("%s: sessions.user %q: %w", c.operator.Path, name, err)
		}
	}
	for _, p := range s.Pools {
		l.Pools = append(l.Pools, pg.PoolSettings{
			Name: p.Name, Database: p.Database, User: p.User, Mode: pg.Mode(p.Mode),
			Sizes: session.HostPoolLimits{MaxConnections: p.Size, MaxWaiting: p.Waiting}, ReservedForSticky: p.Reserve,
			Defaults:                session.RouteDefaults{ReadOnly: p.ReadOnly, ReadWrite: p.ReadWrite, SelectsAsRead: p.SelectsReadOnly, Group: p.Group},
			WaitTimeoutMillis:       clock.Millis(p.Patience),
			IdleInTransactionMillis: clock.Millis(p.IdleInTransaction), ServerLifetimeMillis: clock.Millis(p.ServerLife),
			ServerIdleMillis: c.serverIdle(p.ServerIdle), MaxPreparedStatements: p.Statements, MaxSticky: p.Pins, MaxPausedTransactions: p.Held, MaxPauseMillis: clock.Millis(p.Hold),
		})
	}
	return l, nil
}

// serverIdle keeps a good distance from the moment at which a host closes a connection.
func (c *config) serverIdle(set time.Duration) float64 {
	idle, host := clock.Millis(set), clock.Millis(c.site.ConnIdleTimeout)*0.7
	if host > 0 && (idle == 0 || idle > host) {
		return host
	}
	return idle
}

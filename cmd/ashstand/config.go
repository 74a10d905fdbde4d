package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"
	"syscall"

	"github.com/BurntSushi/toml"
	jsoniter "github.com/json-iterator/go"

	"ashstand/internal/net/discovery"
	"ashstand/internal/net/loop"
	"ashstand/internal/settings"
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
	Known    *discovery.List     `json:"known"`
	Settings jsoniter.RawMessage `json:"settings"`

	site   *settings.Parsed
	seed   uint64
	flight flightConfig
	said   string // Discovery as the file words it
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
func descriptors(sockets int, second flightConfig) (clients, hosts int, err error) {
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil && (sockets == 0 || r.Cur < uint64(sockets)) {
		sockets = int(min(r.Cur, 1<<20))
	}
	free := sockets - spareDescriptors - loop.Enrolling
	if second.Listen != "" {
		free -= second.Connections + 1
	}
	if free < 16 {
		return 0, 0, fmt.Errorf("limits: %d descriptors are too few, %d are the least", sockets,
			spareDescriptors+loop.Enrolling+16)
	}
	clients = free * 3 / 5
	return clients, free - clients, nil
}

// memory is what the process may use. Without a limit it takes what the smallest pooler has.
func (c *config) memory() int {
	if c.Limits.MemoryMB == 0 {
		return 32 << 20
	}
	return c.Limits.MemoryMB << 20
}

// flightFile says where the Flight SQL front listens, from the root of the repository.
const flightFile = "deploy/flightsql.toml"

// flightConfig is what that file holds. Without it, or without an address, the front is off.
type flightConfig struct {
	Listen      string   `toml:"listen"`
	Connections int      `toml:"connections"`
	HostTypes   []string `toml:"host_types"`
}

func loadFlight(path string) (flightConfig, error) {
	c := flightConfig{Connections: 64}
	meta, err := toml.DecodeFile(path, &c)
	if errors.Is(err, os.ErrNotExist) {
		return c, nil
	} else if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return c, fmt.Errorf("%s: key %s is unknown", path, unknown[0])
	}
	if c.Listen != "" {
		if _, _, err := net.SplitHostPort(c.Listen); err != nil {
			return c, fmt.Errorf("%s: listen: %w", path, err)
		}
	}
	if c.Connections < 1 {
		return c, fmt.Errorf("%s: connections: %d is below 1", path, c.Connections)
	}
	return c, nil
}

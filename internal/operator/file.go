// Package operator reads the operator's file: the settings of a pooler that the platform's configuration does not know. It is
// HCL, and checked as a whole before any of it is in force; an error names file, line, key, the value that the key has and what
// is allowed.
//
// The file's form is in body.go, its checks are in parse.go, and what the rest of the program reads is File. Block and key
// names belong to the operators and stay; File uses the terms of the code where they differ.
package operator

import (
	"errors"
	"os"
	"time"
)

// anyName is the database or user of a pool that takes all of them.
const anyName = "*"

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

	Deprecations []Deprecation `json:"-"` // what the file has under names of earlier versions
}

// Deprecation is a block of the file that is still accepted under its name in earlier versions.
type Deprecation struct {
	Line        int
	Key         string
	Replacement string
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
	Jobs     *Jobs         `json:"works,omitempty"` // nil: this pooler runs no jobs
}

// Jobs are run by one lease holder at a time, on behalf of all poolers.
type Jobs struct {
	User             string        `json:"user"`     // as which a lease holder connects to database hosts
	StallTimeout     time.Duration `json:"stall"`    // a lease holder without progress for so long is replaced
	MinTenure        time.Duration `json:"tenure"`   // but not before it has been the holder for so long
	Backoff          time.Duration `json:"back_off"` // for how long a holder that stalled is passed over
	PollInterval     time.Duration `json:"pace"`     // between two observations of database hosts
	OperationTimeout time.Duration `json:"deed"`     // after which the result of an operation is in doubt
}

// Testbed is for the testbed alone: a process in service rejects it.
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

// New is the file that says nothing: all that is optional is off.
func New() *File {
	return &File{Log: Log{Level: "info", Format: "text"}, State: State{Pace: 2 * time.Second}}
}

// Load reads a file. One that does not exist is like an empty one, unless it must exist.
func Load(path string, mustExist bool) (*File, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && !mustExist {
		return New(), nil
	}
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// CheckClasses checks the pools' classes against those of the platform's settings. It returns a *ClassError.
func (f *File) CheckClasses(lookup func(class string) (writes, known bool)) error {
	if f.Sessions == nil || f.Sessions.Listen == "" {
		return nil
	}
	for _, p := range f.Sessions.Pools {
		for _, k := range []struct {
			key, class  string
			wantsWrites bool
		}{{"read_only", p.ReadOnly, false}, {"read_write", p.ReadWrite, true}} {
			if writes, known := lookup(k.class); !known || writes != k.wantsWrites {
				return &ClassError{Path: f.Path, Pool: p.Name, Key: k.key, Class: k.class, Unknown: !known, WantsWrites: k.wantsWrites}
			}
		}
	}
	return nil
}

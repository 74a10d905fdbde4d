package membership

import (
	"encoding/json"
	"fmt"
)

// State is the state of a member. The first three are reported by the member itself, the others are judged by the rest.
type State string

// The states of a member. Their values are part of the gossip protocol and of the admin JSON.
const (
	Starting State = "starting" // running, without an endpoint list yet
	Serving  State = "serving"
	Draining State = "draining" // shutting down gracefully
	Suspect  State = "suspect"  // does not answer probes; it may still be alive
	Dead     State = "gone"     // left, or remained suspect without refuting it
)

// reported tells whether a member may report the state about itself.
func (s State) reported() bool { return s == Starting || s == Serving || s == Draining }

// Info is what a member reports about itself.
type Info struct {
	Name         string  `json:"name"`
	Address      string  `json:"address"`  // its listening address; other members may reach it elsewhere
	Incarnation  uint64  `json:"instance"` // random, drawn when its process starts
	StartedAt    float64 `json:"started"`  // start of its process, Unix milliseconds by its own clock
	Version      string  `json:"version"`  // of the program
	OldestFormat int     `json:"oldest"`   // oldest message format that it reads
	NewestFormat int     `json:"newest"`   // newest message format that it reads; it writes this one
	Zone         string  `json:"zone"`
	State        State   `json:"state"`
}

// The limits of what a member may report about itself, in bytes.
const (
	MaxNameBytes    = 64
	maxVersionBytes = 80
	maxZoneBytes    = 64
)

// incarnationFormat prints an incarnation as 16 hexadecimal digits.
const incarnationFormat = "%016x"

// encodedInfo is Info on the wire. Its keys are short because gossip carries at most 512 bytes for each member. Name
// and address are not in it: memberlist transmits both.
type encodedInfo struct {
	Incarnation  string  `json:"i"`
	StartedAt    float64 `json:"t"`
	Version      string  `json:"v,omitempty"`
	OldestFormat int     `json:"o"`
	NewestFormat int     `json:"n"`
	Zone         string  `json:"z,omitempty"`
	State        State   `json:"s"`
}

// Encode returns the wire form of an Info. An encoding longer than limit bytes is an *InfoTooLongError.
func (i Info) Encode(limit int) ([]byte, error) {
	b, err := json.Marshal(encodedInfo{
		Incarnation:  fmt.Sprintf(incarnationFormat, i.Incarnation),
		StartedAt:    i.StartedAt,
		Version:      truncate(i.Version, maxVersionBytes),
		OldestFormat: i.OldestFormat,
		NewestFormat: i.NewestFormat,
		Zone:         truncate(i.Zone, maxZoneBytes),
		State:        i.State,
	})
	if err == nil && len(b) > limit {
		err = &InfoTooLongError{Bytes: len(b), Limit: limit}
	}
	return b, err
}

func truncate(s string, limit int) string { return s[:min(len(s), limit)] }

// DecodeInfo reads the wire form of an Info and checks it. The error of one that is malformed wraps ErrMalformedInfo.
func DecodeInfo(name, address string, b []byte) (Info, error) {
	var e encodedInfo
	if err := json.Unmarshal(b, &e); err != nil {
		return Info{}, &InfoError{Reason: err.Error(), Err: err}
	}
	i := Info{
		Name:         name,
		Address:      address,
		StartedAt:    e.StartedAt,
		Version:      e.Version,
		OldestFormat: e.OldestFormat,
		NewestFormat: e.NewestFormat,
		Zone:         e.Zone,
		State:        e.State,
	}
	_, err := fmt.Sscanf(e.Incarnation, incarnationFormat, &i.Incarnation)
	if err != nil || i.Incarnation == 0 {
		return Info{}, &InfoError{Reason: fmt.Sprintf("instance %q", e.Incarnation), Err: err}
	}
	if err := i.validate(); err != nil {
		return Info{}, err
	}
	return i, nil
}

// validate checks the parts that a member may report wrongly.
func (i Info) validate() error {
	switch {
	case i.Name == "" || len(i.Name) > MaxNameBytes:
		return &InfoError{Reason: fmt.Sprintf("a name of %d bytes", len(i.Name))}
	case !i.State.reported():
		return &InfoError{Reason: fmt.Sprintf("state %q", i.State)}
	case i.OldestFormat < 1 || i.NewestFormat < i.OldestFormat:
		return &InfoError{Reason: fmt.Sprintf("formats %d to %d", i.OldestFormat, i.NewestFormat)}
	}
	return nil
}

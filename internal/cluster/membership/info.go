package membership

import (
	"encoding/json"
	"fmt"
)

// State is the state of a member. A member reports Starting, Serving and Draining about itself; the other
// members determine Suspect and Dead by failure detection.
type State string

// The states of a member. Their values are part of the gossip protocol and of the admin JSON.
const (
	Starting State = "starting" // running, without an endpoint list yet
	Serving  State = "serving"
	Draining State = "draining" // shutting down gracefully
	Suspect  State = "suspect"  // does not answer probes; it may still be alive
	Dead     State = "gone"     // left, or did not refute the suspicion in time
)

// reported reports whether a member may report the state about itself.
func (s State) reported() bool { return s == Starting || s == Serving || s == Draining }

// Info is what a member reports about itself.
type Info struct {
	Name         string  `json:"name"`
	Address      string  `json:"address"`  // its listening address; other members may reach it at another one
	Incarnation  uint64  `json:"instance"` // random, drawn when its process starts
	StartedAt    float64 `json:"started"`  // when its process started, Unix milliseconds by its own clock
	Version      string  `json:"version"`  // of the program
	OldestFormat int     `json:"oldest"`   // oldest message format that it can read
	NewestFormat int     `json:"newest"`   // newest message format that it can read; it writes this one
	Zone         string  `json:"zone"`
	State        State   `json:"state"`
}

// The maximum lengths of the fields that a member reports about itself, in bytes.
const (
	MaxNameBytes    = 64
	maxVersionBytes = 80
	maxZoneBytes    = 64
)

// incarnationFormat prints an incarnation as 16 hexadecimal digits.
const incarnationFormat = "%016x"

// encodedInfo is the wire form of Info. Its keys are short because gossip carries at most 512 bytes for each
// member. It omits name and address, which memberlist transmits itself.
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

// DecodeInfo decodes and validates the wire form of an Info. Its error wraps ErrMalformedInfo.
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

// validate checks the fields that another member reported.
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

package warmstate

import (
	"math"
	"time"

	jsoniter "github.com/json-iterator/go"

	"ashstand/routing"
)

// Snapshot is all that is persisted. Ages in it are milliseconds before Header.WrittenAt.
type Snapshot struct {
	Header     Header        `json:"head"`
	Hosts      []Host        `json:"hosts"`
	Classes    []Class       `json:"classes"`
	IdleResets *IdleResets   `json:"wear,omitempty"`
	Endpoints  *EndpointList `json:"list,omitempty"`
}

// Header identifies the pooler that wrote a snapshot.
type Header struct {
	Name      string  `json:"name"` // of the pooler
	SiteHash  string  `json:"site"` // hash of the class definitions: facts about other classes do not apply
	WrittenAt float64 `json:"at"`   // Unix milliseconds
}

// Host holds the facts about one database host.
type Host struct {
	Name         string  `json:"name"`
	Group        uint64  `json:"group"`
	StartedAt    float64 `json:"since_ms"` // start of its process, Unix milliseconds; 0: long ago
	Limit        float64 `json:"limit"`    // limit of requests in flight
	FailureScore float64 `json:"took"`     // duration of attempts, in multiples of the latency objective of their class
	Lag          float64 `json:"lag_ms"`   // replication lag, in milliseconds; negative: unknown
	LagAge       float64 `json:"heard_ms"`
	IsPrimary    bool    `json:"primary,omitempty"`
	RoleAge      float64 `json:"proof_ms"` // age of the last confirmation of the role
}

// Class holds the usual latency and service time of a request class, in milliseconds.
type Class struct {
	Name        string  `json:"name"`
	Latency     float64 `json:"latency_ms"`
	ServiceTime float64 `json:"work_ms"`
}

// IdleResets counts the requests, and those of them that found their connection reset, by how long the
// connection had been idle.
type IdleResets struct {
	Requests []float64 `json:"requests"`
	Resets   []float64 `json:"resets"`
}

// EndpointList is the last endpoint list, in the encoding of discovery. It serves a process that starts
// without discovery.
type EndpointList struct {
	ReceivedAt float64             `json:"at"` // Unix milliseconds
	JSON       jsoniter.RawMessage `json:"list"`
}

// unknownLag is the lag of a host that has not reported one.
const unknownLag = -1

// NewSnapshot returns a snapshot of a router's state. idleResets and endpoints may be nil.
func NewSnapshot(header Header, state routing.RouterState, idleResets *IdleResets, endpoints *EndpointList) *Snapshot {
	s := &Snapshot{Header: header, IdleResets: idleResets, Endpoints: endpoints, Hosts: []Host{}, Classes: []Class{}}
	for _, h := range state.Hosts {
		s.Hosts = append(s.Hosts, Host{
			Name:         h.Host,
			Group:        h.Group,
			StartedAt:    toMillis(h.Started),
			Limit:        math.Round(h.Limit*100) / 100,
			FailureScore: math.Round(h.Score*1000) / 1000,
			Lag:          lagMillis(h.Lag),
			LagAge:       toMillis(h.LagAge),
			IsPrimary:    h.WasPrimary,
			RoleAge:      min(toMillis(h.RoleAge), maxAge),
		})
	}
	for _, c := range state.Classes {
		s.Classes = append(s.Classes, Class{Name: c.Name, Latency: toMillis(c.Latency), ServiceTime: toMillis(c.ServiceTime)})
	}
	return s
}

// lagMillis converts a lag to milliseconds. Any negative lag means that it is unknown.
func lagMillis(lag time.Duration) float64 {
	if lag < 0 {
		return unknownLag
	}
	return toMillis(lag)
}

// toMillis converts a duration to milliseconds, rounded to microseconds.
func toMillis(d time.Duration) float64 { return math.Round(float64(d)/1e3) / 1e3 }

// fromMillis converts milliseconds to a duration.
func fromMillis(millis float64) time.Duration { return time.Duration(millis * 1e6) }

// Package learned keeps across a restart what a running pooler has learned: a versioned file that no crash can spoil,
// and the laws by which what it holds grows old. Nothing in it makes a pooler less careful without new proof.
package warmstate

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// FormatVersion is the format that is written. Older ones are read; a newer one is left alone.
const FormatVersion = 2

// Bounds of a file.
const (
	MaxFileBytes = 16 << 20
	maxHosts     = 20000
	maxParts     = 16
)

// Header says whose file it is.
type Header struct {
	Name      string  `json:"name"` // of the pooler
	SiteHash  string  `json:"site"` // a hash of the classes: what they mean must be the same
	WrittenAt float64 `json:"at"`   // Unix milliseconds at which it was written
}

// Host is what is kept of one host. Ages are milliseconds before Head.At.
type Host struct {
	Name         string  `json:"name"`
	Group        uint64  `json:"group"`
	StartedAt    float64 `json:"since_ms"` // Unix milliseconds of its start; 0: long ago. A host that started since is another
	Limit        float64 `json:"limit"`
	FailureScore float64 `json:"took"`
	Lag          float64 `json:"lag_ms"` // below 0: not known
	LagAge       float64 `json:"heard_ms"`
	IsPrimary    bool    `json:"primary,omitempty"`
	RoleAge      float64 `json:"proof_ms"`
}

// Class is what is usual for a class, in milliseconds.
type Class struct {
	Name        string  `json:"name"`
	Latency     float64 `json:"latency_ms"`
	ServiceTime float64 `json:"work_ms"`
}

// IdleResets is the pool's count of requests and resets by how long their connection had lain idle.
type IdleResets struct {
	Requests []float64 `json:"requests"`
	Resets   []float64 `json:"resets"`
}

// EndpointList is the last list of hosts, as discovery words it, for a start without discovery.
type EndpointList struct {
	ReceivedAt float64             `json:"at"` // Unix milliseconds at which it was held
	JSON       jsoniter.RawMessage `json:"list"`
}

// Snapshot is all that is kept. Client data, sessions, keys and statements never are.
type Snapshot struct {
	Header     Header        `json:"head"`
	Hosts      []Host        `json:"hosts"`
	Classes    []Class       `json:"classes"`
	IdleResets *IdleResets   `json:"wear,omitempty"`
	Endpoints  *EndpointList `json:"list,omitempty"`
}

// Errors of Decode. ErrNewerVersion is a file of a later version: it is to be left as it is.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrMalformed    = errors.New("spoilt")
)

// The form of a file, all numbers big-endian:
//
//	magic(8) version(2) parts(2) { tag(4) offset(4) length(4) xxhash(8) }... xxhash(8) of all before
//	the parts, each JSON
//	the directory again, from magic to its hash, then its length(4) and tail(8)
//
// Each part has its own checksum, so that a bad one costs only itself; the directory stands twice, so that it does not
// cost everything.
const (
	magic   = "ASHLEARN"
	tail    = "NRAELHSA"
	entryIs = 20
)

// The parts, by version: 1 had the first three.
var tags = []string{"head", "host", "clas", "wear", "list"}

// Encode words a snapshot as a file.
func Encode(s *Snapshot) ([]byte, error) { return encode(s, FormatVersion) }

func encode(s *Snapshot, version uint16) ([]byte, error) {
	var bodies [][]byte
	var names []string
	add := func(tag string, v any) error {
		b, err := json.Marshal(v)
		if err != nil {
			return err
		}
		names, bodies = append(names, tag), append(bodies, b)
		return nil
	}
	if len(s.Hosts) > maxHosts {
		return nil, fmt.Errorf("%d hosts are more than the %d that are kept", len(s.Hosts), maxHosts)
	}
	err := errors.Join(add("head", s.Header), add("host", s.Hosts), add("clas", s.Classes))
	if version >= 2 && s.IdleResets != nil {
		err = errors.Join(err, add("wear", s.IdleResets))
	}
	if version >= 2 && s.Endpoints != nil {
		err = errors.Join(err, add("list", s.Endpoints))
	}
	if err != nil {
		return nil, err
	}
	directory := binary.BigEndian.AppendUint16(append([]byte{}, magic...), version)
	directory = binary.BigEndian.AppendUint16(directory, uint16(len(names)))
	at := len(directory) + entryIs*len(names) + 8
	for i, b := range bodies {
		directory = append(directory, names[i]...)
		directory = binary.BigEndian.AppendUint32(directory, uint32(at))
		directory = binary.BigEndian.AppendUint32(directory, uint32(len(b)))
		directory = binary.BigEndian.AppendUint64(directory, xxhash.Sum64(b))
		at += len(b)
	}
	directory = binary.BigEndian.AppendUint64(directory, xxhash.Sum64(directory))
	out := bytes.Join(append([][]byte{directory}, bodies...), nil)
	out = append(out, directory...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(directory)))
	if out = append(out, tail...); len(out) > MaxFileBytes {
		return nil, fmt.Errorf("%d bytes are more than the %d that a file may have", len(out), MaxFileBytes)
	}
	return out, nil
}

// part is an entry of the directory.
type part struct {
	tag    string
	offset uint32
	length uint32
	sum    uint64
}

// directory reads one at the start of b.
func directory(b []byte) (version uint16, parts []part, err error) {
	if len(b) < 12 || string(b[:8]) != magic {
		return 0, nil, fmt.Errorf("%w: it does not begin as such a file does", ErrMalformed)
	}
	version = binary.BigEndian.Uint16(b[8:])
	n := int(binary.BigEndian.Uint16(b[10:]))
	end := 12 + entryIs*n
	if n > maxParts || len(b) < end+8 || xxhash.Sum64(b[:end]) != binary.BigEndian.Uint64(b[end:]) {
		return version, nil, fmt.Errorf("%w: its directory does not fit its checksum", ErrMalformed)
	}
	for i := range n {
		e := b[12+entryIs*i:]
		parts = append(parts, part{string(e[:4]), binary.BigEndian.Uint32(e[4:]), binary.BigEndian.Uint32(e[8:]), binary.BigEndian.Uint64(e[12:])})
	}
	return version, parts, nil
}

// Decode reads a file of this version or an older one. lost names the parts that can't be read; they cost only
// themselves, but without its head nobody can say whose file it is, or how old.
func Decode(b []byte) (s *Snapshot, lost []string, err error) {
	if len(b) > MaxFileBytes {
		return nil, nil, fmt.Errorf("%w: %d bytes are more than any file has", ErrMalformed, len(b))
	}
	version, parts, err := directory(b)
	if err != nil {
		if second, p, e := copyOf(b); e == nil {
			version, parts, err = second, p, nil
			lost = append(lost, "directory")
		}
	}
	if err != nil {
		return nil, nil, err
	}
	if version > FormatVersion {
		return nil, nil, fmt.Errorf("%w: its version is %d, %d is the newest known", ErrNewerVersion, version, FormatVersion)
	}
	if version < 1 {
		return nil, nil, fmt.Errorf("%w: there is no version %d", ErrMalformed, version)
	}
	s = &Snapshot{}
	into := map[string]any{"head": &s.Header, "host": &s.Hosts, "clas": &s.Classes, "wear": &s.IdleResets, "list": &s.Endpoints}
	for _, p := range parts {
		to, known := into[p.tag]
		if !known {
			continue
		}
		end := uint64(p.offset) + uint64(p.length)
		if end > uint64(len(b)) || xxhash.Sum64(b[p.offset:end]) != p.sum || json.Unmarshal(b[p.offset:end], to) != nil {
			lost = append(lost, p.tag)
			switch p.tag {
			case "host":
				s.Hosts = nil
			case "clas":
				s.Classes = nil
			case "wear":
				s.IdleResets = nil
			case "list":
				s.Endpoints = nil
			}
		}
		delete(into, p.tag)
	}
	if _, missing := into["head"]; missing || !(s.Header.WrittenAt > 0) || contains(lost, "head") {
		return nil, lost, fmt.Errorf("%w: its head can't be read", ErrMalformed)
	}
	migrate(s, version)
	clean(s)
	return s, lost, nil
}

// copyOf reads the second directory, at the end.
func copyOf(b []byte) (uint16, []part, error) {
	if len(b) < 12 || string(b[len(b)-8:]) != tail {
		return 0, nil, ErrMalformed
	}
	n := int(binary.BigEndian.Uint32(b[len(b)-12:]))
	if n > len(b)-12 {
		return 0, nil, ErrMalformed
	}
	return directory(b[len(b)-12-n : len(b)-12])
}

// migrate brings an older version's snapshot to this one. Version 1 had no Lag and no ages of proof: what it says of
// roles and lag is as old as can be.
func migrate(s *Snapshot, version uint16) {
	if version < 2 {
		for i := range s.Hosts {
			s.Hosts[i].Lag, s.Hosts[i].IsPrimary, s.Hosts[i].LagAge, s.Hosts[i].RoleAge = -1, false, maxAge, maxAge
		}
	}
}

// clean drops what no pooler writes: a file whose checksums fit may still come from a faulty one.
func clean(s *Snapshot) {
	sane := func(xs ...float64) bool {
		for _, x := range xs {
			if math.IsNaN(x) || x < 0 || x > 1e15 {
				return false
			}
		}
		return true
	}
	hosts := s.Hosts[:0]
	seen := map[string]bool{}
	for _, h := range s.Hosts {
		if h.Name != "" && !seen[h.Name] && sane(h.StartedAt, h.Limit, h.FailureScore, h.LagAge, max(0, h.Lag), h.RoleAge) && h.Limit >= 1 && len(hosts) < maxHosts {
			seen[h.Name] = true
			hosts = append(hosts, h)
		}
	}
	s.Hosts = hosts
	classes := s.Classes[:0]
	for _, c := range s.Classes {
		if c.Name != "" && sane(c.Latency, c.ServiceTime) {
			classes = append(classes, c)
		}
	}
	s.Classes = classes
	if w := s.IdleResets; w != nil && (len(w.Requests) != len(w.Resets) || !sane(w.Requests...) || !sane(w.Resets...)) {
		s.IdleResets = nil
	}
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

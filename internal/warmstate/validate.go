package warmstate

import "math"

// maxValue bounds the numbers of a snapshot, of which Unix milliseconds are the largest.
const maxValue = 1e15

// migrate brings a snapshot of an older version to the present one. Version 1 had no lag and no ages: what it reports of
// roles and lag is as old as can be.
func migrate(s *Snapshot, version uint16) {
	if version >= 2 {
		return
	}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		h.Lag, h.LagAge = unknownLag, maxAge
		h.IsPrimary, h.RoleAge = false, maxAge
	}
}

// removeInvalid drops what no pooler writes: a file with valid checksums may still come from a faulty program.
func removeInvalid(s *Snapshot) {
	hosts := s.Hosts[:0]
	seen := map[string]bool{}
	for _, h := range s.Hosts {
		if !h.valid() || seen[h.Name] || len(hosts) >= maxHosts {
			continue
		}
		seen[h.Name] = true
		hosts = append(hosts, h)
	}
	s.Hosts = hosts
	classes := s.Classes[:0]
	for _, c := range s.Classes {
		if c.valid() {
			classes = append(classes, c)
		}
	}
	s.Classes = classes
	if s.IdleResets != nil && !s.IdleResets.valid() {
		s.IdleResets = nil
	}
}

func (h Host) valid() bool {
	return h.Name != "" && h.Limit >= 1 && inRange(h.StartedAt, h.Limit, h.FailureScore, h.LagAge, max(0, h.Lag), h.RoleAge)
}

func (c Class) valid() bool { return c.Name != "" && inRange(c.Latency, c.ServiceTime) }

func (r IdleResets) valid() bool {
	return len(r.Requests) == len(r.Resets) && inRange(r.Requests...) && inRange(r.Resets...)
}

func inRange(values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || v < 0 || v > maxValue {
			return false
		}
	}
	return true
}

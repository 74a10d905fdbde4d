package warmstate

import "math"

// maxValue limits the numbers in a snapshot. The largest valid ones are Unix milliseconds.
const maxValue = 1e15

// migrate converts a snapshot of an older version to the current one. Version 1 had no lag and no ages, so
// that its roles and lags are taken as unknown, with the maximum age.
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

// removeInvalid drops values that no correct pooler writes: a file with valid checksums may still come from a
// faulty program.
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

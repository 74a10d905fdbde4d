package consensus

import "ashstand/internal/cluster/jobs"

// Version is one version of the agreed rules. Its JSON form is stored, and sent between poolers.
type Version struct {
	Number     int    `json:"n"`
	Rules      Rules  `json:"rules"`
	ProposedBy string `json:"by"`     // a pooler or a job
	Format     int    `json:"format"` // the oldest format of rules that can express it
}

// VersionState is the versions that a pooler acts on. It is persisted, so that a pooler never goes back to an
// earlier version. Its JSON form is stored, and sent between poolers.
type VersionState struct {
	Active  Version  `json:"force"`
	Pending *Version `json:"pending,omitempty"` // committed, but not yet active; nil: none
	// HighestToken is the highest fencing token of a job that this pooler has seen.
	HighestToken jobs.FencingToken `json:"seen,omitempty"`
}

// newest returns the number of the newest version that the pooler acts on, alone or combined with an older one.
func (s *VersionState) newest() int {
	if s.Pending != nil {
		return s.Pending.Number
	}
	return s.Active.Number
}

// advancedTo returns the state after merging a received one, whose versions may be older or newer.
func (s VersionState) advancedTo(received VersionState) VersionState {
	if received.Active.Number > s.Active.Number {
		s.Active = received.Active
	}
	if p := received.Pending; p != nil && (s.Pending == nil || p.Number > s.Pending.Number) {
		s.Pending = p
	}
	if s.Pending != nil && s.Pending.Number <= s.Active.Number {
		s.Pending = nil
	}
	return s
}

// sameVersions reports whether both states have the same active and pending versions.
func (s *VersionState) sameVersions(other *VersionState) bool {
	if s.Active.Number != other.Active.Number || (s.Pending == nil) != (other.Pending == nil) {
		return false
	}
	return s.Pending == nil || s.Pending.Number == other.Pending.Number
}

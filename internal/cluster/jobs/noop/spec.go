package noop

import (
	"encoding/json"
	"fmt"
	"strconv"

	"ashstand/internal/cluster/jobs"
)

// KindName is the name of this kind of job in the log. It is stored: it never changes.
const KindName = "drill"

// Limits of a spec.
const (
	maxDatabaseBytes  = 63
	maxOperations     = 1_000_000
	maxIntervalMillis = 3600e3
	maxGroups         = 64
)

// Spec is an operator's order for a job. Its JSON form is stored: keys never change.
type Spec struct {
	Database       string   `json:"database"`
	Groups         []uint64 `json:"groups"` // their primaries are written to in turn
	Operations     int      `json:"deeds"`
	IntervalMillis float64  `json:"every_ms"` // from one operation to the next
}

// SpecError reports a key of a spec whose value is not allowed.
type SpecError struct{ Key, Value, Allowed string }

// Error implements error.
func (e *SpecError) Error() string {
	return fmt.Sprintf("%s is %s; allowed is %s", e.Key, e.Value, e.Allowed)
}

// Code returns the stable code that operators see.
func (e *SpecError) Code() string { return "bad_spec" }

// Advice tells operators what they can do.
func (e *SpecError) Advice() string { return "set " + e.Key + " to " + e.Allowed }

// Validate checks a spec. It returns nil if the spec is valid.
func (s *Spec) Validate() error {
	switch {
	case s.Database == "" || len(s.Database) > maxDatabaseBytes:
		return &SpecError{"database", strconv.Quote(s.Database), fmt.Sprintf("a name of 1 to %d characters", maxDatabaseBytes)}
	case len(s.Groups) == 0 || len(s.Groups) > maxGroups:
		return &SpecError{"groups", fmt.Sprint(s.Groups), fmt.Sprintf("1 to %d numbers of groups", maxGroups)}
	case s.Operations < 1 || s.Operations > maxOperations:
		return &SpecError{"deeds", strconv.Itoa(s.Operations), fmt.Sprintf("1 to %d", maxOperations)}
	case !(s.IntervalMillis >= 0 && s.IntervalMillis <= maxIntervalMillis): // false for NaN, too
		return &SpecError{"every_ms", fmt.Sprint(s.IntervalMillis), fmt.Sprintf("0 to %v", maxIntervalMillis)}
	}
	return nil
}

// state is the result of the confirmed operations. Its JSON form is stored: keys never change.
type state struct {
	PreparedGroups  int     `json:"prepared"`
	Written         int     `json:"done"`
	WrittenAtMillis float64 `json:"at_ms"` // time of the last row, by its lease holder's clock
}

// decode reads a job's spec and state.
func decode(job *jobs.Job) (spec Spec, st state, err error) {
	if err = json.Unmarshal(job.Spec, &spec); err == nil && len(job.State) > 0 {
		err = json.Unmarshal(job.State, &st)
	}
	if err == nil {
		err = spec.Validate()
	}
	return spec, st, err
}

// group returns the group that the next row is written to.
func (s *state) group(spec *Spec) uint64 { return spec.Groups[s.Written%len(spec.Groups)] }

package consensus

import (
	"fmt"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Limits of the replicated state.
const (
	maxVersionHistory = 32
	maxOutcomes       = 256
)

// replicatedState is the state that results from applying the log's entries. It is the same on every replica
// that has applied the same entries, so nothing in it may depend on a node's own time, configuration or
// random source. Its JSON form is the content of snapshots.
type replicatedState struct {
	LastVersion int               `json:"last"` // number of the newest version
	Versions    VersionState      `json:"held"`
	History     []Version         `json:"versions"` // the newest maxVersionHistory versions, for operators
	Names       map[uint64]string `json:"names"`    // names of voters and learners, by identity
	// Outcomes are those of the latest proposals, so that a repeated proposal takes effect once.
	Outcomes  []proposalOutcome `json:"done"`
	JobsEpoch uint64            `json:"epoch,omitempty"`
	Jobs      jobs.StateMachine `json:"ledger"`
}

// proposalOutcome is the outcome of a proposal that was committed to the log.
type proposalOutcome struct {
	ID            uint64 `json:"id"`
	VersionNumber int    `json:"n,omitempty"` // number of the version that the proposal created; 0: none
	Reason        string `json:"why,omitempty"`
	// IsJobEntry is set if the proposal was an entry about a job, and the jobs' state machine applied or
	// rejected it.
	IsJobEntry bool                `json:"work,omitempty"`
	Job        string              `json:"name,omitempty"`
	Rejected   *jobs.RejectedError `json:"refused,omitempty"`
}

func (o *proposalOutcome) accepted() bool {
	return o.VersionNumber > 0 || o.IsJobEntry && o.Rejected == nil
}

// apply applies a committed command. It returns the outcome of a proposal that had none before, else nil.
// reuseTokens switches off the guarantee that fencing tokens rise.
func (s *replicatedState) apply(c command, reuseTokens bool) *proposalOutcome {
	switch c := c.(type) {
	case proposeVersion:
		if s.outcome(c.ID) != nil {
			return nil
		}
		return s.record(s.applyVersion(c))
	case applyJobEntry:
		if s.outcome(c.ID) != nil {
			return nil
		}
		return s.record(s.applyJobEntry(c, reuseTokens))
	case activateVersion:
		if p := s.Versions.Pending; p != nil && p.Number == c.Number {
			s.Versions = VersionState{Active: *p}
		}
	}
	return nil
}

// outcome returns the outcome of a proposal if it is among the latest; else nil.
func (s *replicatedState) outcome(id uint64) *proposalOutcome {
	i := slices.IndexFunc(s.Outcomes, func(o proposalOutcome) bool { return o.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Outcomes[i]
}

// record stores an outcome and drops the oldest ones beyond maxOutcomes.
func (s *replicatedState) record(o proposalOutcome) *proposalOutcome {
	s.Outcomes = append(s.Outcomes, o)
	s.Outcomes = s.Outcomes[max(0, len(s.Outcomes)-maxOutcomes):]
	return &o
}

func (s *replicatedState) applyVersion(c proposeVersion) proposalOutcome {
	outcome := proposalOutcome{ID: c.ID}
	if p := s.Versions.Pending; p != nil {
		outcome.Reason = pendingVersionReason(p)
	} else {
		outcome.VersionNumber = s.addVersion(c.Version)
	}
	return outcome
}

// pendingVersionReason returns the reason why a committed version is rejected while another one is pending.
// The text is part of the replicated state, so all versions of this program have to return the same.
func pendingVersionReason(pending *Version) string {
	return fmt.Sprintf("version %d came first and is not in force yet", pending.Number)
}

// addVersion gives a version the next number and makes it the pending one.
func (s *replicatedState) addVersion(v Version) (number int) {
	s.LastVersion++
	v.Number = s.LastVersion
	s.Versions.Pending = &v
	s.History = append(s.History, v)
	s.History = s.History[max(0, len(s.History)-maxVersionHistory):]
	return v.Number
}

func (s *replicatedState) applyJobEntry(c applyJobEntry, reuseTokens bool) proposalOutcome {
	outcome := proposalOutcome{ID: c.ID, IsJobEntry: true, Job: c.Entry.Job}
	if s.JobsEpoch == 0 {
		s.JobsEpoch = c.ID | 1 // the ID is random, so a cluster that is bootstrapped again gets a different epoch
	}
	if c.Change != nil && c.Entry.Type != jobs.EntryAuthorize {
		outcome.Rejected = &jobs.RejectedError{Reason: jobs.RejectMalformed, Job: c.Entry.Job}
		return outcome
	}
	s.Jobs.ReuseTokens = reuseTokens
	if outcome.Rejected = s.Jobs.Apply(*c.Entry); outcome.Rejected != nil || c.Change == nil {
		return outcome
	}
	if p := s.Versions.Pending; p != nil {
		outcome.IsJobEntry, outcome.Reason = false, pendingVersionReason(p)
		return outcome
	}
	rules := c.Change.appliedTo(s.Versions.Active.Rules)
	outcome.VersionNumber = s.addVersion(Version{Rules: rules, ProposedBy: c.Entry.Job, Format: rulesFormat})
	return outcome
}

// result returns the message that tells the proposer of an outcome.
func (s *replicatedState) result(o *proposalOutcome) ProposalResult {
	result := ProposalResult{ID: o.ID, Accepted: o.accepted(), VersionNumber: o.VersionNumber, Reason: o.Reason, Rejected: o.Rejected}
	if o.Rejected != nil {
		result.Reason = o.Rejected.Error()
	}
	if !o.IsJobEntry {
		return result
	}
	result.JobsEpoch, result.Versions = s.JobsEpoch, s.Versions
	if job := s.Jobs.Jobs[o.Job]; job != nil {
		result.Jobs = []jobs.Job{*job}
	}
	return result
}

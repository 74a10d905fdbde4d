package consensus

import (
	"fmt"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Bounds of what the replicated state keeps.
const (
	maxVersionHistory = 32
	maxOutcomes       = 256
)

// replicatedState is what the log's entries amount to. It is the same on every replica that has applied the same entries:
// nothing in it may depend on a node's own time, configuration or random source. Its JSON form is the content of snapshots.
type replicatedState struct {
	LastVersion int               `json:"last"` // number of the newest version
	Versions    VersionState      `json:"held"`
	History     []Version         `json:"versions"` // the newest few, for operators
	Names       map[uint64]string `json:"names"`    // of voters and learners, by identity
	Outcomes    []proposalOutcome `json:"done"`     // of the latest proposals, so that one that is sent again counts once
	JobsEpoch   uint64            `json:"epoch,omitempty"`
	Jobs        jobs.StateMachine `json:"ledger"`
}

// proposalOutcome is what became of a proposal that was committed to the log.
type proposalOutcome struct {
	ID            uint64              `json:"id"`
	VersionNumber int                 `json:"n,omitempty"` // 0: it made none
	Reason        string              `json:"why,omitempty"`
	IsJobEntry    bool                `json:"work,omitempty"` // an entry about a job that was applied or rejected as such
	Job           string              `json:"name,omitempty"`
	Rejected      *jobs.RejectedError `json:"refused,omitempty"`
}

func (o *proposalOutcome) accepted() bool {
	return o.VersionNumber > 0 || o.IsJobEntry && o.Rejected == nil
}

// apply takes a committed command. It returns the outcome of a proposal that had none before, else nil. reuseTokens breaks
// the fencing tokens.
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

// outcome finds a proposal among the latest; nil: it is not there.
func (s *replicatedState) outcome(id uint64) *proposalOutcome {
	i := slices.IndexFunc(s.Outcomes, func(o proposalOutcome) bool { return o.ID == id })
	if i < 0 {
		return nil
	}
	return &s.Outcomes[i]
}

// record keeps an outcome. The oldest ones are dropped.
func (s *replicatedState) record(o proposalOutcome) *proposalOutcome {
	s.Outcomes = append(s.Outcomes, o)
	s.Outcomes = s.Outcomes[max(0, len(s.Outcomes)-maxOutcomes):]
	return &o
}

func (s *replicatedState) applyVersion(c proposeVersion) proposalOutcome {
	outcome := proposalOutcome{ID: c.ID}
	if p := s.Versions.Pending; p != nil {
		outcome.Reason = precededBy(p)
	} else {
		outcome.VersionNumber = s.addVersion(c.Version)
	}
	return outcome
}

// precededBy is the reason for which a committed version is dropped. It is part of the replicated state: replicas of all
// program versions have to give the same.
func precededBy(pending *Version) string {
	return fmt.Sprintf("version %d came first and is not in force yet", pending.Number)
}

// addVersion makes rules the next version, which is pending.
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
		s.JobsEpoch = c.ID | 1 // drawn by the proposer, so that a cluster that is bootstrapped anew has another one
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
		outcome.IsJobEntry, outcome.Reason = false, precededBy(p)
		return outcome
	}
	rules := c.Change.appliedTo(s.Versions.Active.Rules)
	outcome.VersionNumber = s.addVersion(Version{Rules: rules, ProposedBy: c.Entry.Job, Format: rulesFormat})
	return outcome
}

// result is what the proposer is told of an outcome.
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

package jobs

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
)

// Command is one change of the state machine. The set of commands is closed: each EntryType has one Go type. A rejected
// command changes nothing.
type Command interface {
	// Entry encodes the command.
	Entry() Entry

	// validate checks the command without reference to any state.
	validate() *RejectedError
	// apply makes the change.
	apply(m *StateMachine) *RejectedError
}

// Apply decodes an entry of the log and applies its command. A rejected entry changes nothing.
func (m *StateMachine) Apply(e Entry) *RejectedError {
	command, rejected := e.Command()
	if rejected != nil {
		return rejected
	}
	return command.apply(m)
}

// Create adds a job without a holder.
type Create struct {
	Job            string
	Kind           string
	Spec           json.RawMessage
	RequiredGroups []uint64
	State          json.RawMessage
}

// Entry encodes the command.
func (c Create) Entry() Entry {
	return Entry{Type: EntryCreate, Job: c.Job, JobKind: c.Kind, Spec: c.Spec, RequiredGroups: c.RequiredGroups, State: c.State}
}

func (c Create) validate() *RejectedError {
	if c.Kind == "" || len(c.Kind) > maxNameBytes {
		return malformed(c.Job, "a work needs a kind")
	}
	return nil
}

func (c Create) apply(m *StateMachine) *RejectedError {
	if m.Jobs[c.Job] != nil {
		return reject(RejectJobExists, c.Job, 0, 0)
	}
	if open := len(m.OpenJobs()); open >= maxOpenJobs {
		return reject(RejectLimitExceeded, c.Job, uint64(open+1), maxOpenJobs)
	}
	m.evictFinished()
	if m.Jobs == nil {
		m.Jobs = map[string]*Job{}
	}
	m.replace(Job{Name: c.Job, Kind: c.Kind, Spec: bytes.Clone(c.Spec), RequiredGroups: slices.Clone(c.RequiredGroups), State: bytes.Clone(c.State)})
	return nil
}

// evictFinished removes the job that finished first if the limit on finished jobs is reached.
func (m *StateMachine) evictFinished() {
	var finished []*Job
	for _, job := range m.Jobs {
		if job.Finished {
			finished = append(finished, job)
		}
	}
	if len(finished) < maxFinishedJobs {
		return
	}
	oldest := slices.MinFunc(finished, func(a, b *Job) int { return cmp.Compare(a.Revision, b.Revision) })
	delete(m.Jobs, oldest.Name)
}

// Assign gives a job its next holder. Only the log's leader proposes it. It names the token that it replaces, so that of two
// concurrent assignments only one is accepted.
type Assign struct {
	Job         string
	Replaces    FencingToken
	Holder      string
	Incarnation uint64
}

// Entry encodes the command.
func (c Assign) Entry() Entry {
	return Entry{Type: EntryAssign, Job: c.Job, Token: c.Replaces, Holder: c.Holder, Incarnation: c.Incarnation}
}

func (c Assign) validate() *RejectedError {
	if c.Holder == "" || len(c.Holder) > maxNameBytes {
		return malformed(c.Job, "nobody is named as its owner")
	}
	return nil
}

func (c Assign) apply(m *StateMachine) *RejectedError {
	current, rejected := m.openJob(c.Job)
	if rejected != nil {
		return rejected
	}
	if c.Replaces != current.Token {
		return reject(RejectStaleToken, c.Job, uint64(c.Replaces), uint64(current.Token))
	}
	if !m.ReuseTokens {
		m.HighestToken++
	}
	job := *current
	job.Holder, job.Incarnation, job.Token = c.Holder, c.Incarnation, m.HighestToken
	job.HolderCount++
	m.replace(job)
	return nil
}

// Release ends a holder's lease on a job. The job keeps the incarnation of the holder's process, so that a process that is
// shutting down is not assigned the job again.
type Release struct {
	Job   string
	Token FencingToken
}

// Entry encodes the command.
func (c Release) Entry() Entry { return Entry{Type: EntryRelease, Job: c.Job, Token: c.Token} }

func (c Release) validate() *RejectedError { return nil }

func (c Release) apply(m *StateMachine) *RejectedError {
	current, rejected := m.leasedJob(c.Job, c.Token)
	if rejected != nil {
		return rejected
	}
	job := *current
	job.Holder = ""
	m.replace(job)
	return nil
}

// Announce records that the holder is about to execute an operation at a step, and which approval the operation uses.
type Announce struct {
	Job       string
	Token     FencingToken
	Step      uint64
	Operation Operation
	Approval  *Approval // nil: none
}

// Entry encodes the command.
func (c Announce) Entry() Entry {
	return Entry{Type: EntryAnnounce, Job: c.Job, Token: c.Token, Step: c.Step, Operation: &c.Operation, Approval: c.Approval}
}

func (c Announce) validate() *RejectedError { return validateOperation(c.Job, &c.Operation) }

func (c Announce) apply(m *StateMachine) *RejectedError {
	current, rejected := m.leasedJob(c.Job, c.Token)
	if rejected != nil {
		return rejected
	}
	if current.Operation != nil {
		return reject(RejectOperationOpen, c.Job, c.Operation.Number, current.Operation.Number)
	}
	if c.Step != current.Step { // a late entry: the operation of that step has been confirmed
		return reject(RejectWrongStep, c.Job, c.Step, current.Step)
	}
	if next := current.NextOperationNumber(); c.Operation.Number != next {
		return reject(RejectOperationNotOpen, c.Job, c.Operation.Number, next)
	}
	job, operation := *current, c.Operation
	operation.Token, operation.Approval = c.Token, nil
	if c.Approval != nil {
		if job.Approval == nil || *job.Approval != *c.Approval {
			return reject(RejectWrongStep, c.Job, c.Approval.Step, job.Step)
		}
		operation.Approval, job.Approval = job.Approval, nil
	}
	job.Operation = &operation
	m.replace(job)
	return nil
}

// Confirm records that the announced operation was executed, and its result.
type Confirm struct {
	Job       string
	Token     FencingToken
	Operation Operation
	Result    Result
}

// Entry encodes the command.
func (c Confirm) Entry() Entry {
	return Entry{Type: EntryConfirm, Job: c.Job, Token: c.Token, Operation: &c.Operation, State: c.Result.State, Finished: c.Result.Finished, Reason: c.Result.Reason}
}

func (c Confirm) validate() *RejectedError { return validateOperation(c.Job, &c.Operation) }

func (c Confirm) apply(m *StateMachine) *RejectedError {
	current, rejected := m.leasedJob(c.Job, c.Token)
	if rejected == nil {
		rejected = current.checkOpen(&c.Operation)
	}
	if rejected != nil {
		return rejected
	}
	job := *current
	job.Operation = nil
	job.Step++
	job.State = bytes.Clone(c.Result.State)
	if job.Approval != nil && !job.Approval.Persistent {
		job.Approval = nil // it was given for the step that has just ended
	}
	if c.Result.Finished {
		job.Finished, job.Reason, job.Holder, job.Incarnation = true, c.Result.Reason, "", 0
	}
	m.replace(job)
	return nil
}

// Abort records that the announced operation was found not to have been executed, and that its leftovers were cleaned up.
type Abort struct {
	Job       string
	Token     FencingToken
	Operation Operation
}

// Entry encodes the command.
func (c Abort) Entry() Entry {
	return Entry{Type: EntryAbort, Job: c.Job, Token: c.Token, Operation: &c.Operation}
}

func (c Abort) validate() *RejectedError { return validateOperation(c.Job, &c.Operation) }

func (c Abort) apply(m *StateMachine) *RejectedError {
	current, rejected := m.leasedJob(c.Job, c.Token)
	if rejected == nil {
		rejected = current.checkOpen(&c.Operation)
	}
	if rejected != nil {
		return rejected
	}
	job := *current
	unused := job.Operation.Approval
	job.Operation = nil
	job.AbortedOperations++
	// The aborted operation did not use its approval, so the job gets it back. A persistent one replaces a non-persistent
	// approval that was given in the meantime.
	if unused != nil && (job.Approval == nil || unused.Persistent && !job.Approval.Persistent) {
		job.Approval = unused
	}
	m.replace(job)
	return nil
}

// Approve records an operator's approval for the job's current step.
type Approve struct {
	Job      string
	Approval Approval
}

// Entry encodes the command.
func (c Approve) Entry() Entry { return Entry{Type: EntryApprove, Job: c.Job, Approval: &c.Approval} }

func (c Approve) validate() *RejectedError {
	if c.Approval.Action == "" || len(c.Approval.Action) > maxNameBytes || len(c.Approval.By) > maxNameBytes {
		return malformed(c.Job, "there is no word")
	}
	return nil
}

func (c Approve) apply(m *StateMachine) *RejectedError {
	current, rejected := m.openJob(c.Job)
	if rejected != nil {
		return rejected
	}
	if c.Approval.Step != current.Step {
		return reject(RejectWrongStep, c.Job, c.Approval.Step, current.Step)
	}
	if earlier := current.Approval; earlier != nil && (earlier.Step == current.Step || earlier.Persistent) {
		rejected := reject(RejectAlreadyApproved, c.Job, 0, 0)
		rejected.Detail = earlier.Action
		if earlier.By != "" {
			rejected.Detail += " by " + earlier.By
		}
		return rejected
	}
	job, approval := *current, c.Approval
	job.Approval = &approval
	m.replace(job)
	return nil
}

// RaiseToken records a token that a database host has seen, so that the next holder gets a higher one. If the named job's
// holder has a lower token, its operations would be fenced, so it loses the job. Without a job's name the command only raises
// the highest token.
type RaiseToken struct {
	Job   string
	Token FencingToken
}

// Entry encodes the command.
func (c RaiseToken) Entry() Entry { return Entry{Type: EntryRaiseToken, Job: c.Job, Token: c.Token} }

func (c RaiseToken) validate() *RejectedError { return nil }

func (c RaiseToken) apply(m *StateMachine) *RejectedError {
	if current := m.Jobs[c.Job]; current != nil && !current.Finished && current.Holder != "" && current.Token < c.Token {
		job := *current
		job.Holder, job.Incarnation = "", 0
		m.replace(job)
	} else if c.Token > m.HighestToken {
		m.Revision++
	}
	m.HighestToken = max(m.HighestToken, c.Token)
	return nil
}

// Authorize changes no job. It is rejected unless its token is that of the holder and the operation, if one is named, is
// announced. An entry of the log that changes something else, such as the rules, carries an Authorize so that the change takes
// effect only under the job's lease.
type Authorize struct {
	Job       string
	Token     FencingToken
	Operation *Operation // nil: accepted whether or not an operation is announced
}

// Entry encodes the command.
func (c Authorize) Entry() Entry {
	return Entry{Type: EntryAuthorize, Job: c.Job, Token: c.Token, Operation: c.Operation}
}

func (c Authorize) validate() *RejectedError { return nil }

func (c Authorize) apply(m *StateMachine) *RejectedError {
	job, rejected := m.leasedJob(c.Job, c.Token)
	if rejected == nil && c.Operation != nil {
		rejected = job.checkOpen(c.Operation)
	}
	return rejected
}

func validateOperation(job string, operation *Operation) *RejectedError {
	if operation.Number == 0 || operation.Name == "" || len(operation.Name) > maxNameBytes {
		return malformed(job, "a deed has a number and a name")
	}
	return validatePayload(job, operation.Data, "the deed's data", "the deed's data are no JSON")
}

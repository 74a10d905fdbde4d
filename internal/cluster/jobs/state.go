package jobs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// FencingToken marks the operations of a lease holder. Each holder of any job has a higher token than all holders before it;
// whoever has seen a token rejects lower ones.
type FencingToken uint64

// StateMachine holds the jobs as the log's entries left them. Its zero value holds none. It is not safe for concurrent use.
// Its JSON form is stored in snapshots: keys never change.
type StateMachine struct {
	HighestToken FencingToken    `json:"high"` // that was assigned, or reported by a database host
	Jobs         map[string]*Job `json:"works,omitempty"`
	Revision     uint64          `json:"count"` // number of entries that changed something
	// ReuseTokens keeps tokens from rising. It is set only to see that a checker notices.
	ReuseTokens bool `json:"-"`
}

// Job is carried out by one lease holder at a time. Its JSON form is stored and sent: keys never change.
type Job struct {
	Name           string          `json:"name"`
	Kind           string          `json:"kind"`
	Spec           json.RawMessage `json:"spec,omitempty"`     // as ordered; it never changes
	RequiredGroups []uint64        `json:"needs,omitempty"`    // groups of database hosts that the holder has to reach
	Holder         string          `json:"owner,omitempty"`    // "": none for now
	Incarnation    uint64          `json:"instance,omitempty"` // of the holder's process; without a holder, of the one that released the job
	Token          FencingToken    `json:"token"`              // of the last holder
	Step           uint64          `json:"step"`               // number of confirmed operations; approvals are given for one step
	State          json.RawMessage `json:"state,omitempty"`    // result of the last confirmed operation
	Operation      *Operation      `json:"deed,omitempty"`     // announced, and neither confirmed nor aborted
	Approval       *Approval       `json:"word,omitempty"`     // given, and not used by an operation
	HolderCount    int             `json:"owners"`             // number of holders so far
	// AbortedOperations counts operations that were announced and found not executed.
	AbortedOperations int    `json:"voided"`
	Finished          bool   `json:"ended,omitempty"`
	Reason            string `json:"why,omitempty"` // why it finished
	Revision          uint64 `json:"changed"`       // StateMachine.Revision of the last change
}

// Operation is one announced act of a job on the outside world. The job's name and the number identify it.
type Operation struct {
	Number   uint64          `json:"number"`
	Name     string          `json:"name"`
	Token    FencingToken    `json:"token"` // under which it was announced
	Data     json.RawMessage `json:"data,omitempty"`
	Approval *Approval       `json:"word,omitempty"` // that it uses
}

// ID identifies the operation of a job at the hosts on which it acts.
func (o *Operation) ID(job string) string { return fmt.Sprintf("%s/%d", job, o.Number) }

// matches reports whether two operations of one job are the same.
func (o *Operation) matches(other *Operation) bool {
	return o.Number == other.Number && o.Name == other.Name
}

// Approval is an operator's consent to one action at one step of a job.
type Approval struct {
	Action string `json:"say"`
	By     string `json:"by,omitempty"`
	Step   uint64 `json:"step"`
	// Persistent approvals still count at later steps. They are for actions on the safe side, such as a rollback.
	Persistent bool `json:"lasting,omitempty"`
}

// checkHolder rejects an entry whose token is not that of the present holder.
func (j *Job) checkHolder(token FencingToken) *RejectedError {
	if token < j.Token {
		return reject(RejectStaleToken, j.Name, uint64(token), uint64(j.Token))
	}
	if j.Holder == "" || token > j.Token {
		return reject(RejectNotHolder, j.Name, uint64(token), uint64(j.Token))
	}
	return nil
}

// checkOpen rejects an entry about an operation that is not the announced one.
func (j *Job) checkOpen(operation *Operation) *RejectedError {
	if j.Operation == nil || !j.Operation.matches(operation) {
		return reject(RejectOperationNotOpen, j.Name, operation.Number, j.NextOperationNumber()-1)
	}
	return nil
}

// NextOperationNumber is the number under which the next operation is announced. Each announced operation has a number of its
// own, whether it was confirmed or aborted.
func (j *Job) NextOperationNumber() uint64 { return j.Step + uint64(j.AbortedOperations) + 1 }

// OpenJobs returns the sorted names of jobs that have not finished.
func (m *StateMachine) OpenJobs() (names []string) {
	for name, job := range m.Jobs {
		if !job.Finished {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ChangedSince returns the jobs that changed after a revision, in the order of their last change.
func (m *StateMachine) ChangedSince(revision uint64) (changed []Job) {
	for _, job := range m.Jobs {
		if job.Revision > revision {
			changed = append(changed, *job)
		}
	}
	slices.SortFunc(changed, func(a, b Job) int { return cmp.Compare(a.Revision, b.Revision) })
	return changed
}

// openJob returns a job that exists and has not finished.
func (m *StateMachine) openJob(name string) (*Job, *RejectedError) {
	job := m.Jobs[name]
	if job == nil {
		return nil, reject(RejectUnknownJob, name, 0, 0)
	}
	if job.Finished {
		return nil, reject(RejectJobFinished, name, 0, 0)
	}
	return job, nil
}

// leasedJob returns an open job whose present holder has the token.
func (m *StateMachine) leasedJob(name string, token FencingToken) (*Job, *RejectedError) {
	job, rejected := m.openJob(name)
	if rejected != nil {
		return nil, rejected
	}
	return job, job.checkHolder(token)
}

// replace stores a changed copy of a job under the next revision. Jobs that were handed out before stay as they are.
func (m *StateMachine) replace(job Job) {
	m.Revision++
	job.Revision = m.Revision
	m.Jobs[job.Name] = &job
}

package jobs

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// FencingToken identifies the operations of one lease holder. Each new holder, of any job, gets a higher token than all holders
// before it. The log and database hosts reject tokens lower than the highest that they have seen for a job.
type FencingToken uint64

// StateMachine holds the jobs that result from the log's entries. Its zero value holds no jobs. It is not safe for concurrent
// use. Its JSON form is stored in snapshots: keys never change.
type StateMachine struct {
	HighestToken FencingToken    `json:"high"` // highest token that was assigned, or reported by a database host
	Jobs         map[string]*Job `json:"works,omitempty"`
	Revision     uint64          `json:"count"` // number of entries that changed something
	// ReuseTokens keeps assignments from raising the token. It is set only to test that a checker detects the violation.
	ReuseTokens bool `json:"-"`
}

// Job is carried out by one lease holder at a time. Its JSON form is stored and sent: keys never change.
type Job struct {
	Name           string          `json:"name"`
	Kind           string          `json:"kind"`
	Spec           json.RawMessage `json:"spec,omitempty"`     // as the operator ordered it; it never changes
	RequiredGroups []uint64        `json:"needs,omitempty"`    // groups whose database hosts the holder must reach
	Holder         string          `json:"owner,omitempty"`    // "": none for now
	Incarnation    uint64          `json:"instance,omitempty"` // of the holder's process; without a holder, of the one that released the job
	Token          FencingToken    `json:"token"`              // token of the last holder
	Step           uint64          `json:"step"`               // number of confirmed operations; approvals are given for one step
	State          json.RawMessage `json:"state,omitempty"`    // result of the last confirmed operation
	Operation      *Operation      `json:"deed,omitempty"`     // announced and not yet confirmed or aborted
	Approval       *Approval       `json:"word,omitempty"`     // given and not yet used by an operation
	HolderCount    int             `json:"owners"`             // number of holders so far
	// AbortedOperations counts operations that were announced and then found not to have been executed.
	AbortedOperations int    `json:"voided"`
	Finished          bool   `json:"ended,omitempty"`
	Reason            string `json:"why,omitempty"` // why it finished
	Revision          uint64 `json:"changed"`       // StateMachine.Revision of the last change
}

// Operation is one announced step of a job that acts on systems outside the log. The job's name and the number identify it.
type Operation struct {
	Number   uint64          `json:"number"`
	Name     string          `json:"name"`
	Token    FencingToken    `json:"token"` // token of the holder that announced it
	Data     json.RawMessage `json:"data,omitempty"`
	Approval *Approval       `json:"word,omitempty"` // approval that it uses
}

// ID returns the identifier of the operation at the hosts on which it acts.
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
	// Persistent approvals remain valid at later steps. They are for actions that are safe at any step, such as a rollback.
	Persistent bool `json:"lasting,omitempty"`
}

// checkHolder rejects an entry whose token is not that of the current holder.
func (j *Job) checkHolder(token FencingToken) *RejectedError {
	if token < j.Token {
		return reject(RejectStaleToken, j.Name, uint64(token), uint64(j.Token))
	}
	if j.Holder == "" || token > j.Token {
		return reject(RejectNotHolder, j.Name, uint64(token), uint64(j.Token))
	}
	return nil
}

// checkOpen rejects an entry for an operation other than the announced one.
func (j *Job) checkOpen(operation *Operation) *RejectedError {
	if j.Operation == nil || !j.Operation.matches(operation) {
		return reject(RejectOperationNotOpen, j.Name, operation.Number, j.NextOperationNumber()-1)
	}
	return nil
}

// NextOperationNumber returns the number of the next operation to announce. Each announced operation has a distinct number,
// whether it was confirmed or aborted.
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

// leasedJob returns an open job whose current holder has the token.
func (m *StateMachine) leasedJob(name string, token FencingToken) (*Job, *RejectedError) {
	job, rejected := m.openJob(name)
	if rejected != nil {
		return nil, rejected
	}
	return job, job.checkHolder(token)
}

// replace stores a changed copy of a job under the next revision. Copies that were returned earlier are not modified.
func (m *StateMachine) replace(job Job) {
	m.Revision++
	job.Revision = m.Revision
	m.Jobs[job.Name] = &job
}

package main

import (
	"bufio"
	stdjson "encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/jobs/executor"
	"ashstand/internal/cluster/jobs/noop"
)

// jobsView is what operators see of all jobs.
type jobsView struct {
	Enabled bool      `json:"enabled"`
	Jobs    []jobView `json:"jobs"`
}

// jobView is what operators see of one job.
type jobView struct {
	Name              string             `json:"name"`
	Kind              string             `json:"kind"`
	Spec              stdjson.RawMessage `json:"spec,omitempty"`
	RequiredGroups    []uint64           `json:"required_groups,omitempty"`
	Holder            string             `json:"holder,omitempty"`
	Incarnation       uint64             `json:"incarnation,omitempty"`
	Token             jobs.FencingToken  `json:"token"`
	Step              uint64             `json:"step"` // that an approval is given for
	State             stdjson.RawMessage `json:"state,omitempty"`
	Operation         *operationView     `json:"operation,omitempty"` // announced, and neither confirmed nor aborted
	Approval          *approvalView      `json:"approval,omitempty"`  // given, and not used
	HolderCount       int                `json:"holder_count"`
	AbortedOperations int                `json:"aborted_operations"`
	Finished          bool               `json:"finished,omitempty"`
	Reason            string             `json:"reason,omitempty"` // why it finished
	Revision          uint64             `json:"revision"`
	Execution         *executionView     `json:"execution,omitempty"` // at the lease holder alone
}

type operationView struct {
	Number   uint64             `json:"number"`
	Name     string             `json:"name"`
	Token    jobs.FencingToken  `json:"token"`
	Data     stdjson.RawMessage `json:"data,omitempty"`
	Approval *approvalView      `json:"approval,omitempty"`
}

type approvalView struct {
	Action     string `json:"action"`
	By         string `json:"by,omitempty"`
	Step       uint64 `json:"step"`
	Persistent bool   `json:"persistent,omitempty"`
}

// executionView is what the lease holder adds.
type executionView struct {
	WaitingFor         string               `json:"waiting_for,omitempty"`
	Options            []approvalOptionView `json:"options,omitempty"`
	Message            string               `json:"error,omitempty"`
	Code               string               `json:"code,omitempty"`
	Advice             string               `json:"advice,omitempty"`
	LastResponseMillis float64              `json:"last_response_ms,omitempty"`
}

type approvalOptionView struct {
	Action     string `json:"action"`
	Effect     string `json:"effect"`
	Persistent bool   `json:"persistent,omitempty"`
}

// legacyJobsView is the view by the keys of earlier versions, for those who still read it.
type legacyJobsView struct {
	On    bool            `json:"on"`
	Works []legacyJobView `json:"works"`
}

type legacyJobView struct {
	jobs.Job
	Here *executor.Status `json:"here,omitempty"` // at the lease holder alone
}

// standard converts the view to the present keys.
func (v *legacyJobsView) standard() jobsView {
	out := jobsView{Enabled: v.On, Jobs: []jobView{}}
	for i := range v.Works {
		out.Jobs = append(out.Jobs, newJobView(&v.Works[i].Job, v.Works[i].Here))
	}
	return out
}

// legacyJobs returns what this pooler knows of all jobs, by the keys of earlier versions.
func (f *fellows) legacyJobs() legacyJobsView {
	if f == nil || f.jobs == nil {
		return legacyJobsView{}
	}
	v := legacyJobsView{On: true, Works: []legacyJobView{}}
	current, _ := f.jobs.log.Jobs()
	statuses := f.jobs.executor.Statuses()
	for _, name := range slices.Sorted(maps.Keys(current)) {
		job := legacyJobView{Job: current[name]}
		if status, ok := statuses[name]; ok {
			job.Here = &status
		}
		v.Works = append(v.Works, job)
	}
	return v
}

// newJobView converts a job; status is nil where this pooler does not carry it out.
func newJobView(job *jobs.Job, status *executor.Status) jobView {
	v := jobView{
		Name: job.Name, Kind: job.Kind, Spec: job.Spec, RequiredGroups: job.RequiredGroups, Holder: job.Holder, Incarnation: job.Incarnation,
		Token: job.Token, Step: job.Step, State: job.State, Approval: newApprovalView(job.Approval), HolderCount: job.HolderCount,
		AbortedOperations: job.AbortedOperations, Finished: job.Finished, Reason: job.Reason, Revision: job.Revision,
	}
	if v.Kind == noop.KindName {
		v.Kind = kindNoop
	}
	if o := job.Operation; o != nil {
		v.Operation = &operationView{Number: o.Number, Name: o.Name, Token: o.Token, Data: o.Data, Approval: newApprovalView(o.Approval)}
	}
	if status != nil {
		v.Execution = newExecutionView(status)
	}
	return v
}

func newApprovalView(a *jobs.Approval) *approvalView {
	if a == nil {
		return nil
	}
	return &approvalView{Action: a.Action, By: a.By, Step: a.Step, Persistent: a.Persistent}
}

func newExecutionView(s *executor.Status) *executionView {
	v := &executionView{WaitingFor: s.WaitingFor, Message: s.Message, Code: s.Code, Advice: s.Advice, LastResponseMillis: s.LastResponseMillis}
	for _, o := range s.Options {
		v.Options = append(v.Options, approvalOptionView{Action: o.Action, Effect: o.Effect, Persistent: o.Persistent})
	}
	return v
}

// writeJobTable prints the jobs, one a line. w is a table writer, whose first error comes back from its Flush.
func writeJobTable(w *bufio.Writer, v *jobsView) {
	_, _ = io.WriteString(w, v.table())
}

func (v *jobsView) table() string {
	if !v.Enabled {
		return jobsDisabledError{}.Error() + "\n"
	}
	var b strings.Builder
	b.WriteString("NAME\tKIND\tHOLDER\tTOKEN\tSTEP\tOPERATION\tHOLDERS\tWAITING FOR\n")
	for i := range v.Jobs {
		job := &v.Jobs[i]
		operation, holder := "", "-"
		if job.Operation != nil {
			operation = job.Operation.Name
		}
		if job.Holder != "" {
			holder = job.Holder
		}
		fmt.Fprintf(&b, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%s\n", job.Name, job.Kind, holder, job.Token, job.Step, operation, job.HolderCount, job.waitingFor())
	}
	return b.String()
}

// waitingFor is the error of the last attempt or what the job waits for, with what could be approved.
func (v *jobView) waitingFor() string {
	e := v.Execution
	if e == nil {
		return v.Reason
	}
	text := e.WaitingFor
	if e.Message != "" {
		text = e.Message
	}
	options := make([]string, 0, len(e.Options))
	for _, o := range e.Options {
		options = append(options, o.Action+": "+o.Effect)
	}
	if len(options) > 0 {
		text += " [" + strings.Join(options, "; ") + "]"
	}
	return text
}

package main

import (
	"context"
	stdjson "encoding/json"
	"log/slog"
	"strconv"
	"sync"

	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/jobs/noop"
	"ashstand/internal/cluster/migration"
)

// kindNoop is what operators call the kind that the log knows by noop.KindName.
const kindNoop = "noop"

// jobsDisabledError is the answer of a pooler whose file has no jobs block.
type jobsDisabledError struct{}

func (jobsDisabledError) Error() string {
	return "this pooler's file has no jobs block in cluster.agreement"
}

// Code returns the stable code that operators see.
func (jobsDisabledError) Code() string { return "works_off" }

// Advice says what an operator can do.
func (jobsDisabledError) Advice() string {
	return "ask a pooler that has one, or add the block and restart"
}

// jobRequest is what operators bring in about jobs. One of its fields is set.
type jobRequest struct {
	Create  *createJobRequest  `json:"create,omitempty"`
	Approve *approveJobRequest `json:"approve,omitempty"`
}

type createJobRequest struct {
	Name string             `json:"name"`
	Kind string             `json:"kind"`
	Spec stdjson.RawMessage `json:"spec"`
}

type approveJobRequest struct {
	Name       string `json:"name"`
	Action     string `json:"action"`
	By         string `json:"by,omitempty"`
	Step       uint64 `json:"step"`
	Persistent bool   `json:"persistent,omitempty"`
}

// jobResponse names the job that a request was about.
type jobResponse struct {
	Job string `json:"job"`
}

// legacyJobResponse is jobResponse by the key of earlier versions.
type legacyJobResponse struct {
	Work string `json:"work"`
}

// jobService returns the service, or what is wrong without one.
func (n *node) jobService() (*jobService, error) {
	if n.others == nil || n.others.jobs == nil {
		return nil, jobsDisabledError{}
	}
	return n.others.jobs, nil
}

// requestJob answers the requests of the jobs commands.
func (n *node) requestJob(ctx context.Context, body []byte) (any, error) {
	service, err := n.jobService()
	if err != nil {
		return nil, err
	}
	var request jobRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, malformedRequest("", err.Error())
	}
	var command jobs.Command
	switch {
	case request.Create != nil && request.Approve == nil:
		command = jobs.Create{Job: request.Create.Name, Kind: request.Create.Kind, Spec: request.Create.Spec}
	case request.Approve != nil && request.Create == nil:
		a := request.Approve
		command = jobs.Approve{Job: a.Name, Approval: jobs.Approval{Action: a.Action, By: a.By, Step: a.Step, Persistent: a.Persistent}}
	default:
		return nil, malformedRequest("", "a request has either create or approve")
	}
	entry := command.Entry()
	err = service.propose(ctx, &entry)
	return jobResponse{entry.Job}, err
}

// requestLegacyJob answers requests in the form of earlier versions, which is that of the log's entries.
func (n *node) requestLegacyJob(ctx context.Context, body []byte) (any, error) {
	service, err := n.jobService()
	if err != nil {
		return nil, err
	}
	warnLegacyRequest("work", "jobs")
	var entry jobs.Entry
	if err := json.Unmarshal(body, &entry); err != nil {
		return nil, malformedRequest("", err.Error())
	}
	err = service.propose(ctx, &entry)
	return legacyJobResponse{entry.Job}, err
}

// warnedRequests are the deprecated requests that were logged: each is logged once, since some are repeated all the time.
var warnedRequests sync.Map

func warnLegacyRequest(name, replacement string) {
	if _, warned := warnedRequests.LoadOrStore(name, true); !warned {
		slog.Warn("admin: deprecated request", "request", name, "replacement", replacement)
	}
}

// propose brings an operator's entry into the log.
func (s *jobService) propose(ctx context.Context, entry *jobs.Entry) error {
	switch entry.Type {
	case jobs.EntryCreate:
		if err := s.prepareCreate(entry); err != nil {
			return err
		}
	case jobs.EntryApprove:
	default:
		return malformedRequest(entry.Job, "operators create and approve; other entries are the lease holder's")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return s.log.Propose(ctx, *entry)
}

// prepareCreate checks an order and completes it with the groups that the job's holder has to reach.
func (s *jobService) prepareCreate(entry *jobs.Entry) error {
	if entry.JobKind == kindNoop {
		entry.JobKind = noop.KindName
	}
	if s.handlers[entry.JobKind] == nil {
		if entry.JobKind == migration.JobKind {
			return migrationsOffError{}
		}
		return malformedRequest(entry.Job, "there is no kind "+strconv.Quote(entry.JobKind))
	}
	if entry.JobKind == migration.JobKind {
		return s.validateMigration(entry)
	}
	var spec noop.Spec
	if err := json.Unmarshal(entry.Spec, &spec); err != nil {
		return malformedRequest(entry.Job, err.Error())
	}
	if err := spec.Validate(); err != nil {
		return err
	}
	entry.RequiredGroups = spec.Groups
	return nil
}

func malformedRequest(job, detail string) error {
	return &jobs.RejectedError{Reason: jobs.RejectMalformed, Job: job, Detail: detail}
}

// migrationsOffError is the answer of a pooler in service to a migration: they run in the testbed alone.
type migrationsOffError struct{}

func (migrationsOffError) Error() string { return "tenants are not moved in service yet" }

// Code returns the stable code that operators see.
func (migrationsOffError) Code() string { return "moves_off" }

// Advice says what an operator can do.
func (migrationsOffError) Advice() string {
	return "try them in the testbed (testbed cluster move); docs/moves.md says what has not been proven with faults"
}

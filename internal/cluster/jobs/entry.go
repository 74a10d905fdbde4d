package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
)

// EntryType identifies what an entry of the log does to a job.
type EntryType string

// The types of entries. Entries that a lease holder proposes carry its token. The values are stored and sent: they never change.
const (
	EntryCreate     EntryType = "create"   // see Create
	EntryAssign     EntryType = "assign"   // see Assign
	EntryRelease    EntryType = "resign"   // see Release
	EntryAnnounce   EntryType = "announce" // see Announce
	EntryConfirm    EntryType = "prove"    // see Confirm
	EntryAbort      EntryType = "void"     // see Abort
	EntryApprove    EntryType = "say"      // see Approve
	EntryRaiseToken EntryType = "raise"    // see RaiseToken
	EntryAuthorize  EntryType = "act"      // see Authorize
)

// Entry is the encoded form of a Command in the log and in messages. The type determines which fields are used; the method
// Command decodes them. The JSON keys never change.
type Entry struct {
	Type           EntryType       `json:"op"`
	Job            string          `json:"work,omitempty"`
	Token          FencingToken    `json:"token,omitempty"`
	Holder         string          `json:"to,omitempty"`
	Incarnation    uint64          `json:"instance,omitempty"`
	JobKind        string          `json:"kind,omitempty"`
	Spec           json.RawMessage `json:"spec,omitempty"`
	RequiredGroups []uint64        `json:"needs,omitempty"`
	Step           uint64          `json:"step,omitempty"`
	Operation      *Operation      `json:"deed,omitempty"`
	State          json.RawMessage `json:"state,omitempty"`
	Approval       *Approval       `json:"word,omitempty"`
	Finished       bool            `json:"ended,omitempty"`
	Reason         string          `json:"why,omitempty"`
}

// Limits on what the state machine stores.
const (
	maxOpenJobs       = 64
	maxFinishedJobs   = 64
	maxPayloadBytes   = 16 << 10 // of a spec, a state or an operation's data
	maxNameBytes      = 128
	maxRequiredGroups = 64
)

// forbiddenInNames lists the characters that would make an operation's ID ambiguous or need quoting at a database host.
const forbiddenInNames = "/\x00'\""

// Validate checks an entry without reference to the state machine. It returns nil if the entry is valid.
func (e *Entry) Validate() *RejectedError {
	_, rejected := e.Command()
	return rejected
}

// Command decodes and validates an entry.
func (e *Entry) Command() (Command, *RejectedError) {
	if rejected := e.validateFields(); rejected != nil {
		return nil, rejected
	}
	command := e.decode()
	if command == nil {
		return nil, malformed(e.Job, "%q is no op", e.Type)
	}
	return command, command.validate()
}

// validateFields checks the rules that apply to entries of every type.
func (e *Entry) validateFields() *RejectedError {
	if e.Type != EntryRaiseToken && (e.Job == "" || len(e.Job) > maxNameBytes || strings.ContainsAny(e.Job, forbiddenInNames)) {
		return malformed(e.Job, "a name has 1 to %d characters and none of / ' \"", maxNameBytes)
	}
	if rejected := validatePayload(e.Job, e.Spec, "spec", "the spec is no JSON"); rejected != nil {
		return rejected
	}
	if rejected := validatePayload(e.Job, e.State, "state", "the state is no JSON"); rejected != nil {
		return rejected
	}
	if len(e.RequiredGroups) > maxRequiredGroups {
		return limitExceeded(e.Job, "groups", len(e.RequiredGroups), maxRequiredGroups)
	}
	return nil
}

// decode returns the command that an entry encodes, or nil if its type is unknown.
func (e *Entry) decode() Command {
	switch e.Type {
	case EntryCreate:
		return Create{Job: e.Job, Kind: e.JobKind, Spec: e.Spec, RequiredGroups: e.RequiredGroups, State: e.State}
	case EntryAssign:
		return Assign{Job: e.Job, Replaces: e.Token, Holder: e.Holder, Incarnation: e.Incarnation}
	case EntryRelease:
		return Release{Job: e.Job, Token: e.Token}
	case EntryAnnounce:
		return Announce{Job: e.Job, Token: e.Token, Step: e.Step, Operation: e.operation(), Approval: e.Approval}
	case EntryConfirm:
		result := Result{State: e.State, Finished: e.Finished, Reason: e.Reason}
		return Confirm{Job: e.Job, Token: e.Token, Operation: e.operation(), Result: result}
	case EntryAbort:
		return Abort{Job: e.Job, Token: e.Token, Operation: e.operation()}
	case EntryApprove:
		var approval Approval
		if e.Approval != nil {
			approval = *e.Approval
		}
		return Approve{Job: e.Job, Approval: approval}
	case EntryRaiseToken:
		return RaiseToken{Job: e.Job, Token: e.Token}
	case EntryAuthorize:
		return Authorize{Job: e.Job, Token: e.Token, Operation: e.Operation}
	}
	return nil
}

// operation returns the entry's operation. If there is none it returns an operation with number 0, which validation rejects.
func (e *Entry) operation() Operation {
	if e.Operation == nil {
		return Operation{}
	}
	return *e.Operation
}

// validatePayload checks a JSON document that is to be stored. tooLong and invalid are the details of the rejections.
func validatePayload(job string, payload json.RawMessage, tooLong, invalid string) *RejectedError {
	if len(payload) > maxPayloadBytes {
		return limitExceeded(job, tooLong, len(payload), maxPayloadBytes)
	}
	if len(payload) > 0 && !json.Valid(payload) {
		return malformed(job, "%s", invalid)
	}
	return nil
}

// malformed and limitExceeded reject an invalid entry. The details are sent between poolers, like rejectTexts: their wording
// never changes.
func malformed(job, detail string, args ...any) *RejectedError {
	return &RejectedError{Reason: RejectMalformed, Job: job, Detail: fmt.Sprintf(detail, args...)}
}

func limitExceeded(job, detail string, presented, limit int) *RejectedError {
	return &RejectedError{Reason: RejectLimitExceeded, Job: job, Presented: uint64(presented), Current: uint64(limit), Detail: detail}
}

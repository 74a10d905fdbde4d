package consensus

import (
	"encoding/json"
	"fmt"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ashstand/internal/cluster/jobs"
)

// maxMessageBytes is the maximum size of a message that is decoded.
const maxMessageBytes = 1 << 20

// wireMessage is the JSON form of every Message: the fields of all kinds, zero where a kind has none. Keys
// and order are the wire format: processes of other versions read and write the same.
type wireMessage struct {
	From          string       `json:"From"`
	To            string       `json:"To"`
	Kind          MessageKind  `json:"Kind"`
	ID            uint64       `json:"ID"` // VoterHello: the voter's identity; proposals and results: the proposal's ID
	Nonce         uint64       `json:"Nonce"`
	Incarnation   uint64       `json:"Instance"`
	NewestVersion int          `json:"Known"`
	Format        int          `json:"Format"` // LeaseRequest
	Duration      float64      `json:"For"`    // in milliseconds
	Versions      VersionState `json:"Held"`
	Version       Version      `json:"Version"` // VersionProposal; JobProposal: Format alone; ProposalResult: Number alone
	Accepted      bool         `json:"OK"`
	Reason        string       `json:"Why"`
	Leader        string       `json:"Leader"`

	Entry        *jobs.Entry         `json:"Entry"`
	Change       Rules               `json:"Change"`
	Rejected     *jobs.RejectedError `json:"Refused"`
	Report       *jobs.Report        `json:"Report"`
	JobsEpoch    uint64              `json:"Epoch"`
	JobsRevision uint64              `json:"Count"`
	Jobs         []jobs.Job          `json:"Works"`

	Raft []byte `json:"Raft,omitempty"`
}

// MessageError reports a received message that is malformed, or that no node would send.
type MessageError struct {
	Kind   MessageKind
	Reason string
	Err    error // nil: none
}

// Error returns the message for operators.
func (e *MessageError) Error() string {
	text := fmt.Sprintf("message of kind %d: %s", e.Kind, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

// EncodeMessage returns the wire form of a message.
func EncodeMessage(m Message) ([]byte, error) {
	w := wireMessage{From: m.From, To: m.To, Kind: m.Payload.Kind(), Incarnation: m.Incarnation}
	if err := m.Payload.fill(&w); err != nil {
		return nil, err
	}
	return json.Marshal(w)
}

// DecodeMessage decodes and validates a message. It returns a MessageError for one that no node would send.
func DecodeMessage(text []byte) (Message, error) {
	if len(text) > maxMessageBytes {
		return Message{}, &MessageError{Reason: fmt.Sprintf("%d bytes exceed the maximum size", len(text))}
	}
	var w wireMessage
	if err := json.Unmarshal(text, &w); err != nil {
		return Message{}, &MessageError{Reason: "malformed", Err: err}
	}
	if err := w.validate(); err != nil {
		return Message{}, err
	}
	payload, err := w.payload()
	if err != nil {
		return Message{}, err
	}
	return Message{From: w.From, To: w.To, Incarnation: w.Incarnation, Payload: payload}, nil
}

func (w *wireMessage) validate() error {
	if (w.Kind == KindRaft) != (w.Raft != nil) || w.From == "" || w.Kind > maxKind {
		return &MessageError{Kind: w.Kind, Reason: "sender, kind or Raft part is missing or invalid"}
	}
	for _, version := range []*Version{&w.Version, &w.Versions.Active, w.Versions.Pending} {
		if version == nil {
			continue
		}
		if err := version.Rules.Validate(); err != nil {
			return &MessageError{Kind: w.Kind, Reason: "invalid rules", Err: err}
		}
	}
	return nil
}

// payload converts the fields to the payload type of the message's kind. No other code interprets the fields
// by kind.
func (w *wireMessage) payload() (Payload, error) {
	switch w.Kind {
	case KindRaft:
		message := &pb.Message{}
		if err := proto.Unmarshal(w.Raft, message); err != nil {
			return nil, &MessageError{Kind: w.Kind, Reason: "malformed", Err: err}
		}
		return RaftMessage{Raft: message}, nil
	case KindVoterHello:
		return VoterHello{ID: w.ID}, nil
	case KindLeaseRequest:
		return LeaseRequest{Nonce: w.Nonce, NewestVersion: w.NewestVersion, Format: w.Format, Report: w.Report, JobsEpoch: w.JobsEpoch, JobsRevision: w.JobsRevision}, nil
	case KindLeaseGrant:
		return LeaseGrant{Nonce: w.Nonce, DurationMillis: w.Duration, Versions: w.Versions, JobsEpoch: w.JobsEpoch, JobsRevision: w.JobsRevision, Jobs: w.Jobs}, nil
	case KindProposal:
		if w.Entry == nil && w.Change == nil {
			return VersionProposal{ID: w.ID, Version: w.Version}, nil
		}
		return JobProposal{ID: w.ID, Entry: w.Entry, Change: w.Change, Format: w.Version.Format}, nil
	case KindProposalResult:
		return ProposalResult{
			ID: w.ID, Accepted: w.Accepted, VersionNumber: w.Version.Number, Reason: w.Reason, Rejected: w.Rejected, Versions: w.Versions,
			JobsEpoch: w.JobsEpoch, Jobs: w.Jobs,
		}, nil
	case KindLeaderRedirect:
		return LeaderRedirect{Leader: w.Leader}, nil
	case KindJobUpdate:
		return JobUpdate{Versions: w.Versions, JobsEpoch: w.JobsEpoch, Jobs: w.Jobs}, nil
	}
	return nil, &MessageError{Kind: w.Kind, Reason: "unknown"}
}

func (p RaftMessage) fill(w *wireMessage) (err error) {
	w.Raft, err = proto.Marshal(p.Raft)
	return err
}

func (p VoterHello) fill(w *wireMessage) error {
	w.ID = p.ID
	return nil
}

func (p LeaseRequest) fill(w *wireMessage) error {
	w.Nonce, w.NewestVersion, w.Format, w.Report = p.Nonce, p.NewestVersion, p.Format, p.Report
	w.JobsEpoch, w.JobsRevision = p.JobsEpoch, p.JobsRevision
	return nil
}

func (p LeaseGrant) fill(w *wireMessage) error {
	w.Nonce, w.Duration, w.Versions = p.Nonce, p.DurationMillis, p.Versions
	w.JobsEpoch, w.JobsRevision, w.Jobs = p.JobsEpoch, p.JobsRevision, p.Jobs
	return nil
}

func (p VersionProposal) fill(w *wireMessage) error {
	w.ID, w.Version = p.ID, p.Version
	return nil
}

func (p JobProposal) fill(w *wireMessage) error {
	w.ID, w.Entry, w.Change, w.Version.Format = p.ID, p.Entry, p.Change, p.Format
	return nil
}

func (p ProposalResult) fill(w *wireMessage) error {
	w.ID, w.Accepted, w.Version.Number, w.Reason, w.Rejected = p.ID, p.Accepted, p.VersionNumber, p.Reason, p.Rejected
	w.Versions, w.JobsEpoch, w.Jobs = p.Versions, p.JobsEpoch, p.Jobs
	return nil
}

func (p LeaderRedirect) fill(w *wireMessage) error {
	w.Leader = p.Leader
	return nil
}

func (p JobUpdate) fill(w *wireMessage) error {
	w.Versions, w.JobsEpoch, w.Jobs = p.Versions, p.JobsEpoch, p.Jobs
	return nil
}

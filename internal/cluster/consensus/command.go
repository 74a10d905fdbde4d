package consensus

import (
	"encoding/json"

	"ashstand/internal/cluster/jobs"
)

// command is a change that one log entry makes to the replicated state. Its implementations are in this file.
type command interface {
	// entry returns the form in which the log stores the command.
	entry() logEntry
}

// proposeVersion is the log command that makes a version pending. The leader creates it from the message
// VersionProposal; see prepareVersion.
type proposeVersion struct {
	ID      uint64 // the proposal's ID
	Version Version
}

// applyJobEntry is the log command that applies an entry about a job. The leader creates it from the message
// JobProposal, see prepareJobEntry, or for its scheduler, see assignJobs. If Change is not nil, it also creates a
// version: the active rules with that change applied.
type applyJobEntry struct {
	ID     uint64 // the proposal's ID
	Entry  *jobs.Entry
	Change Rules // nil: none
}

// activateVersion makes the pending version the active one.
type activateVersion struct{ Number int }

// logEntry is the JSON form of every command. It has the fields of all commands; those that a command lacks
// are omitted. The keys and their order are part of the stored format.
type logEntry struct {
	Version   *Version    `json:"propose,omitempty"`
	ID        uint64      `json:"id,omitempty"`
	Activated int         `json:"force,omitempty"`
	JobEntry  *jobs.Entry `json:"work,omitempty"`
	Change    Rules       `json:"change,omitempty"`
}

func (c proposeVersion) entry() logEntry { return logEntry{Version: &c.Version, ID: c.ID} }
func (c applyJobEntry) entry() logEntry {
	return logEntry{ID: c.ID, JobEntry: c.Entry, Change: c.Change}
}
func (c activateVersion) entry() logEntry { return logEntry{Activated: c.Number} }

func encodeCommand(c command) ([]byte, error) { return json.Marshal(c.entry()) }

// decodeCommand decodes a log entry. It returns nil for an entry without a command, such as the empty one
// that a leader appends at the start of its term.
func decodeCommand(data []byte) (command, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var e logEntry
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, err
	}
	switch {
	case e.Version != nil:
		return proposeVersion{ID: e.ID, Version: *e.Version}, nil
	case e.JobEntry != nil:
		return applyJobEntry{ID: e.ID, Entry: e.JobEntry, Change: e.Change}, nil
	case e.Activated > 0:
		return activateVersion{Number: e.Activated}, nil
	}
	return nil, nil
}

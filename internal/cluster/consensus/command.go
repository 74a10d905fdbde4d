package consensus

import (
	"encoding/json"

	"ashstand/internal/cluster/jobs"
)

// command is what one entry of the log does: one of the types of this file that have an entry.
type command interface {
	// entry returns the form in which the log stores the command.
	entry() logEntry
}

// proposeVersion makes a version pending.
type proposeVersion struct {
	ID      uint64 // of the proposal
	Version Version
}

// applyJobEntry is an entry about a job. With a change, it makes a version of the active rules with that change, too.
type applyJobEntry struct {
	ID     uint64 // of the proposal
	Entry  *jobs.Entry
	Change Rules // nil: none
}

// activateVersion makes the pending version the active one.
type activateVersion struct{ Number int }

// logEntry is the JSON form of every command: the fields of all, left out where a command has none. Keys and order are
// the stored format.
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

// decodeCommand reads an entry of the log. nil: it has none, as the one by which a leader begins its term.
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

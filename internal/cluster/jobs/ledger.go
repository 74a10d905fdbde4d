// Package owner decides who does a piece of work on behalf of the whole fleet. It has no I/O, clock or logger. ledger.go
// is what the agreed log says of works, and comes out alike wherever the log is applied; desk.go is the log leader's choice
// of an owner; part.go is the owner's own side. No safety rests on a clock: a lease says when to stop trying, the token is
// what refuses. docs/owner.md derives the times.
package jobs

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// FencingToken is what an owner's acts carry. Each owner of any work has a higher one than all before it; whoever has seen a
// token refuses lower ones.
type FencingToken uint64

// StateMachine is what the log says of works. Its zero value holds none.
type StateMachine struct {
	HighestToken FencingToken    `json:"high"` // the highest that was ever given, or heard of
	Jobs         map[string]*Job `json:"works,omitempty"`
	Revision     uint64          `json:"count"` // of entries that changed something
	ReuseTokens  bool            `json:"-"`     // tokens do not rise: to see a checker fail
}

// Job is something to be done by one owner at a time.
type Job struct {
	Name              string          `json:"name"`
	Kind              string          `json:"kind"`
	Spec              json.RawMessage `json:"spec,omitempty"`     // as it was asked for; it never changes
	RequiredGroups    []uint64        `json:"needs,omitempty"`    // groups of db hosts that its owner has to reach
	Holder            string          `json:"owner,omitempty"`    // "": nobody for now
	Incarnation       uint64          `json:"instance,omitempty"` // of the owner's process; without an owner, of the one that gave it back
	Token             FencingToken    `json:"token"`              // of the last owner
	Step              uint64          `json:"step"`               // proven deeds so far: what a word is given for
	State             json.RawMessage `json:"state,omitempty"`    // as the last proven deed left it
	Operation         *Operation      `json:"deed,omitempty"`     // announced and neither proven nor void
	Approval          *Approval       `json:"word,omitempty"`     // given and not taken up by a deed
	HolderCount       int             `json:"owners"`             // so far
	AbortedOperations int             `json:"voided"`             // deeds that were announced and found not done
	Finished          bool            `json:"ended,omitempty"`
	Reason            string          `json:"why,omitempty"` // it ended so
	Revision          uint64          `json:"changed"`       // Ledger.Count when it changed last
}

// Operation is one act that can be told from all others. Its identity is its work's name and its number.
type Operation struct {
	Number   uint64          `json:"number"`
	Name     string          `json:"name"`
	Token    FencingToken    `json:"token"` // under which it was announced
	Data     json.RawMessage `json:"data,omitempty"`
	Approval *Approval       `json:"word,omitempty"` // that it takes up
}

// ID is what a deed is known by at the places that it acts on.
func (d *Operation) ID(work string) string { return fmt.Sprintf("%s/%d", work, d.Number) }

// Approval is an operator's, given for one step of a work.
type Approval struct {
	Action     string `json:"say"`
	By         string `json:"by,omitempty"`
	Step       uint64 `json:"step"`
	Persistent bool   `json:"lasting,omitempty"` // it still counts at a later step: a word on the careful side, such as to take back
}

// EntryType is what a line of the log does to a work.
type EntryType string

// The ops. Those of an owner carry its token.
const (
	EntryCreate     EntryType = "create"   // a new work, without an owner
	EntryAssign     EntryType = "assign"   // the leader's: To and Instance own it from now on, if Token is still its last
	EntryRelease    EntryType = "resign"   // an owner gives it back
	EntryAnnounce   EntryType = "announce" // an owner is about to do Deed
	EntryConfirm    EntryType = "prove"    // it is done, and State is what there is now
	EntryAbort      EntryType = "void"     // it was looked for and is not done; what was left of it is cleared
	EntryApprove    EntryType = "say"      // an operator's word for a step
	EntryRaiseToken EntryType = "raise"    // a place knows a higher token than the log
	EntryAuthorize  EntryType = "act"      // its owner acts on the log itself, such as on the rules: refused unless it is the owner, and Deed, if named, is open
)

// Entry is one line of the log about a work.
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

// Bounds of what a ledger holds.
const (
	maxOpenJobs       = 64
	maxFinishedJobs   = 64
	maxPayloadBytes   = 16 << 10 // of a spec, a state or a deed's data
	maxNameBytes      = 128
	maxRequiredGroups = 64
)

// RejectCode says why an entry is refused.
type RejectCode string

// The codes.
const (
	RejectStaleToken       RejectCode = "token_old"   // a later owner was named since
	RejectNotHolder        RejectCode = "not_owner"   // nobody owns it under that token
	RejectUnknownJob       RejectCode = "no_work"     // there is none of that name
	RejectJobExists        RejectCode = "work_exists" // there is one
	RejectOperationOpen    RejectCode = "deed_open"   // another deed is announced
	RejectOperationNotOpen RejectCode = "no_deed"     // that deed is not open
	RejectWrongStep        RejectCode = "step_passed" // the work is at another step than the word was given for
	RejectAlreadyApproved  RejectCode = "word_given"  // somebody gave one for this step before
	RejectJobFinished      RejectCode = "work_ended"
	RejectLimitExceeded    RejectCode = "too_much" // a bound
	RejectMalformed        RejectCode = "malformed"
)

// RejectedError is an entry that changes nothing.
type RejectedError struct {
	Reason    RejectCode `json:"code"`
	Job       string     `json:"work,omitempty"`
	Presented uint64     `json:"given,omitempty"` // the token, step or deed that was named
	Current   uint64     `json:"holds,omitempty"` // what the log has
	Detail    string     `json:"detail,omitempty"`
}

func (r *RejectedError) Error() string {
	text := map[RejectCode]string{
		RejectStaleToken: "a later owner has been named", RejectNotHolder: "nobody owns it under that token", RejectUnknownJob: "there is no such work",
		RejectJobExists: "there is a work of that name", RejectOperationOpen: "another deed is announced and not settled", RejectOperationNotOpen: "that deed is not open",
		RejectWrongStep: "it is at another step", RejectAlreadyApproved: "a word was given for this step already", RejectJobFinished: "it has ended",
		RejectLimitExceeded: "that is more than is kept", RejectMalformed: "the entry makes no sense",
	}[r.Reason]
	if r.Job != "" {
		text = "work " + r.Job + ": " + text
	}
	if r.Presented != 0 || r.Current != 0 {
		text += fmt.Sprintf(" (given %d, the log has %d)", r.Presented, r.Current)
	}
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

// Code is the reason in a word.
func (r *RejectedError) Code() string { return string(r.Reason) }

// Advice says what an operator can do.
func (r *RejectedError) Advice() string {
	switch r.Reason {
	case RejectStaleToken, RejectNotHolder:
		return "nothing: the present owner goes on at the last proven deed; works shows who that is"
	case RejectUnknownJob:
		return "works lists the names; one that has ended is forgotten after some others have"
	case RejectJobExists, RejectJobFinished:
		return "give the new one another name"
	case RejectOperationOpen, RejectOperationNotOpen:
		return "nothing: the owner looks whether that deed was done before it goes on"
	case RejectWrongStep:
		return "look at the work's state again and give the word for the step that it shows"
	case RejectAlreadyApproved:
		return "wait until the word that was given is taken up, then look again"
	case RejectLimitExceeded:
		return "let open works end first, or make the spec smaller"
	}
	return "check the entry against docs/owner.md"
}

func reject(c RejectCode, work string, given, holds uint64) *RejectedError {
	return &RejectedError{Reason: c, Job: work, Presented: given, Current: holds}
}

// Validate says what is wrong with an entry by itself; nil: nothing.
func (e *Entry) Validate() *RejectedError {
	bad := func(detail string, args ...any) *RejectedError {
		return &RejectedError{Reason: RejectMalformed, Job: e.Job, Detail: fmt.Sprintf(detail, args...)}
	}
	if e.Type != EntryRaiseToken && (e.Job == "" || len(e.Job) > maxNameBytes || strings.ContainsAny(e.Job, "/\x00'\"")) {
		return bad("a name has 1 to %d characters and none of / ' \"", maxNameBytes)
	}
	for what, b := range map[string]json.RawMessage{"spec": e.Spec, "state": e.State} {
		if len(b) > maxPayloadBytes {
			return &RejectedError{Reason: RejectLimitExceeded, Job: e.Job, Presented: uint64(len(b)), Current: maxPayloadBytes, Detail: what}
		}
		if len(b) > 0 && !json.Valid(b) {
			return bad("the %s is no JSON", what)
		}
	}
	if len(e.RequiredGroups) > maxRequiredGroups {
		return &RejectedError{Reason: RejectLimitExceeded, Job: e.Job, Presented: uint64(len(e.RequiredGroups)), Current: maxRequiredGroups, Detail: "groups"}
	}
	switch e.Type {
	case EntryCreate:
		if e.JobKind == "" || len(e.JobKind) > maxNameBytes {
			return bad("a work needs a kind")
		}
	case EntryAssign:
		if e.Holder == "" || len(e.Holder) > maxNameBytes {
			return bad("nobody is named as its owner")
		}
	case EntryAnnounce, EntryConfirm, EntryAbort:
		if d := e.Operation; d == nil || d.Number == 0 || d.Name == "" || len(d.Name) > maxNameBytes {
			return bad("a deed has a number and a name")
		} else if len(d.Data) > maxPayloadBytes {
			return &RejectedError{Reason: RejectLimitExceeded, Job: e.Job, Presented: uint64(len(d.Data)), Current: maxPayloadBytes, Detail: "the deed's data"}
		} else if len(d.Data) > 0 && !json.Valid(d.Data) {
			return bad("the deed's data are no JSON")
		}
	case EntryApprove:
		if e.Approval == nil || e.Approval.Action == "" || len(e.Approval.Action) > maxNameBytes || len(e.Approval.By) > maxNameBytes {
			return bad("there is no word")
		}
	case EntryRelease, EntryRaiseToken, EntryAuthorize:
	default:
		return bad("%q is no op", e.Type)
	}
	return nil
}

// Apply takes a line of the log. What is refused changes nothing.
func (l *StateMachine) Apply(e Entry) *RejectedError {
	if r := e.Validate(); r != nil {
		return r
	}
	if e.Type == EntryRaiseToken {
		return l.raise(e)
	}
	w := l.Jobs[e.Job]
	if e.Type == EntryCreate {
		return l.create(e, w)
	}
	if w == nil {
		return reject(RejectUnknownJob, e.Job, 0, 0)
	}
	if w.Finished {
		return reject(RejectJobFinished, e.Job, 0, 0)
	}
	n := *w // works that were handed out keep what they say
	if r := l.change(&n, e); r != nil || e.Type == EntryAuthorize {
		return r
	}
	l.Revision++
	n.Revision = l.Revision
	l.Jobs[e.Job] = &n
	return nil
}

func (l *StateMachine) create(e Entry, w *Job) *RejectedError {
	if w != nil {
		return reject(RejectJobExists, e.Job, 0, 0)
	}
	var open, ended []*Job
	for _, w := range l.Jobs {
		if w.Finished {
			ended = append(ended, w)
		} else {
			open = append(open, w)
		}
	}
	if len(open) >= maxOpenJobs {
		return reject(RejectLimitExceeded, e.Job, uint64(len(open)+1), maxOpenJobs)
	}
	if len(ended) >= maxFinishedJobs { // the one that ended first goes
		slices.SortFunc(ended, func(a, b *Job) int { return cmp.Compare(a.Revision, b.Revision) })
		delete(l.Jobs, ended[0].Name)
	}
	if l.Jobs == nil {
		l.Jobs = map[string]*Job{}
	}
	l.Revision++
	l.Jobs[e.Job] = &Job{Name: e.Job, Kind: e.JobKind, Spec: bytes.Clone(e.Spec), RequiredGroups: slices.Clone(e.RequiredGroups), State: bytes.Clone(e.State), Revision: l.Revision}
	return nil
}

// raise takes a token that some place has seen, so that the next owner's is higher. Where a work is named, its owner
// can't go on with the token that it has, and gives it back.
func (l *StateMachine) raise(e Entry) *RejectedError {
	if w := l.Jobs[e.Job]; w != nil && !w.Finished && w.Holder != "" && w.Token < e.Token {
		n := *w
		n.Holder, n.Incarnation = "", 0
		n.Revision = l.Revision + 1
		l.Jobs[e.Job] = &n
	} else if e.Token <= l.HighestToken {
		return nil
	}
	l.Revision++
	l.HighestToken = max(l.HighestToken, e.Token)
	return nil
}

// change is what an entry makes of a work that is open.
func (l *StateMachine) change(w *Job, e Entry) *RejectedError {
	switch e.Type {
	case EntryAssign: // the token is that of the owner which it replaces: of two that cross, one counts
		if e.Token != w.Token {
			return reject(RejectStaleToken, e.Job, uint64(e.Token), uint64(w.Token))
		}
		if !l.ReuseTokens {
			l.HighestToken++
		}
		w.Holder, w.Incarnation, w.Token = e.Holder, e.Incarnation, l.HighestToken
		w.HolderCount++
		return nil
	case EntryApprove:
		if e.Approval.Step != w.Step {
			return reject(RejectWrongStep, e.Job, e.Approval.Step, w.Step)
		}
		if w.Approval != nil && (w.Approval.Step == w.Step || w.Approval.Persistent) {
			r := reject(RejectAlreadyApproved, e.Job, 0, 0)
			r.Detail = w.Approval.Action
			if w.Approval.By != "" {
				r.Detail += " by " + w.Approval.By
			}
			return r
		}
		word := *e.Approval
		w.Approval = &word
		return nil
	}
	if e.Token < w.Token {
		return reject(RejectStaleToken, e.Job, uint64(e.Token), uint64(w.Token))
	}
	if w.Holder == "" || e.Token > w.Token {
		return reject(RejectNotHolder, e.Job, uint64(e.Token), uint64(w.Token))
	}
	switch e.Type {
	case EntryAuthorize:
		if d := e.Operation; d != nil && (w.Operation == nil || w.Operation.Number != d.Number || w.Operation.Name != d.Name) {
			return reject(RejectOperationNotOpen, e.Job, d.Number, w.next()-1) // it was found not done, and comes late
		}
	case EntryRelease: // its process ends, so it is not asked again
		w.Holder = ""
	case EntryAnnounce:
		if w.Operation != nil {
			return reject(RejectOperationOpen, e.Job, e.Operation.Number, w.Operation.Number)
		}
		if e.Step != w.Step { // one that was late: that step's deed is done
			return reject(RejectWrongStep, e.Job, e.Step, w.Step)
		}
		if want := w.next(); e.Operation.Number != want {
			return reject(RejectOperationNotOpen, e.Job, e.Operation.Number, want)
		}
		d := *e.Operation
		if d.Token, d.Approval = e.Token, nil; e.Approval != nil { // the deed takes the word up: the one that is there
			if w.Approval == nil || *w.Approval != *e.Approval {
				return reject(RejectWrongStep, e.Job, e.Approval.Step, w.Step)
			}
			d.Approval, w.Approval = w.Approval, nil
		}
		w.Operation = &d
	case EntryConfirm, EntryAbort:
		if w.Operation == nil || w.Operation.Number != e.Operation.Number || w.Operation.Name != e.Operation.Name {
			return reject(RejectOperationNotOpen, e.Job, e.Operation.Number, w.next()-1)
		}
		word := w.Operation.Approval
		w.Operation = nil
		if e.Type == EntryAbort {
			w.AbortedOperations++
			if word != nil && (w.Approval == nil || word.Persistent && !w.Approval.Persistent) {
				w.Approval = word // it was not taken up after all; a lasting one goes before what was said meanwhile
			}
			return nil
		}
		w.Step++
		w.State = bytes.Clone(e.State)
		if w.Approval != nil && !w.Approval.Persistent {
			w.Approval = nil // it was given for the step before
		}
		if e.Finished {
			w.Finished, w.Reason, w.Holder, w.Incarnation = true, e.Reason, "", 0
		}
	}
	return nil
}

// next is the number of the next deed: each announced one has its own, whether it was proven or found not done.
func (w *Job) next() uint64 { return w.Step + uint64(w.AbortedOperations) + 1 }

// NextOperationNumber is the number that the next deed is announced by.
func (w *Job) NextOperationNumber() uint64 { return w.next() }

// OpenJobs are the names of works that have not ended, in order.
func (l *StateMachine) OpenJobs() (names []string) {
	for name, w := range l.Jobs {
		if !w.Finished {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ChangedSince are the works that changed after a count, as they did.
func (l *StateMachine) ChangedSince(count uint64) (out []Job) {
	for _, w := range l.Jobs {
		if w.Revision > count {
			out = append(out, *w)
		}
	}
	slices.SortFunc(out, func(a, b Job) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

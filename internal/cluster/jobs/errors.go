package jobs

import "fmt"

// RejectCode identifies why an entry is rejected.
type RejectCode string

// The codes. They are stored and sent: the values never change.
const (
	RejectStaleToken       RejectCode = "token_old"   // a later holder was assigned
	RejectNotHolder        RejectCode = "not_owner"   // the job has no holder with that token
	RejectUnknownJob       RejectCode = "no_work"     // no job has that name
	RejectJobExists        RejectCode = "work_exists" // a job has that name
	RejectOperationOpen    RejectCode = "deed_open"   // another operation is announced
	RejectOperationNotOpen RejectCode = "no_deed"     // that operation is not announced
	RejectWrongStep        RejectCode = "step_passed" // the job is at another step than the entry is for
	RejectAlreadyApproved  RejectCode = "word_given"  // an approval was given for this step before
	RejectJobFinished      RejectCode = "work_ended"
	RejectLimitExceeded    RejectCode = "too_much"
	RejectMalformed        RejectCode = "malformed"
)

// rejectTexts holds the error message of each code. The messages are sent between poolers of different versions, so they never
// change and still use the terms of the first version: "work" is a job, "owner" its lease holder, "deed" an operation, "word"
// an approval.
var rejectTexts = map[RejectCode]string{
	RejectStaleToken:       "a later owner has been named",
	RejectNotHolder:        "nobody owns it under that token",
	RejectUnknownJob:       "there is no such work",
	RejectJobExists:        "there is a work of that name",
	RejectOperationOpen:    "another deed is announced and not settled",
	RejectOperationNotOpen: "that deed is not open",
	RejectWrongStep:        "it is at another step",
	RejectAlreadyApproved:  "a word was given for this step already",
	RejectJobFinished:      "it has ended",
	RejectLimitExceeded:    "that is more than is kept",
	RejectMalformed:        "the entry makes no sense",
}

// rejectAdvice tells operators, for each code, what they can do.
var rejectAdvice = map[RejectCode]string{
	RejectStaleToken:       "nothing: the present lease holder goes on after the last confirmed operation; ashstand jobs list shows who that is",
	RejectNotHolder:        "nothing: the present lease holder goes on after the last confirmed operation; ashstand jobs list shows who that is",
	RejectUnknownJob:       "ashstand jobs list shows the names; a finished job is forgotten after some others have finished",
	RejectJobExists:        "give the new job another name",
	RejectJobFinished:      "give the new job another name",
	RejectOperationOpen:    "nothing: the lease holder finds out whether that operation was executed before it goes on",
	RejectOperationNotOpen: "nothing: the lease holder finds out whether that operation was executed before it goes on",
	RejectWrongStep:        "look at the job's state again and approve for the step that it shows",
	RejectAlreadyApproved:  "wait until the earlier approval is used, then look again",
	RejectLimitExceeded:    "let open jobs finish first, or make the spec smaller",
}

// RejectedError reports that an entry was rejected and changed nothing. Its JSON form is stored and sent: keys never change.
type RejectedError struct {
	Reason    RejectCode `json:"code"`
	Job       string     `json:"work,omitempty"`
	Presented uint64     `json:"given,omitempty"` // the token, step or operation number that the entry named
	Current   uint64     `json:"holds,omitempty"` // the value in the state machine
	Detail    string     `json:"detail,omitempty"`
}

// Error implements error. The text is sent between poolers, see rejectTexts.
func (e *RejectedError) Error() string {
	text := rejectTexts[e.Reason]
	if e.Job != "" {
		text = "work " + e.Job + ": " + text
	}
	if e.Presented != 0 || e.Current != 0 {
		text += fmt.Sprintf(" (given %d, the log has %d)", e.Presented, e.Current)
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Code returns the stable code that operators see.
func (e *RejectedError) Code() string { return string(e.Reason) }

// Advice tells operators what they can do.
func (e *RejectedError) Advice() string {
	if advice, ok := rejectAdvice[e.Reason]; ok {
		return advice
	}
	return "check the entry against docs/owner.md"
}

func reject(code RejectCode, job string, presented, current uint64) *RejectedError {
	return &RejectedError{Reason: code, Job: job, Presented: presented, Current: current}
}

// FencedError reports that a database host rejected a token because it has seen a higher one.
type FencedError struct {
	Target    string // the host or group
	Presented FencingToken
	Current   FencingToken // 0: unknown
}

// Error implements error.
func (e *FencedError) Error() string {
	return "fenced: " + e.Target + " has seen a later lease holder's token"
}

// Code returns the stable code that operators see.
func (e *FencedError) Code() string { return "fenced" }

// Advice tells operators what they can do.
func (e *FencedError) Advice() string {
	return "nothing, unless the cluster was bootstrapped anew: then the job's next lease holder gets a higher token than " + e.Target + " has seen"
}

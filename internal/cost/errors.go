package cost

import (
	"fmt"
	"strings"
)

// BadInput is a value that can't be used.
type BadInput struct {
	What, Value, Allowed string
	Cause                error
}

func (e *BadInput) Error() string {
	return fmt.Sprintf("%s is %q; allowed is %s", e.What, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *BadInput) Unwrap() error { return e.Cause }

// Code is the error's short word.
func (e *BadInput) Code() string { return "bad_input" }

// Advice says what can be done.
func (e *BadInput) Advice() string { return "give " + e.What + " as " + e.Allowed }

// Cycle is a plan in which steps wait for each other.
type Cycle struct {
	Plan  string
	Steps []string // those that never begin
}

func (e *Cycle) Error() string {
	return fmt.Sprintf("plan %q: steps wait for each other: %s", e.Plan, strings.Join(e.Steps, ", "))
}

// Code is the error's short word.
func (e *Cycle) Code() string { return "plan_cycle" }

// Advice says what can be done.
func (e *Cycle) Advice() string { return "take one of the steps out of what another waits for" }

// BadPlan is a plan that says what can't be.
type BadPlan struct {
	Plan, Step, Key, Value, Allowed string
}

func (e *BadPlan) Error() string {
	return fmt.Sprintf("plan %q: step %q: %s is %q; allowed is %s", e.Plan, e.Step, e.Key, e.Value, e.Allowed)
}

// Code is the error's short word.
func (e *BadPlan) Code() string { return "plan_bad" }

// Advice says what can be done.
func (e *BadPlan) Advice() string { return "set " + e.Key + " to " + e.Allowed }

// UnknownStatement is a statement of which nothing is known, nor of its class.
type UnknownStatement struct {
	Statement Fingerprint
	Class     string
}

func (e *UnknownStatement) Error() string {
	return fmt.Sprintf("no evidence of statement %v, nor of its class %q", e.Statement, e.Class)
}

// Code is the error's short word.
func (e *UnknownStatement) Code() string { return "statement_unknown" }

// Advice says what can be done.
func (e *UnknownStatement) Advice() string {
	return "run some requests of this class, or name a class that was served"
}

// CantTell is an estimate that can't be given.
type CantTell struct {
	Reason string
	Cause  error
}

func (e *CantTell) Error() string { return "can't tell: " + e.Reason }

// Unwrap returns the cause.
func (e *CantTell) Unwrap() error { return e.Cause }

// Code is the error's short word.
func (e *CantTell) Code() string { return "cant_tell" }

// Advice says what can be done.
func (e *CantTell) Advice() string { return "bring evidence of what is missing: " + e.Reason }

// BadEvidence is a summary or version that was not taken.
type BadEvidence struct {
	Source, Reason string
}

func (e *BadEvidence) Error() string { return fmt.Sprintf("evidence of %q: %s", e.Source, e.Reason) }

// Code is the error's short word.
func (e *BadEvidence) Code() string { return "evidence_bad" }

// Advice says what can be done.
func (e *BadEvidence) Advice() string { return "look at the pooler that it came from; it was left out" }

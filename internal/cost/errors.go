package cost

import (
	"fmt"
	"strings"
)

// InvalidInputError is a value that can't be parsed.
type InvalidInputError struct {
	What, Value, Allowed string
	Cause                error
}

// Error describes it in one line.
func (e *InvalidInputError) Error() string {
	return fmt.Sprintf("%s is %q; allowed is %s", e.What, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *InvalidInputError) Unwrap() error { return e.Cause }

// Code is the stable name of the error.
func (e *InvalidInputError) Code() string { return "bad_input" }

// Advice says what an operator can do.
func (e *InvalidInputError) Advice() string { return "give " + e.What + " as " + e.Allowed }

// CycleError is a plan in which steps wait for each other.
type CycleError struct {
	Plan  string
	Steps []string // those that never begin
}

// Error describes it in one line.
func (e *CycleError) Error() string {
	return fmt.Sprintf("plan %q: steps wait for each other: %s", e.Plan, strings.Join(e.Steps, ", "))
}

// Code is the stable name of the error.
func (e *CycleError) Code() string { return "plan_cycle" }

// Advice says what an operator can do.
func (e *CycleError) Advice() string { return "take one of the steps out of what another waits for" }

// InvalidPlanError is a plan in which a value is out of range.
type InvalidPlanError struct {
	Plan, Step, Key, Value, Allowed string
}

// Error describes it in one line.
func (e *InvalidPlanError) Error() string {
	return fmt.Sprintf("plan %q: step %q: %s is %q; allowed is %s", e.Plan, e.Step, e.Key, e.Value, e.Allowed)
}

// Code is the stable name of the error.
func (e *InvalidPlanError) Code() string { return "plan_bad" }

// Advice says what an operator can do.
func (e *InvalidPlanError) Advice() string { return "set " + e.Key + " to " + e.Allowed }

// UnknownStatementError is a statement without evidence, whose class has none either.
type UnknownStatementError struct {
	Statement Fingerprint
	Class     string
}

// Error describes it in one line.
func (e *UnknownStatementError) Error() string {
	return fmt.Sprintf("no evidence of statement %v, nor of its class %q", e.Statement, e.Class)
}

// Code is the stable name of the error.
func (e *UnknownStatementError) Code() string { return "statement_unknown" }

// Advice says what an operator can do.
func (e *UnknownStatementError) Advice() string {
	return "run some requests of this class, or name a class that was served"
}

// NoEstimateError is an estimate that the evidence does not allow.
type NoEstimateError struct {
	Reason string
	Cause  error
}

// Error describes it in one line.
func (e *NoEstimateError) Error() string { return "can't tell: " + e.Reason }

// Unwrap returns the cause.
func (e *NoEstimateError) Unwrap() error { return e.Cause }

// Code is the stable name of the error.
func (e *NoEstimateError) Code() string { return "cant_tell" }

// Advice says what an operator can do.
func (e *NoEstimateError) Advice() string { return "bring evidence of what is missing: " + e.Reason }

// InvalidEvidenceError is a summary or snapshot that was rejected.
type InvalidEvidenceError struct {
	Source, Reason string
}

// Error describes it in one line.
func (e *InvalidEvidenceError) Error() string {
	return fmt.Sprintf("evidence of %q: %s", e.Source, e.Reason)
}

// Code is the stable name of the error.
func (e *InvalidEvidenceError) Code() string { return "evidence_bad" }

// Advice says what an operator can do.
func (e *InvalidEvidenceError) Advice() string {
	return "look at the pooler that it came from; it was left out"
}

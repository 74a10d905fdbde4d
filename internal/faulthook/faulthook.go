// Package faulthook injects faults that break rules of the pooler, so that tests can show that the checks of
// these rules detect a violation. The hooks exist only in programs built with the tag faulthooks; in a
// release build no fault is ever active.
package faulthook

// Fault is a fault that can be injected. The environment variable ASHSTAND_FAULT lists the active faults of a
// process, separated by commas.
type Fault string

// The faults.
const (
	// ForgetRun reports every failed attempt to routing as not begun, even if it ran.
	ForgetRun Fault = "forget_run"
	// CarryOutInvalidDecisions carries out decisions that contradict the facts of a request. They are still
	// counted as rule violations.
	CarryOutInvalidDecisions Fault = "carry_out"
	// SuppressViolations suppresses the counting and logging of rule violations.
	SuppressViolations Fault = "count_nothing"
	// ServeStale serves an answer even if its stamped position is too old for the request.
	ServeStale Fault = "serve_stale"
	// IgnoreSlowStart chooses warming hosts, and sends requests to them, as if they were warm.
	IgnoreSlowStart Fault = "ignore_slow_start"
)

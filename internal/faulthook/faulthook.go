// Package faulthook breaks rules of the pooler on purpose, so that the checks behind them are seen to fail. A program has its hooks
// only if it was built with the tag faulthooks; in a release they are constants that are false.
package faulthook

// Fault names a rule that is broken. The environment variable ASHSTAND_FAULT holds those of a process, with commas between them.
type Fault string

// The faults.
const (
	// ForgetRun has routing told that an attempt which ran did not.
	ForgetRun Fault = "forget_run"
	// CarryOut has the decisions that contradict the facts of a request carried out. They are counted as ever.
	CarryOut Fault = "carry_out"
	// CountNothing has rules that did not hold left out of the counters.
	CountNothing Fault = "count_nothing"
	// ServeStale has an answer served though it is too old by its own stamp.
	ServeStale Fault = "serve_stale"
	// IgnoreSlowStart has a warming host chosen and written to as if it were warm.
	IgnoreSlowStart Fault = "ignore_slow_start"
)

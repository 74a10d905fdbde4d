// Package cost estimates what query plans cost across database hosts of unlike hardware, with 95 % intervals.
//
// A Model gathers evidence from requests that were served: sums from which work can be told apart from waiting, by class,
// statement and kind of hardware. Summaries of other poolers are merged into it in any order. A Snapshot is the evidence of
// all sources at one time; an Estimator answers from one snapshot, and never changes.
//
// The package does no I/O and has no clock, goroutine or logger. Nothing in it but an Estimator is safe for concurrent use.
// docs/cost.md derives what is computed here.
package cost

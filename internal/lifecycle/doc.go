// Package lifecycle decides whether something may be done now: a request started, an attempt written to a host, a request
// retried, a client's connection closed. Package routing says where a request goes; this package says whether now.
//
// It also names the rules that are checked at run time. A check is not the decision asked twice: it looks at facts after the
// act, such as the time read after a write.
//
// The package is pure: it has no clock, no logger and no I/O. Times are float64 Unix milliseconds and are passed in.
package lifecycle

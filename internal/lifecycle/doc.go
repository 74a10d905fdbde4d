// Package lifecycle decides whether an operation is allowed now: to start a request, to write an attempt to a
// host, to retry or reject a request, or to close a client connection. Package routing decides where a
// request goes, and this package whether it may go there now.
//
// The package also defines the rules that are checked at run time. A check does not repeat the decision: it
// uses facts that are known only after the operation, such as the time read after a write.
//
// The package is pure: it has no clock, no logger and no I/O. Times are float64 Unix milliseconds and are
// passed in.
package lifecycle

// Package flight implements Arrow Flight SQL: a front for clients and a backend for database hosts. Both use the same core and
// follow the same rules as for PostgreSQL's protocol.
//
// A statement has the same comment as in the other protocols. A read is a query: GetFlightInfo returns a ticket without running
// the statement, and DoGet runs it. A write is a DoPut with CommandStatementUpdate. The trailing metadata carries what PostgreSQL's
// protocol reports in parameters (part, caught_up_to and gauges), and in returning-bin the value that a write returned.
//
// gRPC owns the goroutines and sockets of both sides. Front.Drain and Front.Stop end those of the front; Hosts.Close closes the
// backend's connections.
package flight

import (
	"errors"
	"strconv"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/protoadapt"
	"google.golang.org/protobuf/types/known/durationpb"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
)

// Keys of the trailing metadata.
const (
	metaRole      = "part"
	metaPosition  = "caught_up_to"
	metaGauges    = "gauges"
	metaReturning = "returning-bin"
)

// Values of metaRole.
const (
	rolePrimary = "master"
	roleReplica = "replica"
)

// A host reports that a request did not run only by an ErrorInfo of this domain with one of these reasons. An Unavailable without
// it may come from a host or a proxy that crashed while the request was running.
const (
	domain               = "ashstand"
	reasonNotPrimary     = "NOT_PRIMARY"    // with FailedPrecondition: a write at a host that is not the primary
	reasonBehind         = "TOO_FAR_BEHIND" // with FailedPrecondition: a read that needs newer data than the host has
	reasonHostRejected   = "TURNED_AWAY"    // with Unavailable or ResourceExhausted: at capacity, draining, or stopped
	reasonPoolerRejected = "REFUSED"        // with Unavailable and RetryInfo: a rejection by the front itself
)

// Bounds on what a peer may send, in bytes.
const (
	maxRequest = 192 << 10
	maxAnswer  = 256 << 10
	maxHeaders = 192 << 10 // the trailing metadata can hold a returned value, in base64
)

// maxPosition is the exclusive upper bound of a position in milliseconds: from there on, a float64 can't hold fractions.
const maxPosition = 1 << 52

var errUnexpectedAnswer = errors.New("an answer of a form that no request asks for")

// newStatus returns a status error. It adds an ErrorInfo if reason is not empty, and a RetryInfo if retryAfterMillis is above 0.
func newStatus(code codes.Code, text, reason string, retryAfterMillis float64) error {
	s := status.New(code, text)
	var details []protoadapt.MessageV1
	if reason != "" {
		details = append(details, protoadapt.MessageV1Of(&errdetails.ErrorInfo{Reason: reason, Domain: domain}))
	}
	if retryAfterMillis > 0 {
		details = append(details, protoadapt.MessageV1Of(&errdetails.RetryInfo{
			RetryDelay: durationpb.New(time.Duration(retryAfterMillis * float64(time.Millisecond))),
		}))
	}
	if len(details) > 0 {
		if with, err := s.WithDetails(details...); err == nil {
			s = with
		}
	}
	return s.Err()
}

// resultStatus returns the status error for a final answer that does not come from a host.
func resultStatus(r *edge.Result) error {
	switch r.Verdict {
	case edge.Rejected:
		if r.IsRejection() { // otherwise the request may have run
			return newStatus(codes.Unavailable, r.Detail, reasonPoolerRejected, r.RetryAfterMillis)
		}
	case edge.TimedOut:
		return newStatus(codes.DeadlineExceeded, r.Detail, "", 0)
	case edge.Invalid:
		return newStatus(codes.InvalidArgument, r.Detail, "", 0)
	case edge.Disconnected:
		return newStatus(codes.Canceled, "the client has gone", "", 0)
	}
	return newStatus(codes.Unknown, r.Detail, "", 0)
}

// exchangeFacts describes what is known about a request when its exchange fails.
type exchangeFacts struct {
	isWrite  bool
	hasBegun bool // a message of the result has arrived
}

// classifyError converts the error that ended an exchange after its request was sent into an outcome code, and into what the error
// proves about the execution of the request.
func classifyError(err error, facts exchangeFacts) (dispatch.Code, dispatch.Execution) {
	execution := dispatch.MayHaveRun
	if facts.hasBegun {
		execution = dispatch.Ran
	}
	s, ok := status.FromError(err)
	if errors.Is(err, errUnexpectedAnswer) || !ok { // what gRPC delivered was not a valid answer
		return dispatch.Malformed, execution
	}
	for _, d := range s.Details() {
		info, ok := d.(*errdetails.ErrorInfo)
		if !ok || info.Domain != domain || facts.hasBegun { // after part of a result, a reason proves nothing
			continue
		}
		if code, proof := rejection(s.Code(), info.Reason, facts.isWrite); code != dispatch.ServerError {
			return code, proof
		}
	}
	switch s.Code() {
	case codes.DeadlineExceeded:
		return dispatch.NoAnswer, execution
	case codes.Canceled:
		return dispatch.Cancelled, execution
	case codes.Unavailable:
		return dispatch.ConnectionLost, execution
	}
	return dispatch.ServerError, execution
}

// rejection returns the outcome code for a status with a reason of the domain, and what it proves about the execution. The code is
// ServerError if the status is not a rejection. A read does not need the primary, and a write does not depend on the age of data:
// a status that says otherwise is contradictory and does not prove that the request did not run.
func rejection(code codes.Code, reason string, isWrite bool) (dispatch.Code, dispatch.Execution) {
	switch {
	case code == codes.FailedPrecondition && (reason == reasonNotPrimary || reason == reasonBehind):
		if isWrite == (reason == reasonNotPrimary) {
			return dispatch.Misdirected, dispatch.RejectedUnexecuted
		}
		return dispatch.Misdirected, dispatch.MayHaveRun
	case (code == codes.Unavailable || code == codes.ResourceExhausted) &&
		(reason == reasonHostRejected || reason == reasonPoolerRejected):
		return dispatch.Rejected, dispatch.RejectedUnexecuted
	}
	return dispatch.ServerError, dispatch.MayHaveRun
}

// readTrailer copies the trailing metadata into an answer and returns the outcome that the metadata reports.
func readTrailer(md metadata.MD, a *edge.Answer) dispatch.Outcome {
	get := func(name string) string {
		if v := md.Get(name); len(v) > 0 {
			return v[len(v)-1]
		}
		return ""
	}
	a.Role, a.LoadReport = get(metaRole), get(metaGauges)
	if x, err := strconv.ParseFloat(get(metaPosition), 64); err == nil && x > 0 && x < maxPosition {
		a.Position = x
	}
	o := dispatch.Outcome{Position: a.Position, Report: edge.ParseLoadReport(a.LoadReport)}
	switch a.Role {
	case rolePrimary:
		o.Role = dispatch.Primary
	case roleReplica:
		o.Role = dispatch.Replica
	}
	return o
}

// writeTrailer returns the trailing metadata of an answer.
func writeTrailer(a *edge.Answer) metadata.MD {
	md := metadata.MD{}
	for name, value := range map[string]string{metaRole: a.Role, metaGauges: a.LoadReport} {
		if value != "" {
			md.Set(name, value)
		}
	}
	if a.Position > 0 {
		md.Set(metaPosition, strconv.FormatFloat(a.Position, 'f', -1, 64))
	}
	return md
}

// Package flight speaks Arrow Flight SQL: a front for clients and a backend for db hosts, on the same core and
// under the same rules as the platform's protocol.
//
// The statement and its comment are those of every wire. Reads are queries: GetFlightInfo makes a ticket and
// runs nothing, DoGet runs it. Writes are DoPut with CommandStatementUpdate. What PostgreSQL's protocol tells in
// parameters stands in the trailing metadata: part, caught_up_to and gauges, and what a write returned in
// returning-bin.
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

// Names of the trailing metadata.
const (
	metaRole      = "part"
	metaPosition  = "caught_up_to"
	metaGauges    = "gauges"
	metaReturning = "returning-bin"
)

// Words of metaRole.
const (
	rolePrimary = "master"
	roleReplica = "replica"
)

// A host says that nothing ran by an ErrorInfo of this domain with one of these reasons, and in no other way:
// a bare Unavailable may come from a host or a proxy that died with the request running.
const (
	domain               = "ashstand"
	reasonNotPrimary     = "NOT_PRIMARY"    // with FailedPrecondition: a write, and this is no primary
	reasonBehind         = "TOO_FAR_BEHIND" // with FailedPrecondition: a read that needs newer data
	reasonHostRejected   = "TURNED_AWAY"    // with Unavailable or ResourceExhausted: full, draining, or over
	reasonPoolerRejected = "REFUSED"        // with Unavailable and RetryInfo: what the front itself refuses
)

// Bounds on what a peer may send.
const (
	maxRequest = 192 << 10
	maxAnswer  = 256 << 10
	maxHeaders = 192 << 10 // a returned value stands in the metadata, in base64
)

func newStatus(code codes.Code, text, reason string, after float64) error {
	s := status.New(code, text)
	var details []protoadapt.MessageV1
	if reason != "" {
		details = append(details, protoadapt.MessageV1Of(&errdetails.ErrorInfo{Reason: reason, Domain: domain}))
	}
	if after > 0 {
		details = append(details, protoadapt.MessageV1Of(&errdetails.RetryInfo{
			RetryDelay: durationpb.New(time.Duration(after * float64(time.Millisecond))),
		}))
	}
	if len(details) > 0 {
		if with, err := s.WithDetails(details...); err == nil {
			s = with
		}
	}
	return s.Err()
}

// resultStatus words a final answer that is none of the host's.
func resultStatus(r *edge.Result) error {
	switch r.Verdict {
	case edge.Rejected:
		return newStatus(codes.Unavailable, r.Detail, reasonPoolerRejected, r.RetryAfterMillis)
	case edge.TimedOut:
		return newStatus(codes.DeadlineExceeded, r.Detail, "", 0)
	case edge.Invalid:
		return newStatus(codes.InvalidArgument, r.Detail, "", 0)
	case edge.Disconnected:
		return newStatus(codes.Canceled, "the client has gone", "", 0)
	}
	return newStatus(codes.Unknown, r.Detail, "", 0)
}

// classifyError reads what a host's error proves, once the request was sent.
func classifyError(err error) dispatch.Code {
	s, ok := status.FromError(err)
	if errors.Is(err, errUnexpectedAnswer) || !ok { // what gRPC delivered was no answer
		return dispatch.Malformed
	}
	for _, d := range s.Details() {
		info, ok := d.(*errdetails.ErrorInfo)
		if !ok || info.Domain != domain {
			continue
		}
		switch {
		case s.Code() == codes.FailedPrecondition && (info.Reason == reasonNotPrimary || info.Reason == reasonBehind):
			return dispatch.Misdirected
		case (s.Code() == codes.Unavailable || s.Code() == codes.ResourceExhausted) &&
			(info.Reason == reasonHostRejected || info.Reason == reasonPoolerRejected):
			return dispatch.Rejected
		}
	}
	switch s.Code() {
	case codes.DeadlineExceeded:
		return dispatch.NoAnswer
	case codes.Canceled:
		return dispatch.Cancelled
	case codes.Unavailable:
		return dispatch.ConnectionLost
	}
	return dispatch.ServerError
}

// readTrailer reads the trailing metadata.
func readTrailer(md metadata.MD, a *edge.Answer) dispatch.Outcome {
	get := func(name string) string {
		if v := md.Get(name); len(v) > 0 {
			return v[len(v)-1]
		}
		return ""
	}
	a.Role, a.LoadReport = get(metaRole), get(metaGauges)
	if x, err := strconv.ParseFloat(get(metaPosition), 64); err == nil && x > 0 && x < 1<<52 {
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

// writeTrailer writes it.
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

var errUnexpectedAnswer = errors.New("an answer of a form that no request asks for")

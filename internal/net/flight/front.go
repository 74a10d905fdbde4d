package flight

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"

	"ashstand/internal/edge"
	"ashstand/internal/sqlcomment"
)

// Front serves Flight SQL clients. gRPC runs a goroutine for each request, and waits for them in Drain.
type Front struct {
	flightsql.BaseServer
	edge   *edge.Edge
	server *grpc.Server
	ending context.Context // ends at the cut
	cut    context.CancelCauseFunc
}

const (
	maxStreams      = 64 // open requests on one connection
	maxRequestHead  = 16 << 10
	bufferSize      = 8 << 10
	streamWindow    = 64 << 10
	connWindow      = 256 << 10
	connectTimeout  = 2200 * time.Millisecond // as PostgreSQL's front
	maxIdle         = 5 * time.Minute
	keepaliveTime   = 30 * time.Second
	keepaliveWait   = 10 * time.Second
	keepaliveLeast  = 10 * time.Second // between two of a client
	rowCountUnknown = -1               // in a DoPut result
)

// NewFront returns a front that brings requests to e.
func NewFront(e *edge.Edge) *Front {
	f := &Front{edge: e}
	f.ending, f.cut = context.WithCancelCause(context.Background())
	f.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequest), grpc.MaxHeaderListSize(maxRequestHead), grpc.MaxConcurrentStreams(maxStreams),
		// Fixed and small: one core and little memory, shared with the other front. Setting the windows also
		// turns off their growth by the estimated bandwidth.
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(connWindow),
		grpc.ConnectionTimeout(connectTimeout),
		// Devices on poor links vanish without closing their connections.
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxIdle, Time: keepaliveTime, Timeout: keepaliveWait}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveLeast, PermitWithoutStream: true}))
	flight.RegisterFlightServiceServer(f.server, flightsql.NewFlightServer(f))
	return f
}

// Serve accepts up to so many connections at once until Drain or Stop; further ones wait in the listen queue.
func (f *Front) Serve(l net.Listener, connections int) error {
	return f.server.Serve(netutil.LimitListener(l, connections))
}

// Drain accepts no new connection, sends clients a GOAWAY, and returns when every request has its answer.
func (f *Front) Drain() { f.server.GracefulStop() }

// Cut gives every request that is open its final answer: the process is about to end. Drain then returns soon.
func (f *Front) Cut() { f.cut(edge.ErrProcessEnding) }

// Stop closes all connections, with what is still open on them.
func (f *Front) Stop() { f.server.Stop() }

func invalid(text string) error { return newStatus(codes.InvalidArgument, text, "", 0) }

// query parses a statement that is to be run as a query. A write is rejected: a ticket can be used twice, and would run it
// twice.
func (f *Front) query(text string, transaction []byte) (sqlcomment.Statement, error) {
	s, err := f.parse(text, transaction)
	if err == nil && f.edge.IsWrite(s.Class) {
		err = invalid("class " + s.Class + " writes: use CommandStatementUpdate")
	}
	return s, err
}

func (f *Front) parse(text string, transaction []byte) (sqlcomment.Statement, error) {
	s, err := sqlcomment.Parse(text)
	switch {
	case err != nil:
		return s, invalid(err.Error())
	case len(transaction) > 0:
		return s, invalid("transactions are not served")
	}
	return s, nil
}

// GetFlightInfoStatement makes a ticket, which is the statement itself, and runs nothing.
func (f *Front) GetFlightInfoStatement(_ context.Context, q flightsql.StatementQuery, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if _, err := f.query(q.GetQuery(), q.GetTransactionId()); err != nil {
		return nil, err
	}
	ticket, err := flightsql.CreateStatementQueryTicket([]byte(q.GetQuery()))
	if err != nil {
		return nil, newStatus(codes.Internal, err.Error(), "", 0)
	}
	// No location: the ticket is valid on this service. No schema: only the host that answers knows it.
	return &flight.FlightInfo{
		FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}},
	}, nil
}

// DoGetStatement runs a ticket.
func (f *Front) DoGetStatement(ctx context.Context, t flightsql.StatementQueryTicket) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	s, err := f.query(string(t.GetStatementHandle()), nil)
	if err != nil {
		return nil, nil, err
	}
	a, err := f.run(ctx, &s)
	if err != nil {
		return nil, nil, err
	}
	schema, b := recordBatch(a)
	out := make(chan flight.StreamChunk, 1)
	out <- flight.StreamChunk{Data: b}
	close(out)
	return schema, out, nil
}

// DoPutCommandStatementUpdate runs a write. The result holds the count of rows; a value that the statement returns stands in the
// trailing metadata.
func (f *Front) DoPutCommandStatementUpdate(ctx context.Context, u flightsql.StatementUpdate) (int64, error) {
	s, err := f.parse(u.GetQuery(), u.GetTransactionId())
	if err != nil {
		return 0, err
	}
	if !f.edge.IsWrite(s.Class) {
		return 0, invalid("class " + s.Class + " only reads: use CommandStatementQuery")
	}
	a, err := f.run(ctx, &s)
	if err != nil {
		return 0, err
	}
	if !a.Null {
		md := writeTrailer(&edge.Answer{})
		md.Set(metaReturning, string(a.Value))
		_ = grpc.SetTrailer(ctx, md)
	}
	count, err := strconv.ParseInt(a.Tag[strings.LastIndexByte(a.Tag, ' ')+1:], 10, 64)
	if err != nil {
		count = rowCountUnknown
	}
	return count, nil
}

// run brings a statement to its final answer. The client waits until the earlier of the comment's d and its call's deadline.
func (f *Front) run(ctx context.Context, s *sqlcomment.Statement) (*edge.Answer, error) {
	if !f.edge.Ready() {
		return nil, newStatus(codes.Unavailable, "no list of hosts is held yet", reasonPoolerRejected, 0)
	}
	if rejected := f.edge.Begin(s); rejected != nil {
		return nil, resultStatus(rejected)
	}
	defer f.edge.End(s)
	arrived := f.edge.Now()
	if at, ok := ctx.Deadline(); ok {
		s.TimeoutMillis = min(s.TimeoutMillis, float64(time.Until(at))/1e6)
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(f.ending, func() { end(context.Cause(f.ending)) })()
	r := f.edge.Do(ctx, s, arrived)
	if r.Verdict != edge.Served {
		return nil, resultStatus(&r)
	}
	_ = grpc.SetTrailer(ctx, writeTrailer(&r.Answer))
	return &r.Answer, nil
}

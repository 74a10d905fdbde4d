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

// Front serves Flight SQL clients. gRPC runs a goroutine for each request; Drain waits for them.
type Front struct {
	flightsql.BaseServer
	edge   *edge.Edge
	server *grpc.Server
	// ending is cancelled by Cut.
	ending context.Context
	cut    context.CancelCauseFunc
}

const (
	maxStreams        = 64 // open requests on one connection
	maxRequestHeaders = 16 << 10
	bufferSize        = 8 << 10
	streamWindow      = 64 << 10
	connWindow        = 256 << 10
	connectTimeout    = 2200 * time.Millisecond // the same as in the PostgreSQL front
	maxIdle           = 5 * time.Minute
	keepaliveTime     = 30 * time.Second
	keepaliveTimeout  = 10 * time.Second
	// keepaliveMinInterval is the minimum interval between two keepalive pings of one client.
	keepaliveMinInterval = 10 * time.Second
	// rowCountUnknown is the record count of a DoPut result if the host's command tag has none.
	rowCountUnknown = -1
)

// NewFront returns a front that passes requests to e.
func NewFront(e *edge.Edge) *Front {
	f := &Front{edge: e}
	f.ending, f.cut = context.WithCancelCause(context.Background())
	f.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequest), grpc.MaxHeaderListSize(maxRequestHeaders), grpc.MaxConcurrentStreams(maxStreams),
		// Buffers and windows are small and fixed, because the process has one core and little memory, and shares them
		// with the other front. Setting the windows also disables gRPC's dynamic window sizing by estimated bandwidth.
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(connWindow),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.ChainUnaryInterceptor(f.recoverUnary), grpc.ChainStreamInterceptor(f.recoverStream, checkDescriptor),
		// Clients on poor links disappear without closing their connections.
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxIdle, Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMinInterval, PermitWithoutStream: true}))
	flight.RegisterFlightServiceServer(f.server, flightsql.NewFlightServer(f))
	return f
}

// Serve accepts connections until Drain or Stop. It holds at most the given number of connections at once; further ones wait in
// the listen queue.
func (f *Front) Serve(l net.Listener, connections int) error {
	return f.server.Serve(netutil.LimitListener(l, connections))
}

// Drain stops accepting connections, sends clients a GOAWAY, and returns when every request has been answered.
func (f *Front) Drain() { f.server.GracefulStop() }

// Cut ends every open request with a final answer, because the process is about to end. Drain then returns soon.
func (f *Front) Cut() { f.cut(edge.ErrProcessEnding) }

// Stop closes all connections and aborts their open requests.
func (f *Front) Stop() { f.server.Stop() }

func invalid(text string) error { return newStatus(codes.InvalidArgument, text, "", 0) }

// query parses a statement that is to be run as a query. It rejects writes, because a ticket can be used twice and would then run
// the write twice.
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

// GetFlightInfoStatement returns a ticket that contains the statement itself. It does not run the statement.
func (f *Front) GetFlightInfoStatement(_ context.Context, q flightsql.StatementQuery, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	if _, err := f.query(q.GetQuery(), q.GetTransactionId()); err != nil {
		return nil, err
	}
	ticket, err := flightsql.CreateStatementQueryTicket([]byte(q.GetQuery()))
	if err != nil {
		return nil, newStatus(codes.Internal, err.Error(), "", 0)
	}
	// There is no location, because the ticket is valid on this service, and no schema, because only the host that answers
	// the request knows it.
	return &flight.FlightInfo{
		FlightDescriptor: d, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}},
	}, nil
}

// DoGetStatement runs the statement of a ticket.
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

// DoPutCommandStatementUpdate runs a write. The result holds the row count; a value that the statement returns is sent in the
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

// run executes a statement and returns its final answer. Its time limit is the earlier of the field d of the statement's comment
// and the deadline of the client's call.
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

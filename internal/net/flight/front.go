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

// Front serves Flight SQL clients.
type Front struct {
	flightsql.BaseServer
	edge   *edge.Edge
	server *grpc.Server
}

const maxStreams = 64 // requests under way on one connection

// NewFront returns a front that brings requests to e.
func NewFront(e *edge.Edge) *Front {
	f := &Front{edge: e}
	f.server = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxRequest), grpc.MaxHeaderListSize(16<<10), grpc.MaxConcurrentStreams(maxStreams),
		// Fixed and small: one core and little memory, shared with the other front. Setting the windows also
		// turns off their growth by the estimated bandwidth.
		grpc.ReadBufferSize(8<<10), grpc.WriteBufferSize(8<<10),
		grpc.InitialWindowSize(64<<10), grpc.InitialConnWindowSize(256<<10),
		grpc.ConnectionTimeout(2200*time.Millisecond), // as the other front,
		// Devices on poor links vanish without a word.
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: 5 * time.Minute, Time: 30 * time.Second,
			Timeout: 10 * time.Second,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 10 * time.Second, PermitWithoutStream: true}))
	flight.RegisterFlightServiceServer(f.server, flightsql.NewFlightServer(f))
	return f
}

// Serve accepts up to so many connections at once until Drain; later ones wait in the listen queue.
func (f *Front) Serve(l net.Listener, connections int) error {
	return f.server.Serve(netutil.LimitListener(l, connections))
}

// Drain takes no new connection, tells clients to go elsewhere, and returns when every request has its answer.
func (f *Front) Drain() { f.server.GracefulStop() }

// Stop cuts off what is left.
func (f *Front) Stop() { f.server.Stop() }

func invalid(text string) error { return newStatus(codes.InvalidArgument, text, "", 0) }

// query reads a statement that is to be run as a query. A write is none: a ticket can be used twice, and would
// run it twice.
func (f *Front) query(text string, transaction []byte) (sqlcomment.Statement, error) {
	s, err := f.parse(text, transaction)
	if err == nil && f.edge.Writes(s.Class) {
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
	// No location: the ticket is good on this service. No schema: only the host that answers knows it.
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

// DoPutCommandStatementUpdate runs a write. The count of rows is what the protocol has room for; a value that
// the statement returns stands in the trailing metadata.
func (f *Front) DoPutCommandStatementUpdate(ctx context.Context, u flightsql.StatementUpdate) (int64, error) {
	s, err := f.parse(u.GetQuery(), u.GetTransactionId())
	if err != nil {
		return 0, err
	}
	if !f.edge.Writes(s.Class) {
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
		count = -1 // unknown, in the protocol's words
	}
	return count, nil
}

// run brings a statement to its final answer. The client waits until the earlier of d and its call's deadline.
func (f *Front) run(ctx context.Context, s *sqlcomment.Statement) (*edge.Answer, error) {
	if !f.edge.Ready() {
		return nil, newStatus(codes.Unavailable, "no list of hosts is held yet", reasonPoolerRejected, 0)
	}
	if refused := f.edge.Begin(s); refused != nil {
		return nil, resultStatus(refused)
	}
	defer f.edge.End(s)
	arrived := f.edge.Now()
	if at, ok := ctx.Deadline(); ok {
		s.TimeoutMillis = min(s.TimeoutMillis, float64(time.Until(at))/1e6)
	}
	r := f.edge.Do(ctx, s, arrived)
	if r.Verdict != edge.Served {
		return nil, resultStatus(&r)
	}
	_ = grpc.SetTrailer(ctx, writeTrailer(&r.Answer))
	return &r.Answer, nil
}

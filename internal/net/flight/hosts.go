package flight

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/sqlcomment"
)

// Hosts is the backend for database hosts that speak Flight SQL. It keeps one HTTP/2 connection to each host.
type Hosts struct {
	// IsListed reports whether anything new, a handshake included, may be sent to a host. It must be set before the first
	// use; nil permits every host.
	IsListed func(name string) bool

	connectTimeout time.Duration // connect timeout; 0 means none

	mu    sync.Mutex // guards hosts and the fields of each host
	hosts map[string]*host
}

type host struct {
	address string
	cc      *grpc.ClientConn // nil until the first request
}

// NewHosts returns a backend. A connection that is not open after the timeout connect counts as failed; 0 means no timeout.
func NewHosts(connect time.Duration) *Hosts {
	return &Hosts{connectTimeout: connect, hosts: map[string]*host{}}
}

// SetAddress implements edge.Backend.
func (h *Hosts) SetAddress(name, address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.hosts[name]
	if old != nil && old.address == address {
		return
	}
	if old != nil && old.cc != nil {
		cc := old.cc
		time.AfterFunc(replacedConnLifetime, func() { _ = cc.Close() })
	}
	if delete(h.hosts, name); address != "" {
		h.hosts[name] = &host{address: address}
	}
}

// CloseIdle implements edge.Backend. It does nothing, because one connection carries all requests to a host.
func (h *Hosts) CloseIdle(string) {}

// Close ends all connections.
func (h *Hosts) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.hosts {
		if o.cc != nil {
			_ = o.cc.Close()
		}
	}
}

// singleStream implements per-RPC credentials that let a call open only one stream. Regardless of WithDisableRetry, gRPC
// transparently opens a second stream when a server or a broken connection reports that it did not process the first, but only
// package dispatch may decide whether a request is retried. gRPC requests credentials once for each stream that it opens, and a
// call whose credentials fail ends there.
type singleStream struct{}

type singleStreamKey struct{}

func (singleStream) RequireTransportSecurity() bool { return false }

func (singleStream) GetRequestMetadata(ctx context.Context, _ ...string) (map[string]string, error) {
	if opened, ok := ctx.Value(singleStreamKey{}).(*atomic.Bool); ok && opened.Swap(true) {
		return nil, status.Error(codes.Unavailable, "gRPC would have sent this request again")
	}
	return nil, nil
}

// withSingleStream returns the context for one call, which may open a single stream.
func withSingleStream(ctx context.Context) context.Context {
	return context.WithValue(ctx, singleStreamKey{}, new(atomic.Bool))
}

// checkDialTarget returns an error if no connection to a host's address may be made any more. The dialer has to check this itself,
// because gRPC also redials on its own after a failure.
func (h *Hosts) checkDialTarget(name, address string) error {
	if h.IsListed != nil && !h.IsListed(name) {
		return edge.ErrUnlisted
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if o := h.hosts[name]; o == nil || o.address != address {
		return errAddressChanged
	}
	return nil
}

var (
	errAddressChanged = errors.New("the host is at another address now")
	errNoAddress      = errors.New("discovery has given no address for this host")
)

// replacedConnLifetime is how long the connection to a host's former address stays open, so that open requests still get their
// answers. It has to cover the longest deadline of any request class.
const replacedConnLifetime = 15 * time.Second

func (h *Hosts) clientConn(name string) (*grpc.ClientConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.hosts[name]
	if o == nil {
		return nil, errNoAddress
	}
	if o.cc != nil {
		return o.cc, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+o.address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithPerRPCCredentials(singleStream{}),
		grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(), grpc.WithIdleTimeout(0),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithInitialWindowSize(streamWindow), grpc.WithInitialConnWindowSize(connWindow),
		grpc.WithMaxHeaderListSize(maxHeaders),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswer), grpc.WaitForReady(false)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			if err := h.checkDialTarget(name, address); err != nil {
				return nil, err
			}
			c, err := (&net.Dialer{Timeout: h.connectTimeout}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			if err := h.checkDialTarget(name, address); err != nil {
				c.Close()
				return nil, err
			}
			return c, nil
		}))
	o.cc = cc
	return cc, err
}

// Acquire implements edge.Backend. It waits until the connection is open: if a request is sent earlier, its failure does not prove
// whether the request ran.
func (h *Hosts) Acquire(ctx context.Context, name string) (edge.Conn, error) {
	cc, err := h.clientConn(name)
	if err != nil {
		return nil, err
	}
	if h.connectTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, h.connectTimeout)
		defer cancel()
	}
	for tried := false; ; {
		now, err := h.clientConn(name)
		if err != nil {
			return nil, err
		}
		if now != cc { // the host's address has changed meanwhile
			cc, tried = now, false
		}
		state := cc.GetState()
		switch state {
		case connectivity.Ready:
			return &conn{flight.NewClientFromConn(cc, nil)}, nil
		case connectivity.Idle:
			cc.Connect()
		case connectivity.TransientFailure:
			if h.IsListed != nil && !h.IsListed(name) {
				return nil, edge.ErrUnlisted
			}
			if tried { // this call has seen its own dial fail, not an earlier one
				return nil, fmt.Errorf("%s does not take connections", name)
			}
			cc.ResetConnectBackoff()
		case connectivity.Shutdown:
			return nil, errors.New("the connection is closed")
		case connectivity.Connecting:
			tried = true
		}
		if !cc.WaitForStateChange(ctx, state) {
			return nil, ctx.Err()
		}
	}
}

// conn is the use of a host's shared connection by one request.
type conn struct{ client flight.Client }

// Exchange implements edge.Conn.
func (c *conn) Exchange(ctx context.Context, s *sqlcomment.Statement, gate edge.Gate) edge.Reply {
	wait, ok := gate()
	if !ok {
		return edge.NotSentReply()
	}
	text := string(s.AppendWithTimeout(make([]byte, 0, len(s.Text)+8), wait))
	if s.IsWrite {
		return c.update(ctx, text)
	}
	return c.query(ctx, text, gate)
}

func commandDescriptor(command proto.Message) (*flight.FlightDescriptor, error) {
	var any anypb.Any
	if err := any.MarshalFrom(command); err != nil {
		return nil, err
	}
	b, err := proto.Marshal(&any)
	return &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: b}, err
}

func failedReply(err error, trailer metadata.MD, facts exchangeFacts) edge.Reply {
	r := edge.Reply{Detail: err.Error()}
	code, execution := classifyError(err, facts)
	if code != dispatch.Malformed { // a malformed answer's trailer is not trusted
		r.Outcome = readTrailer(trailer, &r.Answer)
	}
	r.Code, r.Execution = code, execution
	return r
}

// endedReply returns the reply for a stream that ended without a valid answer. It reads the trailer only if gRPC itself ended the
// stream: a stream that was abandoned because of its content may still be receiving.
func endedReply(err error, stream grpc.ClientStream, facts exchangeFacts) edge.Reply {
	if code, _ := classifyError(err, facts); code == dispatch.Malformed {
		return failedReply(err, nil, facts)
	}
	return failedReply(err, stream.Trailer(), facts)
}

// query runs a read. Requesting the ticket takes a round trip in which nothing runs, so the gate is called again after it.
func (c *conn) query(ctx context.Context, text string, gate edge.Gate) edge.Reply {
	d, err := commandDescriptor(&pb.CommandStatementQuery{Query: text})
	if err != nil {
		return edge.Reply{Outcome: dispatch.Outcome{Code: dispatch.ServerError}, Detail: err.Error()}
	}
	info, err := c.client.GetFlightInfo(withSingleStream(ctx), d)
	if err != nil {
		return failedReply(err, nil, exchangeFacts{})
	}
	if len(info.Endpoint) != 1 || info.Endpoint[0].Ticket == nil {
		return failedReply(errUnexpectedAnswer, nil, exchangeFacts{})
	}
	if _, ok := gate(); !ok {
		return edge.NotSentReply()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // aborts a stream that was not read to its end
	var trailer metadata.MD
	stream, err := c.client.DoGet(withSingleStream(ctx), info.Endpoint[0].Ticket, grpc.Trailer(&trailer))
	if err != nil {
		return failedReply(err, trailer, exchangeFacts{})
	}
	var r edge.Reply
	bounded := &boundedReader{DataStreamReader: stream, remaining: maxAnswer}
	if err := readAnswer(bounded, &r.Answer); err != nil {
		return endedReply(err, stream, exchangeFacts{hasBegun: bounded.hasReceived})
	}
	r.Outcome = readTrailer(stream.Trailer(), &r.Answer)
	r.Execution = dispatch.Ran
	return r
}

// update runs a write.
func (c *conn) update(ctx context.Context, text string) edge.Reply {
	d, err := commandDescriptor(&pb.CommandStatementUpdate{Query: text})
	if err != nil {
		return edge.Reply{Outcome: dispatch.Outcome{Code: dispatch.ServerError}, Detail: err.Error()}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := c.client.DoPut(withSingleStream(ctx))
	if ctx.Err() != nil {
		return edge.NotSentReply()
	} else if err != nil { // the stream did not open, so the statement was not sent
		return edge.NotBegunReply(dispatch.NoConnection, err.Error())
	}
	// From here on the host may have received the statement, whatever a connection error says.
	_ = stream.Send(&flight.FlightData{FlightDescriptor: d}) // Recv returns the error, with its status
	_ = stream.CloseSend()
	rows, hasBegun, err := receiveUpdateResult(stream)
	if errors.Is(err, io.EOF) {
		err = errUnexpectedAnswer
	}
	if err != nil {
		return endedReply(err, stream, exchangeFacts{isWrite: true, hasBegun: hasBegun})
	}
	return updateReply(rows, stream.Trailer())
}

// receiveUpdateResult reads the row count, and then the stream to its end, because only the trailer proves that the write was
// committed. hasBegun reports whether a result message arrived, even if an error followed it.
func receiveUpdateResult(stream pb.FlightService_DoPutClient) (rows int64, hasBegun bool, err error) {
	put, err := stream.Recv()
	if err != nil {
		return 0, false, err
	}
	var result pb.DoPutUpdateResult
	if err := proto.Unmarshal(put.GetAppMetadata(), &result); err != nil {
		return 0, true, err
	}
	if _, err := stream.Recv(); err == nil {
		return 0, true, errUnexpectedAnswer
	} else if !errors.Is(err, io.EOF) {
		return 0, true, err
	}
	return result.RecordCount, true, nil
}

// updateReply returns the reply for a write that was committed.
func updateReply(rows int64, trailer metadata.MD) edge.Reply {
	r := edge.Reply{Answer: edge.Answer{
		Column: "payload", Type: oidBytea, Binary: true, Null: true,
		Tag: fmt.Sprintf("INSERT 0 %d", rows),
	}}
	r.Outcome = readTrailer(trailer, &r.Answer)
	r.Execution = dispatch.Ran
	switch v := trailer.Get(metaReturning); len(v) {
	case 0:
	case 1:
		r.Answer.Value, r.Answer.Null = []byte(v[0]), false
	default:
		return failedReply(errUnexpectedAnswer, nil, exchangeFacts{isWrite: true, hasBegun: true})
	}
	return r
}

// Probe implements edge.Backend.
func (h *Hosts) Probe(ctx context.Context, name string, listed func(string) bool) dispatch.Outcome {
	if !listed(name) {
		return dispatch.Outcome{Code: dispatch.NotSent}
	}
	c, err := h.Acquire(ctx, name)
	if err != nil {
		return dispatch.Outcome{Code: dispatch.NoConnection}
	}
	gate := func() (float64, bool) { return 0, listed(name) }
	if _, ok := gate(); !ok {
		return dispatch.Outcome{Code: dispatch.NotSent}
	}
	r := c.(*conn).query(ctx, "SHOW "+metaGauges, gate)
	if r.Code != dispatch.OK {
		return dispatch.Outcome{Code: r.Code}
	}
	return dispatch.Outcome{Code: dispatch.OK, Report: edge.ParseLoadReport(string(r.Answer.Value))}
}

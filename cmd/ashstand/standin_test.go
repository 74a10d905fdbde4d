package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"ashstand/internal/net/discovery"
	"ashstand/internal/operator"
	"ashstand/internal/settings"
)

// act is what a stand-in for a db host does with a statement.
type act uint8

const (
	serve act = iota
	notPrimary
	turnAway
	reset // after the whole request was read
	half  // the connection breaks in the middle of the answer
	noise // an answer that can't be read
	hang
	rowThenTurnAway   // the row, and an error behind it that else proves that nothing ran
	rowThenNotPrimary // the same
	rowThenBehind     // the same
)

// rejectionBehindRow is what follows a row: an SQLSTATE, and code and reason of a Flight SQL host.
var rejectionBehindRow = map[act]struct {
	sqlState, reason string
	code             codes.Code
}{
	rowThenTurnAway:   {"53300", "TURNED_AWAY", codes.Unavailable},
	rowThenNotPrimary: {"25006", "NOT_PRIMARY", codes.FailedPrecondition},
	rowThenBehind:     {"72000", "TOO_FAR_BEHIND", codes.FailedPrecondition},
}

// host is a stand-in for a db host, on whichever wire.
type host struct {
	name, wire, address string
	kill                func() // resets every connection
	door                *cutter

	mu      sync.Mutex
	primary bool
	lag     time.Duration // of its data
	slips   time.Duration // by how much more the data of its answers lags than its load reports say
	odd     bool          // its load reports can't be read
	do      func(statement string) act
	seen    []string // the statements that reached it, probes left out
}

const value = "\x00\x01payload\xff" // bytes that are no text

// take notes a statement and says what to do with it, as a host of its role would.
func (h *host) take(statement string) act {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = append(h.seen, statement)
	if h.do != nil {
		return h.do(statement)
	}
	if strings.Contains(statement, "INSERT") && !h.primary {
		return notPrimary
	}
	return serve
}

func (h *host) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *host) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.seen)
}

// reports is its load report.
func (h *host) reports() string {
	_, _, gauges := h.describe(0)
	return gauges
}

// tells is its role, its position in Unix milliseconds, and its load report, as they stand beside an answer.
func (h *host) tells() (part, position, gauges string) { return h.describe(h.slips) }

func (h *host) describe(slips time.Duration) (part, position, gauges string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, x1 := time.Now().Add(-h.lag-slips).UnixMilli(), 0
	if part = "replica"; h.primary {
		part, x1 = "master", 1
	}
	if h.odd {
		return part, strconv.FormatInt(at, 10), "x0=9e99,noise"
	}
	return part, strconv.FormatInt(at, 10), fmt.Sprintf("x0=%.3f,x1=%d,inflight=0,util=0.1", float64(at)/1e3, x1)
}

// serve runs the host until the test ends.
func (h *host) serve(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.address = l.Addr().String()
	cut := &cutter{Listener: l}
	h.door = cut
	h.kill = cut.kill
	if h.wire == "flightsql" {
		s := grpc.NewServer()
		flight.RegisterFlightServiceServer(s, flightsql.NewFlightServer(&flightHost{h: h}))
		go func() { _ = s.Serve(cut) }()
		t.Cleanup(s.Stop)
		return
	}
	go func() {
		for {
			c, err := cut.Accept()
			if err != nil {
				return
			}
			go h.speak(c)
		}
	}()
	t.Cleanup(func() { l.Close(); cut.kill() })
}

// cutter remembers connections so that they can be reset.
type cutter struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
	shut  atomic.Pointer[chan struct{}] // nothing is accepted until it is closed
}

func (c *cutter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if shut := c.shut.Load(); shut != nil {
		<-*shut
	}
	if err == nil {
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
	}
	return conn, err
}

func (c *cutter) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	c.conns = nil
}

// speak is the PostgreSQL side of a host.
func (h *host) speak(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.Flush() == nil {
		m, err := b.Receive()
		q, ok := m.(*pgproto3.Query)
		if err != nil || !ok {
			return
		}
		if strings.HasPrefix(q.String, "SHOW") {
			answer(b, h.reports(), 0)
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			continue
		}
		what := h.take(q.String)
		part, position, gauges := h.tells()
		switch what {
		case serve:
			answer(b, value, 1)
		case notPrimary:
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "25006", Message: "not primary"})
		case turnAway:
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "53300", Message: "queue full"})
		case half:
			b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("payload"), DataTypeOID: 17, Format: 1}}})
			_ = b.Flush()
			_, _ = c.Write([]byte{'D', 0, 0, 0, 90, 0, 1})
			return
		case rowThenTurnAway, rowThenNotPrimary, rowThenBehind:
			b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("payload"), DataTypeOID: 17, Format: 1}}})
			b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: rejectionBehindRow[what].sqlState, Message: "after the row"})
		case noise:
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
		case reset:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case hang:
			_, _ = io.Copy(io.Discard, c)
			return
		}
		for _, s := range [][2]string{{"part", part}, {"caught_up_to", position}, {"gauges", gauges}} {
			b.Send(&pgproto3.ParameterStatus{Name: s[0], Value: s[1]})
		}
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
}

func answer(b *pgproto3.Backend, value string, format int16) {
	b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("payload"), DataTypeOID: 17, Format: format}}})
	b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// flightHost is the Flight SQL side of a host.
type flightHost struct {
	flightsql.BaseServer
	h *host
}

func (f *flightHost) GetFlightInfoStatement(_ context.Context, q flightsql.StatementQuery, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	ticket, err := flightsql.CreateStatementQueryTicket([]byte(q.GetQuery()))
	return &flight.FlightInfo{FlightDescriptor: d, Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}}}, err
}

// reject is a status by which a host says that nothing ran.
func reject(code codes.Code, reason string) error {
	s, _ := status.New(code, reason).WithDetails(&errdetails.ErrorInfo{Domain: "ashstand", Reason: reason})
	return s.Err()
}

func (f *flightHost) run(ctx context.Context, what act) error {
	part, position, gauges := f.h.tells()
	_ = grpc.SetTrailer(ctx, metadata.Pairs("part", part, "caught_up_to", position, "gauges", gauges))
	switch what {
	case notPrimary:
		return reject(codes.FailedPrecondition, "NOT_PRIMARY")
	case turnAway:
		return reject(codes.Unavailable, "TURNED_AWAY")
	case reset:
		f.h.kill()
		return status.Error(codes.Unavailable, "gone")
	case hang:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (f *flightHost) DoGetStatement(ctx context.Context, ticket flightsql.StatementQueryTicket) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	text := string(ticket.GetStatementHandle())
	kind, v, what := arrow.DataType(arrow.BinaryTypes.Binary), value, serve
	if strings.HasPrefix(text, "SHOW") {
		v = f.h.reports()
		kind = arrow.BinaryTypes.String
	} else {
		what = f.h.take(text)
	}
	if err := f.run(ctx, what); err != nil {
		return nil, nil, err
	}
	schema := arrow.NewSchema([]arrow.Field{{Name: "payload", Type: kind}}, nil)
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	if kind == arrow.BinaryTypes.Binary {
		b.Field(0).(*array.BinaryBuilder).Append([]byte(v))
		if what == noise {
			b.Field(0).(*array.BinaryBuilder).Append([]byte(v))
		}
	} else {
		b.Field(0).(*array.StringBuilder).Append(v)
	}
	out := make(chan flight.StreamChunk, 2)
	out <- flight.StreamChunk{Data: b.NewRecordBatch()}
	if r, ok := rejectionBehindRow[what]; ok {
		out <- flight.StreamChunk{Err: reject(r.code, r.reason)}
	}
	if what != half {
		close(out)
	} else { // the one row is out, the end of the stream never comes
		time.AfterFunc(20*time.Millisecond, f.h.kill)
		context.AfterFunc(ctx, func() { close(out) })
	}
	return schema, out, nil
}

func (f *flightHost) DoPutCommandStatementUpdate(ctx context.Context, u flightsql.StatementUpdate) (int64, error) {
	what := f.h.take(u.GetQuery())
	if err := f.run(ctx, what); err != nil {
		return 0, err
	}
	if what == noise {
		return 1, grpc.SetTrailer(ctx, metadata.Pairs("returning-bin", value, "returning-bin", "noise"))
	}
	return 1, grpc.SetTrailer(ctx, metadata.Pairs("returning-bin", value))
}

// verdict is a final answer in words that both wires share.
type verdict struct {
	kind   string // served, refused, timed out, failed, invalid
	value  string
	advice bool // it said when to come back
}

// client is a stand-in for a client; each call is a connection of its own on PostgreSQL's wire.
type client func(t *testing.T, statement string) verdict

func pgClient(address string) client {
	return func(t *testing.T, statement string) verdict {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		f := pgproto3.NewFrontend(c, c)
		f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web", "database": "orders"}})
		f.Send(&pgproto3.Query{String: statement}) // without waiting to be asked, as clients may
		require.NoError(t, f.Flush())
		var v verdict
		for ready := 0; ready < 2; {
			m, err := f.Receive()
			require.NoError(t, err)
			switch m := m.(type) {
			case *pgproto3.DataRow:
				v = verdict{kind: "served", value: string(m.Values[0])}
			case *pgproto3.ErrorResponse:
				kind, ok := map[string]string{"53300": "refused", "57P03": "refused", "57014": "timed out", "08P01": "invalid"}[m.Code]
				if !ok {
					kind = "failed"
				}
				v = verdict{kind: kind, advice: m.Detail != ""}
			case *pgproto3.ReadyForQuery:
				ready++
			}
		}
		return v
	}
}

func flightClient(t *testing.T, address string) client {
	cc, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	require.NoError(t, err)
	t.Cleanup(func() { _ = cc.Close() })
	c := &flightsql.Client{Client: flight.NewClientFromConn(cc, nil)}
	run := func(statement string) (string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		if strings.Contains(statement, "INSERT") {
			return update(ctx, c, statement)
		}
		info, err := c.Execute(ctx, statement)
		if err != nil {
			return "", err
		}
		r, err := c.DoGet(ctx, info.Endpoint[0].Ticket)
		if err != nil {
			return "", err
		}
		defer r.Release()
		got := ""
		for r.Next() {
			got += string(r.RecordBatch().Column(0).(*array.Binary).Value(0))
		}
		return got, r.Err()
	}
	return func(t *testing.T, statement string) verdict {
		got, err := run(statement)
		if err == nil {
			return verdict{kind: "served", value: got}
		}
		s, _ := status.FromError(err)
		kind, ok := map[codes.Code]string{codes.Unavailable: "refused", codes.DeadlineExceeded: "timed out", codes.InvalidArgument: "invalid"}[s.Code()]
		if !ok {
			kind = "failed"
		}
		v := verdict{kind: kind}
		for _, d := range s.Details() {
			_, retry := d.(*errdetails.RetryInfo)
			v.advice = v.advice || retry
		}
		return v
	}
}

// update is the library's ExecuteUpdate, but reads on to the trailing metadata, where a returned value stands.
func update(ctx context.Context, c *flightsql.Client, statement string) (string, error) {
	stream, err := startUpdate(ctx, c, statement)
	if err != nil {
		return "", err
	}
	return finishUpdate(stream)
}

// startUpdate sends an update.
func startUpdate(ctx context.Context, c *flightsql.Client, statement string) (flight.FlightService_DoPutClient, error) {
	stream, err := c.Client.DoPut(ctx)
	if err != nil {
		return nil, err
	}
	var command anypb.Any
	if err := command.MarshalFrom(&pb.CommandStatementUpdate{Query: statement}); err != nil {
		return nil, err
	}
	b, err := proto.Marshal(&command)
	if err != nil {
		return nil, err
	}
	_ = stream.Send(&flight.FlightData{FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: b}})
	_ = stream.CloseSend()
	return stream, nil
}

// finishUpdate reads the answer to an update.
func finishUpdate(stream flight.FlightService_DoPutClient) (returned string, err error) {
	for err == nil {
		_, err = stream.Recv()
	}
	if !errors.Is(err, io.EOF) {
		return "", err
	}
	return strings.Join(stream.Trailer().Get("returning-bin"), "|"), nil
}

// world is a pooler with its hosts, discovery and a client.
type world struct {
	*node
	hosts            []*host
	ask              map[string]client // by wire
	change           chan string       // entries for the watch
	listen           string
	sessions, flight string // where the other fronts listen, of world3
	index            int    // of the lists sent
}

const site = `{"balancers":1,"index":0,"period_ms":5,"deductions":{"probe":0.001},
 "domain":{"class_read":["bounded","session","any","write"],"role_in_list":"late","staleness_bound_ms":[200,0,0,0],
  "token_mode":"carried","when_behind":"off"},
 "obligations":{"cold_from":0.24,"ramp_time_ms":15000,"overload_factor":3},
 "policy_limits":{"conn_idle_ms":15000,"connect_timeout_ms":2000,"max_retry_after_ms":2000,"may_cancel":true,"most_tries":8,"probes":true,"retry_after":true},
 "report":{"fields":["x0","x1","inflight","util"],"how":"on_probe"},
 "request_classes":[
  {"name":"browse","aim_ms":5000,"deadline_ms":10000,"worth":1,"late_share":0.2,"effect":"idempotent"},
  {"name":"my-library","aim_ms":5000,"deadline_ms":7500,"worth":3,"late_share":0,"effect":"idempotent"},
  {"name":"report","aim_ms":7500,"deadline_ms":15000,"worth":4,"late_share":0.2,"effect":"idempotent"},
  {"name":"donate","aim_ms":5000,"deadline_ms":10000,"worth":3,"late_share":0.3,"effect":"at_most_once"}]}`

func (w *world) entry(h *host, status string) string {
	part := "replica"
	if h.primary {
		part = "master"
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":%q,"group":1,"status":%q,"weight":1,"since_ms":0,"part":%q}`,
		h.name, h.address, h.wire, status, part)
}

func (w *world) list(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

// build starts a primary p and replicas, each on the wire named, and a pooler with both fronts.
func build(t *testing.T, wires ...string) *world {
	return buildWith(t, func(*config) {}, wires...)
}

// buildWith has change alter the configuration first.
func buildWith(t *testing.T, change func(*config), wires ...string) *world {
	w := &world{change: make(chan string, 8)}
	for i, wire := range wires {
		h := &host{name: string(rune('p' + i)), wire: wire, primary: i == 0}
		h.serve(t)
		w.hosts = append(w.hosts, h)
	}
	var entries []string
	for _, h := range w.hosts {
		entries = append(entries, w.entry(h, discovery.Active))
	}
	done := make(chan struct{})
	dir := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(rw, w.list(1, true, entries...))
			return
		}
		rw.(http.Flusher).Flush()
		for {
			select {
			case line := <-w.change:
				io.WriteString(rw, line+"\n")
				rw.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-done:
				return
			}
		}
	}))
	p, err := settings.Parse([]byte(site))
	require.NoError(t, err)
	cfg := &config{
		operator: operator.New(), Name: "n1", Listen: free(t), Discovery: dir.Listener.Addr().String(), site: p, seed: 7,
		flight: flightConfig{Listen: free(t), Connections: 16, HostTypes: []string{"flightsql"}},
	}
	change(cfg)
	w.node, err = start(cfg)
	require.NoError(t, err)
	t.Cleanup(func() { w.stop(); close(done); dir.Close() })
	require.Eventually(t, w.core.Ready, 10*time.Second, time.Millisecond)
	w.listen = cfg.Listen
	w.ask = map[string]client{"postgresql": pgClient(cfg.Listen), "flightsql": flightClient(t, cfg.flight.Listen)}
	return w
}

var frees atomic.Int32

// free names an address that nobody listens on: a loopback address of this process's own, and a port below those
// that the kernel deals out. One that was dealt out and closed again may be taken before it is listened on.
func free(t *testing.T) string {
	n, pid := int(frees.Add(1)), os.Getpid()
	require.Less(t, n, 250)
	return fmt.Sprintf("127.%d.%d.%d:5433", 1+pid%250, pid/250%250, n)
}

var waiting = regexp.MustCompile(`d=\d+`)

// same says that a host got a statement as the client worded it, but for d.
func same(t *testing.T, sent, got string) {
	t.Helper()
	require.Equal(t, waiting.ReplaceAllString(sent, "d="), waiting.ReplaceAllString(got, "d="))
}

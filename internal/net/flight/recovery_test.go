package flight

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/settings"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

const donation = "/* id=w,c=donate,d=5000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('k', '1')"

// scriptedBackend serves each request, and panics where its script says so.
type scriptedBackend struct{ panicsAfterWrite bool }

func (b *scriptedBackend) Acquire(context.Context, string) (edge.Conn, error) { return b, nil }

func (b *scriptedBackend) Exchange(_ context.Context, _ *sqlcomment.Statement, gate edge.Gate) edge.Reply {
	if _, ok := gate(); !ok {
		return edge.NotSentReply()
	}
	if b.panicsAfterWrite {
		panic("behind the write")
	}
	return edge.Reply{
		Outcome: dispatch.Outcome{Code: dispatch.OK, Execution: dispatch.Ran, Role: dispatch.Primary},
		Answer:  edge.Answer{Column: "payload", Type: oidText, Value: []byte("1"), Tag: "INSERT 0 1"},
	}
}

func (*scriptedBackend) CloseIdle(string)          {}
func (*scriptedBackend) SetAddress(string, string) {}
func (*scriptedBackend) Probe(context.Context, string, func(string) bool) dispatch.Outcome {
	return dispatch.Outcome{}
}

// startFront serves a front before one primary on the loopback interface, and returns a connection to it.
func startFront(t *testing.T, backend edge.Backend) (*Front, *grpc.ClientConn) {
	t.Helper()
	parsed := &settings.Parsed{
		Settings: routing.Settings{
			RouterCount: 1, MaxAttempts: 8, ListNamesPrimary: true, MinTickInterval: 5 * time.Millisecond,
			Classes: []routing.Class{{Name: "donate", Access: routing.Write, Idempotency: routing.AtMostOnce, LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, LateFraction: 1}},
		},
		Classes: map[string]int{"donate": 0},
	}
	dispatcher, err := dispatch.New(parsed, 1, clock.System(), nil, nil)
	require.NoError(t, err)
	dispatcher.UpdateEndpoints(true, []dispatch.Endpoint{{Host: "p", Group: 1, Primary: true}})
	front := NewFront(edge.New(dispatcher, clock.System(), backend))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = front.Serve(listener, 8) }()
	t.Cleanup(front.Stop)
	connection, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return front, connection
}

// put sends the messages to DoPut and returns how the call ended; nil: it was served.
func put(t *testing.T, connection *grpc.ClientConn, messages ...*flight.FlightData) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stream, err := pb.NewFlightServiceClient(connection).DoPut(ctx)
	require.NoError(t, err)
	for _, message := range messages {
		_ = stream.Send(message) // Recv returns the error
	}
	_ = stream.CloseSend()
	for {
		if _, err := stream.Recv(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func donationMessage(t *testing.T) *flight.FlightData {
	t.Helper()
	d, err := commandDescriptor(&pb.CommandStatementUpdate{Query: donation})
	require.NoError(t, err)
	return &flight.FlightData{FlightDescriptor: d}
}

// Guards against one Flight SQL client's DoPut without a descriptor ending the process, and with it the requests of all clients.
func TestDoPutWithoutDescriptorEndsItsCallAlone(t *testing.T) {
	front, connection := startFront(t, &scriptedBackend{})
	command := donationMessage(t).FlightDescriptor.Cmd
	for _, message := range []*flight.FlightData{
		{}, {AppMetadata: command}, {DataHeader: command}, {DataBody: command}, {DataHeader: []byte{0xff, 0xff, 0xff, 0xff}, DataBody: make([]byte, 1<<10)},
	} {
		err := put(t, connection, message)
		require.Equal(t, codes.InvalidArgument, status.Code(err), "%v", err)
		require.Contains(t, err.Error(), "descriptor")
	}
	require.NoError(t, put(t, connection, donationMessage(t)))
	require.Zero(t, recoveredPanics(t, front), "the library's panic was recovered, not avoided")
}

// Guards against a panic of a handler being everybody's end, and against an answer that promises that a write which was sent never
// ran: such a reason would have it sent again.
func TestPanicBehindAWriteMayHaveRun(t *testing.T) {
	front, connection := startFront(t, &scriptedBackend{panicsAfterWrite: true})
	err := put(t, connection, donationMessage(t))
	require.Equal(t, codes.Unknown, status.Code(err), "%v", err)
	require.Empty(t, status.Convert(err).Details(), "a reason promises that nothing ran")
	require.Equal(t, 1, recoveredPanics(t, front))
	requireDrains(t, front)
}

// panickingService panics in each of its handlers.
type panickingService struct{ flightsql.BaseServer }

func (panickingService) GetFlightInfoStatement(context.Context, flightsql.StatementQuery, *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	panic("in a unary handler")
}

func (panickingService) DoPutCommandStatementUpdate(context.Context, flightsql.StatementUpdate) (int64, error) {
	panic("in a streaming handler")
}

// Guards against an interceptor that covers only unary or only streaming calls, and against a drain that waits for a call whose
// handler has panicked.
func TestPanicInAHandlerEndsItsCallAlone(t *testing.T) {
	front, _ := startFront(t, &scriptedBackend{})
	stand := flightsql.NewFlightServer(&panickingService{})
	ctx := context.Background()
	for range 3 {
		_, err := front.recoverUnary(ctx, nil, &grpc.UnaryServerInfo{FullMethod: "unary"}, func(context.Context, any) (any, error) {
			d, err := commandDescriptor(&pb.CommandStatementQuery{Query: donation})
			require.NoError(t, err)
			return stand.GetFlightInfo(ctx, d)
		})
		require.Equal(t, codes.Unknown, status.Code(err), "%v", err)
		err = front.recoverStream(nil, nil, &grpc.StreamServerInfo{FullMethod: "stream"}, func(any, grpc.ServerStream) error { panic("in a streaming handler") })
		require.Equal(t, codes.Unknown, status.Code(err), "%v", err)
	}
	require.Equal(t, 6, recoveredPanics(t, front))
	requireDrains(t, front)
}

func recoveredPanics(t *testing.T, front *Front) int {
	t.Helper()
	figures, err := front.edge.Metrics().Snapshot()
	require.NoError(t, err)
	return metrics.Violations(figures)[lifecycle.PanicRecovered.String()]
}

func requireDrains(t *testing.T, front *Front) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		front.Drain()
		<-front.edge.Drain()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "the drain does not end")
	}
}

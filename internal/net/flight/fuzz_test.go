package flight

import (
	"context"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
)

// rawCodec sends and receives the bytes of a message as they are.
type rawCodec struct{}

func (rawCodec) Marshal(v any) ([]byte, error)      { return *v.(*[]byte), nil }
func (rawCodec) Unmarshal(data []byte, v any) error { *v.(*[]byte) = data; return nil }
func (rawCodec) Name() string                       { return "proto" }

// methods are those of the Flight service.
var methods = []string{
	"Handshake", "ListFlights", "GetFlightInfo", "PollFlightInfo", "GetSchema", "DoGet", "DoPut", "DoExchange", "DoAction", "ListActions",
}

// FuzzFirstMessageOfACall sends a message of any bytes to any method. Guards against a message that ends the process, here the
// test, or that reaches a handler which panics, or after which a sound call is not served.
func FuzzFirstMessageOfACall(f *testing.F) {
	update, err := commandDescriptor(&pb.CommandStatementUpdate{Query: donation})
	require.NoError(f, err)
	query, err := commandDescriptor(&pb.CommandStatementQuery{Query: donation})
	require.NoError(f, err)
	for i := range methods {
		for _, message := range []proto.Message{
			&flight.FlightData{}, &flight.FlightData{DataHeader: update.Cmd}, &flight.FlightData{DataBody: update.Cmd},
			&flight.FlightData{FlightDescriptor: update}, &flight.FlightData{FlightDescriptor: query, DataHeader: []byte{0xff, 0xff, 0xff, 0x7f}},
			&flight.FlightData{FlightDescriptor: &flight.FlightDescriptor{}}, update, query, &flight.Ticket{Ticket: query.Cmd}, &flight.Ticket{},
			&flight.Action{Type: "CreatePreparedStatement", Body: update.Cmd}, &flight.Action{Type: "BeginTransaction"},
		} {
			encoded, err := proto.Marshal(message)
			require.NoError(f, err)
			f.Add(byte(i), encoded)
		}
		f.Add(byte(i), []byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f}) // a length that is believed before the bytes are there
		f.Add(byte(i), []byte{0xff})
	}
	f.Fuzz(func(t *testing.T, method byte, message []byte) {
		front, connection := startFront(t, &scriptedBackend{})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stream, err := connection.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true, ServerStreams: true},
			"/arrow.flight.protocol.FlightService/"+methods[int(method)%len(methods)], grpc.ForceCodec(rawCodec{}))
		require.NoError(t, err)
		_ = stream.SendMsg(&message) // RecvMsg returns the error
		_ = stream.CloseSend()
		var answer []byte
		for err == nil {
			err = stream.RecvMsg(&answer)
		}
		require.NoError(t, ctx.Err(), "no answer: %v", err)
		require.NoError(t, put(t, connection, donationMessage(t)))
		require.Zero(t, recoveredPanics(t, front))
	})
}

package flight

import (
	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc"
)

// methodDoPut is the only method whose handler needs the descriptor of a streamed message.
const methodDoPut = "/arrow.flight.protocol.FlightService/DoPut"

// checkDescriptor is a gRPC interceptor. It ends a DoPut whose first message has no descriptor with InvalidArgument: the Arrow
// library's handler relies on one without a check.
func checkDescriptor(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if info.FullMethod != methodDoPut {
		return handler(service, stream)
	}
	checked := &descriptorStream{ServerStream: stream}
	err := handler(service, checked)
	if checked.err != nil { // the library wraps it
		return checked.err
	}
	return err
}

// descriptorStream is a stream whose first message has to have a descriptor.
type descriptorStream struct {
	grpc.ServerStream
	hasReceived bool
	err         error // the first message has no descriptor
}

// RecvMsg implements grpc.ServerStream.
func (s *descriptorStream) RecvMsg(message any) error {
	if s.err != nil {
		return s.err
	}
	if err := s.ServerStream.RecvMsg(message); err != nil || s.hasReceived {
		return err
	}
	s.hasReceived = true
	if data, ok := message.(*flight.FlightData); ok && data.GetFlightDescriptor() == nil {
		s.err = invalid("the first message of a DoPut has no descriptor")
	}
	return s.err
}

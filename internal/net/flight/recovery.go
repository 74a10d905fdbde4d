package flight

import (
	"context"

	"google.golang.org/grpc"

	"ashstand/internal/edge"
	"ashstand/internal/panics"
)

// recoverUnary is a gRPC interceptor. It ends a call whose handler panics with an error of that call alone: gRPC runs handlers on
// goroutines of its own and recovers nothing.
func (f *Front) recoverUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	defer f.recoverPanic(info.FullMethod, &err)
	return handler(ctx, request)
}

// recoverStream is recoverUnary for streaming calls.
func (f *Front) recoverStream(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer f.recoverPanic(info.FullMethod, &err)
	return handler(service, stream)
}

// recoverPanic replaces the panic of a handler by a status error without a reason, which never says that nothing ran. It has to be
// deferred directly.
func (f *Front) recoverPanic(method string, err *error) {
	value := recover()
	if value == nil {
		return
	}
	panics.Check(value)
	f.edge.Metrics().PanicRecovered(method, value)
	*err = resultStatus(&edge.PanickedResult)
}

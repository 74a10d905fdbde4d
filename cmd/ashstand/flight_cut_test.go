package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// launchWithFlight starts the program with a Flight SQL front before one host.
func launchWithFlight(t *testing.T, h *host) (flightAddress string, process *os.Process, wait func() error) {
	t.Helper()
	program, err := built()
	require.NoError(t, err)
	flightAddress = free(t)
	t.Chdir(t.TempDir())
	require.NoError(t, os.Mkdir("deploy", 0o755))
	require.NoError(t, os.WriteFile(filepath.FromSlash(oldFlightFile), fmt.Appendf(nil, "listen = %q\n", flightAddress), 0o600))
	discovery, known := silentDiscovery(t), (&world{}).list(1, true, (&world{}).entry(h, "active"))
	_, cmd, _, _ := launchProgram(t, program, discovery, func(listen string) string {
		return fmt.Sprintf(configuration, listen, discovery, known, site)
	})
	return flightAddress, cmd.Process, cmd.Wait
}

// dialFlight is a client of a Flight SQL front.
func dialFlight(t *testing.T, address string) *flightsql.Client {
	t.Helper()
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return &flightsql.Client{Client: flight.NewClientFromConn(connection, nil)}
}

// rejectionReason is the reason of a status that says that nothing ran; empty: it does not say so.
func rejectionReason(err error) string {
	for _, detail := range status.Convert(err).Details() {
		if info, ok := detail.(*errdetails.ErrorInfo); ok {
			return info.Reason
		}
	}
	return ""
}

// readFlight runs a query and says how it ended.
func readFlight(ctx context.Context, client *flightsql.Client, statement string) error {
	info, err := client.Execute(ctx, statement)
	if err != nil {
		return err
	}
	rows, err := client.DoGet(ctx, info.Endpoint[0].Ticket)
	if err == nil {
		rows.Release()
	}
	return err
}

// A read hangs at its host and a write waits for a primary when the process has to end. Both get an answer: the read has failed,
// since it may have run, and the write is rejected, since it has not.
func TestAtTheCutFlightRequestsHaveTheirAnswer(t *testing.T) {
	entered, end := make(chan struct{}, 1), make(chan struct{})
	replica := &host{name: "a", wire: "postgresql"}
	replica.do = func(text string) act {
		if strings.Contains(text, "INSERT") {
			return notPrimary
		}
		if strings.Contains(text, "stuck") {
			replica.mu.Unlock()
			entered <- struct{}{}
			<-end
			replica.mu.Lock()
		}
		return serve
	}
	replica.serve(t)
	t.Cleanup(func() { close(end) })
	address, process, wait := launchWithFlight(t, replica)
	client := dialFlight(t, address)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	// One connection has both, so the front has begun the write when the read is at its host.
	write, err := startUpdate(ctx, client, "/* id=w,c=donate,d=9000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('k', '1')")
	require.NoError(t, err)
	readEnds := make(chan error, 1)
	go func() {
		readEnds <- readFlight(ctx, client, "/* id=r,c=report,d=14000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'stuck'")
	}()
	<-entered
	endWithin(t, process, killAfter)
	readEnd := <-readEnds
	_, writeEnd := finishUpdate(write)
	require.Equal(t, codes.Unknown, status.Code(readEnd), "%v", readEnd)
	require.Contains(t, readEnd.Error(), "the request may have run")
	require.Empty(t, rejectionReason(readEnd))
	require.Equal(t, codes.Unavailable, status.Code(writeEnd), "%v", writeEnd)
	require.Equal(t, "REFUSED", rejectionReason(writeEnd), "%v", writeEnd)
	require.NoError(t, wait(), "it was killed")
}

// Guards against one message of a Flight SQL client, a DoPut without a descriptor, ending the process of all clients.
func TestDoPutWithoutDescriptorLeavesTheProcess(t *testing.T) {
	replica := &host{name: "a", wire: "postgresql"}
	replica.do = func(string) act { return serve }
	replica.serve(t)
	address, _, _ := launchWithFlight(t, replica)
	client := dialFlight(t, address)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, readFlight(ctx, client, fmt.Sprintf(browse, 1)))
	stream, err := client.Client.DoPut(ctx)
	require.NoError(t, err)
	require.NoError(t, stream.Send(&flight.FlightData{}))
	_, err = stream.Recv()
	require.Equal(t, codes.InvalidArgument, status.Code(err), "%v", err)
	require.NoError(t, readFlight(ctx, client, fmt.Sprintf(browse, 2)))
}

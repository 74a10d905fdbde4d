package flood

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/jackc/pgx/v5/pgconn"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

const (
	flightConnections = 32
	callsAtOnce       = 64 // of one flooding Flight SQL client: as many as the pooler takes on a connection
)

// flightBlock is the operator's block that opens the Flight SQL front.
func flightBlock(address string) string {
	return fmt.Sprintf("flight {\n  listen = %q\n  connections = %d\n}\n", address, flightConnections)
}

// dialFlight returns a Flight SQL client with a connection of its own.
func dialFlight(address string) (*flightsql.Client, func(), error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return nil, nil, err
	}
	return &flightsql.Client{Client: flight.NewClientFromConn(conn, nil)}, func() { _ = conn.Close() }, nil
}

// callFlight runs a query over Flight SQL.
func callFlight(ctx context.Context, c *flightsql.Client, text string) error {
	info, err := c.Execute(ctx, text)
	if err != nil {
		return err
	}
	r, err := c.DoGet(ctx, info.Endpoint[0].Ticket)
	if err != nil {
		return err
	}
	defer r.Release()
	for r.Next() {
	}
	return r.Err()
}

// floodFlight makes calls at full speed on one connection until ctx ends.
func (f *flooder) floodFlight(ctx context.Context) {
	client, done, err := dialFlight(f.address)
	if err != nil {
		return
	}
	defer done()
	var all sync.WaitGroup
	for k := range callsAtOnce {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				text := f.flightText(fmt.Sprintf("f%d_%d_%d", f.number, k, n))
				_ = callFlight(ctx, client, text)
				f.sent.Add(int64(len(text)))
			}
		})
	}
	all.Wait()
}

// flightText is the next statement of a flooding Flight SQL client.
func (f *flooder) flightText(name string) string {
	switch f.wave.Kind {
	case NewClasses:
		return fmt.Sprintf("/* id=%s,c=%s,d=400,cluster=1 */ SELECT 1", name, name)
	case NewGroups:
		return fmt.Sprintf("/* id=%s,c=browse,d=400,cluster=1000 */ SELECT 1", name)
	case NoTime:
		return fmt.Sprintf("/* id=%s,c=browse,d=0,cluster=1 */ SELECT 1", name)
	default:
		return "SELECT " + name
	}
}

// askFlight sends a judged request over Flight SQL every interval, on one connection.
func (r *rig) askFlight(ctx context.Context) {
	client, done, err := dialFlight(r.flight)
	if err != nil {
		return
	}
	defer done()
	var calls sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		calls.Go(func() {
			begun := time.Now()
			call, cancel := context.WithTimeout(context.Background(), requestTime+lostGrace)
			defer cancel()
			r.answered(Flight, "old", begun, wordedStatus(callFlight(call, client, readText(fmt.Sprintf("flight-old-%d", n), requestTime))))
		})
		sleep(ctx, interval)
	}
	calls.Wait()
}

// wordedStatus returns an answer that a Flight SQL front worded as the error of the other fronts that means the same.
func wordedStatus(err error) error {
	switch status.Code(err) {
	case codes.Unavailable:
		if s, _ := status.FromError(err); len(s.Details()) > 0 {
			return &pgconn.PgError{Code: "53300", Message: s.Message()}
		}
	case codes.DeadlineExceeded, codes.Unknown, codes.InvalidArgument:
		return &pgconn.PgError{Code: "58000", Message: err.Error()}
	default:
	}
	return err
}

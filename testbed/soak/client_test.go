package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/testbed/report"
)

// answerAll is a pooler that takes whatever a client sends ahead, with a pause after the first request, and answers each request from data
// of a given age at the moment it was taken. It returns how many there were.
func answerAll(t *testing.T, conn net.Conn, pause, age time.Duration) (answered int) {
	t.Helper()
	const quiet = 200 * time.Millisecond // the client sends no more
	backend := pgproto3.NewBackend(conn, conn)
	var takenAt []time.Time
	for {
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
		if _, err := backend.Receive(); err != nil {
			break
		}
		takenAt = append(takenAt, time.Now())
		if len(takenAt) == 1 {
			time.Sleep(pause)
		}
	}
	for _, at := range takenAt {
		backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}})
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		backend.Send(&pgproto3.ParameterStatus{Name: "caught_up_to", Value: fmt.Sprint(at.Add(-age).UnixMilli())})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	}
	require.NoError(t, backend.Flush())
	return len(takenAt)
}

// What is sent ahead is served while the rest is still being written. Its age counts from its own last byte, not from that of the whole.
func TestTheAgeOfDataCountsFromEachRequestsLastByte(t *testing.T) {
	const bound = 200
	for _, k := range []struct {
		name       string
		pause, age time.Duration
		areBroken  bool
	}{
		{"within the bound, and the pooler is slow to read the rest", 100 * time.Millisecond, (bound - 10) * time.Millisecond, false},
		{"far past the bound", 0, time.Hour, true}, // the client may be slow to come to the next request
	} {
		t.Run(k.name, func(t *testing.T) {
			g := report.New("soak", 1)
			ours, theirs := net.Pipe()
			defer ours.Close()
			defer theirs.Close()
			c := &client{
				name: "c", pooler: "n1", habit: pipelines, judge: newJudge(g, machineSlack), rng: rand.New(rand.NewPCG(1, 1)), group: 1,
				classes: []Class{{Name: "reads", Access: Bounded, Effect: Idempotent, Deadline: 10000, Bound: bound}},
				conn:    ours, frontend: pgproto3.NewFrontend(ours, ours),
			}
			stepped := make(chan struct{})
			go func() {
				defer close(stepped)
				c.step()
			}()
			answered := answerAll(t, theirs, k.pause, k.age)
			<-stepped
			require.Greater(t, answered, 10)
			result := g.Result(1)
			require.EqualValues(t, answered, result.Requests.Served)
			if k.areBroken {
				require.Equal(t, answered, result.Broken[staleRead])
			} else {
				require.Zero(t, result.Broken[staleRead], "%v", result.Notes)
			}
		})
	}
}

// The bound itself, with times that are given.
func TestTheAgeOfDataIsJudgedToTheMillisecond(t *testing.T) {
	const bound = 200
	sent := time.UnixMilli(1_700_000_000_000)
	for age, isBroken := range map[int64]bool{0: false, bound: false, bound + machineMillis: false, bound + machineMillis + 1: true} {
		g := report.New("soak", 1)
		j := newJudge(g, machineSlack)
		j.servedFrom(&request{id: "r", class: &Class{Access: Bounded, Bound: bound}, sentFrom: sent}, fmt.Sprint(sent.UnixMilli()-age))
		require.Equal(t, isBroken, g.Result(1).Broken[staleRead] > 0, "%d ms", age)
	}
}

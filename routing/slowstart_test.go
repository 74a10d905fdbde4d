package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An attempt may wait a second for its connection, and its host may restart meanwhile. The attempt must then
// pass slow start again before it is written. Without that check, 99 of 99 attempts by 300 routers that were
// chosen for a replica before the list told of its new start were written right after it, to a host that had
// a fifth of its capacity.
func TestWaitingAttemptsAreRevalidatedWhenTheirHostRestarts(t *testing.T) {
	f := newFleet(t, 300, testGroup())
	type chosen struct {
		router *Router
		id     string
	}
	var waiting []chosen
	for _, c := range f.routers {
		f.now += ms
		id := "waits"
		actions := c.Step(f.now, []Event{RequestArrived{ID: id, Class: eventualRead, Group: 1, TimeRemaining: 2 * time.Second}})
		if _, host := actionsOf(ActSend, actions); host == "a" {
			waiting = append(waiting, chosen{c, id})
		}
	}
	require.Greater(t, len(waiting), 60)
	f.now += 100 * ms
	f.list(Target{Host: "a", Group: 1, StartedAt: f.now})
	written := 0
	for _, w := range waiting {
		if w.router.Revalidate(f.now+ms, w.id, 0) {
			written++
		}
	}
	require.Less(t, written, len(waiting)/10, "of %d attempts that were chosen while the host was warm", len(waiting))
}

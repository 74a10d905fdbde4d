package routing_test

import (
	"fmt"
	"time"

	"ashstand/routing"
)

// A pooler asks the router where to send a write, and reports how the attempt ended.
func Example() {
	router, err := routing.New(routing.Settings{
		Classes: []routing.Class{{
			Name: "save", Access: routing.Write, Idempotency: routing.AtMostOnce,
			LatencyObjective: time.Second, Deadline: 5 * time.Second, PriorityWeight: 1,
		}},
		RouterCount: 1, ListNamesPrimary: true, MaxAttempts: 3,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // any clock that never goes back
	router.Step(now, []routing.Event{routing.TargetsChanged{Full: true, Targets: []routing.Target{
		{Host: "db1:5432", Group: 1, Primary: true}, {Host: "db2:5432", Group: 1},
	}}})
	for _, a := range router.Step(now, []routing.Event{
		routing.RequestArrived{ID: "q1", Group: 1, TimeRemaining: 5 * time.Second},
	}) {
		if a.Kind == routing.ActSend {
			fmt.Println("send", a.ID, "to", a.Host)
		}
	}
	router.Step(now+20*time.Millisecond, []routing.Event{routing.AttemptEnded{
		ID: "q1", Host: "db1:5432",
		Code: routing.OK, Role: routing.Primary, Final: true, Elapsed: 20 * time.Millisecond,
	}})
	// Output: send q1 to db1:5432
}

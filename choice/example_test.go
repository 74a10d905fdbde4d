package choice_test

import (
	"fmt"
	"time"

	"ashstand/choice"
)

// A router asks where a write goes, carries the answer back, and is done.
func Example() {
	c, err := choice.New(choice.Settings{
		Classes: []choice.Class{{Name: "save", Read: choice.Write, Effect: choice.Unsafe,
			Aim: time.Second, Deadline: 5 * time.Second, Worth: 1}},
		Routers: 1, ListRole: true, MaxAttempts: 3,
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour // any clock that never goes back
	c.Step(now, []choice.Event{{Kind: choice.EvTargets, Full: true, Targets: []choice.Target{
		{Host: "db1:5432", Group: 1, Primary: true}, {Host: "db2:5432", Group: 1}}}})
	for _, a := range c.Step(now, []choice.Event{
		{Kind: choice.EvRequest, ID: "q1", Group: 1, TimeLeft: 5 * time.Second}}) {
		if a.Kind == choice.ActSend {
			fmt.Println("send", a.ID, "to", a.Host)
		}
	}
	c.Step(now+20*time.Millisecond, []choice.Event{{Kind: choice.EvOutcome, ID: "q1", Host: "db1:5432",
		Code: choice.OK, Role: choice.Primary, Final: true, Elapsed: 20 * time.Millisecond}})
	// Output: send q1 to db1:5432
}

package main

import (
	"strings"
	"testing"

	"ashstand/internal/wire"
	"ashstand/routing"
)

const start = `SYNC wall_ms=5000 seq=1
OPEN_INSTANCE who=0 nonce64=9 info={"balancers":1,"domain":{"class_read":["write"],"role_in_list":"start"},` +
	`"policy_limits":{"most_tries":2},"request_classes":[{"name":"w","aim_ms":100,"deadline_ms":400,"effect":"at_most_once"}]}
REGISTER list=0 rows=1
ENTRY locality=z primary=1 availability=Ready host=h:1 db=1
TARGETS who=0 scope=C gen=1 list=0
EOF_BATCH
`

func answerTo(t *testing.T, in string) string {
	t.Helper()
	var out strings.Builder
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestReplies(t *testing.T) {
	for _, k := range []struct{ name, in, want string }{
		{"start", "", "NEXT seq=1\n"},
		{"empty batch", "SYNC wall_ms=5001 seq=2\nEOF_BATCH\n", "NEXT seq=1\nNEXT seq=2\n"},
		{
			"write to the primary", "SYNC wall_ms=5001 seq=2\nREQUEST who=0 call=a profile=w cluster=1 time_left_ms=400\nEOF_BATCH\n",
			"TRANSMIT who=0 call=a host=h:1 max_wait_ms=85.000\nNEXT seq=2\n",
		},
		{
			"nothing for the stopped", "SYNC wall_ms=5001 seq=2\nREQUEST who=0 call=a profile=w cluster=1 time_left_ms=400\nSHUTDOWN who=0\nEOF_BATCH\n",
			"NEXT seq=1\nNEXT seq=2\n",
		},
	} {
		if got := answerTo(t, start+k.in); !strings.HasSuffix(got, k.want) {
			t.Errorf("%s: %q, want it to end in %q", k.name, got, k.want)
		}
	}
}

func TestSettingsThatCannotBeServed(t *testing.T) {
	if got := answerTo(t, strings.Replace(start, `"balancers":1`, `"balancers":0`, 1)); !strings.Contains(got, "BUG who=0 body_text=choice: router 0 of 0") {
		t.Errorf("got %q", got)
	}
}

func TestPanicBecomesBug(t *testing.T) {
	c := new(routing.Router) // not made by New: its maps are nil
	got := step(nil, 4, c, &wire.Batch{Now: 1}, []routing.Event{routing.TargetsChanged{Targets: []routing.Target{{Host: "h", Group: 1}}}})
	if !strings.HasPrefix(string(got), "BUG who=4 body_text=") || strings.Count(string(got), "\n") != 1 {
		t.Errorf("got %q", got)
	}
}

func TestFaultStops(t *testing.T) {
	if err := run(strings.NewReader("SYNC wall_ms=1 seq=1\nODD who=0\nEOF_BATCH\n"), new(strings.Builder)); err == nil {
		t.Error("no error")
	}
}

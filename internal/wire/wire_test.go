package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"ashstand/routing"
)

const open = `OPEN_INSTANCE who=3 nonce64=9 info={"balancers":2,"index":1,"unknown":7,"discovery":"automatic",` +
	`"domain":{"answers_stamped":true,"catch_up_wait_ms":50,"class_read":["bounded","write"],"origin_time_ms":1000,` +
	`"role_in_list":"start","staleness_bound_ms":[300,0],"token_mode":"carried","when_behind":"wait"},` +
	`"policy_limits":{"most_tries":4,"max_retry_after_ms":500,"retry_after":true},"report":{"fields":["util","x0","x1"],"how":"on_probe"},` +
	`"request_classes":[{"name":"r","aim_ms":100,"deadline_ms":400,"effect":"idempotent","worth":1},` +
	`{"name":"w","aim_ms":100,"deadline_ms":400,"effect":"deduplicated","group":"cell","window_ms":3000,"worth":1}]}`

func batch(lines ...string) string {
	return "SYNC wall_ms=5000.5 seq=7\n" + strings.Join(lines, "\n") + "\nEOF_BATCH\n"
}

func TestDecode(t *testing.T) {
	d := NewDecoder(strings.NewReader(batch(open,
		"REGISTER list=0 rows=2",
		"ENTRY locality=z primary=1 availability=Ready heft=1 host=h:1 db=11 generation_hw=k",
		"ENTRY locality=z primary=0 availability=Terminating heft=1 host=h:2 db=11 start_time_ms=6100.5 novelty=1",
		"TARGETS who=3 scope=C gen=4 list=0",
		"REQUEST who=3 call=t/1 profile=w client_key=12 cluster=11 time_left_ms=240.25 retry=1",
		"OUTCOME who=3 call=t/1 hop=0 host=h:1 code=served time_taken_ms=18.5 final=1 mark=25486",
		"PROBE_DONE who=3 host=h:2 time_taken_ms=1 code=served telemetry=0.5,2.5,1",
		"DATAGRAM who=3 from=0 body=0aff", "SHUTDOWN who=3")))
	b, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 5000500*time.Microsecond || b.Seq != "7" || len(b.Items) != 7 {
		t.Fatalf("batch %v %q with %d items", b.Now, b.Seq, len(b.Items))
	}
	s := b.Items[0].Settings
	if s.RouterIndex != 1 || s.StalenessCheck != routing.CheckWaits || s.MaxRetryAfter != 500*time.Millisecond || len(s.Classes) != 2 ||
		s.Classes[0].StalenessBound != 300*time.Millisecond || s.Classes[1].Scope != routing.ScopeCell || !s.Probing.ReportsPosition {
		t.Errorf("settings %+v", s)
	}
	ts := b.Items[1].Event.(routing.TargetsChanged)
	if !ts.Full || len(ts.Targets) != 2 || !ts.Targets[0].Primary || !ts.Targets[1].Draining ||
		ts.Targets[1].StartedAt != 6100500*time.Microsecond {
		t.Errorf("targets %+v", ts)
	}
	if r := b.Items[2].Event.(routing.RequestArrived); r.Class != 1 || !r.HasSessionKey || r.SessionKey != 12 || !r.IsRetry || r.TimeRemaining != 240250*time.Microsecond {
		t.Errorf("request %+v", r)
	}
	o := b.Items[3].Event.(routing.AttemptEnded) // 25486 = 4 x 6371 + 2
	if o.Role != routing.Replica || o.Position != 7371*time.Millisecond || !o.Final || o.Code != routing.OK {
		t.Errorf("outcome %+v", o)
	}
	if r := b.Items[4].Event.(routing.ProbeEnded).Report; r.Role != routing.Primary || r.Position != 3500*time.Millisecond {
		t.Errorf("report %+v", r)
	}
	if !b.Items[6].IsShutdown {
		t.Error("no stop")
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("the end of the input gave %v", err)
	}
}

// Each error must name the line and the field that are invalid.
func TestFaults(t *testing.T) {
	for _, k := range []struct{ in, want string }{
		{"EOF_BATCH\n", `line 1: "EOF_BATCH" where a batch begins`},
		{"SYNC seq=1\nEOF_BATCH\n", "line 1: SYNC: field wall_ms: missing"},
		{"SYNC wall_ms=x seq=1\n", `SYNC: field wall_ms: "x"`},
		{"SYNC wall_ms=1 seq=1\n", "the input ends before EOF_BATCH"},
		{"SYNC wall_ms=1 seq=1\nEOF_BA", "line 2: the input ends inside a line"},
		{batch("WAKEUP who=9 nonce=1"), "line 2: WAKEUP: field who: instance 9"},
		{batch(open, "NOVEL who=3"), `line 3: message "NOVEL" is unknown`},
		{batch(open, "WAKEUP who=3 nonce=-1"), `line 3: WAKEUP: field nonce: "-1"`},
		{batch(open, "WAKEUP who=3 nonce"), `line 3: WAKEUP: field "nonce"`},
		{batch(open, "TARGETS who=3 scope=D list=5"), "line 3: TARGETS: field list"},
		{batch(open, "REQUEST who=3 call=a profile=q time_left_ms=1"), `line 3: REQUEST: field profile: "q"`},
		{batch(open, "OUTCOME who=3 call=a hop=0 host=h code=fine time_taken_ms=1"), `line 3: OUTCOME: field code: "fine"`},
		{batch(open, "PROBE_DONE who=3 host=h time_taken_ms=1 code=served telemetry=1"), "line 3: PROBE_DONE: field telemetry"},
		{batch(open, "DATAGRAM who=3 from=0 body=0x"), "line 3: DATAGRAM: field body"},
		{batch("REGISTER list=0 rows=1", "ENTRY host=a db=1 locality=z availability=Odd"), "field availability"},
		{batch("REGISTER list=0 rows=2", "ENTRY host=a db=1 locality=z availability=Ready"), `"EOF_BATCH" inside a list`},
		{batch(`OPEN_INSTANCE who=3 nonce64=9 info={"balancers":`), "field info"},
	} {
		_, err := NewDecoder(strings.NewReader(k.in)).Next()
		if err == nil || !strings.Contains(err.Error(), k.want) {
			t.Errorf("%q: error %v, want %q in it", k.in, err, k.want)
		}
	}
}

func TestAppend(t *testing.T) {
	got := string(AppendActions(nil, 3, []routing.Action{
		{Kind: routing.ActSend, ID: "t/1", Host: "h:1", Timeout: 80500 * time.Microsecond},
		{Kind: routing.ActSend, ID: "t/1", Host: "h:2"},
		{Kind: routing.ActCancel, ID: "t/1", Attempt: 1},
		{Kind: routing.ActReject, ID: "t/1", RetryAfter: time.Second},
		{Kind: routing.ActFail, ID: "t/2"},
		{Kind: routing.ActTimer, At: 2 * time.Second, Timer: 5},
		{Kind: routing.ActProbe, Host: "h:1"},
		{Kind: routing.ActCloseIdle, Host: "h:1"},
		{Kind: routing.ActSubscribe},
		{Kind: routing.ActFetch},
	}))
	want := `TRANSMIT who=3 call=t/1 host=h:1 max_wait_ms=80.500
TRANSMIT who=3 call=t/1 host=h:2
CANCEL who=3 call=t/1 hop=1
REFUSE who=3 call=t/1 stay_away_ms=1000.000
FINISH_ERROR who=3 call=t/2
NOTIFY_ME who=3 at_ms=2000.000 nonce=5
ASK_LOAD who=3 host=h:1
CLOSE who=3 host=h:1
KEEP_INFORMED who=3 on=1
FETCH who=3
`
	if got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// FuzzDecode checks that no input panics and that every error names its line.
func FuzzDecode(f *testing.F) {
	f.Add(batch(open, "WAKEUP who=3 nonce=1"))
	f.Add(batch("REGISTER list=0 rows=1", "ENTRY host=a db=1 locality=z availability=Ready"))
	f.Fuzz(func(t *testing.T, in string) {
		d := NewDecoder(strings.NewReader(in))
		for {
			_, err := d.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				if !strings.HasPrefix(err.Error(), "line ") {
					t.Fatalf("%q: error without its line: %v", in, err)
				}
				return
			}
		}
	})
}

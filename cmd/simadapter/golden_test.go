package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

// The golden rounds: fixed lines of the simulator's wire and the exact bytes that answer them. Each message kind of the
// wire is in them, and so is each answer that a router gives; a change in any decision, random draw or format shows here.
func TestGoldenRounds(t *testing.T) {
	input, output := filepath.Join("testdata", "golden", "rounds.input"), filepath.Join("testdata", "golden", "rounds.output")
	if *updateGolden {
		writeGolden(t, input, goldenRounds(goldenSteps))
		writeGolden(t, output, []byte(answerTo(t, string(readGolden(t, input)))))
	}
	rounds, want := readGolden(t, input), readGolden(t, output)
	got := []byte(answerTo(t, string(rounds)))
	if !bytes.Equal(got, want) {
		gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
		for i := range min(len(gotLines), len(wantLines)) {
			if gotLines[i] != wantLines[i] {
				t.Fatalf("answer line %d is %q, want %q", i+1, gotLines[i], wantLines[i])
			}
		}
		t.Fatalf("%d answer lines, want %d", len(gotLines), len(wantLines))
	}
	for _, kind := range []string{
		"OPEN_INSTANCE", "SHUTDOWN", "REGISTER", "ENTRY", "TARGETS", "REQUEST", "OUTCOME", "FIRST", "LEFT",
		"WAKEUP", "PROBE_DONE", "DATAGRAM", "SYNC", "EOF_BATCH",
	} {
		if !bytes.Contains(append([]byte("\n"), rounds...), []byte("\n"+kind)) {
			t.Errorf("no %s among the rounds", kind)
		}
	}
	for _, kind := range []string{"TRANSMIT", "CANCEL", "REFUSE", "FINISH_ERROR", "NOTIFY_ME", "ASK_LOAD", "KEEP_INFORMED", "CLOSE", "BUG", "NEXT"} {
		if !bytes.Contains(append([]byte("\n"), want...), []byte("\n"+kind+" ")) {
			t.Errorf("no %s among the answers", kind)
		}
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func writeGolden(t *testing.T, name string, text []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// goldenSettings are the settings of the instances, one a line: sessions that carry tokens, sessions that are remembered,
// hosts that refuse and hosts that wait, and a router of a large fleet.
var goldenSettings = []string{
	`{"balancers":2,"index":1,"discovery":"subscribe","domain":{"catch_up_wait_ms":50,"class_read":["any","bounded","session","fresh","write","write"],` +
		`"origin_time_ms":1000,"role_in_list":"late","staleness_bound_ms":[0,300,0,0,0,0],"token_mode":"carried","when_behind":"off"},%s`,
	`{"balancers":3,"index":0,"discovery":"automatic","domain":{"catch_up_wait_ms":50,"class_read":["any","bounded","session","fresh","write","write"],` +
		`"origin_time_ms":1000,"role_in_list":"off","staleness_bound_ms":[0,300,0,0,0,0],"token_mode":"remembered","when_behind":"refuse"},%s`,
	`{"balancers":800,"index":7,"discovery":"automatic","domain":{"catch_up_wait_ms":50,"class_read":["any","bounded","session","fresh","write","write"],` +
		`"origin_time_ms":1000,"role_in_list":"start","staleness_bound_ms":[0,300,0,0,0,0],"token_mode":"carried","when_behind":"wait"},%s`,
	`{"balancers":400,"index":9,"discovery":"automatic","domain":{"catch_up_wait_ms":50,"class_read":["any","bounded","session","fresh","write","write"],` +
		`"origin_time_ms":1000,"role_in_list":"late","staleness_bound_ms":[0,300,0,0,0,0],"token_mode":"carried","when_behind":"off"},%s`,
}

const goldenRest = `"deductions":{"probe":0.04},"goal":{"whole":0.5,"worst_class":0.2},"over_share_worth":0.1,"period_ms":5,` +
	`"obligations":{"cold_from":0.24,"ramp_time_ms":4000,"drain_binds_alone":false,"overload_factor":3,"fall_ms":1500},` +
	`"policy_limits":{"max_retry_after_ms":2000,"may_cancel":true,"conn_idle_ms":15000,"connect_timeout_ms":250,"most_tries":6,"probes":true,"retry_after":true},` +
	`"projects":[{"name":"small","quota_per_s":20},{"name":"large","quota_per_s":900}],"report":{"fields":["util","x0","x1"],"how":"on_probe"},` +
	`"request_classes":[{"name":"report","aim_ms":400,"deadline_ms":2000,"effect":"idempotent","group":"all","late_share":0.2,"worth":1},` +
	`{"name":"browse","aim_ms":600,"deadline_ms":2000,"effect":"idempotent","group":"all","late_share":0,"worth":2},` +
	`{"name":"library","aim_ms":600,"deadline_ms":2000,"effect":"idempotent","group":"all","late_share":0.5,"worth":2},` +
	`{"name":"check","aim_ms":500,"deadline_ms":2000,"effect":"idempotent","group":"all","late_share":0.2,"worth":2},` +
	`{"name":"donate","aim_ms":600,"deadline_ms":5000,"effect":"at_most_once","late_share":0.3,"worth":4},` +
	`{"name":"save","aim_ms":1000,"deadline_ms":5000,"effect":"deduplicated","group":"cell","window_ms":3000,"late_share":0.5,"worth":3}]}`

// goldenSteps is how many rounds follow the first: enough for every kind of answer.
const goldenSteps = 250

// goldenCall is a request of the generated rounds, with the attempts that may be out.
type goldenCall struct {
	id        string
	who, hops int
}

// goldenRounds generates the rounds from a fixed sequence. It hears no answers: outcomes come for hops whether or not they
// were sent, and a router ignores those that were not.
func goldenRounds(steps int) []byte {
	state := uint32(2718)
	draw := func(n int) int {
		state = state*1664525 + 1013904223
		return int(state>>8) % n
	}
	classes := []string{"report", "browse", "library", "check", "donate", "save"}
	codes := []string{
		"served", "served", "served", "served", "served", "served", "server_error", "turned_away", "no_answer", "no_connection",
		"connection_lost", "called_off", "not_sent", "not_stored", "not_stored",
	}
	var b bytes.Buffer
	now := 10000.0
	seq := 0
	var calls []goldenCall
	round := func(body func()) {
		seq++
		fmt.Fprintf(&b, "SYNC wall_ms=%.3f seq=%d\n", now, seq)
		body()
		b.WriteString("EOF_BATCH\n")
	}
	mark := func(position float64, role int) int { return int(position-1000)*4 + role }
	round(func() {
		for who, text := range goldenSettings {
			fmt.Fprintf(&b, "OPEN_INSTANCE who=%d nonce64=%d info=%s\n", who, 77+who, fmt.Sprintf(text, goldenRest))
		}
		fmt.Fprintf(&b, "OPEN_INSTANCE who=9 nonce64=1 info=%s\n", strings.Replace(fmt.Sprintf(goldenSettings[0], goldenRest), `"balancers":2`, `"balancers":0`, 1))
		b.WriteString("REGISTER list=0 rows=8\n")
		for i := range 8 {
			fmt.Fprintf(&b, "ENTRY locality=z primary=%d availability=Ready host=h:%d db=%d\n", max(0, 1-i%4), i, 1+i/4)
		}
		for who := range goldenSettings {
			fmt.Fprintf(&b, "TARGETS who=%d scope=C gen=1 list=0\n", who)
		}
	})
	lists := 0
	for step := range steps {
		now += float64(draw(40)) + float64(draw(1000))/1000
		round(func() {
			for who := range goldenSettings {
				for range 1 {
					class := draw(len(classes))
					id := fmt.Sprintf("t/%d/%d", who, step*4+len(calls)%4)
					fmt.Fprintf(&b, "REQUEST who=%d call=%s profile=%s cluster=%d time_left_ms=%d.250", who, id, classes[class], 1+draw(2), 200+draw(1800))
					if draw(2) == 0 {
						fmt.Fprintf(&b, " client_key=%d token_age_ms=%d", draw(6), 1+draw(700))
					}
					if tenant := draw(3); tenant > 0 {
						fmt.Fprintf(&b, " tenant=%s", []string{"", "small", "large"}[tenant])
					}
					if draw(6) == 0 {
						b.WriteString(" retry=1")
					}
					b.WriteString("\n")
					calls = append(calls, goldenCall{id: id, who: who})
				}
			}
			for len(calls) > 6 || len(calls) > 2 && draw(4) > 0 {
				i := draw(len(calls))
				c := &calls[i]
				code := codes[draw(len(codes))]
				if step%100 > 70 && step%100 < 90 { // a stretch in which little goes well
					code = "no_connection"
				}
				final, elapsed := 0, 1+draw(350)
				if code == "served" || c.hops > 3 {
					final = 1
				}
				if code == "no_connection" {
					elapsed = 1 + draw(20)
				}
				for hop := max(0, c.hops-1); hop <= c.hops; hop++ { // those that are not out are ignored
					fmt.Fprintf(&b, "OUTCOME who=%d call=%s hop=%d host=h:%d code=%s time_taken_ms=%d.5 final=%d", c.who, c.id, hop, draw(8), code, elapsed, final)
					if draw(3) > 0 {
						fmt.Fprintf(&b, " mark=%d", mark(now-float64(draw(400)), 1+draw(2)))
					}
					if draw(4) == 0 {
						fmt.Fprintf(&b, " telemetry=0.5,%.3f,%d", (now-1000-float64(draw(500)))/1000, draw(2))
					}
					b.WriteString("\n")
				}
				if c.hops++; final == 1 || draw(9) == 0 {
					if final == 0 {
						fmt.Fprintf(&b, "LEFT who=%d call=%s\n", c.who, c.id)
					}
					calls = append(calls[:i], calls[i+1:]...)
				}
			}
			for range draw(5) {
				code, host := "served", draw(8)
				if draw(6) == 0 {
					code = codes[6+draw(len(codes)-6)]
				}
				fmt.Fprintf(&b, "PROBE_DONE who=%d host=h:%d time_taken_ms=%d.5 code=%s", draw(4), host, 1+draw(30), code)
				if code == "served" {
					fmt.Fprintf(&b, " telemetry=0.25,%.3f,%d", (now-1000-float64(draw(900)))/1000, max(0, 1-host%4))
				}
				b.WriteString("\n")
			}
			switch draw(10) {
			case 0:
				lists++
				host := draw(9)
				fmt.Fprintf(&b, "REGISTER list=%d rows=1\nENTRY locality=z primary=%d availability=%s host=h:%d db=%d start_time_ms=%.3f\n", lists,
					draw(2), []string{"Ready", "Ready", "Ready", "Terminating", "Gone"}[draw(5)], host, 1+host/4%2, now-float64(draw(9000)))
				for who := range goldenSettings {
					fmt.Fprintf(&b, "TARGETS who=%d scope=D gen=%d list=%d\n", who, lists+1, lists)
				}
			case 1:
				fmt.Fprintf(&b, "TARGETS who=%d scope=X\n", draw(4))
			case 2:
				fmt.Fprintf(&b, "FIRST who=%d call=t/0/%d\nDATAGRAM who=%d from=0 body=0aff\n", draw(4), step, draw(4))
			case 3:
				for who := range goldenSettings {
					fmt.Fprintf(&b, "TARGETS who=%d scope=F gen=%d list=0\n", who, lists+1)
				}
			default:
				fmt.Fprintf(&b, "WAKEUP who=%d nonce=0\n", draw(4))
			}
		})
	}
	for step := range 60 { // the large fleet's hosts are out of connections
		now += 400
		round(func() {
			if step == 0 {
				b.WriteString("REGISTER list=900 rows=3\n")
				for i := range 3 {
					fmt.Fprintf(&b, "ENTRY locality=z primary=%d availability=Ready host=h:%d db=9\n", max(0, 1-i), 20+i)
				}
				b.WriteString("TARGETS who=2 scope=D gen=1000 list=900\n")
			}
			fmt.Fprintf(&b, "REQUEST who=2 call=c/%d profile=report cluster=9 time_left_ms=2000\n", step)
		})
		now += 2
		round(func() {
			code, final := "no_connection", 0
			if step%2 == 1 {
				code, final = "served", 1
			}
			fmt.Fprintf(&b, "OUTCOME who=2 call=c/%d hop=0 host=h:21 code=%s time_taken_ms=2 final=%d\n", step, code, final)
			fmt.Fprintf(&b, "OUTCOME who=2 call=c/%d hop=1 host=h:22 code=served time_taken_ms=2 final=1\n", step)
		})
	}
	round(func() {
		for who := range goldenSettings {
			fmt.Fprintf(&b, "SHUTDOWN who=%d\n", who)
		}
	})
	return b.Bytes()
}

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/metrics"
	"ashstand/internal/settings"
)

// siteWithReadsAtMostOnce is the site with a class of bounded reads that must not be repeated once they may have run.
var siteWithReadsAtMostOnce = strings.Replace(
	strings.Replace(site, `"effect":"idempotent"`, `"effect":"at_most_once"`, 1),
	`"aim_ms":5000,"deadline_ms":10000`, `"aim_ms":300,"deadline_ms":361`, 1)

// silentDiscovery holds a list service that never answers: the poolers go by the list that they were given.
func silentDiscovery(t *testing.T) (address string) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// hostsWithAStaleReplica is a replica whose answers lag further than its reports say, and a primary beside it if there is to be one.
func hostsWithAStaleReplica(withPrimary bool) []*host {
	hosts := []*host{{name: "a", wire: "postgresql", slips: 400 * time.Millisecond}}
	if withPrimary {
		hosts = append(hosts, &host{name: "p", wire: "postgresql", primary: true})
	}
	return hosts
}

// launchWithReadsAtMostOnce starts hosts, and a program that knows them. program "": the one that all tests share.
func launchWithReadsAtMostOnce(t *testing.T, program string, hosts []*host, seed string) (listen string, logged *record) {
	t.Helper()
	var entries []string
	for _, h := range hosts {
		h.serve(t)
		entries = append(entries, (&world{}).entry(h, "active"))
	}
	discovery, known := silentDiscovery(t), (&world{}).list(1, true, entries...)
	listen, _, logged, _ = launchProgram(t, program, discovery, func(listen string) string {
		text := fmt.Sprintf(configuration, listen, discovery, known, siteWithReadsAtMostOnce)
		return strings.Replace(text, `"seed":"8c1f"`, fmt.Sprintf(`"seed":%q`, seed), 1)
	})
	return listen, logged
}

// runsOf is how often hosts took the request of an id.
func runsOf(hosts []*host, id string) (runs int) {
	for _, h := range hosts {
		h.set(func() {
			for _, text := range h.seen {
				if strings.Contains(text, "id="+id+",") {
					runs++
				}
			}
		})
	}
	return runs
}

// A replica runs a read and answers, but by the answer's own stamp its data is too old: it fell behind since its last report.
// The answer can't be served. The read has run all the same, so it may be neither rejected, which promises that nothing ran,
// nor sent to another host. This is the incident of December 2026, on a real process, for three seeds.
func TestARequestThatRanIsNeitherRejectedNorSentAgain(t *testing.T) {
	const requests, deadlineMillis = 7, 361
	for _, seed := range []string{"8c1f", "51ab", "07e3"} {
		for _, withPrimary := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %s, primary %t", seed, withPrimary), func(t *testing.T) {
				hosts := hostsWithAStaleReplica(withPrimary)
				listen, logged := launchWithReadsAtMostOnce(t, "", hosts, seed)
				ask := pgClient(listen)
				for n := range requests {
					id := fmt.Sprintf("read-%d", n)
					v := ask(t, fmt.Sprintf("/* id=%s,c=browse,d=%d,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'", id, deadlineMillis))
					runs := runsOf(hosts, id)
					require.LessOrEqual(t, runs, 1, "%s was sent again though it had run: %s", id, logged)
					if runs == 1 {
						require.NotEqual(t, "refused", v.kind, "%s may have run and was refused", id)
					}
				}
				require.NotZero(t, hosts[0].count(), "no read reached the replica")
				require.NotContains(t, logged.String(), "a rule did not hold")
				require.Contains(t, logged.String(), "ended=stale_answer execution=ran")
			})
		}
	}
}

// siteWithEachAccess is a site whose classes have one access each, and one effect all.
func siteWithEachAccess(t *testing.T, effect string) *settings.Parsed {
	t.Helper()
	class := `{"name":%q,"aim_ms":300,"deadline_ms":900,"worth":1,"late_share":0.2,"effect":%q,"window_ms":400,"group":"cell"}`
	var reads, bounds, classes []string
	for _, access := range []string{"bounded", "session", "fresh", "any", "write"} {
		reads = append(reads, strconv.Quote(access))
		bounds = append(bounds, "200")
		classes = append(classes, fmt.Sprintf(class, access, effect))
	}
	text := fmt.Sprintf(`{"balancers":1,"index":0,"period_ms":5,"deductions":{"probe":0.001},
 "domain":{"class_read":[%s],"role_in_list":"late","staleness_bound_ms":[%s],"token_mode":"carried","when_behind":"off"},
 "policy_limits":{"conn_idle_ms":15000,"connect_timeout_ms":2000,"max_retry_after_ms":2000,"may_cancel":true,"most_tries":8,"probes":true,"retry_after":true},
 "report":{"fields":["x0","x1","inflight","util"],"how":"on_probe"},"request_classes":[%s]}`,
		strings.Join(reads, ","), strings.Join(bounds, ","), strings.Join(classes, ","))
	parsed, err := settings.Parse([]byte(text))
	require.NoError(t, err)
	return parsed
}

// Access and effect of a class are independent. Whatever a host does with a request that it took, on either wire: one that must
// run at most once is given to no other host, and is not rejected.
func TestWhatAHostTookIsNeverRejectedOrSentAgain(t *testing.T) {
	acts := map[string]act{
		"reset": reset, "half an answer": half, "noise": noise, "a row and 53300": rowThenTurnAway, "a row and 25006": rowThenNotPrimary,
		"a row and 72000": rowThenBehind, "an answer of a replica behind": serve,
	}
	for _, wire := range []string{"postgresql", "flightsql"} {
		for name, what := range acts {
			t.Run(wire+", "+name, func(t *testing.T) {
				site := siteWithEachAccess(t, "at_most_once")
				w := buildWith(t, func(c *config) { c.site = site }, wire, wire)
				for _, h := range w.hosts {
					h.set(func() {
						h.do = func(string) act { return what }
						if name == "an answer of a replica behind" {
							h.slips = 400 * time.Millisecond
						}
					})
				}
				for n, access := range []string{"bounded", "session", "fresh", "any", "write"} {
					id := fmt.Sprintf("%s-%d", access, n)
					comment := fmt.Sprintf("/* id=%s,c=%s,d=600,cluster=1,after=%d */ ", id, access, time.Now().Add(-100*time.Millisecond).UnixMilli())
					text := comment + "SELECT payload FROM entries WHERE ref = 'k'"
					if access == "write" {
						text = comment + "INSERT INTO entries (ref, payload) VALUES ('k', 'v') RETURNING payload"
					}
					v := w.ask["postgresql"](t, text)
					runs := runsOf(w.hosts, id)
					require.LessOrEqual(t, runs, 1, "%s was sent again", access)
					if runs == 1 {
						require.NotEqual(t, "refused", v.kind, "%s ran", access)
					}
				}
				figures, err := w.core.Metrics().Snapshot()
				require.NoError(t, err)
				require.Empty(t, metrics.Violations(figures))
			})
		}
	}
}

// Routing is made to forget that an attempt ran: its decisions contradict the facts, and the checks count them. What they decide
// is not carried out, unless that is broken as well.
func TestChecksSeeADecisionAgainstTheFacts(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ashstand")
	out, err := exec.Command("go", "build", "-tags", "faulthooks", "-o", program, "ashstand/cmd/ashstand").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, k := range []struct {
		fault       string
		withPrimary bool
		verdict     string
		runs        int
		counted     string
	}{
		{"forget_run", false, "failed", 1, "rejected_after_run"},
		{"forget_run", true, "failed", 1, "repeat_after_run"},
		{"forget_run,carry_out", false, "refused", 1, "rejected_after_run"},
		{"forget_run,carry_out", true, "served", 2, "repeat_after_run"},
	} {
		t.Run(fmt.Sprintf("%s, primary %t", k.fault, k.withPrimary), func(t *testing.T) {
			t.Setenv("ASHSTAND_FAULT", k.fault)
			hosts := hostsWithAStaleReplica(k.withPrimary)
			listen, logged := launchWithReadsAtMostOnce(t, program, hosts, "8c1f")
			v := pgClient(listen)(t, "/* id=one,c=browse,d=361,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'")
			require.Equal(t, k.verdict, v.kind)
			require.Equal(t, k.runs, runsOf(hosts, "one"))
			require.Eventually(t, func() bool { return strings.Contains(logged.String(), "rule="+k.counted) }, 5*time.Second, time.Millisecond)
		})
	}
}

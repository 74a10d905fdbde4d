package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/testbed/report"
)

// Over many requests the mean work is 1, each class has its share, and a request has the same work each time.
func TestWorkIsDrawn(t *testing.T) {
	d := warmUpDeployment(rand.New(rand.NewPCG(1, 1)), 3)
	require.NoError(t, d.check())
	rng := rand.New(rand.NewPCG(7, 7))
	const requests = 100000
	sum, heavy := 0.0, 0
	for i := range requests {
		class := drawClass(d.Classes, rng)
		if class.Name == "report" {
			heavy++
		}
		id := fmt.Sprint("r-", i)
		work := d.workOf(class, id)
		require.InDelta(t, work, d.workOf(class, id), 0)
		sum += work
	}
	require.InDelta(t, 1, sum/requests, 0.05)
	shares := 0.0
	for i := range d.Classes {
		shares += d.Classes[i].share()
	}
	require.InDelta(t, d.Classes[2].Share/shares, float64(heavy)/requests, 0.01)
}

// Drawn deployments have like and unlike classes, and every spread.
func TestWorkOfDeploymentsIsDrawn(t *testing.T) {
	spreads, ratios := map[Spread]int{}, map[bool]int{}
	for seed := range uint64(100) {
		d := drawDeployment(seed)
		require.True(t, d.hasWork())
		heaviest := 0.0
		for _, c := range d.Classes {
			spreads[c.Spread]++
			heaviest = max(heaviest, c.Work)
		}
		ratios[heaviest > 10]++
	}
	require.Len(t, spreads, 3)
	require.Greater(t, ratios[true], 10)
	require.Greater(t, ratios[false], 10)
}

// The same number of requests is within the bound if they are light and past it if they are heavy.
func TestTheJudgeCountsWork(t *testing.T) {
	for _, k := range []struct {
		class  string
		broken int
	}{{"read", 0}, {"report", 1}} {
		t.Run(k.class, func(t *testing.T) {
			g := report.New("soak", 1)
			j := newJudge(g, machineSlack)
			j.payloads = func(uint64, string) []string { return nil }
			d := warmUpDeployment(rand.New(rand.NewPCG(1, 1)), 1)
			for i := range d.Classes {
				d.Classes[i].Spread = SpreadConstant
			}
			d.Groups, d.SlowStart.Load, d.SlowStart.Speeds = 1, 0.5, []float64{1}
			j.cold = newColdLoad(&d, []string{"p", "a"})
			begin := time.Now().Truncate(time.Second).Add(-20 * time.Second)
			send := func(at time.Time, class string, n int) {
				for i := range n {
					id := fmt.Sprint(class, at.UnixNano(), "-", i)
					j.began(&request{id: id, class: &d.Classes[0], group: 1, pooler: "n1", writtenAt: at, dueFrom: at})
					j.sighted("a", "/* id="+id+",c="+class+",d=1000,cluster=1 */", at.Add(time.Duration(i)*time.Microsecond))
				}
			}
			for second := range 11 { // what is usual, and what a host of twice as much stands
				send(begin.Add(time.Duration(second)*time.Second), "read", 100)
			}
			j.cold.starts["a"] = []time.Time{begin.Add(15 * time.Second)}
			send(begin.Add(16*time.Second), k.class, 100)
			j.finish(func(uint64, string) int { return 0 })
			require.Equal(t, k.broken, g.Result(1).Broken[coldOverload], g.Result(1).Notes)
		})
	}
}

// Hosts fell 5 to 6 s after their start under a budget that counted each request as 1; on real processes.
func TestHeavyRequestsDoNotOverloadAWarmingHostOfRealProcesses(t *testing.T) {
	program := buildPooler(t, "")
	for _, seed := range []uint64{2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			plan := DrawWarmUps(seed, 24, 16*time.Second)
			r, err := Run(context.Background(), Options{Plan: plan, Clients: 4, Pooler: program, Slack: 3 * time.Second})
			require.NoError(t, err)
			t.Log(r.Notes)
			require.Greater(t, r.Requests.Served, 1000)
			require.True(t, r.Passed(), "%v\n%v", r.Broken, r.Notes)
		})
	}
}

package migration

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ashstand/internal/cluster/jobs"
)

func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Candidate
		for i := range rapid.IntRange(1, 12).Draw(t, "moves") {
			drawInt := func(what string, most int) int { return rapid.IntRange(1, most).Draw(t, what) }
			all = append(all, Candidate{
				Job: fmt.Sprint("w", i), Tenant: fmt.Sprint("t", drawInt("tenant", 6)), Priority: float64(drawInt("need", 3)),
				Groups: []Group{Group(drawInt("from", 3)), Group(drawInt("to", 3) + 3)}, Hosts: []string{fmt.Sprint(drawInt("host", 4))}, Zones: []string{fmt.Sprint(drawInt("zone", 2))},
			})
		}
		l := ConcurrencyLimits{
			Total: rapid.IntRange(0, 4).Draw(t, "all"), PerGroup: rapid.IntRange(0, 2).Draw(t, "group"), PerHost: rapid.IntRange(0, 2).Draw(t, "host"),
			PerZone: rapid.IntRange(0, 3).Draw(t, "zone"),
		}
		begun := 0
		for round := 0; begun < len(all); round++ {
			require.Less(t, round, 100, "each has its turn")
			may := Schedule(all, l)
			tenants, groups, hosts, zones, running := map[string]int{}, map[Group]int{}, map[string]int{}, map[string]int{}, 0
			for i, c := range all {
				if may[c.Job] != "" {
					continue
				}
				begun++
				all[i].Running = true
				tenants[c.Tenant]++
				groups[c.Groups[0]]++
				groups[c.Groups[1]]++
				hosts[c.Hosts[0]]++
				zones[c.Zones[0]]++
				running++
			}
			require.NotZero(t, running, "nobody runs and nobody may start: %v", may)
			over := func(n, most int) bool { return most > 0 && n > most }
			require.False(t, over(running, l.Total))
			for _, n := range tenants {
				require.Equal(t, 1, n)
			}
			for _, n := range groups {
				require.False(t, over(n, l.PerGroup))
			}
			for _, n := range hosts {
				require.False(t, over(n, l.PerHost))
			}
			for _, n := range zones {
				require.False(t, over(n, l.PerZone))
			}
			var left []Candidate // all running migrations have ended
			for _, c := range all {
				if !c.Running {
					left = append(left, c)
				}
			}
			all, begun = left, 0
			if len(all) == 0 {
				return
			}
		}
	})
	may := Schedule([]Candidate{
		{Job: "a", Tenant: "x", Groups: []Group{1, 2}, Running: true},
		{Job: "b", Tenant: "y", Groups: []Group{1, 3}, Priority: 2},
		{Job: "c", Tenant: "z", Groups: []Group{3, 4}, Priority: 1},
		{Job: "d", Tenant: "x", Groups: []Group{5, 6}},
	}, ConcurrencyLimits{PerGroup: 1})
	require.Equal(t, map[string]string{"b": "group 1 has 1 of 1 moves", "c": "group 3 has 1 of 1 moves", "d": "tenant x is moved by a"}, may)
}

func TestCandidates(t *testing.T) {
	var l jobs.StateMachine
	for _, name := range []string{"a", "b"} {
		require.Nil(t, l.Apply(jobs.Entry{Type: jobs.EntryCreate, Job: name, JobKind: "move", Spec: json.RawMessage(testPlan)}))
	}
	require.Nil(t, l.Apply(jobs.Entry{Type: jobs.EntryCreate, Job: "c", JobKind: "other"}))
	require.Nil(t, l.Apply(jobs.Entry{Type: jobs.EntryAssign, Job: "b", Holder: "n1"}))
	require.Nil(t, l.Apply(jobs.Entry{Type: jobs.EntryAnnounce, Job: "b", Token: 1, Operation: &jobs.Operation{Number: 1, Name: string(OperationCheck)}}))
	got := Candidates(&l, "move", func(g Group) (h, z []string) { return []string{fmt.Sprint("h", g)}, []string{"z"} })
	require.Equal(t, []Candidate{
		{Job: "a", Tenant: "orders", Groups: []Group{1, 2}, Hosts: []string{"h1", "h2"}, Zones: []string{"z", "z"}},
		{Job: "b", Tenant: "orders", Groups: []Group{1, 2}, Hosts: []string{"h1", "h2"}, Zones: []string{"z", "z"}, Running: true},
	}, got)
}

func TestRangeDigest(t *testing.T) {
	sum := func(rows ...[]string) (s RangeDigest) {
		for _, r := range rows {
			var cols [][]byte
			for _, c := range r {
				if c == "NULL" {
					cols = append(cols, nil)
				} else {
					cols = append(cols, []byte(c))
				}
			}
			s.AddRow(cols...)
		}
		return s
	}
	a, b := []string{"1", "x"}, []string{"2", "y"}
	require.Equal(t, sum(a, b), sum(b, a), "the order of rows is the host's own")
	for _, other := range []RangeDigest{sum(a), sum(a, b, b), sum(a, a), sum(a, []string{"2", "z"}), sum([]string{"1x"}, b), sum([]string{"", "1x"}, b), {}} {
		require.NotEqual(t, sum(a, b), other)
	}
	require.NotEqual(t, sum([]string{"NULL"}), sum([]string{""}))
	require.NotEqual(t, sum(a, a, b, b).Sum, sum().Sum)
	x, y := Range{"t", "", "5"}, Range{"t", "5", ""}
	got := CompareRanges(map[Range]RangeDigest{x: sum(a), y: sum(b)}, map[Range]RangeDigest{x: sum(a), y: sum(a)})
	require.Len(t, got, 1)
	require.Equal(t, "5 to the end", got[0].Range)
	require.Contains(t, got[0].Error(), "rows of t 5 to the end differ")
	require.Len(t, CompareRanges(map[Range]RangeDigest{x: sum(a)}, nil), 1, "a range that one side lacks")
}

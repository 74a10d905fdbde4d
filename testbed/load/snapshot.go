package load

import (
	"context"
	"fmt"
	"os"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/settings"
	"ashstand/internal/vfs"
	"ashstand/internal/warmstate"
	"ashstand/testbed/fleet"
	"ashstand/testbed/report"
)

// SnapshotCost measures what keeping learned state costs: for fleets of each size the bytes, the time that a snapshot
// takes and for how much of it decisions wait; and requests at a pooler that saves all the time over one that does not.
func SnapshotCost(ctx context.Context, pooler string, seed uint64, sizes []int, each time.Duration) (*report.Result, error) {
	g := report.New("restart --cost", seed)
	begun := time.Now()
	folder, err := os.MkdirTemp("", "testbed-state-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	for _, n := range sizes {
		if err := snapshotOf(g, folder, n); err != nil {
			return nil, err
		}
	}
	var p99, perCPU [2]float64
	for round := range 4 { // in turn, so that the machine's moods count for both
		o := fleet.Options{Pooler: pooler, Seed: seed, Clients: 20, Servers: 8, Replicas: 2}
		if round%2 == 1 {
			o.State, o.Pace = folder, 50*time.Millisecond
		}
		f, err := fleet.Start(o)
		if err != nil {
			return nil, err
		}
		out, err := press(ctx, target{name: fmt.Sprint("r", round), address: f.Pooler.Statement, pid: f.Pooler.PID()}, 16, each, g)
		f.Stop()
		if err != nil {
			return nil, err
		}
		p99[round%2] += out.p99 / 2
		perCPU[round%2] += out.perCPU / 2
	}
	g.Do(func(r *report.Result) {
		r.Baseline["p99 us, saving every 50 ms over never"], r.Ratio["p99 us, saving every 50 ms over never"] = p99[0], p99[1]/p99[0]
		r.Baseline["requests by CPU second, saving over never"], r.Ratio["requests by CPU second, saving over never"] = perCPU[0], perCPU[1]/perCPU[0]
	})
	return g.Result(time.Since(begun).Seconds()), nil
}

func snapshotOf(g *report.Collector, folder string, n int) error {
	b, err := fleet.SettingsJSON()
	if err != nil {
		return err
	}
	site, err := settings.Parse(b)
	if err != nil {
		return err
	}
	f, err := dispatch.New(site, 1, clock.System(), nil, nil)
	if err != nil {
		return err
	}
	ms := make([]dispatch.Endpoint, n)
	for i := range ms {
		ms[i] = dispatch.Endpoint{Host: fmt.Sprintf("s-%08x", i), Group: uint64(i / 4), Primary: i%4 == 0}
	}
	f.UpdateEndpoints(true, ms)
	for _, m := range ms {
		f.ProbeDone(m.Host, dispatch.Outcome{Code: dispatch.OK, Report: dispatch.Report{Role: dispatch.Replica, Position: clock.System().Now() - 20}})
	}
	store := warmstate.NewUnlockedStore(vfs.OS{}, folder)
	const rounds = 20
	var pause, whole, most time.Duration
	size := 0
	for range rounds {
		t := time.Now()
		state := f.ExportState() // decisions wait for this and for nothing else
		held := time.Since(t)
		pause += held / rounds
		most = max(most, held)
		b, err := warmstate.Encode(warmstate.NewSnapshot(warmstate.Header{Name: "n", SiteHash: "s", WrittenAt: clock.System().Now()}, state, nil, nil))
		if err != nil {
			return err
		}
		if err := store.Save(b); err != nil {
			return err
		}
		whole += time.Since(t) / rounds
		size = len(b)
	}
	g.Do(func(r *report.Result) {
		r.Notes = append(r.Notes, fmt.Sprintf("%5d hosts: %d bytes, %.2f ms with sync and rename, decisions wait %.3f ms (%.3f at the most)", n, size,
			whole.Seconds()*1e3, pause.Seconds()*1e3, most.Seconds()*1e3))
	})
	return nil
}

package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The release that DrawRelease plays: when its parts begin, in milliseconds.
const (
	releaseSteady = 6000 // that what is usual is known
	releaseDrain  = 2000 // from the start of the host that warms up to the first drain, at the least
	releaseStep   = 1500 // from one drain to the next
	drainFor      = 6000
	fastestSpeed  = 1.43 // of a host beside the slowest, as a fraction of the mean
)

// DrawRelease makes a schedule in which one replica of each group comes back and the others are replaced around it while it warms up,
// as a release by steps does, and then more is asked. By the seed a hand-over of the primary to it, the restart of a tenth of
// the poolers, or both come with that. Groups have two or three replicas, and the one that warms up is the slowest of them.
func DrawRelease(seed uint64, poolers int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x4e1e))
	d := usual()
	d.Replicas = 2 + int(seed%2)
	slowStart := usualSlowStart()
	slowStart.Load = 0.36
	slowStart.Speeds = []float64{1, leastSpeed, fastestSpeed, 1}[:d.Replicas+1]
	d.SlowStart = &slowStart
	p := Plan{Seed: seed, Poolers: poolers, Hosts: d.hosts(), Length: Millis(length.Milliseconds()), OneByOne: true, Deployment: &d}
	const warming = 1
	add := func(kind Kind, at int, f Fault) {
		f.Kind, f.At = kind, Millis(at)
		p.Faults = append(p.Faults, f)
	}
	add(HostRestart, releaseSteady, Fault{Host: warming})
	at := releaseSteady + releaseDrain + rng.IntN(2*releaseStep)
	for host := warming + 1; host <= d.Replicas; host++ {
		add(HostDrain, at, Fault{Host: host, For: drainFor})
		at += rng.IntN(releaseStep)
	}
	add(ClientsSurge, at, Fault{Host: warming, For: 4000})
	if seed%3 != 0 {
		add(Failover, at+releaseStep+500, Fault{Host: warming})
	}
	if seed%3 != 1 {
		for i := range (poolers + 9) / 10 {
			add(Terminate, at+rng.IntN(500), Fault{Pooler: i * 10 % poolers})
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

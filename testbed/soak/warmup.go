package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The run that DrawWarmUps plays, in milliseconds and in numbers.
const (
	warmUpSteady = 6000 // that what is usual is known
	warmUpWithin = 1500 // of each other, one host of each group restarts
	warmUpLag    = 5000 // for which some of these hosts lag
	warmUpGroups = 4
	warmUpAim    = 300 // objective of the light classes
	warmUpLoad   = 0.9 // of a replica of the mean capacity
)

// DrawWarmUps makes a schedule in which one replica of each group comes back under ordinary traffic: many light reads and a few heavy ones,
// which any replica may answer. Of all groups but the first it also lags, so that reads that tolerate that prefer it. By the seed groups have
// two or three replicas, heavy reads are more or less heavy, and the restart of a tenth of the poolers comes with that.
func DrawWarmUps(seed uint64, poolers int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x3a13))
	d := warmUpDeployment(rng, 2+int(seed%2))
	p := Plan{Seed: seed, Poolers: poolers, Hosts: d.hosts(), Length: Millis(length.Milliseconds()), OneByOne: true, Deployment: &d}
	members := d.Replicas + 1
	for group := range warmUpGroups {
		host := group*members + 1 + rng.IntN(d.Replicas)
		at := Millis(warmUpSteady + rng.IntN(warmUpWithin))
		p.Faults = append(p.Faults, Fault{Kind: HostRestart, At: at, Host: host})
		if group > 0 {
			p.Faults = append(p.Faults, Fault{Kind: HostBehind, At: at + Millis(2*haltFor.Milliseconds()), For: warmUpLag, Host: host})
		}
	}
	if seed%3 == 0 {
		for i := range (poolers + 9) / 10 {
			p.Faults = append(p.Faults, Fault{Kind: Terminate, At: Millis(warmUpSteady + rng.IntN(warmUpLag)), Pooler: i * 10 % poolers})
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// warmUpDeployment draws the deployment of DrawWarmUps.
func warmUpDeployment(rng *rand.Rand, replicas int) Deployment {
	heavyShare := 0.05 + 0.02*rng.Float64()
	ratio := 25 + 5*rng.Float64()
	slowStart := usualSlowStart()
	slowStart.Load = warmUpLoad
	slowStart.Handshake, slowStart.Probe = 0.05+0.4*rng.Float64(), 0.02
	slowStart.Speeds = nil
	for range warmUpGroups * (replicas + 1) {
		slowStart.Speeds = append(slowStart.Speeds, leastSpeed+(mostSpeed-leastSpeed)*rng.Float64())
	}
	return Deployment{
		Classes: []Class{
			{Name: "read", Access: Bounded, Effect: Idempotent, Objective: warmUpAim, Deadline: 1000, Bound: 200, Share: 0.43, Work: 1, Spread: SpreadLognormal},
			{Name: "own", Access: Session, Effect: Idempotent, Objective: warmUpAim, Deadline: 2000, Share: 0.4, Work: 1, Spread: SpreadLognormal},
			{Name: "report", Access: Any, Effect: Idempotent, Objective: 7500, Deadline: 15000, Share: heavyShare, Work: ratio, Spread: SpreadExponential},
			{Name: "insert", Access: Write, Effect: AtMostOnce, Objective: 1000, Deadline: 3000, Share: 0.14, Work: 2.8, Spread: SpreadLognormal},
		},
		Groups: warmUpGroups, Replicas: replicas, StalenessCheck: CheckOff, SlowStart: &slowStart,
	}
}

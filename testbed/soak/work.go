package soak

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ashstand/testbed/host"
)

// Spread says how the work of a class's requests varies around its mean.
type Spread string

// The spreads.
const (
	SpreadConstant    Spread = "constant"
	SpreadLognormal   Spread = "lognormal"
	SpreadExponential Spread = "exponential"
)

// meanServiceTime is how long a host of the mean capacity takes for a request of mean work, in a deployment whose classes have work.
const meanServiceTime = 4 * time.Millisecond

// draw returns a random number of mean 1.
func (s Spread) draw(rng *rand.Rand) float64 {
	const sigma = 0.8 // of the logarithm
	switch s {
	case SpreadLognormal:
		return math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
	case SpreadExponential:
		return rng.ExpFloat64()
	case SpreadConstant:
	}
	return 1
}

// hasWork reports whether the classes of a deployment differ in work.
func (d *Deployment) hasWork() bool {
	return slices.ContainsFunc(d.Classes, func(c Class) bool { return c.Work > 0 })
}

// share is a class's part of the requests, relative to those of the others.
func (c *Class) share() float64 {
	if c.Share == 0 {
		return 1
	}
	return c.Share
}

// relativeWork is the mean work of a class, relative to those of the others.
func (c *Class) relativeWork() float64 {
	if c.Work == 0 {
		return 1
	}
	return c.Work
}

// meanWork is the mean of relativeWork over the requests of all classes.
func (d *Deployment) meanWork() float64 {
	work, shares := 0.0, 0.0
	for i := range d.Classes {
		c := &d.Classes[i]
		work += c.share() * c.relativeWork()
		shares += c.share()
	}
	return work / shares
}

// workOf is the work of a request, in requests of mean work. It follows from the request's id, so that each attempt has the same.
func (d *Deployment) workOf(class *Class, id string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	rng := rand.New(rand.NewPCG(hash.Sum64(), 0x3a11))
	return class.relativeWork() / d.meanWork() * class.Spread.draw(rng)
}

// drawClass draws the class of a request.
func drawClass(classes []Class, rng *rand.Rand) *Class {
	if !slices.ContainsFunc(classes, func(c Class) bool { return c.Share > 0 }) {
		return &classes[rng.IntN(len(classes))]
	}
	sum := 0.0
	for i := range classes {
		sum += classes[i].share()
	}
	at := sum * rng.Float64()
	for i := range classes {
		if at -= classes[i].share(); at < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// Bounds of what drawWork draws.
const (
	leastHeavyWork, mostHeavyWork   = 1, 30 // of one class, in multiples of the least of the others
	leastHeavyShare, mostHeavyShare = 0.01, 0.06
	mostOrdinaryWork                = 3
	leastProbeWork, mostProbeWork   = 0.005, 0.05
	leastHandshake, mostHandshake   = 0.05, 0.7
)

// drawWork gives classes work, drawn from a sequence of its own: one of them, that with the longest deadline, few and heavy requests.
func (d *Deployment) drawWork(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x3a12))
	between := func(low, high float64) float64 { return low * math.Pow(high/low, rng.Float64()) }
	heavy := 0
	for i := range d.Classes {
		if d.Classes[i].Deadline > d.Classes[heavy].Deadline {
			heavy = i
		}
	}
	spreads := []Spread{SpreadConstant, SpreadLognormal, SpreadExponential}
	heavyShare, ordinary := between(leastHeavyShare, mostHeavyShare), float64(len(d.Classes)-1)
	for i := range d.Classes {
		c := &d.Classes[i]
		c.Spread = spreads[rng.IntN(len(spreads))]
		c.Work, c.Share = between(1, mostOrdinaryWork), (1-heavyShare)/ordinary
		if i == heavy {
			c.Work, c.Share = between(leastHeavyWork, mostHeavyWork), heavyShare
		}
	}
	d.SlowStart.Probe, d.SlowStart.Handshake = between(leastProbeWork, mostProbeWork), between(leastHandshake, mostHandshake)
}

// serviceTime is how long a host takes for a statement.
func (r *rig) serviceTime(hostName, text string) time.Duration {
	class, _ := r.classOf(text)
	id, ok := host.StatementID(text)
	if class == nil || !ok {
		return 0
	}
	return time.Duration(r.serves.workOf(class, id) / r.judge.cold.speed(hostName) * float64(meanServiceTime))
}

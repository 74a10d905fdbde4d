package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// workSpread is how the work of a class's requests varies around its mean.
type workSpread int

const (
	constantWork workSpread = iota
	lognormalWork
	exponentialWork
)

var workSpreadNames = [...]string{"constant", "lognormal", "exponential"}

func (s workSpread) String() string { return workSpreadNames[s] }

// draw returns a random number of mean 1.
func (s workSpread) draw(rng *rand.Rand) float64 {
	const sigma = 0.8 // of the logarithm
	switch s {
	case lognormalWork:
		return math.Exp(rng.NormFloat64()*sigma - sigma*sigma/2)
	case exponentialWork:
		return rng.ExpFloat64()
	case constantWork:
	}
	return 1
}

// fleetWork says what each request costs its host, in requests of mean work. With a nil *fleetWork each costs 1,
// is answered after answerTime, and handshakes cost nothing.
type fleetWork struct {
	rng           *rand.Rand
	mean          [6]float64 // of the requests of each class
	spread        workSpread
	handshakeWork float64
	queueTime     time.Duration // for which a request waits at its host, on average
}

// The time that a request takes at a host of the usual speed: on the way, and for a request of mean work.
const (
	wayTime      = 2 * ms
	meanWorkTime = 10 * ms
)

// draw returns the work of a request of a class.
func (k *fleetWork) draw(class int) float64 {
	if k == nil {
		return 1
	}
	return k.mean[class] * k.spread.draw(k.rng)
}

func (k *fleetWork) handshake() float64 {
	if k == nil {
		return 0
	}
	return k.handshakeWork
}

// answerTime returns how long a host of a speed takes for a request.
func (k *fleetWork) answerTime(work, speed float64) time.Duration {
	if k == nil {
		return answerTime
	}
	queueTime := time.Duration(k.rng.ExpFloat64() * float64(k.queueTime))
	return wayTime + queueTime + time.Duration(work/speed*float64(meanWorkTime))
}

// statedBound returns what a host withstands in a window of which so much is allowed, as the rule on cold hosts
// states it.
func statedBound(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// trafficMix is the traffic of a deployment: light reads of two classes, writes, and heavy reads that any replica
// may answer.
type trafficMix struct {
	name           string
	heavyShare     float64 // of the requests
	heavyRatio     float64 // work of a heavy read, as a multiple of that of a light one
	writeRatio     float64 // the same for a write
	spread         workSpread
	heavyObjective time.Duration
}

const (
	writeShare     = 0.14
	lightObjective = 300 * ms
)

// apply gives a simulation this traffic, and the settings of the operators' pages for slow start.
func (x *trafficMix) apply(w *fleetSimulation, seed uint64) {
	lightShare := (1 - x.heavyShare - writeShare) / 2 // of each of two classes
	light := 1 / (x.heavyShare*x.heavyRatio + writeShare*x.writeRatio + 2*lightShare)
	w.mix = []float64{eventualRead: x.heavyShare, boundedRead: lightShare, sessionRead: lightShare, atMostOnceWrite: writeShare}
	w.work = &fleetWork{rng: rand.New(rand.NewPCG(seed, 0x3a11)), spread: x.spread}
	w.work.mean = [...]float64{
		eventualRead: x.heavyRatio * light, boundedRead: light, sessionRead: light, strongRead: light,
		atMostOnceWrite: x.writeRatio * light, deduplicatedWrite: light,
	}
	w.withstands = statedBound
	for class, objective := range map[int]time.Duration{
		eventualRead: x.heavyObjective, boundedRead: lightObjective, sessionRead: lightObjective, atMostOnceWrite: time.Second,
	} {
		w.cfg.Classes[class].LatencyObjective, w.cfg.Classes[class].Deadline = objective, 2*objective
	}
	w.cfg.SlowStart = SlowStart{Floor: 0.24, Duration: 15 * time.Second, OverloadFactor: 3, OverloadWindow: overloadWindow}
	for i, c := range w.routers {
		s := w.cfg
		s.RouterIndex = i
		require.NoError(w.t, c.Configure(s))
	}
}

// workScenario is what happens around the hosts that warm up.
type workScenario struct {
	name     string
	before   func(w *fleetSimulation) // before anything is learned
	change   func(w *fleetSimulation) // 1.5 s after the start
	restarts []int                    // numbers of the members that restart; nil: one replica
}

// workPlay is one simulated run.
type workPlay struct {
	mix      trafficMix
	scenario workScenario
	routers  int
	hostRate float64 // requests of mean work that a warm host bears in a second
	load     float64 // of the group, as a fraction of what its replicas bear
	seed     uint64
}

// run returns the greatest load of a warming host, as a fraction of what it withstands, and the fraction of
// the requests that were refused after the start.
func (p *workPlay) run(t testing.TB) (worst, refused float64) {
	const groups = 4
	w := newFleetSimulationWith(t, p.routers, groups, usualReplicas, p.seed, nil)
	w.rate = p.hostRate * groups * usualReplicas
	w.baseRate = w.rate
	w.rate *= p.load
	p.mix.apply(w, p.seed)
	if p.scenario.before != nil {
		p.scenario.before(w)
	}
	w.play(6 * time.Second) // routers learn the usual load
	since, rejected, arrived := w.now, w.rejected, w.arrived
	restarts := cmp.Or(len(p.scenario.restarts), 1)
	numbers := append(p.scenario.restarts, 1)[:restarts]
	w.restartHosts(time.Second, w.hosts(numbers...)...)
	w.play(1500 * ms)
	if p.scenario.change != nil {
		p.scenario.change(w)
	}
	w.play(7 * time.Second)
	worst, started := w.worstOverload(since)
	require.Equal(t, groups*restarts, started)
	return worst, float64(w.rejected-rejected) / float64(w.arrived-arrived)
}

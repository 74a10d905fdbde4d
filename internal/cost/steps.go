package cost

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Values of Step.Freshness.
const (
	freshnessWrite   = "write"   // a write: it runs at the primary
	freshnessFresh   = "fresh"   // a read of the latest data, which the primary alone serves
	freshnessSession = "session" // a read that sees the session's own writes
	freshnessBounded = "bounded" // a read of data that is not older than MaxStalenessMillis
	freshnessAny     = "any"
)

var freshnessValues = []string{freshnessWrite, freshnessFresh, freshnessSession, freshnessBounded, freshnessAny}

// hostSet are hosts that are alike to a step: of one kind, about as busy, all warming up or none.
type hostSet struct {
	kind         string
	kindIndex    int
	primary      bool
	warmingUp    bool
	busyBucket   int
	inflight     float64 // mean
	freeCapacity float64 // mean
	capacity     float64 // mean
	maxLagMillis float64
	hosts        int
	parts        [replicaDraws]int // of the step there, in each draw of replicas
}

// assignedStep is a step with where it runs.
type assignedStep struct {
	step     *Step
	class    int
	logSize  float64
	sets     []hostSet
	waitsFor []int // steps that end before it begins
}

// assignSteps places the steps on hosts. It fails where a step has no host, or nothing is known of its class or of a kind of host.
func (e *Estimator) assignSteps(now float64, p *Plan, f *Fleet, random *rand.Rand) ([]assignedStep, error) {
	groups, ids := f.groups()
	index := map[string]int{}
	var placed []assignedStep
	for i := range p.Steps {
		s := &p.Steps[i]
		index[s.Name] = i
		class, known := e.full.classes[s.Class]
		if !known {
			return nil, noEvidenceOf(s.Statement, s.Class)
		}
		step := assignedStep{step: s, class: class, logSize: logSize(s.Rows, s.Bytes)}
		at := []uint64{s.Group}
		if s.AllGroups {
			at = ids
		}
		if len(at) == 0 {
			return nil, &NoEstimateError{Reason: "the fleet has no hosts"}
		}
		for _, group := range at {
			if err := e.assignStep(&step, group, groups[group], now, f.WarmUpMillis, random); err != nil {
				return nil, err
			}
		}
		placed = append(placed, step)
	}
	for i := range placed {
		for _, name := range placed[i].step.After {
			placed[i].waitsFor = append(placed[i].waitsFor, index[name])
		}
	}
	return placed, nil
}

// assignStep places a step's part in one group, once for each draw of replicas.
func (e *Estimator) assignStep(step *assignedStep, group uint64, members []*Host, now, warmUpMillis float64, random *rand.Rand) error {
	name := step.step.Name
	hosts := eligibleHosts(step.step, members)
	if len(hosts) == 0 {
		return &NoEstimateError{Reason: fmt.Sprintf("step %q: group %d has no host that may serve it", name, group)}
	}
	for draw := range replicaDraws {
		h := pickLessBusy(hosts, random)
		if _, known := e.full.kinds[h.Kind]; !known {
			return &NoEstimateError{Reason: fmt.Sprintf("step %q: no evidence of kind %q, that of host %s", name, h.Kind, h.Name)}
		}
		step.addHost(h, now, warmUpMillis, draw)
	}
	return nil
}

// groups returns the hosts by group, and the groups in order.
func (f *Fleet) groups() (byID map[uint64][]*Host, ids []uint64) {
	byID = map[uint64][]*Host{}
	for i := range f.Hosts {
		h := &f.Hosts[i]
		if byID[h.Group] == nil {
			ids = append(ids, h.Group)
		}
		byID[h.Group] = append(byID[h.Group], h)
	}
	slices.Sort(ids)
	return byID, ids
}

// eligibleHosts returns the hosts of a group that may serve a step, the least busy first.
func eligibleHosts(s *Step, members []*Host) []*Host {
	var primaries, replicas []*Host
	for _, h := range members {
		switch {
		case h.Primary:
			primaries = append(primaries, h)
		case s.Freshness == freshnessBounded && s.MaxStalenessMillis > 0 && h.LagMillis > s.MaxStalenessMillis:
		default:
			replicas = append(replicas, h)
		}
	}
	if s.Freshness == freshnessWrite || s.Freshness == freshnessFresh || len(replicas) == 0 {
		return primaries
	}
	slices.SortFunc(replicas, func(a, b *Host) int { return cmp.Or(cmp.Compare(a.Inflight, b.Inflight), cmp.Compare(a.Name, b.Name)) })
	return replicas
}

// pickLessBusy draws two hosts and returns the less busy one, as the pooler does.
func pickLessBusy(hosts []*Host, random *rand.Rand) *Host {
	return hosts[min(random.IntN(len(hosts)), random.IntN(len(hosts)))]
}

// isWarmingUp says whether a host started less than a warm-up ago.
func (h *Host) isWarmingUp(now, warmUpMillis float64) bool {
	return h.StartedAt > 0 && now-h.StartedAt < warmUpMillis
}

// addHost adds a host to the set of those that are alike.
func (s *assignedStep) addHost(h *Host, now, warmUpMillis float64, draw int) {
	set := s.setOf(hostSet{
		kind:       h.Kind,
		primary:    h.Primary,
		warmingUp:  h.isWarmingUp(now, warmUpMillis),
		busyBucket: int(math.Log2(float64(h.Inflight) + 1)),
	})
	n := float64(set.hosts)
	set.inflight = (set.inflight*n + float64(h.Inflight)) / (n + 1)
	set.capacity = (set.capacity*n + h.Capacity) / (n + 1)
	set.freeCapacity = (set.freeCapacity*n + max(0, h.Capacity-h.Load)) / (n + 1)
	set.maxLagMillis = max(set.maxLagMillis, h.LagMillis)
	set.hosts++
	set.parts[draw]++
}

// setOf returns the step's set that is like another one, which it adds where there is none.
func (s *assignedStep) setOf(like hostSet) *hostSet {
	i := slices.IndexFunc(s.sets, func(o hostSet) bool {
		return o.kind == like.kind && o.primary == like.primary && o.warmingUp == like.warmingUp && o.busyBucket == like.busyBucket
	})
	if i < 0 {
		i = len(s.sets)
		s.sets = append(s.sets, like)
	}
	return &s.sets[i]
}

// displacedWeight is the weight of what work beyond a host's free capacity pushes out there, in a window of milliseconds:
// those requests first of which a second of work brings least, as queued requests are served.
func (f *Fleet) displacedWeight(excess, window float64) (weight float64) {
	if excess <= 0 || len(f.Hosts) == 0 {
		return 0
	}
	classes := slices.Clone(f.Classes)
	slices.SortFunc(classes, func(a, b Class) int { return cmp.Compare(a.Weight*b.WorkMillis, b.Weight*a.WorkMillis) })
	for _, c := range classes {
		if c.WorkMillis <= 0 {
			continue
		}
		present := c.RequestsPerSecond / 1e3 * window / float64(len(f.Hosts))
		n := min(present, excess/c.WorkMillis)
		weight += n * c.Weight
		if excess -= n * c.WorkMillis; excess <= 0 {
			break
		}
	}
	return weight
}

// Package soak plays load and overlapping faults against a few dozen real poolers on loopback addresses, and judges what their
// clients, the db hosts and the poolers' own counters saw.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Kind names a fault.
type Kind string

// The faults.
const (
	Terminate         Kind = "terminate"          // SIGTERM, and the next process of that name once it has ended
	TerminateTwice    Kind = "terminate twice"    // the same with SIGHUP, SIGTERM and SIGHUP on the way, the deadlines changed by the last
	Reload            Kind = "reload"             // SIGHUP, with the operator's file rewritten
	ReloadDeadlines   Kind = "reload deadlines"   // SIGHUP, with deadlines half or twice as long
	Kill              Kind = "kill"               // SIGKILL, and the next process at once
	ClockWrong        Kind = "clock wrong"        // the next process starts with a clock that is wrong, or right again
	Halt              Kind = "halt"               // SIGSTOP, SIGCONT 0.15 s later, over and over
	HostHang          Kind = "host hang"          // what a host is asked it answers after the fault, or never
	HostSlow          Kind = "host slow"          // its answers take long
	HostReset         Kind = "host reset"         // its connections are reset, again and again
	HostCutAnswers    Kind = "host cut answers"   // connections break around commits and in the middle of answers
	HostRefuse        Kind = "host refuse"        // it refuses connections
	HostRestart       Kind = "host restart"       // it comes back under its name with a new start time
	HostDrain         Kind = "host drain"         // it is listed as draining
	HostReplace       Kind = "host replace"       // it is listed as draining, ends, and comes back with a new start time
	HostBehind        Kind = "host behind"        // its position goes back, and it lags for a while
	HostAfterRow      Kind = "host after row"     // errors follow whole results, of those that else prove that nothing ran
	Failover          Kind = "failover"           // the primary's role moves
	DiscoverySilent   Kind = "discovery silent"   // nothing passes between poolers and discovery
	DiscoveryReset    Kind = "discovery reset"    // watches are reset
	LinkSilent        Kind = "link silent"        // nothing passes between a pooler and a host, then all of it does
	LinkDribble       Kind = "link dribble"       // a few kilobytes a second do
	LinkReset         Kind = "link reset"         // streams between a pooler and a host are reset
	ClientsFlood      Kind = "clients flood"      // clients send much ahead and go
	ClientsDisconnect Kind = "clients leave"      // clients leave in the middle of requests
	ClientsHalf       Kind = "clients half"       // clients stop in the middle of a message and stay
	ClientsBurst      Kind = "clients burst"      // many connect at once
	ClientsFullSpeed  Kind = "clients full speed" // a few send commands that need no host, without a pause
	ClientsSlow       Kind = "clients slow"       // many write half of a large request, slowly
	ClientsSurge      Kind = "clients surge"      // more than twice as much is asked of one group, at all poolers
)

// Kinds are all faults.
func Kinds() []Kind {
	return []Kind{
		Terminate, TerminateTwice, Reload, ReloadDeadlines, Kill, ClockWrong, Halt, HostHang, HostSlow, HostReset, HostCutAnswers, HostRefuse,
		HostRestart, HostDrain, HostReplace, HostBehind, HostAfterRow, Failover,
		DiscoverySilent, DiscoveryReset, LinkSilent, LinkDribble, LinkReset, ClientsFlood, ClientsDisconnect, ClientsHalf, ClientsBurst,
		ClientsSurge, ClientsFullSpeed, ClientsSlow,
	}
}

// Millis is a time in milliseconds, for the schedule's JSON.
type Millis int

// Duration is the same for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Fault is one thing that goes wrong, from a moment of the run on, for a while.
type Fault struct {
	Kind   Kind   `json:"kind"`
	At     Millis `json:"at_ms"`
	For    Millis `json:"for_ms"`
	Pooler int    `json:"pooler"`
	Host   int    `json:"host"`
}

// Plan is what a run does.
type Plan struct {
	Seed    uint64  `json:"seed"`
	Poolers int     `json:"poolers"`
	Hosts   int     `json:"hosts"`
	Length  Millis  `json:"length_ms"`
	Faults  []Fault `json:"faults"`
	// OneByOne has each client wait for its answer before it asks again, so that each pooler sees little.
	OneByOne bool `json:"one_by_one,omitempty"`
	// Deployment is what is served; schedules of before there was a choice have none, and play the usual one.
	Deployment *Deployment `json:"deployment,omitempty"`
}

// deployment is what the run serves.
func (p *Plan) deployment() Deployment {
	if p.Deployment == nil {
		return usual()
	}
	return *p.Deployment
}

const (
	groupInterval = 1200 // ms from one group of overlapping faults to the next
	groupSpread   = 300  // ms within which the faults of a group begin
	releaseSlots  = 7    // groups of faults from one release to the next
	idleEnd       = 5000 // ms without new faults, in which everything that was taken is answered
)

// Draw makes a schedule for a deployment that is drawn too: every groupInterval two or three faults begin within groupSpread. only,
// if not empty, has the kinds that are drawn from.
func Draw(seed uint64, poolers int, length time.Duration, only []Kind) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	deployment := drawDeployment(seed)
	hosts := deployment.hosts()
	p := Plan{Seed: seed, Poolers: poolers, Hosts: hosts, Length: Millis(length.Milliseconds()), Deployment: &deployment}
	kinds := only
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	for at := 1000; at < int(p.Length)-idleEnd; at += groupInterval {
		pooler, host := rng.IntN(poolers), rng.IntN(hosts)
		for range 2 + rng.IntN(2) {
			f := Fault{
				Kind: kinds[rng.IntN(len(kinds))], At: Millis(at + rng.IntN(groupSpread)), For: Millis(100 + rng.IntN(1500)),
				Pooler: pooler, Host: host, // of one group of faults most meet at one pooler and one host
			}
			if rng.IntN(3) == 0 {
				f.Pooler = rng.IntN(poolers)
			}
			if rng.IntN(3) == 0 {
				f.Host = rng.IntN(hosts)
			}
			p.Faults = append(p.Faults, f)
		}
	}
	if len(only) == 0 {
		p.addReleases()
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// addReleases adds releases by steps, drawn from a sequence of their own: a host of a group comes back, while it warms up the others
// drain but for the first one, and then more is asked.
func (p *Plan) addReleases() {
	rng := rand.New(rand.NewPCG(p.Seed, 0x4e1ea5e))
	members := p.Deployment.Replicas + 1
	slots := (int(p.Length) - idleEnd - 1000) / groupInterval
	at := func(slot int) Millis { return Millis(1000 + slot*groupInterval + rng.IntN(groupSpread)) }
	for slot := 2; slot+releaseSlots <= slots; slot += releaseSlots {
		first := rng.IntN(p.Deployment.Groups) * members
		back := 1 + rng.IntN(max(1, members-1))
		p.Faults = append(p.Faults, Fault{Kind: HostRestart, At: at(slot), Host: first + back%members})
		step := slot + 1 + rng.IntN(3)
		for i := 1; i < members; i++ {
			if i != back {
				p.Faults = append(p.Faults, Fault{Kind: HostDrain, At: at(step), For: 3500, Host: first + i})
			}
		}
		p.Faults = append(p.Faults, Fault{Kind: ClientsSurge, At: at(step + rng.IntN(2)), For: Millis(1500 + rng.IntN(1500)), Host: first})
	}
}

// LoadPlan reads a schedule that a run wrote.
func LoadPlan(path string) (Plan, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	var p Plan
	if err := json.Unmarshal(b, &p); err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	deployment := p.deployment()
	if err := deployment.check(); err != nil {
		return Plan{}, fmt.Errorf("%s: deployment: %w", path, err)
	}
	if p.Poolers < 1 || p.Poolers > 64 || p.Hosts != deployment.hosts() {
		return Plan{}, fmt.Errorf("%s: poolers %d, hosts %d; allowed are 1 to 64 poolers and the deployment's %d hosts", path, p.Poolers, p.Hosts, deployment.hosts())
	}
	for i, f := range p.Faults {
		if !slices.Contains(Kinds(), f.Kind) || f.Pooler < 0 || f.Pooler >= p.Poolers || f.Host < 0 || f.Host >= p.Hosts || f.For < 0 {
			return Plan{}, fmt.Errorf("%s: faults[%d]: %q at pooler %d and host %d is none that can be played", path, i, f.Kind, f.Pooler, f.Host)
		}
	}
	return p, nil
}

// Shrink takes faults out of a schedule while runs of it still fail, in halves, quarters and so on.
func Shrink(p Plan, fails func(Plan) (bool, error)) (Plan, error) {
	for step := max(1, len(p.Faults)/2); step > 0; step /= 2 {
		for i := 0; i < len(p.Faults); {
			smaller := p
			smaller.Faults = slices.Delete(slices.Clone(p.Faults), i, min(i+step, len(p.Faults)))
			failed, err := fails(smaller)
			if err != nil {
				return p, err
			}
			if failed {
				p = smaller
			} else {
				i += step
			}
		}
	}
	return p, nil
}

package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"
)

// Fault is one thing that goes wrong, from a moment of the run on, for a while.
type Fault struct {
	At    Millis     `json:"at_ms"`
	For   Millis     `json:"for_ms"`
	Kind  string     `json:"kind"`
	A     string     `json:"a,omitempty"`
	B     string     `json:"b,omitempty"`     // of a link
	Parts [][]string `json:"parts,omitempty"` // of a partition; members of two parts belong to both
}

// Millis is a time in milliseconds.
type Millis int

// D is the same for the standard library.
func (m Millis) D() time.Duration { return time.Duration(m) * time.Millisecond }

// Plan is all that goes wrong in a run.
type Plan struct {
	Seed    uint64   `json:"seed"`
	Poolers int      `json:"poolers"`
	Length  Millis   `json:"length_ms"`
	Probe   Millis   `json:"probe_ms"`
	Faults  []Fault  `json:"faults"`
	Break   string   `json:"break,omitempty"`
	Names   []string `json:"-"`
}

// Kinds are the faults that a plan may hold, with what each needs: a process, one that never comes back, a link between
// poolers, parts of them, a link to discovery or to a host.
var Kinds = map[string]string{
	"drop one way": "link", "cut": "link", "delay": "link", "jitter": "link", "slow": "link", "reset": "link", "stall": "link",
	"loss": "link", "double": "link", "reorder": "link", "flap": "link",
	"kill": "process", "pause": "process", "long pause": "process", "restart": "process", "twin": "process", "garbage": "process",
	"clock ahead": "process", "clock fast": "process",
	"partition": "parts", "three parts": "parts", "overlap": "parts",
	"lost folder": "voter", "old folder": "voter", "all killed": "voters", "gone": "leaver",
	"no discovery": "discovery", "no host": "host", "failover": "", "drain": "",
	"stopped at a deed": "owner", "killed at a deed": "owner",
}

// troubles are the kinds that are a trouble of a link and nothing else, both ways or as far as it goes from A.
var troubles = map[string]struct {
	LinkFault
	oneWay bool
}{
	"drop one way": {LinkFault{Drop: true}, true},
	"cut":          {LinkFault: LinkFault{Drop: true}},
	"no host":      {LinkFault: LinkFault{Drop: true}},
	"no discovery": {LinkFault: LinkFault{Drop: true}},
	"stall":        {LinkFault: LinkFault{Stall: true}},
	"delay":        {LinkFault: LinkFault{Delay: 30 * time.Millisecond}},
	"jitter":       {LinkFault: LinkFault{Jitter: 60 * time.Millisecond}},
	"slow":         {LinkFault: LinkFault{Rate: 2000}},
	"loss":         {LinkFault: LinkFault{Loss: 0.4}},
	"double":       {LinkFault: LinkFault{Double: 0.5}},
	"reorder":      {LinkFault: LinkFault{Reorder: 0.4}},
}

// flapEach is for how long a link that flaps is there, and then not.
const flapEach = 150 * time.Millisecond

// leastFor is the shortest that a drawn fault lasts: a few probes and renewals.
const leastFor = Millis(200)

// Draw makes a plan from its seed: faults in every kind's turn, overlapping at times, with a quiet end of at least rest.
func Draw(seed uint64, poolers int, length, probe, rest time.Duration, kinds []string) Plan {
	lots := rand.New(rand.NewPCG(seed, 0xfa17))
	p := Plan{Seed: seed, Poolers: poolers, Length: Millis(length.Milliseconds()), Probe: Millis(probe.Milliseconds()), Names: names(poolers)}
	last := int((length - rest).Milliseconds())
	if last < 1000 || len(kinds) == 0 {
		return p
	}
	order := slices.Clone(kinds)
	lots.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	order = spread(order)
	gone := map[string]bool{}
	for i, k := range order {
		// Spread over the time that there is, each within its slot and for up to two of them, so that neighbours overlap.
		slot := last / len(order)
		f := Fault{Kind: k, At: Millis(500 + i*slot + lots.IntN(max(1, slot))), For: Millis(max(300, slot/2+lots.IntN(max(1, 3*slot/2))))}
		f.At = min(f.At, Millis(last-300))
		f.For = min(f.For, Millis(last)+500-f.At)
		who := slices.DeleteFunc(lots.Perm(poolers), func(w int) bool { return gone[p.Names[w]] })
		switch Kinds[k] {
		case "link":
			f.A, f.B = p.Names[who[0]], p.Names[who[1]]
		case "process", "discovery":
			f.A = p.Names[who[0]]
		case "leaver":
			if Minority(poolers) == 0 {
				continue
			}
			// It is not the one of which there will be a twin.
			who = slices.DeleteFunc(who, func(w int) bool {
				return slices.ContainsFunc(p.Faults, func(o Fault) bool { return o.Kind == "twin" && o.A == p.Names[w] })
			})
			f.A, f.For = p.Names[who[0]], leastFor
			gone[f.A] = true
		case "voter":
			for f.A = p.Names[lots.IntN(Voters(poolers))]; gone[f.A]; {
				f.A = p.Names[lots.IntN(Voters(poolers))]
			}
		case "host":
			f.A, f.B = p.Names[who[0]], fmt.Sprint("host-", lots.IntN(3))
		case "parts":
			f.Parts = parts(k, who, p.Names)
		}
		if k == "twin" { // through the quiet end, at which it can be judged
			f.At, f.For = Millis(last+2500), Millis((rest - 4*time.Second).Milliseconds())
		}
		if f.For >= leastFor {
			p.Faults = append(p.Faults, f)
		}
	}
	return p
}

// spread puts the faults that take voters' folders far apart: each has to be healed before the next, or together they take
// the majority, which nothing heals.
func spread(order []string) []string {
	var takes, rest []string
	for _, k := range order {
		if Kinds[k] == "voter" || Kinds[k] == "voters" {
			takes = append(takes, k)
		} else {
			rest = append(rest, k)
		}
	}
	for i, k := range takes {
		rest = slices.Insert(rest, i*(len(rest)+1)/len(takes), k)
	}
	return rest
}

func parts(kind string, who []int, names []string) [][]string {
	var out [][]string
	n := 2
	if kind == "three parts" {
		n = 3
	}
	out = make([][]string, n)
	for i, w := range who {
		out[i%n] = append(out[i%n], names[w])
	}
	if kind == "overlap" { // one belongs to both sides, and is the only one that sees all
		out[0] = append(out[0], out[1][0])
	}
	return out
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("n", i+1))
	}
	return out
}

// Load reads a plan; an error names what is wrong in it.
func Load(path string) (Plan, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	var p Plan
	if err := json.Unmarshal(b, &p); err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	if p.Poolers < 2 || p.Poolers > 64 {
		return Plan{}, fmt.Errorf("%s: poolers: %d; allowed is 2 to 64", path, p.Poolers)
	}
	p.Names = names(p.Poolers)
	for i, f := range p.Faults {
		needs, ok := Kinds[f.Kind]
		known := func(n string) bool { return slices.Contains(p.Names, n) }
		switch {
		case !ok:
			return Plan{}, fmt.Errorf("%s: faults[%d]: kind %q is unknown; there are %s", path, i, f.Kind, strings.Join(AllKinds(true), ", "))
		case needs == "link" && (!known(f.A) || !known(f.B) || f.A == f.B):
			return Plan{}, fmt.Errorf("%s: faults[%d]: %s takes two poolers, a and b", path, i, f.Kind)
		case (needs == "process" || needs == "voter" || needs == "leaver" || needs == "discovery" || needs == "host") && !known(f.A):
			return Plan{}, fmt.Errorf("%s: faults[%d]: %s takes a pooler, a", path, i, f.Kind)
		case needs == "parts" && len(f.Parts) < 2:
			return Plan{}, fmt.Errorf("%s: faults[%d]: %s takes at least two parts", path, i, f.Kind)
		}
	}
	return p, nil
}

// Save writes it so that Load plays it again.
func (p Plan) Save(path string) error {
	b, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// Voters is how many of so many poolers vote: the first three or five.
func Voters(poolers int) int {
	if poolers < 5 {
		return min(3, poolers)
	}
	return 5
}

// Minority is how many of the voters may be gone, or without their folder, at once.
func Minority(poolers int) int { return (Voters(poolers) - 1) / 2 }

// AllKinds are the kinds in order, those that take an agreement only with one.
func AllKinds(agreement bool) (out []string) {
	for k, needs := range Kinds {
		if needs != "owner" && (agreement || needs != "voter" && needs != "voters") {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// apart says whether two poolers are on no common side of a partition.
func apart(parts [][]string, a, b string) bool {
	for _, p := range parts {
		if slices.Contains(p, a) && slices.Contains(p, b) {
			return false
		}
	}
	return true
}

// touches says whether a fault may keep news of one pooler from another, or make it not be there. A partition does so to
// all: who is on which side decides who carries news for whom. Garbage and a second process of a name may do nothing.
func (f Fault) touches(a, b string) bool {
	if f.harmless() {
		return false
	}
	switch Kinds[f.Kind] {
	case "link":
		return f.A == a || f.A == b || f.B == a || f.B == b
	case "process", "voter", "leaver", "owner":
		return f.A == a || f.A == b
	case "parts", "voters":
		return true
	}
	return false
}

// ends says whether a fault may end a pooler's process, or have it stand still.
func (f Fault) ends(name string) bool {
	return Kinds[f.Kind] != "parts" && Kinds[f.Kind] != "link" && f.touches(name, name)
}

// harmless are faults that must change nothing for anybody.
func (f Fault) harmless() bool { return f.Kind == "twin" || f.Kind == "garbage" }

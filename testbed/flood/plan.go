// Package flood plays clients that send at full speed, write slowly or leave behind unread bytes against one real pooler, and
// judges what other clients and the hosts saw meanwhile.
package flood

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Front is the listener of the pooler at which a flood arrives.
type Front string

// The fronts.
const (
	Statements Front = "statements"
	Sessions   Front = "sessions"
	Flight     Front = "flight" // Flight SQL; floods of calls alone
)

// Fronts are all fronts.
func Fronts() []Front { return []Front{Statements, Sessions, Flight} }

// flightKinds are the kinds that can be played at the Flight SQL front.
var flightKinds = []Kind{Unsound, NewClasses, NewGroups, NoTime}

// Kind is what a flooding client sends.
type Kind string

// The kinds. Those from HalfRequests on write slowly instead of at full speed.
const (
	EmptyQueries Kind = "empty queries"
	Syncs        Kind = "syncs"
	NewSettings  Kind = "new settings"  // SET under ever new names
	NewClasses   Kind = "new classes"   // requests of classes that are not in the settings, each another one
	NewParses    Kind = "new parses"    // Parse under ever new names
	NewGroups    Kind = "new groups"    // requests for groups that do not exist, each another one
	NoTime       Kind = "no time"       // requests with d=0
	Unsound      Kind = "unsound"       // queries without the comment
	Unread       Kind = "unread"        // empty queries whose answers are never read
	Reconnects   Kind = "reconnects"    // connect, startup message, one command, close
	Encryption   Kind = "encryption"    // connect, request for TLS, close
	Cancels      Kind = "cancels"       // connect, cancel request for an unknown key, close
	Leaves       Kind = "leaves"        // many requests sent ahead, then a close
	HalfRequests Kind = "half requests" // half of a large request
	ShortFields  Kind = "short fields"  // startup messages of many short fields, slowly
	LongComments Kind = "long comments" // a comment of many short fields, slowly
)

// Kinds are all kinds.
func Kinds() []Kind {
	return []Kind{
		EmptyQueries, Syncs, NewSettings, NewClasses, NewParses, NewGroups, NoTime, Unsound, Unread, Reconnects, Encryption, Cancels,
		Leaves, HalfRequests, ShortFields, LongComments,
	}
}

// The kinds of sessions that send messages ahead of the answer to a long query, which hold more in the pooler than they take on the
// wire.
const (
	AheadSyncs      Kind = "ahead syncs"
	AheadDescribes  Kind = "ahead describes"
	AheadCloses     Kind = "ahead closes"
	AheadParses     Kind = "ahead parses"     // of the unnamed statement
	AheadBinds      Kind = "ahead binds"      // ever new portals
	AheadSavepoints Kind = "ahead savepoints" // of long names, not ahead of anything
	AheadStatements Kind = "ahead statements" // query strings of very many statements
)

// AheadKinds are the kinds of sessions that send ahead. Draw has them only where it is told to.
func AheadKinds() []Kind {
	return []Kind{AheadSyncs, AheadDescribes, AheadCloses, AheadParses, AheadBinds, AheadSavepoints, AheadStatements}
}

// AllKinds are Kinds and AheadKinds.
func AllKinds() []Kind { return append(Kinds(), AheadKinds()...) }

// isSlow reports whether clients of this kind write slowly; there are hundreds of them.
func (k Kind) isSlow() bool { return k == HalfRequests || k == ShortFields || k == LongComments }

// Wave is one flood: so many connections of one kind at one front.
type Wave struct {
	Kind        Kind  `json:"kind"`
	Front       Front `json:"front"`
	Connections int   `json:"connections"`
}

// Plan is what a run does. All waves last for the whole run.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Length   time.Duration `json:"length"`
	MemoryMB int           `json:"memory_mb"`
	Waves    []Wave        `json:"waves"`
}

// Limits of what is drawn.
const (
	maxFlooding    = 100 // connections that send at full speed
	maxSlowWriters = 700
)

// memoryLimits are the limits, in MB, among which a plan is drawn.
var memoryLimits = []int{64, 96, 192}

// Draw makes a plan of one or two waves. The first is drawn from kinds and fronts, or from all if these are empty.
func Draw(seed uint64, length time.Duration, kinds []Kind, fronts []Front) Plan {
	rng := rand.New(rand.NewPCG(seed, 0xf100d))
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	if len(fronts) == 0 {
		fronts = Fronts()
	}
	p := Plan{Seed: seed, Length: length, MemoryMB: memoryLimits[rng.IntN(len(memoryLimits))]}
	for range 1 + rng.IntN(2) {
		w := Wave{Kind: kinds[rng.IntN(len(kinds))], Front: fronts[rng.IntN(len(fronts))]}
		if w.Front == Flight && !slices.Contains(flightKinds, w.Kind) {
			w.Kind = flightKinds[rng.IntN(len(flightKinds))]
		}
		if w.Front == Flight {
			w.Connections = 1 + rng.IntN(flightConnections/2)
		} else if w.Kind.isSlow() {
			w.Connections = 100 + rng.IntN(maxSlowWriters-100+1)
		} else {
			w.Connections = []int{1, 2, 6, 20, maxFlooding}[rng.IntN(5)]
		}
		p.Waves = append(p.Waves, w)
	}
	return p
}

// check refuses a plan that can't be played.
func (p *Plan) check() error {
	for _, w := range p.Waves {
		if !slices.Contains(AllKinds(), w.Kind) || !slices.Contains(Fronts(), w.Front) || w.Connections < 1 || w.Connections > maxSlowWriters {
			return fmt.Errorf("%d connections of %q at %q: there are the kinds %v and the fronts %v, with up to %d connections",
				w.Connections, w.Kind, w.Front, AllKinds(), Fronts(), maxSlowWriters)
		}
	}
	return nil
}

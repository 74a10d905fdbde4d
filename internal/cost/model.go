package cost

import (
	"math"
	"slices"
	"strings"
)

// Defaults of Options.
const (
	defaultBytes   = 4 << 20
	defaultSpan    = 6 * 3600e3
	defaultDrift   = 0.2
	defaultSources = 64
)

// The bounds of names.
const (
	maxClasses = 64
	maxKinds   = 16
	maxName    = 64
)

// The bounds of what is observed; a value of at least that much is left out.
const (
	maxObservedMillis = 1e9
	maxObservedSize   = 1e15
	// minWorkMillis is the least work that is told apart from less.
	minWorkMillis = 1e-4
)

// Guarantees that Options.DisabledGuarantee switches off.
const (
	guaranteeWait   = "wait"   // waiting is told apart from work
	guaranteeShrink = "shrink" // statements of a class resemble each other
	guaranteeAge    = "age"    // intervals widen with the age of the evidence
	guaranteeFalse  = "false"  // one source's false evidence moves an estimate only so far
	guaranteeMerge  = "merge"  // a summary counts once, however often it comes
)

// Observation is one request that was served. Times are in milliseconds.
type Observation struct {
	Statement     Fingerprint
	Class, Tenant string
	Host, Kind    string
	Group         uint64
	Rows, Bytes   float64
	Work          float64 // from the moment the host had it until the answer; what neighbours took of that shows in Inflight
	Wait          float64 // before the host had it
	Inflight      int     // others at the host when it was sent
	Primary       bool
	WarmingUp     bool // the host had started not long ago
	At            float64
}

// isPossible says whether an observation can be: its work is a positive number, and nothing is beyond all bounds.
func (o *Observation) isPossible() bool {
	return o.Work > 0 && o.Work < maxObservedMillis && o.Wait >= 0 && o.Wait < maxObservedMillis && o.Inflight >= 0 &&
		o.Rows < maxObservedSize && o.Bytes < maxObservedSize && !math.IsNaN(o.At)
}

// terms are what the observation adds to the moments of its cell.
func (o *Observation) terms() *[termCount]float64 {
	t := &[termCount]float64{1, logSize(o.Rows, o.Bytes), math.Log1p(float64(o.Inflight)), 0, math.Log(max(o.Work, minWorkMillis))}
	if o.WarmingUp {
		t[termWarmUp] = 1
	}
	return t
}

// Options are a model's bounds.
type Options struct {
	Bytes             int     // of evidence, about; 0: 4 MiB
	Source            string  // this pooler's name among sources
	Incarnation       uint64  // grows with every start of the source
	Span              float64 // milliseconds after which evidence counts 1/e; 0: 6 h, as what is usual for a class
	Drift             float64 // by how much log work wanders in a span, one standard deviation; 0: 0.2
	Sources           int     // the most that are retained; 0: 64
	DisabledGuarantee string  // switches one guarantee off, for tests: wait, shrink, age, false, merge
}

// withDefaults sets what was left out.
func (o Options) withDefaults() Options {
	if o.Bytes <= 0 {
		o.Bytes = defaultBytes
	}
	if o.Span <= 0 {
		o.Span = defaultSpan
	}
	if o.Drift <= 0 {
		o.Drift = defaultDrift
	}
	if o.Sources <= 0 {
		o.Sources = defaultSources
	}
	return o
}

// cellKey names a cell of a model. The zero statement is the cell of the class.
type cellKey struct {
	class, kind string
	statement   Fingerprint
}

type cellState struct {
	moments Moments
	at      float64
}

// Model gathers evidence.
type Model struct {
	options        Options
	cells          map[cellKey]*cellState
	waits          map[string]*Wait
	classes        map[string]string // own copies of names
	kinds          map[string]string
	sequence       uint64
	lastObservedAt float64
	dropped        int // observations that no bound left room for, or that are impossible
	summaries      map[string]Summary
	// The estimator is made anew once an eighth more has changed.
	changes          int // observations and merges
	estimator        *Estimator
	estimatorChanges int
}

// NewModel returns a model without evidence.
func NewModel(o Options) *Model {
	return &Model{
		options:   o.withDefaults(),
		cells:     map[cellKey]*cellState{},
		waits:     map[string]*Wait{},
		classes:   map[string]string{},
		kinds:     map[string]string{},
		summaries: map[string]Summary{},
	}
}

// intern returns a name's own copy: what comes in may be a part of a request's text. ok is false where there is no room.
func intern(names map[string]string, name string, limit int) (own string, ok bool) {
	if own, ok = names[name]; ok {
		return own, true
	}
	if len(names) >= limit || len(name) > maxName {
		return "", false
	}
	own = strings.Clone(name)
	names[own] = own
	return own, true
}

// Observe takes one request that was served. What is impossible (no work, a time that is no number) is left out.
func (m *Model) Observe(o Observation) {
	if m.options.DisabledGuarantee == guaranteeWait {
		o.Work, o.Wait, o.Inflight = o.Work+o.Wait, 0, 0
	}
	if !o.isPossible() {
		m.dropped++
		return
	}
	class, classOK := intern(m.classes, o.Class, maxClasses)
	kind, kindOK := intern(m.kinds, o.Kind, maxKinds)
	if !classOK || !kindOK {
		m.dropped++
		return
	}
	m.lastObservedAt = max(m.lastObservedAt, o.At)
	m.changes++
	m.observeWork(cellKey{class, kind, o.Statement}, &o)
	m.observeWait(kind, &o)
}

func (m *Model) observeWork(key cellKey, o *Observation) {
	cell := m.cells[key]
	if cell == nil {
		if (len(m.cells)+1)*cellBytes > m.options.Bytes/2 {
			m.fold()
		}
		cell = &cellState{at: o.At}
		m.cells[key] = cell
	}
	weight := 1.0
	if o.At > cell.at {
		cell.moments.scale(math.Exp((cell.at - o.At) / m.options.Span))
		cell.at = o.At
	} else if o.At < cell.at {
		weight = math.Exp((o.At - cell.at) / m.options.Span)
	}
	cell.moments.add(o.terms(), weight)
}

func (m *Model) observeWait(kind string, o *Observation) {
	wait := m.waits[kind]
	if wait == nil {
		wait = &Wait{Kind: kind, At: o.At}
		m.waits[kind] = wait
	}
	weight := 1.0
	if o.At > wait.At {
		faded := math.Exp((wait.At - o.At) / m.options.Span)
		for i := range wait.Sums {
			wait.Sums[i] *= faded
		}
		wait.At = o.At
	} else if o.At < wait.At {
		weight = math.Exp((o.At - wait.At) / m.options.Span)
	}
	n := float64(o.Inflight)
	for i, x := range [6]float64{1, n, n * n, o.Wait, n * o.Wait, o.Wait * o.Wait} {
		wait.Sums[i] += weight * x
	}
}

// Dropped is how many observations were left out.
func (m *Model) Dropped() int { return m.dropped }

// ownCells returns this source's cells, sorted.
func (m *Model) ownCells() []Cell {
	out := make([]Cell, 0, len(m.cells))
	for key, cell := range m.cells {
		out = append(out, Cell{Class: key.class, Kind: key.kind, Statement: key.statement, At: cell.at, Moments: cell.moments})
	}
	slices.SortFunc(out, compareCells)
	return out
}

// fold makes room: an eighth of the cells, the least valuable, go into what is known of their class.
func (m *Model) fold() {
	retained := foldCells(m.ownCells(), max(1, len(m.cells)*7/8), m.options.Span)
	m.cells = make(map[cellKey]*cellState, len(retained))
	for i := range retained {
		c := &retained[i]
		m.cells[cellKey{c.Class, c.Kind, c.Statement}] = &cellState{c.Moments, c.At}
	}
}

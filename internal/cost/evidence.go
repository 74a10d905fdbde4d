// Package cost tells planners what a query plan costs across db hosts of unlike hardware, with intervals. It learns work
// from what was served, apart from waiting. It holds no I/O, clock, goroutine or logger, and is not safe for concurrent
// use but for an Estimator, which never changes. docs/cost.md derives what is computed here.
package cost

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/zeebo/blake3"
	"gonum.org/v1/gonum/mat"
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
	Inflight      int     // others at the host when it went out
	Primary       bool
	WarmingUp     bool // the host had started not long ago
	At            float64
}

// Options are a model's bounds.
type Options struct {
	Bytes             int     // of evidence, about; 0: 4 MiB
	Source            string  // this pooler's name among sources
	Incarnation       uint64  // grows with every start of the source
	Span              float64 // after which evidence counts 1/e; 0: 6 h, as what is usual for a class
	Drift             float64 // by how much log work wanders in a span, one standard deviation; 0: 0.2
	Sources           int     // the most that are held; 0: 64
	DisabledGuarantee string  // switches one guarantee off, for the laboratory: wait, shrink, age, false, merge
}

// The bounds of names, and what a cell takes in memory with its share of the map, in bytes (measured by testbed cost).
const (
	maxClasses = 64
	maxKinds   = 16
	maxName    = 64
	cellBytes  = 320
)

// rowBytes is how many bytes count as one row in a statement's size: a usual row of some columns.
const rowBytes = 128

// maxSourceWeight is the most that one source counts in a cell, in observations: with so many the mean is known to a
// fourteenth of the spread, and more would let one source outweigh all others.
const maxSourceWeight = 200

// The places in a cell's moments.
const (
	termOne         = iota
	termSize        // log(1 + rows + bytes/rowBytes)
	termConcurrency // log(1 + inflight)
	termWarmUp      // 0 or 1
	termWork        // log ms
	termCount
)

// Moments are the weighted sums of products of 1, size, crowd, cold and log work: all that the fit needs of a cell.
type Moments [termCount * (termCount + 1) / 2]float64

func momentIndex(i, j int) int {
	if i > j {
		i, j = j, i
	}
	return j*(j+1)/2 + i
}

func (m *Moments) moment(i, j int) float64 { return m[momentIndex(i, j)] }

func (m *Moments) add(v *[termCount]float64, w float64) {
	k := 0
	for j := range termCount {
		for i := 0; i <= j; i++ {
			m[k] += w * v[i] * v[j]
			k++
		}
	}
}

func (m *Moments) addScaled(o *Moments, w float64) {
	for i := range m {
		m[i] += w * o[i]
	}
}

func (m *Moments) scale(w float64) {
	for i := range m {
		m[i] *= w
	}
}

// Cell is what is known of a statement on one kind of hardware.
type Cell struct {
	Block     int         `json:"block,omitempty"` // of sources, in a Version
	Class     string      `json:"class"`
	Kind      string      `json:"kind"`
	Statement Fingerprint `json:"statement"` // zero: statements that were folded, each counting once
	At        float64     `json:"at"`
	Moments   Moments     `json:"moments"`
}

// Wait is what is known of waiting before hosts of a kind: sums over 1, inflight and ms.
type Wait struct {
	Block int        `json:"block,omitempty"`
	Kind  string     `json:"kind"`
	At    float64    `json:"at"`
	Sums  [6]float64 `json:"sums"` // n, inflight, its square, ms, inflight*ms, ms squared
}

// Summary is all the evidence of one source. A later one replaces an earlier.
type Summary struct {
	Source      string  `json:"source"`
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	At          float64 `json:"at"`
	Cells       []Cell  `json:"cells"`
	Waits       []Wait  `json:"waits"`
}

// Snapshot is the evidence of all sources as it was published: whoever holds the same digest estimates the same.
type Snapshot struct {
	Token             uint64   `json:"token"`
	Digest            [32]byte `json:"digest"` // BLAKE3 of all else
	At                float64  `json:"at"`
	Blocks            int      `json:"blocks"` // sources were dealt into so many; 1: too few to check them against each other
	Span              float64  `json:"span"`
	Drift             float64  `json:"drift"`
	Cells             []Cell   `json:"cells"`
	Waits             []Wait   `json:"waits"`
	disabledGuarantee string
}

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
	options          Options
	cells            map[cellKey]*cellState
	waits            map[string]*Wait
	classes          map[string]string
	kinds            map[string]string
	sequence         uint64
	lastObservedAt   float64
	dropped          int // observations that no bound left room for, or that can't be
	summaries        map[string]Summary
	changes          int // observations and merges since the estimator was made
	estimator        *Estimator
	estimatorChanges int
}

// NewModel returns a model without evidence.
func NewModel(o Options) *Model {
	if o.Bytes <= 0 {
		o.Bytes = 4 << 20
	}
	if o.Span <= 0 {
		o.Span = 6 * 3600e3
	}
	if o.Drift <= 0 {
		o.Drift = 0.2
	}
	if o.Sources <= 0 {
		o.Sources = 64
	}
	return &Model{options: o, cells: map[cellKey]*cellState{}, waits: map[string]*Wait{}, classes: map[string]string{}, kinds: map[string]string{}, summaries: map[string]Summary{}}
}

// intern returns a name's own copy: what comes in may be a part of a request's text. ok is false where there is no room.
func intern(of map[string]string, name string, most int) (string, bool) {
	if w, ok := of[name]; ok {
		return w, true
	}
	if len(of) >= most || len(name) > maxName {
		return "", false
	}
	w := strings.Clone(name)
	of[w] = w
	return w, true
}

// logSize is a statement's size as the model counts it.
func logSize(rows, bytes float64) float64 {
	return math.Log1p(max(0, rows) + max(0, bytes)/rowBytes)
}

// Observe takes one request that was served. What can't be (no work, a time that is no number) is left out.
func (m *Model) Observe(o Observation) {
	w, wait := o.Work, o.Wait
	if m.options.DisabledGuarantee == "wait" {
		w, wait, o.Inflight = w+wait, 0, 0
	}
	if !(w > 0 && w < 1e9 && wait >= 0 && wait < 1e9 && o.Inflight >= 0 && o.Rows < 1e15 && o.Bytes < 1e15) || math.IsNaN(o.At) {
		m.dropped++
		return
	}
	class, ok := intern(m.classes, o.Class, maxClasses)
	kind, ok2 := intern(m.kinds, o.Kind, maxKinds)
	if !ok || !ok2 {
		m.dropped++
		return
	}
	m.lastObservedAt = max(m.lastObservedAt, o.At)
	m.changes++
	k := cellKey{class, kind, o.Statement}
	h := m.cells[k]
	if h == nil {
		if (len(m.cells)+1)*cellBytes > m.options.Bytes/2 {
			m.fold()
		}
		h = &cellState{at: o.At}
		m.cells[k] = h
	}
	weight := 1.0
	if o.At > h.at {
		h.moments.scale(math.Exp((h.at - o.At) / m.options.Span))
		h.at = o.At
	} else if o.At < h.at {
		weight = math.Exp((o.At - h.at) / m.options.Span)
	}
	v := [termCount]float64{1, logSize(o.Rows, o.Bytes), math.Log1p(float64(o.Inflight)), 0, math.Log(max(w, 1e-4))}
	if o.WarmingUp {
		v[termWarmUp] = 1
	}
	h.moments.add(&v, weight)
	q := m.waits[kind]
	if q == nil {
		q = &Wait{Kind: kind, At: o.At}
		m.waits[kind] = q
	}
	weight = 1
	if o.At > q.At {
		f := math.Exp((q.At - o.At) / m.options.Span)
		for i := range q.Sums {
			q.Sums[i] *= f
		}
		q.At = o.At
	} else if o.At < q.At {
		weight = math.Exp((o.At - q.At) / m.options.Span)
	}
	n := float64(o.Inflight)
	for i, x := range [6]float64{1, n, n * n, wait, n * wait, wait * wait} {
		q.Sums[i] += weight * x
	}
}

// Dropped is how many observations were left out.
func (m *Model) Dropped() int { return m.dropped }

// ownCells returns this source's cells in order.
func (m *Model) ownCells() []Cell {
	out := make([]Cell, 0, len(m.cells))
	for k, h := range m.cells {
		out = append(out, Cell{Class: k.class, Kind: k.kind, Statement: k.statement, At: h.at, Moments: h.moments})
	}
	slices.SortFunc(out, compareCells)
	return out
}

// fold makes room: an eighth of the cells, the least valuable, go into what is known of their class.
func (m *Model) fold() {
	kept := foldCells(m.ownCells(), max(1, len(m.cells)*7/8), m.options.Span)
	m.cells = make(map[cellKey]*cellState, len(kept))
	for _, c := range kept {
		m.cells[cellKey{c.Class, c.Kind, c.Statement}] = &cellState{c.Moments, c.At}
	}
}

func compareCells(a, b Cell) int {
	return cmp.Or(cmp.Compare(a.Block, b.Block), cmp.Compare(a.Class, b.Class), bytes.Compare(a.Statement[:], b.Statement[:]), cmp.Compare(a.Kind, b.Kind))
}

// foldCells keeps the most valuable cells, at most so many, and folds the others into their class: each statement counts
// there as one observation, since what a class tells is what its statements are like. What is kept is in order.
func foldCells(cells []Cell, most int, span float64) []Cell {
	if len(cells) <= most {
		return cells
	}
	value := func(c *Cell) float64 { // its weight at a common time
		return math.Log(c.Moments[0]+1e-300) + c.At/span
	}
	by := slices.Clone(cells)
	slices.SortFunc(by, func(a, b Cell) int {
		za, zb := a.Statement == Fingerprint{}, b.Statement == Fingerprint{}
		if za != zb {
			return map[bool]int{true: -1, false: 1}[za]
		}
		return cmp.Or(cmp.Compare(value(&b), value(&a)), compareCells(a, b))
	})
	n := most // the class's own cells need room as well, so keep fewer where some are new
	classes := map[cellKey]bool{}
	for {
		clear(classes)
		for _, c := range by[n:] {
			classes[cellKey{class: c.Class, kind: c.Kind}] = true
		}
		for _, c := range by[:n] {
			if (c.Statement == Fingerprint{}) {
				classes[cellKey{class: c.Class, kind: c.Kind}] = false
			}
		}
		more := 0
		for _, missing := range classes {
			if missing {
				more++
			}
		}
		if n+more <= most || n == 0 {
			break
		}
		n--
	}
	out := by[:n:n]
	place := map[cellKey]int{}
	for i, c := range out {
		if (c.Statement == Fingerprint{}) {
			place[cellKey{class: c.Class, kind: c.Kind}] = i
		}
	}
	for _, c := range by[n:] {
		if c.Moments[0] <= 0 {
			continue
		}
		k := cellKey{class: c.Class, kind: c.Kind}
		i, ok := place[k]
		if !ok {
			i = len(out)
			place[k] = i
			out = append(out, Cell{Class: c.Class, Kind: c.Kind, At: c.At})
		}
		to := &out[i]
		w := min(1, 1/c.Moments[0])
		if (c.Statement == Fingerprint{}) {
			w = 1
		}
		if c.At > to.At {
			to.Moments.scale(math.Exp((to.At - c.At) / span))
			to.At = c.At
		} else {
			w *= math.Exp((c.At - to.At) / span)
		}
		to.Moments.addScaled(&c.Moments, w)
	}
	slices.SortFunc(out, compareCells)
	return out
}

// Evidence is this source's summary as it is now. Each call makes a later one.
func (m *Model) Evidence() Summary {
	m.sequence++
	return m.summary()
}

func (m *Model) summary() Summary {
	s := Summary{Source: m.options.Source, Incarnation: m.options.Incarnation, Sequence: m.sequence, At: m.lastObservedAt, Cells: m.ownCells()}
	for _, w := range m.waits {
		s.Waits = append(s.Waits, *w)
	}
	slices.SortFunc(s.Waits, func(a, b Wait) int { return strings.Compare(a.Kind, b.Kind) })
	return s
}

// supersedes says whether a replaces b. Two that claim the same place are ordered by what they say, so that all who saw both
// keep the same one.
func supersedes(a, b *Summary) bool {
	if c := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)); c != 0 {
		return c > 0
	}
	x, y := a.digest(), b.digest()
	return bytes.Compare(x[:], y[:]) > 0
}

func (s *Summary) digest() (d [32]byte) {
	h := blake3.New()
	hashEvidence(h, s.Cells, s.Waits, s.At)
	copy(d[:], h.Sum(nil))
	return d
}

func hashEvidence(h *blake3.Hasher, cells []Cell, waits []Wait, fields ...float64) {
	var b []byte
	word := func(s string) {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	float := func(x float64) { b = binary.LittleEndian.AppendUint64(b, math.Float64bits(x)) }
	for _, x := range fields {
		float(x)
	}
	for i := range cells {
		c := &cells[i]
		b = append(b, 'c', byte(c.Block))
		word(c.Class)
		word(c.Kind)
		b = append(b, c.Statement[:]...)
		float(c.At)
		for _, x := range c.Moments {
			float(x)
		}
		_, _ = h.Write(b)
		b = b[:0]
	}
	for _, w := range waits {
		b = append(b, 'w', byte(w.Block))
		word(w.Kind)
		float(w.At)
		for _, x := range w.Sums {
			float(x)
		}
	}
	_, _ = h.Write(b)
}

// Merge takes another source's summary, in any order, as often as it comes. An error says that it was left out.
func (m *Model) Merge(s Summary) error {
	if s.Source == m.options.Source {
		return nil // its own, or an earlier process's: what is held here is later
	}
	s, err := m.validateSummary(s)
	if err != nil {
		return err
	}
	if m.options.DisabledGuarantee == "merge" {
		if old, ok := m.summaries[s.Source]; ok { // counts what came twice twice
			s.Cells = mergeCells(append(slices.Clone(old.Cells), s.Cells...), m.options.Span)
		}
		m.summaries[s.Source] = s
		m.changes++
		return nil
	}
	if old, ok := m.summaries[s.Source]; ok && !supersedes(&s, &old) {
		return nil
	}
	m.summaries[s.Source] = s
	m.changes += max(1, len(s.Cells))
	if len(m.summaries) > m.options.Sources { // the last by name goes: whoever saw the same sources holds the same
		worst := ""
		for name := range m.summaries {
			worst = max(worst, name)
		}
		delete(m.summaries, worst)
	}
	return nil
}

// validateSummary refuses what no traffic can have brought and brings a summary into its bound.
func (m *Model) validateSummary(s Summary) (Summary, error) {
	bad := func(format string, args ...any) (Summary, error) {
		return Summary{}, &InvalidEvidenceError{truncateText(s.Source), fmt.Sprintf(format, args...)}
	}
	if s.Source == "" || len(s.Source) > maxName {
		return bad("its source has %d bytes, allowed is 1 to %d", len(s.Source), maxName)
	}
	s.Cells = slices.Clone(s.Cells)
	s.Waits = slices.Clone(s.Waits)
	slices.SortFunc(s.Cells, compareCells)
	slices.SortFunc(s.Waits, func(a, b Wait) int { return strings.Compare(a.Kind, b.Kind) })
	classes, kinds := map[string]bool{}, map[string]bool{}
	for i := range s.Cells {
		c := &s.Cells[i]
		if c.Block != 0 || len(c.Class) > maxName || len(c.Kind) > maxName || i > 0 && compareCells(s.Cells[i-1], *c) == 0 {
			return bad("cell %d has a name or block that can't be, or stands there twice", i)
		}
		classes[c.Class], kinds[c.Kind] = true, true
		if !c.Moments.isPossible() || !(math.Abs(c.At) < 1e15) {
			return bad("cell %d holds sums that no traffic can have", i)
		}
	}
	if len(classes) > maxClasses || len(kinds) > maxKinds || len(s.Waits) > maxKinds {
		return bad("%d classes and %d kinds, allowed are %d and %d", len(classes), len(kinds), maxClasses, maxKinds)
	}
	for i, w := range s.Waits {
		if w.Block != 0 || len(w.Kind) > maxName || i > 0 && s.Waits[i-1].Kind == w.Kind || !(math.Abs(w.At) < 1e15) {
			return bad("wait %d can't be", i)
		}
		for _, x := range w.Sums {
			if !(x >= 0 && x < 1e30) {
				return bad("wait %d holds sums that no traffic can have", i)
			}
		}
	}
	s.Cells = foldCells(s.Cells, max(1, m.options.Bytes/2/m.options.Sources/cellBytes), m.options.Span)
	return s, nil
}

// termLimits are the most that a place of an observation can be: log(1 + 2e15) of size, log(1 + 2^31) of crowd, and log work
// between 1e-4 and 1e9 ms.
var termLimits = [termCount]float64{termOne: 1, termSize: 36, termConcurrency: 22, termWarmUp: 1, termWork: 21}

// isPossible says whether such sums can come from observations: each within its limits, and no combination of them with a
// spread below 0. What is let through can make no fit fail.
func (m *Moments) isPossible() bool {
	n := m[0]
	if !(n >= 0 && n < 1e12) {
		return false
	}
	all := mat.NewSymDense(termCount, nil)
	for i := range termCount {
		for j := i; j < termCount; j++ {
			x, most := m.moment(i, j), termLimits[i]*termLimits[j]
			if !(math.Abs(x) <= n*most*(1+1e-9)+1e-12) || x < 0 && i != termWork && j != termWork {
				return false
			}
			all.SetSym(i, j, x/max(n, 1e-300)/most)
		}
	}
	var eigen mat.EigenSym
	return n == 0 || eigen.Factorize(all, false) && slices.Min(eigen.Values(nil)) > -roundingTolerance
}

// roundingTolerance is how far below 0, as a share of the limits, a spread may come out of sums that were added up and faded: far
// above what float64 loses, far below what a fit could see.
const roundingTolerance = 1e-9

// regularize adds as much to all spreads as rounding may have taken, so that a fit of what is possible never fails.
func (m *Moments) regularize() {
	for i := range termCount {
		m[momentIndex(i, i)] += 2 * roundingTolerance * m[0] * termLimits[i] * termLimits[i]
	}
}

// mergeCells adds cells with the same names, at the later of their times. They come in the order of time for the same result.
func mergeCells(cells []Cell, span float64) []Cell {
	slices.SortStableFunc(cells, compareCells)
	out := cells[:0:0]
	for _, c := range cells {
		n := len(out)
		if n == 0 || compareCells(out[n-1], c) != 0 {
			out = append(out, c)
			continue
		}
		to, w := &out[n-1], 1.0
		if c.At > to.At {
			to.Moments.scale(math.Exp((to.At - c.At) / span))
			to.At = c.At
		} else {
			w = math.Exp((c.At - to.At) / span)
		}
		to.Moments.addScaled(&c.Moments, w)
	}
	return out
}

// Publish makes a version of all that is held, faded to now. Sources are dealt into blocks by their names; five where
// there are as many, three where there are three or four.
func (m *Model) Publish(token uint64, now float64) Snapshot {
	all := make([]Summary, 0, len(m.summaries)+1)
	for _, s := range m.summaries {
		all = append(all, s)
	}
	if len(m.cells) > 0 {
		all = append(all, m.summary())
	}
	slices.SortFunc(all, func(a, b Summary) int { return strings.Compare(a.Source, b.Source) })
	v := Snapshot{Token: token, At: now, Blocks: 1, Span: m.options.Span, Drift: m.options.Drift, disabledGuarantee: m.options.DisabledGuarantee}
	switch n := len(all); {
	case n >= 5:
		v.Blocks = 5
	case n >= 3:
		v.Blocks = 3
	}
	fade := func(at float64) float64 { return math.Exp(-max(0, now-at) / m.options.Span) }
	waits := map[cellKey]Wait{}
	for i, s := range all {
		block := i % v.Blocks
		for _, c := range s.Cells {
			w := fade(c.At)
			if n := c.Moments[0] * w; n > maxSourceWeight && m.options.DisabledGuarantee != "false" {
				w *= maxSourceWeight / n
			}
			if c.Moments[0]*w < 1e-6 {
				continue
			}
			c.Block, c.At = block, now
			c.Moments.scale(w)
			v.Cells = append(v.Cells, c)
		}
		for _, q := range s.Waits {
			w := fade(q.At)
			if n := q.Sums[0] * w; n > maxSourceWeight {
				w *= maxSourceWeight / n
			}
			k := cellKey{kind: q.Kind, class: string(rune('0' + block))}
			t := waits[k]
			t.Block, t.Kind, t.At = block, q.Kind, now
			for j := range t.Sums {
				t.Sums[j] += w * q.Sums[j]
			}
			waits[k] = t
		}
	}
	v.Cells = mergeCells(v.Cells, m.options.Span)
	for _, q := range waits {
		v.Waits = append(v.Waits, q)
	}
	slices.SortFunc(v.Waits, func(a, b Wait) int { return cmp.Or(cmp.Compare(a.Block, b.Block), strings.Compare(a.Kind, b.Kind)) })
	v.Digest = v.digest()
	return v
}

func (v *Snapshot) digest() (d [32]byte) {
	h := blake3.New()
	hashEvidence(h, v.Cells, v.Waits, float64(v.Token), v.At, float64(v.Blocks), v.Span, v.Drift)
	copy(d[:], h.Sum(nil))
	return d
}

// Validate says whether a version is what its digest stands for.
func (v *Snapshot) Validate() error {
	if v.digest() != v.Digest {
		return &InvalidEvidenceError{fmt.Sprintf("version %d", v.Token), "its digest does not match"}
	}
	if !(v.Span > 0) || !(v.Drift >= 0) || v.Blocks < 1 || v.Blocks > 5 {
		return &InvalidEvidenceError{fmt.Sprintf("version %d", v.Token), "its figures can't be"}
	}
	for i := range v.Cells {
		if c := &v.Cells[i]; !c.Moments.isPossible() || c.Block < 0 || c.Block >= v.Blocks {
			return &InvalidEvidenceError{fmt.Sprintf("version %d", v.Token), fmt.Sprintf("cell %d holds sums that no traffic can have", i)}
		}
	}
	return nil
}

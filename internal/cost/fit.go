package cost

import (
	"slices"

	"gonum.org/v1/gonum/mat"
)

// What the fit takes for granted before it has evidence; with evidence each gives way to what is observed.
const (
	priorStatement = 0.5 // standard deviations of log work: of statements within their class,
	priorPair      = 0.2 // of a statement on one kind of hardware beyond what both explain,
	priorSlope     = 0.1 // of a statement's own growth with size,
	priorNoise     = 0.4 // and of one run against the next
	priorWeight    = 3   // statements, or cells, that these count for
	noiseWeight    = 10  // observations that the noise of all classes counts for in that of one
	priorCommon    = 10  // of what is common to all: no work is e^10 ms away from another's mean
	minVariance    = 1e-6
)

const (
	maxRounds         = 40    // of estimating spreads; they end when none moves by
	convergedFraction = 0.005 // of itself
)

// commonSlopes is how many effects are common to all classes and kinds: of size, concurrency and warm-up.
const commonSlopes = 3

// statementKey names a statement by the index of its class.
type statementKey struct {
	class     int
	statement Fingerprint
}

// cellFit is one cell in a fit, its sizes centred.
type cellFit struct {
	kind    int
	moments Moments
}

// statementFit is a statement with its cells.
type statementFit struct {
	class  int
	cells  []cellFit
	folded bool // it stands for a class: each observation is another statement
	local  localEffects
}

// cellOf returns the index of the statement's cell on a kind; -1: there is none.
func (s *statementFit) cellOf(kind int) int {
	return slices.IndexFunc(s.cells, func(c cellFit) bool { return c.kind == kind })
}

// fit is the log-additive model of some cells:
//
//	log work = class + kind + statement + pair + (b + slope of the statement) * size + c * concurrency + d * warm-up + noise
//
// Statement, pair and slope are drawn from spreads that are estimated too, so they shrink to 0 where little is known.
type fit struct {
	classes, kinds    map[string]int
	centreSize        float64
	statements        map[statementKey]*statementFit
	order             []statementKey // as statements were added: sums come out the same each time
	dim               int
	failed            bool      // a matrix had no factors: nothing can be estimated
	mean              []float64 // of what is common: classes, kinds, b, c, d
	chol              mat.Cholesky
	covariance        *mat.SymDense
	noise             []float64 // variance by class
	degreesOfFreedom  []float64 // observations behind it
	statementVariance float64
	pairVariance      float64
	slopeVariance     float64
}

// newFit fits cells; nil: there are none, or they can't be fitted. Spreads are estimated from the cells, or taken from the
// median of other fits, where these are three or more.
func newFit(cells []Cell, disabledGuarantee string, others []*fit) *fit {
	f := &fit{
		classes:           map[string]int{},
		kinds:             map[string]int{},
		statements:        map[statementKey]*statementFit{},
		statementVariance: priorStatement * priorStatement,
		pairVariance:      priorPair * priorPair,
		slopeVariance:     priorSlope * priorSlope,
	}
	if !f.addNames(cells) {
		return nil
	}
	f.addCells(cells)
	f.dim = len(f.classes) + len(f.kinds) + commonSlopes
	f.noise = make([]float64, len(f.classes))
	f.degreesOfFreedom = make([]float64, len(f.classes))
	for i := range f.noise {
		f.noise[i] = priorNoise * priorNoise
	}
	independent := disabledGuarantee == guaranteeShrink
	if independent { // every effect stands alone, as if nothing were alike
		f.statementVariance, f.pairVariance, f.slopeVariance = priorCommon*priorCommon, priorCommon*priorCommon, 1
	}
	rounds := maxRounds
	if len(others) >= minBlocks {
		rounds = 1 // for classes that too few of the others know
	}
	for range rounds {
		if f.solve(); f.failed || f.updateSpreads(independent) < convergedFraction {
			break
		}
	}
	f.adoptSpreads(others)
	if f.solve(); f.failed {
		return nil
	}
	return f
}

// addNames numbers classes and kinds and sets the mean of sizes; false: the cells hold nothing.
func (f *fit) addNames(cells []Cell) bool {
	n, sizes := 0.0, 0.0
	for i := range cells {
		c := &cells[i]
		if _, known := f.classes[c.Class]; !known {
			f.classes[c.Class] = len(f.classes)
		}
		if _, known := f.kinds[c.Kind]; !known {
			f.kinds[c.Kind] = len(f.kinds)
		}
		n += c.Moments.moment(termOne, termOne)
		sizes += c.Moments.moment(termOne, termSize)
	}
	if n <= 0 {
		return false
	}
	f.centreSize = sizes / n
	return true
}

func (f *fit) addCells(cells []Cell) {
	for i := range cells {
		c := &cells[i]
		key := statementKey{f.classes[c.Class], c.Statement}
		s := f.statements[key]
		if s == nil {
			s = &statementFit{class: key.class, folded: c.isFolded()}
			f.statements[key] = s
			f.order = append(f.order, key)
		}
		moments, kind := c.Moments, f.kinds[c.Kind]
		moments.regularize()
		moments.centreSize(f.centreSize)
		if at := s.cellOf(kind); at >= 0 {
			s.cells[at].moments.addScaled(&moments, 1) // another block's
		} else {
			s.cells = append(s.cells, cellFit{kind, moments})
		}
	}
}

// adoptSpreads replaces the spreads by the medians of what other fits found: no one source then moves them further than to
// the next one's.
func (f *fit) adoptSpreads(others []*fit) {
	if len(others) < minBlocks || slices.Contains(others, nil) {
		return
	}
	adopt := func(v *float64, of func(o *fit) (float64, bool)) {
		var found []float64
		for _, o := range others {
			if x, known := of(o); known {
				found = append(found, x)
			}
		}
		if slices.Sort(found); len(found) >= minBlocks {
			*v = found[len(found)/2]
		}
	}
	adopt(&f.statementVariance, func(o *fit) (float64, bool) { return o.statementVariance, true })
	adopt(&f.pairVariance, func(o *fit) (float64, bool) { return o.pairVariance, true })
	adopt(&f.slopeVariance, func(o *fit) (float64, bool) { return o.slopeVariance, true })
	for name, i := range f.classes {
		adopt(&f.noise[i], func(o *fit) (float64, bool) {
			j, known := o.classes[name]
			if !known {
				return 0, false
			}
			return o.noise[j], true
		})
	}
}

// The columns of what is common that every statement touches, before those of the kinds of its cells.
const (
	columnClass = iota
	columnSize
	columnConcurrency
	columnWarmUp
	columnsOfAll
)

// column returns where a statement's i-th column stands among what is common, and by which term of the moments.
func (f *fit) column(s *statementFit, i int) (column, term int) {
	switch firstSlope := len(f.classes) + len(f.kinds); i {
	case columnClass:
		return s.class, termOne
	case columnSize:
		return firstSlope, termSize
	case columnConcurrency:
		return firstSlope + 1, termConcurrency
	case columnWarmUp:
		return firstSlope + 2, termWarmUp
	default:
		return len(f.classes) + s.cells[i-columnsOfAll].kind, termOne
	}
}

// columns gathers the columns of what is common that a statement touches.
func (f *fit) columns(s *statementFit) []int {
	columns := make([]int, columnsOfAll+len(s.cells))
	for i := range columns {
		columns[i], _ = f.column(s, i)
	}
	return columns
}

// columnsOfCell are the statement's columns that its i-th cell touches.
func columnsOfCell(i int) [columnsOfAll + 1]int {
	return [...]int{columnClass, columnSize, columnConcurrency, columnWarmUp, columnsOfAll + i}
}

// indexes returns the indexes of a class and a kind; observed is false where there is no evidence of one of them.
func (f *fit) indexes(class, kind string) (c, k int, observed bool) {
	c, classKnown := f.classes[class]
	k, kindKnown := f.kinds[kind]
	return c, k, classKnown && kindKnown
}

// weight returns how many observations there are of a statement on a kind, and on all.
func (f *fit) weight(class, kind int, statement Fingerprint) (pair, all float64) {
	s := f.statements[statementKey{class, statement}]
	if s == nil || s.folded {
		return 0, 0
	}
	for i := range s.cells {
		n := s.cells[i].moments.moment(termOne, termOne)
		all += n
		if s.cells[i].kind == kind {
			pair += n
		}
	}
	return pair, all
}

package cost

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// What the fit takes for granted before it has seen anything; with evidence each gives way to what is seen.
const (
	priorStatement = 0.5 // standard deviations of log work: of statements within their class,
	priorPair      = 0.2 // of a statement on one kind of hardware beyond what both explain,
	priorSlope     = 0.1 // of a statement's own growth with size,
	priorNoise     = 0.4 // and of one run against the next
	priorWeight    = 3   // statements, or cells, that these count for
	noiseWeight    = 10  // observations that the noise of all classes counts for in that of one
	priorCommon    = 10  // of what is common to all: no work is e^10 ms away from another's mean
	maxRounds      = 40  // of estimating spreads, at the most; they end when none moves by
	convergedShare = 0.005
)

// cellFit is one cell in a fit, its sizes centred.
type cellFit struct {
	kind    int
	moments Moments
}

// statementFit is a statement with its cells.
type statementFit struct {
	class  int
	cells  []cellFit
	folded bool // it is what was folded: each observation is another statement
	local  localEffects
}

// fit is the log-additive model of some cells:
//
//	log work = class + kind + statement + pair + (b + slope of the statement) * size + c * crowd + d * cold + noise
//
// Statement, pair and slope are drawn from spreads that are estimated too, so they shrink to 0 where little is known.
type fit struct {
	classes, kinds    map[string]int
	centreSize        float64
	statements        map[statementKey]*statementFit
	order             []statementKey // as items were added: sums come out the same each time
	dim               int
	failed            bool      // a matrix had no factors: nothing can be told
	mean              []float64 // of what is common: classes, kinds, b, c, d
	chol              mat.Cholesky
	covariance        *mat.SymDense // its covariance
	noise             []float64     // variance by class
	degreesOfFreedom  []float64     // observations behind it
	statementVariance float64       // variances
	pairVariance      float64
	slopeVariance     float64
}

type statementKey struct {
	class     int
	statement Fingerprint
}

// newFit fits cells; nil: there are none, or they can't be fitted. Spreads are estimated from the cells, or taken from the middle of other fits,
// where these are three or more.
func newFit(cells []Cell, broken string, others []*fit) *fit {
	f := &fit{
		classes: map[string]int{}, kinds: map[string]int{}, statements: map[statementKey]*statementFit{},
		statementVariance: priorStatement * priorStatement, pairVariance: priorPair * priorPair, slopeVariance: priorSlope * priorSlope,
	}
	n, sizes := 0.0, 0.0
	for _, c := range cells {
		if _, ok := f.classes[c.Class]; !ok {
			f.classes[c.Class] = len(f.classes)
		}
		if _, ok := f.kinds[c.Kind]; !ok {
			f.kinds[c.Kind] = len(f.kinds)
		}
		n += c.Moments.moment(termOne, termOne)
		sizes += c.Moments.moment(termOne, termSize)
	}
	if n <= 0 {
		return nil
	}
	f.centreSize = sizes / n
	for _, c := range cells {
		s := statementKey{f.classes[c.Class], c.Statement}
		it := f.statements[s]
		if it == nil {
			it = &statementFit{class: s.class, folded: c.Statement == Fingerprint{}}
			f.statements[s] = it
			f.order = append(f.order, s)
		}
		m, kind := c.Moments, f.kinds[c.Kind]
		m.regularize()
		m.centreSize(f.centreSize)
		if i := slices.IndexFunc(it.cells, func(p cellFit) bool { return p.kind == kind }); i >= 0 {
			it.cells[i].moments.addScaled(&m, 1) // another block's
		} else {
			it.cells = append(it.cells, cellFit{kind, m})
		}
	}
	f.dim = len(f.classes) + len(f.kinds) + 3
	f.noise = make([]float64, len(f.classes))
	f.degreesOfFreedom = make([]float64, len(f.classes))
	for i := range f.noise {
		f.noise[i] = priorNoise * priorNoise
	}
	if broken == "shrink" { // every effect stands alone, as if nothing were alike
		f.statementVariance, f.pairVariance, f.slopeVariance = priorCommon*priorCommon, priorCommon*priorCommon, 1
	}
	most := maxRounds
	if len(others) > 2 {
		most = 1 // for classes that too few of the others know
	}
	for range most {
		if f.solve(); f.failed || f.updateSpreads(broken == "shrink") < convergedShare {
			break
		}
	}
	f.adoptSpreads(others)
	if f.solve(); f.failed {
		return nil
	}
	return f
}

// adoptSpreads replaces the spreads by the middle of what other fits found: no one source then moves them further than to the
// next one's.
func (f *fit) adoptSpreads(others []*fit) {
	if len(others) < 3 || slices.Contains(others, nil) {
		return
	}
	middle := func(of func(o *fit) (float64, bool), v *float64) {
		var xs []float64
		for _, o := range others {
			if x, ok := of(o); ok {
				xs = append(xs, x)
			}
		}
		if slices.Sort(xs); len(xs) > 2 {
			*v = xs[len(xs)/2]
		}
	}
	middle(func(o *fit) (float64, bool) { return o.statementVariance, true }, &f.statementVariance)
	middle(func(o *fit) (float64, bool) { return o.pairVariance, true }, &f.pairVariance)
	middle(func(o *fit) (float64, bool) { return o.slopeVariance, true }, &f.slopeVariance)
	for name, i := range f.classes {
		middle(func(o *fit) (float64, bool) {
			j, ok := o.classes[name]
			if !ok {
				return 0, false
			}
			return o.noise[j], true
		}, &f.noise[i])
	}
}

// centreSize moves the origin of sizes.
func (m *Moments) centreSize(by float64) {
	old := *m
	for j := range termCount {
		if j != termSize {
			m[momentIndex(termSize, j)] = old.moment(termSize, j) - by*old.moment(termOne, j)
		}
	}
	m[momentIndex(termSize, termSize)] = max(0, old.moment(termSize, termSize)-2*by*old.moment(termOne, termSize)+by*by*old.moment(termOne, termOne))
}

// columns returns where a statement on kinds touches what is common, and by which place of the moments: its class first,
// then size, crowd and cold, then the kinds of its parts.
func (f *fit) column(it *statementFit, i int) (col, place int) {
	switch c := len(f.classes) + len(f.kinds); i {
	case 0:
		return it.class, termOne
	case 1:
		return c, termSize
	case 2:
		return c + 1, termConcurrency
	case 3:
		return c + 2, termWarmUp
	default:
		return len(f.classes) + it.cells[i-4].kind, termOne
	}
}

// localEffects is a statement's own effects, given what is common: statement, slope, then a pair each.
type localEffects struct {
	chol       mat.Cholesky
	mean       *mat.VecDense // their mean where all that is common is 0
	dependence *mat.Dense    // by how much it falls with each column
}

// solveStatement finds them and returns how a statement's own effects and what is common go together.
func (f *fit) solveStatement(it *statementFit) (b *mat.Dense) {
	l := &it.local
	n, cols := 2+len(it.cells), 4+len(it.cells)
	v := f.noise[it.class]
	a := mat.NewSymDense(n, nil)
	b = mat.NewDense(n, cols, nil)
	y := mat.NewVecDense(n, nil)
	a.SetSym(0, 0, 1/f.statementVariance)
	a.SetSym(1, 1, 1/f.slopeVariance)
	for i := range it.cells {
		m := &it.cells[i].moments
		rows := [3]int{0, 1, 2 + i}
		of := [3]int{termOne, termSize, termOne}
		a.SetSym(2+i, 2+i, 1/f.pairVariance)
		for r := range 3 {
			for q := r; q < 3; q++ {
				a.SetSym(rows[r], rows[q], a.At(rows[r], rows[q])+m.moment(of[r], of[q])/v)
			}
			y.SetVec(rows[r], y.AtVec(rows[r])+m.moment(of[r], termWork)/v)
			for _, c := range [5]int{0, 1, 2, 3, 4 + i} {
				_, place := f.column(it, c)
				b.Set(rows[r], c, b.At(rows[r], c)+m.moment(of[r], place)/v)
			}
		}
	}
	if !l.chol.Factorize(a) {
		f.failed = true
		return b
	}
	l.mean, l.dependence = new(mat.VecDense), new(mat.Dense)
	_ = l.chol.SolveVecTo(l.mean, y)
	_ = l.chol.SolveTo(l.dependence, b)
	return b
}

// solve finds what is common, with each statement's own effects integrated out.
func (f *fit) solve() {
	g := mat.NewSymDense(f.dim, nil)
	y := mat.NewVecDense(f.dim, nil)
	for i := range f.dim {
		g.SetSym(i, i, 1.0/(priorCommon*priorCommon))
	}
	for i := range 3 { // growth with size and crowd, and the cost of being cold, are not far from 1
		g.SetSym(f.dim-1-i, f.dim-1-i, 1)
	}
	for i := range f.kinds { // and kinds of hardware are within a few factors of each other
		g.SetSym(len(f.classes)+f.kinds[i], len(f.classes)+f.kinds[i], 1)
	}
	for _, s := range f.order {
		it := f.statements[s]
		v, cols := f.noise[it.class], 4+len(it.cells)
		if it.folded {
			v += f.statementVariance + f.pairVariance
		}
		sums := mat.NewDense(cols, cols, nil)
		right := mat.NewVecDense(cols, nil)
		for i := range it.cells {
			m := &it.cells[i].moments
			touched := [5]int{0, 1, 2, 3, 4 + i}
			for _, r := range touched {
				_, pr := f.column(it, r)
				right.SetVec(r, right.AtVec(r)+m.moment(pr, termWork)/v)
				for _, q := range touched {
					_, pq := f.column(it, q)
					sums.Set(r, q, sums.At(r, q)+m.moment(pr, pq)/v)
				}
			}
		}
		if !it.folded {
			b := f.solveStatement(it)
			if f.failed {
				return
			}
			var less mat.Dense
			less.Mul(b.T(), it.local.dependence)
			sums.Sub(sums, &less)
			var lessY mat.VecDense
			lessY.MulVec(b.T(), it.local.mean)
			right.SubVec(right, &lessY)
		}
		for r := range cols {
			row, _ := f.column(it, r)
			y.SetVec(row, y.AtVec(row)+right.AtVec(r))
			for q := r; q < cols; q++ {
				col, _ := f.column(it, q)
				g.SetSym(row, col, g.At(row, col)+sums.At(r, q))
			}
		}
	}
	if !f.chol.Factorize(g) {
		f.failed = true
		return
	}
	var mean mat.VecDense
	_ = f.chol.SolveVecTo(&mean, y)
	f.mean = mean.RawVector().Data
	f.covariance = mat.NewSymDense(f.dim, nil)
	_ = f.chol.InverseTo(f.covariance)
}

// updateSpreads estimates the variances anew from what was solved (expectation, then the mode) and returns by which share the
// one moved that moved most.
func (f *fit) updateSpreads(alone bool) float64 {
	var statements, pairs, slopes, nStatements, nPairs, nSlopes float64
	rest, seen := make([]float64, len(f.noise)), make([]float64, len(f.noise))
	for _, s := range f.order {
		it := f.statements[s]
		if it.folded {
			continue
		}
		mean, cover := f.statementEffects(it)
		statements += mean.AtVec(0)*mean.AtVec(0) + cover.At(0, 0)
		nStatements++
		slopes += mean.AtVec(1)*mean.AtVec(1) + cover.At(1, 1)
		nSlopes++
		for i := range it.cells {
			if len(it.cells) > 1 {
				pairs += mean.AtVec(2+i)*mean.AtVec(2+i) + cover.At(2+i, 2+i)
				nPairs++
			}
			m := &it.cells[i].moments
			e := f.effects(it, it.cells[i].kind)
			// The sum of squares that is left: of the mean's residuals, and of what is not known of the mean.
			w := [termCount]float64{}
			for j := range 4 {
				w[j] = -e.mean[j]
			}
			w[termWork] = 1
			left := 0.0
			for p := range termCount {
				for q := range termCount {
					left += w[p] * w[q] * m.moment(p, q)
				}
			}
			for p := range 4 {
				for q := range 4 {
					left += e.covariance[p][q] * m.moment(p, q)
				}
			}
			rest[it.class] += max(0, left)
			seen[it.class] += m.moment(termOne, termOne)
		}
	}
	moved := 0.0
	set := func(v *float64, to float64) {
		to = max(to, 1e-6)
		moved = max(moved, math.Abs(to-*v)/(*v))
		*v = to
	}
	all, n := noiseWeight*priorNoise*priorNoise, float64(noiseWeight)
	for i := range rest {
		all, n = all+rest[i], n+seen[i]
	}
	for i := range rest {
		f.degreesOfFreedom[i] = seen[i] + min(noiseWeight, n)
		set(&f.noise[i], (rest[i]+noiseWeight*all/n)/(seen[i]+noiseWeight))
	}
	if !alone {
		set(&f.statementVariance, (statements+priorWeight*priorStatement*priorStatement)/(nStatements+priorWeight))
		set(&f.pairVariance, (pairs+priorWeight*priorPair*priorPair)/(nPairs+priorWeight))
		set(&f.slopeVariance, (slopes+priorWeight*priorSlope*priorSlope)/(nSlopes+priorWeight))
	}
	return moved
}

// columns gathers the rows and columns of what is common that a statement touches.
func (f *fit) columns(it *statementFit) []int {
	cols := make([]int, 4+len(it.cells))
	for i := range cols {
		cols[i], _ = f.column(it, i)
	}
	return cols
}

// statementEffects returns the mean and covariance of a statement's own effects.
func (f *fit) statementEffects(it *statementFit) (*mat.VecDense, *mat.SymDense) {
	l := &it.local
	cols := f.columns(it)
	common := mat.NewVecDense(len(cols), nil)
	cover := mat.NewDense(len(cols), len(cols), nil)
	for i, c := range cols {
		common.SetVec(i, f.mean[c])
		for j, d := range cols {
			cover.Set(i, j, f.covariance.At(c, d))
		}
	}
	n := l.mean.Len()
	mean, sq, inv := mat.NewVecDense(n, nil), mat.NewDense(n, n, nil), mat.NewSymDense(n, nil)
	mean.MulVec(l.dependence, common)
	mean.SubVec(l.mean, mean)
	sq.Product(l.dependence, cover, l.dependence.T())
	_ = l.chol.InverseTo(inv)
	for i := range n {
		for j := i; j < n; j++ {
			inv.SetSym(i, j, inv.At(i, j)+sq.At(i, j))
		}
	}
	return mean, inv
}

// effect is what multiplies 1, size, crowd and cold for a statement on a kind: mean and covariance.
type effect struct {
	mean       [4]float64
	covariance [4][4]float64
}

// effects returns that for a statement, which may have no part of this kind, or none at all: it was never seen.
func (f *fit) effects(it *statementFit, kind int) (e effect) {
	c := len(f.classes) + len(f.kinds)
	// Each effect is a combination of what is common, h, and of the statement's own.
	var h [4][]float64
	for j := range h {
		h[j] = make([]float64, f.dim)
	}
	h[0][it.class], h[0][len(f.classes)+kind] = 1, 1
	h[1][c], h[2][c+1], h[3][c+2] = 1, 1, 1
	if len(it.cells) == 0 {
		e.covariance[0][0], e.covariance[1][1] = f.statementVariance+f.pairVariance, f.slopeVariance
	} else {
		l := &it.local
		n := l.mean.Len()
		t := mat.NewDense(2, n, nil)
		t.Set(0, 0, 1)
		t.Set(1, 1, 1)
		if i := slices.IndexFunc(it.cells, func(p cellFit) bool { return p.kind == kind }); i >= 0 {
			t.Set(0, 2+i, 1)
		} else {
			e.covariance[0][0] = f.pairVariance
		}
		inv := mat.NewSymDense(n, nil)
		_ = l.chol.InverseTo(inv)
		var own, lean mat.Dense
		own.Product(t, inv, t.T())
		lean.Mul(t, l.dependence)
		cols := f.columns(it)
		for r := range 2 {
			for k := range n {
				e.mean[r] += t.At(r, k) * l.mean.AtVec(k)
			}
			for q := range 2 {
				e.covariance[r][q] += own.At(r, q)
			}
			for i, col := range cols {
				h[r][col] -= lean.At(r, i)
			}
		}
	}
	for r := range 4 {
		for i, x := range h[r] {
			if x == 0 {
				continue
			}
			e.mean[r] += x * f.mean[i]
			for q := range 4 {
				for j, z := range h[q] {
					if z != 0 {
						e.covariance[r][q] += x * z * f.covariance.At(i, j)
					}
				}
			}
		}
	}
	return e
}

// known says whether a class and kind were seen.
func (f *fit) known(class, kind string) (c, k int, ok bool) {
	c, ok = f.classes[class]
	k, ok2 := f.kinds[kind]
	return c, k, ok && ok2
}

// weight returns how many observations there are of a statement on a kind, and on all.
func (f *fit) weight(class, kind int, s Fingerprint) (pair, all float64) {
	if it := f.statements[statementKey{class, s}]; it != nil && !it.folded {
		for i := range it.cells {
			n := it.cells[i].moments.moment(termOne, termOne)
			all += n
			if it.cells[i].kind == kind {
				pair += n
			}
		}
	}
	return pair, all
}

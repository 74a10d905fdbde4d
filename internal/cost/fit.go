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
	vague          = 10  // of what is common to all: no work is e^10 ms away from another's mean
	rounds         = 40  // of estimating spreads, at the most; they end when none moves by
	settled        = 0.005
)

// part is one cell in a fit, its sizes centred.
type part struct {
	kind int
	m    Moments
}

// item is a statement with its cells.
type item struct {
	class int
	parts []part
	only  bool // it is what was folded: each observation is another statement
	local local
}

// fit is the log-additive model of some cells:
//
//	log work = class + kind + statement + pair + (b + slope of the statement) * size + c * crowd + d * cold + noise
//
// Statement, pair and slope are drawn from spreads that are estimated too, so they shrink to 0 where little is known.
type fit struct {
	classes, kinds map[string]int
	centre         float64
	items          map[stmt]*item
	order          []stmt // as items were added: sums come out the same each time
	dim            int
	failed         bool      // a matrix had no factors: nothing can be told
	mean           []float64 // of what is common: classes, kinds, b, c, d
	chol           mat.Cholesky
	cover          *mat.SymDense // its covariance
	noise          []float64     // variance by class
	freedom        []float64     // observations behind it
	statement      float64       // variances
	pair           float64
	slope          float64
}

type stmt struct {
	class     int
	statement Fingerprint
}

// newFit fits cells; nil: there are none, or they can't be fitted. Spreads are estimated from the cells, or taken from the middle of other fits,
// where these are three or more.
func newFit(cells []Cell, broken string, others []*fit) *fit {
	f := &fit{
		classes: map[string]int{}, kinds: map[string]int{}, items: map[stmt]*item{},
		statement: priorStatement * priorStatement, pair: priorPair * priorPair, slope: priorSlope * priorSlope,
	}
	n, sizes := 0.0, 0.0
	for _, c := range cells {
		if _, ok := f.classes[c.Class]; !ok {
			f.classes[c.Class] = len(f.classes)
		}
		if _, ok := f.kinds[c.Kind]; !ok {
			f.kinds[c.Kind] = len(f.kinds)
		}
		n += c.Moments.of(one, one)
		sizes += c.Moments.of(one, size)
	}
	if n <= 0 {
		return nil
	}
	f.centre = sizes / n
	for _, c := range cells {
		s := stmt{f.classes[c.Class], c.Statement}
		it := f.items[s]
		if it == nil {
			it = &item{class: s.class, only: c.Statement == Fingerprint{}}
			f.items[s] = it
			f.order = append(f.order, s)
		}
		m, kind := c.Moments, f.kinds[c.Kind]
		m.firm()
		m.centre(f.centre)
		if i := slices.IndexFunc(it.parts, func(p part) bool { return p.kind == kind }); i >= 0 {
			it.parts[i].m.plus(&m, 1) // another block's
		} else {
			it.parts = append(it.parts, part{kind, m})
		}
	}
	f.dim = len(f.classes) + len(f.kinds) + 3
	f.noise = make([]float64, len(f.classes))
	f.freedom = make([]float64, len(f.classes))
	for i := range f.noise {
		f.noise[i] = priorNoise * priorNoise
	}
	if broken == "shrink" { // every effect stands alone, as if nothing were alike
		f.statement, f.pair, f.slope = vague*vague, vague*vague, 1
	}
	most := rounds
	if len(others) > 2 {
		most = 1 // for classes that too few of the others know
	}
	for range most {
		if f.solve(); f.failed || f.spreads(broken == "shrink") < settled {
			break
		}
	}
	f.take(others)
	if f.solve(); f.failed {
		return nil
	}
	return f
}

// take replaces the spreads by the middle of what other fits found: no one source then moves them further than to the
// next one's.
func (f *fit) take(others []*fit) {
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
	middle(func(o *fit) (float64, bool) { return o.statement, true }, &f.statement)
	middle(func(o *fit) (float64, bool) { return o.pair, true }, &f.pair)
	middle(func(o *fit) (float64, bool) { return o.slope, true }, &f.slope)
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

// centre moves the origin of sizes.
func (m *Moments) centre(by float64) {
	old := *m
	for j := range places {
		if j != size {
			m[at(size, j)] = old.of(size, j) - by*old.of(one, j)
		}
	}
	m[at(size, size)] = max(0, old.of(size, size)-2*by*old.of(one, size)+by*by*old.of(one, one))
}

// columns returns where a statement on kinds touches what is common, and by which place of the moments: its class first,
// then size, crowd and cold, then the kinds of its parts.
func (f *fit) column(it *item, i int) (col, place int) {
	switch c := len(f.classes) + len(f.kinds); i {
	case 0:
		return it.class, one
	case 1:
		return c, size
	case 2:
		return c + 1, crowd
	case 3:
		return c + 2, cold
	default:
		return len(f.classes) + it.parts[i-4].kind, one
	}
}

// local is a statement's own effects, given what is common: statement, slope, then a pair each.
type local struct {
	chol mat.Cholesky
	own  *mat.VecDense // their mean where all that is common is 0
	lean *mat.Dense    // by how much it falls with each column
}

// alone finds them and returns how a statement's own effects and what is common go together.
func (f *fit) alone(it *item) (b *mat.Dense) {
	l := &it.local
	n, cols := 2+len(it.parts), 4+len(it.parts)
	v := f.noise[it.class]
	a := mat.NewSymDense(n, nil)
	b = mat.NewDense(n, cols, nil)
	y := mat.NewVecDense(n, nil)
	a.SetSym(0, 0, 1/f.statement)
	a.SetSym(1, 1, 1/f.slope)
	for i := range it.parts {
		m := &it.parts[i].m
		rows := [3]int{0, 1, 2 + i}
		of := [3]int{one, size, one}
		a.SetSym(2+i, 2+i, 1/f.pair)
		for r := range 3 {
			for q := r; q < 3; q++ {
				a.SetSym(rows[r], rows[q], a.At(rows[r], rows[q])+m.of(of[r], of[q])/v)
			}
			y.SetVec(rows[r], y.AtVec(rows[r])+m.of(of[r], work)/v)
			for _, c := range [5]int{0, 1, 2, 3, 4 + i} {
				_, place := f.column(it, c)
				b.Set(rows[r], c, b.At(rows[r], c)+m.of(of[r], place)/v)
			}
		}
	}
	if !l.chol.Factorize(a) {
		f.failed = true
		return b
	}
	l.own, l.lean = new(mat.VecDense), new(mat.Dense)
	_ = l.chol.SolveVecTo(l.own, y)
	_ = l.chol.SolveTo(l.lean, b)
	return b
}

// solve finds what is common, with each statement's own effects integrated out.
func (f *fit) solve() {
	g := mat.NewSymDense(f.dim, nil)
	y := mat.NewVecDense(f.dim, nil)
	for i := range f.dim {
		g.SetSym(i, i, 1.0/(vague*vague))
	}
	for i := range 3 { // growth with size and crowd, and the cost of being cold, are not far from 1
		g.SetSym(f.dim-1-i, f.dim-1-i, 1)
	}
	for i := range f.kinds { // and kinds of hardware are within a few factors of each other
		g.SetSym(len(f.classes)+f.kinds[i], len(f.classes)+f.kinds[i], 1)
	}
	for _, s := range f.order {
		it := f.items[s]
		v, cols := f.noise[it.class], 4+len(it.parts)
		if it.only {
			v += f.statement + f.pair
		}
		sums := mat.NewDense(cols, cols, nil)
		right := mat.NewVecDense(cols, nil)
		for i := range it.parts {
			m := &it.parts[i].m
			touched := [5]int{0, 1, 2, 3, 4 + i}
			for _, r := range touched {
				_, pr := f.column(it, r)
				right.SetVec(r, right.AtVec(r)+m.of(pr, work)/v)
				for _, q := range touched {
					_, pq := f.column(it, q)
					sums.Set(r, q, sums.At(r, q)+m.of(pr, pq)/v)
				}
			}
		}
		if !it.only {
			b := f.alone(it)
			if f.failed {
				return
			}
			var less mat.Dense
			less.Mul(b.T(), it.local.lean)
			sums.Sub(sums, &less)
			var lessY mat.VecDense
			lessY.MulVec(b.T(), it.local.own)
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
	f.cover = mat.NewSymDense(f.dim, nil)
	_ = f.chol.InverseTo(f.cover)
}

// spreads estimates the variances anew from what was solved (expectation, then the mode) and returns by which share the
// one moved that moved most.
func (f *fit) spreads(alone bool) float64 {
	var statements, pairs, slopes, nStatements, nPairs, nSlopes float64
	rest, seen := make([]float64, len(f.noise)), make([]float64, len(f.noise))
	for _, s := range f.order {
		it := f.items[s]
		if it.only {
			continue
		}
		mean, cover := f.own(it)
		statements += mean.AtVec(0)*mean.AtVec(0) + cover.At(0, 0)
		nStatements++
		slopes += mean.AtVec(1)*mean.AtVec(1) + cover.At(1, 1)
		nSlopes++
		for i := range it.parts {
			if len(it.parts) > 1 {
				pairs += mean.AtVec(2+i)*mean.AtVec(2+i) + cover.At(2+i, 2+i)
				nPairs++
			}
			m := &it.parts[i].m
			e := f.effects(it, it.parts[i].kind)
			// The sum of squares that is left: of the mean's residuals, and of what is not known of the mean.
			w := [places]float64{}
			for j := range 4 {
				w[j] = -e.mean[j]
			}
			w[work] = 1
			left := 0.0
			for p := range places {
				for q := range places {
					left += w[p] * w[q] * m.of(p, q)
				}
			}
			for p := range 4 {
				for q := range 4 {
					left += e.cover[p][q] * m.of(p, q)
				}
			}
			rest[it.class] += max(0, left)
			seen[it.class] += m.of(one, one)
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
		f.freedom[i] = seen[i] + min(noiseWeight, n)
		set(&f.noise[i], (rest[i]+noiseWeight*all/n)/(seen[i]+noiseWeight))
	}
	if !alone {
		set(&f.statement, (statements+priorWeight*priorStatement*priorStatement)/(nStatements+priorWeight))
		set(&f.pair, (pairs+priorWeight*priorPair*priorPair)/(nPairs+priorWeight))
		set(&f.slope, (slopes+priorWeight*priorSlope*priorSlope)/(nSlopes+priorWeight))
	}
	return moved
}

// columnsOf gathers the rows and columns of what is common that a statement touches.
func (f *fit) columnsOf(it *item) []int {
	cols := make([]int, 4+len(it.parts))
	for i := range cols {
		cols[i], _ = f.column(it, i)
	}
	return cols
}

// own returns the mean and covariance of a statement's own effects.
func (f *fit) own(it *item) (*mat.VecDense, *mat.SymDense) {
	l := &it.local
	cols := f.columnsOf(it)
	common := mat.NewVecDense(len(cols), nil)
	cover := mat.NewDense(len(cols), len(cols), nil)
	for i, c := range cols {
		common.SetVec(i, f.mean[c])
		for j, d := range cols {
			cover.Set(i, j, f.cover.At(c, d))
		}
	}
	n := l.own.Len()
	mean, sq, inv := mat.NewVecDense(n, nil), mat.NewDense(n, n, nil), mat.NewSymDense(n, nil)
	mean.MulVec(l.lean, common)
	mean.SubVec(l.own, mean)
	sq.Product(l.lean, cover, l.lean.T())
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
	mean  [4]float64
	cover [4][4]float64
}

// effects returns that for a statement, which may have no part of this kind, or none at all: it was never seen.
func (f *fit) effects(it *item, kind int) (e effect) {
	c := len(f.classes) + len(f.kinds)
	// Each effect is a combination of what is common, h, and of the statement's own.
	var h [4][]float64
	for j := range h {
		h[j] = make([]float64, f.dim)
	}
	h[0][it.class], h[0][len(f.classes)+kind] = 1, 1
	h[1][c], h[2][c+1], h[3][c+2] = 1, 1, 1
	if len(it.parts) == 0 {
		e.cover[0][0], e.cover[1][1] = f.statement+f.pair, f.slope
	} else {
		l := &it.local
		n := l.own.Len()
		t := mat.NewDense(2, n, nil)
		t.Set(0, 0, 1)
		t.Set(1, 1, 1)
		if i := slices.IndexFunc(it.parts, func(p part) bool { return p.kind == kind }); i >= 0 {
			t.Set(0, 2+i, 1)
		} else {
			e.cover[0][0] = f.pair
		}
		inv := mat.NewSymDense(n, nil)
		_ = l.chol.InverseTo(inv)
		var own, lean mat.Dense
		own.Product(t, inv, t.T())
		lean.Mul(t, l.lean)
		cols := f.columnsOf(it)
		for r := range 2 {
			for k := range n {
				e.mean[r] += t.At(r, k) * l.own.AtVec(k)
			}
			for q := range 2 {
				e.cover[r][q] += own.At(r, q)
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
						e.cover[r][q] += x * z * f.cover.At(i, j)
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
	if it := f.items[stmt{class, s}]; it != nil && !it.only {
		for i := range it.parts {
			n := it.parts[i].m.of(one, one)
			all += n
			if it.parts[i].kind == kind {
				pair += n
			}
		}
	}
	return pair, all
}

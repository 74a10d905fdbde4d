package cost

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// localEffects are a statement's own effects, given what is common: statement, slope, then a pair for each cell.
type localEffects struct {
	chol       mat.Cholesky
	mean       *mat.VecDense // where all that is common is 0
	dependence *mat.Dense    // by how much the mean falls with each column of what is common
}

// ownEffects are the statement's and its slope, before the pairs.
const ownEffects = 2

// solveStatement finds a statement's own effects, and returns how they and what is common go together.
func (f *fit) solveStatement(s *statementFit) (joint *mat.Dense) {
	n, columns := ownEffects+len(s.cells), columnsOfAll+len(s.cells)
	noise := f.noise[s.class]
	precision := mat.NewSymDense(n, nil)
	joint = mat.NewDense(n, columns, nil)
	right := mat.NewVecDense(n, nil)
	precision.SetSym(0, 0, 1/f.statementVariance)
	precision.SetSym(1, 1, 1/f.slopeVariance)
	for i := range s.cells {
		m := &s.cells[i].moments
		rows := [...]int{0, 1, ownEffects + i}
		terms := [...]int{termOne, termSize, termOne}
		precision.SetSym(ownEffects+i, ownEffects+i, 1/f.pairVariance)
		for r := range rows {
			for q := r; q < len(rows); q++ {
				precision.SetSym(rows[r], rows[q], precision.At(rows[r], rows[q])+m.moment(terms[r], terms[q])/noise)
			}
			right.SetVec(rows[r], right.AtVec(rows[r])+m.moment(terms[r], termWork)/noise)
			for _, c := range columnsOfCell(i) {
				_, term := f.column(s, c)
				joint.Set(rows[r], c, joint.At(rows[r], c)+m.moment(terms[r], term)/noise)
			}
		}
	}
	local := &s.local
	if !local.chol.Factorize(precision) {
		f.failed = true
		return joint
	}
	local.mean, local.dependence = new(mat.VecDense), new(mat.Dense)
	_ = local.chol.SolveVecTo(local.mean, right) // errors warn of a poor condition alone
	_ = local.chol.SolveTo(local.dependence, joint)
	return joint
}

// solve finds what is common, with each statement's own effects integrated out.
func (f *fit) solve() {
	precision := f.priorPrecision()
	right := mat.NewVecDense(f.dim, nil)
	for _, key := range f.order {
		s := f.statements[key]
		sums, sumsRight := f.statementSums(s)
		if !s.folded {
			joint := f.solveStatement(s)
			if f.failed {
				return
			}
			var explained mat.Dense
			explained.Mul(joint.T(), s.local.dependence)
			sums.Sub(sums, &explained)
			var explainedRight mat.VecDense
			explainedRight.MulVec(joint.T(), s.local.mean)
			sumsRight.SubVec(sumsRight, &explainedRight)
		}
		columns := f.columns(s)
		for r, row := range columns {
			right.SetVec(row, right.AtVec(row)+sumsRight.AtVec(r))
			for q := r; q < len(columns); q++ {
				precision.SetSym(row, columns[q], precision.At(row, columns[q])+sums.At(r, q))
			}
		}
	}
	if !f.chol.Factorize(precision) {
		f.failed = true
		return
	}
	var mean mat.VecDense
	_ = f.chol.SolveVecTo(&mean, right) // errors warn of a poor condition alone
	f.mean = mean.RawVector().Data
	f.covariance = mat.NewSymDense(f.dim, nil)
	_ = f.chol.InverseTo(f.covariance)
}

// priorPrecision is what is known of the common effects without evidence.
func (f *fit) priorPrecision() *mat.SymDense {
	precision := mat.NewSymDense(f.dim, nil)
	for i := range f.dim {
		precision.SetSym(i, i, 1.0/(priorCommon*priorCommon))
	}
	for i := range commonSlopes { // growth with size and concurrency, and the cost of warming up, are not far from 1
		precision.SetSym(f.dim-1-i, f.dim-1-i, 1)
	}
	for _, kind := range f.kinds { // and kinds of hardware are within a few factors of each other
		precision.SetSym(len(f.classes)+kind, len(f.classes)+kind, 1)
	}
	return precision
}

// statementSums are the sums of a statement's cells over the columns of what is common that it touches.
func (f *fit) statementSums(s *statementFit) (sums *mat.Dense, right *mat.VecDense) {
	variance, columns := f.noise[s.class], columnsOfAll+len(s.cells)
	if s.folded {
		variance += f.statementVariance + f.pairVariance
	}
	sums = mat.NewDense(columns, columns, nil)
	right = mat.NewVecDense(columns, nil)
	for i := range s.cells {
		m := &s.cells[i].moments
		touched := columnsOfCell(i)
		for _, r := range touched {
			_, rowTerm := f.column(s, r)
			right.SetVec(r, right.AtVec(r)+m.moment(rowTerm, termWork)/variance)
			for _, q := range touched {
				_, term := f.column(s, q)
				sums.Set(r, q, sums.At(r, q)+m.moment(rowTerm, term)/variance)
			}
		}
	}
	return sums, right
}

// spreadSums are the sums from which spreads are estimated anew.
type spreadSums struct {
	statements, statementCount float64
	pairs, pairCount           float64
	slopes, slopeCount         float64
	residuals, observations    []float64 // by class
}

// updateSpreads estimates the variances anew from what was solved (expectation, then the mode) and returns by which share
// the one moved that moved most.
func (f *fit) updateSpreads(independent bool) (moved float64) {
	sums := &spreadSums{residuals: make([]float64, len(f.noise)), observations: make([]float64, len(f.noise))}
	for _, key := range f.order {
		if s := f.statements[key]; !s.folded {
			f.addSpreads(sums, s)
		}
	}
	update := func(v *float64, to float64) {
		to = max(to, minVariance)
		moved = max(moved, math.Abs(to-*v)/(*v))
		*v = to
	}
	f.updateNoise(sums, update)
	if independent {
		return moved
	}
	update(&f.statementVariance, (sums.statements+priorWeight*priorStatement*priorStatement)/(sums.statementCount+priorWeight))
	update(&f.pairVariance, (sums.pairs+priorWeight*priorPair*priorPair)/(sums.pairCount+priorWeight))
	update(&f.slopeVariance, (sums.slopes+priorWeight*priorSlope*priorSlope)/(sums.slopeCount+priorWeight))
	return moved
}

// updateNoise estimates the noise of each class, which shrinks to that of all.
func (f *fit) updateNoise(sums *spreadSums, update func(v *float64, to float64)) {
	all, n := noiseWeight*priorNoise*priorNoise, float64(noiseWeight)
	for i := range sums.residuals {
		all, n = all+sums.residuals[i], n+sums.observations[i]
	}
	for i := range sums.residuals {
		f.degreesOfFreedom[i] = sums.observations[i] + min(noiseWeight, n)
		update(&f.noise[i], (sums.residuals[i]+noiseWeight*all/n)/(sums.observations[i]+noiseWeight))
	}
}

// addSpreads adds one statement's effects and residuals.
func (f *fit) addSpreads(sums *spreadSums, s *statementFit) {
	mean, covariance := f.statementEffects(s)
	sums.statements += mean.AtVec(0)*mean.AtVec(0) + covariance.At(0, 0)
	sums.statementCount++
	sums.slopes += mean.AtVec(1)*mean.AtVec(1) + covariance.At(1, 1)
	sums.slopeCount++
	for i := range s.cells {
		if pair := ownEffects + i; len(s.cells) > 1 {
			sums.pairs += mean.AtVec(pair)*mean.AtVec(pair) + covariance.At(pair, pair)
			sums.pairCount++
		}
		cell := &s.cells[i]
		e := f.effects(s, cell.kind)
		sums.residuals[s.class] += max(0, e.residual(&cell.moments))
		sums.observations[s.class] += cell.moments.moment(termOne, termOne)
	}
}

// statementEffects returns the mean and covariance of a statement's own effects.
func (f *fit) statementEffects(s *statementFit) (*mat.VecDense, *mat.SymDense) {
	local := &s.local
	columns := f.columns(s)
	common := mat.NewVecDense(len(columns), nil)
	commonCovariance := mat.NewDense(len(columns), len(columns), nil)
	for i, c := range columns {
		common.SetVec(i, f.mean[c])
		for j, d := range columns {
			commonCovariance.Set(i, j, f.covariance.At(c, d))
		}
	}
	n := local.mean.Len()
	mean, induced, covariance := mat.NewVecDense(n, nil), mat.NewDense(n, n, nil), mat.NewSymDense(n, nil)
	mean.MulVec(local.dependence, common)
	mean.SubVec(local.mean, mean)
	induced.Product(local.dependence, commonCovariance, local.dependence.T())
	_ = local.chol.InverseTo(covariance) // an error warns of a poor condition alone
	for i := range n {
		for j := i; j < n; j++ {
			covariance.SetSym(i, j, covariance.At(i, j)+induced.At(i, j))
		}
	}
	return mean, covariance
}

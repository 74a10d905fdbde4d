package cost

import "gonum.org/v1/gonum/mat"

// effect is what multiplies 1, size, concurrency and warm-up for a statement on a kind: mean and covariance.
type effect struct {
	mean       [termWork]float64
	covariance [termWork][termWork]float64
}

// evaluate returns the mean and variance of log work.
func (e *effect) evaluate(terms [termWork]float64) (mean, variance float64) {
	for i := range terms {
		mean += terms[i] * e.mean[i]
		for j := range terms {
			variance += terms[i] * terms[j] * e.covariance[i][j]
		}
	}
	return mean, variance
}

// residual is the sum of squares that is left in a cell: of the mean's residuals, and of what is not known of the mean.
func (e *effect) residual(m *Moments) float64 {
	weights := [termCount]float64{}
	for i := range e.mean {
		weights[i] = -e.mean[i]
	}
	weights[termWork] = 1
	left := 0.0
	for i := range weights {
		for j := range weights {
			left += weights[i] * weights[j] * m.moment(i, j)
		}
	}
	for i := range e.covariance {
		for j := range e.covariance[i] {
			left += e.covariance[i][j] * m.moment(i, j)
		}
	}
	return left
}

// effectOf returns the effects of a statement on a kind; one that was not observed has those of its class.
func (f *fit) effectOf(key effectKey) effect {
	s := f.statements[statementKey{key.class, key.statement}]
	if s == nil || s.folded {
		s = &statementFit{class: key.class}
	}
	return f.effects(s, key.kind)
}

// combination says how much of each common effect is in the effects of a statement on a kind.
type combination [termWork][]float64

// effects returns the effects of a statement, which may have no cell of this kind, or none at all: it was never observed.
func (f *fit) effects(s *statementFit, kind int) (e effect) {
	firstSlope := len(f.classes) + len(f.kinds)
	var c combination
	for i := range c {
		c[i] = make([]float64, f.dim)
	}
	c[termOne][s.class], c[termOne][len(f.classes)+kind] = 1, 1
	c[termSize][firstSlope], c[termConcurrency][firstSlope+1], c[termWarmUp][firstSlope+2] = 1, 1, 1
	if len(s.cells) == 0 {
		e.covariance[termOne][termOne] = f.statementVariance + f.pairVariance
		e.covariance[termSize][termSize] = f.slopeVariance
	} else {
		f.addOwn(&e, &c, s, kind)
	}
	f.addCommon(&e, &c)
	return e
}

// addOwn adds a statement's own effects, and takes out of the combination what they fall by with what is common.
func (f *fit) addOwn(e *effect, c *combination, s *statementFit, kind int) {
	local := &s.local
	n := local.mean.Len()
	selected := mat.NewDense(ownEffects, n, nil) // of the own effects: the statement's and its pair's, and the slope
	selected.Set(termOne, 0, 1)
	selected.Set(termSize, 1, 1)
	if at := s.cellOf(kind); at >= 0 {
		selected.Set(termOne, ownEffects+at, 1)
	} else {
		e.covariance[termOne][termOne] = f.pairVariance
	}
	covariance := mat.NewSymDense(n, nil)
	_ = local.chol.InverseTo(covariance) // an error warns of a poor condition alone
	var own, dependence mat.Dense
	own.Product(selected, covariance, selected.T())
	dependence.Mul(selected, local.dependence)
	columns := f.columns(s)
	for r := range ownEffects {
		for k := range n {
			e.mean[r] += selected.At(r, k) * local.mean.AtVec(k)
		}
		for q := range ownEffects {
			e.covariance[r][q] += own.At(r, q)
		}
		for i, column := range columns {
			c[r][column] -= dependence.At(r, i)
		}
	}
}

// addCommon adds the combination of the common effects.
func (f *fit) addCommon(e *effect, c *combination) {
	for r := range c {
		for i, x := range c[r] {
			if x == 0 {
				continue
			}
			e.mean[r] += x * f.mean[i]
			for q := range c {
				for j, z := range c[q] {
					if z != 0 {
						e.covariance[r][q] += x * z * f.covariance.At(i, j)
					}
				}
			}
		}
	}
}

package cost

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// The terms whose products a cell sums up.
const (
	termOne         = iota
	termSize        // log(1 + rows + bytes/rowBytes)
	termConcurrency // log(1 + inflight)
	termWarmUp      // 0 or 1
	termWork        // log ms
	termCount
)

// rowBytes is how many bytes count as one row in a statement's size: a usual row of some columns.
const rowBytes = 128

// roundingTolerance is how far below 0, as a share of the limits, a variance may come out of sums that were added up and
// faded: far above what float64 loses, far below what a fit could see.
const roundingTolerance = 1e-9

// termLimits are the most that a term of an observation can be: log(1 + 2e15) of size, log(1 + 2^31) of concurrency, and
// log work between 1e-4 and 1e9 ms.
var termLimits = [termCount]float64{termOne: 1, termSize: 36, termConcurrency: 22, termWarmUp: 1, termWork: 21}

// Moments are the weighted sums of products of 1, size, concurrency, warm-up and log work: all that the fit needs of a cell.
type Moments [termCount * (termCount + 1) / 2]float64

// momentIndex is where the sum of the products of two terms stands.
func momentIndex(i, j int) int {
	if i > j {
		i, j = j, i
	}
	return j*(j+1)/2 + i
}

// logSize is a statement's size as the model counts it.
func logSize(rows, bytes float64) float64 {
	return math.Log1p(max(0, rows) + max(0, bytes)/rowBytes)
}

func (m *Moments) moment(i, j int) float64 { return m[momentIndex(i, j)] }

// add adds one observation with a weight.
func (m *Moments) add(terms *[termCount]float64, weight float64) {
	k := 0
	for j := range termCount {
		for i := 0; i <= j; i++ {
			m[k] += weight * terms[i] * terms[j]
			k++
		}
	}
}

func (m *Moments) addScaled(o *Moments, weight float64) {
	for i := range m {
		m[i] += weight * o[i]
	}
}

func (m *Moments) scale(weight float64) {
	for i := range m {
		m[i] *= weight
	}
}

// isPossible says whether such sums can come from observations: each within its limits, and no combination of them with a
// variance below 0. What is let through can make no fit fail.
func (m *Moments) isPossible() bool {
	n := m[0]
	if !(n >= 0 && n < 1e12) {
		return false
	}
	all := mat.NewSymDense(termCount, nil)
	for i := range termCount {
		for j := i; j < termCount; j++ {
			x, limit := m.moment(i, j), termLimits[i]*termLimits[j]
			if !(math.Abs(x) <= n*limit*(1+1e-9)+1e-12) || x < 0 && i != termWork && j != termWork {
				return false
			}
			all.SetSym(i, j, x/max(n, 1e-300)/limit)
		}
	}
	var eigen mat.EigenSym
	return n == 0 || eigen.Factorize(all, false) && slices.Min(eigen.Values(nil)) > -roundingTolerance
}

// regularize adds as much to all variances as rounding may have taken, so that a fit of possible moments never fails.
func (m *Moments) regularize() {
	for i := range termCount {
		m[momentIndex(i, i)] += 2 * roundingTolerance * m[0] * termLimits[i] * termLimits[i]
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

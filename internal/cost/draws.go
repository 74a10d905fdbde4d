package cost

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// The draws of an estimate. With 200 parameter draws the ends of a 95 % interval are the mean of the fifth draws from
// either end.
const (
	parameterDraws = 200 // of what is not known
	runDraws       = 100 // of runs, for each of those
	replicaDraws   = 4   // of which replica serves a part
)

// effectKey names the effects of a statement on a kind of hosts, by the indexes of a fit.
type effectKey struct {
	class, kind int
	statement   Fingerprint
}

// draws are what is not known, drawn from what the evidence leaves open, the same for all plans of a comparison.
type draws struct {
	estimator      *Estimator
	age            float64
	random         *rand.Rand
	common         [parameterDraws][]float64
	noise          [][parameterDraws]float64 // variance by class
	statementDraws map[statementKey]*[parameterDraws][2]float64
	cellDraws      map[statementKey]*[parameterDraws][]float64 // of the statement's cells
	pairDraws      map[effectKey]*[parameterDraws]float64
	effects        map[effectKey]*effect // of the whole fit
	blockEffects   map[effectKey][]effect
}

func (e *Estimator) draw(now float64, seed uint64) *draws {
	d := &draws{
		estimator:      e,
		age:            max(0, now-e.snapshot.At),
		random:         rand.New(rand.NewPCG(seed, binary.LittleEndian.Uint64(e.snapshot.Digest[:8]))),
		statementDraws: map[statementKey]*[parameterDraws][2]float64{},
		cellDraws:      map[statementKey]*[parameterDraws][]float64{},
		pairDraws:      map[effectKey]*[parameterDraws]float64{},
		effects:        map[effectKey]*effect{},
		blockEffects:   map[effectKey][]effect{},
	}
	d.drawCommon()
	d.drawNoise()
	return d
}

// drawCommon draws what is common to all statements.
func (d *draws) drawCommon() {
	f := d.estimator.full
	var root mat.TriDense // of the precision: its inverse brings the covariance
	f.chol.UTo(&root)
	z, x := mat.NewVecDense(f.dim, nil), mat.NewVecDense(f.dim, nil)
	normals := d.stratifiedNormals(f.dim)
	for u := range parameterDraws {
		for i := range f.dim {
			z.SetVec(i, normals[i][u])
		}
		_ = x.SolveVec(&root, z) // an error warns of a poor condition alone
		d.common[u] = make([]float64, f.dim)
		for i := range f.dim {
			d.common[u][i] = f.mean[i] + x.AtVec(i)
		}
	}
}

// drawNoise draws the variance of runs of each class.
func (d *draws) drawNoise() {
	f := d.estimator.full
	d.noise = make([][parameterDraws]float64, len(f.noise))
	for c := range f.noise {
		chi := distuv.ChiSquared{K: f.degreesOfFreedom[c], Src: d.random}
		for u := range parameterDraws {
			d.noise[c][u] = f.noise[c] * f.degreesOfFreedom[c] / max(chi.Rand(), 1e-3*f.degreesOfFreedom[c])
		}
	}
}

// normalStrata cut the normal distribution into as many parts of the same weight as there are draws.
var normalStrata = func() (strata [parameterDraws]float64) {
	for u := range strata {
		strata[u] = distuv.UnitNormal.Quantile((float64(u) + 0.5) / parameterDraws)
	}
	return strata
}()

// stratifiedNormals returns draws from n normal distributions. Each has one in every part (a Latin hypercube), so what one
// of them does to an interval is exact.
func (d *draws) stratifiedNormals(n int) [][parameterDraws]float64 {
	out := make([][parameterDraws]float64, n)
	for i := range out {
		out[i] = normalStrata
		d.random.Shuffle(parameterDraws, func(a, b int) { out[i][a], out[i][b] = out[i][b], out[i][a] })
	}
	return out
}

// drawStatement draws a statement's own effects and those of its cells, given what is common.
func (d *draws) drawStatement(key statementKey) (*[parameterDraws][2]float64, *[parameterDraws][]float64) {
	if own := d.statementDraws[key]; own != nil {
		return own, d.cellDraws[key]
	}
	own, cells := new([parameterDraws][2]float64), new([parameterDraws][]float64)
	d.statementDraws[key], d.cellDraws[key] = own, cells
	if s := d.estimator.full.statements[key]; s == nil || s.folded {
		d.drawUnseen(own)
	} else {
		d.drawSeen(s, own, cells)
	}
	return own, cells
}

// drawUnseen draws the effects of a statement that was not observed from those of its class.
func (d *draws) drawUnseen(own *[parameterDraws][2]float64) {
	f := d.estimator.full
	normals := d.stratifiedNormals(2)
	for u := range parameterDraws {
		own[u] = [2]float64{normals[0][u] * math.Sqrt(f.statementVariance), normals[1][u] * math.Sqrt(f.slopeVariance)}
	}
}

func (d *draws) drawSeen(s *statementFit, own *[parameterDraws][2]float64, cells *[parameterDraws][]float64) {
	local, columns := &s.local, d.estimator.full.columns(s)
	n := 2 + len(s.cells)
	var root mat.TriDense
	local.chol.UTo(&root)
	z, x := mat.NewVecDense(n, nil), mat.NewVecDense(n, nil)
	normals := d.stratifiedNormals(n)
	for u := range parameterDraws {
		for i := range n {
			z.SetVec(i, normals[i][u])
		}
		_ = x.SolveVec(&root, z) // an error warns of a poor condition alone
		row := make([]float64, n)
		for i := range n {
			row[i] = local.mean.AtVec(i) + x.AtVec(i)
			for j, column := range columns {
				row[i] -= local.dependence.At(i, j) * d.common[u][column]
			}
		}
		own[u] = [2]float64{row[0], row[1]}
		cells[u] = row[2:]
	}
}

// drawPair draws a statement's extra on a kind, with what the evidence's age leaves open.
func (d *draws) drawPair(key effectKey) {
	if d.pairDraws[key] != nil {
		return
	}
	f, pair := d.estimator.full, new([parameterDraws]float64)
	d.pairDraws[key] = pair
	statement := statementKey{key.class, key.statement}
	_, cells := d.drawStatement(statement)
	at := -1
	if s := f.statements[statement]; s != nil && !s.folded {
		at = slices.IndexFunc(s.cells, func(c cellFit) bool { return c.kind == key.kind })
	}
	variance := d.estimator.Widening(d.age)
	if at < 0 {
		variance += f.pairVariance
	}
	normals := d.stratifiedNormals(1)
	for u, z := range normals[0] {
		pair[u] = z * math.Sqrt(variance)
		if at >= 0 {
			pair[u] += cells[u][at]
		}
	}
}

// effect returns the effects by the whole fit.
func (d *draws) effect(key effectKey) *effect {
	if known := d.effects[key]; known != nil {
		return known
	}
	found := d.estimator.full.effectOf(key)
	d.effects[key] = &found
	return &found
}

package cost

import (
	"fmt"
	"math"
)

// noEvidenceOf is the error where neither a statement nor its class was observed.
func noEvidenceOf(s Fingerprint, class string) error {
	err := &UnknownStatementError{s, class}
	return &NoEstimateError{err.Error(), err}
}

// newDraws returns draws for estimates of mean work, which need none of what is common.
func (e *Estimator) newDraws(now float64) (*draws, error) {
	if e.err != nil {
		return nil, e.err
	}
	if e.full == nil {
		return nil, errNoEvidence()
	}
	return &draws{estimator: e, age: max(0, now-e.snapshot.At), effects: map[effectKey]*effect{}, blockEffects: map[effectKey][]effect{}}, nil
}

func errNoEvidence() error { return &NoEstimateError{Reason: "there is no evidence at all"} }

// meanWork is the mean work of a statement at a kind of host, in milliseconds, and the standard deviation of its logarithm,
// of one run and of what is not known together.
func (d *draws) meanWork(class, kind string, s Fingerprint, rows, bytes, inflight float64) (Interval, float64, error) {
	f := d.estimator.full
	c, known := f.classes[class]
	if !known {
		return Interval{}, 0, noEvidenceOf(s, class)
	}
	k, known := f.kinds[kind]
	if !known {
		return Interval{}, 0, &NoEstimateError{Reason: fmt.Sprintf("no evidence of kind %q", kind)}
	}
	key := effectKey{c, k, s}
	terms := [4]float64{1, logSize(rows, bytes), math.Log1p(inflight), 0}
	shift, shiftOpen, _ := d.robustShift(key, class, kind, terms)
	centred := terms
	centred[termSize] -= f.centreSize
	mean, variance := d.effect(key).evaluate(centred)
	mean, variance = mean+shift, variance+shiftOpen*shiftOpen+d.estimator.Widening(d.age)
	sd, halfNoise := math.Sqrt(variance), f.noise[c]/2
	var dominant factors
	dominant.add(d, &assignedStep{step: &Step{Name: class, Class: class, Statement: s}}, &hostSet{kind: kind}, key, terms, 0, 0)
	interval := Interval{
		math.Exp(mean + halfNoise),
		math.Exp(mean + halfNoise - normalQuantile975*sd),
		math.Exp(mean + halfNoise + normalQuantile975*sd),
		dominant.forTime(),
	}
	return interval, math.Sqrt(f.noise[c] + variance), nil
}

// MeanWork is the mean work of a statement at a kind of host with others there, in milliseconds, and how far one source's
// false evidence can have moved the logarithm of its median; -1: no bound.
func (e *Estimator) MeanWork(now float64, class, kind string, s Fingerprint, rows, bytes, inflight float64) (mean Interval, maxShift float64, err error) {
	d, err := e.newDraws(now)
	if err != nil {
		return Interval{}, 0, err
	}
	if mean, _, err = d.meanWork(class, kind, s, rows, bytes, inflight); err != nil {
		return Interval{}, 0, err
	}
	key := effectKey{e.full.classes[class], e.full.kinds[kind], s}
	_, _, maxShift = d.robustShift(key, class, kind, [4]float64{1, logSize(rows, bytes), math.Log1p(inflight), 0})
	return mean, maxShift, nil
}

// Noise is the factor by which a class's work varies from run to run, one standard deviation of its logarithm.
func (e *Estimator) Noise(class string) float64 {
	if e.full == nil {
		return math.NaN()
	}
	c, known := e.full.classes[class]
	if !known {
		return math.NaN()
	}
	return math.Sqrt(e.full.noise[c])
}

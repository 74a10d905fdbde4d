package cost

import (
	"fmt"
	"math"
)

// fingerprintDigits is how much of a fingerprint operators are shown.
const fingerprintDigits = 8

// factor is what the width of an estimate may hinge on.
type factor struct {
	step, kind, description string
	primary                 bool
	variance, noise         float64 // of log work: what is not known, and from run to run
	weight                  float64 // expected time
	waitFraction            float64 // of the expected time
	waitObservations        float64
}

// influence is how much the factor widens an estimate, in comparison with others.
func (f *factor) influence() float64 { return f.variance * f.weight * f.weight }

type factors []factor

// add adds the factor of one set of a step.
func (fs *factors) add(d *draws, step *assignedStep, set *hostSet, key effectKey, terms [4]float64, wait, waitObservations float64) {
	e := d.estimator
	terms[termSize] -= e.full.centreSize
	mean, variance := d.effect(key).evaluate(terms)
	f := factor{
		step:             step.step.Name,
		kind:             set.kind,
		primary:          set.primary,
		variance:         variance + e.Widening(d.age),
		noise:            e.full.noise[key.class],
		waitObservations: waitObservations,
	}
	work := math.Exp(mean + f.noise/2)
	f.weight, f.waitFraction = work+wait, wait/(work+wait)
	f.description = d.describeEvidence(step.step, set.kind, key, variance)
	*fs = append(*fs, f)
}

// describeEvidence words what is known of a statement on a kind, or why little is.
func (d *draws) describeEvidence(step *Step, kind string, key effectKey, variance float64) string {
	pair, all := d.estimator.full.weight(key.class, key.kind, key.statement)
	name := step.Statement.String()[:fingerprintDigits]
	switch {
	case d.estimator.Widening(d.age) > variance:
		return fmt.Sprintf("the evidence is %.0f s old", d.age/1e3)
	case all < 0.5:
		return fmt.Sprintf("no evidence of statement %s; its class %q stands for it", name, step.Class)
	case pair < 0.5:
		return fmt.Sprintf("no evidence of statement %s on kind %q", name, kind)
	}
	return fmt.Sprintf("%.0f observations of statement %s on kind %q", pair, name, kind)
}

// dominant returns the factor that widens most, of those that count; nil: none counts.
func (fs factors) dominant(counts func(*factor) bool) *factor {
	var found *factor
	for i := range fs {
		f := &fs[i]
		if counts(f) && (found == nil || f.influence() > found.influence()) {
			found = f
		}
	}
	return found
}

// describe words the dominant factor.
func (fs factors) describe(counts func(*factor) bool) string {
	f := fs.dominant(counts)
	if f == nil {
		return "nothing of it is used"
	}
	if f.waitFraction > 0.5 {
		return fmt.Sprintf("step %q: waiting before kind %q, from %.0f observations", f.step, f.kind, f.waitObservations)
	}
	return fmt.Sprintf("step %q: %s", f.step, f.description)
}

func anyFactor(*factor) bool { return true }

func (fs factors) forTime() string { return fs.describe(anyFactor) }

func (fs factors) forRun() string {
	if f := fs.dominant(anyFactor); f != nil && f.noise > f.variance {
		return fmt.Sprintf("step %q: it varies from run to run by a factor of %.2f", f.step, math.Exp(math.Sqrt(f.noise)))
	}
	return fs.forTime()
}

func (fs factors) forKind(kind string) string {
	return fs.describe(func(f *factor) bool { return f.kind == kind })
}

func (fs factors) forPrimary() string {
	atPrimary := func(f *factor) bool { return f.primary }
	if fs.dominant(atPrimary) == nil {
		return "no step runs at a primary"
	}
	return fs.describe(atPrimary)
}

func (fs factors) forCapacity(steps []assignedStep) string {
	least, kind := math.Inf(1), ""
	for i := range steps {
		for j := range steps[i].sets {
			if set := &steps[i].sets[j]; set.freeCapacity < least {
				least, kind = set.freeCapacity, set.kind
			}
		}
	}
	return fmt.Sprintf("hosts of kind %q have room for %.2f requests at once", kind, least)
}

func (fs factors) forStaleness(steps []assignedStep) string {
	most, kind := -1.0, ""
	for i := range steps {
		for j := range steps[i].sets {
			if set := &steps[i].sets[j]; !set.primary && set.maxLagMillis > most {
				most, kind = set.maxLagMillis, set.kind
			}
		}
	}
	if most < 0 {
		return "no step reads at a replica"
	}
	return fmt.Sprintf("a replica of kind %q is %.0f ms behind, and applies nothing while it reads", kind, most)
}

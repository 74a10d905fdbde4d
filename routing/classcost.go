package routing

import (
	"math"
	"time"
)

// classWork is what a router knows of the work that a request of a class costs a host, and how often such
// requests come.
type classWork struct {
	answerTime time.Duration // mean time of answers by warm members; outliers count less
	answers    float64       // number of answers that answerTime is the mean of, decaying over a slow start
	answeredAt time.Duration // the last of them
	requests   float64       // number of recent requests, of traffic.recentRequests
}

// isKnown reports whether enough answers have shown the work.
func (w *classWork) isKnown() bool { return w.answers >= minWorkAnswers }

// recordRequest counts a request of a class.
func (r *Router) recordRequest(k *class) {
	k.work.requests++
	r.recentRequests++
	if r.recentRequests > maxRecentRequests {
		r.recentRequests /= 2
		for i := range r.classes {
			r.classes[i].work.requests /= 2
		}
	}
}

// recordWork records the time of an answer. A time of more than workOutlier times the mean counts as that: it
// is due to a connection or a host that is slow, rather than to the work. Answers of warming members, which
// are slower, count only until the work is known. The mean follows by time and not by the number of answers:
// where hosts are slow for a while, that changes the means of all classes alike.
func (r *Router) recordWork(m *member, k *class, elapsed time.Duration) {
	w := &k.work
	if r.isWarming(m) && w.isKnown() {
		return
	}
	decay := math.Exp(-(r.now - w.answeredAt).Seconds() / r.historySpan().Seconds())
	w.answers = max(w.answers*decay, min(w.answers, minWorkAnswers)) + 1
	w.answeredAt = r.now
	if w.answers > 1 {
		elapsed = min(elapsed, workOutlier*w.answerTime)
	}
	w.answerTime += time.Duration(float64(elapsed-w.answerTime) / w.answers)
}

// classCost returns what a request of a class costs a host, in requests of mean work. Before there were many
// requests, most of them are taken to be of the lightest class.
func (r *Router) classCost(k *class) float64 {
	perObjective := r.workPerObjective()
	lightest := r.classes[0].workSeconds(perObjective)
	sum := 0.0
	for i := range r.classes {
		other := &r.classes[i]
		work := other.workSeconds(perObjective)
		lightest = min(lightest, work)
		sum += work * other.work.requests
	}
	mean := (sum + lightest*initialLightRequests) / (r.recentRequests + initialLightRequests)
	return k.workSeconds(perObjective) / mean
}

// workSeconds returns the time that the work of a request takes. Until that is known, the work is taken to be
// at least as large a part of the latency objective as that of the other classes.
func (k *class) workSeconds(perObjective float64) float64 {
	observed := k.work.answerTime.Seconds()
	if k.work.isKnown() {
		return observed
	}
	return max(observed, k.LatencyObjective.Seconds()*perObjective)
}

// workPerObjective returns the work of the classes whose work is known, as a fraction of their latency
// objectives; 1 if there is no such class.
func (r *Router) workPerObjective() float64 {
	work, objectives := 0.0, 0.0
	for i := range r.classes {
		if k := &r.classes[i]; k.work.isKnown() {
			work += k.work.requests * k.work.answerTime.Seconds()
			objectives += k.work.requests * k.LatencyObjective.Seconds()
		}
	}
	if work <= 0 || objectives <= 0 {
		return 1
	}
	return work / objectives
}

// highestCost returns what a request of a class costs a host at most, in requests of mean work. A class of
// reads whose work is not known may make up all the work, however few its requests are. One that needs the
// primary is not suspected of that, since no other member could serve it and so show its work.
func (r *Router) highestCost(k *class) float64 {
	cost := r.classCost(k)
	if !k.work.isKnown() && !k.needsPrimary() {
		requests := r.recentRequests + initialClassRequests*float64(len(r.classes))
		cost = max(cost, requests/(k.work.requests+initialClassRequests))
	}
	return cost
}

// isHeavy reports whether a request of a class costs a host much more than the others, or may do so.
func (r *Router) isHeavy(k *class) bool { return r.highestCost(k) > ordinaryCost }

// sureCost returns what a request of a class costs a host at least, in requests of mean work. Of a heavy
// class half counts: what few answers show may be too much.
func (r *Router) sureCost(k *class) float64 {
	cost := r.classCost(k)
	switch {
	case !k.work.isKnown():
		return min(1, cost)
	case cost > ordinaryCost:
		return max(ordinaryCost, cost/2)
	}
	return cost
}

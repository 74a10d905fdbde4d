package cost

// Step is one request of a plan, at the hosts of one group or of all.
type Step struct {
	Name               string      `json:"name"`
	Statement          Fingerprint `json:"statement"`
	Class              string      `json:"class"`
	Tenant             string      `json:"tenant,omitempty"`
	Group              uint64      `json:"group"`
	AllGroups          bool        `json:"all,omitempty"` // it ends with the slowest
	Rows               float64     `json:"rows"`          // of each part
	Bytes              float64     `json:"bytes"`
	Freshness          string      `json:"fresh"` // write, fresh, session, bounded or any
	MaxStalenessMillis float64     `json:"bound"` // bounded: how old its data may be
	After              []string    `json:"after"` // names of the steps that end before it begins
}

// Plan is a query plan, with others that bring the same.
type Plan struct {
	Name            string  `json:"name"`
	ObjectiveMillis float64 `json:"aim"` // 0: none
	Steps           []Step  `json:"steps"`
	Alternatives    []Plan  `json:"alternatives,omitempty"`
}

// Host is a database host as it stands.
type Host struct {
	Name      string  `json:"name"`
	Kind      string  `json:"kind"` // of hardware
	Group     uint64  `json:"group"`
	Primary   bool    `json:"primary"`
	Capacity  float64 `json:"capacity"` // requests that it works on at once
	Inflight  int     `json:"inflight"`
	Load      float64 `json:"load"`    // of capacity that is taken
	StartedAt float64 `json:"started"` // 0: long ago
	LagMillis float64 `json:"lag"`     // behind its primary
}

// Class is a class of requests that the fleet serves.
type Class struct {
	Name              string  `json:"name"`
	ObjectiveMillis   float64 `json:"aim"`
	Weight            float64 `json:"worth"` // of one request
	RequestsPerSecond float64 `json:"rate"`  // over all hosts
	WorkMillis        float64 `json:"work"`  // of one request
}

// Fleet is where plans would run.
type Fleet struct {
	Hosts        []Host  `json:"hosts"`
	Classes      []Class `json:"classes"`
	WarmUpMillis float64 `json:"ramp"` // after its start for which a host is warming up
}

// Interval is an estimate with its 95 % interval, and the fact on which its width hinges.
type Interval struct {
	Mid            float64 `json:"mid"`
	Low            float64 `json:"low"`
	High           float64 `json:"high"`
	DominantFactor string  `json:"hinge"`
}

// PlanEstimate is what one plan costs. Times and work are in milliseconds.
type PlanEstimate struct {
	Name            string              `json:"name"`
	Unavailable     *NoEstimateError    `json:"cant_tell,omitempty"` // then nothing else counts
	Time            Interval            `json:"time"`                // of one run: an interval for what will be observed
	P50             Interval            `json:"p50"`                 // intervals for the quantiles themselves
	P95             Interval            `json:"p95"`
	P99             Interval            `json:"p99"`
	Work            map[string]Interval `json:"work"`            // by kind of host
	Primary         Interval            `json:"primary"`         // share of what the primaries that it uses can do meanwhile
	DisplacedWeight Interval            `json:"displaced"`       // weight of others' requests that its work pushes out
	WithinObjective *Interval           `json:"meets,omitempty"` // chance to be within the plan's objective
	StalenessMillis Interval            `json:"stale"`           // how old the oldest data that it reads is when it ends
	MaxShift        float64             `json:"moved"`           // the most that one source's false evidence can have moved log work; -1: no bound, under three sources
	AgeMillis       float64             `json:"age"`             // of the evidence
	medians         []float64           // by draw
}

// PlanComparison compares a plan and its alternatives.
type PlanComparison struct {
	Token             uint64         `json:"token"` // of the evidence
	Plans             []PlanEstimate `json:"plans"`
	Order             []int          `json:"order"`  // the quickest first; those without estimate are left out
	FasterProbability [][]float64    `json:"faster"` // [a][b]: how sure it is that a is quicker than b in the median
}

// ConfidenceThreshold is from where on a comparison says which of two plans is quicker: three to one.
const ConfidenceThreshold = 0.75

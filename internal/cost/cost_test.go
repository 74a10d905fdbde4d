package cost

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/mat"
	"pgregory.net/rapid"
)

const hour = 3600e3

// truth draws observations of known work.
type truth struct {
	r     *rand.Rand
	kinds map[string]float64
	effs  []float64
	noise float64
}

func newTruth(seed uint64, statements int) *truth {
	t := &truth{r: rand.New(rand.NewPCG(seed, 1)), kinds: map[string]float64{"old": 0.8, "new": 0, "arm": 0.3}, noise: 0.25}
	for range statements {
		t.effs = append(t.effs, t.r.NormFloat64()*0.6)
	}
	return t
}

func stated(i int) Fingerprint {
	return NewFingerprint(fmt.Sprintf("select a%d from t where k = 1", i))
}

func (t *truth) mean(s int, kind string, rows float64, inflight int) float64 {
	return 1 + t.effs[s] + t.kinds[kind] + 0.6*math.Log1p(rows) + 0.3*math.Log1p(float64(inflight))
}

func (t *truth) seen(s int, kind string, at float64) Observation {
	rows, inflight := math.Exp(t.r.Float64()*6), t.r.IntN(8)
	return Observation{
		Statement: stated(s), Class: "report", Kind: kind, Rows: rows, Inflight: inflight, At: at,
		Work: math.Exp(t.mean(s, kind, rows, inflight) + t.r.NormFloat64()*t.noise), Wait: float64(inflight) * 0.5 * t.r.ExpFloat64(),
	}
}

func (t *truth) model(source string, each int) *Model {
	m := NewModel(Options{Source: source})
	kinds := []string{"old", "new", "arm"}
	for s := range t.effs {
		for k, kind := range kinds {
			if (s+k)%4 != 0 { // some pairs are never seen
				for range each {
					m.Observe(t.seen(s, kind, t.r.Float64()*1000))
				}
			}
		}
	}
	return m
}

func fleet(kinds ...string) (f Fleet) {
	for i, k := range kinds {
		f.Hosts = append(f.Hosts, Host{Name: fmt.Sprint("h", i), Kind: k, Group: uint64(i), Primary: true, Capacity: 8})
	}
	return f
}

func TestEstimatesMatchGroundTruth(t *testing.T) {
	tr := newTruth(1, 40)
	e := NewEstimator(tr.model("a", 20).Publish(1, 1000), 1000)
	in, known, inNew, newPairs := 0, 0, 0, 0
	for s := range tr.effs {
		for k, kind := range []string{"old", "new", "arm"} {
			a, err := e.Estimate(1000, Plan{Name: "p", Steps: []Step{{Name: "s", Statement: stated(s), Class: "report", Rows: 50, Freshness: "fresh"}}}, fleet(kind))
			require.NoError(t, err)
			mid := math.Exp(tr.mean(s, kind, 50, 0))
			require.InDelta(t, 0, math.Log(a.Plans[0].P50.Mid/mid), 0.6)
			got := a.Plans[0].P50.Low <= mid && mid <= a.Plans[0].P50.High
			if (s+k)%4 == 0 {
				newPairs++
				inNew += btoi(got)
				require.Contains(t, a.Plans[0].P50.DominantFactor, "no evidence of statement")
			} else {
				known++
				in += btoi(got)
			}
		}
	}
	require.InDelta(t, 0.95, float64(in)/float64(known), 0.06)
	require.InDelta(t, 0.95, float64(inNew)/float64(newPairs), 0.08)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func TestFanOutTakesSlowestPart(t *testing.T) {
	tr := newTruth(2, 10)
	e := NewEstimator(tr.model("a", 50).Publish(1, 1000), 1000)
	kinds := slices.Repeat([]string{"new"}, 100)
	step := Step{Name: "s", Statement: stated(1), Class: "report", Rows: 10, Freshness: "fresh"}
	one, err := e.Estimate(1000, Plan{Steps: []Step{step}}, fleet(kinds...))
	require.NoError(t, err)
	step.AllGroups = true
	all, err := e.Estimate(1000, Plan{Steps: []Step{step}}, fleet(kinds...))
	require.NoError(t, err)
	// The median of the most of 100 is the quantile 0.5^(1/100) of one: 2.46 standard deviations.
	require.InDelta(t, 2.46*tr.noise, math.Log(all.Plans[0].P50.Mid/one.Plans[0].P50.Mid), 0.08)
	require.InDelta(t, 100, all.Plans[0].Work["new"].Mid/one.Plans[0].Work["new"].Mid/math.Exp(tr.noise*tr.noise/2), 4)
}

func TestWaitingIsSeparateFromWork(t *testing.T) {
	m := NewModel(Options{Source: "a"})
	r := rand.New(rand.NewPCG(3, 3))
	for range 400 {
		n := r.IntN(10)
		m.Observe(Observation{Statement: stated(0), Class: "c", Kind: "k", Rows: 9, Inflight: n, Work: 10 * math.Pow(float64(1+n), 0.5) * math.Exp(0.1*r.NormFloat64()), Wait: 20 * float64(n), At: 1})
	}
	f := fleet("k")
	p := Plan{Steps: []Step{{Name: "s", Statement: stated(0), Class: "c", Rows: 9, Freshness: "fresh"}}}
	a, err := m.Estimate(1, p, f)
	require.NoError(t, err)
	require.InDelta(t, 10, a.Plans[0].P50.Mid, 1, "alone")
	f.Hosts[0].Inflight = 8
	b, err := m.Estimate(1, p, f)
	require.NoError(t, err)
	require.InDelta(t, 30+160, b.Plans[0].P50.Mid, 12, "beside eight")
	require.InDelta(t, a.Plans[0].Work["k"].Mid, b.Plans[0].Work["k"].Mid, 0.5, "work is the same")
}

func TestStepOrderAndCycles(t *testing.T) {
	tr := newTruth(4, 4)
	m := tr.model("a", 50)
	step := func(name string, after ...string) Step {
		return Step{Name: name, Statement: stated(1), Class: "report", Rows: 10, Freshness: "fresh", After: after}
	}
	a, err := m.Estimate(1000, Plan{
		Name: "row", Steps: []Step{step("a"), step("b", "a"), step("c", "b")},
		Alternatives: []Plan{{Name: "beside", Steps: []Step{step("a"), step("b"), step("c")}}},
	}, fleet("new"))
	require.NoError(t, err)
	require.Equal(t, []int{1, 0}, a.Order)
	require.Greater(t, a.FasterProbability[1][0], 0.99)
	require.Greater(t, a.Plans[0].P50.Mid, 2*a.Plans[1].P50.Mid)
	_, err = m.Estimate(1000, Plan{Name: "round", Steps: []Step{step("a", "c"), step("b", "a"), step("c", "b"), step("d")}}, fleet("new"))
	var cycle *CycleError
	require.ErrorAs(t, err, &cycle)
	require.Equal(t, []string{"a", "b", "c"}, cycle.Steps)
	var bad *InvalidPlanError
	_, err = m.Estimate(1000, Plan{Steps: []Step{step("a", "x")}}, fleet("new"))
	require.ErrorAs(t, err, &bad)
	require.Equal(t, "after", bad.Key)
}

func TestNoEstimateWithoutEvidence(t *testing.T) {
	m := newTruth(5, 4).model("a", 5)
	p := Plan{Steps: []Step{{Name: "s", Statement: stated(1), Class: "other", Freshness: "fresh"}}}
	var cant *NoEstimateError
	var unknown *UnknownStatementError
	_, err := m.Estimate(1000, p, fleet("new"))
	require.ErrorAs(t, err, &cant)
	require.ErrorAs(t, err, &unknown)
	p.Steps[0].Class = "report"
	_, err = m.Estimate(1000, p, fleet("new", "gpu"))
	require.NoError(t, err)
	p.Steps[0].AllGroups = true
	_, err = m.Estimate(1000, p, fleet("new", "gpu"))
	require.ErrorAs(t, err, &cant)
	require.Contains(t, cant.Reason, `kind "gpu"`)
	_, err = m.Estimate(1000, p, Fleet{})
	require.ErrorAs(t, err, &cant)
	_, err = NewModel(Options{}).Estimate(1, p, fleet("new"))
	require.ErrorAs(t, err, &cant)
	v := m.Publish(1, 1000)
	v.Cells[0].At++
	var spoilt *InvalidEvidenceError
	_, err = NewEstimator(v, 1000).Estimate(1000, p, fleet("new"))
	require.ErrorAs(t, err, &spoilt)
}

func TestIntervalsWidenWithAge(t *testing.T) {
	e := NewEstimator(newTruth(6, 10).model("a", 100).Publish(1, 1000), 1000)
	p := Plan{Steps: []Step{{Name: "s", Statement: stated(1), Class: "report", Rows: 10, Freshness: "fresh"}}}
	width := func(now float64) float64 {
		a, err := e.Estimate(now, p, fleet("new"))
		require.NoError(t, err)
		return math.Log(a.Plans[0].P50.High/a.Plans[0].P50.Low) / 3.92
	}
	fresh, old := width(1000), width(1000+4*6*hour)
	require.InDelta(t, math.Sqrt(fresh*fresh+4*0.2*0.2), old, 0.06)
	require.InDelta(t, 0.16, e.Widening(4*6*hour), 1e-12)
}

// summaries draws some, of few sources, so that some replace others.
func summaries(t *rapid.T) []Summary {
	var out []Summary
	for i := range rapid.IntRange(1, 8).Draw(t, "n") {
		m := NewModel(Options{Source: fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "source")), Incarnation: uint64(rapid.IntRange(0, 1).Draw(t, "incarnation"))})
		m.sequence = uint64(rapid.IntRange(0, 2).Draw(t, "sequence"))
		for range rapid.IntRange(0, 6).Draw(t, "seen") {
			m.Observe(Observation{
				Statement: stated(rapid.IntRange(0, 3).Draw(t, "statement")), Class: "c", Kind: []string{"a", "b"}[rapid.IntRange(0, 1).Draw(t, "kind")],
				Rows: float64(i), Work: rapid.Float64Range(0.1, 1e4).Draw(t, "work"), At: rapid.Float64Range(0, 1e6).Draw(t, "at"),
			})
		}
		out = append(out, m.summary())
	}
	return out
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := summaries(t)
		digest := func(order []Summary, o Options) [32]byte {
			m := NewModel(o)
			for _, s := range order {
				_ = m.Merge(s)
			}
			return m.Publish(1, 1e6).Digest
		}
		o := Options{Source: "me", Sources: rapid.IntRange(2, 5).Draw(t, "sources")}
		want := digest(all, o)
		twice := append(slices.Clone(all), all...)
		got := rapid.Permutation(twice).Draw(t, "order")
		if digest(got, o) != want {
			t.Fatal("another order, or twice, makes another version")
		}
		// Associative: two that gathered parts, and tell each other all, hold the same as one that was told all.
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		left, right := NewModel(o), NewModel(o)
		for _, s := range all[:cut] {
			_ = left.Merge(s)
		}
		for _, s := range all[cut:] {
			_ = right.Merge(s)
		}
		for _, s := range right.summaries {
			_ = left.Merge(s)
		}
		if left.Publish(1, 1e6).Digest != want {
			t.Fatal("merging what was merged makes another version")
		}
	})
}

func TestFalseEvidenceIsBounded(t *testing.T) {
	for seed := range uint64(6) {
		tr := newTruth(seed, 12)
		var honest []Summary
		for i := range 7 {
			honest = append(honest, tr.model(fmt.Sprint("pooler-", i), 6).Evidence())
		}
		r := rand.New(rand.NewPCG(seed, 9))
		liar := NewModel(Options{Source: "pooler-3"})
		for s := range tr.effs {
			for _, kind := range []string{"old", "new", "arm"} {
				for range 1000 {
					o := Observation{
						Statement: stated(s), Class: "report", Kind: kind, Rows: math.Exp(r.Float64() * 6), Inflight: r.IntN(8), At: 1000,
						Work: math.Exp(float64(seed) * 3 * (1 + r.NormFloat64())),
					}
					if seed == 5 { // all at the ends of what can be, without any spread
						o.Rows, o.Inflight, o.Work, o.WarmingUp = 9e14, 1<<30, 9e8, true
					}
					liar.Observe(o)
				}
			}
		}
		load := func(last Summary, broken string) *Estimator {
			m := NewModel(Options{Source: "me", DisabledGuarantee: broken})
			for i, s := range honest {
				if i != 3 {
					require.NoError(t, m.Merge(s))
				}
			}
			require.NoError(t, m.Merge(last))
			return NewEstimator(m.Publish(1, 1000), 1000)
		}
		lies := liar.Evidence()
		good, bad, open := load(honest[3], ""), load(lies, ""), load(lies, "false")
		most := 0.0
		for s := range tr.effs {
			for _, kind := range []string{"old", "new", "arm"} {
				x := func(e *Estimator) (float64, float64) {
					d, err := e.newDraws(1000)
					require.NoError(t, err)
					c, k, _ := e.full.indexes("report", kind)
					key := effectKey{c, k, stated(s)}
					at := [4]float64{1, logSize(50, 0), math.Log1p(3), 0}
					shift, _, moved := d.robustShift(key, "report", kind, at)
					at[termSize] -= e.full.centreSize
					mean, _ := d.effect(key).evaluate(at)
					return mean + shift, moved
				}
				a, stated := x(good)
				b, statedBad := x(bad)
				c, _ := x(open)
				require.Greater(t, stated, 0.0)
				require.LessOrEqual(t, math.Abs(a-b), min(stated, statedBad))
				require.Less(t, stated, 1.0)
				most = max(most, math.Abs(a-c))
			}
		}
		if seed > 1 && seed < 5 {
			require.Greater(t, most, 1.0, "without the bound these lies move estimates far")
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	m := NewModel(Options{Source: "a", Bytes: 200 * cellBytes})
	tr := newTruth(7, 400)
	for s := range tr.effs {
		for range 1 + 20*btoi(s < 10) {
			m.Observe(tr.seen(s, "new", float64(s)))
		}
	}
	require.LessOrEqual(t, len(m.cells), 100)
	for s := range 10 {
		require.Contains(t, m.cells, cellKey{"report", "new", stated(s)}, "well known ones stay")
	}
	class := m.cells[cellKey{class: "report", kind: "new"}]
	require.NotNil(t, class)
	require.InDelta(t, 400, class.moments[0]+float64(len(m.cells)-1), 15, "each that went counts once")
	for i := range 100 {
		m.Observe(Observation{Class: fmt.Sprint("c", i), Kind: fmt.Sprint("k", i), Work: 1, At: 1})
	}
	require.LessOrEqual(t, len(m.classes), maxClasses)
	require.LessOrEqual(t, len(m.kinds), maxKinds)
	require.Positive(t, m.Dropped())
	// What was folded still tells what a statement of its class that nobody knows costs.
	a, err := m.Estimate(400, Plan{Steps: []Step{{Name: "s", Statement: NewFingerprint("new"), Class: "report", Rows: 50, Freshness: "fresh"}}}, fleet("new"))
	require.NoError(t, err)
	mid := math.Exp(1 + 0.6*math.Log(51))
	require.InDelta(t, 0, math.Log(a.Plans[0].P50.Mid/mid), 0.4)
	require.InDelta(t, 0.6, math.Log(a.Plans[0].P50.High/a.Plans[0].P50.Low)/3.92, 0.3)
}

func TestImpossibleSummariesAreRejected(t *testing.T) {
	m := NewModel(Options{Source: "me"})
	for name, spoil := range map[string]func(*Summary){
		"no source":    func(s *Summary) { s.Source = "" },
		"not a number": func(s *Summary) { s.Cells[0].Moments[4] = math.NaN() },
		"negative":     func(s *Summary) { s.Cells[0].Moments[0] = -1 },
		"spread below 0": func(s *Summary) {
			s.Cells[0].Moments[momentIndex(termWork, termWork)] = 0
			s.Cells[0].Moments[momentIndex(termOne, termWork)] = 9
		},
		"no such sums": func(s *Summary) { s.Cells[0].Moments[momentIndex(termSize, termWork)] *= 3 },
		"twice":        func(s *Summary) { s.Cells = append(s.Cells, s.Cells[0]) },
		"wait":         func(s *Summary) { s.Waits[0].Sums[3] = math.Inf(1) },
	} {
		s := newTruth(8, 2).model("other", 3).Evidence()
		require.NoError(t, NewModel(Options{}).Merge(s))
		spoil(&s)
		var bad *InvalidEvidenceError
		require.ErrorAs(t, m.Merge(s), &bad, name)
	}
	require.Empty(t, m.summaries)
}

// Guards against one source's sums, just within what rounding may do, that stop everybody's fit.
func TestMomentsAtRoundingLimitAreRegularized(t *testing.T) {
	var m Moments
	m.add(&[termCount]float64{1, 3, 0, 0, 2}, 50)
	m[momentIndex(termSize, termSize)] -= 0.9 * roundingTolerance * 50 * termLimits[termSize] * termLimits[termSize]
	least := func() float64 {
		s := mat.NewSymDense(2, []float64{m.moment(termOne, termOne), m.moment(termOne, termSize), m.moment(termOne, termSize), m.moment(termSize, termSize)})
		var e mat.EigenSym
		require.True(t, e.Factorize(s, false))
		return slices.Min(e.Values(nil))
	}
	require.True(t, m.isPossible())
	require.Negative(t, least())
	m.regularize()
	require.Positive(t, least())
}

func TestTenantThatDoesNotFitIsRejected(t *testing.T) {
	tr := newTruth(9, 6)
	e := NewEstimator(tr.model("a", 60).Publish(1, 1000), 1000)
	hosts := []Host{{Name: "p", Kind: "new", Primary: true, Capacity: 8, Load: 2}, {Name: "r", Kind: "old", Capacity: 8, Load: 6}}
	each := math.Exp(tr.mean(2, "old", 10, 0) + tr.noise*tr.noise/2)
	load := func(at float64) Tenant {
		return Tenant{"t", []Demand{{Statement: stated(2), Class: "report", Rows: 10, RequestsPerSecond: at * 1e3 / each}}}
	}
	v, err := e.Fits(1000, load(0.8), hosts)
	require.NoError(t, err)
	require.True(t, v.Fits, v.Reason)
	v, err = e.Fits(1000, load(1.5), hosts)
	require.NoError(t, err)
	require.False(t, v.Fits)
	require.Contains(t, v.Reason, "host r")
	require.InDelta(t, 1.5, v.Hosts[1].Needed.Mid, 0.25)
	require.InDelta(t, 1.2, v.Hosts[1].Free, 1e-9)
}

func TestCopyRateKeepsObjectives(t *testing.T) {
	tr := newTruth(10, 6)
	e := NewEstimator(tr.model("a", 60).Publish(1, 1000), 1000)
	hosts := []Host{{Name: "p", Kind: "new", Primary: true, Capacity: 20, Load: 2, Inflight: 2}}
	c := Copy{Statement: stated(2), Class: "report", Batch: 100}
	free, err := e.MaxCopyRate(1000, c, nil, hosts)
	require.NoError(t, err)
	require.InDelta(t, 16, free.Concurrency, 1e-9)
	aim := math.Exp(tr.mean(2, "new", 10, 2) + 2.33*tr.noise)
	tight, err := e.MaxCopyRate(1000, c, []Demand{{Statement: stated(2), Class: "report", Rows: 10, ObjectiveMillis: aim * 1.6}}, hosts)
	require.NoError(t, err)
	require.Less(t, tight.RowsPerSecond, free.RowsPerSecond)
	require.Positive(t, tight.RowsPerSecond)
	require.Contains(t, tight.Reason, "aim")
	none, err := e.MaxCopyRate(1000, c, []Demand{{Statement: stated(2), Class: "report", Rows: 10, ObjectiveMillis: aim / 5}}, hosts)
	require.NoError(t, err)
	require.Zero(t, none.RowsPerSecond)
	pause, err := e.Pause(1000, Migration{
		RunningWrites: []Demand{{Statement: stated(2), Class: "report", Rows: 10}}, Copy: c, RemainingRows: 1000,
		OwnerChange: Interval{Mid: 100, Low: 50, High: 200}, Source: hosts[0], Target: hosts[0],
	})
	require.NoError(t, err)
	batch := math.Exp(tr.mean(2, "new", 100, 2) + tr.noise*tr.noise/2)
	require.Less(t, pause.Low, 20*batch+100)
	require.Greater(t, pause.High, 20*batch+100)
	require.Less(t, pause.High, 2.5*(20*batch+200))
}

func TestFingerprintIgnoresLiterals(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"SELECT  a FROM t\nWHERE k = 'x''y' -- tail", "select a from t where k=?"},
		{"/* id=1,c=a,d=3 */ select a from t where k in (1, 2,3)", "select a from t where k in(?)"},
		{"select a from t where k in ($1,$2)", "select a from t where k in(?)"},
		{"select 1.5e-3, -2, E'a\\'b', $$x$$, $t$ y $t$ from \"Tab\"", "select ?from\"Tab\""},
		{"select /* a /* b */ c */ x1;", "select x1"},
		{"update t set a = a - 1", "update t set a=a-?"},
		{"insert into t values (1,'a'), (2,'b')", "insert into t values(?),(?)"},
	} {
		require.Equal(t, c.want, Normalize(c.text))
	}
	require.NotEqual(t, NewFingerprint("select a from t"), NewFingerprint("select b from t"))
	f := NewFingerprint("select 1")
	b, err := f.MarshalText()
	require.NoError(t, err)
	var g Fingerprint
	require.NoError(t, g.UnmarshalText(b))
	require.Equal(t, f, g)
	var bad *InvalidInputError
	require.True(t, errors.As(g.UnmarshalText([]byte("x")), &bad))
}

func FuzzNormal(f *testing.F) {
	for _, s := range []string{"select 1", "/* a", "'x", "$a$ b", "e'\\", "\"q\"\"", "--", "in (1,2,-3)", "a\x00b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		n := Normalize(s)
		if len(n) > MaxNormalizedBytes {
			t.Fatalf("%d bytes", len(n))
		}
		if len(n) < MaxNormalizedBytes && Normalize(" \n"+s+"\t ") != n && !open(s) {
			t.Fatalf("white space around it changes %q", s)
		}
		if again := Normalize(n); len(n) < MaxNormalizedBytes && len(Normalize(again)) > len(n) {
			t.Fatalf("%q grows to %q", n, again)
		}
	})
}

// open says whether a text may end inside of a literal or comment, where white space is a part of it.
func open(s string) bool { return len(s) > 0 && (Normalize(s+"\t ") != Normalize(s)) }

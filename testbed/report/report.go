// Package report is the form that every measurement of testbed has.
package report

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
)

// Result is one measurement.
type Result struct {
	Command  string             `json:"command"`
	Seed     uint64             `json:"seed"`
	Seconds  float64            `json:"seconds"`
	Requests Requests           `json:"requests"`
	Broken   map[string]int     `json:"broken"` // breaches by guarantee; one that is not checked is left out
	Latency  map[string]Latency `json:"latency_ms"`
	Memory   Memory             `json:"memory_mb"`
	Faults   map[string]int     `json:"faults,omitempty"` // how often each occurred
	Errors   map[string]int     `json:"errors,omitempty"` // by SQLSTATE
	Baseline map[string]float64 `json:"baseline"`
	Ratio    map[string]float64 `json:"ratio"`
	Notes    []string           `json:"notes,omitempty"`
}

// Requests are counted by their final answer.
type Requests struct {
	Taken      int `json:"taken"`
	Served     int `json:"served"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"unanswered"`
	Late       int `json:"late"`
}

// Latency is in milliseconds.
type Latency struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Memory is in MB.
type Memory struct {
	RSS       float64            `json:"rss"`
	ByPurpose map[string]float64 `json:"by_purpose"`
}

// Collector counts while a measurement runs. It is safe for concurrent use.
type Collector struct {
	mu sync.Mutex
	r  Result
	h  map[string]*hdrhistogram.Histogram
}

// New returns a measurement that checks these guarantees.
func New(command string, seed uint64, checks ...string) *Collector {
	g := &Collector{h: map[string]*hdrhistogram.Histogram{}, r: Result{
		Command: command, Seed: seed, Broken: map[string]int{},
		Latency: map[string]Latency{}, Faults: map[string]int{}, Errors: map[string]int{}, Baseline: map[string]float64{}, Ratio: map[string]float64{},
		Memory: Memory{ByPurpose: map[string]float64{}},
	}}
	for _, c := range checks {
		g.r.Broken[c] = 0
	}
	return g
}

// RecordLatency counts a request's time.
func (g *Collector) RecordLatency(class string, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.h[class]
	if h == nil {
		h = hdrhistogram.New(1, 120e6, 3)
		g.h[class] = h
	}
	_ = h.RecordValue(max(1, d.Microseconds()))
}

// RecordAnswer counts a request by its final answer and returns the error that a server worded; nil: it worded none. late
// is when an answer counts as such; killed says that the pooler may have been killed, which breaks no promise.
func (g *Collector) RecordAnswer(class string, took, late time.Duration, err error, killed bool) *pgconn.PgError {
	g.RecordLatency(class, took)
	var pe *pgconn.PgError
	worded := errors.As(err, &pe)
	g.Do(func(r *Result) {
		r.Requests.Taken++
		if took > late {
			r.Requests.Late++
		}
		switch {
		case err == nil:
			r.Requests.Served++
		case worded && (pe.Code == "53300" || pe.Code == "57P03"):
			r.Requests.Refused++
		case worded:
			r.Requests.Failed++
		case killed:
			r.Requests.Failed++
			r.Errors["killed"]++
		default:
			if r.Requests.Unanswered++; len(r.Notes) < 20 {
				r.Notes = append(r.Notes, fmt.Sprintf("unanswered: %s after %v: %v", class, took.Round(time.Millisecond), err))
			}
		}
		if worded {
			r.Errors[pe.Code]++
		}
	})
	return pe
}

// Do changes the result under its lock.
func (g *Collector) Do(change func(r *Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.r)
}

// Break counts a breach; the first few are worded.
func (g *Collector) Break(guarantee, format string, args ...any) {
	g.Do(func(r *Result) {
		if r.Broken[guarantee]++; len(r.Notes) < 20 {
			r.Notes = append(r.Notes, guarantee+": "+fmt.Sprintf(format, args...))
		}
	})
}

// Result closes the measurement.
func (g *Collector) Result(seconds float64) *Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.r.Seconds = seconds
	for class, h := range g.h {
		q := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1e3 }
		g.r.Latency[class] = Latency{int(h.TotalCount()), q(50), q(99), q(99.9), float64(h.Max()) / 1e3}
	}
	return &g.r
}

// Passed says whether every guarantee did, and every request had its answer.
func (r *Result) Passed() bool {
	for _, n := range r.Broken {
		if n > 0 {
			return false
		}
	}
	return r.Requests.Unanswered == 0
}

// Write puts the JSON object where --json says; "" nowhere, "-" on standard output.
func (r *Result) Write(path string) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	b = append(b, '\n')
	if path == "-" {
		_, err = os.Stdout.Write(b)
		return err
	}
	return os.WriteFile(path, b, 0o644)
}

// Table writes the result for people.
func (r *Result) Table(to io.Writer) error {
	out := bufio.NewWriter(to)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\trequests\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, class := range names(r.Latency) {
		l := r.Latency[class]
		fmt.Fprintf(w, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.1f\t\n", class, l.Count, l.P50, l.P99, l.P999, l.Max)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	q := r.Requests
	fmt.Fprintf(out, "\n%d requests in %.1f s: %d served, %d refused, %d failed, %d unanswered, %d late\n", q.Taken, r.Seconds, q.Served, q.Refused, q.Failed, q.Unanswered, q.Late)
	line := func(title string, of map[string]int) {
		if len(of) == 0 {
			return
		}
		var parts []string
		for _, n := range names(of) {
			parts = append(parts, fmt.Sprintf("%s %d", n, of[n]))
		}
		fmt.Fprintf(out, "%s: %s\n", title, strings.Join(parts, ", "))
	}
	line("faults", r.Faults)
	line("errors", r.Errors)
	line("guarantees broken", r.Broken)
	for _, n := range names(r.Ratio) {
		fmt.Fprintf(out, "%s: %.3f of the baseline's %.4g\n", n, r.Ratio[n], r.Baseline[n])
	}
	for _, n := range r.Notes {
		fmt.Fprintln(out, "-", n)
	}
	return out.Flush()
}

func names[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for n := range m {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

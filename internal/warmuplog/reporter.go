// Package warmuplog logs what a process knows of hosts that warm up and what it sends them. No process sees the sum of what such a
// host gets, and the sum is what fells it: the lines of all processes, added up, tell it (testbed warmups). A line is written when
// something changes, and once an interval where something was sent or held back; the number of lines is bounded.
package warmuplog

import (
	"log/slog"
	"time"

	"ashstand/internal/dispatch"
	"ashstand/routing"
)

// Interval is how often a Reporter is to be called.
const Interval = time.Second

// maxLines bounds what one call logs.
const maxLines = 64

// The messages.
const (
	MessageBegins  = "slow start: a host warms up"
	MessageChanged = "slow start: a host's part has changed"
	MessageSent    = "slow start: work at a host"
	MessageEnds    = "slow start: a host is warm, or has gone"
)

// Reporter logs the differences between one look at the warming hosts and the next. It is not safe for concurrent use.
type Reporter struct {
	seen  map[string]dispatch.SlowStartView
	lines int
}

// New returns a reporter that has seen nothing.
func New() *Reporter { return &Reporter{seen: map[string]dispatch.SlowStartView{}} }

// Report logs what has changed since the last call.
func (r *Reporter) Report(nowMillis float64, warming []dispatch.SlowStartView) {
	r.lines = 0
	present := make(map[string]dispatch.SlowStartView, len(warming))
	for _, view := range warming {
		present[view.Host] = view
		before, known := r.seen[view.Host]
		if !known || before.StartedAt != view.StartedAt {
			before = dispatch.SlowStartView{}
			r.log(MessageBegins, &view, "notified_ms", int64(view.NotifiedAtMillis))
		} else if before.IsPrimary != view.IsPrimary || before.Members != view.Members {
			r.log(MessageChanged, &view, "was_primary", before.IsPrimary, "had_members", before.Members)
		}
		r.reportWork(nowMillis, &before, &view)
	}
	for host, view := range r.seen {
		if _, ok := present[host]; !ok {
			r.log(MessageEnds, &view)
		}
	}
	r.seen = present
}

// reportWork logs what was sent and held back since the last call, by path.
func (r *Reporter) reportWork(nowMillis float64, before, view *dispatch.SlowStartView) {
	attributes := []any{"until_ms", int64(nowMillis)}
	for _, path := range routing.SlowStartPaths() {
		if n := view.Sent[path] - before.Sent[path]; n > 0 {
			attributes = append(attributes, path.String(), n)
		}
	}
	held := 0
	for _, path := range routing.SlowStartPaths() {
		held += view.HeldBack[path] - before.HeldBack[path]
	}
	if held > 0 {
		attributes = append(attributes, "held_back", held)
	}
	if len(attributes) > 2 {
		r.log(MessageSent, view, attributes...)
	}
}

// log writes a line with what every line on a warming host has.
func (r *Reporter) log(message string, view *dispatch.SlowStartView, attributes ...any) {
	if r.lines++; r.lines > maxLines {
		return
	}
	slog.Info(message, append([]any{
		"host", view.Host, "group", view.Group, "started_ms", int64(view.StartedAtMillis), "primary", view.IsPrimary,
		"members", view.Members, "ratio", rounded(view.Ratio), "rate", rounded(view.RatePerSecond),
	}, attributes...)...)
}

// rounded leaves three decimals.
func rounded(x float64) float64 { return float64(int64(x*1e3)) / 1e3 }

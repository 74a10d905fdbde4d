// Package warmuplog logs what a process knows about warming hosts and what it sends to them. A warming host
// is overloaded by the sum of what all processes send to it, which none of them sees; the command "testbed
// warmups" computes that sum from their logs. A line is logged when something changes, and once per interval
// in which work was sent or held back. The number of lines is bounded.
package warmuplog

import (
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/routing"
)

// Interval is the time between two calls of Reporter.Report.
const Interval = time.Second

// maxLinesPerReport is the maximum number of lines that one call of Report logs.
const maxLinesPerReport = 64

// The log messages.
const (
	MessageBegins  = "slow start: a host warms up"
	MessageChanged = "slow start: a host's part has changed"
	MessageSent    = "slow start: work at a host"
	MessageEnds    = "slow start: a host is warm, or has gone"
)

// Reporter logs how the state of the warming hosts differs from one call of Report to the next. It is not
// safe for concurrent use.
type Reporter struct {
	lastViews   map[string]dispatch.SlowStartView
	linesLogged int
}

// New returns a reporter that knows no warming hosts yet.
func New() *Reporter { return &Reporter{lastViews: map[string]dispatch.SlowStartView{}} }

// Report logs what has changed since the last call.
// costs is what the process takes a request of each class to cost; it is logged when a host begins to warm up.
func (r *Reporter) Report(nowMillis float64, warming []dispatch.SlowStartView, costs []routing.ClassCost) {
	r.linesLogged = 0
	present := make(map[string]dispatch.SlowStartView, len(warming))
	for _, view := range warming {
		present[view.Host] = view
		previous, known := r.lastViews[view.Host]
		if !known || previous.StartedAt != view.StartedAt {
			previous = dispatch.SlowStartView{}
			r.log(MessageBegins, &view, "notified_ms", int64(view.NotifiedAtMillis), "costs", formatCosts(costs))
		} else if previous.IsPrimary != view.IsPrimary || previous.Members != view.Members {
			r.log(MessageChanged, &view, "was_primary", previous.IsPrimary, "had_members", previous.Members)
		}
		r.reportWork(nowMillis, &previous, &view)
	}
	for host, view := range r.lastViews {
		if _, ok := present[host]; !ok {
			r.log(MessageEnds, &view)
		}
	}
	r.lastViews = present
}

// AttributeClasses names the attribute with what was sent of each class; see FormatClass.
const AttributeClasses = "classes"

// reportWork logs what was sent and held back since the last call, by path and by class.
func (r *Reporter) reportWork(nowMillis float64, previous, view *dispatch.SlowStartView) {
	attributes := []any{"until_ms", int64(nowMillis)}
	for _, path := range routing.SlowStartPaths() {
		if n := view.Sent[path] - previous.Sent[path]; n > 0 {
			attributes = append(attributes, path.String(), n)
		}
	}
	if classes := sentSince(previous.SentByClass, view.SentByClass); len(classes) > 0 {
		var parts []string
		for _, class := range classes {
			parts = append(parts, FormatClass(class))
		}
		attributes = append(attributes, AttributeClasses, strings.Join(parts, ","))
	}
	heldBack := 0
	for _, path := range routing.SlowStartPaths() {
		heldBack += view.HeldBack[path] - previous.HeldBack[path]
	}
	if heldBack > 0 {
		attributes = append(attributes, "held_back", heldBack)
	}
	if len(attributes) > 2 {
		r.log(MessageSent, view, attributes...)
	}
}

// formatCosts returns name:cost:mean answer time in milliseconds of each class, with a question mark where the
// work is not known yet.
func formatCosts(costs []routing.ClassCost) string {
	var parts []string
	for _, class := range costs {
		part := fmt.Sprintf("%s:%.2f:%.1f", url.QueryEscape(class.Class), class.Cost, clock.Millis(class.AnswerTime))
		if !class.IsKnown {
			part += "?"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ",")
}

// sentSince returns what was sent of each class since an earlier view, which may hold nothing.
func sentSince(previous, now []dispatch.ClassSent) (sent []dispatch.ClassSent) {
	for i, class := range now {
		if i < len(previous) {
			class.Requests -= previous[i].Requests
			class.Cost -= previous[i].Cost
		}
		if class.Requests > 0 {
			sent = append(sent, class)
		}
	}
	return sent
}

// FormatClass returns name:requests:cost with a name that has no separators.
func FormatClass(class dispatch.ClassSent) string {
	return fmt.Sprintf("%s:%d:%.2f", url.QueryEscape(class.Class), class.Requests, class.Cost)
}

// ParseClasses reads the attribute AttributeClasses. What is not of its form is left out.
func ParseClasses(text string) (classes []dispatch.ClassSent) {
	for part := range strings.SplitSeq(text, ",") {
		fields := strings.Split(part, ":")
		if len(fields) != 3 {
			continue
		}
		name, nameErr := url.QueryUnescape(fields[0])
		requests, requestsErr := strconv.Atoi(fields[1])
		cost, costErr := strconv.ParseFloat(fields[2], 64)
		if nameErr == nil && requestsErr == nil && costErr == nil {
			classes = append(classes, dispatch.ClassSent{Class: name, Requests: requests, Cost: cost})
		}
	}
	return classes
}

// log writes a line with the attributes that every line about a warming host has, unless maxLinesPerReport is
// reached.
func (r *Reporter) log(message string, view *dispatch.SlowStartView, attributes ...any) {
	if r.linesLogged++; r.linesLogged > maxLinesPerReport {
		return
	}
	slog.Info(message, append([]any{
		"host", view.Host, "group", view.Group, "started_ms", int64(view.StartedAtMillis), "primary", view.IsPrimary,
		"members", view.Members, "ratio", truncated(view.Ratio), "rate", truncated(view.RatePerSecond),
	}, attributes...)...)
}

// truncated cuts a figure off after three decimals.
func truncated(x float64) float64 { return float64(int64(x*1e3)) / 1e3 }

package main

import (
	"bufio"
	"fmt"
	"slices"
	"strings"

	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
)

// statsView is the figures of a pooler as operators see them.
type statsView struct {
	Phase   string           `json:"phase"`
	Figures []metrics.Figure `json:"figures"`
	Error   string           `json:"error,omitempty"`
}

func (n *node) statsView() statsView {
	if n.core == nil {
		return statsView{Phase: lifecycle.Starting.String(), Figures: []metrics.Figure{}}
	}
	figures, err := n.core.Metrics().Snapshot()
	v := statsView{Phase: n.core.Phase().String(), Figures: figures}
	if err != nil {
		v.Error = err.Error()
	}
	return v
}

// statsTable prints one line a figure. Violations come first: each is a fault.
func statsTable(w *bufio.Writer, v *statsView) {
	fmt.Fprintf(w, "phase\t%s\n", v.Phase)
	broken := metrics.Violations(v.Figures)
	rules := make([]string, 0, len(broken))
	for rule := range broken {
		rules = append(rules, rule)
	}
	slices.Sort(rules)
	for _, rule := range rules {
		fmt.Fprintf(w, "RULE BROKEN: %s\t%d\n", rule, broken[rule])
	}
	for _, f := range v.Figures {
		labels := make([]string, 0, len(f.Labels))
		for name, value := range f.Labels {
			labels = append(labels, name+"="+value)
		}
		slices.Sort(labels)
		name := strings.TrimPrefix(f.Name, "ashstand_")
		if len(labels) > 0 {
			name += " " + strings.Join(labels, " ")
		}
		fmt.Fprintf(w, "%s\t%g\n", name, f.Value)
	}
	if v.Error != "" {
		fmt.Fprintf(w, "error\t%s\n", v.Error)
	}
}

package main

import (
	"cmp"
	stdjson "encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/clock"
	"ashstand/internal/cost"
)

// offlineEvidenceBytes bounds the evidence that an estimate from files takes in.
const offlineEvidenceBytes = 64 << 20

// withAdvice puts what an operator can do behind an error.
func withAdvice(err error) error {
	var advised interface{ Advice() string }
	if errors.As(err, &advised) {
		return fmt.Errorf("%w (%s)", err, advised.Advice())
	}
	return err
}

// estimateFromFiles estimates from saved evidence, each file another pooler's, as the last of them saw the hosts.
func estimateFromFiles(plan cost.Plan, paths []string, now float64) (cost.PlanComparison, error) {
	var model *cost.Model
	var fleet cost.Fleet
	last := 0.0
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return cost.PlanComparison{}, err
		}
		var e costEvidence
		if err := stdjson.Unmarshal(text, &e); err != nil {
			return cost.PlanComparison{}, fmt.Errorf("%s: %w", path, err)
		}
		if model == nil {
			model = cost.NewModel(cost.Options{Bytes: offlineEvidenceBytes, Span: e.Span, Drift: e.Drift})
		}
		if err := model.Merge(e.Summary); err != nil {
			return cost.PlanComparison{}, fmt.Errorf("%s: %w", path, withAdvice(err))
		}
		if e.At >= last {
			last, fleet = e.At, e.Fleet
		}
	}
	// The snapshot is of when the evidence was saved: what has passed since widens the intervals.
	comparison, err := cost.NewEstimator(model.Publish(0, last), now).Estimate(now, plan, fleet)
	return comparison, withAdvice(err)
}

// costCommands estimate what plans cost.
func costCommands(ask func(*cobra.Command) *cobra.Command, asJSON func() bool, address func() (string, error)) *cobra.Command {
	var files []string
	c := ask(&cobra.Command{
		Use: "cost PLAN", Short: "estimate what a query plan and its alternatives cost, with 95 % intervals", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			comparison, err := estimateFile(args[0], files, address)
			if err != nil {
				return err
			}
			if asJSON() {
				return printJSON(c.OutOrStdout(), comparison)
			}
			return writeCostTable(c.OutOrStdout(), &comparison)
		},
	})
	c.Flags().StringArrayVar(&files, "evidence", nil, "estimate from this saved evidence instead of a pooler that runs; once for each pooler's file")
	c.AddCommand(
		ask(&cobra.Command{
			Use: "evidence", Short: "print what the pooler has observed, for cost --evidence", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return writeEvidence(c.OutOrStdout(), address) },
		}),
		&cobra.Command{
			Use: "fingerprint SQL", Short: "print a statement's fingerprint and the text that it stands for", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				_, err := fmt.Fprintf(c.OutOrStdout(), "%v  %s\n", cost.NewFingerprint(args[0]), cost.Normalize(args[0]))
				return err
			},
		})
	return c
}

// estimateFile estimates the plan of a file, from saved evidence or by a running pooler.
func estimateFile(path string, evidence []string, address func() (string, error)) (comparison cost.PlanComparison, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return comparison, err
	}
	plan, err := cost.ParsePlan(path, text)
	if err != nil {
		return comparison, err
	}
	if len(evidence) > 0 {
		return estimateFromFiles(plan, evidence, clock.System().Now())
	}
	at, err := address()
	if err != nil {
		return comparison, err
	}
	err = admin.Invoke(at, "cost", text, &comparison)
	return comparison, err
}

// writeEvidence writes a running pooler's evidence as it came: estimates from files read it again.
func writeEvidence(out io.Writer, address func() (string, error)) error {
	at, err := address()
	if err != nil {
		return err
	}
	var raw []byte
	if err := admin.Get(at, "evidence", &raw); err != nil {
		return err
	}
	var rejected struct{ Error string }
	if err := stdjson.Unmarshal(raw, &rejected); err != nil || rejected.Error != "" {
		return fmt.Errorf("%s: %s", at, cmp.Or(rejected.Error, "it answers something else"))
	}
	_, err = out.Write(raw)
	return err
}

// writeCostTable writes the plans in their order, and then those without an estimate.
func writeCostTable(out io.Writer, comparison *cost.PlanComparison) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	order := slices.Clone(comparison.Order)
	for i := range comparison.Plans {
		if comparison.Plans[i].Unavailable != nil {
			order = append(order, i)
		}
	}
	for position, i := range order {
		plan := &comparison.Plans[i]
		if plan.Unavailable != nil {
			fmt.Fprintf(w, "plan %q: %v\n", plan.Name, plan.Unavailable)
			continue
		}
		fmt.Fprintf(w, "plan %q", plan.Name)
		if position > 0 {
			if sure := comparison.FasterProbability[order[position-1]][i]; sure >= cost.ConfidenceThreshold {
				fmt.Fprintf(w, ": slower than the one above (%.0f %% sure)", 100*sure)
			} else {
				fmt.Fprintf(w, ": can't tell whether it is slower than the one above (%.0f %%)", 100*sure)
			}
		}
		writePlanFigures(w, plan)
	}
	return w.Flush()
}

// writePlanFigures writes the intervals of one plan.
func writePlanFigures(w *tabwriter.Writer, plan *cost.PlanEstimate) {
	fmt.Fprintln(w, "\nFIGURE\tESTIMATE\t95 % FROM\tTO\tHINGES ON")
	row := func(name, format string, f cost.Interval) {
		fmt.Fprintf(w, "%s\t"+format+"\t"+format+"\t"+format+"\t%s\n", name, f.Mid, f.Low, f.High, f.DominantFactor)
	}
	row("one run, ms", "%.1f", plan.Time)
	row("p50, ms", "%.1f", plan.P50)
	row("p95, ms", "%.1f", plan.P95)
	row("p99, ms", "%.1f", plan.P99)
	for _, kind := range slices.Sorted(maps.Keys(plan.Work)) {
		row("work on "+kind+", ms", "%.1f", plan.Work[kind])
	}
	row("share of the primary", "%.3f", plan.Primary)
	row("worth displaced", "%.2f", plan.DisplacedWeight)
	if plan.WithinObjective != nil {
		row("chance to meet its aim", "%.2f", *plan.WithinObjective)
	}
	row("oldest data, ms", "%.1f", plan.StalenessMillis)
	if plan.MaxShift >= 0 {
		fmt.Fprintf(w, "one source's false evidence moves work by a factor of %.2f at most\n", math.Exp(plan.MaxShift))
	} else {
		fmt.Fprintln(w, "fewer than three sources know of it: a false one would not be noticed")
	}
}

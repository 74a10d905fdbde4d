package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ashstand/testbed/report"
	"ashstand/testbed/soak"
)

// soakFlags are those of the soak.
type soakFlags struct {
	common
	poolers, clients int
	only             string
	plan, keep       string
	shrink           bool
	release, warmUps bool
	logs             string
}

// draw is the schedule that the flags ask for.
func (m *soakFlags) draw() (soak.Plan, error) {
	if m.plan != "" {
		return soak.LoadPlan(m.plan)
	}
	if m.poolers < 1 || m.poolers > 64 {
		return soak.Plan{}, fmt.Errorf("--poolers %d: allowed is 1 to 64", m.poolers)
	}
	if m.release {
		return soak.DrawRelease(m.seed, m.poolers, m.duration), nil
	}
	if m.warmUps {
		return soak.DrawWarmUps(m.seed, m.poolers, m.duration), nil
	}
	var only []soak.Kind
	for _, name := range strings.FieldsFunc(m.only, func(r rune) bool { return r == ',' }) {
		kind := soak.Kind(strings.TrimSpace(name))
		if !slices.Contains(soak.Kinds(), kind) {
			return soak.Plan{}, fmt.Errorf("--only %s: there are %v", kind, soak.Kinds())
		}
		only = append(only, kind)
	}
	return soak.Draw(m.seed, m.poolers, m.duration, only), nil
}

// run plays a schedule; one that fails is kept, and shrunk if that was asked for.
func (m *soakFlags) run(ctx context.Context, plan soak.Plan) error {
	play := func(p soak.Plan) (*report.Result, error) {
		return soak.Run(ctx, soak.Options{Plan: p, Clients: m.clients, Pooler: m.pooler, Break: m.breaks, Log: m.log, LogFolder: m.logs})
	}
	r, err := play(plan)
	if err != nil || r.Passed() {
		return m.finish(r, err)
	}
	if err := soak.WriteSchedule(plan, m.keep); err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "the schedule stands in", m.keep)
	if m.shrink {
		smaller, err := soak.Shrink(plan, func(p soak.Plan) (bool, error) {
			again, err := play(p)
			return err == nil && !again.Passed(), err
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%d of %d faults are left\n", len(smaller.Faults), len(plan.Faults))
		if err := soak.WriteSchedule(smaller, m.keep); err != nil {
			return err
		}
	}
	return m.finish(r, nil)
}

func soaks() *cobra.Command {
	var m soakFlags
	c := &cobra.Command{
		Use: "soak", Short: "many real poolers under overlapping faults, judged by clients, hosts and the poolers' own counters", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(soak.Breakable(), m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(soak.Breakable(), ", "))
			}
			plan, err := m.draw()
			if err != nil {
				return err
			}
			return m.run(c.Context(), plan)
		},
	}
	c.Flags().IntVar(&m.poolers, "poolers", 30, "processes")
	c.Flags().IntVar(&m.clients, "clients", 6, "of each pooler")
	c.Flags().StringVar(&m.only, "only", "", "faults to draw from, with commas between; all if it is empty")
	c.Flags().BoolVar(&m.release, "release", false, "play a release by steps around a host that warms up instead")
	c.Flags().BoolVar(&m.warmUps, "warm-ups", false, "play hosts that come back under ordinary traffic with few heavy requests instead")
	c.Flags().StringVar(&m.plan, "plan", "", "play this schedule instead of drawing from the seed")
	c.Flags().StringVar(&m.keep, "keep", "failed-soak.json", "where the schedule of a run that fails goes")
	c.Flags().StringVar(&m.logs, "logs", "", "a folder for the logs of the poolers' last processes")
	c.Flags().BoolVar(&m.shrink, "shrink", false, "take faults out of a schedule that fails while it still does")
	return m.flags(c, 60*time.Second, soak.Breakable())
}

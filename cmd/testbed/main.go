// Command testbed tries, loads and measures the pooler against stand-ins on loopback addresses. Nothing of it is linked
// into the pooler.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ashstand/testbed/load"
	"ashstand/testbed/report"
)

// errBroken is a guarantee that did not hold: exit code 1. Anything else that fails is 2: it could not run.
var errBroken = errors.New("a guarantee did not hold")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch err := command().ExecuteContext(ctx); {
	case err == nil:
	case errors.Is(err, errBroken):
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(2)
	}
}

// common are the flags that every measurement has.
type common struct {
	seed     uint64
	duration time.Duration
	json     string
	breaks   string
	pooler   string
	log      bool
}

func (m *common) flags(c *cobra.Command, duration time.Duration, breakable []string) *cobra.Command {
	c.Flags().Uint64Var(&m.seed, "seed", 1, "draws the plan; sockets still vary")
	c.Flags().DurationVar(&m.duration, "duration", duration, "how long")
	c.Flags().StringVar(&m.json, "json", "", "write the result to this file as JSON; - is standard output")
	c.Flags().StringVar(&m.pooler, "pooler", "", "the pooler's program (default: ashstand beside this one)")
	c.Flags().BoolVar(&m.log, "log", false, "show the pooler's log")
	if len(breakable) > 0 {
		c.Flags().StringVar(&m.breaks, "break", "", "switch a guarantee off, so that its checker is seen to go red: "+strings.Join(breakable, ", "))
	}
	return c
}

// finish writes a result and says whether all held.
func (m *common) finish(r *report.Result, err error) error {
	if err != nil {
		return err
	}
	var lost error // of the table; what the run found goes before it
	if m.json != "-" {
		lost = r.Table(os.Stdout)
	}
	if err := r.Write(m.json); err != nil {
		return err
	}
	if !r.Passed() {
		return errBroken
	}
	return lost
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use: "testbed", Short: "try, load and measure the pooler against stand-ins", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(sessions(), try(), up(), relay(), restart(), clusters(), costs(), soaks(), floods(), floodClients(), warmupSums())
	return root
}

func sessions() *cobra.Command {
	var m common
	o := load.SessionOptions{}
	faults := "none"
	cost := false
	costs := load.CostOptions{}
	c := &cobra.Command{
		Use: "sessions", Short: "many sessions over few server connections, with failures", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(load.Breakable, m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(load.Breakable, ", "))
			}
			if faults != "all" && faults != "none" {
				return fmt.Errorf("--faults %s: it can be all or none", faults)
			}
			if cost {
				costs.Pooler, costs.Seed, costs.Log = m.pooler, m.seed, m.log
				return m.finish(load.Cost(c.Context(), costs))
			}
			o.Duration, o.Seed, o.Break, o.Pooler, o.Log, o.Faults = m.duration, m.seed, m.breaks, m.pooler, m.log, faults == "all"
			return m.finish(load.Sessions(c.Context(), o))
		},
	}
	c.Flags().IntVar(&o.Sessions, "sessions", 500, "clients")
	c.Flags().IntVar(&o.Servers, "server-connections", 64, "that the pooler may have")
	c.Flags().Float64Var(&o.Rate, "rate", 3000, "requests a second, about")
	c.Flags().StringVar(&faults, "faults", "none", "all: every kind of failure; none")
	c.Flags().BoolVar(&cost, "cost", false, "measure what the pooler costs instead: against an earlier version, a bare relay and the host")
	c.Flags().StringVar(&costs.Before, "before", "", "with --cost: an earlier version's ashstand")
	c.Flags().IntSliceVar(&costs.Clients, "clients", []int{1, 16, 256, 4096}, "with --cost: how many clients ask at once")
	c.Flags().IntVar(&costs.Servers, "cost-connections", 16, "with --cost: server connections of the pooler")
	c.Flags().DurationVar(&costs.Each, "each", 3*time.Second, "with --cost: how long each load lasts")
	return m.flags(c, 20*time.Second, load.Breakable)
}

// relay is what sessions --cost measures against, as a process of its own.
func relay() *cobra.Command {
	var listen, to string
	c := &cobra.Command{
		Use: "relay", Short: "copy bytes between clients and one host, the floor for any pooler", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return load.Relay(c.Context(), listen, to) },
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "where clients come")
	c.Flags().StringVar(&to, "to", "", "where the host listens")
	return c
}

func restart() *cobra.Command {
	var m common
	o := load.RestartOptions{}
	cost := false
	c := &cobra.Command{
		Use: "restart", Short: "kill the pooler while it writes what it learned, then compare restarts with and without it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(load.RestartBreakable, m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(load.RestartBreakable, ", "))
			}
			if o.Only != "" && !slices.Contains(load.Facts, o.Only) {
				return fmt.Errorf("--only %s: it can be %s", o.Only, strings.Join(load.Facts, ", "))
			}
			if cost {
				return m.finish(load.SnapshotCost(c.Context(), m.pooler, m.seed, []int{10, 500, 5000}, 3*time.Second))
			}
			o.Seed, o.Break, o.Pooler, o.Log = m.seed, m.breaks, m.pooler, m.log
			return m.finish(load.Restart(c.Context(), o))
		},
	}
	c.Flags().IntVar(&o.Kills, "kills", 100, "how often it is killed while it writes")
	c.Flags().BoolVar(&cost, "cost", false, "measure what keeping state costs instead")
	c.Flags().StringVar(&o.Only, "only", "", "in the comparison, keep one kind of fact alone: "+strings.Join(load.Facts, ", "))
	c.Flags().IntVar(&o.Replicas, "replicas", 40, "of the primary, in the comparison")
	c.Flags().IntVar(&o.Rounds, "rounds", 2, "restarts with the file, and as many without, that are compared")
	m.flags(c, 0, load.RestartBreakable)
	_ = c.Flags().MarkHidden("duration") // kills and rounds say how long
	return c
}

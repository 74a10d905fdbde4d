package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ashstand/internal/cluster/consensus"
	"ashstand/internal/cluster/membership"
	"ashstand/testbed/cluster"
)

// clusters are the measurements of many processes together.
func clusters() *cobra.Command {
	root := &cobra.Command{Use: "cluster", Short: "many poolers with faults between them"}
	root.AddCommand(clusterMembers(), clusterAgree(), clusterOwner(), clusterShrink(), clusterSimulate(), clusterMoves(), clusterMove())
	return root
}

// clusterFlags are those of a run of many processes.
type clusterFlags struct {
	common
	poolers, clients int
	probe            time.Duration
	faults           string
	plan, keep, page string
	lines            bool
	agree, works     bool
}

func (m *clusterFlags) add(c *cobra.Command) {
	c.Flags().IntVar(&m.poolers, "poolers", 5, "processes")
	c.Flags().IntVar(&m.clients, "clients", 4, "of each pooler")
	c.Flags().DurationVar(&m.probe, "probe", 100*time.Millisecond, "how often a pooler asks one other whether it is there")
	c.Flags().StringVar(&m.faults, "faults", "none", "all, none, or kinds with commas between: "+strings.Join(cluster.AllKinds(true), ", "))
	c.Flags().StringVar(&m.plan, "plan", "", "play this file instead of drawing from the seed")
	c.Flags().StringVar(&m.keep, "keep", "failed-plan.json", "where the plan of a run that fails goes")
	c.Flags().StringVar(&m.page, "page", "", "write the timeline as one HTML page")
	c.Flags().BoolVar(&m.lines, "timeline", false, "print the timeline, also when all held")
}

// draw is the plan that the flags ask for.
func (m *clusterFlags) draw() (cluster.Plan, error) {
	if m.plan != "" {
		return cluster.Load(m.plan)
	}
	if m.poolers < 2 || m.poolers > 64 {
		return cluster.Plan{}, fmt.Errorf("--poolers %d: allowed is 2 to 64", m.poolers)
	}
	var kinds []string
	switch m.faults {
	case "none":
	case "all":
		kinds = slices.DeleteFunc(cluster.AllKinds(m.agree), func(k string) bool { return k == "drain" }) // that one waits for agreed lists
	default:
		for _, k := range strings.Split(m.faults, ",") {
			if k = strings.TrimSpace(k); !slices.Contains(cluster.AllKinds(m.agree), k) {
				return cluster.Plan{}, fmt.Errorf("--faults %s: %q is no kind; there are %s", m.faults, k, strings.Join(cluster.AllKinds(true), ", "))
			}
			kinds = append(kinds, k)
		}
	}
	rest := time.Duration(membership.ConvergenceBoundMillis(m.poolers, m.probe)*1e6) + 6*time.Second
	if len(kinds) > 0 && m.duration < rest+3*time.Second {
		return cluster.Plan{}, fmt.Errorf("--duration %v: with faults it takes at least %v, so that what is seen at the end can be judged", m.duration, rest+3*time.Second)
	}
	calm := time.Duration(0)
	if m.works {
		rest, calm = cluster.OwnerRest, cluster.Calm(m.duration)
	}
	p := cluster.Draw(m.seed, m.poolers, m.duration-calm, m.probe, rest, kinds)
	p.Length += cluster.Millis(calm.Milliseconds())
	for i := range p.Faults {
		p.Faults[i].At += cluster.Millis(calm.Milliseconds())
	}
	p.Break = m.breaks
	return p, nil
}

func (m *clusterFlags) play(ctx context.Context, p cluster.Plan) (*cluster.Outcome, error) {
	o := cluster.Options{Plan: p, Pooler: m.pooler, Clients: m.clients, Log: m.log}
	if m.works {
		return cluster.RunJobs(ctx, o)
	}
	if m.agree {
		return cluster.RunConsensus(ctx, o)
	}
	return cluster.RunMembership(ctx, o)
}

// done writes what a run leaves.
func (m *clusterFlags) done(out *cluster.Outcome) error {
	failed := !out.Result.Passed()
	if failed || m.lines {
		_ = out.Print(os.Stderr) // there is nowhere else to report it
	}
	if m.page != "" {
		if err := out.Page(m.page); err != nil {
			return err
		}
	}
	if failed && m.keep != "" {
		if err := out.Plan.Save(m.keep); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "seed %d; play it again with --plan %s\n", out.Plan.Seed, m.keep)
	}
	return m.finish(out.Result, nil)
}

func clusterMembers() *cobra.Command {
	return clusterRun("members", "who the poolers believe to be there, through dropped links, stalls, crashes and partitions", false, membership.BreakableGuarantees)
}

func clusterAgree() *cobra.Command {
	return clusterRun("agree", "rules that the poolers agree on, proposed all along while links, processes and folders fail", true, consensus.BreakableGuarantees)
}

func clusterOwner() *cobra.Command {
	c := clusterRun("owner", "works that one pooler at a time does for all, while owners, links, processes and folders fail", true, cluster.JobsBreakable)
	return c
}

func clusterRun(name, short string, agreement bool, breakable []string) *cobra.Command {
	m := clusterFlags{agree: agreement, works: name == "owner"}
	c := &cobra.Command{
		Use: name, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(breakable, m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(breakable, ", "))
			}
			p, err := m.draw()
			if err != nil {
				return err
			}
			out, err := m.play(c.Context(), p)
			if err != nil {
				return err
			}
			return m.done(out)
		},
	}
	m.add(c)
	return m.flags(c, 60*time.Second, breakable)
}

func clusterShrink() *cobra.Command {
	var m clusterFlags
	tries := 30
	c := &cobra.Command{
		Use: "shrink PLAN", Short: "take faults out of a plan for as long as it still fails", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := cluster.Load(args[0])
			if err != nil {
				return err
			}
			var last *cluster.Outcome
			failed := func(p cluster.Plan) (bool, error) {
				out, err := m.play(c.Context(), p)
				if err != nil {
					return false, err
				}
				bad := !out.Result.Passed()
				fmt.Fprintf(os.Stderr, "%d faults: failed %v\n", len(p.Faults), bad)
				if bad {
					last = out
				}
				return bad, nil
			}
			if bad, err := failed(p); err != nil {
				return err
			} else if !bad {
				return errors.New("the plan does not fail; real sockets vary, so try again")
			}
			if p, err = cluster.Shrink(p, tries, failed); err != nil {
				return err
			}
			last.Plan = p
			return m.done(last)
		},
	}
	c.Flags().IntVar(&tries, "tries", tries, "plays at the most")
	c.Flags().IntVar(&m.clients, "clients", 4, "of each pooler")
	c.Flags().BoolVar(&m.agree, "agree", false, "the plan is one of cluster agree")
	c.Flags().StringVar(&m.keep, "keep", "small-plan.json", "where the smaller plan goes")
	c.Flags().StringVar(&m.page, "page", "", "write the timeline as one HTML page")
	c.Flags().StringVar(&m.pooler, "pooler", "", "the pooler's program (default: ashstand beside this one)")
	c.Flags().StringVar(&m.json, "json", "", "write the result to this file as JSON; - is standard output")
	return c
}

func clusterSimulate() *cobra.Command {
	var m common
	schedules, length, cores := 1000, 3500*time.Millisecond, runtime.NumCPU()
	c := &cobra.Command{
		Use: "simulate", Short: "the agreement on versions through drawn messages, crashes and clocks, without sockets", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(consensus.BreakableGuarantees, m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(consensus.BreakableGuarantees, ", "))
			}
			if schedules < 1 || length < 3*time.Second || cores < 1 {
				return errors.New("--schedules and --cores take at least 1, --length at least 3s")
			}
			return m.finish(cluster.SimulateMany(c.Context(), m.seed, schedules, float64(length.Milliseconds()), m.breaks, cores), nil)
		},
	}
	c.Flags().IntVar(&schedules, "schedules", schedules, "how many, from the seed on; each is a seed of its own")
	c.Flags().DurationVar(&length, "length", length, "of one, in its own time")
	c.Flags().IntVar(&cores, "cores", cores, "that play schedules side by side")
	m.flags(c, 0, consensus.BreakableGuarantees)
	_ = c.Flags().MarkHidden("duration") // schedules and length say how long
	return c
}

package main

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"ashstand/internal/cluster/migration"
	"ashstand/testbed/cluster"
)

func clusterMoves() *cobra.Command {
	var m common
	schedules, cores := 1000, runtime.NumCPU()
	breakable := append(slices.Clone(migration.Guarantees), "token", "number", "sequence")
	c := &cobra.Command{
		Use: "moves", Short: "moves of tenants through failovers, owners that die or come late, and operators, without sockets", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(breakable, m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(breakable, ", "))
			}
			if schedules < 1 || cores < 1 {
				return errors.New("--schedules and --cores take at least 1")
			}
			return m.finish(cluster.SimulateManyMigrations(c.Context(), m.seed, schedules, m.breaks, cores), nil)
		},
	}
	c.Flags().IntVar(&schedules, "schedules", schedules, "how many, from the seed on; each is a seed of its own")
	c.Flags().IntVar(&cores, "cores", cores, "that play schedules side by side")
	m.flags(c, 0, breakable)
	_ = c.Flags().MarkHidden("duration") // schedules say how long
	return c
}

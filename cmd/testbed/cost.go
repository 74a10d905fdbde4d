package main

import (
	"fmt"
	"runtime"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"ashstand/testbed/cost"
)

// costs measures the estimates of what plans cost.
func costs() *cobra.Command {
	var m common
	o := cost.Options{Seeds: 20, Cores: runtime.NumCPU(), Sockets: true}
	c := &cobra.Command{
		Use: "cost", Short: "estimates of what plans cost, against truth that is known", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(cost.Breakable, m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(cost.Breakable, ", "))
			}
			o.Seed, o.Break = m.seed, m.breaks
			return m.finish(cost.Run(c.Context(), o))
		},
	}
	c.Flags().IntVar(&o.Seeds, "seeds", o.Seeds, "worlds, from the seed on")
	c.Flags().IntVar(&o.Cores, "cores", o.Cores, "that measure worlds side by side")
	c.Flags().BoolVar(&o.Sockets, "sockets", o.Sockets, "also run plans on loopback hosts that really take their time")
	m.flags(c, 0, cost.Breakable)
	for _, name := range []string{"duration", "pooler", "log"} { // seeds say how long, and no pooler is started
		_ = c.Flags().MarkHidden(name)
	}
	return c
}

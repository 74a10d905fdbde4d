package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ashstand/internal/cluster/migration"
	"ashstand/testbed/cluster"
)

func clusterMove() *cobra.Command {
	m := clusterFlags{agree: true}
	groups, tenants := 3, 8
	c := &cobra.Command{
		Use: "move", Short: "tenants that move between groups of db hosts while sessions use them, operators give words, and processes, links and homes fail", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.breaks != "" && !slices.Contains(migration.Guarantees, m.breaks) {
				return fmt.Errorf("--break %s: it can be %s", m.breaks, strings.Join(migration.Guarantees, ", "))
			}
			if groups < 2 || groups > 8 || tenants < 1 || tenants > 32 {
				return fmt.Errorf("--groups %d --tenants %d: allowed are 2 to 8, and 1 to 32", groups, tenants)
			}
			p, err := m.draw()
			if err != nil {
				return err
			}
			out, err := cluster.RunMigrations(c.Context(), cluster.Options{Plan: p, Pooler: m.pooler, Log: m.log, Groups: groups, Tenants: tenants})
			if err != nil {
				return err
			}
			return m.done(out)
		},
	}
	m.add(c)
	c.Flags().IntVar(&groups, "groups", groups, "of db hosts, a primary and two standbys each")
	c.Flags().IntVar(&tenants, "tenants", tenants, "databases, at all groups in turn")
	m.flags(c, 60*time.Second, migration.Guarantees)
	_ = c.Flags().MarkHidden("clients") // one session of each tenant at each pooler
	return c
}

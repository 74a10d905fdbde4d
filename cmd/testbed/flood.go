package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ashstand/testbed/flood"
)

// floodFlags are those of the floods.
type floodFlags struct {
	common
	kind, front string
	connections int
	memory      int
	core        bool
}

// plan is the plan that the flags ask for.
func (m *floodFlags) plan() (flood.Plan, error) {
	var kinds []flood.Kind
	var fronts []flood.Front
	if m.kind != "" {
		kinds = append(kinds, flood.Kind(m.kind))
	}
	if m.front != "" {
		fronts = append(fronts, flood.Front(m.front))
	}
	if m.kind != "" && !slices.Contains(flood.AllKinds(), kinds[0]) {
		return flood.Plan{}, fmt.Errorf("--kind %s: there are %q", m.kind, flood.AllKinds())
	}
	if m.front != "" && !slices.Contains(flood.Fronts(), fronts[0]) {
		return flood.Plan{}, fmt.Errorf("--front %s: there are %q", m.front, flood.Fronts())
	}
	p := flood.Draw(m.seed, m.duration, kinds, fronts)
	if m.memory > 0 {
		p.MemoryMB = m.memory
	}
	if m.connections > 0 {
		p.Waves = p.Waves[:1]
		p.Waves[0].Connections = m.connections
	}
	return p, nil
}

// floodClients is the process of one wave; testbed flood starts it.
func floodClients() *cobra.Command {
	return &cobra.Command{
		Use: flood.ClientsCommand + " WAVE ADDRESS", Short: "the clients of one flood", Args: cobra.ExactArgs(2), Hidden: true,
		RunE: func(c *cobra.Command, args []string) error {
			return flood.PlayAndReport(c.Context(), args[0], args[1], os.Stdout)
		},
	}
}

func floods() *cobra.Command {
	var m floodFlags
	c := &cobra.Command{
		Use: "flood", Short: "clients that flood one pooler, and what others see beside them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := m.plan()
			if err != nil {
				return err
			}
			var waves []string
			for _, w := range p.Waves {
				waves = append(waves, fmt.Sprintf("%d x %s at %s", w.Connections, w.Kind, w.Front))
			}
			fmt.Printf("%s; %d MB\n", strings.Join(waves, ", "), p.MemoryMB)
			return m.finish(flood.Run(c.Context(), flood.Options{Plan: p, Pooler: m.pooler, Core: m.core, Log: m.log}))
		},
	}
	c.Flags().StringVar(&m.kind, "kind", "", "what floods; drawn if it is empty")
	c.Flags().StringVar(&m.front, "front", "", "where it arrives; drawn if it is empty")
	c.Flags().IntVar(&m.connections, "connections", 0, "of one wave; drawn if it is 0")
	c.Flags().IntVar(&m.memory, "memory", 0, "the pooler's limit in MB; drawn if it is 0")
	c.Flags().BoolVar(&m.core, "core", true, "keep the pooler on one core")
	return m.flags(c, 6*time.Second, nil)
}

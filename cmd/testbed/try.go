package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ashstand/testbed/fleet"
	"ashstand/testbed/load"
)

func try() *cobra.Command {
	var m common
	c := &cobra.Command{
		Use: "try", Short: "start a small fleet and a pooler, play ten seconds of load with a failover, print a table", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o := load.TryOptions{Duration: m.duration, Seed: m.seed, Pooler: m.pooler, Log: m.log}
			if s, err := os.Stderr.Stat(); err == nil && s.Mode()&os.ModeCharDevice != 0 {
				o.Progress = os.Stderr
			}
			return m.finish(load.Try(c.Context(), o))
		},
	}
	return m.flags(c, 10*time.Second, nil)
}

func up() *cobra.Command {
	var o fleet.Options
	c := &cobra.Command{
		Use: "up", Short: "start a small fleet and a pooler, print their addresses as JSON, and stay until SIGINT", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := fleet.Start(o)
			if err != nil {
				return err
			}
			defer f.Stop()
			hosts := map[string]string{}
			for _, h := range f.Hosts {
				hosts[h.Name] = h.Address
			}
			b, err := json.Marshal(map[string]any{
				"pooler": f.Pooler.Sessions, "statement": f.Pooler.Statement, "admin": f.Pooler.Admin,
				"discovery": f.Registry.Address, "hosts": hosts,
			})
			if err != nil {
				return err
			}
			fmt.Println(string(b))
			select {
			case <-c.Context().Done():
				return nil
			case <-f.Pooler.Ended():
				return f.Pooler.EndedError()
			}
		},
	}
	c.Flags().StringVar(&o.Pooler, "pooler", "", "the pooler's program (default: ashstand beside this one)")
	c.Flags().IntVar(&o.Replicas, "replicas", 2, "of the primary")
	c.Flags().DurationVar(&o.Lag, "lag", 20*time.Millisecond, "of the replicas")
	c.Flags().IntVar(&o.Clients, "clients", 200, "sessions at once")
	c.Flags().IntVar(&o.Servers, "server-connections", 32, "that the pooler may have for them")
	c.Flags().BoolVar(&o.Log, "log", false, "show the pooler's log")
	return c
}

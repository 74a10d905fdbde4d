package main

import (
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"ashstand/testbed/warmups"
)

func warmupSums() *cobra.Command {
	return &cobra.Command{
		Use: "warmups LOG...", Short: "what all poolers together sent to hosts that warmed up, by their logs, one of each pooler", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			var logs []io.Reader
			for _, path := range paths {
				f, err := os.Open(filepath.Clean(path))
				if err != nil {
					return err
				}
				defer f.Close()
				logs = append(logs, f)
			}
			rows, err := warmups.Sum(logs...)
			if err != nil {
				return err
			}
			warmups.Print(c.OutOrStdout(), rows)
			return nil
		},
	}
}

package main

import (
	"bytes"
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
				log, err := os.ReadFile(filepath.Clean(path))
				if err != nil {
					return err
				}
				logs = append(logs, bytes.NewReader(log))
			}
			rows, err := warmups.Sum(logs...)
			if err != nil {
				return err
			}
			return warmups.Print(c.OutOrStdout(), rows)
		},
	}
}

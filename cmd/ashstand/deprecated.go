package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// deprecatedCommand gives a second copy of a command, with its subcommands, the name that it had before. It is not listed,
// and one line on standard error names the replacement whenever it is used.
func deprecatedCommand(c *cobra.Command, old, replacement string) *cobra.Command {
	_, arguments, _ := strings.Cut(c.Use, " ")
	name := old[strings.LastIndexByte(old, ' ')+1:] // of a subcommand old is the whole path
	c.Use = strings.TrimSpace(name + " " + arguments)
	c.Hidden = true
	c.PersistentPreRun = func(c *cobra.Command, _ []string) {
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "ashstand: command %s is deprecated: use %s\n", old, replacement)
	}
	return c
}

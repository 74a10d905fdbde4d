package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/cluster/jobs/noop"
)

// Actions whose approval is persistent: it still counts at later steps.
var persistentActions = map[string]bool{"stop": true, "rollback": true}

// errStepMissing is an approval without the step that it is for.
var errStepMissing = errors.New("--step names the step that the approval is given for, as ashstand jobs list shows it")

// jobCommandTree builds the commands that show jobs and bring requests in.
type jobCommandTree struct {
	ask     func(*cobra.Command) *cobra.Command
	view    func(name string, out any, table func(*bufio.Writer)) func(*cobra.Command, []string) error
	address func() (string, error)
}

// command returns the commands under their present names.
func (t *jobCommandTree) command() *cobra.Command {
	root := &cobra.Command{Use: "jobs", Short: "what one pooler at a time carries out on behalf of all"}
	var v jobsView
	root.AddCommand(t.noop(), t.approve(), t.list("jobs", &v, func() jobsView { return v }))
	return root
}

// legacyCommand returns the commands under the names of earlier versions. Its JSON has the keys of earlier versions.
func (t *jobCommandTree) legacyCommand() *cobra.Command {
	var v legacyJobsView
	root := &cobra.Command{Use: "jobs", Short: "what one pooler at a time carries out on behalf of all"}
	root.AddCommand(
		deprecatedCommand(t.noop(), "works drill", "jobs noop"),
		deprecatedCommand(t.approve(), "works say", "jobs approve"),
		deprecatedCommand(t.list("works", &v, v.standard), "works list", "jobs list"),
	)
	return deprecatedCommand(root, "works", "jobs")
}

func (t *jobCommandTree) list(name string, out any, standard func() jobsView) *cobra.Command {
	return t.ask(&cobra.Command{
		Use: "list", Short: "list jobs with their lease holders, tokens and what they wait for", Args: cobra.NoArgs,
		RunE: t.view(name, out, func(w *bufio.Writer) {
			v := standard()
			writeJobTable(w, &v)
		}),
	})
}

func (t *jobCommandTree) noop() *cobra.Command {
	var spec noop.Spec
	var groups []uint
	c := &cobra.Command{
		Use: "noop NAME", Short: "have one lease holder at a time write rows behind the fence of each group, to see that jobs are carried out",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, group := range groups {
				spec.Groups = append(spec.Groups, uint64(group))
			}
			return t.create(c.OutOrStdout(), args[0], &spec)
		},
	}
	flags := c.Flags()
	flags.StringVar(&spec.Database, "database", "", "whose fence rows are raised; the schema ashstand is created there")
	flags.UintSliceVar(&groups, "groups", nil, "of database hosts")
	flags.IntVar(&spec.Operations, "operations", defaultNoopOperations, "rows to write")
	flags.Float64Var(&spec.IntervalMillis, "interval-ms", defaultNoopIntervalMillis, "from one row to the next")
	flags.IntVar(&spec.Operations, "deeds", defaultNoopOperations, "rows to write")
	flags.Float64Var(&spec.IntervalMillis, "every-ms", defaultNoopIntervalMillis, "from one row to the next")
	_ = flags.MarkDeprecated("deeds", "use --operations") // both flags are there
	_ = flags.MarkDeprecated("every-ms", "use --interval-ms")
	return t.ask(c)
}

// What a noop job does without flags.
const (
	defaultNoopOperations     = 20
	defaultNoopIntervalMillis = 500
)

func (t *jobCommandTree) create(out io.Writer, name string, spec *noop.Spec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	if err := t.request(jobRequest{Create: &createJobRequest{Name: name, Kind: kindNoop, Spec: encoded}}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "the job %s is in the log; ashstand jobs list shows it\n", name)
	return err
}

func (t *jobCommandTree) approve() *cobra.Command {
	var step uint64
	c := &cobra.Command{
		Use: "approve NAME ACTION", Short: "approve an action for the step that jobs list shows", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if !c.Flags().Changed("step") {
				return errStepMissing
			}
			return t.request(jobRequest{Approve: &approveJobRequest{
				Name: args[0], Action: args[1], By: os.Getenv("USER"), Step: step, Persistent: persistentActions[args[1]],
			}})
		},
	}
	c.Flags().Uint64Var(&step, "step", 0, "that the approval is given for")
	return t.ask(c)
}

// request brings a request to the running pooler.
func (t *jobCommandTree) request(request jobRequest) error {
	address, err := t.address()
	if err != nil {
		return err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	var response jobResponse
	return admin.Invoke(address, "jobs", body, &response)
}

package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cluster/migration"
)

// migrateCommands order migrations, show them and give approvals.
type migrateCommands struct {
	ask     func(*cobra.Command) *cobra.Command // adds the flags of commands that ask a running pooler
	asJSON  func() bool
	address func() (string, error) // of the pooler's admin socket
}

// newMigrateCommand returns the command with its subcommands.
func newMigrateCommand(ask func(*cobra.Command) *cobra.Command, asJSON func() bool, address func() (string, error)) *cobra.Command {
	commands := &migrateCommands{ask: ask, asJSON: asJSON, address: address}
	root := &cobra.Command{Use: "migrate", Short: "take a database from one group of db hosts to another while it is in use"}
	root.AddCommand(ask(commands.plan()), ask(commands.start()), ask(commands.status()))
	for _, approval := range []struct{ action, short string }{
		{migration.ActionGo, "let a migration pass the checkpoint that it waits at"},
		{migration.ActionPause, "begin nothing further until resume; a tenant that is paused opens where it was"},
		{migration.ActionResume, "go on with a migration that is held"},
		{migration.ActionRollback, "take a migration back"},
		{migration.ActionAccept, "end the way back of a migration that has switched"},
	} {
		root.AddCommand(ask(commands.approve(approval.action, approval.short)))
	}
	return root
}

// migrateResponse names the job that a request was about, by the present key and by that of the first release.
type migrateResponse struct {
	Job       string `json:"job"`
	LegacyJob string `json:"work"`
}

// request brings a request about a migration to the running pooler.
func (m *migrateCommands) request(c *cobra.Command, request jobRequest, message string) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	address, err := m.address()
	if err != nil {
		return err
	}
	var response jobResponse
	if err := admin.Invoke(address, "jobs", body, &response); err != nil {
		return err
	}
	if m.asJSON() {
		return printJSON(c.OutOrStdout(), migrateResponse{Job: response.Job, LegacyJob: response.Job})
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), message)
	return err
}

func (m *migrateCommands) plan() *cobra.Command {
	return &cobra.Command{
		Use:   "plan FILE",
		Short: "say whether a plan can be kept here, and what is wrong with it; nothing is begun",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			address, err := m.address()
			if err != nil {
				return err
			}
			var view migrationPlanView
			if err := admin.Invoke(address, "migration-plan", text, &view); err != nil {
				return err
			}
			if m.asJSON() {
				return printJSON(c.OutOrStdout(), &view)
			}
			w := bufio.NewWriter(c.OutOrStdout())
			writePlanTable(w, &view)
			return w.Flush()
		},
	}
}

func (m *migrateCommands) start() *cobra.Command {
	var name string
	c := &cobra.Command{
		Use:   "start FILE",
		Short: "order the migration of a plan",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			job := name
			if job == "" {
				var plan migration.Plan
				_ = json.Unmarshal(text, &plan) // what is wrong with it is said by whoever validates it
				job = fmt.Sprintf("%s-to-%d", plan.Tenant, plan.To)
			}
			create := &createJobRequest{Name: job, Kind: migration.JobKind, Spec: text}
			return m.request(c, jobRequest{Create: create}, "the migration "+job+" is in the log; ashstand migrate status "+job+" shows it")
		},
	}
	c.Flags().StringVar(&name, "name", "", "of the migration (default: TENANT-to-GROUP)")
	return c
}

func (m *migrateCommands) status() *cobra.Command {
	return &cobra.Command{
		Use:   "status [NAME]",
		Short: "show migrations: their state, what each waits for, and what each word would do",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			address, err := m.address()
			if err != nil {
				return err
			}
			var view migrationsView
			if err := admin.Get(address, "migrations", &view); err != nil {
				return err
			}
			if !view.On {
				return jobsDisabledError{}
			}
			if len(args) > 0 {
				if err := view.selectOne(args[0]); err != nil {
					return err
				}
			}
			if m.asJSON() {
				return printJSON(c.OutOrStdout(), &view)
			}
			w := bufio.NewWriter(c.OutOrStdout())
			writeMigrationTable(w, &view)
			return w.Flush()
		},
	}
}

// selectOne leaves the migration of a name.
func (v *migrationsView) selectOne(name string) error {
	isOther := func(m migrationView) bool { return m.Name != name }
	v.Migrations = slices.DeleteFunc(v.Migrations, isOther)
	v.Present = slices.DeleteFunc(v.Present, isOther)
	if len(v.Migrations) == 0 {
		return &jobs.RejectedError{Reason: jobs.RejectUnknownJob, Job: name}
	}
	return nil
}

func (m *migrateCommands) approve(action, short string) *cobra.Command {
	var step uint64
	c := &cobra.Command{
		Use:   action + " NAME --step N",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !c.Flags().Changed("step") {
				return errors.New("--step names the step that the word is given for, as ashstand migrate status shows it")
			}
			approve := &approveJobRequest{Name: args[0], Action: action, By: os.Getenv("USER"), Step: step, Persistent: action == migration.ActionRollback}
			return m.request(c, jobRequest{Approve: approve}, "the word is in the log; ashstand migrate status "+args[0]+" shows what becomes of it")
		},
	}
	c.Flags().Uint64Var(&step, "step", 0, "that the word is given for")
	return c
}

func writePlanTable(w *bufio.Writer, view *migrationPlanView) {
	plan := view.Plan
	fmt.Fprintf(w, "tenant %s from group %d to group %d\n", plan.Tenant, plan.From, plan.To)
	fmt.Fprintf(w, "no pause is longer than %.0f ms; here %.0f could be kept at the least; one without its switch after %.0f ms is taken back\n",
		plan.MaxPauseMillis, view.MinPauseMillis, view.CutoffMillis)
	fmt.Fprintf(w, "writers are waited for %.0f ms, then they %s; %d pauses may be taken back, %.0f ms apart\n", plan.FenceWaitMillis,
		map[string]string{migration.BlockingSessionsEnd: "are ended", migration.BlockingSessionsWait: "are waited for again"}[plan.BlockingSessions],
		plan.MaxAbortedPauses, plan.BackoffMillis)
	names := make([]string, 0, len(plan.Checkpoints))
	for _, checkpoint := range plan.Checkpoints {
		names = append(names, string(checkpoint))
	}
	fmt.Fprintf(w, "waits for a word at: %s; the old copy: %s\n", strings.Join(names, ", "), plan.OldCopy)
	for i := range view.CheckResults {
		result := &view.CheckResults[i]
		kind := "in the way"
		if result.Informational {
			kind = "to be known"
		}
		fmt.Fprintf(w, "%s: %s; what to do: %s\n", kind, result.Error(), result.Advice())
	}
}

func writeMigrationTable(w *bufio.Writer, view *migrationsView) {
	if len(view.Migrations) == 0 {
		fmt.Fprintln(w, "there are no moves")
	}
	for i := range view.Migrations {
		writeMigration(w, &view.Migrations[i])
	}
}

func writeMigration(w *bufio.Writer, m *migrationView) {
	fmt.Fprintf(w, "%s: tenant %s from group %d to group %d\n", m.Name, m.Plan.Tenant, m.Plan.From, m.Plan.To)
	fmt.Fprintf(w, "  state    %s", m.State.Phase)
	if m.State.Reverse {
		fmt.Fprint(w, ", on the way back")
	}
	if m.State.HoldReason != "" {
		fmt.Fprintf(w, ", held: %s", m.State.HoldReason)
	}
	fmt.Fprintf(w, "; seen here since %s\n", time.UnixMilli(int64(m.SinceMillis)).UTC().Format(time.DateTime))
	fmt.Fprintf(w, "  step     %d", m.Step)
	if m.Operation != "" {
		fmt.Fprintf(w, ", %s under way", m.Operation)
	}
	fmt.Fprintf(w, "; owner %s under token %d, the %d. so far\n", cmp.Or(m.Owner, "-"), m.Token, m.Owners)
	for _, line := range stateLines(m.State) {
		fmt.Fprintf(w, "  shown    %s\n", line)
	}
	if m.Ended {
		fmt.Fprintf(w, "  ended    %s\n", cmp.Or(m.EndReason, string(m.State.Phase)))
		return
	}
	if m.WaitsFor != "" {
		fmt.Fprintf(w, "  waits    %s\n", m.WaitsFor)
	}
	if m.Message != "" {
		fmt.Fprintf(w, "  trouble  %s (%s); what to do: %s\n", m.Message, m.Code, m.Advice)
	}
	if m.Approval != nil {
		fmt.Fprintf(w, "  given    %s by %s for step %d\n", m.Approval.Action, cmp.Or(m.Approval.By, "-"), m.Approval.Step)
	}
	for _, option := range m.Options {
		fmt.Fprintf(w, "  word     %s: %s\n", option.Action, option.Effect)
	}
	fmt.Fprintf(w, "  back     %s\n", m.RollbackEffect)
}

// stateLines say what a state rests on.
func stateLines(state migration.State) (out []string) {
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if state.Published {
		complete := ""
		if state.Copy.Complete {
			complete = ", all tables"
		}
		add("copied up to %q%s; begun anew %d times", state.Copy.LastTable, complete, state.Copy.Restarts)
	}
	if c := state.Comparison; c.EqualRanges+c.ChangedRanges > 0 {
		add("%d ranges found equal, %d left for the pause since they changed meanwhile", c.EqualRanges, c.ChangedRanges)
	}
	if pause := state.Pause; pause != nil {
		if pause.Fence != nil {
			add("the home is fenced on timeline %d at %v", pause.Fence.Timeline, pause.Fence.LSN)
		}
		if pause.Verified {
			add("%d ranges and %d reads held against each other in the pause: equal", pause.RangesRead, pause.QueriesReplayed)
		}
	}
	for i := range state.BlockingSessions {
		add("%s", state.BlockingSessions[i].Error())
	}
	for i := range state.Differences {
		add("%s", state.Differences[i].Error())
	}
	for _, lost := range state.LostCommits {
		add("lost: %s", lost)
	}
	for _, note := range state.Notes {
		add("%s", note)
	}
	if state.ReverseReplicating {
		add("the old home is fed from the new one")
	}
	if state.RollbackReason != "" {
		add("taken back: %s", state.RollbackReason)
	}
	return out
}

// Command ashstand is the pooler: it takes requests from clients, asks the decision module where each goes,
// and exchanges it with a db host. Its other commands check its files and ask a pooler that runs.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ashstand/internal/admin"
	"ashstand/internal/net/discovery"
	"ashstand/internal/net/pg"
	"ashstand/internal/operator"
)

func main() {
	if err := command().Execute(); err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "ashstand:", line)
		}
		os.Exit(1)
	}
}

// logTo sets the log up as the operator's file has it.
func logTo(w io.Writer, l operator.Log) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level)) // the file was checked
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, options)))
	} else {
		slog.SetDefault(slog.New(slog.NewTextHandler(w, options)))
	}
}

func command() *cobra.Command {
	var file, at string
	var asJSON bool
	root := &cobra.Command{
		Use: "ashstand", Short: "a pooler for a replicated database",
		Long: "A pooler for a replicated database. Without a command it serves, as the platform starts it.\n" +
			"EDGE_CONFIG names the platform's configuration; the operator's own settings stand in " + operatorFile + ".",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.PersistentFlags().StringVar(&file, "file", operatorFile, "the operator's file")
	must := func() bool { return root.PersistentFlags().Changed("file") }
	run := func(*cobra.Command, []string) error { return runPooler(file, must()) }
	root.RunE = run
	ask := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&at, "admin", "", "where the pooler answers: unix:PATH or host:port (default: as the operator's file says)")
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of a table")
		return c
	}
	address := func() (string, error) {
		if at != "" {
			return at, nil
		}
		f, err := operator.Load(file, must())
		if err != nil {
			return "", err
		}
		if f.Admin.Listen == "" {
			return "", fmt.Errorf("%s has no admin.listen; name the pooler with --admin", file)
		}
		return f.Admin.Listen, nil
	}
	// view asks for one view and prints it.
	view := func(name string, out any, table func(w *bufio.Writer)) func(*cobra.Command, []string) error {
		return func(c *cobra.Command, _ []string) error {
			a, err := address()
			if err != nil {
				return err
			}
			if asJSON || table == nil {
				var raw []byte
				if err := admin.Get(a, name, &raw); err != nil {
					return err
				}
				_, err = c.OutOrStdout().Write(raw)
				return err
			}
			if err := admin.Get(a, name, out); err != nil {
				return err
			}
			columns := tabwriter.NewWriter(c.OutOrStdout(), 0, 8, 2, ' ', 0)
			w := bufio.NewWriter(columns)
			table(w)
			return errors.Join(w.Flush(), columns.Flush())
		}
	}
	var sessions pg.SessionStats
	var hosts []hostView
	var stats statsView
	var captureOut string
	play := &cobra.Command{
		Use: "replay CAPTURE", Short: "bring the queries of a capture file to the db hosts, at the pace at which they were sent",
		Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error { return replay(args[0], captureOut, file, must()) },
	}
	play.Flags().StringVar(&captureOut, "out", "", "write the conversations with this time's answers, as pcapng")
	configuration := &cobra.Command{Use: "config", Short: "what a pooler is set to"}
	configuration.AddCommand(ask(&cobra.Command{
		Use: "show", Short: "print the settings that are in force in the pooler that runs", Args: cobra.NoArgs,
		RunE: view("config", nil, nil),
	}))
	jobCommands := jobCommandTree{ask: ask, view: view, address: address}
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "run the pooler, as the bare name does", Args: cobra.NoArgs, RunE: run},
		&cobra.Command{
			Use: "check FILE", Short: "say whether an operator's file can be used, and what is wrong with it", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error { return check(c.OutOrStdout(), args[0]) },
		},
		configuration,
		ask(&cobra.Command{
			Use: "hosts", Short: "list the db hosts that the pooler knows, with its session connections to each", Args: cobra.NoArgs,
			RunE: view("hosts", &hosts, func(w *bufio.Writer) { hostTable(w, hosts) }),
		}),
		ask(&cobra.Command{
			Use: "sessions", Short: "show the sessions that the pooler carries, and what became of lost ones", Args: cobra.NoArgs,
			RunE: view("sessions", &sessions, func(w *bufio.Writer) { sessionTable(w, &sessions) }),
		}),
		ask(&cobra.Command{
			Use: "stats", Short: "show what the pooler counts: closes, rejections and retries by reason, and rules that did not hold", Args: cobra.NoArgs,
			RunE: view("stats", &stats, func(w *bufio.Writer) { statsTable(w, &stats) }),
		}),
		play,
		stateCommands(),
		clusterCommands(ask, view, address),
		jobCommands.command(),
		jobCommands.legacyCommand(),
		newMigrateCommand(ask, func() bool { return asJSON }, address),
		deprecatedCommand(newMigrateCommand(ask, func() bool { return asJSON }, address), "move", "migrate"),
		costCommands(ask, func() bool { return asJSON }, address),
		&cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), version())
			return err
		}},
	)
	return root
}

// printJSON is what commands print where --json is given.
func printJSON(w io.Writer, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		_, err = fmt.Fprintf(w, "%s\n", b)
	}
	return err
}

// check reads an operator's file as a start would; with EDGE_CONFIG it looks at the classes and limits too.
func check(w io.Writer, path string) error {
	f, err := operator.Load(path, true)
	if err != nil {
		return err
	}
	if os.Getenv("EDGE_CONFIG") == "" {
		_, err = fmt.Fprintf(w, "%s: good; its classes and sizes were not checked, since EDGE_CONFIG names no configuration\n", path)
		return err
	}
	cfg, err := load(os.Getenv, nil)
	if err != nil {
		return err
	}
	if err = cfg.operate(f.Path, true); err != nil {
		return err
	}
	if _, err = derive(cfg); err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: good\n", path)
	return err
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "ashstand, built without module information"
	}
	of := map[string]string{}
	for _, s := range info.Settings {
		of[s.Key] = s.Value
	}
	rev := of["vcs.revision"]
	if rev == "" {
		rev = "unknown revision"
	}
	if of["vcs.modified"] == "true" {
		rev += " with changes"
	}
	return fmt.Sprintf("ashstand %s, %s", rev, info.GoVersion)
}

// hostView is a db host as operators see it.
type hostView struct {
	Name    string         `json:"name"`
	Address string         `json:"address"`
	Group   uint64         `json:"group"`
	Status  string         `json:"status"`
	Part    string         `json:"part"` // as the list has it, which may be late
	Pools   []pg.HostStats `json:"pools"`
}

func hostTable(w *bufio.Writer, hosts []hostView) {
	fmt.Fprintln(w, "HOST\tADDRESS\tGROUP\tSTATUS\tLISTED AS\tDATABASE\tUSER\tOPEN\tIDLE\tWAITING")
	for _, h := range hosts {
		if len(h.Pools) == 0 {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t-\t-\t0\t0\t0\n", h.Name, h.Address, h.Group, h.Status, h.Part)
		}
		for _, p := range h.Pools {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", h.Name, h.Address, h.Group, h.Status, h.Part, p.Database, p.User, p.Open, p.Idle, p.Waiting)
		}
	}
}

func sessionTable(w *bufio.Writer, s *pg.SessionStats) {
	for _, r := range []struct {
		name  string
		value any
	}{
		{"clients", s.Clients},
		{"with a server connection", s.Linked},
		{"waiting for one", s.Waiting},
		{"server connections", s.Servers},
		{"of these unused", s.ServersIdle},
		{"transactions", s.Transactions},
		{"settings restored", s.SettingsRestored},
		{"statements prepared again", s.StatementsReprepared},
		{"statements held", fmt.Sprintf("%d (%d bytes)", s.Statements, s.StatementBytes)},
		{"refused", s.Rejected},
		{"cancels", s.Cancels},
		{"lost, rolled back", s.LostSafe},
		{"lost, in doubt", s.LostInDoubt},
		{"lost, unnoticed", s.LostUnnoticed},
		{"idle in a transaction for too long", s.IdleInTransaction},
		{"paused for slow peers", s.ReadsPaused},
		{"held, since their database is paused", s.PausedTransactions},
		{"turned away by a host and run again", s.RejectedByHost},
	} {
		fmt.Fprintf(w, "%s\t%v\n", r.name, r.value)
	}
	causes := make([]string, 0, len(s.Sticky))
	for c, n := range s.Sticky {
		if n > 0 {
			causes = append(causes, fmt.Sprintf("bound to its connection: %s\t%d", c, n))
		}
	}
	slices.Sort(causes)
	for _, c := range causes {
		fmt.Fprintln(w, c)
	}
}

// views are what the pooler tells its operators.
func (n *node) views() map[string]func() any {
	return map[string]func() any{
		"sessions": func() any {
			if n.pooled == nil {
				return pg.SessionStats{}
			}
			return n.pooled.Stats()
		},
		"hosts": func() any {
			pools := map[string][]pg.HostStats{}
			if n.pooled != nil {
				for _, h := range n.pooled.Stats().Hosts {
					pools[h.Host] = append(pools[h.Host], h)
				}
			}
			out := []hostView{}
			for _, e := range *n.list.Load() {
				out = append(out, hostView{e.Name, e.Address, e.Group, e.Status, e.Role, pools[e.Name]})
			}
			slices.SortFunc(out, func(a, b hostView) int { return strings.Compare(a.Name, b.Name) })
			return out
		},
		"stats": func() any { return n.statsView() },
		"state": func() any {
			if n.keeper == nil {
				return keeperView{}
			}
			return n.keeper.view()
		},
		"evidence": func() any {
			if n.costs == nil {
				return map[string]string{"error": errNoCostBlock.Error()}
			}
			return n.costs.evidence()
		},
		"assignments": n.assignmentsView,
		"homes": func() any { // deprecated name of assignments
			warnLegacyRequest("homes", "assignments")
			return n.assignmentsView()
		},
		"cluster":   func() any { return n.others.view() },
		"agreement": func() any { return n.others.agreement() },
		"jobs": func() any {
			v := n.others.legacyJobs()
			return v.standard()
		},
		"works": func() any { // deprecated name of jobs
			warnLegacyRequest("works", "jobs")
			return n.others.legacyJobs()
		},
		"migrations": func() any { return n.others.migrationViews() },
		"moves": func() any { // deprecated name of migrations
			warnLegacyRequest("moves", "migrations")
			return n.others.migrationViews()
		},
		"config": func() any {
			c := n.cfg.Load()
			return map[string]any{
				"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "limits": c.Limits,
				"settings": c.Settings, "operator": c.operator, "version": version(),
			}
		},
	}
}

// listed takes a list: addresses reach the session front before the decisions know of a host, and leave it after.
func (n *node) listed(l discovery.EndpointList, apply func(discovery.EndpointList)) {
	held := map[string]discovery.Endpoint{}
	if !l.Snapshot {
		for k, e := range *n.list.Load() {
			held[k] = e
		}
	}
	for _, e := range l.Endpoints {
		if e.Status == discovery.Removed || e.Address == "" {
			delete(held, e.Name)
			continue
		}
		held[e.Name] = e
		if n.pooled != nil && !slices.Contains(n.cfgTypes(), e.Type) {
			n.pooled.SetAddress(e.Name, e.Address)
		}
	}
	apply(l)
	for name := range *n.list.Load() {
		if _, ok := held[name]; !ok && n.pooled != nil {
			n.pooled.SetAddress(name, "")
		}
	}
	n.list.Store(&held)
}

// cfgTypes are the types of hosts that speak Flight SQL, which carries no sessions.
func (n *node) cfgTypes() []string {
	if c := n.cfg.Load(); c != nil {
		return c.flight.HostTypes
	}
	return nil
}

package main

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/blake3"

	"ashstand/internal/clock"
	"ashstand/internal/net/discovery"
	"ashstand/internal/vfs"
	"ashstand/internal/warmstate"
)

// lastSave is what the final write may take of the time that is left after SIGTERM.
const lastSave = 60 * time.Millisecond

// keeper writes what the pooler has learned, off the event loop, and gives what an earlier process left to this one.
type keeper struct {
	node  *node
	store *warmstate.Store
	head  warmstate.Header
	pace  time.Duration
	clock clock.Clock

	mu       sync.Mutex
	writing  bool // a write is under way; a slow disk may hold it for long
	taken    []warmstate.FactAge
	saves    int
	failures int
	failing  bool
	bytes    int
	took     time.Duration
}

// siteOf names what the classes mean: facts of other classes say nothing.
func siteOf(c *config) string {
	h := blake3.New()
	for _, k := range c.site.Settings.Classes {
		_, _ = fmt.Fprintf(h, "%q %d %d %v %v\n", k.Name, k.Access, k.Idempotency, k.LatencyObjective, k.Deadline)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// keep opens the state folder and hands what is in it to the decisions; nil where none is set. A file that can't be used
// is no reason not to start.
func keep(cfg *config, n *node) (*keeper, error) {
	s := cfg.operator.State
	if s.Folder == "" {
		return nil, nil
	}
	store, err := warmstate.Open(vfs.OS{}, s.Folder)
	if err != nil {
		return nil, err
	}
	k := &keeper{node: n, store: store, head: warmstate.Header{Name: cfg.Name, SiteHash: siteOf(cfg)}, pace: s.Pace, clock: clock.System()}
	if os.Getenv("ASHSTAND_BREAK") == "sync" {
		store.DisableAtomicWrites()
	}
	snapshot, lost, err := store.Load()
	if err != nil {
		slog.Warn("state: " + err.Error() + "; starting without it")
	}
	if len(lost) > 0 {
		slog.Warn("state: parts of the file can't be read and are left out: " + strings.Join(lost, ", "))
	}
	if snapshot == nil {
		return k, nil
	}
	broken := os.Getenv("ASHSTAND_BREAK")
	w := warmstate.ApplyAge(snapshot, k.clock.Now(), k.head.Name, k.head.SiteHash, broken == "ageing")
	w.State.TrustPositions = broken == "position"
	k.taken = w.Facts
	n.facade.ImportState(w.State)
	if w.IdleResets != nil {
		n.pool.SetStaleness(w.IdleResets.Requests, w.IdleResets.Resets)
	}
	counted := 0
	for _, v := range w.Facts {
		if v.Weight > 0 {
			counted++
		}
	}
	slog.Info(fmt.Sprintf("state: %d facts of %d hosts, written %v ago, %d of them still count", len(w.Facts), len(snapshot.Hosts),
		clock.Duration(k.clock.Now()-snapshot.Header.WrittenAt).Round(time.Millisecond), counted))
	return k, nil
}

// snapshot words what is held now.
func (k *keeper) snapshot() ([]byte, error) {
	requests, resets := k.node.pool.Staleness()
	head := k.head
	head.WrittenAt = k.clock.Now()
	list := discovery.EndpointList{Snapshot: true}
	for _, e := range *k.node.list.Load() {
		list.Endpoints = append(list.Endpoints, e)
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	return warmstate.Encode(warmstate.NewSnapshot(head, k.node.facade.ExportState(), &warmstate.IdleResets{Requests: requests, Resets: resets}, &warmstate.EndpointList{ReceivedAt: head.WrittenAt, JSON: raw}))
}

// run saves at the pace that is set, until ctx ends.
func (k *keeper) run(ctx context.Context) {
	every(ctx, k.pace, func() { k.save() })
}

// save writes once, unless the last write is still under way: a disk that hangs holds up nothing but this.
func (k *keeper) save() <-chan struct{} {
	done := make(chan struct{})
	k.mu.Lock()
	if k.writing {
		k.mu.Unlock()
		close(done)
		return done
	}
	k.writing = true
	k.mu.Unlock()
	go func() {
		defer close(done)
		begun := time.Now()
		b, err := k.snapshot()
		if err == nil {
			err = k.store.Save(b)
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		k.writing = false
		k.took = time.Since(begun)
		if err != nil {
			if k.failures++; !k.failing { // once, until it works again
				slog.Warn("state: it can't be saved, and service goes on without: " + err.Error())
			}
			k.failing = true
			return
		}
		if k.failing {
			slog.Info("state: it is saved again")
		}
		k.failing, k.bytes = false, len(b)
		k.saves++
	}()
	return done
}

// last saves once more within the time that is left.
func (k *keeper) last() {
	select {
	case <-k.save():
	case <-time.After(lastSave):
	}
}

// keeperView is what operators see of it.
type keeperView struct {
	File     string              `json:"file"`
	Saves    int                 `json:"saves"`
	Failures int                 `json:"failures"`
	Failing  bool                `json:"failing"`
	Writing  bool                `json:"writing"`
	Bytes    int                 `json:"bytes"`
	TookMS   float64             `json:"took_ms"`
	Taken    []warmstate.FactAge `json:"taken"` // at the start
}

func (k *keeper) view() keeperView {
	k.mu.Lock()
	defer k.mu.Unlock()
	return keeperView{k.store.Path(), k.saves, k.failures, k.failing, k.writing, k.bytes, clock.Millis(k.took), k.taken}
}

// stateCommands look at a file, whether or not a pooler runs.
func stateCommands() *cobra.Command {
	root := &cobra.Command{Use: "state", Short: "look at a file of learned state"}
	var asJSON bool
	read := func(path string) (*warmstate.Snapshot, []string, error) {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, err
		}
		s, lost, err := warmstate.Decode(b)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", path, err)
		}
		return s, lost, nil
	}
	show := &cobra.Command{
		Use: "show FILE", Short: "what is kept, how old it is, and what it would count for now", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, lost, err := read(args[0])
			if err != nil {
				return err
			}
			w := warmstate.ApplyAge(s, clock.System().Now(), s.Header.Name, s.Header.SiteHash, false)
			if asJSON {
				return printJSON(c.OutOrStdout(), map[string]any{"head": s.Header, "lost": lost, "facts": w.Facts})
			}
			return stateTable(c.OutOrStdout(), s, lost, w.Facts)
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "print JSON instead of a table")
	root.AddCommand(show,
		&cobra.Command{
			Use: "verify FILE", Short: "say whether a file can be read whole", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				s, lost, err := read(args[0])
				if err == nil && len(lost) > 0 {
					err = fmt.Errorf("%s: these parts can't be read: %s", args[0], strings.Join(lost, ", "))
				}
				if err == nil {
					_, err = fmt.Fprintf(c.OutOrStdout(), "%s: good: %d hosts, %d classes\n", args[0], len(s.Hosts), len(s.Classes))
				}
				return err
			},
		},
		&cobra.Command{
			Use: "export FILE", Short: "print all that is kept, as JSON", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				s, _, err := read(args[0])
				if err != nil {
					return err
				}
				return printJSON(c.OutOrStdout(), s)
			},
		})
	return root
}

func stateTable(to io.Writer, s *warmstate.Snapshot, lost []string, facts []warmstate.FactAge) error {
	out := bufio.NewWriter(to)
	fmt.Fprintf(out, "pooler %s, site %s, written %v\n", s.Header.Name, s.Header.SiteHash, time.UnixMilli(int64(s.Header.WrittenAt)).UTC().Format(time.RFC3339))
	if len(lost) > 0 {
		fmt.Fprintf(out, "these parts can't be read: %s\n", strings.Join(lost, ", "))
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "FACT\tAGE\tCOUNTS FOR\tWHY NOT")
	for _, f := range facts {
		fmt.Fprintf(w, "%s\t%v\t%.2f\t%s\n", f.Fact, clock.Duration(f.Age).Round(time.Second), f.Weight, f.Reason)
	}
	return errors.Join(w.Flush(), out.Flush())
}

package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/admin"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/testbed/fleet"
	"ashstand/testbed/report"
)

// What ahead and countUnrouted check.
const (
	wrongGroup          = "wrong_group"          // a write is in another group than its comment names
	unroutedTransaction = "transaction_unrouted" // the pooler counts a transaction without a routing decision
)

// aheadDepth is the most transactions that are sent ahead of each other's answers.
const aheadDepth = 4

// ahead sends several writes, each a transaction of its own for one of the groups, before it reads an answer.
func (w *worker) ahead() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	groups := map[string]int{} // by the row that is written
	begun := time.Now()
	p := w.c.StartPipeline(ctx)
	for range 2 + w.rng.IntN(aheadDepth-1) {
		w.writes++
		ref := fmt.Sprintf("%s/%d", w.name, w.writes)
		groups[ref] = 1 + w.rng.IntN(len(w.fleet.Groups))
		text := fmt.Sprintf("/* c=donate,cluster=%d */ INSERT INTO entries (ref, payload) VALUES ('%s', 'ahead')", groups[ref], ref)
		p.SendQueryParams(text, nil, nil, nil, nil)
		p.SendPipelineSync()
	}
	err := p.Flush()
	for range groups {
		for synced := false; err == nil && !synced; {
			var result any
			result, err = p.GetResults()
			if reader, ok := result.(*pgconn.ResultReader); ok {
				_, err = reader.Close()
			}
			if _, isRejected := err.(*pgconn.PgError); isRejected { //nolint:errorlint // GetResults returns it as it is
				err = nil
			}
			_, synced = result.(*pgconn.PipelineSync)
		}
	}
	if closeErr := p.Close(); err == nil {
		err = closeErr
	}
	w.count("ahead", begun, err)
	for ref, group := range groups {
		for i, cluster := range w.fleet.Groups {
			if i+1 != group && cluster.Versions("public", "entries", ref) > 0 {
				w.g.Break(wrongGroup, "%s: %s names group %d and is in group %d", w.name, ref, group, i+1)
			}
		}
	}
}

// countUnrouted takes what the pooler counts of transactions without a routing decision.
func countUnrouted(f *fleet.Fleet, g *report.Collector) {
	var view struct {
		Figures []metrics.Figure `json:"figures"`
	}
	if err := admin.Get(f.Pooler.Admin, "stats", &view); err != nil {
		g.Break(unroutedTransaction, "the pooler's counters can't be read: %v", err)
		return
	}
	if n := metrics.Violations(view.Figures)[lifecycle.TransactionUnrouted.String()]; n > 0 {
		g.Break(unroutedTransaction, "the pooler counts %d", n)
	}
}

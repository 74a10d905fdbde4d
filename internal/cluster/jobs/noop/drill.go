// Package drill is a kind of work that does nothing but prove that works can be done: one owner at a time writes one row
// after another behind the fence of each group. Operators play it before they trust the fleet with a move.
package noop

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
)

// KindName is the kind's.
const KindName = "drill"

// Spec is what an operator asks for.
type Spec struct {
	Database       string   `json:"database"`
	Groups         []uint64 `json:"groups"` // their primaries are written to in turn
	Operations     int      `json:"deeds"`
	IntervalMillis float64  `json:"every_ms"` // from one to the next
}

const (
	mostDeeds  = 1_000_000
	mostEvery  = 3600e3
	mostGroups = 64
)

// SpecError is a drill that can't be done as it is asked for.
type SpecError struct{ Key, Value, Allowed string }

func (e *SpecError) Error() string {
	return fmt.Sprintf("%s is %s; allowed is %s", e.Key, e.Value, e.Allowed)
}

// Code is the reason in a word.
func (e *SpecError) Code() string { return "bad_spec" }

// Advice says what an operator can do.
func (e *SpecError) Advice() string { return "set " + e.Key + " to " + e.Allowed }

// Validate says what is wrong with a spec; nil: nothing.
func (s *Spec) Validate() error {
	switch {
	case s.Database == "" || len(s.Database) > 63:
		return &SpecError{"database", strconv.Quote(s.Database), "a name of 1 to 63 characters"}
	case len(s.Groups) == 0 || len(s.Groups) > mostGroups:
		return &SpecError{"groups", fmt.Sprint(s.Groups), fmt.Sprintf("1 to %d numbers of groups", mostGroups)}
	case s.Operations < 1 || s.Operations > mostDeeds:
		return &SpecError{"deeds", strconv.Itoa(s.Operations), fmt.Sprintf("1 to %d", mostDeeds)}
	case !(s.IntervalMillis >= 0 && s.IntervalMillis <= mostEvery):
		return &SpecError{"every_ms", fmt.Sprint(s.IntervalMillis), fmt.Sprintf("0 to %v", mostEvery)}
	}
	return nil
}

// state is what is proven.
type state struct {
	PreparedGroups  int     `json:"prepared"` // groups
	Written         int     `json:"done"`
	WrittenAtMillis float64 `json:"at_ms"` // of the last deed, by its owner's clock
}

// Handler is an owner.Kind.
type Handler struct {
	Client            *fencing.Client
	Now               func() float64
	DisabledGuarantee string // a guarantee that is switched off, to see its checker fail: "resume"
}

func decode(w *jobs.Job) (p Spec, s state, err error) {
	if err = json.Unmarshal(w.Spec, &p); err == nil && len(w.State) > 0 {
		err = json.Unmarshal(w.State, &s)
	}
	if err == nil {
		err = p.Validate()
	}
	return p, s, err
}

// Next is Kind's.
func (k *Handler) Next(now float64, w *jobs.Job, _ any) jobs.Decision {
	p, s, err := decode(w)
	if err != nil {
		return jobs.Decision{Reason: err.Error(), RetryAfterMillis: 1000}
	}
	stop := jobs.ApprovalOption{Action: "stop", Effect: "the drill ends after the deed under way", Persistent: true}
	if w.Approval != nil && w.Approval.Action == "stop" {
		return jobs.Decision{OperationName: "stop", Approval: w.Approval}
	}
	if s.PreparedGroups < len(p.Groups) {
		return jobs.Decision{OperationName: "prepare", Options: []jobs.ApprovalOption{stop}}
	}
	// Another owner's clock may differ: no wait is longer than the pace.
	if wait := min(p.IntervalMillis, s.WrittenAtMillis+p.IntervalMillis-now); s.Written > 0 && wait > 0 {
		return jobs.Decision{RetryAfterMillis: wait, Reason: "the pace", Options: []jobs.ApprovalOption{stop}}
	}
	return jobs.Decision{OperationName: "write", Options: []jobs.ApprovalOption{stop}}
}

// Observe is Kind's: a drill's owner reaches its next group, or has nothing to tell.
func (k *Handler) Observe(ctx context.Context, w *jobs.Job) (any, error) {
	p, s, err := decode(w)
	if err != nil {
		return nil, err
	}
	conn, _, err := k.Client.ConnectPrimary(ctx, p.Groups[s.Written%len(p.Groups)], p.Database)
	if err == nil {
		fencing.Close(conn)
	}
	return nil, err
}

// Execute is Kind's.
func (k *Handler) Execute(ctx context.Context, w *jobs.Job, d *jobs.Operation) (jobs.Result, error) {
	p, s, err := decode(w)
	if err != nil {
		return jobs.Result{}, err
	}
	switch d.Name {
	case "stop":
		return jobs.Result{State: w.State, Finished: true, Reason: "stopped"}, nil
	case "prepare":
		err = k.prepare(ctx, p.Groups[s.PreparedGroups], p.Database)
	default:
		err = k.Client.Transact(ctx, p.Groups[s.Written%len(p.Groups)], p.Database, w.Name, w.Token, d.ID(w.Name), func(ctx context.Context, c *pgconn.PgConn) error {
			// Each try has a row of its own: a deed that was done twice is seen as two.
			_, _, err := fencing.Exec(ctx, c, "INSERT INTO ashstand.acts (ref, payload) VALUES ($1, $2)", fmt.Sprintf("%s#%016x", d.ID(w.Name), rand.Uint64()),
				strconv.FormatUint(uint64(w.Token), 10))
			return err
		})
	}
	return k.proof(p, s, d), err
}

// proof is what a deed that was done leaves.
func (k *Handler) proof(p Spec, s state, d *jobs.Operation) jobs.Result {
	if d.Name == "prepare" {
		s.PreparedGroups++
	} else {
		s.Written, s.WrittenAtMillis = s.Written+1, k.Now()
	}
	b, _ := json.Marshal(s)
	out := jobs.Result{State: b}
	if s.Written >= p.Operations {
		out.Finished, out.Reason = true, "all deeds are done"
	}
	return out
}

// prepare makes what acts need at a group; it can be done again.
func (k *Handler) prepare(ctx context.Context, group uint64, database string) error {
	conn, h, err := k.Client.ConnectPrimary(ctx, group, database)
	if err != nil {
		return err
	}
	defer fencing.Close(conn)
	for _, sql := range []string{"CREATE SCHEMA IF NOT EXISTS ashstand", fencing.CreateFenceTable, "CREATE TABLE IF NOT EXISTS ashstand.acts (ref text PRIMARY KEY, payload text)"} {
		if _, _, err := fencing.Exec(ctx, conn, sql); err != nil {
			if _, worded := fencing.ServerError(err); worded {
				return err
			}
			return &fencing.InDoubtError{Host: h.Name, Action: sql, Err: err}
		}
	}
	return nil
}

// Recover is Kind's. It takes the fence first: an act of an older owner was committed before, or never will be.
func (k *Handler) Recover(ctx context.Context, w *jobs.Job, d *jobs.Operation) (done bool, proof jobs.Result, err error) {
	p, s, err := decode(w)
	if err != nil || d.Name != "write" || k.DisabledGuarantee == "resume" {
		return false, jobs.Result{}, err // stop changes nothing, and prepare can be done again
	}
	id := d.ID(w.Name)
	var found string
	err = k.Client.Transact(ctx, p.Groups[s.Written%len(p.Groups)], p.Database, w.Name, w.Token, "look for "+id, func(ctx context.Context, c *pgconn.PgConn) (err error) {
		found, err = fencing.QueryValue(ctx, c, "SELECT ref FROM ashstand.acts WHERE ref >= $1 AND ref < $2 ORDER BY ref LIMIT 1", id+"#", id+"$")
		return err
	})
	if err != nil || found == "" {
		return false, jobs.Result{}, err
	}
	return true, k.proof(p, s, d), nil
}

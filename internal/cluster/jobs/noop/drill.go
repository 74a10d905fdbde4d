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

// Name is the kind's.
const Name = "drill"

// Spec is what an operator asks for.
type Spec struct {
	Database string   `json:"database"`
	Groups   []uint64 `json:"groups"` // their primaries are written to in turn
	Deeds    int      `json:"deeds"`
	Every    float64  `json:"every_ms"` // from one to the next
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

// Check says what is wrong with a spec; nil: nothing.
func (s *Spec) Check() error {
	switch {
	case s.Database == "" || len(s.Database) > 63:
		return &SpecError{"database", strconv.Quote(s.Database), "a name of 1 to 63 characters"}
	case len(s.Groups) == 0 || len(s.Groups) > mostGroups:
		return &SpecError{"groups", fmt.Sprint(s.Groups), fmt.Sprintf("1 to %d numbers of groups", mostGroups)}
	case s.Deeds < 1 || s.Deeds > mostDeeds:
		return &SpecError{"deeds", strconv.Itoa(s.Deeds), fmt.Sprintf("1 to %d", mostDeeds)}
	case !(s.Every >= 0 && s.Every <= mostEvery):
		return &SpecError{"every_ms", fmt.Sprint(s.Every), fmt.Sprintf("0 to %v", mostEvery)}
	}
	return nil
}

// state is what is proven.
type state struct {
	Prepared int     `json:"prepared"` // groups
	Done     int     `json:"done"`
	At       float64 `json:"at_ms"` // of the last deed, by its owner's clock
}

// Kind is an owner.Kind.
type Kind struct {
	Client *fencing.Client
	Now    func() float64
	Unsafe string // a guarantee that is switched off, to see its checker fail: "resume"
}

func read(w *jobs.Work) (p Spec, s state, err error) {
	if err = json.Unmarshal(w.Spec, &p); err == nil && len(w.State) > 0 {
		err = json.Unmarshal(w.State, &s)
	}
	if err == nil {
		err = p.Check()
	}
	return p, s, err
}

// Next is Kind's.
func (k *Kind) Next(now float64, w *jobs.Work, _ any) jobs.Step {
	p, s, err := read(w)
	if err != nil {
		return jobs.Step{Why: err.Error(), Wait: 1000}
	}
	stop := jobs.Option{Say: "stop", Does: "the drill ends after the deed under way", Lasting: true}
	if w.Word != nil && w.Word.Say == "stop" {
		return jobs.Step{Deed: "stop", Took: w.Word}
	}
	if s.Prepared < len(p.Groups) {
		return jobs.Step{Deed: "prepare", Says: []jobs.Option{stop}}
	}
	// Another owner's clock may differ: no wait is longer than the pace.
	if wait := min(p.Every, s.At+p.Every-now); s.Done > 0 && wait > 0 {
		return jobs.Step{Wait: wait, Why: "the pace", Says: []jobs.Option{stop}}
	}
	return jobs.Step{Deed: "write", Says: []jobs.Option{stop}}
}

// Watch is Kind's: a drill's owner reaches its next group, or has nothing to tell.
func (k *Kind) Watch(ctx context.Context, w *jobs.Work) (any, error) {
	p, s, err := read(w)
	if err != nil {
		return nil, err
	}
	conn, _, err := k.Client.Primary(ctx, p.Groups[s.Done%len(p.Groups)], p.Database)
	if err == nil {
		fencing.Close(conn)
	}
	return nil, err
}

// Do is Kind's.
func (k *Kind) Do(ctx context.Context, w *jobs.Work, d *jobs.Deed) (jobs.Proof, error) {
	p, s, err := read(w)
	if err != nil {
		return jobs.Proof{}, err
	}
	switch d.Name {
	case "stop":
		return jobs.Proof{State: w.State, Ended: true, Why: "stopped"}, nil
	case "prepare":
		err = k.prepare(ctx, p.Groups[s.Prepared], p.Database)
	default:
		err = k.Client.Act(ctx, p.Groups[s.Done%len(p.Groups)], p.Database, w.Name, w.Token, d.ID(w.Name), func(ctx context.Context, c *pgconn.PgConn) error {
			// Each try has a row of its own: a deed that was done twice is seen as two.
			_, _, err := fencing.Exec(ctx, c, "INSERT INTO ashstand.acts (ref, payload) VALUES ($1, $2)", fmt.Sprintf("%s#%016x", d.ID(w.Name), rand.Uint64()),
				strconv.FormatUint(uint64(w.Token), 10))
			return err
		})
	}
	return k.proof(p, s, d), err
}

// proof is what a deed that was done leaves.
func (k *Kind) proof(p Spec, s state, d *jobs.Deed) jobs.Proof {
	if d.Name == "prepare" {
		s.Prepared++
	} else {
		s.Done, s.At = s.Done+1, k.Now()
	}
	b, _ := json.Marshal(s)
	out := jobs.Proof{State: b}
	if s.Done >= p.Deeds {
		out.Ended, out.Why = true, "all deeds are done"
	}
	return out
}

// prepare makes what acts need at a group; it can be done again.
func (k *Kind) prepare(ctx context.Context, group uint64, database string) error {
	conn, h, err := k.Client.Primary(ctx, group, database)
	if err != nil {
		return err
	}
	defer fencing.Close(conn)
	for _, sql := range []string{"CREATE SCHEMA IF NOT EXISTS ashstand", fencing.FenceTable, "CREATE TABLE IF NOT EXISTS ashstand.acts (ref text PRIMARY KEY, payload text)"} {
		if _, _, err := fencing.Exec(ctx, conn, sql); err != nil {
			if _, worded := fencing.Worded(err); worded {
				return err
			}
			return &fencing.Unreached{Host: h.Name, What: sql, Err: err}
		}
	}
	return nil
}

// Look is Kind's. It takes the fence first: an act of an older owner was committed before, or never will be.
func (k *Kind) Look(ctx context.Context, w *jobs.Work, d *jobs.Deed) (done bool, proof jobs.Proof, err error) {
	p, s, err := read(w)
	if err != nil || d.Name != "write" || k.Unsafe == "resume" {
		return false, jobs.Proof{}, err // stop changes nothing, and prepare can be done again
	}
	id := d.ID(w.Name)
	var found string
	err = k.Client.Act(ctx, p.Groups[s.Done%len(p.Groups)], p.Database, w.Name, w.Token, "look for "+id, func(ctx context.Context, c *pgconn.PgConn) (err error) {
		found, err = fencing.One(ctx, c, "SELECT ref FROM ashstand.acts WHERE ref >= $1 AND ref < $2 ORDER BY ref LIMIT 1", id+"#", id+"$")
		return err
	})
	if err != nil || found == "" {
		return false, jobs.Proof{}, err
	}
	return true, k.proof(p, s, d), nil
}

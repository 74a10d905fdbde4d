package sql

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// ReplicationStatus says how far the other home follows this one.
func (p *Databases) ReplicationStatus(ctx context.Context, a migration.Request, home, other migration.Group) (migration.ReplicationStatus, error) {
	var out migration.ReplicationStatus
	var published, marked, back, sub, slot string
	var tabs, ready, touched int
	var remote migration.LSN
	var has, durable migration.LSN
	var slotThere, followedThere, backThere bool
	seen := time.Now()
	// What the slot says comes before what the other's standbys are asked for: these have then what it stands for.
	if err := p.on(ctx, a, home, "progress", func(ctx context.Context, conn *pgconn.PgConn) error {
		b, err := readBook(ctx, conn)
		if err != nil {
			return err
		}
		marked = b["marked"]
		if out.Timelines.Source, err = line(ctx, conn); err != nil {
			return err
		}
		if has, slotThere, err = confirmed(ctx, conn); err != nil {
			return err
		}
		if out.SourceLSN, err = standing(ctx, conn); err != nil {
			return err
		}
		if published, err = fencing.QueryValue(ctx, conn, "SELECT count(*) FROM pg_publication_tables WHERE pubname LIKE 'ash\\_%'"); err != nil {
			return err
		}
		touched, err = count(ctx, conn, "SELECT count(*) FROM ashstand.touched")
		return err
	}); err != nil {
		return out, err
	}
	if err := p.on(ctx, a, other, "progress", func(ctx context.Context, conn *pgconn.PgConn) error {
		b, err := readBook(ctx, conn)
		if err != nil {
			return err
		}
		if b["marked"] != marked {
			marked = ""
		}
		back = b["back"]
		if out.Timelines.Target, err = line(ctx, conn); err != nil {
			return err
		}
		slots, err := slotsOf(ctx, conn)
		if err != nil {
			return err
		}
		_, backThere = slots[back]
		backThere = backThere && b["back line"] == fmt.Sprint(out.Timelines.Target)
		if sub, slot, err = followed(ctx, conn, a); err != nil {
			return err
		}
		if followedThere = sub != ""; followedThere {
			rows, _, err := fencing.Exec(ctx, conn, "SELECT r.srsubstate, count(*) FROM pg_subscription_rel r JOIN pg_subscription s ON s.oid = r.srsubid "+
				"WHERE s.subname = $1 GROUP BY r.srsubstate", sub)
			if err != nil {
				return err
			}
			for _, r := range rows {
				n, _ := strconv.Atoi(r[1])
				if tabs += n; r[0] == "r" {
					ready += n
				}
			}
			text, err := fencing.QueryValue(ctx, conn, "SELECT o.remote_lsn FROM pg_replication_origin_status o JOIN pg_subscription s "+
				"ON o.external_id = concat('pg_', s.oid) WHERE s.subname = $1", sub)
			if err != nil {
				return err
			}
			remote = position(text)
		}
		n, err := count(ctx, conn, "SELECT count(*) FROM ashstand.touched")
		if touched += n; err != nil {
			return err
		}
		shut, err := fencing.QueryValue(ctx, conn, "SELECT closed FROM ashstand.gate WHERE id = 1")
		if err != nil {
			return err
		}
		out.TargetUnfenced = shut != "t"
		ok, err := p.spread(ctx, conn)
		if ok {
			durable = has
		}
		return err
	}); err != nil {
		return out, err
	}
	out.Reachable = true
	out.SlotLost = !followedThere || !slotThere || slot == ""
	out.TablesCopied = followedThere && tabs == ready
	if followedThere && a.State.Phase != migration.PhaseCopying && strconv.Itoa(tabs) != published { // a failover has lost that they were handed over
		out.SlotLost = true
	}
	if remote > out.SourceLSN { // it may have been written since the home was asked
		if err := p.on(ctx, a, home, "position", func(ctx context.Context, conn *pgconn.PgConn) error {
			now, err := standing(ctx, conn)
			out.TargetAhead = remote > now
			return err
		}); err != nil {
			return out, err
		}
	}
	out.TrackingLost = marked == "" || !backThere
	p.learn(a.Job, func(x *pace) {
		if x.lines != out.Timelines {
			*x = pace{lines: out.Timelines, verifies: x.verifies}
		}
		if durable > x.applied && x.applied > 0 {
			if ms := float64(seen.Sub(x.at).Microseconds()) / 1e3; ms >= 10 {
				x.perMs = float64(durable-x.applied) / ms
			}
		}
		if durable > x.applied {
			x.applied, x.at = durable, seen
		}
		out.AppliedLSN = x.applied
		if out.VerifyMillis = x.verifies * float64(touched); x.verifies == 0 {
			out.VerifyMillis = float64(touched) * 0.1 // ms a row until one was read: a point read and its way back
		}
		if out.AppliedLSN < out.SourceLSN {
			if out.LagMillis = 1000; x.perMs > 0 { // ms; until its pace is known
				out.LagMillis = float64(out.SourceLSN-out.AppliedLSN) / x.perMs
			}
		}
	})
	return out, nil
}

func one1(ctx context.Context, conn *pgconn.PgConn, sql string) (string, error) {
	return fencing.QueryValue(ctx, conn, sql)
}

func count(ctx context.Context, conn *pgconn.PgConn, sql string) (int, error) {
	text, err := fencing.QueryValue(ctx, conn, sql)
	n, _ := strconv.Atoi(text)
	return n, err
}

// mostSpread is how long Progress waits for standbys, in milliseconds: a few of their round trips.
const mostSpread = 50

// spread says whether all standbys that stream from a primary hold what it holds now.
func (p *Databases) spread(ctx context.Context, conn *pgconn.PgConn) (bool, error) {
	at, err := standing(ctx, conn)
	if err != nil {
		return false, err
	}
	for until := time.Now().Add(mostSpread * time.Millisecond); ; {
		rows, _, err := fencing.Exec(ctx, conn, "SELECT pid, flush_lsn FROM pg_stat_replication WHERE pid NOT IN "+
			"(SELECT active_pid FROM pg_replication_slots WHERE slot_type = 'logical' AND active_pid IS NOT NULL)")
		if err != nil {
			return false, err
		}
		ok := true
		for _, r := range rows {
			ok = ok && position(r[1]) >= at
		}
		if ok || time.Now().After(until) {
			return ok, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// homes are the group that serves the tenant and the other one, as move.State has it.
func homes(a migration.Request) (home, other migration.Group) {
	if s := a.State; s.Reverse || s.Phase == migration.PhaseSwitched || s.Phase == migration.PhaseAccepted || s.Phase == migration.PhaseCompleted {
		return a.Plan.To, a.Plan.From
	}
	return a.Plan.From, a.Plan.To
}

// Recover finds out whether a deed that is in doubt was done. All places of the deed hold this owner's token then, and where it
// was not done no act of it counts any more.
func (p *Databases) Recover(ctx context.Context, a migration.Request) (f migration.Recovery, err error) {
	home, other := homes(a)
	at := []migration.Group{home, other}
	if a.Operation == migration.OperationFence { // the other home may be out of reach: the tenant is to open again all the same
		at = at[:1]
	}
	claim := ends
	if a.Operation == migration.OperationPublish || a.Operation == migration.OperationCleanUp {
		claim = takes
	}
	look := a
	look.OperationID = "" // it may have been settled by a look that nobody heard of
	books := map[migration.Group]book{}
	lines := map[migration.Group]int{}
	for _, g := range at {
		if err = p.founded(ctx, a, g); err != nil {
			return f, err
		}
		if err = p.act(ctx, look, g, "look", claim, func(ctx context.Context, conn *pgconn.PgConn, b book) (err error) {
			books[g] = b
			lines[g], err = line(ctx, conn)
			return err
		}); err != nil {
			var by *migration.TenantLockedError
			if errors.As(err, &by) && a.Operation == migration.OperationPublish { // so it was not done, nor will it be
				return f, nil
			}
			return f, err
		}
	}
	has := func(item string) bool {
		for _, b := range books {
			if b[item] != a.OperationID {
				return false
			}
		}
		return true
	}
	own := books[home]
	f.Timelines = migration.Timelines{Source: int(own.number("home line")), Target: int(own.number("other line"))}
	switch a.Operation {
	case migration.OperationPublish:
		f.Done = has("published")
	case migration.OperationTrack:
		f.Done = has("marked")
	case migration.OperationCleanUp, migration.OperationFinish:
		f.Done = has("given")
	case migration.OperationFence:
		var n int
		var pos uint64
		if _, err := fmt.Sscanf(own["closed"], a.OperationID+" %d %d", &n, &pos); err == nil && n == lines[home] {
			f.Done, f.Fence = true, &migration.FencePoint{Timeline: n, LSN: migration.LSN(pos)}
		}
	case migration.OperationSubscribe, migration.OperationReplicateBack:
		if f.Done = has("followed"); !f.Done {
			if f, err = p.lookFollowed(ctx, a, other, books[other]); err != nil {
				return f, err
			}
		}
	}
	if f.Done {
		return f, nil
	}
	for _, g := range at {
		if err = p.act(ctx, look, g, "settle", claim, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
			if n := deedNumber(a) + 1; b["work"] == a.Job && n > b.number("deed") {
				return write(ctx, conn, book{"deed": fmt.Sprint(n)})
			}
			return nil
		}); err != nil {
			return migration.Recovery{}, err
		}
	}
	if a.Operation == migration.OperationTrack {
		err = p.on(ctx, a, other, "drop slot", func(ctx context.Context, conn *pgconn.PgConn) error {
			have, err := slotsOf(ctx, conn)
			if _, there := have[objectName(a, "b")]; err != nil || !there {
				return err
			}
			return run(ctx, conn, "SELECT pg_drop_replication_slot("+quote(objectName(a, "b"))+")")
		})
	}
	return migration.Recovery{}, err
}

// lookFollowed says whether the deed's subscription is there, which it makes last: then it stays. It may have taken in
// commits that its slot does not know of yet, so that another one would get them again.
func (p *Databases) lookFollowed(ctx context.Context, a migration.Request, at migration.Group, b book) (f migration.Recovery, err error) {
	called := objectName(a, map[string]string{migration.OperationSubscribe: "f", migration.OperationReplicateBack: "r"}[a.Operation])
	if err = p.on(ctx, a, at, "look for "+called, func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		f.Done, err = subscribed(ctx, conn, called)
		return err
	}); err != nil || !f.Done || b["sub"] != called || b.number("deed") > deedNumber(a) {
		return migration.Recovery{}, err
	}
	f.Timelines = migration.Timelines{Source: int(b.number("sub home line")), Target: int(b.number("sub other line"))}
	return f, p.settled(ctx, a, "followed", f.Timelines)
}

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

// Progress says how far the other home follows this one.
func (p *Databases) Progress(ctx context.Context, a migration.Act, home, other migration.Group) (migration.Progress, error) {
	var out migration.Progress
	var published, marked, back, sub, slot string
	var tabs, ready, touched int
	var remote migration.Position
	var has, durable migration.Position
	var slotThere, followedThere, backThere bool
	seen := time.Now()
	// What the slot says comes before what the other's standbys are asked for: these have then what it stands for.
	if err := p.on(ctx, a, home, "progress", func(ctx context.Context, conn *pgconn.PgConn) error {
		b, err := readBook(ctx, conn)
		if err != nil {
			return err
		}
		marked = b["marked"]
		if out.Lines.Home, err = line(ctx, conn); err != nil {
			return err
		}
		if has, slotThere, err = confirmed(ctx, conn); err != nil {
			return err
		}
		if out.HomePos, err = standing(ctx, conn); err != nil {
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
		if out.Lines.Other, err = line(ctx, conn); err != nil {
			return err
		}
		slots, err := slotsOf(ctx, conn)
		if err != nil {
			return err
		}
		_, backThere = slots[back]
		backThere = backThere && b["back line"] == fmt.Sprint(out.Lines.Other)
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
		out.FenceOff = shut != "t"
		ok, err := p.spread(ctx, conn)
		if ok {
			durable = has
		}
		return err
	}); err != nil {
		return out, err
	}
	out.Reached = true
	out.SlotLost = !followedThere || !slotThere || slot == ""
	out.Ready = followedThere && tabs == ready
	if followedThere && a.State.Phase != migration.Copying && strconv.Itoa(tabs) != published { // a failover has lost that they were handed over
		out.SlotLost = true
	}
	if remote > out.HomePos { // it may have been written since the home was asked
		if err := p.on(ctx, a, home, "position", func(ctx context.Context, conn *pgconn.PgConn) error {
			now, err := standing(ctx, conn)
			out.Ahead = remote > now
			return err
		}); err != nil {
			return out, err
		}
	}
	out.Unmarked = marked == "" || !backThere
	p.learn(a.Work, func(x *pace) {
		if x.lines != out.Lines {
			*x = pace{lines: out.Lines, verifies: x.verifies}
		}
		if durable > x.applied && x.applied > 0 {
			if ms := float64(seen.Sub(x.at).Microseconds()) / 1e3; ms >= 10 {
				x.perMs = float64(durable-x.applied) / ms
			}
		}
		if durable > x.applied {
			x.applied, x.at = durable, seen
		}
		out.Applied = x.applied
		if out.Verify = x.verifies * float64(touched); x.verifies == 0 {
			out.Verify = float64(touched) * 0.1 // ms a row until one was read: a point read and its way back
		}
		if out.Applied < out.HomePos {
			if out.Behind = 1000; x.perMs > 0 { // ms; until its pace is known
				out.Behind = float64(out.HomePos-out.Applied) / x.perMs
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
func homes(a migration.Act) (home, other migration.Group) {
	if s := a.State; s.Reverse || s.Phase == migration.Switched || s.Phase == migration.Accepted || s.Phase == migration.Done {
		return a.Plan.To, a.Plan.From
	}
	return a.Plan.From, a.Plan.To
}

// Look finds out whether a deed that is in doubt was done. All places of the deed hold this owner's token then, and where it
// was not done no act of it counts any more.
func (p *Databases) Look(ctx context.Context, a migration.Act) (f migration.Found, err error) {
	home, other := homes(a)
	at := []migration.Group{home, other}
	if a.Name == migration.DeedClose { // the other home may be out of reach: the tenant is to open again all the same
		at = at[:1]
	}
	claim := ends
	if a.Name == migration.DeedPublish || a.Name == migration.DeedClear {
		claim = takes
	}
	look := a
	look.Deed = "" // it may have been settled by a look that nobody heard of
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
			var by *migration.Taken
			if errors.As(err, &by) && a.Name == migration.DeedPublish { // so it was not done, nor will it be
				return f, nil
			}
			return f, err
		}
	}
	has := func(item string) bool {
		for _, b := range books {
			if b[item] != a.Deed {
				return false
			}
		}
		return true
	}
	own := books[home]
	f.Lines = migration.Lines{Home: int(own.number("home line")), Other: int(own.number("other line"))}
	switch a.Name {
	case migration.DeedPublish:
		f.Done = has("published")
	case migration.DeedMark:
		f.Done = has("marked")
	case migration.DeedClear, migration.DeedFinish:
		f.Done = has("given")
	case migration.DeedClose:
		var n int
		var pos uint64
		if _, err := fmt.Sscanf(own["closed"], a.Deed+" %d %d", &n, &pos); err == nil && n == lines[home] {
			f.Done, f.Closed = true, &migration.Closed{Line: n, Position: migration.Position(pos)}
		}
	case migration.DeedSubscribe, migration.DeedFeed:
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
			if n := deedNumber(a) + 1; b["work"] == a.Work && n > b.number("deed") {
				return write(ctx, conn, book{"deed": fmt.Sprint(n)})
			}
			return nil
		}); err != nil {
			return migration.Found{}, err
		}
	}
	if a.Name == migration.DeedMark {
		err = p.on(ctx, a, other, "drop slot", func(ctx context.Context, conn *pgconn.PgConn) error {
			have, err := slotsOf(ctx, conn)
			if _, there := have[objectName(a, "b")]; err != nil || !there {
				return err
			}
			return run(ctx, conn, "SELECT pg_drop_replication_slot("+quote(objectName(a, "b"))+")")
		})
	}
	return migration.Found{}, err
}

// lookFollowed says whether the deed's subscription is there, which it makes last: then it stays. It may have taken in
// commits that its slot does not know of yet, so that another one would get them again.
func (p *Databases) lookFollowed(ctx context.Context, a migration.Act, at migration.Group, b book) (f migration.Found, err error) {
	called := objectName(a, map[string]string{migration.DeedSubscribe: "f", migration.DeedFeed: "r"}[a.Name])
	if err = p.on(ctx, a, at, "look for "+called, func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		f.Done, err = subscribed(ctx, conn, called)
		return err
	}); err != nil || !f.Done || b["sub"] != called || b.number("deed") > deedNumber(a) {
		return migration.Found{}, err
	}
	f.Lines = migration.Lines{Home: int(b.number("sub home line")), Other: int(b.number("sub other line"))}
	return f, p.settled(ctx, a, "followed", f.Lines)
}

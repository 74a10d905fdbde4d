package sql

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// base is what stands at both homes as long as the tenant was moved once. It is made by whoever comes first.
var base = []string{
	"CREATE SCHEMA IF NOT EXISTS ashstand",
	fencing.CreateFenceTable,
	"CREATE TABLE IF NOT EXISTS ashstand.gate (id integer PRIMARY KEY, closed boolean NOT NULL)",
	"CREATE TABLE IF NOT EXISTS ashstand.book (item text PRIMARY KEY, value text NOT NULL)",
	"CREATE TABLE IF NOT EXISTS ashstand.touched (tab text NOT NULL, key text NOT NULL, PRIMARY KEY (tab, key))",
	// The gate's row is there before any trigger, and open: who writes meanwhile is not refused.
	"INSERT INTO ashstand.gate (id, closed) VALUES (1, false) ON CONFLICT DO NOTHING",
}

// functions are what the triggers run. They act as who made them: the tenant's own roles need no rights here.
var functions = []string{
	`CREATE OR REPLACE FUNCTION ashstand.guard() RETURNS trigger LANGUAGE plpgsql SECURITY DEFINER SET search_path = pg_catalog AS $$
DECLARE shut boolean;
BEGIN
	SELECT closed INTO shut FROM ashstand.gate WHERE id = 1 FOR SHARE;
	IF shut THEN RAISE EXCEPTION 'tenant is closed' USING ERRCODE = '55000'; END IF;
	RETURN NULL;
END $$`,
	`CREATE OR REPLACE FUNCTION ashstand.mark() RETURNS trigger LANGUAGE plpgsql SECURITY DEFINER SET search_path = pg_catalog AS $$
DECLARE changed jsonb[] := '{}'; r jsonb;
BEGIN
	IF TG_LEVEL = 'STATEMENT' THEN
		INSERT INTO ashstand.touched (tab, key) VALUES (TG_TABLE_SCHEMA || '.' || TG_TABLE_NAME, '') ON CONFLICT DO NOTHING;
		RETURN NULL;
	END IF;
	IF TG_OP <> 'INSERT' THEN changed := array_append(changed, to_jsonb(OLD)); END IF;
	IF TG_OP <> 'DELETE' THEN changed := array_append(changed, to_jsonb(NEW)); END IF;
	FOREACH r IN ARRAY changed LOOP
		INSERT INTO ashstand.touched (tab, key)
			SELECT TG_TABLE_SCHEMA || '.' || TG_TABLE_NAME, coalesce(jsonb_agg(r ->> c ORDER BY n)::text, '')
				FROM unnest(TG_ARGV) WITH ORDINALITY AS a(c, n)
			ON CONFLICT DO NOTHING;
	END LOOP;
	RETURN NULL;
END $$`,
}

// The triggers' names. A trigger that refuses comes first in the order of names.
const (
	guardName    = "a_ashstand_guard"
	truncateName = "a_ashstand_truncate"
	markName     = "z_ashstand_mark"
	emptiedName  = "z_ashstand_emptied"
)

func (t *table) createGuards() []string {
	return t.missing(map[string]string{
		guardName:    "BEFORE INSERT OR UPDATE OR DELETE ON " + t.quoted() + " FOR EACH STATEMENT EXECUTE FUNCTION ashstand.guard()",
		truncateName: "BEFORE TRUNCATE ON " + t.quoted() + " FOR EACH STATEMENT EXECUTE FUNCTION ashstand.guard()",
	}, guardName, truncateName)
}

func (t *table) createTracking() []string {
	var key []string
	for _, k := range t.key {
		key = append(key, quote(t.columns[k]))
	}
	return t.missing(map[string]string{
		markName: "AFTER INSERT OR UPDATE OR DELETE ON " + t.quoted() + " FOR EACH ROW EXECUTE FUNCTION ashstand.mark(" +
			strings.Join(key, ", ") + ")",
		emptiedName: "AFTER TRUNCATE ON " + t.quoted() + " FOR EACH STATEMENT EXECUTE FUNCTION ashstand.mark()",
	}, markName, emptiedName)
}

func (t *table) missing(of map[string]string, names ...string) (out []string) {
	for _, n := range names {
		if !t.triggers[n] {
			out = append(out, "CREATE TRIGGER "+n+" "+of[n])
		}
	}
	return out
}

// dressed makes the triggers that tables lack, each table's in a transaction of its own: who has to wait for one table's
// writers holds no other up.
func (p *Databases) dressed(ctx context.Context, a migration.Request, at migration.Group, of func(*table) []string) error {
	var all []*table
	if err := p.on(ctx, a, at, "tables", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		all, err = tables(ctx, conn)
		return err
	}); err != nil {
		return err
	}
	for _, t := range all {
		list := of(t)
		if len(list) == 0 || !t.carried() {
			continue
		}
		if err := p.act(ctx, a, at, "triggers of "+t.fullName(), ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
			return run(ctx, conn, list...)
		}); err != nil {
			return err
		}
	}
	return nil
}

// founded makes the base where it is missing.
func (p *Databases) founded(ctx context.Context, a migration.Request, at migration.Group) error {
	return p.on(ctx, a, at, "schema ashstand", func(ctx context.Context, conn *pgconn.PgConn) error {
		there, err := fencing.QueryValue(ctx, conn, "SELECT count(*) FROM information_schema.tables WHERE table_schema = 'ashstand' AND table_name IN "+
			"('fence', 'gate', 'book', 'touched')")
		if err != nil || there == "4" {
			return err
		}
		for range 2 {
			if err = run(ctx, conn, base...); sqlState(err) != "23505" && sqlState(err) != "42P07" && sqlState(err) != "42P06" {
				break // else somebody made it at the same time
			}
		}
		return err
	})
}

// Publish makes the fence, its triggers and a publication without tables.
func (p *Databases) Publish(ctx context.Context, a migration.Request) error {
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.founded(ctx, a, at); err != nil {
			return err
		}
		if err := p.act(ctx, a, at, "publish", takes, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
			if err := run(ctx, conn, functions...); err != nil {
				return err
			}
			if err := shut(ctx, conn, at == a.Plan.To); err != nil {
				return err
			}
			items := book{"work": a.Job, "given": "", "deed": fmt.Sprint(deedNumber(a)), "marked": "", "sub": "", "back": ""}
			if at == a.Plan.From {
				if err := p.publication(ctx, conn, objectName(a, "f"), nil); err != nil {
					return err
				}
			}
			return write(ctx, conn, items)
		}); err != nil {
			return err
		}
		if err := p.dressed(ctx, a, at, (*table).createGuards); err != nil {
			return err
		}
	}
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} { // last of all: it is done
		if err := p.act(ctx, a, at, "publish", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
			return write(ctx, conn, book{"published": a.OperationID})
		}); err != nil {
			return err
		}
	}
	return nil
}

// shut closes or opens a group's gate.
func shut(ctx context.Context, conn *pgconn.PgConn, closed bool) error {
	_, n, err := fencing.Exec(ctx, conn, fmt.Sprintf("UPDATE ashstand.gate SET closed = %v WHERE id = 1 AND closed <> %v", closed, closed))
	if err != nil || n == 1 {
		return err
	}
	_, _, err = fencing.Exec(ctx, conn, fmt.Sprintf("INSERT INTO ashstand.gate (id, closed) VALUES (1, %v) ON CONFLICT DO NOTHING", closed))
	return err
}

// publication makes one and drops all others of moves, in the transaction that is open.
func (p *Databases) publication(ctx context.Context, conn *pgconn.PgConn, called string, of []*table) error {
	rows, _, err := fencing.Exec(ctx, conn, "SELECT pubname FROM pg_publication")
	if err != nil {
		return err
	}
	there := false
	for _, r := range rows {
		if there = there || r[0] == called; r[0] != called && strings.HasPrefix(r[0], anyPrefix) {
			if err = run(ctx, conn, "DROP PUBLICATION "+ident(r[0])); err != nil {
				return err
			}
		}
	}
	if there || called == "" {
		return nil
	}
	list := ""
	for i, t := range of {
		list += map[bool]string{true: " FOR TABLE ", false: ", "}[i == 0] + t.quoted()
	}
	return run(ctx, conn, "CREATE PUBLICATION "+ident(called)+list)
}

// slotsOf are the slots of moves at a group, with who streams from them ("": nobody).
func slotsOf(ctx context.Context, conn *pgconn.PgConn) (map[string]string, error) {
	rows, _, err := fencing.Exec(ctx, conn, "SELECT slot_name, coalesce(active_pid, 0) FROM pg_replication_slots "+
		"WHERE database = current_database() AND NOT temporary")
	out := map[string]string{}
	for _, r := range rows {
		if strings.HasPrefix(r[0], anyPrefix) {
			out[r[0]] = strings.TrimPrefix(r[1], "0")
		}
	}
	return out, err
}

// dropSlots drops the slots of moves but those that are to stay. Who still streams from one is ended: its subscription
// is gone, or is to go.
func (p *Databases) dropSlots(ctx context.Context, a migration.Request, at migration.Group, stay ...string) error {
	return p.on(ctx, a, at, "drop slots", func(ctx context.Context, conn *pgconn.PgConn) error {
		return freed(ctx, conn, a, stay)
	})
}

func freed(ctx context.Context, conn *pgconn.PgConn, a migration.Request, stay []string) error {
	for {
		left, err := slotsOf(ctx, conn)
		if err != nil {
			return err
		}
		busy := error(nil)
		for slot, pid := range left {
			if slices.Contains(stay, slot) || !isRemovable(slot, a) {
				continue
			}
			if pid != "" {
				if _, err = fencing.QueryValue(ctx, conn, "SELECT pg_terminate_backend("+pid+")"); err != nil {
					return err
				}
			}
			_, _, err = fencing.Exec(ctx, conn, "SELECT pg_drop_replication_slot("+quote(slot)+")")
			switch sqlState(err) {
			case "55006":
				busy = err
			case "42704":
			default:
				if err != nil {
					return err
				}
			}
		}
		if busy == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return busy
		case <-time.After(10 * time.Millisecond): // until who streamed has ended
		}
	}
}

// dropSubscriptions drops those of moves at a group but one. Their slots stay with the publisher, which may be gone.
func dropSubscriptions(ctx context.Context, conn *pgconn.PgConn, a migration.Request, stay string) error {
	rows, _, err := fencing.Exec(ctx, conn, "SELECT subname FROM pg_subscription WHERE subdbid = (SELECT oid FROM pg_database WHERE datname = current_database())")
	if err != nil {
		return err
	}
	for _, r := range rows {
		if r[0] == stay || !isRemovable(r[0], a) {
			continue
		}
		if err = run(ctx, conn, "ALTER SUBSCRIPTION "+ident(r[0])+" DISABLE", "ALTER SUBSCRIPTION "+ident(r[0])+" SET (slot_name = NONE)",
			"DROP SUBSCRIPTION "+ident(r[0])); err != nil && sqlState(err) != "42704" {
			return err
		}
	}
	return nil
}

// subscribed says whether a group has a subscription.
func subscribed(ctx context.Context, conn *pgconn.PgConn, called string) (bool, error) {
	n, err := fencing.QueryValue(ctx, conn, "SELECT count(*) FROM pg_subscription WHERE subname = $1 AND subenabled", called)
	return n == "1", err
}

// emptied empties the tenant's tables at a group. Neither the gate's trigger nor the marks' run: who does this is the move.
func emptied(ctx context.Context, conn *pgconn.PgConn) error {
	all, err := tables(ctx, conn)
	if err != nil {
		return err
	}
	var list []string
	for _, t := range all {
		list = append(list, t.quoted())
	}
	if len(list) == 0 {
		return nil
	}
	return run(ctx, conn, "SET LOCAL session_replication_role = replica", "TRUNCATE "+strings.Join(list, ", "),
		"SET LOCAL session_replication_role = origin")
}

// follow has one group follow another from now on by a new subscription, and drops what followed before.
func (p *Databases) follow(ctx context.Context, a migration.Request, at, of migration.Group, called, slot string, l migration.Timelines, again, copies bool, all func(*table) bool) error {
	var stay []string
	if err := p.act(ctx, a, of, "publication "+called, ours, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
		list, err := tables(ctx, conn)
		if err != nil {
			return err
		}
		if stay = nil; b["back"] != "" {
			stay = append(stay, b["back"])
		}
		return p.publication(ctx, conn, called, slices.DeleteFunc(list, func(t *table) bool { return !t.carried() || !all(t) }))
	}); err != nil {
		return err
	}
	there := false
	if err := p.on(ctx, a, at, "drop subscriptions", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		if err = dropSubscriptions(ctx, conn, a, called); err == nil {
			there, err = subscribed(ctx, conn, called)
		}
		return err
	}); err != nil {
		return err
	}
	if there {
		stay = append(stay, called)
	}
	if err := p.dropSlots(ctx, a, of, stay...); err != nil || there {
		return err
	}
	if err := p.act(ctx, a, at, "subscription "+called, ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		if again {
			if err := emptied(ctx, conn); err != nil {
				return err
			}
		}
		return write(ctx, conn, book{"sub": called, "sub home line": fmt.Sprint(l.Source), "sub other line": fmt.Sprint(l.Target)})
	}); err != nil {
		return err
	}
	return p.on(ctx, a, at, "subscription "+called, func(ctx context.Context, conn *pgconn.PgConn) error {
		with := fmt.Sprintf("origin = none, slot_name = %s, create_slot = %v, copy_data = %v", quote(slot), slot == called, copies)
		if version, err := fencing.QueryValue(ctx, conn, "SHOW server_version_num"); err != nil {
			return err
		} else if version >= "170000" && slot == called { // of six digits since release 10
			with += ", failover = true"
		}
		return run(ctx, conn, "CREATE SUBSCRIPTION "+ident(called)+" CONNECTION "+quote(p.reach(a, of))+" PUBLICATION "+ident(called)+" WITH ("+with+")")
	})
}

// Subscribe makes the subscription at To.
func (p *Databases) Subscribe(ctx context.Context, a migration.Request) (migration.Timelines, error) {
	before, err := p.lines(ctx, a, a.Plan.From, a.Plan.To)
	if err != nil {
		return before, err
	}
	if err = p.unmark(ctx, a); err != nil {
		return before, err
	}
	called := objectName(a, "f")
	if err = p.follow(ctx, a, a.Plan.To, a.Plan.From, called, called, before, a.Data.Recopy, true, func(*table) bool { return false }); err != nil {
		return before, err
	}
	return before, p.settled(ctx, a, "followed", before)
}

// unmark forgets that touched ranges are noted: it is begun anew.
func (p *Databases) unmark(ctx context.Context, a migration.Request) error {
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.act(ctx, a, at, "forget marks", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
			return write(ctx, conn, book{"marked": "", "followed": ""})
		}); err != nil {
			return err
		}
	}
	return nil
}

// settled notes at both homes that a deed is done there, and at which timelines.
func (p *Databases) settled(ctx context.Context, a migration.Request, item string, l migration.Timelines) error {
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.act(ctx, a, at, item, ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
			return write(ctx, conn, book{item: a.OperationID, "home line": fmt.Sprint(l.Source), "other line": fmt.Sprint(l.Target)})
		}); err != nil {
			return err
		}
	}
	return nil
}

// Copy hands over the next tables.
func (p *Databases) Copy(ctx context.Context, a migration.Request) (migration.CopyResult, error) {
	out := migration.CopyResult{LastTable: a.State.Copy.LastTable, Complete: true}
	var sub string
	err := p.act(ctx, a, a.Plan.From, "hand over tables", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		all, err := tables(ctx, conn)
		if err != nil {
			return err
		}
		out = migration.CopyResult{LastTable: a.State.Copy.LastTable, Complete: true}
		if sub, err = published(ctx, conn); err != nil {
			return err
		}
		rows, _, err := fencing.Exec(ctx, conn, "SELECT schemaname, tablename FROM pg_publication_tables WHERE pubname = $1", sub)
		if err != nil {
			return err
		}
		have := map[string]bool{}
		for _, r := range rows {
			have[r[0]+"."+r[1]] = true
		}
		for _, t := range all {
			switch {
			case t.fullName() <= a.State.Copy.LastTable || !t.carried():
				continue
			case out.LastTable != a.State.Copy.LastTable && out.Rows+max(0, t.rows) > a.Data.Rows:
				out.Complete = false
				return nil
			}
			out.LastTable, out.Rows = t.fullName(), out.Rows+max(0, t.rows)
			if !have[t.fullName()] {
				if err = run(ctx, conn, "ALTER PUBLICATION "+ident(sub)+" ADD TABLE "+t.quoted()); err != nil {
					return err
				}
			}
		}
		return nil
	})
	if err != nil {
		return out, err
	}
	if err = p.act(ctx, a, a.Plan.To, "hand over tables", ours, func(context.Context, *pgconn.PgConn, book) error { return nil }); err != nil {
		return out, err
	}
	err = p.on(ctx, a, a.Plan.To, "refresh", func(ctx context.Context, conn *pgconn.PgConn) error {
		return run(ctx, conn, "ALTER SUBSCRIPTION "+ident(sub)+" REFRESH PUBLICATION")
	})
	return out, err
}

// published is the name of the move's publication at a group; "": there is none.
func published(ctx context.Context, conn *pgconn.PgConn) (string, error) {
	rows, _, err := fencing.Exec(ctx, conn, "SELECT pubname FROM pg_publication")
	for _, r := range rows {
		if strings.HasPrefix(r[0], anyPrefix) {
			return r[0], nil
		}
	}
	return "", err
}

// ReplicateBack has the old home follow the new one.
func (p *Databases) ReplicateBack(ctx context.Context, a migration.Request) (migration.Timelines, error) {
	l, err := p.lines(ctx, a, a.Plan.To, a.Plan.From)
	if err != nil {
		return l, err
	}
	if err = p.act(ctx, a, a.Plan.From, "fence the old home", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
		return shut(ctx, conn, true)
	}); err != nil {
		return l, err
	}
	// What follows well goes on: a new subscription would not know how far the one before was.
	var slot, sub string
	followed, found := false, false
	if err = p.on(ctx, a, a.Plan.To, "look for the way back", func(ctx context.Context, conn *pgconn.PgConn) error {
		b, err := readBook(ctx, conn)
		if err != nil {
			return err
		}
		if sub, err = published(ctx, conn); err != nil {
			return err
		}
		slots, err := slotsOf(ctx, conn)
		if err != nil {
			return err
		}
		if _, found = slots[b["back"]]; found && b["back line"] == fmt.Sprint(l.Source) {
			slot = b["back"]
		}
		return nil
	}); err != nil {
		return l, err
	}
	if err = p.on(ctx, a, a.Plan.From, "look for the way back", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		followed, err = subscribed(ctx, conn, sub)
		return err
	}); err != nil {
		return l, err
	}
	if followed = followed && strings.HasPrefix(sub, prefix(a)+"r_") && slot != "" && !a.Data.Recopy; followed {
		return l, p.settled(ctx, a, "followed", l)
	}
	if err = p.unmark(ctx, a); err != nil {
		return l, err
	}
	called := objectName(a, "r")
	again := a.Data.Recopy || slot == ""
	if again {
		slot = called
		if err = p.act(ctx, a, a.Plan.To, "the way back", ours, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
			return write(ctx, conn, book{"back": called, "back line": fmt.Sprint(l.Source)})
		}); err != nil {
			return l, err
		}
	}
	if err = p.follow(ctx, a, a.Plan.From, a.Plan.To, called, slot, l, again, again, func(*table) bool { return true }); err != nil {
		return l, err
	}
	return l, p.settled(ctx, a, "followed", l)
}

// torn removes what a move built at a home but for the base.
func (p *Databases) torn(ctx context.Context, a migration.Request, at migration.Group, guards bool) error {
	if err := p.on(ctx, a, at, "drop subscriptions", func(ctx context.Context, conn *pgconn.PgConn) error {
		return dropSubscriptions(ctx, conn, a, "")
	}); err != nil {
		return err
	}
	var all []*table
	if err := p.act(ctx, a, at, "drop publications", ends, func(ctx context.Context, conn *pgconn.PgConn, _ book) (err error) {
		if all, err = tables(ctx, conn); err != nil {
			return err
		}
		return p.publication(ctx, conn, "", nil)
	}); err != nil {
		return err
	}
	names := []string{markName, emptiedName}
	if guards {
		names = append(names, guardName, truncateName)
	}
	for _, t := range all {
		var list []string
		for _, n := range names {
			if t.triggers[n] {
				list = append(list, "DROP TRIGGER IF EXISTS "+n+" ON "+t.quoted())
			}
		}
		if len(list) == 0 {
			continue
		}
		if err := p.act(ctx, a, at, "triggers of "+t.fullName(), ends, func(ctx context.Context, conn *pgconn.PgConn, _ book) error {
			return run(ctx, conn, list...)
		}); err != nil {
			return err
		}
	}
	return nil
}

// CleanUp removes what the move built and empties To's tables.
func (p *Databases) CleanUp(ctx context.Context, a migration.Request) error {
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.founded(ctx, a, at); err != nil {
			return err
		}
	}
	// To stops to follow first, and is emptied behind its gate.
	for _, at := range []migration.Group{a.Plan.To, a.Plan.From} {
		if err := p.mine(ctx, a, at); err != nil {
			return err
		}
		if err := p.torn(ctx, a, at, at == a.Plan.From); err != nil {
			return err
		}
	}
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.dropSlots(ctx, a, at); err != nil {
			return err
		}
	}
	if err := p.act(ctx, a, a.Plan.To, "empty", ends, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
		if b["given"] != "" {
			return nil
		}
		return emptied(ctx, conn)
	}); err != nil {
		return err
	}
	if err := p.torn(ctx, a, a.Plan.To, true); err != nil {
		return err
	}
	return p.given(ctx, a, func(at migration.Group) bool { return at == a.Plan.To })
}

// mine makes a home the work's where it is nobody's: what is to be cleared may never have been built there.
func (p *Databases) mine(ctx context.Context, a migration.Request, at migration.Group) error {
	return p.act(ctx, a, at, "clear", takes, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
		if b["work"] == "" {
			return write(ctx, conn, book{"work": a.Job, "deed": fmt.Sprint(deedNumber(a))})
		}
		return nil
	})
}

// given gives the tenant up at both homes, with their gates as they stay.
func (p *Databases) given(ctx context.Context, a migration.Request, closed func(migration.Group) bool) error {
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.act(ctx, a, at, "give up", ends, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
			if b["given"] != "" {
				return nil
			}
			if err := shut(ctx, conn, closed(at)); err != nil {
				return err
			}
			if _, _, err := fencing.Exec(ctx, conn, "DELETE FROM ashstand.touched"); err != nil {
				return err
			}
			return write(ctx, conn, book{"given": a.OperationID, "sub": "", "back": "", "marked": "", "followed": "", "published": ""})
		}); err != nil {
			return err
		}
	}
	return nil
}

// Finish removes what the move built, with From fenced for good.
func (p *Databases) Finish(ctx context.Context, a migration.Request) error {
	if err := p.act(ctx, a, a.Plan.From, "fence the old home", ends, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
		if b["given"] != "" {
			return nil
		}
		return shut(ctx, conn, true)
	}); err != nil {
		return err
	}
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.torn(ctx, a, at, at == a.Plan.To); err != nil {
			return err
		}
	}
	for _, at := range []migration.Group{a.Plan.From, a.Plan.To} {
		if err := p.dropSlots(ctx, a, at); err != nil {
			return err
		}
	}
	if a.Plan.OldCopy == "drop" {
		if err := p.act(ctx, a, a.Plan.From, "drop tables", ends, func(ctx context.Context, conn *pgconn.PgConn, b book) error {
			all, err := tables(ctx, conn)
			if err != nil || b["given"] != "" {
				return err
			}
			for _, t := range all {
				if err = run(ctx, conn, "DROP TABLE "+t.quoted()+" CASCADE"); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return p.given(ctx, a, func(at migration.Group) bool { return at == a.Plan.From })
}

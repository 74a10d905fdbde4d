package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// relation is how far a table of a subscription is, as pg_subscription_rel has it.
type relation struct {
	state byte   // i: to be copied, d: it is being copied, s: it was copied, r: it follows the stream
	lsn   uint64 // what the copy holds
	at    float64
}

// subscription follows publications of another group. Its worker runs where the primary is.
type subscription struct {
	name         string
	oid          uint32
	db           *Database
	conninfo     string
	slot         string // none: NONE
	publications []string
	enabled      bool
	origin       string // none or any
	giveUp       bool   // disable_on_error
	skipLSN      uint64
	tables       map[*Table]*relation
	progress     []progress
	by           *party

	pid                             uint32 // of the worker; 0: none runs
	received, latestEnd             uint64
	lastMessage, lastReceipt, ended time.Time
	applyErrors, copyErrors         int
	lastError                       string
	stop                            context.CancelFunc
	wake                            chan struct{}
	gone                            chan struct{} // it was dropped
	over                            chan struct{} // and its worker has ended
}

// progress is what a commit of the apply has taken from the origin.
type progress struct {
	at     float64
	remote uint64
}

// keptProgress bounds how many commits back the origin's progress is known, in commits: a failover loses no more.
const keptProgress = keptCommits

func (s *subscription) originName() string { return fmt.Sprintf("pg_%d", s.oid) }

// at is the position of the origin up to which all is applied. The cluster's lock is held.
func (s *subscription) at() uint64 {
	if n := len(s.progress); n > 0 {
		return s.progress[n-1].remote
	}
	return 0
}

func (s *subscription) kick() {
	if s.stop != nil {
		s.stop()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dial connects to the publisher as its connection string says.
func (c *Cluster) dial(ctx context.Context, conninfo, name string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(conninfo)
	if err != nil {
		return nil, err
	}
	cfg.RuntimeParams["application_name"] = name
	cfg.RuntimeParams["replication"] = "database"
	most := c.timing().ConnectTime
	cfg.ConnectTimeout = most
	cfg.DialFunc = (&net.Dialer{Timeout: most}).DialContext
	return pgconn.ConnectConfig(ctx, cfg)
}

// publisherTables asks a publisher for the tables of publications.
func publisherTables(ctx context.Context, p *pgconn.PgConn, names []string) (out [][2]string, err error) {
	var list []string
	for _, n := range names {
		list = append(list, "'"+strings.ReplaceAll(n, "'", "''")+"'")
	}
	all, err := p.Exec(ctx, "SELECT DISTINCT schemaname, tablename FROM pg_publication_tables WHERE pubname IN ("+strings.Join(list,
		", ")+") ORDER BY 1, 2").ReadAll()
	if err != nil {
		return nil, err
	}
	for _, r := range all[0].Rows {
		out = append(out, [2]string{string(r[0]), string(r[1])})
	}
	return out, nil
}

// remote words what a publisher said.
func remote(doing string, err error) *fault {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return &fault{pe.Code, fmt.Sprintf("could not %s: ERROR: %s", doing, pe.Message)}
	}
	return &fault{"08006", fmt.Sprintf("could not %s: %v", doing, err)}
}

func (c *conn) noBlock(what string) *fault {
	if c.tx.explicit || c.several {
		return &fault{"25001", what + " cannot run inside a transaction block"}
	}
	return nil
}

func yes(v string) bool {
	switch strings.ToLower(v) {
	case "true", "on", "1", "yes", "t":
		return true
	}
	return false
}

func (p *parser) names() (out []string, f *fault) {
	for {
		n, ok := p.identifier()
		if !ok {
			return nil, p.wrong()
		}
		if out = append(out, n); !p.take(",") {
			return out, nil
		}
	}
}

func (c *conn) createSubscription(p *parser) *fault {
	s := &subscription{
		db: c.db, enabled: true, origin: "any", tables: map[*Table]*relation{}, by: &party{}, wake: make(chan struct{}, 1),
		gone: make(chan struct{}), over: make(chan struct{}),
	}
	var ok bool
	if s.name, ok = p.identifier(); !ok {
		return p.wrong()
	}
	s.slot = s.name
	if f := p.need("connection"); f != nil {
		return f
	}
	if l := p.peek(); l.kind != 's' {
		return p.wrong()
	}
	s.conninfo = p.peek().text
	p.at++
	if f := p.need("publication"); f != nil {
		return f
	}
	var f *fault
	if s.publications, f = p.names(); f != nil {
		return f
	}
	connect, create, copies := true, true, true
	options := map[string]string{}
	if p.take("with") {
		if options, f = p.options(); f != nil {
			return f
		}
	}
	if v, ok := options["connect"]; ok && !yes(v) {
		connect, create, copies, s.enabled = false, false, false, false
	}
	for k, v := range options {
		switch k {
		case "connect":
		case "create_slot":
			create = yes(v)
		case "copy_data":
			copies = yes(v)
		case "enabled":
			s.enabled = yes(v)
		case "slot_name":
			s.slot = v
		case "origin":
			s.origin = strings.ToLower(v)
		case "disable_on_error":
			s.giveUp = yes(v)
		case "streaming", "synchronous_commit", "binary", "two_phase", "password_required", "run_as_owner", "failover":
		default:
			return &fault{"42601", fmt.Sprintf("unrecognized subscription parameter: %q", k)}
		}
	}
	switch {
	case s.origin != "none" && s.origin != "any":
		return &fault{"22023", fmt.Sprintf("unrecognized origin value: %q", s.origin)}
	case !connect && (create || copies || s.enabled):
		return &fault{"42601", "connect = false and create_slot, copy_data or enabled = true are mutually exclusive options"}
	case s.slot == "" && (create || s.enabled):
		return &fault{"42601", "slot_name = NONE and create_slot or enabled = true are mutually exclusive options"}
	}
	if create {
		if f = c.noBlock("CREATE SUBSCRIPTION ... WITH (create_slot = true)"); f != nil {
			return f
		}
	}
	cl := c.host.cluster
	cl.mu.Lock()
	there := c.db.subscriptions[s.name] != nil
	s.oid = cl.newOid()
	cl.mu.Unlock()
	if there {
		return &fault{"42710", fmt.Sprintf("subscription %q already exists", s.name)}
	}
	if _, err := pgconn.ParseConfig(s.conninfo); err != nil {
		return &fault{"42601", "invalid connection string syntax: " + err.Error()}
	}
	if connect {
		ctx, cancel := context.WithTimeout(context.Background(), 2*cl.timing().ConnectTime)
		defer cancel()
		pub, err := cl.dial(ctx, s.conninfo, s.name)
		if err != nil {
			return remote("connect to the publisher", err)
		}
		defer func() { _ = pub.Close(ctx) }()
		if f = s.refresh(ctx, c, pub, copies); f != nil {
			return f
		}
		if create {
			if _, err = pub.Exec(ctx, fmt.Sprintf("CREATE_REPLICATION_SLOT %q LOGICAL pgoutput", s.slot)).ReadAll(); err != nil {
				return remote(fmt.Sprintf("create replication slot %q", s.slot), err)
			}
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	c.db.subscriptions[s.name] = s
	go s.work()
	return nil
}

// refresh takes the tables that the publisher has now; new ones are copied, or followed from here on.
func (s *subscription) refresh(ctx context.Context, c *conn, pub *pgconn.PgConn, copies bool) *fault {
	list, err := publisherTables(ctx, pub, s.publications)
	if err != nil {
		return remote("receive list of replicated tables from the publisher", err)
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	found := map[*Table]bool{}
	for _, n := range list {
		t := s.db.tables[n[0]+"."+n[1]]
		if t == nil {
			return &fault{"42P01", fmt.Sprintf("relation %q does not exist", n[0]+"."+n[1])}
		}
		found[t] = true
	}
	for t := range found {
		if s.tables[t] == nil {
			s.tables[t] = &relation{state: 'r'}
			if copies {
				s.tables[t].state = 'i'
			}
		}
	}
	for t := range s.tables {
		if !found[t] {
			delete(s.tables, t)
		}
	}
	return nil
}

func (c *conn) alterSubscription(p *parser) *fault {
	name, _ := p.identifier()
	cl := c.host.cluster
	cl.mu.Lock()
	s := c.db.subscriptions[name]
	cl.mu.Unlock()
	if s == nil {
		return &fault{"42704", fmt.Sprintf("subscription %q does not exist", name)}
	}
	again := func(copies bool) *fault { // REFRESH PUBLICATION
		cl.mu.Lock()
		on, info := s.enabled, s.conninfo
		cl.mu.Unlock()
		if !on {
			return &fault{"55000", "ALTER SUBSCRIPTION ... REFRESH is not allowed for disabled subscriptions"}
		}
		if f := c.noBlock("ALTER SUBSCRIPTION ... REFRESH"); f != nil {
			return f
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*cl.timing().ConnectTime)
		defer cancel()
		pub, err := cl.dial(ctx, info, s.name)
		if err != nil {
			return remote("connect to the publisher", err)
		}
		defer func() { _ = pub.Close(ctx) }()
		return s.refresh(ctx, c, pub, copies)
	}
	options := func() (map[string]string, *fault) {
		if !p.take("with") {
			return nil, nil
		}
		return p.options()
	}
	copied := func(o map[string]string) bool {
		v, ok := o["copy_data"]
		return !ok || yes(v)
	}
	var f *fault
	switch {
	case p.take("enable"):
		cl.mu.Lock()
		if s.slot == "" {
			f = &fault{"55000", "cannot enable subscription that does not have a slot name"}
		} else {
			s.enabled = true
		}
		cl.mu.Unlock()
	case p.take("disable"):
		cl.mu.Lock()
		s.enabled = false
		cl.mu.Unlock()
	case p.take("refresh", "publication"):
		o, f2 := options()
		if f2 != nil {
			return f2
		}
		f = again(copied(o))
	case p.take("connection"):
		l := p.peek()
		if l.kind != 's' {
			return p.wrong()
		}
		p.at++
		if _, err := pgconn.ParseConfig(l.text); err != nil {
			return &fault{"42601", "invalid connection string syntax: " + err.Error()}
		}
		cl.mu.Lock()
		s.conninfo = l.text
		cl.mu.Unlock()
	case p.next("set", "publication"), p.next("add", "publication"), p.next("drop", "publication"):
		word := p.peek().text
		p.at += 2
		list, f2 := p.names()
		if f2 != nil {
			return f2
		}
		o, f2 := options()
		if f2 != nil {
			return f2
		}
		cl.mu.Lock()
		was := s.publications
		switch word {
		case "set":
			s.publications = list
		case "add":
			s.publications = append(slices.Clone(was), list...)
		default:
			s.publications = slices.DeleteFunc(slices.Clone(was), func(n string) bool { return slices.Contains(list, n) })
		}
		cl.mu.Unlock()
		if v, ok := o["refresh"]; !ok || yes(v) {
			if f = again(copied(o)); f != nil {
				cl.mu.Lock()
				s.publications = was
				cl.mu.Unlock()
			}
		}
	case p.take("set"):
		o, f2 := p.options()
		if f2 != nil {
			return f2
		}
		cl.mu.Lock()
		defer cl.mu.Unlock()
		for k, v := range o {
			switch k {
			case "slot_name":
				if v == "" && s.enabled {
					return &fault{"55000", "cannot set slot_name = NONE for enabled subscription"}
				}
				s.slot = v
			case "origin":
				if s.origin = strings.ToLower(v); s.origin != "none" && s.origin != "any" {
					return &fault{"22023", fmt.Sprintf("unrecognized origin value: %q", v)}
				}
			case "disable_on_error":
				s.giveUp = yes(v)
			case "synchronous_commit", "binary", "streaming":
			default:
				return &fault{"42601", fmt.Sprintf("unrecognized subscription parameter: %q", k)}
			}
		}
		s.kick()
		return nil
	case p.take("skip"):
		o, f2 := p.lsnOption()
		if f2 != nil {
			return f2
		}
		cl.mu.Lock()
		s.skipLSN = o
		cl.mu.Unlock()
	default:
		return p.wrong()
	}
	if f == nil {
		cl.mu.Lock()
		s.kick()
		cl.mu.Unlock()
	}
	return f
}

// lsnOption reads (lsn = 'X/Y'), or NONE.
func (p *parser) lsnOption() (uint64, *fault) {
	o, f := p.options()
	if f != nil {
		return 0, f
	}
	if o["lsn"] == "none" {
		return 0, nil
	}
	n, err := ParseLSN(o["lsn"])
	if err != nil {
		return 0, &fault{"22P02", err.Error()}
	}
	return n, nil
}

func (c *conn) dropSubscription(p *parser) *fault {
	ifExists := p.take("if", "exists")
	name, ok := p.identifier()
	if !ok {
		return p.wrong()
	}
	_ = p.take("cascade") || p.take("restrict")
	cl := c.host.cluster
	cl.mu.Lock()
	s := c.db.subscriptions[name]
	cl.mu.Unlock()
	if s == nil {
		if ifExists {
			return nil
		}
		return &fault{"42704", fmt.Sprintf("subscription %q does not exist", name)}
	}
	if s.slot != "" {
		if f := c.noBlock("DROP SUBSCRIPTION"); f != nil {
			return f
		}
	}
	cl.mu.Lock()
	was := s.enabled
	s.enabled = false
	s.kick()
	cl.mu.Unlock()
	back := func(f *fault) *fault {
		cl.mu.Lock()
		s.enabled = was
		s.kick()
		cl.mu.Unlock()
		return f
	}
	if s.slot != "" {
		ctx, cancel := context.WithTimeout(context.Background(), 2*cl.timing().ConnectTime)
		defer cancel()
		pub, err := cl.dial(ctx, s.conninfo, s.name)
		if err != nil {
			return back(remote(fmt.Sprintf("connect to publisher when attempting to drop replication slot %q", s.slot), err))
		}
		defer func() { _ = pub.Close(ctx) }()
		for {
			_, err = pub.Exec(ctx, fmt.Sprintf("DROP_REPLICATION_SLOT %q WAIT", s.slot)).ReadAll()
			var pe *pgconn.PgError
			if !errors.As(err, &pe) || pe.Code != "55006" || ctx.Err() != nil {
				break
			}
			time.Sleep(10 * time.Millisecond) // as WAIT does: until who streamed from it has ended
		}
		if err != nil {
			return back(remote(fmt.Sprintf("drop replication slot %q on publisher", s.slot), err))
		}
	}
	s.end()
	return nil
}

// end removes a subscription and waits for its worker.
func (s *subscription) end() {
	cl := s.db.cluster
	cl.mu.Lock()
	if s.db.subscriptions[s.name] == s {
		delete(s.db.subscriptions, s.name)
		close(s.gone)
	}
	s.kick()
	cl.mu.Unlock()
	<-s.over
}

// work runs the subscription's worker, again and again, until it is dropped.
func (s *subscription) work() {
	defer close(s.over)
	cl := s.db.cluster
	for {
		cl.mu.Lock()
		h := cl.primary
		on := s.enabled && h != nil && !h.isDown()
		var ctx context.Context
		var cancel context.CancelFunc
		if on {
			ctx, cancel = context.WithCancel(context.Background())
			s.stop, s.pid = cancel, h.pid.Add(1)
			s.received, s.latestEnd, s.lastMessage, s.lastReceipt, s.ended = 0, 0, time.Time{}, time.Time{}, time.Time{}
		}
		retry := cl.replication.Retry
		cl.mu.Unlock()
		var err error
		if on {
			err = s.session(ctx, h)
			stopped := ctx.Err() != nil
			cancel()
			cl.mu.Lock()
			s.stop, s.pid = nil, 0
			if err != nil && !stopped {
				s.lastError = err.Error()
				h.Counts.Add("subscription_error")
				var f *fault
				if errors.As(err, &f) && s.giveUp {
					s.enabled = false
				}
			}
			cl.mu.Unlock()
			if stopped {
				retry = 0
			}
		} else {
			retry = 20 * time.Millisecond // how soon a new primary or ENABLE is seen without a wake
		}
		select {
		case <-s.gone:
			return
		default:
		}
		select {
		case <-s.gone:
			return
		case <-s.wake:
		case <-time.After(retry):
		}
	}
}

// closeNow ends a connection without waiting for the other end.
func closeNow(p *pgconn.PgConn) {
	_ = p.Conn().SetDeadline(time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.Close(ctx)
}

// standing says whether the worker may go on: its host is the primary, up, and the same as when it began.
func (s *subscription) standing(ctx context.Context, h *Host, epoch int) error {
	cl := s.db.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case cl.primary != h || cl.epoch != epoch || h.isDown():
		return errors.New("terminating logical replication worker: its host is no primary any more")
	}
	return nil
}

// reached notes that all up to a position of the publisher is applied.
func (s *subscription) reached(end uint64) {
	cl := s.db.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s.latestEnd, s.ended = max(s.latestEnd, end), time.Now()
	for _, r := range s.tables {
		if r.state == 's' && r.lsn <= end {
			r.state = 'r'
		}
	}
}

// applying is an actor of the subscription's worker.
func (s *subscription) applying(ctx context.Context, h *Host, epoch int, remote uint64) *actor {
	tx := &transaction{db: s.db, by: s.by, origin: s.originName(), epoch: epoch, remote: remote}
	return &actor{cluster: s.db.cluster, host: h, tx: tx, role: "replica", stop: func() *fault {
		if err := s.standing(ctx, h, epoch); err != nil {
			return &fault{"57P01", err.Error()}
		}
		return nil
	}}
}

// commit ends what the worker has applied.
func (s *subscription) commit(a *actor) error {
	if _, f := s.db.cluster.commitChanges(a.host, a.tx); f != nil {
		return f
	}
	return nil
}

// apply takes over a commit of the publisher: a row that is there already stops it, one to change that is missing is
// passed over.
func (s *subscription) apply(ctx context.Context, h *Host, epoch int, lsn uint64, rows []streamedRow) error {
	cl := s.db.cluster
	cl.mu.Lock()
	skip := s.skipLSN != 0 && s.skipLSN == lsn
	if skip {
		s.skipLSN = 0
	}
	cl.mu.Unlock()
	a := s.applying(ctx, h, epoch, lsn)
	release := func() {
		cl.mu.Lock()
		cl.release(a.tx)
		cl.mu.Unlock()
	}
	for _, row := range rows {
		if skip {
			break
		}
		cl.mu.Lock()
		t := s.db.tables[row.Schema+"."+row.Table]
		r := s.tables[t]
		follows := r != nil && (r.state == 'r' || r.state == 's' && lsn > r.lsn)
		cl.mu.Unlock()
		if t == nil {
			release()
			return &fault{"55000", fmt.Sprintf("logical replication target relation %q does not exist", row.Schema+"."+row.Table)}
		}
		if !follows {
			continue
		}
		if f := a.applyRow(t, row); f != nil {
			release()
			return f
		}
	}
	a.tx.done = func(at float64) {
		if s.progress = append(s.progress, progress{at, lsn}); len(s.progress) >= 2*keptProgress {
			s.progress = append([]progress(nil), s.progress[len(s.progress)-keptProgress:]...)
		}
	}
	return s.commit(a)
}

// taken is a row of the publisher in the columns of a table here; the columns that it lacks are NULL.
func (t *Table) taken(columns []string, from []*string) ([]value, *fault) {
	vs := make([]value, len(t.columns))
	for i, c := range t.columns {
		vs[i] = nothing(c.Type)
	}
	for i, name := range columns {
		at := t.column(name)
		if at < 0 {
			return nil, &fault{"55000", fmt.Sprintf("logical replication target relation %q is missing replicated column: %q", t.Schema+"."+t.Name, name)}
		}
		if from[i] != nil {
			vs[at] = value{s: *from[i], typ: t.columns[at].Type}
		}
	}
	return vs, nil
}

func (a *actor) applyRow(t *Table, row streamedRow) *fault {
	var old, now []value
	var f *fault
	if row.New != nil {
		if now, f = t.taken(row.Columns, row.New); f != nil {
			return f
		}
	}
	if row.Old != nil {
		if old, f = t.taken(row.Columns, row.Old); f != nil {
			return f
		}
	}
	event := strings.ToLower(row.Op)
	if f = a.fires(t, event, true); f != nil {
		return f
	}
	if f = a.fires(t, event, false); f != nil {
		return f
	}
	switch row.Op {
	case "I":
		taken, _, f := a.insert(t, now)
		if f == nil && taken {
			a.host.Counts.Add("apply_conflict")
			f = t.duplicate(now)
		}
		return f
	case "T":
		var hits []hit
		if f = t.scan(span{lowest, highest}, latest, false, a.tx, func(h hit) (bool, *fault) {
			hits = append(hits, h)
			return true, nil
		}); f != nil {
			return f
		}
		for _, h := range hits {
			if f = a.lock(lockKey{t, h.key}, exclusive, false); f != nil {
				return f
			}
			if f = a.write(change{op: 'X', table: t, key: h.key, was: h.key, old: h.values}); f != nil {
				return f
			}
		}
		return a.write(change{op: 'T', table: t})
	}
	key, found := "", true
	if len(t.key) > 0 {
		key = t.keyFor(old)
	} else if key, found, f = a.sameRow(t, old); f != nil {
		return f
	}
	if found {
		if f = a.lock(lockKey{t, key}, exclusive, false); f != nil {
			return f
		}
	}
	before := a.current(t, key)
	if !found || before == nil {
		a.host.Counts.Add("apply_missing")
		return nil
	}
	if row.Op == "D" {
		return a.write(change{op: 'D', table: t, key: key, was: key, old: before})
	}
	return a.update(t, key, before, now)
}

// sameRow finds a row of a table without a key by all its values.
func (a *actor) sameRow(t *Table, vs []value) (key string, found bool, f *fault) {
	f = t.scan(span{lowest, highest}, latest, false, a.tx, func(h hit) (bool, *fault) {
		for i := range vs {
			if h.values[i].null != vs[i].null || h.values[i].s != vs[i].s {
				return true, nil
			}
		}
		key, found = h.key, true
		return false, nil
	})
	return key, found, f
}

// copyFrom takes over a table as it stands at the publisher, in one commit; what breaks begins again from nothing.
func (s *subscription) copyFrom(ctx context.Context, h *Host, t *Table, info string, epoch int, timeout time.Duration) error {
	cl := s.db.cluster
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	name := fmt.Sprintf("pg_%d_sync_%d", s.oid, t.oid)
	p, err := cl.dial(ctx, info, name)
	if err != nil {
		return err
	}
	defer closeNow(p)
	cl.mu.Lock()
	if r := s.tables[t]; r != nil {
		r.state = 'd'
	}
	cl.mu.Unlock()
	if _, err = p.Exec(ctx, "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY").ReadAll(); err != nil {
		return err
	}
	made, err := p.Exec(ctx, fmt.Sprintf("CREATE_REPLICATION_SLOT %q TEMPORARY LOGICAL pgoutput (SNAPSHOT 'use')", name)).ReadAll()
	if err != nil {
		return remote(fmt.Sprintf("create replication slot %q", name), err)
	}
	if len(made) != 1 || len(made[0].Rows) != 1 {
		return errors.New("the publisher gave no slot")
	}
	lsn, err := ParseLSN(string(made[0].Rows[0][1]))
	if err != nil {
		return err
	}
	in := &copying{a: s.applying(ctx, h, epoch, 0), t: t}
	in.heard.Store(time.Now().UnixNano())
	for _, c := range t.columns {
		in.columns = append(in.columns, c.Name)
	}
	defer func() {
		cl.mu.Lock()
		cl.release(in.a.tx)
		cl.mu.Unlock()
	}()
	go func() { // gives up on a link that says nothing, and on a host that is no primary any more
		for ctx.Err() == nil {
			quiet := time.Since(time.Unix(0, in.heard.Load()))
			if timeout > 0 && quiet > timeout || s.standing(ctx, h, epoch) != nil {
				cancel()
			}
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	var cols []string
	for _, c := range in.columns {
		cols = append(cols, quoted(c))
	}
	if _, err = p.CopyTo(ctx, in, fmt.Sprintf("COPY %s.%s (%s) TO STDOUT", quoted(t.Schema), quoted(t.Name), strings.Join(cols, ", "))); err != nil {
		if in.f != nil {
			return in.f
		}
		return err
	}
	in.a.tx.done = func(at float64) {
		if r := s.tables[t]; r != nil {
			r.state, r.lsn, r.at = 's', lsn, at
		}
	}
	return s.commit(in.a)
}

// copying takes the lines of a COPY as rows.
type copying struct {
	a       *actor
	t       *Table
	columns []string
	rest    []byte
	heard   atomic.Int64 // Unix nanoseconds
	f       *fault
}

func (w *copying) Write(b []byte) (int, error) {
	w.heard.Store(time.Now().UnixNano())
	w.rest = append(w.rest, b...)
	for {
		i := slices.Index(w.rest, '\n')
		if i < 0 {
			return len(b), nil
		}
		line := string(w.rest[:i])
		w.rest = w.rest[i+1:]
		var from []*string
		for _, p := range fromCopyText(line) {
			if p.null {
				from = append(from, nil)
			} else {
				from = append(from, &p.text)
			}
		}
		vs, f := w.t.taken(w.columns, from)
		if f == nil {
			f = w.a.fires(w.t, "i", false)
		}
		var taken bool
		if f == nil {
			taken, _, f = w.a.insert(w.t, vs)
		}
		if f == nil && taken {
			w.a.host.Counts.Add("apply_conflict")
			f = w.t.duplicate(vs)
		}
		if f != nil {
			w.f = f
			return 0, f
		}
	}
}

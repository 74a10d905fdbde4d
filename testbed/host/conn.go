package host

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxServerMessageBytes bounds what a client may send in one message.
const maxMessage = 16 << 20

type prepared struct {
	text   string
	of     []lexeme
	params []uint32
}

type portal struct {
	p      *prepared
	params []param
	format []int16
	rows   *rows // once it was executed and not run to its end
}

// conn is one connection with the state of its session.
type conn struct {
	host     *Host
	net      net.Conn
	out      *bufio.Writer
	in       *pgproto3.Backend
	pid, key uint32

	set         settings
	told        map[string]string
	tx          *transaction
	prepared    map[string]*prepared
	portals     map[string]*portal
	temp        map[string]bool
	rows        map[string]string // of temporary tables
	listens     map[string]bool
	committed   float64
	skip        bool // to Sync
	dead        bool
	cancelled   atomic.Bool
	running     atomic.Bool
	served      int
	hasAnswered bool // a part of the result of the query string under way was sent

	// Of a client that named a database:
	db          *Database
	user        string
	party       *party
	session     *transaction // holds what pg_advisory_lock took
	at          float64      // what the statement reads
	given       []uint32     // the types of its parameters that are known
	several     bool         // the query string has more than one statement
	replication bool
	slots       []string // temporary ones
	terminated  atomic.Bool
	doing       atomic.Pointer[activity]
}

// activity is a session as pg_stat_activity shows it.
type activity struct {
	state, query string
	began        time.Time // its transaction
	changed      time.Time
	xid          uint32
}

// note tells what the session does now.
func (c *conn) note(state, query string) {
	if c.db == nil {
		return
	}
	a := &activity{state: state, query: query, changed: time.Now()}
	if query == "" {
		if was := c.doing.Load(); was != nil {
			a.query = was.query
		}
	}
	if c.tx != nil && (state != "idle") {
		a.began, a.xid = c.tx.began, c.tx.xid
	}
	c.doing.Store(a)
}

func newConn(h *Host, c net.Conn) *conn {
	return &conn{
		host: h, net: c, prepared: map[string]*prepared{}, portals: map[string]*portal{}, told: map[string]string{},
		temp: map[string]bool{}, rows: map[string]string{}, listens: map[string]bool{},
		set: settings{start: map[string]string{}, now: map[string]string{}},
	}
}

func (c *conn) send(m pgproto3.BackendMessage) {
	if c.dead {
		return
	}
	switch m.(type) {
	case *pgproto3.RowDescription, *pgproto3.DataRow, *pgproto3.CommandComplete:
		c.hasAnswered = true
	}
	b, err := m.Encode(nil)
	if err == nil {
		_, err = c.out.Write(b)
	}
	if err != nil {
		c.dead = true
	}
}

func (c *conn) flush() {
	if !c.dead && c.out.Flush() != nil {
		c.dead = true
	}
}

// cut breaks the connection as a dying machine does.
func (c *conn) cut(why string) {
	if !c.dead {
		c.host.Counts.Add(why)
	}
	c.dead = true
	abort(c.net)
}

func (c *conn) fail(f *fault) {
	if c.tx != nil {
		c.tx.failed = true
	}
	severity := "ERROR"
	c.send(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: f.state, Message: f.text})
}

// report tells the client what changed of the settings that are reported.
func (c *conn) report() {
	for name, word := range reported {
		v, _ := c.set.get(name)
		if c.told[name] != v {
			c.told[name] = v
			c.send(&pgproto3.ParameterStatus{Name: word, Value: v})
		}
	}
}

func (c *conn) ready() {
	if c.terminated.Load() {
		c.farewell()
		return
	}
	part, position, gauges := c.host.tells()
	if c.committed > 0 {
		position = int64(math.Ceil(c.committed))
		c.committed = 0
	}
	for _, s := range [][2]string{{"part", part}, {"caught_up_to", strconv.FormatInt(position, 10)}, {"gauges", gauges}} {
		c.send(&pgproto3.ParameterStatus{Name: s[0], Value: s[1]})
	}
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status()})
	if c.db != nil {
		c.note(map[byte]string{'I': "idle", 'T': "idle in transaction", 'E': "idle in transaction (aborted)"}[c.status()], "")
	}
	c.flush()
}

// farewell ends a session that pg_terminate_backend ended.
func (c *conn) farewell() {
	c.send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "57P01", Message: "terminating connection due to administrator command"})
	c.flush()
	c.dead = true
}

// serve runs the connection to its end.
func (c *conn) serve() {
	defer func() {
		c.rollback()
		c.depart()
		c.host.cancels.Delete(uint64(c.pid)<<32 | uint64(c.key))
		_ = c.net.Close()
	}()
	c.out = bufio.NewWriterSize(&cutting{c}, 16<<10)
	c.in = pgproto3.NewBackend(c.net, nil)
	c.in.SetMaxBodyLen(maxMessage)
	if !c.startup() {
		return
	}
	for !c.dead {
		f := c.host.fault()
		if c.served > 0 && c.tx == nil && !c.skip && c.host.chance(f.CutIdle) {
			c.cut("cut_idle")
			return
		}
		limit := c.idleLimit()
		m, err := c.in.Receive()
		if limit > 0 && err != nil && errors.Is(err, os.ErrDeadlineExceeded) && !c.terminated.Load() {
			c.host.Counts.Add("idle_in_transaction")
			c.send(&pgproto3.ErrorResponse{
				Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "25P03",
				Message: "terminating connection due to idle-in-transaction timeout",
			})
			c.flush()
			return
		}
		if limit > 0 {
			_ = c.net.SetReadDeadline(time.Time{})
		}
		if c.terminated.Load() {
			c.farewell()
			return
		}
		if err != nil {
			return
		}
		c.served++
		if !c.handle(m) {
			return
		}
	}
}

// idleLimit sets for how long the next message may be waited for; 0: without end.
func (c *conn) idleLimit() time.Duration {
	if c.tx == nil || !c.tx.explicit {
		return 0
	}
	v, _ := c.set.get("idle_in_transaction_session_timeout")
	limit := duration(v)
	if limit > 0 {
		_ = c.net.SetReadDeadline(time.Now().Add(limit))
		if c.terminated.Load() { // signal's deadline was just overwritten
			_ = c.net.SetReadDeadline(time.Now())
		}
	}
	return limit
}

func (c *conn) startup() bool {
	for {
		m, err := c.in.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			if len(m.SecretKey) == 4 {
				key := uint64(m.ProcessID)<<32 | uint64(binary.BigEndian.Uint32(m.SecretKey))
				if other, ok := c.host.cancels.Load(key); ok {
					c.host.Counts.Add("cancel")
					if o := other.(*conn); o.running.Load() {
						o.cancelled.Store(true)
					}
				}
			}
			return false
		case *pgproto3.StartupMessage:
			c.host.cluster.observeHandshake(c.host.Name)
			if c.host.Open() > c.host.most {
				c.send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "53300", Message: "too many connections"})
				c.flush()
				return false
			}
			for name, value := range m.Parameters {
				if name = strings.ToLower(name); known(name) {
					c.set.start[name] = value
				}
			}
			if !c.enter(m.Parameters) {
				return false
			}
			c.pid = c.host.pid.Add(1)
			c.key = c.pid * 2654435761
			c.host.cancels.Store(uint64(c.pid)<<32|uint64(c.key), c)
			c.send(&pgproto3.AuthenticationOk{})
			c.report()
			c.send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: binary.BigEndian.AppendUint32(nil, c.key)})
			c.ready()
			return !c.dead
		}
	}
}

// cutting writes to the network and now and then breaks the connection at some byte.
type cutting struct{ c *conn }

func (w *cutting) Write(b []byte) (int, error) {
	c := w.c
	if c.served > 0 && c.host.chance(c.host.fault().CutAnswer) {
		c.host.cluster.mu.Lock()
		n := c.host.cluster.rng.IntN(len(b))
		c.host.cluster.mu.Unlock()
		_, _ = c.net.Write(b[:n])
		time.Sleep(time.Millisecond) // a reset would take back what was written
		c.cut("cut_answer")
		return n, net.ErrClosed
	}
	return c.net.Write(b)
}

func (c *conn) handle(m pgproto3.FrontendMessage) bool {
	if c.skip {
		switch m.(type) {
		case *pgproto3.Sync:
			c.skip = false
			c.sync()
		case *pgproto3.Terminate:
			return false
		}
		return !c.dead
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		c.query(m.String)
	case *pgproto3.Parse:
		if f := c.parse(m); f != nil {
			c.stumble(f)
		} else {
			c.send(&pgproto3.ParseComplete{})
		}
	case *pgproto3.Bind:
		if f := c.bind(m); f != nil {
			c.stumble(f)
		} else {
			c.send(&pgproto3.BindComplete{})
		}
	case *pgproto3.Describe:
		c.describe(m)
	case *pgproto3.Execute:
		c.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.sync()
	case *pgproto3.Flush:
		c.flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail: // of a COPY that failed
	case *pgproto3.Terminate:
		return false
	default:
		c.stumble(&fault{"08P01", fmt.Sprintf("%T is not known here", m)})
	}
	return !c.dead
}

// stumble is an error in a pipeline: what follows is skipped up to Sync.
func (c *conn) stumble(f *fault) {
	c.fail(f)
	c.flush() // as a server does: it keeps replies in its buffer, but no error
	c.skip = true
}

// sync ends the implicit transaction.
func (c *conn) sync() {
	if c.tx != nil && !c.tx.explicit {
		if _, f := c.commit(); f != nil {
			c.fail(f)
		}
	}
	if !c.dead {
		c.ready()
	}
}

func (c *conn) query(text string) {
	c.host.cluster.observe(c.host.Name, text)
	c.prepared[""] = nil
	delete(c.prepared, "")
	if c.replication && c.replicationCommand(text) {
		return
	}
	c.hasAnswered = false
	statements, texts, f := read(text)
	if f != nil {
		c.fail(f)
	} else if len(statements) == 0 {
		c.send(&pgproto3.EmptyQueryResponse{})
	} else if f = c.host.checkRead(text); f != nil {
		statements = nil
	} else if f = c.work(statements[0], text); f != nil {
		statements = nil
	}
	c.several = len(statements) > 1
	for i, s := range statements {
		if f = c.statement(s, texts[i], nil, nil, 0, nil, true); f != nil || c.dead {
			break
		}
	}
	if f == nil && !c.dead && c.hasAnswered && c.host.chance(c.host.fault().AfterRow) {
		f = c.errAfterRow()
	}
	if f != nil {
		if c.tx != nil {
			c.tx.failed = true
		}
		if !c.hasAnswered {
			c.host.cluster.observeRejection(c.host.Name, text, f)
		}
		c.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: f.state, Message: f.text})
	}
	c.sync()
}

// work waits for as long as the host works on a query string, unless the host rejects it.
func (c *conn) work(first []lexeme, text string) *fault {
	of := c.host.cluster.serviceTime.Load()
	if of == nil || first[0].text == "insert" && !c.host.Primary() {
		return nil
	}
	return c.wait((*of)(c.host.Name, text))
}

// errAfterRow commits what the statement did, and returns the error that follows its result.
func (c *conn) errAfterRow() *fault {
	if c.tx != nil && !c.tx.explicit {
		if _, f := c.commit(); f != nil {
			return f
		}
	}
	c.host.Counts.Add("error_after_row")
	return &fault{c.host.fault().AfterRowState, "an error that follows the whole result"}
}

func (c *conn) parse(m *pgproto3.Parse) *fault {
	statements, texts, f := read(m.Query)
	if f != nil {
		return f
	}
	if len(statements) > 1 {
		return syntax("cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{params: m.ParameterOIDs}
	if len(statements) == 1 {
		p.of, p.text = statements[0], texts[0]
	}
	if c.tx != nil && c.tx.failed && !ends(p.of) {
		return &fault{"25P02", "current transaction is aborted"}
	}
	c.several = false
	if c.db != nil && len(p.of) > 0 {
		if f := c.infer(p); f != nil {
			return f
		}
	}
	if _, ok := c.prepared[m.Name]; ok && m.Name != "" {
		return &fault{"42P05", fmt.Sprintf("prepared statement %q already exists", m.Name)}
	}
	for n := parameters(p.of); len(p.params) < n; {
		p.params = append(p.params, 25)
	}
	for i, oid := range p.params {
		if oid == 0 {
			p.params[i] = 25
		}
	}
	c.prepared[m.Name] = p
	return nil
}

func (c *conn) bind(m *pgproto3.Bind) *fault {
	p, ok := c.prepared[m.PreparedStatement]
	if !ok {
		return missing(m.PreparedStatement)
	}
	if c.tx != nil && c.tx.failed && !ends(p.of) {
		return &fault{"25P02", "current transaction is aborted"}
	}
	if len(m.Parameters) != len(p.params) {
		return &fault{"08P01", fmt.Sprintf("bind message supplies %d parameters, but prepared statement %q requires %d", len(m.Parameters), m.PreparedStatement,
			len(p.params))}
	}
	t := &portal{p: p, format: m.ResultFormatCodes}
	for i, v := range m.Parameters {
		binaryForm := len(m.ParameterFormatCodes) == 1 && m.ParameterFormatCodes[0] == 1 ||
			i < len(m.ParameterFormatCodes) && m.ParameterFormatCodes[i] == 1
		s := string(v)
		if binaryForm && v != nil {
			s = fromWire(p.params[i], v)
		}
		t.params = append(t.params, param{s, v == nil})
	}
	c.portals[m.DestinationPortal] = t
	return nil
}

func missing(name string) *fault {
	return &fault{"26000", fmt.Sprintf("prepared statement %q does not exist", name)}
}

func (c *conn) describe(m *pgproto3.Describe) {
	var p *prepared
	var format []int16
	if m.ObjectType == 'S' {
		if p = c.prepared[m.Name]; p == nil {
			c.stumble(missing(m.Name))
			return
		}
		if c.tx == nil || !c.tx.failed || c.shape(p) == nil {
			c.send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
		}
	} else {
		t := c.portals[m.Name]
		if t == nil {
			c.stumble(&fault{"34000", fmt.Sprintf("portal %q does not exist", m.Name)})
			return
		}
		p, format = t.p, t.format
	}
	fields := c.shape(p)
	if fields != nil && c.tx != nil && c.tx.failed {
		c.stumble(&fault{"25P02", "current transaction is aborted"})
		return
	}
	if fields != nil {
		c.send(description(fields, format))
	} else {
		c.send(&pgproto3.NoData{})
	}
}

// shape is the columns of a statement's result; nil: it has none.
func (c *conn) shape(p *prepared) (out []field) {
	if len(p.of) == 0 {
		return nil
	}
	if c.db != nil && (c.tx == nil || !c.tx.failed) {
		at := p
		if w := (&words{of: p.of}); w.take("execute") {
			if name, ok := w.identifier(); ok && c.prepared[name] != nil {
				at = c.prepared[name]
			}
		}
		c.given = append([]uint32(nil), at.params...)
		if st, f := c.plan(at.of); f == nil && st != nil {
			return st.fields
		}
	}
	for _, n := range c.columns(p.of) {
		out = append(out, field{n, typeText})
	}
	return out
}

// infer finds the types of a statement's parameters that the client has not told.
func (c *conn) infer(p *prepared) *fault {
	c.given = append([]uint32(nil), p.params...)
	st, f := c.plan(p.of)
	if f != nil || st == nil {
		return f
	}
	for len(p.params) < len(st.params) {
		p.params = append(p.params, 0)
	}
	for i, t := range st.params {
		if p.params[i] == 0 && t != typeUnknown {
			p.params[i] = t
		}
	}
	return nil
}

// formOf is the form of a column of a result.
func formOf(format []int16, i int) int16 {
	switch {
	case len(format) == 0:
		return 0
	case len(format) == 1:
		return format[0]
	case i < len(format):
		return format[i]
	}
	return 0
}

func description(fields []field, format []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, n := range fields {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(n.name), DataTypeOID: n.typ, DataTypeSize: sizes[n.typ] - 1, TypeModifier: -1,
			Format: formOf(format, i),
		})
	}
	return d
}

// sizes are the types' sizes in bytes and one more; the others have any.
var sizes = map[uint32]int16{typeBool: 2, typeInt8: 9, typeInt4: 5, typeOid: 5, typeXid: 5, typeFloat8: 9, typeTimestamptz: 9, typeRegclass: 5, typeLSN: 9}

// enter takes the database that a client names.
func (c *conn) enter(parameters map[string]string) bool {
	c.user = parameters["user"]
	name := parameters["database"]
	if name == "" {
		name = c.user
	}
	cl := c.host.cluster
	cl.mu.Lock()
	db, strict := cl.databases[name], cl.strict
	cl.mu.Unlock()
	refuse := func(state, text string) bool {
		c.send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: state, Message: text})
		c.flush()
		return false
	}
	if db == nil && strict {
		return refuse("3D000", fmt.Sprintf("database %q does not exist", name))
	}
	if c.db = db; db != nil {
		c.party = &party{}
		c.session = &transaction{db: db, by: c.party}
		c.replication = parameters["replication"] == "database"
	}
	return true
}

// depart lets go what the session held beyond its transactions.
func (c *conn) depart() {
	if c.db == nil {
		return
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.release(c.session)
	for _, name := range c.slots {
		if s := c.host.slots[name]; s != nil && s.temporary && s.pid == c.pid {
			delete(c.host.slots, name)
			cl.trim(s.db)
		}
	}
}

func (c *conn) execute(m *pgproto3.Execute) {
	t := c.portals[m.Portal]
	if t == nil {
		c.stumble(&fault{"34000", fmt.Sprintf("portal %q does not exist", m.Portal)})
		return
	}
	if len(t.p.of) == 0 {
		c.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	if f := c.statement(t.p.of, t.p.text, t.params, t.format, int(m.MaxRows), t, false); f != nil {
		c.stumble(f)
	}
}

func ends(s []lexeme) bool {
	if len(s) == 0 {
		return true
	}
	switch s[0].text {
	case "rollback", "commit", "end", "abort":
		return true
	}
	return false
}

// pause waits as the host's faults have it; a cancel ends it.
func (c *conn) pause() *fault {
	f := c.host.fault()
	switch {
	case c.host.chance(f.Stall):
		c.host.Counts.Add("stall")
		return c.wait(f.StallFor)
	case c.host.chance(f.Slow):
		c.host.Counts.Add("slow")
		return c.wait(f.SlowFor)
	}
	return nil
}

func (c *conn) wait(d time.Duration) *fault {
	if d <= 0 {
		return nil
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		if c.cancelled.Load() {
			return &fault{"57014", "canceling statement due to user request"}
		}
		if c.terminated.Load() {
			return &fault{"57P01", "terminating connection due to administrator command"}
		}
		time.Sleep(min(5*time.Millisecond, time.Until(end)))
	}
	return nil
}

// noteTransaction counts a new transaction, and whether one came long after the host was told to drain.
func (h *Host) noteTransaction() {
	h.mu.Lock()
	late := !h.draining.IsZero() && time.Since(h.draining) > 1050*time.Millisecond
	h.mu.Unlock()
	h.Counts.Add("transactions")
	if late {
		h.Counts.Add("sent_to_draining")
	}
}

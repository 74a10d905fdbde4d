package host

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rows are a result, made one by one so that a large one needs no memory.
type rows struct {
	names  []string
	fields []field                     // in place of names, where there are types
	next   func() (row []any, ok bool) // a string, a value, or nil for NULL
	sent   int
	tag    string // with %d for the count of rows
}

// columns are a result's, of text where nothing else is told.
func (r *rows) columns() []field {
	if r.fields != nil {
		return r.fields
	}
	out := make([]field, 0, len(r.names))
	for _, n := range r.names {
		out = append(out, field{n, typeText})
	}
	return out
}

func one(name string, v any) *rows {
	done := false
	return &rows{names: []string{name}, tag: "SELECT %d", next: func() ([]any, bool) {
		if done {
			return nil, false
		}
		done = true
		return []any{v}, true
	}}
}

// columns names the columns of a statement's result without running it; nil: it has none.
func (c *conn) columns(s []lexeme) []string {
	w := &words{of: s}
	switch {
	case w.take("select"):
		return selected(w)
	case w.take("show"):
		return []string{"setting"}
	case w.take("execute"):
		if name, ok := w.identifier(); ok && c.prepared[name] != nil {
			return c.columns(c.prepared[name].of)
		}
	case w.take("insert"), w.take("update"):
		for ; w.more(); w.at++ {
			if w.take("returning") {
				name, _ := w.identifier()
				return []string{name}
			}
		}
	}
	return nil
}

func selected(w *words) []string {
	var names []string
	depth, name := 0, ""
	for ; w.more(); w.at++ {
		l := w.peek()
		switch {
		case l.kind == '(':
			depth++
		case l.kind == ')':
			depth--
		case depth == 0 && l.kind == ',':
			names, name = append(names, name), ""
			continue
		case depth == 0 && l.kind == 'w' && l.text == "from":
			return append(names, name)
		}
		if name == "" {
			if name = "?column?"; l.kind == 'w' {
				name = l.text
			}
		}
	}
	return append(names, name)
}

func (c *conn) complete(tag string) { c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)}) }

// statement runs one statement. simple: its result's description is part of the answer, and it is of a query string.
func (c *conn) statement(s []lexeme, text string, params []param, format []int16, most int, p *portal, simple bool) (f *fault) {
	c.cancelled.Store(false)
	c.running.Store(true)
	defer c.running.Store(false)
	if p != nil && p.rows != nil {
		return c.put(p.rows, format, most, p, false)
	}
	w := &words{of: s}
	if c.tx != nil && c.tx.failed && !ends(s) {
		return &fault{"25P02", "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch {
	case w.take("begin"), w.take("start", "transaction"):
		c.begin(true)
		for ; w.more(); w.at++ {
			if w.take("read", "only") {
				c.tx.readOnly = true
				w.at--
			} else if w.take("read", "write") {
				c.tx.readOnly = false
				w.at--
			} else if w.take("repeatable", "read") || w.take("serializable") {
				c.tx.repeatable = true
				w.at--
			}
		}
		c.complete("BEGIN")
		return nil
	case w.take("commit"), w.take("end"):
		_ = w.take("work") || w.take("transaction")
		chain := w.take("and", "chain")
		ok, f := c.commit()
		if f != nil || c.dead {
			return f
		}
		if !ok { // it had failed
			c.complete("ROLLBACK")
			return nil
		}
		c.complete("COMMIT")
		if chain {
			c.begin(true)
		}
		return nil
	case w.take("rollback"), w.take("abort"):
		_ = w.take("work") || w.take("transaction")
		if w.take("to") {
			return c.rollbackTo(w)
		}
		chain := w.take("and", "chain")
		c.rollback()
		c.complete("ROLLBACK")
		if chain {
			c.begin(true)
		}
		return nil
	}
	c.begin(false)
	if s[0].text != "show" { // reports are answered beside the queue
		if f := c.pause(); f != nil {
			return f
		}
	}
	if s[0].text == "select" || s[0].text == "insert" {
		wait, ok := c.host.work()
		if !ok {
			return &fault{"53300", "the queue is full"}
		}
		if s[0].text == "select" {
			c.host.Counts.Add("reads")
		}
		if f := c.wait(wait); f != nil {
			return f
		}
	}
	if c.db != nil {
		c.note("active", text)
		if done, f := c.database(s, params, format, most, p, simple); done {
			return f
		}
	}
	switch {
	case w.take("savepoint"):
		name, ok := w.identifier()
		if !ok {
			return syntax("a savepoint needs a name")
		}
		if !c.tx.explicit {
			return &fault{"25P01", "SAVEPOINT can only be used in transaction blocks"}
		}
		c.savepoint(name)
		c.complete("SAVEPOINT")
	case w.take("release"):
		w.take("savepoint")
		name, _ := w.identifier()
		i := c.layer(name)
		if i < 0 {
			return &fault{"3B001", fmt.Sprintf("savepoint %q does not exist", name)}
		}
		c.tx.layers = c.tx.layers[:i]
		c.complete("RELEASE")
	case w.take("set"):
		return c.setting(w)
	case w.take("reset"):
		return c.reset(w)
	case w.take("discard"):
		if w.take("all") {
			if c.tx.explicit {
				return &fault{"25001", "DISCARD ALL cannot run inside a transaction block"}
			}
			c.set.now, c.set.local = map[string]string{}, nil
			c.prepared, c.portals = map[string]*prepared{}, map[string]*portal{}
			c.temp, c.rows, c.listens = map[string]bool{}, map[string]string{}, map[string]bool{}
			c.report()
			c.complete("DISCARD ALL")
			return nil
		}
		c.complete("DISCARD")
	case w.take("prepare"):
		name, _ := w.identifier()
		for w.more() && !w.take("as") {
			w.at++
		}
		if !w.more() {
			return syntax("PREPARE without a statement")
		}
		if c.prepared[name] != nil {
			return &fault{"42P05", fmt.Sprintf("prepared statement %q already exists", name)}
		}
		q := &prepared{of: s[w.at:], text: text}
		q.params = make([]uint32, parameters(q.of))
		c.prepared[name] = q
		c.complete("PREPARE")
	case w.take("execute"):
		name, _ := w.identifier()
		q := c.prepared[name]
		if q == nil {
			return missing(name)
		}
		var args []param
		if w.take("(") {
			for !w.take(")") {
				v, null, f := w.value(params)
				if f != nil {
					return f
				}
				args = append(args, param{v, null})
				w.take(",")
			}
		}
		return c.statement(q.of, q.text, args, format, most, p, simple)
	case w.take("deallocate"):
		w.take("prepare")
		if w.take("all") {
			c.prepared = map[string]*prepared{}
			c.complete("DEALLOCATE ALL")
			return nil
		}
		name, _ := w.identifier()
		if c.prepared[name] == nil {
			return missing(name)
		}
		delete(c.prepared, name)
		c.complete("DEALLOCATE")
	case w.take("listen"):
		name, _ := w.identifier()
		c.listens[name] = true
		c.complete("LISTEN")
	case w.take("notify"):
		name, _ := w.identifier()
		c.host.conns.Range(func(o, _ any) bool {
			if o := o.(*conn); o == c && o.listens[name] {
				c.send(&pgproto3.NotificationResponse{PID: c.pid, Channel: name})
			}
			return true
		})
		c.complete("NOTIFY")
	case w.take("create", "temp", "table"), w.take("create", "temporary", "table"):
		name, _ := w.identifier()
		c.temp[name] = true
		c.complete("CREATE TABLE")
	case w.take("create", "table"):
		w.take("if", "not", "exists")
		name, _ := w.identifier()
		c.host.cluster.mu.Lock()
		c.host.cluster.tables[name] = true
		c.host.cluster.mu.Unlock()
		c.complete("CREATE TABLE")
	case w.take("copy"):
		return c.copy(w)
	case w.take("insert", "into"):
		r, f := c.insert(w, params)
		if f != nil {
			return f
		}
		if len(r.names) == 0 {
			c.complete("INSERT 0 1")
			return nil
		}
		return c.put(r, format, most, p, simple)
	case w.take("show"):
		r, f := c.show(w)
		if f != nil {
			return f
		}
		return c.put(r, format, most, p, simple)
	case w.take("select"):
		r, f := c.selects(w, params)
		if f != nil {
			return f
		}
		return c.put(r, format, most, p, simple)
	default:
		return syntax("syntax error at or near %q", w.peek().text)
	}
	return nil
}

func (c *conn) rollbackTo(w *words) *fault {
	if w.take("savepoint") && !w.more() {
		return syntax("ROLLBACK TO without a name")
	}
	name, _ := w.identifier()
	i := -1
	if c.tx != nil {
		i = c.layer(name)
	}
	if i < 0 {
		return &fault{"3B001", fmt.Sprintf("savepoint %q does not exist", name)}
	}
	l := c.tx.layers[i]
	c.tx.layers = c.tx.layers[:i+1]
	c.tx.writes = c.tx.writes[:l.writes]
	c.tx.backTo(l.changes)
	c.tx.failed = false
	c.restore(l)
	c.complete("ROLLBACK")
	return nil
}

// parseSettingName reads a name in the forms that SET, RESET and SHOW know.
func settingName(w *words) string {
	switch {
	case w.take("time", "zone"):
		return "timezone"
	case w.take("session", "authorization"):
		return "session_authorization"
	case w.take("names"):
		return "client_encoding"
	}
	name, _ := w.identifier()
	name = strings.ToLower(name)
	for w.take(".") {
		next, _ := w.identifier()
		name += "." + strings.ToLower(next)
	}
	return name
}

func (c *conn) setting(w *words) *fault {
	local := false
	switch {
	case w.take("transaction"):
		for ; w.more(); w.at++ {
			if w.take("read", "only") {
				c.tx.readOnly = true
				w.at--
			} else if w.take("repeatable", "read") || w.take("serializable") {
				c.tx.repeatable = true
				w.at--
			}
		}
		c.complete("SET")
		return nil
	case w.take("local"):
		local = true
	default:
		if w.peek().text == "session" && w.at+1 < len(w.of) && w.of[w.at+1].text != "authorization" {
			w.at++
			if w.take("characteristics", "as", "transaction", "read") {
				v := "off"
				if w.take("only") {
					v = "on"
				}
				c.set.now["default_transaction_read_only"] = v
				c.report()
				c.complete("SET")
				return nil
			}
		}
	}
	name := settingName(w)
	_ = w.take("to") || w.take("=")
	if !known(name) {
		return &fault{"42704", fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	if w.take("default") {
		delete(c.set.now, name)
		c.report()
		c.complete("SET")
		return nil
	}
	var parts []string
	for w.more() {
		l := w.peek()
		w.at++
		switch {
		case l.kind == ',':
		case l.kind == '-' && w.peek().kind == 'n':
			parts = append(parts, "-"+w.peek().text)
			w.at++
		case l.kind == 'q' && !simpleName(l.text):
			parts = append(parts, `"`+strings.ReplaceAll(l.text, `"`, `""`)+`"`)
		default:
			parts = append(parts, l.text)
		}
	}
	if len(parts) == 0 {
		return syntax("SET %s without a value", name)
	}
	value := strings.Join(parts, ", ")
	if f := valid(name, value); f != nil {
		return f
	}
	if local {
		if c.set.local == nil {
			c.set.local = map[string]string{}
		}
		c.set.local[name] = value
	} else {
		c.set.now[name] = value
		delete(c.set.local, name)
	}
	c.report()
	c.complete("SET")
	return nil
}

func simpleName(s string) bool {
	for i := range len(s) {
		if !letter(s[i]) && (s[i] < '0' || s[i] > '9') || s[i] >= 'A' && s[i] <= 'Z' {
			return false
		}
	}
	return s != ""
}

func valid(name, value string) *fault {
	switch name {
	case "statement_timeout", "lock_timeout", "idle_in_transaction_session_timeout", "extra_float_digits":
		if _, err := strconv.Atoi(strings.TrimRight(value, "ms ")); err != nil {
			return &fault{"22023", fmt.Sprintf("invalid value for parameter %q: %q", name, value)}
		}
	case "default_transaction_read_only", "standard_conforming_strings":
		if value != "on" && value != "off" && value != "true" && value != "false" {
			return &fault{"22023", fmt.Sprintf("parameter %q requires a Boolean value", name)}
		}
	}
	return nil
}

func (c *conn) reset(w *words) *fault {
	name := settingName(w)
	if name == "all" {
		role, had := c.set.now["role"]
		if c.set.now = map[string]string{}; had {
			c.set.now["role"] = role
		}
		c.set.local = nil
	} else if !known(name) {
		return &fault{"42704", fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	delete(c.set.now, name)
	delete(c.set.local, name)
	c.report()
	c.complete("RESET")
	return nil
}

func (c *conn) show(w *words) (*rows, *fault) {
	name := settingName(w)
	if name == "gauges" {
		_, _, g := c.host.tells()
		return one("gauges", g), nil
	}
	v, ok := c.set.get(name)
	if !ok {
		return nil, &fault{"42704", fmt.Sprintf("unrecognized configuration parameter %q", name)}
	}
	if name == "transaction_read_only" && (c.tx != nil && c.tx.readOnly || !c.host.Primary()) {
		v = "on"
	}
	r := one(name, v)
	r.tag = "SHOW"
	return r, nil
}

// schema is where a table's name leads now.
func (c *conn) schema() string {
	path, _ := c.set.get("search_path")
	first, _, _ := strings.Cut(path, ",")
	if first = strings.TrimSpace(first); first == `"$user"` {
		return "public"
	}
	return strings.Trim(first, `"`)
}

func (c *conn) table(name string) *fault {
	c.host.cluster.mu.Lock()
	defer c.host.cluster.mu.Unlock()
	if c.temp[name] || c.host.cluster.tables[name] {
		return nil
	}
	return &fault{"42P01", fmt.Sprintf("relation %q does not exist", name)}
}

// writable says whether the transaction may write here.
func (c *conn) writable() *fault {
	if c.tx.readOnly {
		return &fault{"25006", "cannot execute INSERT in a read-only transaction"}
	}
	if !c.host.Primary() {
		return &fault{"25006", "cannot execute INSERT on a server that is no primary"}
	}
	return nil
}

func (c *conn) insert(w *words, params []param) (*rows, *fault) {
	name, ok := w.identifier()
	if !ok {
		return nil, syntax("INSERT INTO without a table")
	}
	if f := c.table(name); f != nil {
		return nil, f
	}
	for w.more() && !w.take("values") {
		w.at++
	}
	var vs []string
	if !w.take("(") {
		return nil, syntax("INSERT without VALUES")
	}
	for !w.take(")") {
		v, _, f := w.value(params)
		if f != nil {
			return nil, f
		}
		vs = append(vs, v)
		w.take(",")
	}
	if len(vs) != 2 {
		return nil, syntax("INSERT takes a ref and a payload here")
	}
	if c.temp[name] {
		c.rows[name+"\x00"+vs[0]] = vs[1]
	} else {
		if f := c.writable(); f != nil {
			return nil, f
		}
		c.tx.writes = append(c.tx.writes, write{rowKey(c.schema(), name, vs[0]), vs[1]})
	}
	r := &rows{tag: "INSERT 0 1"}
	if w.take("returning") {
		col, _ := w.identifier()
		r = one(col, vs[1])
		r.tag = "INSERT 0 1"
	}
	return r, nil
}

func (c *conn) selects(w *words, params []param) (*rows, *fault) {
	if w.take("payload", "from") || w.take("count", "(", "*", ")", "from") {
		count := w.of[w.at-2].text == ")"
		name, _ := w.identifier()
		if f := c.table(name); f != nil {
			return nil, f
		}
		if count {
			return one("count", strconv.Itoa(c.host.cluster.Rows())), nil
		}
		if !w.take("where", "ref", "=") {
			return nil, syntax("SELECT payload needs WHERE ref =")
		}
		ref, _, f := w.value(params)
		if f != nil {
			return nil, f
		}
		v, ok := c.lookup(name, ref)
		if !ok {
			return &rows{names: []string{"payload"}, tag: "SELECT %d", next: func() ([]any, bool) { return nil, false }}, nil
		}
		return one("payload", v), nil
	}
	var names []string
	var values []any
	for {
		if w.take("generate_series", "(") {
			return c.series(w, params)
		}
		name, v, f := c.expression(w, params)
		if f != nil {
			return nil, f
		}
		names, values = append(names, name), append(values, v)
		if !w.take(",") {
			break
		}
	}
	if w.take("as") {
		names[len(names)-1], _ = w.identifier()
	}
	if w.more() {
		return nil, syntax("syntax error at or near %q", w.peek().text)
	}
	r := one("", nil)
	r.names = names
	done := false
	r.next = func() ([]any, bool) {
		if done {
			return nil, false
		}
		done = true
		return values, true
	}
	return r, nil
}

// lookup reads a row: what this transaction wrote, else what the host has applied.
func (c *conn) lookup(table, ref string) (string, bool) {
	if c.temp[table] {
		v, ok := c.rows[table+"\x00"+ref]
		return v, ok
	}
	key := rowKey(c.schema(), table, ref)
	for i := len(c.tx.writes) - 1; i >= 0; i-- {
		if c.tx.writes[i].key == key {
			return c.tx.writes[i].payload, true
		}
	}
	at, _ := c.host.stand()
	return c.host.cluster.read(key, at)
}

func (c *conn) series(w *words, params []param) (*rows, *fault) {
	from, _, f := w.value(params)
	if f != nil {
		return nil, f
	}
	w.take(",")
	to, _, f := w.value(params)
	if f != nil {
		return nil, f
	}
	w.take(")")
	width := 0
	if w.take(",", "repeat", "(") {
		_, _, _ = w.value(params)
		w.take(",")
		n, _, _ := w.value(params)
		width, _ = strconv.Atoi(n)
		w.take(")")
	}
	i, _ := strconv.Atoi(from)
	last, _ := strconv.Atoi(to)
	r := &rows{names: []string{"generate_series"}, tag: "SELECT %d"}
	filler := strings.Repeat("x", min(width, 1<<20))
	if width > 0 {
		r.names = append(r.names, "repeat")
	}
	r.next = func() ([]any, bool) {
		if i > last {
			return nil, false
		}
		i++
		if width > 0 {
			return []any{strconv.Itoa(i - 1), filler}, true
		}
		return []any{strconv.Itoa(i - 1)}, true
	}
	return r, nil
}

func (c *conn) expression(w *words, params []param) (name string, v any, f *fault) {
	l := w.peek()
	if l.kind == 'w' {
		if w.take("pg_catalog", ".") {
			l = w.peek()
		}
		if w.at+1 < len(w.of) && w.of[w.at+1].text == "(" {
			w.at += 2
			var args []param
			for !w.take(")") {
				if !w.more() {
					return "", nil, syntax("( without )")
				}
				s, null, f := w.value(params)
				if f != nil {
					return "", nil, f
				}
				args = append(args, param{s, null})
				w.take(",")
			}
			v, f = c.function(l.text, args)
			return l.text, v, f
		}
	}
	s, null, f := w.value(params)
	if f != nil {
		return "", nil, f
	}
	if w.take("/") {
		d, _, f := w.value(params)
		if f != nil {
			return "", nil, f
		}
		if d == "0" {
			return "", nil, &fault{"22012", "division by zero"}
		}
	}
	if null {
		return "?column?", nil, nil
	}
	return "?column?", s, nil
}

func (c *conn) function(name string, args []param) (any, *fault) {
	arg := func(i int) string {
		if i < len(args) {
			return args[i].text
		}
		return ""
	}
	switch name {
	case "pg_backend_pid":
		return strconv.Itoa(int(c.pid)), nil
	case "pg_is_in_recovery":
		if c.host.Primary() {
			return "f", nil
		}
		return "t", nil
	case "current_setting":
		v, ok := c.set.get(strings.ToLower(arg(0)))
		if !ok && arg(1) == "true" {
			return nil, nil
		}
		if !ok {
			return nil, &fault{"42704", fmt.Sprintf("unrecognized configuration parameter %q", arg(0))}
		}
		return v, nil
	case "set_config":
		key := strings.ToLower(arg(0))
		if !known(key) {
			return nil, &fault{"42704", fmt.Sprintf("unrecognized configuration parameter %q", key)}
		}
		if f := valid(key, arg(1)); f != nil {
			return nil, f
		}
		if arg(2) == "true" {
			if c.set.local == nil {
				c.set.local = map[string]string{}
			}
			c.set.local[key] = arg(1)
		} else {
			c.set.now[key] = arg(1)
		}
		c.report()
		return arg(1), nil
	case "pg_sleep":
		s, _ := strconv.ParseFloat(arg(0), 64)
		return "", c.wait(time.Duration(s * 1e9))
	case "pg_advisory_lock", "pg_advisory_unlock":
		return "", nil
	case "now":
		return time.Now().UTC().Format("2006-01-02 15:04:05.000000+00"), nil
	}
	return nil, &fault{"42883", fmt.Sprintf("function %s does not exist", name)}
}

// put sends rows, up to most of them (0: all).
func (c *conn) put(r *rows, format []int16, most int, p *portal, simple bool) *fault {
	if simple {
		c.send(description(r.columns(), nil))
	}
	for n := 0; ; n++ {
		if most > 0 && n == most {
			if p != nil {
				p.rows = r
			}
			c.send(&pgproto3.PortalSuspended{})
			return nil
		}
		row, ok := r.next()
		if !ok {
			break
		}
		if c.cancelled.Load() {
			return &fault{"57014", "canceling statement due to user request"}
		}
		r.sent++
		m := &pgproto3.DataRow{}
		for i, v := range row {
			switch v := v.(type) {
			case string:
				m.Values = append(m.Values, []byte(v))
			case value:
				if i < len(r.fields) {
					v.typ = r.fields[i].typ
				}
				m.Values = append(m.Values, v.wire(formOf(format, i)))
			default:
				m.Values = append(m.Values, nil)
			}
		}
		c.send(m)
		if c.dead {
			return nil
		}
	}
	tag := r.tag
	if strings.Contains(tag, "%d") {
		tag = fmt.Sprintf(tag, r.sent)
	}
	c.complete(tag)
	return nil
}

// copy runs COPY table FROM STDIN (lines of ref, tab, payload) or TO STDOUT.
func (c *conn) copy(w *words) *fault {
	name, _ := w.identifier()
	if f := c.table(name); f != nil {
		return f
	}
	if w.take("(") {
		for w.more() && !w.take(")") {
			w.at++
		}
	}
	if w.take("to", "stdout") {
		c.send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
		c.host.cluster.mu.Lock()
		var lines []string
		for key, vs := range c.host.cluster.rows {
			if p := strings.Split(key, "\x00"); p[1] == name && len(lines) < 100000 {
				lines = append(lines, p[2]+"\t"+vs[len(vs)-1].payload+"\n")
			}
		}
		c.host.cluster.mu.Unlock()
		for _, l := range lines {
			c.send(&pgproto3.CopyData{Data: []byte(l)})
		}
		c.send(&pgproto3.CopyDone{})
		c.complete(fmt.Sprintf("COPY %d", len(lines)))
		return nil
	}
	if !w.take("from", "stdin") {
		return syntax("COPY goes FROM STDIN or TO STDOUT here")
	}
	binaryForm := false
	for ; w.more(); w.at++ {
		if w.take("binary") {
			binaryForm = true
			w.at--
		}
	}
	if f := c.writable(); f != nil {
		return f
	}
	data, f := c.copyIn(2, binaryForm)
	if f != nil || c.dead {
		return f
	}
	n, f := c.copied(name, data, binaryForm)
	if f == nil {
		c.complete(fmt.Sprintf("COPY %d", n))
	}
	return f
}

// maxCopy bounds what one COPY FROM STDIN takes, in bytes.
const maxCopy = 64 << 20

// copyIn takes what a client sends for COPY FROM STDIN.
func (c *conn) copyIn(width int, binaryForm bool) (string, *fault) {
	code := uint16(0)
	if binaryForm {
		code = 1
	}
	codes := make([]uint16, width)
	for i := range codes {
		codes[i] = code
	}
	c.send(&pgproto3.CopyInResponse{OverallFormat: byte(code), ColumnFormatCodes: codes})
	c.flush()
	var data strings.Builder
	over := false
	for {
		m, err := c.in.Receive()
		if err != nil {
			c.dead = true
			return "", nil
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			if c.host.chance(c.host.fault().CutCopy) {
				c.cut("cut_copy")
				return "", nil
			}
			if data.Len() < maxCopy {
				data.Write(m.Data)
			} else if c.db != nil {
				over = true
			}
		case *pgproto3.CopyDone:
			if over {
				return "", &fault{"54000", fmt.Sprintf("the stand-in takes no more than %d bytes by COPY", maxCopy)}
			}
			return data.String(), nil
		case *pgproto3.CopyFail:
			return "", &fault{"57014", "COPY from stdin failed: " + m.Message}
		case *pgproto3.Sync, *pgproto3.Flush: // part of the data
		default:
			return "", &fault{"08P01", fmt.Sprintf("%T in the middle of COPY", m)}
		}
	}
}

func (c *conn) copied(table, data string, binaryForm bool) (n int, f *fault) {
	add := func(ref, payload string) {
		n++
		c.tx.writes = append(c.tx.writes, write{rowKey(c.schema(), table, ref), payload})
	}
	if binaryForm {
		return n, binaryRows(data, add)
	}
	for _, line := range strings.Split(strings.TrimSuffix(data, "\n"), "\n") {
		if line == `\.` || line == "" {
			continue
		}
		ref, payload, ok := strings.Cut(line, "\t")
		if !ok {
			return n, &fault{"22P04", fmt.Sprintf("missing data for column \"payload\" in line %d", n+1)}
		}
		add(ref, payload)
	}
	return n, nil
}

// binaryRows reads COPY's binary form of two text columns.
func binaryRows(data string, add func(ref, payload string)) *fault {
	bad := &fault{"22P04", "COPY data is not in the binary form"}
	if len(data) < 19 || data[:11] != "PGCOPY\n\xff\r\n\x00" {
		return bad
	}
	u32 := func() (int, bool) {
		if len(data) < 4 {
			return 0, false
		}
		n := int(int32(uint32(data[0])<<24 | uint32(data[1])<<16 | uint32(data[2])<<8 | uint32(data[3])))
		data = data[4:]
		return n, true
	}
	data = data[15:]
	if n, ok := u32(); !ok || n < 0 || n > len(data) {
		return bad
	} else {
		data = data[n:]
	}
	for {
		if len(data) == 0 { // the trailer may be left out
			return nil
		}
		if len(data) < 2 {
			return bad
		}
		fields := int(int16(uint16(data[0])<<8 | uint16(data[1])))
		if data = data[2:]; fields == -1 {
			return nil
		}
		var vs [2]string
		for i := range fields {
			n, ok := u32()
			if !ok || n > len(data) || i > 1 {
				return bad
			}
			if n > 0 {
				vs[i], data = data[:n], data[n:]
			}
		}
		add(vs[0], vs[1])
	}
}

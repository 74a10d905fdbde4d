package host

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// unsupported is what PostgreSQL knows and the stand-in does not.
func unsupported(what string) *fault {
	return &fault{"0A000", what + " is not supported by the stand-in"}
}

// database runs a statement that only databases know. done is false where it is none of these.
func (c *conn) database(s []lexeme, params []param, format []int16, most int, po *portal, simple bool) (done bool, f *fault) {
	p := &parser{&words{of: s}}
	switch s[0].text {
	case "select", "insert", "update", "delete":
		c.given = make([]uint32, len(params))
		if po != nil && po.p != nil {
			copy(c.given, po.p.params)
		}
		c.at = c.snapshot()
		st, f := c.plan(s)
		if f != nil || st == nil {
			return f != nil, f
		}
		lines, tag, f := st.run(&env{c: c, params: params})
		if f != nil {
			return true, f
		}
		if len(st.fields) == 0 {
			c.complete(tag)
			return true, nil
		}
		i := 0
		r := &rows{fields: st.fields, tag: tag, next: func() ([]any, bool) {
			if i == len(lines) {
				return nil, false
			}
			row := make([]any, len(lines[i].out))
			for k, v := range lines[i].out {
				row[k] = v
			}
			i++
			return row, true
		}}
		return true, c.put(r, format, most, po, simple)
	case "copy":
		if len(s) > 1 && c.temp[s[1].text] {
			return false, nil
		}
		p.at++
		return true, c.copyTable(p, params)
	case "prepare":
		if len(s) > 1 && s[1].text == "transaction" && s[1].kind == 'w' {
			return true, &fault{"55000", "prepared transactions are disabled"}
		}
		return false, nil
	case "create", "alter", "drop", "truncate", "comment", "grant", "revoke", "do", "lock", "analyze", "vacuum", "call", "with":
	default:
		return false, nil
	}
	if p.next("create", "temp") || p.next("create", "temporary") {
		return false, nil
	}
	if p.take("drop", "table") {
		p.take("if", "exists")
		if name, _ := p.identifier(); c.temp[name] {
			delete(c.temp, name)
			c.complete("DROP TABLE")
			return true, nil
		}
		p.at = 0
	}
	if c.tx.readOnly || !c.host.Primary() {
		return true, &fault{"25006", fmt.Sprintf("cannot execute %s in a read-only transaction", strings.ToUpper(s[0].text))}
	}
	tag, f := c.define(p)
	if f == nil && p.more() {
		f = p.wrong()
	}
	if f == nil {
		c.complete(tag)
	}
	return true, f
}

// define runs a statement of the data definition and gives its tag.
func (c *conn) define(p *parser) (tag string, f *fault) {
	switch {
	case p.take("create", "schema"):
		return "CREATE SCHEMA", c.createSchema(p)
	case p.take("create", "table"):
		return "CREATE TABLE", c.createTable(p, false)
	case p.take("create", "unlogged", "table"):
		return "CREATE TABLE", c.createTable(p, true)
	case p.take("create", "sequence"):
		return "CREATE SEQUENCE", c.createSequence(p)
	case p.take("create", "function"), p.take("create", "or", "replace", "function"):
		return "CREATE FUNCTION", c.createFunction(p)
	case p.take("create", "trigger"), p.take("create", "or", "replace", "trigger"):
		return "CREATE TRIGGER", c.createTrigger(p)
	case p.take("create", "publication"):
		return "CREATE PUBLICATION", c.createPublication(p)
	case p.take("create", "subscription"):
		return "CREATE SUBSCRIPTION", c.createSubscription(p)
	case p.take("alter", "table"):
		return "ALTER TABLE", c.alterTable(p)
	case p.take("alter", "publication"):
		return "ALTER PUBLICATION", c.alterPublication(p)
	case p.take("alter", "subscription"):
		return "ALTER SUBSCRIPTION", c.alterSubscription(p)
	case p.take("drop", "subscription"):
		return "DROP SUBSCRIPTION", c.dropSubscription(p)
	case p.take("drop"):
		return c.drop(p)
	case p.take("truncate"):
		return "TRUNCATE TABLE", c.truncate(p)
	}
	return "", unsupported(strings.ToUpper(p.peek().text))
}

// named reads [IF NOT EXISTS] and a relation; its schema is the first of the path where none is told.
func (c *conn) named(p *parser) (schema, name string, unless bool, f *fault) {
	unless = p.take("if", "not", "exists")
	if schema, name, f = p.relation(); f != nil {
		return
	}
	if schema == "" {
		schema = "public"
		if path := c.path(); len(path) > 0 {
			schema = path[0]
		}
	}
	return
}

func (c *conn) createSchema(p *parser) *fault {
	unless := p.take("if", "not", "exists")
	name, ok := p.identifier()
	if !ok {
		return p.wrong()
	}
	if p.take("authorization") {
		p.identifier()
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if _, ok := c.db.schemas[name]; ok && !unless {
		return &fault{"42P06", fmt.Sprintf("schema %q already exists", name)}
	} else if !ok {
		c.db.schemas[name] = cl.newOid()
	}
	return nil
}

func (c *conn) createTable(p *parser, unlogged bool) *fault {
	schema, name, unless, f := c.named(p)
	if f != nil {
		return f
	}
	if f = p.need("("); f != nil {
		return f
	}
	cl := c.host.cluster
	cl.mu.Lock()
	_, there := c.db.schemas[schema]
	if !there {
		cl.mu.Unlock()
		return &fault{"3F000", fmt.Sprintf("schema %q does not exist", schema)}
	}
	t := cl.newTable(c.db, schema, name)
	cl.mu.Unlock()
	t.unlogged = unlogged
	var key []string
	for {
		constraint := p.take("constraint")
		if constraint {
			p.identifier()
		}
		if p.take("primary", "key", "(") {
			for {
				col, _ := p.identifier()
				if key = append(key, col); !p.take(",") {
					break
				}
			}
			if f = p.need(")"); f != nil {
				return f
			}
		} else if constraint || p.next("unique") || p.next("check") || p.next("foreign") || p.next("exclude") || p.next("like") {
			return unsupported("this table constraint")
		} else {
			var col Column
			var ok bool
			if col.Name, ok = p.identifier(); !ok {
				return p.wrong()
			}
			serial := p.next("bigserial")
			if col.Type, f = p.typeName(); f != nil {
				return f
			}
			if serial {
				seq := name + "_" + col.Name + "_seq"
				_ = c.addSequence(schema, seq, 1, 1) // one of that name stays in use
				col.NotNull = true
				col.def = &expr{op: "call", name: "nextval", args: []*expr{{op: "literal", val: text(schema + "." + seq), typ: typeText}}, typ: typeInt8}
			}
		column:
			for {
				switch {
				case p.take("not", "null"):
					col.NotNull = true
				case p.take("null"):
				case p.take("primary", "key"):
					key = append(key, col.Name)
				case p.take("default"):
					if col.def, f = p.additive(); f != nil {
						return f
					}
					sc := &scope{c: c}
					if f = sc.resolve(col.def); f != nil {
						return f
					}
					sc.demand(col.def, col.Type)
				case p.next(","), p.next(")"):
					break column
				default:
					return unsupported("this column constraint")
				}
			}
			t.columns = append(t.columns, col)
		}
		if !p.take(",") {
			break
		}
	}
	if f = p.need(")"); f != nil {
		return f
	}
	for _, col := range key {
		i := t.column(col)
		if i < 0 {
			return &fault{"42703", fmt.Sprintf("column %q named in key does not exist", col)}
		}
		t.columns[i].NotNull = true
		t.key = append(t.key, i)
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.db.tables[schema+"."+name] != nil {
		if unless {
			return nil
		}
		return &fault{"42P07", fmt.Sprintf("relation %q already exists", name)}
	}
	c.db.tables[schema+"."+name] = t
	return nil
}

func (c *conn) addSequence(schema, name string, start, step int64) *fault {
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.db.sequences[schema+"."+name] != nil {
		return &fault{"42P07", fmt.Sprintf("relation %q already exists", name)}
	}
	c.db.sequences[schema+"."+name] = &sequence{schema: schema, name: name, oid: cl.newOid(), last: start, start: start, step: step}
	return nil
}

func (c *conn) createSequence(p *parser) *fault {
	schema, name, unless, f := c.named(p)
	if f != nil {
		return f
	}
	start, step := int64(1), int64(1)
	for p.more() {
		to := &start
		switch {
		case p.take("start"):
			p.take("with")
		case p.take("increment"):
			p.take("by")
			to = &step
		default:
			return p.wrong()
		}
		s, _, f := p.value(nil)
		if f != nil {
			return f
		}
		*to, _ = strconv.ParseInt(s, 10, 64)
	}
	if f = c.addSequence(schema, name, start, step); f != nil && unless {
		return nil
	}
	return f
}

// sequence finds one. The cluster's lock is not held.
func (db *Database) sequence(schema, name string, path []string) *sequence {
	db.cluster.mu.Lock()
	defer db.cluster.mu.Unlock()
	if schema != "" {
		return db.sequences[schema+"."+name]
	}
	for _, s := range path {
		if q := db.sequences[s+"."+name]; q != nil {
			return q
		}
	}
	return nil
}

func (c *conn) createFunction(p *parser) *fault {
	schema, name, _, f := c.named(p)
	if f != nil {
		return f
	}
	if schema+"."+name != "ashstand.guard" && schema+"."+name != "ashstand.mark" {
		return unsupported("a function other than ashstand.guard() and ashstand.mark()")
	}
	if f = p.need("(", ")"); f != nil {
		return f
	}
	body := ""
	for ; p.more(); p.at++ {
		if l := p.peek(); l.kind == 's' {
			body = l.text
		}
	}
	c.host.cluster.mu.Lock()
	c.db.functions[schema+"."+name] = body
	c.host.cluster.mu.Unlock()
	return nil
}

func (c *conn) createTrigger(p *parser) *fault {
	name, ok := p.identifier()
	if !ok {
		return p.wrong()
	}
	tr := &trigger{enabled: 'O', once: true}
	if tr.after = p.take("after"); !tr.after && !p.take("before") {
		return unsupported("a trigger that runs neither before nor after")
	}
	for {
		l := p.peek()
		if !p.take("insert") && !p.take("update") && !p.take("delete") && !p.take("truncate") {
			return p.wrong()
		}
		if tr.events += l.text[:1]; !p.take("or") {
			break
		}
	}
	if f := p.need("on"); f != nil {
		return f
	}
	t, _, f := p.table(c)
	if f != nil {
		return f
	}
	if p.take("for") {
		p.take("each")
		if tr.once = p.take("statement"); !tr.once {
			if f = p.need("row"); f != nil {
				return f
			}
		}
	}
	if f = p.need("execute"); f != nil {
		return f
	}
	_ = p.take("function") || p.take("procedure")
	schema, fn, f := p.relation()
	if f == nil {
		f = p.need("(")
	}
	for f == nil && !p.take(")") {
		if p.peek().kind != 's' {
			return p.wrong()
		}
		tr.args = append(tr.args, p.peek().text)
		p.at++
		p.take(",")
	}
	if f != nil {
		return f
	}
	tr.function = schema + "." + fn
	if tr.after != (tr.function == "ashstand.mark") {
		return unsupported("ashstand.guard() after, or ashstand.mark() before")
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if _, ok := c.db.functions[tr.function]; !ok {
		return &fault{"42883", fmt.Sprintf("function %s() does not exist", tr.function)}
	}
	if t.triggers[name] != nil && p.of[1].text != "or" {
		return &fault{"42710", fmt.Sprintf("trigger %q for relation %q already exists", name, t.Name)}
	}
	t.triggers[name] = tr
	return nil
}

func (c *conn) alterTable(p *parser) *fault {
	p.take("if", "exists")
	p.take("only")
	t, _, f := p.table(c)
	if f != nil {
		return f
	}
	cl := c.host.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch {
	case p.take("replica", "identity", "full"):
		t.identity = 'f'
	case p.take("replica", "identity", "nothing"):
		t.identity = 'n'
	case p.take("replica", "identity", "default"):
		t.identity = 'd'
	case p.take("set", "unlogged"):
		t.unlogged = true
	case p.take("set", "logged"):
		t.unlogged = false
	case p.next("enable"), p.next("disable"):
		state := byte('O')
		if p.take("disable") {
			state = 'D'
		} else if p.take("enable"); p.take("always") {
			state = 'A'
		} else if p.take("replica") {
			state = 'R'
		}
		if f = p.need("trigger"); f != nil {
			return f
		}
		name, _ := p.identifier()
		all := name == "all" || name == "user"
		if t.triggers[name] == nil && !all {
			return &fault{"42704", fmt.Sprintf("trigger %q for table %q does not exist", name, t.Name)}
		}
		for n, tr := range t.triggers {
			if n == name || all {
				tr.enabled = state
			}
		}
	default:
		return unsupported("this ALTER TABLE")
	}
	return nil
}

func (c *conn) drop(p *parser) (tag string, f *fault) {
	kind := p.peek().text
	p.at++
	ifExists := p.take("if", "exists")
	cl, db := c.host.cluster, c.db
	gone := func(what, name string) *fault {
		if ifExists {
			return nil
		}
		return &fault{
			map[string]string{"relation": "42P01", "schema": "3F000", "function": "42883", "publication": "42704", "trigger": "42704"}[what],
			fmt.Sprintf("%s %q does not exist", what, name),
		}
	}
	tag = "DROP " + strings.ToUpper(kind)
	for {
		schema, name, f := p.relation()
		if f != nil {
			return "", f
		}
		full := schema + "." + name
		switch kind {
		case "table":
			t, f := c.find(schema, name)
			if f != nil {
				if f = gone("relation", name); f != nil {
					return "", f
				}
				break
			}
			cl.mu.Lock()
			delete(db.tables, t.Schema+"."+t.Name)
			for _, pub := range db.publications {
				pub.tables = slices.DeleteFunc(pub.tables, func(x *Table) bool { return x == t })
			}
			for _, s := range db.subscriptions {
				delete(s.tables, t)
			}
			cl.mu.Unlock()
		case "sequence":
			q := db.sequence(schema, name, c.path())
			if q == nil {
				if f = gone("relation", name); f != nil {
					return "", f
				}
				break
			}
			cl.mu.Lock()
			delete(db.sequences, q.schema+"."+q.name)
			cl.mu.Unlock()
		case "schema":
			cl.mu.Lock()
			_, ok := db.schemas[name]
			var inside []string
			for k := range db.tables {
				if strings.HasPrefix(k, name+".") {
					inside = append(inside, k)
				}
			}
			cascade := p.next("cascade")
			if len(inside) == 0 || cascade {
				for _, k := range inside {
					delete(db.tables, k)
				}
				delete(db.schemas, name)
			}
			cl.mu.Unlock()
			if !ok {
				if f = gone("schema", name); f != nil {
					return "", f
				}
			} else if len(inside) > 0 && !cascade {
				return "", &fault{"2BP01", fmt.Sprintf("cannot drop schema %s because other objects depend on it", name)}
			}
		case "publication":
			cl.mu.Lock()
			ok := db.publications[name] != nil
			delete(db.publications, name)
			cl.mu.Unlock()
			if !ok {
				if f = gone("publication", name); f != nil {
					return "", f
				}
			}
		case "function":
			p.take("(", ")")
			cl.mu.Lock()
			_, ok := db.functions[full]
			cascade := p.next("cascade")
			used := false
			for _, t := range db.tables {
				for n, tr := range t.triggers {
					if tr.function == full {
						if used = !cascade; cascade {
							delete(t.triggers, n)
						}
					}
				}
			}
			if !used {
				delete(db.functions, full)
			}
			cl.mu.Unlock()
			if used {
				return "", &fault{"2BP01", fmt.Sprintf("cannot drop function %s() because other objects depend on it", full)}
			}
			if !ok {
				if f = gone("function", full); f != nil {
					return "", f
				}
			}
		case "trigger":
			if f = p.need("on"); f != nil {
				return "", f
			}
			schema, rel, f := p.relation()
			if f != nil {
				return "", f
			}
			t, f := c.find(schema, rel)
			if f != nil {
				if ifExists {
					return tag, nil
				}
				return "", f
			}
			cl.mu.Lock()
			ok := t.triggers[name] != nil
			delete(t.triggers, name)
			cl.mu.Unlock()
			if !ok {
				if f = gone("trigger", name); f != nil {
					return "", f
				}
			}
		default:
			return "", unsupported(tag)
		}
		if !p.take(",") {
			break
		}
	}
	_ = p.take("cascade") || p.take("restrict")
	return tag, nil
}

func (c *conn) truncate(p *parser) *fault {
	p.take("table")
	p.take("only")
	for {
		t, _, f := p.table(c)
		if f != nil {
			return f
		}
		a := c.actor()
		if f = a.fires(t, "t", true); f != nil {
			return f
		}
		// Rows that others hold are waited for one by one; PostgreSQL locks the table.
		var keys []string
		if f = t.scan(span{lowest, highest}, latest, false, c.tx, func(h hit) (bool, *fault) {
			keys = append(keys, h.key)
			return true, nil
		}); f != nil {
			return f
		}
		for _, k := range keys {
			if f = a.lock(lockKey{t, k}, exclusive, false); f != nil {
				return f
			}
			if old := a.current(t, k); old != nil {
				if f = a.write(change{op: 'X', table: t, key: k, was: k, old: old}); f != nil {
					return f
				}
			}
		}
		if f = a.write(change{op: 'T', table: t}); f != nil {
			return f
		}
		if !p.take(",") {
			break
		}
	}
	_ = p.take("restart", "identity") || p.take("continue", "identity")
	_ = p.take("cascade") || p.take("restrict")
	return nil
}

var copyEscapes = strings.NewReplacer("\\", "\\\\", "\t", "\\t", "\n", "\\n", "\r", "\\r")

// copyText is a row in COPY's text form.
func copyText(vs []value) string {
	var b strings.Builder
	for i, v := range vs {
		if i > 0 {
			b.WriteByte('\t')
		}
		if v.null {
			b.WriteString(`\N`)
		} else {
			b.WriteString(copyEscapes.Replace(v.s))
		}
	}
	b.WriteByte('\n')
	return b.String()
}

// fromCopyText reads a line of COPY's text form.
func fromCopyText(line string) (out []param) {
	for _, s := range strings.Split(line, "\t") {
		if s == `\N` {
			out = append(out, param{null: true})
			continue
		}
		if strings.Contains(s, `\`) {
			var b strings.Builder
			for i := 0; i < len(s); i++ {
				if s[i] != '\\' || i+1 == len(s) {
					b.WriteByte(s[i])
					continue
				}
				i++
				if k := strings.IndexByte("tnrbfv", s[i]); k >= 0 {
					b.WriteByte("\t\n\r\b\f\v"[k])
				} else {
					b.WriteByte(s[i])
				}
			}
			s = b.String()
		}
		out = append(out, param{text: s})
	}
	return out
}

// copyTable runs COPY of a table or of a query.
func (c *conn) copyTable(p *parser, params []param) *fault {
	v := &env{c: c, params: params}
	c.at = c.snapshot()
	if p.take("(") {
		q, f := p.query()
		if f != nil {
			return f
		}
		if f = p.need(")", "to", "stdout"); f != nil {
			return f
		}
		if f = q.resolve(c, nil); f != nil {
			return f
		}
		lines, f := q.run(v, 0)
		if f != nil {
			return f
		}
		return c.copyOut(len(q.items), func(give func([]value) bool) *fault {
			for _, l := range lines {
				if !give(l.out) {
					break
				}
			}
			return nil
		})
	}
	t, _, f := p.table(c)
	if f != nil {
		return f
	}
	var cols []int
	if p.take("(") {
		for {
			col, _ := p.identifier()
			i := t.column(col)
			if i < 0 {
				return &fault{"42703", fmt.Sprintf("column %q of relation %q does not exist", col, t.Name)}
			}
			if cols = append(cols, i); !p.take(",") {
				break
			}
		}
		if f = p.need(")"); f != nil {
			return f
		}
	} else {
		for i := range t.columns {
			cols = append(cols, i)
		}
	}
	if p.take("to", "stdout") {
		return c.copyOut(len(cols), func(give func([]value) bool) *fault {
			out := make([]value, len(cols))
			return t.scan(span{lowest, highest}, c.at, false, c.tx, func(h hit) (bool, *fault) {
				for i, k := range cols {
					out[i] = h.values[k]
				}
				return give(out), nil
			})
		})
	}
	if f = p.need("from", "stdin"); f != nil {
		return f
	}
	binaryForm := false
	for ; p.more(); p.at++ {
		binaryForm = binaryForm || p.next("binary") || p.peek().kind == 's' && strings.EqualFold(p.peek().text, "binary")
	}
	a, f := v.allowed(t, "COPY FROM", "i")
	if f != nil {
		return f
	}
	data, f := c.copyIn(len(cols), binaryForm)
	if f != nil || c.dead {
		return f
	}
	n := 0
	add := func(given []param) *fault {
		n++
		if len(given) != len(cols) {
			return &fault{"22P04", fmt.Sprintf("row %d has %d columns, not %d", n, len(given), len(cols))}
		}
		vs := make([]value, len(t.columns))
		for i, col := range t.columns {
			if vs[i] = nothing(col.Type); col.def != nil && !slices.Contains(cols, i) {
				if vs[i], f = v.eval(col.def); f != nil {
					return f
				}
			}
		}
		for i, g := range given {
			if !g.null {
				vs[cols[i]] = value{s: g.text, typ: typeUnknown}
			}
		}
		if f := a.fires(t, "i", false); f != nil {
			return f
		}
		taken, _, f := a.insert(t, vs)
		if f == nil && taken {
			c.host.Counts.Add("duplicate_key")
			f = t.duplicate(vs)
		}
		return f
	}
	if binaryForm {
		f = binaryTable(data, func(fields [][]byte) *fault {
			var given []param
			for i, b := range fields {
				g := param{null: b == nil}
				if i < len(cols) {
					g.text = fromWire(t.columns[cols[i]].Type, b)
				}
				given = append(given, g)
			}
			return add(given)
		})
	} else {
		for _, line := range strings.Split(strings.TrimSuffix(data, "\n"), "\n") {
			if line == `\.` {
				break
			}
			if line == "" && len(data) == 0 {
				continue
			}
			if f = add(fromCopyText(line)); f != nil {
				break
			}
		}
	}
	if f == nil {
		c.complete(fmt.Sprintf("COPY %d", n))
	}
	return f
}

// copyOut sends rows; to a subscription's copy at the pace that is set.
func (c *conn) copyOut(width int, all func(give func([]value) bool) *fault) *fault {
	c.send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, width)})
	n := 0
	pace := c.pacer()
	f := all(func(vs []value) bool {
		c.send(&pgproto3.CopyData{Data: []byte(copyText(vs))})
		n++
		pace(n)
		return !c.dead && !c.cancelled.Load() && !c.terminated.Load()
	})
	if f == nil && c.cancelled.Load() {
		f = &fault{"57014", "canceling statement due to user request"}
	}
	if f != nil {
		return f
	}
	c.send(&pgproto3.CopyDone{})
	c.complete(fmt.Sprintf("COPY %d", n))
	return nil
}

// binaryTable reads COPY's binary form.
func binaryTable(data string, add func(fields [][]byte) *fault) *fault {
	bad := &fault{"22P04", "COPY data is not in the binary form"}
	if len(data) < 19 || data[:11] != "PGCOPY\n\xff\r\n\x00" {
		return bad
	}
	b := []byte(data[15:])
	number := func(size int) (n int, ok bool) {
		if len(b) < size {
			return 0, false
		}
		for _, x := range b[:size] {
			n = n<<8 | int(x)
		}
		b = b[size:]
		if size == 2 {
			return int(int16(n)), true
		}
		return int(int32(n)), true
	}
	if n, ok := number(4); !ok || n < 0 || n > len(b) {
		return bad
	} else {
		b = b[n:]
	}
	for len(b) > 0 {
		fields, ok := number(2)
		if !ok {
			return bad
		}
		if fields == -1 {
			return nil
		}
		var vs [][]byte
		for range fields {
			n, ok := number(4)
			if !ok || n > len(b) {
				return bad
			}
			if n < 0 {
				vs = append(vs, nil)
				continue
			}
			vs, b = append(vs, append(make([]byte, 0, n), b[:n]...)), b[n:]
		}
		if f := add(vs); f != nil {
			return f
		}
	}
	return nil
}

// sortedNames are the keys of a map in their order.
func sortedNames[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

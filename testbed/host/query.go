package host

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// field is a column of a result.
type field struct {
	name string
	typ  uint32
}

// item is one of what a SELECT or RETURNING gives.
type item struct {
	e    *expr
	name string
}

type sorting struct {
	e     *expr
	down  bool
	first bool // NULLs come first
}

// source is a table, view, function or subquery that a statement reads.
type source struct {
	schema, name string
	alias        string
	columns      []Column
	table        *Table
	view         func(c *conn) [][]value
	series       []*expr // generate_series(from, to)
	call         *expr   // another function, of one row
	sub          *query
	left         bool
	on           *expr

	row []value
	key string
}

// query is a SELECT.
type query struct {
	items    []item
	distinct bool
	sources  []*source
	where    *expr
	group    []*expr
	having   *expr
	order    []sorting
	limit    *expr
	offset   *expr
	lock     lockMode
	noWait   bool
	skip     bool
	scope    *scope
	aggs     []*expr
}

func (p *parser) query() (*query, *fault) {
	q := &query{}
	if f := p.need("select"); f != nil {
		return nil, f
	}
	q.distinct = p.take("distinct")
	p.take("all")
	var f *fault
	if q.items, f = p.items(); f != nil {
		return nil, f
	}
	if p.take("from") {
		if f = p.from(q); f != nil {
			return nil, f
		}
	}
	if p.take("where") {
		if q.where, f = p.expr(); f != nil {
			return nil, f
		}
	}
	if p.take("group", "by") {
		for {
			e, f := p.expr()
			if f != nil {
				return nil, f
			}
			if q.group = append(q.group, e); !p.take(",") {
				break
			}
		}
	}
	if p.take("having") {
		if q.having, f = p.expr(); f != nil {
			return nil, f
		}
	}
	if p.take("order", "by") {
		if q.order, f = p.sortings(); f != nil {
			return nil, f
		}
	}
	for f == nil {
		switch {
		case p.take("limit", "all"):
		case p.take("limit"):
			q.limit, f = p.expr()
		case p.take("offset"):
			q.offset, f = p.expr()
			_ = p.take("rows") || p.take("row")
		case p.take("fetch"):
			_ = p.take("first") || p.take("next")
			q.limit = &expr{op: "literal", val: number(1), typ: typeInt8}
			if !p.next("row") && !p.next("rows") {
				q.limit, f = p.primary()
			}
			_ = p.take("rows") || p.take("row")
			p.take("only")
		case p.take("for"):
			switch {
			case p.take("update"), p.take("no", "key", "update"):
				q.lock = exclusive
			case p.take("share"), p.take("key", "share"):
				q.lock = share
			default:
				return nil, p.wrong()
			}
			if p.take("of") {
				p.identifier()
			}
			q.noWait = p.take("nowait")
			q.skip = p.take("skip", "locked")
		default:
			return q, nil
		}
	}
	return q, f
}

func (p *parser) items() (list []item, f *fault) {
	for {
		var it item
		if p.sign("*") {
			it.e = &expr{op: "all"}
		} else if it.e, f = p.expr(); f != nil {
			return nil, f
		}
		if p.take("as") {
			name, ok := p.identifier()
			if !ok {
				return nil, p.wrong()
			}
			it.name = name
		} else if l := p.peek(); l.kind == 'q' || l.kind == 'w' && !stops[l.text] {
			it.name, _ = p.identifier()
		}
		if list = append(list, it); !p.take(",") {
			return list, nil
		}
	}
}

func (p *parser) sortings() (list []sorting, f *fault) {
	for {
		var s sorting
		if s.e, f = p.expr(); f != nil {
			return nil, f
		}
		if p.take("collate") {
			p.take("pg_catalog", ".")
			p.identifier() // text is sorted by its bytes whatever it says
		}
		if !p.take("asc") {
			s.down = p.take("desc")
		}
		s.first = s.down
		if p.take("nulls") {
			if s.first = p.take("first"); !s.first {
				p.take("last")
			}
		}
		if list = append(list, s); !p.take(",") {
			return list, nil
		}
	}
}

func (p *parser) from(q *query) *fault {
	left, cross := false, true
	for {
		s, f := p.source()
		if f != nil {
			return f
		}
		s.left = left
		q.sources = append(q.sources, s)
		if !cross {
			if f := p.need("on"); f != nil {
				return f
			}
			if s.on, f = p.expr(); f != nil {
				return f
			}
		}
		left, cross = false, false
		switch {
		case p.take(","), p.take("cross", "join"):
			cross = true
		case p.take("join"), p.take("inner", "join"):
		case p.take("left", "join"), p.take("left", "outer", "join"):
			left = true
		default:
			return nil
		}
	}
}

func (p *parser) source() (*source, *fault) {
	s := &source{}
	p.take("lateral")
	p.take("only")
	if p.take("(") {
		var f *fault
		if s.sub, f = p.query(); f != nil {
			return nil, f
		}
		if f = p.need(")"); f != nil {
			return nil, f
		}
	} else {
		schema, name, f := p.relation()
		if f != nil {
			return nil, f
		}
		s.schema, s.name, s.alias = schema, name, name
		if p.next("(") {
			p.at--
			e, f := p.primary()
			if f != nil {
				return nil, f
			}
			if name == "generate_series" {
				s.series = e.args
			} else {
				s.call = e
			}
		}
	}
	if p.take("as") {
		s.alias, _ = p.identifier()
	} else if l := p.peek(); l.kind == 'q' || l.kind == 'w' && !stops[l.text] {
		s.alias, _ = p.identifier()
	}
	if p.take("(") { // names of columns: only a function's one
		name, _ := p.identifier()
		s.alias = name
		if f := p.need(")"); f != nil {
			return nil, f
		}
	}
	return s, nil
}

// relation reads a name with, or without, a schema.
func (p *parser) relation() (schema, name string, f *fault) {
	name, ok := p.identifier()
	if !ok {
		return "", "", p.wrong()
	}
	if p.peek().kind == '.' {
		p.at++
		schema = name
		if name, ok = p.identifier(); !ok {
			return "", "", p.wrong()
		}
	}
	return schema, name, nil
}

// table reads a relation's name and finds the table; name is the one without its schema.
func (p *parser) table(c *conn) (t *Table, name string, f *fault) {
	schema, name, f := p.relation()
	if f == nil {
		t, f = c.find(schema, name)
	}
	return t, name, f
}

// find is the table that a name leads to.
func (c *conn) find(schema, name string) (*Table, *fault) {
	c.host.cluster.mu.Lock()
	defer c.host.cluster.mu.Unlock()
	if schema != "" {
		if t := c.db.tables[schema+"."+name]; t != nil {
			return t, nil
		}
		return nil, &fault{"42P01", fmt.Sprintf("relation %q does not exist", schema+"."+name)}
	}
	for _, s := range c.path() {
		if t := c.db.tables[s+"."+name]; t != nil {
			return t, nil
		}
	}
	return nil, &fault{"42P01", fmt.Sprintf("relation %q does not exist", name)}
}

// path is search_path; $user leads nowhere.
func (c *conn) path() (out []string) {
	path, _ := c.set.get("search_path")
	for _, s := range strings.Split(path, ",") {
		if s = strings.Trim(strings.TrimSpace(s), `"`); s != "" && s != "$user" {
			out = append(out, s)
		}
	}
	return out
}

func (s *source) resolve(c *conn, sc *scope) *fault {
	switch {
	case s.sub != nil:
		if f := s.sub.resolve(c, sc); f != nil {
			return f
		}
		for _, it := range s.sub.items {
			s.columns = append(s.columns, Column{Name: it.name, Type: it.e.typ})
		}
		return nil
	case s.series != nil:
		s.columns = []Column{{Name: s.alias, Type: typeInt8}}
		for _, e := range s.series {
			if f := sc.resolve(e); f != nil {
				return f
			}
			sc.demand(e, typeInt8)
		}
		return nil
	case s.call != nil:
		if f := sc.resolve(s.call); f != nil {
			return f
		}
		s.columns = []Column{{Name: s.alias, Type: s.call.typ}}
		if s.call.name == "pg_create_logical_replication_slot" {
			s.columns = []Column{{Name: "slot_name", Type: typeText}, {Name: "lsn", Type: typeLSN}}
		}
		return nil
	}
	if s.schema == "" || s.schema == "pg_catalog" || s.schema == "information_schema" {
		name := s.name
		if s.schema == "information_schema" {
			name = "information_schema." + name
		}
		if v, ok := views[name]; ok {
			s.columns, s.view = v.columns, v.rows
			return nil
		}
	}
	t, f := c.find(s.schema, s.name)
	if f != nil {
		if c.db.sequence(s.schema, s.name, c.path()) != nil {
			s.columns = []Column{{Name: "last_value", Type: typeInt8}, {Name: "is_called", Type: typeBool}}
			s.view = func(c *conn) [][]value {
				q := c.db.sequence(s.schema, s.name, c.path())
				if q == nil {
					return nil
				}
				return [][]value{{number(q.last), boolean(q.called)}}
			}
			return nil
		}
		return f
	}
	s.table, s.columns = t, t.columns
	return nil
}

func (sc *scope) aggregates(e *expr) (out []*expr) {
	if e == nil {
		return nil
	}
	if e.op == "agg" {
		return []*expr{e}
	}
	for _, a := range e.args {
		out = append(out, sc.aggregates(a)...)
	}
	return out
}

func (q *query) resolve(c *conn, outer *scope) *fault {
	q.scope = &scope{outer: outer, c: c}
	if outer == nil {
		q.scope.params = c.given
	}
	for _, s := range q.sources {
		if f := s.resolve(c, q.scope); f != nil {
			return f
		}
		q.scope.sources = append(q.scope.sources, s)
	}
	for _, s := range q.sources {
		if s.on != nil {
			if f := q.scope.resolve(s.on); f != nil {
				return f
			}
		}
	}
	var f *fault
	if q.items, f = q.scope.items(q.items); f != nil {
		return f
	}
	for _, e := range append([]*expr{q.where, q.having, q.limit, q.offset}, q.group...) {
		if e != nil {
			if f := q.scope.resolve(e); f != nil {
				return f
			}
		}
	}
	for _, e := range []*expr{q.limit, q.offset} {
		if e != nil {
			q.scope.demand(e, typeInt8)
		}
	}
	for i, s := range q.order {
		if s.e.op == "literal" && s.e.typ == typeInt4 {
			if n, _ := strconv.Atoi(s.e.val.s); n >= 1 && n <= len(q.items) {
				q.order[i].e = q.items[n-1].e
			}
			continue
		}
		if s.e.op == "column" && s.e.of == "" {
			if at := slices.IndexFunc(q.items, func(it item) bool { return it.name == s.e.name }); at >= 0 {
				q.order[i].e = q.items[at].e
				continue
			}
		}
		if f := q.scope.resolve(s.e); f != nil {
			return f
		}
	}
	for _, it := range q.items {
		q.aggs = append(q.aggs, q.scope.aggregates(it.e)...)
	}
	q.aggs = append(q.aggs, q.scope.aggregates(q.having)...)
	for _, s := range q.order {
		q.aggs = append(q.aggs, q.scope.aggregates(s.e)...)
	}
	return nil
}

// items resolves what a SELECT or RETURNING gives and names it.
func (sc *scope) items(list []item) (out []item, f *fault) {
	for _, it := range list {
		if it.e.op == "all" {
			found := false
			for _, s := range sc.sources {
				if it.e.of != "" && it.e.of != s.alias {
					continue
				}
				found = true
				for i, col := range s.columns {
					out = append(out, item{&expr{op: "column", name: col.Name, src: s, col: i, typ: col.Type}, col.Name})
				}
			}
			if !found {
				return nil, syntax("SELECT * with no tables specified is not valid")
			}
			continue
		}
		if it.e.op == "call" && it.e.name == "pg_create_logical_replication_slot" && it.name == "" {
			it.name = it.e.name
		}
		if f = sc.resolve(it.e); f != nil {
			return nil, f
		}
		if it.e.typ == 0 || it.e.typ == typeUnknown {
			sc.demand(it.e, typeText)
			if it.e.typ == 0 || it.e.typ == typeUnknown {
				it.e.typ = typeText
			}
		}
		if it.name == "" {
			it.name = nameOf(it.e)
		}
		out = append(out, it)
	}
	return out, nil
}

func nameOf(e *expr) string {
	switch e.op {
	case "column", "call", "agg":
		return e.name
	case "cast":
		if n := nameOf(e.args[0]); n != "?column?" {
			return n
		}
	case "exists", "case", "array":
		return e.op
	case "query":
		return e.sub.items[0].name
	}
	return "?column?"
}

func fieldsOf(list []item) (out []field) {
	for _, it := range list {
		out = append(out, field{it.name, it.e.typ})
	}
	return out
}

// line is a row of a result, and what it is sorted by.
type line struct {
	out  []value
	keys []value
}

func sorted(by []sorting, a, b []value) int {
	for i, s := range by {
		n := 0
		switch {
		case a[i].null && b[i].null:
		case a[i].null || b[i].null:
			if n = 1; a[i].null == s.first {
				n = -1
			}
			if n != 0 {
				return n
			}
		default:
			n = order(a[i], b[i])
		}
		if s.down {
			n = -n
		}
		if n != 0 {
			return n
		}
	}
	return 0
}

// conjuncts are the parts of a condition that all have to hold.
func conjuncts(e *expr) []*expr {
	if e == nil {
		return nil
	}
	if e.op == "and" {
		return append(conjuncts(e.args[0]), conjuncts(e.args[1])...)
	}
	return []*expr{e}
}

// free says whether an expression can be told before the sources in the list have their row.
func free(e *expr, of []*source) bool {
	if e.op == "column" && slices.Contains(of, e.src) || e.op == "agg" || e.sub != nil {
		return false
	}
	for _, a := range e.args {
		if !free(a, of) {
			return false
		}
	}
	return true
}

// span is the range of keys in which the rows of a table can be that fit a condition, by its first key column.
func (v *env) span(s *source, where []*expr, later []*source) (span, *fault) {
	out := span{lowest, highest}
	t := s.table
	if len(t.key) == 0 {
		return out, nil
	}
	for _, e := range where {
		if len(e.args) != 2 {
			continue
		}
		a, b, op := e.args[0], e.args[1], e.op
		if b.op == "column" && b.src == s {
			a, b = b, a
			op = map[string]string{"<": ">", ">": "<", "<=": ">=", ">=": "<=", "=": "="}[op]
		}
		if a.op != "column" || a.src != s || a.col != t.key[0] || !free(b, later) {
			continue
		}
		switch op {
		case "=", "<", ">", "<=", ">=":
		default:
			continue
		}
		x, f := v.eval(b)
		if f != nil {
			return out, f
		}
		if x.null {
			return span{"\xff", ""}, nil // nothing fits
		}
		if x, f = x.as(a.typ); f != nil {
			continue
		}
		k := keyOf(x)
		top := k
		if len(t.key) > 1 {
			top = k + "\x00" + highest
		}
		if op == "=" || op == ">" || op == ">=" {
			out.from = max(out.from, k)
		}
		if op == "=" || op == "<" || op == "<=" {
			out.to = min(out.to, top)
		}
	}
	return out, nil
}

// each puts the rows that a source has into it, one after the other.
func (v *env) each(q *query, i int, down bool, see func() (bool, *fault)) *fault {
	s := q.sources[i]
	give := func(rows [][]value) *fault {
		for _, r := range rows {
			s.row = r
			if on, f := see(); f != nil || !on {
				return f
			}
		}
		return nil
	}
	switch {
	case s.table != nil:
		where := conjuncts(s.on)
		if !s.left {
			where = append(where, conjuncts(q.where)...)
		}
		within, f := v.span(s, where, q.sources[i:])
		if f != nil {
			return f
		}
		return s.table.scan(within, v.c.at, down, v.c.tx, func(h hit) (bool, *fault) {
			s.row, s.key = h.values, h.key
			return see()
		})
	case s.sub != nil:
		rows, f := s.sub.run(v, 0)
		if f != nil {
			return f
		}
		var list [][]value
		for _, r := range rows {
			list = append(list, r.out)
		}
		return give(list)
	case s.series != nil:
		list, f := v.list(s.series)
		if f != nil {
			return f
		}
		if len(list) < 2 {
			return syntax("generate_series takes two arguments")
		}
		from, _ := strconv.ParseInt(list[0].s, 10, 64)
		to, _ := strconv.ParseInt(list[1].s, 10, 64)
		for n := from; n <= to; n++ {
			s.row = []value{number(n)}
			if on, f := see(); f != nil || !on {
				return f
			}
		}
		return nil
	case s.call != nil:
		x, f := v.eval(s.call)
		if f != nil {
			return f
		}
		if len(s.columns) == 2 { // a slot's name and position
			a, b, _ := strings.Cut(strings.Trim(x.s, "()"), ",")
			return give([][]value{{text(a), {s: b, typ: typeLSN}}})
		}
		return give([][]value{{x}})
	}
	return give(s.view(v.c))
}

// join goes through all combinations of the sources' rows that fit.
func (v *env) join(q *query, i int, down bool, see func() (bool, *fault)) (bool, *fault) {
	if i == len(q.sources) {
		if q.where != nil {
			x, f := v.eval(q.where)
			if f != nil || !x.yes() {
				return true, f
			}
		}
		return see()
	}
	s := q.sources[i]
	on, matched := true, false
	f := v.each(q, i, down, func() (bool, *fault) {
		if s.on != nil {
			x, f := v.eval(s.on)
			if f != nil || !x.yes() {
				return true, f
			}
		}
		matched = true
		var f *fault
		on, f = v.join(q, i+1, down, see)
		return on, f
	})
	if f == nil && on && s.left && !matched {
		s.row = nil
		on, f = v.join(q, i+1, down, see)
	}
	return on, f
}

func (v *env) count(e *expr) (int, *fault) {
	if e == nil {
		return -1, nil
	}
	x, f := v.eval(e)
	if f != nil || x.null {
		return -1, f
	}
	n, err := strconv.Atoi(x.s)
	if err != nil || n < 0 {
		return 0, &fault{"2201W", "LIMIT must not be negative"}
	}
	return n, nil
}

// byKey says whether the rows come in the order that is asked for, or in its reverse, as the table has them.
func (q *query) byKey() (yes, down bool) {
	if len(q.order) == 0 {
		return true, false
	}
	if len(q.sources) != 1 || q.sources[0].table == nil || len(q.order) > len(q.sources[0].table.key) {
		return false, false
	}
	for i, s := range q.order {
		if s.e.op != "column" || s.e.src != q.sources[0] || s.e.col != q.sources[0].table.key[i] || s.down != q.order[0].down {
			return false, false
		}
	}
	return true, q.order[0].down
}

// run gives the rows of a query; most: no more are needed, 0: all.
func (q *query) run(v *env, most int) ([]line, *fault) {
	limit, f := v.count(q.limit)
	if f != nil {
		return nil, f
	}
	offset, f := v.count(q.offset)
	if f != nil {
		return nil, f
	}
	offset = max(0, offset)
	if most > 0 && (limit < 0 || limit > most) {
		limit = most
	}
	if limit == 0 {
		return nil, nil
	}
	sources := func() (now [][]value) {
		for _, s := range q.sources {
			now = append(now, s.row)
		}
		return now
	}
	project := func() (line, *fault) {
		var l line
		for _, it := range q.items {
			x, f := v.eval(it.e)
			if f != nil {
				return l, f
			}
			if x.typ == typeUnknown || x.typ == 0 {
				x.typ = it.e.typ
			}
			l.out = append(l.out, x)
		}
		for _, s := range q.order {
			x, f := v.eval(s.e)
			if f != nil {
				return l, f
			}
			l.keys = append(l.keys, x)
		}
		return l, nil
	}
	inOrder, down := q.byKey()
	var lines []line
	if len(q.aggs) > 0 || len(q.group) > 0 {
		inOrder = len(q.order) == 0
		if lines, f = q.grouped(v, sources, project); f != nil {
			return nil, f
		}
	} else {
		seen := map[string]bool{}
		_, f = v.join(q, 0, down, func() (bool, *fault) {
			if q.lock != 0 {
				if fits, f := v.lockRow(q); f != nil || !fits {
					return true, f
				}
			}
			l, f := project()
			if f != nil {
				return false, f
			}
			if q.distinct {
				k := fmt.Sprint(l.out)
				if seen[k] {
					return true, nil
				}
				seen[k] = true
			}
			lines = append(lines, l)
			return !inOrder || limit < 0 || len(lines) < offset+limit, nil
		})
		if f != nil {
			return nil, f
		}
	}
	if !inOrder {
		sort.SliceStable(lines, func(i, j int) bool { return sorted(q.order, lines[i].keys, lines[j].keys) < 0 })
	}
	lines = lines[min(offset, len(lines)):]
	if limit >= 0 {
		lines = lines[:min(limit, len(lines))]
	}
	return lines, nil
}

func (q *query) grouped(v *env, sources func() [][]value, project func() (line, *fault)) (lines []line, f *fault) {
	groups := map[string][][][]value{}
	var names []string
	_, f = v.join(q, 0, false, func() (bool, *fault) {
		k, f := v.list(q.group)
		if f != nil {
			return false, f
		}
		name := fmt.Sprint(k)
		if groups[name] == nil {
			names = append(names, name)
		}
		groups[name] = append(groups[name], sources())
		return true, nil
	})
	if f != nil {
		return nil, f
	}
	if len(names) == 0 && len(q.group) == 0 {
		names = []string{""}
	}
	for _, name := range names {
		rows := groups[name]
		seek := func(i int) {
			for k, s := range q.sources {
				s.row = rows[i][k]
			}
		}
		for _, e := range q.aggs {
			x, f := v.aggregate(e, len(rows), seek)
			if f != nil {
				return nil, f
			}
			e.group = []value{x}
		}
		if len(rows) > 0 {
			seek(0)
		} else {
			for _, s := range q.sources {
				s.row = nil
			}
		}
		if q.having != nil {
			x, f := v.eval(q.having)
			if f != nil {
				return nil, f
			}
			if !x.yes() {
				continue
			}
		}
		l, f := project()
		if f != nil {
			return nil, f
		}
		lines = append(lines, l)
	}
	return lines, nil
}

// lockRow takes the lock of the row that the first source has, and reads it anew. It may fit no more, or be skipped.
func (v *env) lockRow(q *query) (fits bool, f *fault) {
	s := q.sources[0]
	if s.table == nil {
		return true, nil
	}
	if !v.c.host.Primary() {
		return false, &fault{"25006", "cannot execute SELECT FOR UPDATE during recovery"}
	}
	a := v.c.actor()
	fits, f = a.hold(s, q.where, v, q.lock, q.noWait || q.skip)
	if f != nil && f.state == "55P03" && q.skip {
		return false, nil
	}
	return fits, f
}

// hold locks a source's row and looks whether it still fits as it is now.
func (a *actor) hold(s *source, where *expr, v *env, mode lockMode, noWait bool) (fits bool, f *fault) {
	if f = a.lock(lockKey{s.table, s.key}, mode, noWait); f != nil {
		return false, f
	}
	now := a.current(s.table, s.key)
	if now != nil && &now[0] == &s.row[0] {
		return true, nil
	}
	if a.tx.repeatable {
		return false, &fault{"40001", "could not serialize access due to concurrent update"}
	}
	if now == nil {
		return false, nil
	}
	if s.row = now; where == nil {
		return true, nil
	}
	x, f := v.eval(where)
	return x.yes(), f
}

// snapshot is the position as of which a statement reads.
func (c *conn) snapshot() float64 {
	if c.tx != nil && c.tx.repeatable && c.tx.snap > 0 {
		return c.tx.snap
	}
	at, primary := c.host.stand()
	if primary {
		c.host.cluster.mu.Lock()
		at = max(1, c.host.cluster.last)
		c.host.cluster.mu.Unlock()
	}
	if c.tx != nil && c.tx.repeatable {
		c.tx.snap = at
	}
	return at
}

// actor is the session as one that changes rows.
func (c *conn) actor() *actor {
	lock, _ := c.set.get("lock_timeout")
	whole, _ := c.set.get("statement_timeout")
	role, _ := c.set.get("session_replication_role")
	began, most := time.Now(), duration(whole)
	return &actor{cluster: c.host.cluster, host: c.host, tx: c.tx, timeout: duration(lock), role: role, stop: func() *fault {
		switch {
		case c.terminated.Load():
			return &fault{"57P01", "terminating connection due to administrator command"}
		case c.cancelled.Load():
			return &fault{"57014", "canceling statement due to user request"}
		case most > 0 && time.Since(began) >= most:
			return &fault{"57014", "canceling statement due to statement timeout"}
		}
		return nil
	}}
}

// duration reads a setting of milliseconds or with a unit.
func duration(s string) time.Duration {
	s = strings.ReplaceAll(s, " ", "")
	if n, err := strconv.ParseFloat(s, 64); err == nil {
		return time.Duration(n * 1e6)
	}
	d, err := time.ParseDuration(strings.Replace(s, "min", "m", 1))
	if err != nil {
		return 0
	}
	return d
}

// stmt is what a statement on rows does.
type stmt struct {
	fields []field
	params []uint32
	run    func(v *env) ([]line, string, *fault) // rows, and the tag
}

// plan reads a statement on rows; none: it is of another kind.
func (c *conn) plan(s []lexeme) (*stmt, *fault) {
	p := &parser{&words{of: s}}
	var st *stmt
	var f *fault
	switch {
	case p.next("select"):
		if p.next("select", "generate_series") || c.ofTemp(s) {
			return nil, nil
		}
		var q *query
		if q, f = p.query(); f != nil {
			return nil, f
		}
		if p.more() {
			return nil, p.wrong()
		}
		if f = q.resolve(c, nil); f != nil {
			return nil, f
		}
		st = &stmt{fields: fieldsOf(q.items), params: q.scope.params, run: func(v *env) ([]line, string, *fault) {
			rows, f := q.run(v, 0)
			return rows, "SELECT %d", f
		}}
		return st, nil
	case p.next("insert"), p.next("update"), p.next("delete"):
		if c.ofTemp(s) {
			return nil, nil
		}
		switch {
		case p.take("insert", "into"):
			st, f = c.planInsert(p)
		case p.take("update"):
			st, f = c.planUpdate(p)
		case p.take("delete", "from"):
			st, f = c.planDelete(p)
		default:
			f = p.wrong()
		}
		if f == nil && p.more() {
			f = p.wrong()
		}
		return st, f
	}
	return nil, nil
}

// ofTemp says whether a statement is of a temporary table.
func (c *conn) ofTemp(s []lexeme) bool {
	if len(c.temp) == 0 {
		return false
	}
	for i, l := range s[:len(s)-1] {
		if (l.kind == 'w' && (l.text == "from" || l.text == "into") || i == 0 && l.text == "update") && c.temp[s[i+1].text] {
			return true
		}
	}
	return false
}

// returning reads RETURNING and gives how to make its row.
func (p *parser) returning(sc *scope) ([]item, *fault) {
	if !p.take("returning") {
		return nil, nil
	}
	list, f := p.items()
	if f != nil {
		return nil, f
	}
	return sc.items(list)
}

func (v *env) project(list []item) (l line, f *fault) {
	for _, it := range list {
		x, f := v.eval(it.e)
		if f != nil {
			return l, f
		}
		l.out = append(l.out, x)
	}
	return l, nil
}

// target reads a table that a statement changes and its alias.
func (p *parser) target(c *conn) (*source, *fault) {
	p.take("only")
	t, name, f := p.table(c)
	if f != nil {
		return nil, f
	}
	s := &source{table: t, columns: t.columns, alias: name, name: name}
	if p.take("as") {
		s.alias, _ = p.identifier()
	} else if l := p.peek(); l.kind == 'w' && !stops[l.text] && l.text != "using" && l.text != "default" && l.text != "overriding" && l.text != "select" {
		s.alias, _ = p.identifier()
	}
	return s, nil
}

// allowed says whether a statement may change a table here, and runs its triggers for each statement.
func (v *env) allowed(t *Table, verb, event string) (*actor, *fault) {
	c := v.c
	if c.tx.readOnly {
		return nil, &fault{"25006", fmt.Sprintf("cannot execute %s in a read-only transaction", verb)}
	}
	if !c.host.Primary() {
		return nil, &fault{"25006", fmt.Sprintf("cannot execute %s on a server that is no primary", verb)}
	}
	if verb == "UPDATE" || verb == "DELETE" {
		if f := t.identified(strings.ToLower(verb)); f != nil {
			return nil, f
		}
	}
	a := c.actor()
	return a, a.fires(t, event, true)
}

// assignment is one column that UPDATE sets; no expression: to its default.
type assignment struct {
	col int
	e   *expr
}

func (p *parser) assignments(t *Table) (list []assignment, f *fault) {
	for {
		name, ok := p.identifier()
		if !ok {
			return nil, p.wrong()
		}
		i := t.column(name)
		if i < 0 {
			return nil, &fault{"42703", fmt.Sprintf("column %q of relation %q does not exist", name, t.Name)}
		}
		if f = p.need("="); f != nil {
			return nil, f
		}
		as := assignment{col: i}
		if p.take("default") {
			as.e = t.columns[i].def
		} else if as.e, f = p.expr(); f != nil {
			return nil, f
		}
		if list = append(list, as); !p.take(",") {
			return list, nil
		}
	}
}

func (sc *scope) assign(t *Table, list []assignment) *fault {
	for _, as := range list {
		if as.e != nil {
			if f := sc.resolve(as.e); f != nil {
				return f
			}
			sc.demand(as.e, t.columns[as.col].Type)
		}
	}
	return nil
}

func (v *env) assigned(t *Table, old []value, list []assignment) ([]value, *fault) {
	vs := slices.Clone(old)
	for _, as := range list {
		vs[as.col] = nothing(t.columns[as.col].Type)
		if as.e != nil {
			x, f := v.eval(as.e)
			if f != nil {
				return nil, f
			}
			vs[as.col] = x
		}
	}
	return vs, nil
}

func (c *conn) planUpdate(p *parser) (*stmt, *fault) {
	s, f := p.target(c)
	if f != nil {
		return nil, f
	}
	if f = p.need("set"); f != nil {
		return nil, f
	}
	list, f := p.assignments(s.table)
	if f != nil {
		return nil, f
	}
	return c.planChange(p, s, "UPDATE", list)
}

func (c *conn) planDelete(p *parser) (*stmt, *fault) {
	s, f := p.target(c)
	if f != nil {
		return nil, f
	}
	return c.planChange(p, s, "DELETE", nil)
}

func (c *conn) planChange(p *parser, s *source, verb string, list []assignment) (*stmt, *fault) {
	q := &query{sources: []*source{s}, scope: &scope{sources: []*source{s}, c: c, params: c.given}}
	sc := q.scope
	f := sc.assign(s.table, list)
	if f == nil && p.take("where") {
		if q.where, f = p.expr(); f == nil {
			f = sc.resolve(q.where)
		}
	}
	if f != nil {
		return nil, f
	}
	gives, f := p.returning(sc)
	if f != nil {
		return nil, f
	}
	event := strings.ToLower(verb[:1])
	run := func(v *env) (out []line, tag string, f *fault) {
		a, f := v.allowed(s.table, verb, event)
		if f != nil {
			return nil, "", f
		}
		var hits []hit
		if _, f = v.join(q, 0, false, func() (bool, *fault) {
			hits = append(hits, hit{s.key, s.row})
			return true, nil
		}); f != nil {
			return nil, "", f
		}
		n := 0
		for _, h := range hits {
			s.key, s.row = h.key, h.values
			fits, f := a.hold(s, q.where, v, exclusive, false)
			if f != nil {
				return nil, "", f
			}
			if !fits {
				continue
			}
			if f = a.fires(s.table, event, false); f != nil {
				return nil, "", f
			}
			n++
			old := s.row
			if verb == "DELETE" {
				if f = a.write(change{op: 'D', table: s.table, key: h.key, was: h.key, old: old}); f != nil {
					return nil, "", f
				}
			} else {
				vs, f := v.assigned(s.table, old, list)
				if f == nil {
					f = a.update(s.table, h.key, old, vs)
				}
				if f != nil {
					return nil, "", f
				}
				s.row = vs
			}
			if gives != nil {
				l, f := v.project(gives)
				if f != nil {
					return nil, "", f
				}
				out = append(out, l)
			}
		}
		return out, fmt.Sprintf("%s %d", verb, n), nil
	}
	return &stmt{fields: fieldsOf(gives), params: sc.params, run: run}, nil
}

func (c *conn) planInsert(p *parser) (*stmt, *fault) {
	s, f := p.target(c)
	if f != nil {
		return nil, f
	}
	t := s.table
	var cols []int
	if p.take("(") {
		for {
			name, ok := p.identifier()
			if !ok {
				return nil, p.wrong()
			}
			i := t.column(name)
			if i < 0 {
				return nil, &fault{"42703", fmt.Sprintf("column %q of relation %q does not exist", name, t.Name)}
			}
			if cols = append(cols, i); !p.take(",") {
				break
			}
		}
		if f = p.need(")"); f != nil {
			return nil, f
		}
	} else {
		for i := range t.columns {
			cols = append(cols, i)
		}
	}
	sc := &scope{c: c, params: c.given}
	var rows [][]*expr // no expression: the default
	var from *query
	switch {
	case p.take("default", "values"):
		rows, cols = [][]*expr{nil}, nil
	case p.take("values"):
		for {
			if f = p.need("("); f != nil {
				return nil, f
			}
			var row []*expr
			for {
				var e *expr
				if !p.take("default") {
					if e, f = p.expr(); f != nil {
						return nil, f
					}
				}
				if row = append(row, e); !p.take(",") {
					break
				}
			}
			if f = p.need(")"); f != nil {
				return nil, f
			}
			if len(row) > len(cols) {
				return nil, syntax("INSERT has more expressions than target columns")
			}
			for i, e := range row {
				if e != nil {
					if f = sc.resolve(e); f != nil {
						return nil, f
					}
					sc.demand(e, t.columns[cols[i]].Type)
				}
			}
			if rows = append(rows, row); !p.take(",") {
				break
			}
		}
	default:
		if from, f = p.query(); f != nil {
			return nil, f
		}
		if f = from.resolve(c, sc); f != nil {
			return nil, f
		}
		if len(from.items) > len(cols) {
			return nil, syntax("INSERT has more expressions than target columns")
		}
	}
	// ON CONFLICT
	skip := false
	var sets []assignment
	var where *expr
	excluded := &source{alias: "excluded", columns: t.columns}
	sc.sources = []*source{s}
	if p.take("on", "conflict") {
		if p.take("(") {
			var names []string
			for {
				name, _ := p.identifier()
				if names = append(names, name); !p.take(",") {
					break
				}
			}
			if f = p.need(")"); f != nil {
				return nil, f
			}
			for i, name := range names {
				if len(names) != len(t.key) || !slices.ContainsFunc(t.key, func(k int) bool { return t.columns[k].Name == name }) {
					return nil, &fault{"42P10", fmt.Sprintf("there is no unique or exclusion constraint matching the ON CONFLICT specification (%s)", names[i])}
				}
			}
		} else if p.take("on", "constraint") {
			p.identifier()
		}
		if f = p.need("do"); f != nil {
			return nil, f
		}
		if skip = p.take("nothing"); !skip {
			if f = p.need("update", "set"); f != nil {
				return nil, f
			}
			if sets, f = p.assignments(t); f != nil {
				return nil, f
			}
			sc.sources = []*source{s, excluded}
			if f = sc.assign(t, sets); f != nil {
				return nil, f
			}
			if p.take("where") {
				if where, f = p.expr(); f == nil {
					f = sc.resolve(where)
				}
				if f != nil {
					return nil, f
				}
			}
			sc.sources = []*source{s}
		}
	}
	gives, f := p.returning(sc)
	if f != nil {
		return nil, f
	}
	run := func(v *env) (out []line, tag string, f *fault) {
		a, f := v.allowed(t, "INSERT", "i")
		if f != nil {
			return nil, "", f
		}
		n := 0
		one := func(given []value) *fault {
			vs := make([]value, len(t.columns))
			set := make([]bool, len(vs))
			for i, x := range given {
				vs[cols[i]], set[cols[i]] = x, x.typ != typeVoid
			}
			for i, col := range t.columns {
				if set[i] {
					continue
				}
				if vs[i] = nothing(col.Type); col.def != nil {
					if vs[i], f = v.eval(col.def); f != nil {
						return f
					}
				}
			}
			if f := a.fires(t, "i", false); f != nil {
				return f
			}
			taken, key, f := a.insert(t, vs)
			if f != nil {
				return f
			}
			s.row, excluded.row = vs, vs
			if taken {
				switch {
				case skip:
					return nil
				case sets == nil:
					c.host.Counts.Add("duplicate_key")
					return t.duplicate(vs)
				}
				old := a.current(t, key)
				s.row = old
				if where != nil {
					if x, f := v.eval(where); f != nil || !x.yes() {
						return f
					}
				}
				now, f := v.assigned(t, old, sets)
				if f == nil {
					f = t.identified("update")
				}
				if f == nil {
					f = a.fires(t, "u", false)
				}
				if f == nil {
					f = a.update(t, key, old, now)
				}
				if f != nil {
					return f
				}
				s.row = now
			}
			n++
			if gives != nil {
				l, f := v.project(gives)
				if f != nil {
					return f
				}
				out = append(out, l)
			}
			return nil
		}
		if from != nil {
			lines, f := from.run(v, 0)
			if f != nil {
				return nil, "", f
			}
			for _, l := range lines {
				if f = one(l.out); f != nil {
					return nil, "", f
				}
			}
		}
		for _, row := range rows {
			var given []value
			for _, e := range row {
				x := value{typ: typeVoid}
				if e != nil {
					if x, f = v.eval(e); f != nil {
						return nil, "", f
					}
				}
				given = append(given, x)
			}
			if f = one(given); f != nil {
				return nil, "", f
			}
		}
		return out, fmt.Sprintf("INSERT 0 %d", n), nil
	}
	return &stmt{fields: fieldsOf(gives), params: sc.params, run: run}, nil
}

// identified says whether a table that is published has what its UPDATEs and DELETEs are to be told apart by.
func (t *Table) identified(verb string) *fault {
	c := t.db.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.identity == 'f' || t.identity == 'd' && len(t.key) > 0 {
		return nil
	}
	for _, p := range t.db.publications {
		if p.has(t) && (verb == "update" && p.update || verb == "delete" && p.delete) {
			return &fault{"55000", fmt.Sprintf("cannot %s table %q because it does not have a replica identity and publishes %ss", verb, t.Name, verb)}
		}
	}
	return nil
}

// latest reads everything that is committed.
var latest = math.Inf(1)

package host

import (
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// expr is a node of an expression.
type expr struct {
	op    string // literal, param, column, call, cast, case, exists, in, query, agg, a sign or a word of SQL
	name  string // of a column or a function
	of    string // the alias before a column's name
	val   value
	n     int    // of a parameter
	typ   uint32 // once it was resolved; of a cast, what to
	args  []*expr
	sub   *query
	src   *source
	col   int
	sorts []sorting // within an aggregate
	group []value   // what an aggregate gave, by the executor
	star  bool      // count(*)
	dist  bool      // count(DISTINCT x)
}

// parser reads one statement.
type parser struct {
	*words
}

func (p *parser) wrong() *fault {
	if !p.more() {
		return syntax("syntax error at end of input")
	}
	return syntax("syntax error at or near %q", p.peek().text)
}

func (p *parser) need(list ...string) *fault {
	if !p.take(list...) {
		return p.wrong()
	}
	return nil
}

// next says whether these words come next.
func (p *parser) next(list ...string) bool {
	at := p.at
	ok := p.take(list...)
	p.at = at
	return ok
}

func (p *parser) sign(s string) bool {
	list := strings.Split(s, "")
	if p.at+len(list) > len(p.of) {
		return false
	}
	for i := range list {
		if l := p.of[p.at+i]; l.text != list[i] || l.kind == 's' || l.kind == 'q' || i > 0 && l.from != p.of[p.at+i-1].to {
			return false
		}
	}
	p.at += len(list)
	return true
}

func (p *parser) expr() (*expr, *fault) { return p.or() }

func (p *parser) or() (*expr, *fault) {
	l, f := p.and()
	for f == nil && p.take("or") {
		var r *expr
		r, f = p.and()
		l = &expr{op: "or", args: []*expr{l, r}}
	}
	return l, f
}

func (p *parser) and() (*expr, *fault) {
	l, f := p.not()
	for f == nil && p.take("and") {
		var r *expr
		r, f = p.not()
		l = &expr{op: "and", args: []*expr{l, r}}
	}
	return l, f
}

func (p *parser) not() (*expr, *fault) {
	if p.take("not") {
		e, f := p.not()
		return &expr{op: "not", args: []*expr{e}}, f
	}
	return p.comparison()
}

func (p *parser) comparison() (*expr, *fault) {
	l, f := p.additive()
	for f == nil {
		negate := p.take("not")
		wrap := func(e *expr) *expr {
			if negate {
				return &expr{op: "not", args: []*expr{e}}
			}
			return e
		}
		op := ""
		for _, s := range []string{"<=", ">=", "<>", "!=", "!~", "~", "=", "<", ">"} {
			if p.sign(s) {
				op = s
				break
			}
		}
		var r *expr
		switch {
		case op != "":
			if op == "!=" {
				op = "<>"
			}
			if p.take("any", "(") || p.take("some", "(") {
				if p.next("select") {
					var q *query
					if q, f = p.query(); f == nil {
						l, f = &expr{op: "in", args: []*expr{l}, sub: q}, p.need(")")
					}
					continue
				}
				if r, f = p.expr(); f == nil {
					l, f = &expr{op: "any", name: op, args: []*expr{l, r}}, p.need(")")
				}
				continue
			}
			if r, f = p.additive(); f == nil {
				l = &expr{op: op, args: []*expr{l, r}}
			}
		case p.take("is", "distinct", "from"):
			r, f = p.additive()
			l = &expr{op: "distinct", args: []*expr{l, r}}
		case p.take("is", "not", "distinct", "from"):
			r, f = p.additive()
			l = &expr{op: "not", args: []*expr{{op: "distinct", args: []*expr{l, r}}}}
		case p.take("is"):
			not := p.take("not")
			switch {
			case p.take("null"):
				l = &expr{op: "isnull", args: []*expr{l}}
			case p.take("true"):
				l = &expr{op: "istrue", args: []*expr{l}}
			case p.take("false"):
				l = &expr{op: "isfalse", args: []*expr{l}}
			default:
				return nil, p.wrong()
			}
			if not {
				l = &expr{op: "not", args: []*expr{l}}
			}
		case p.take("between"):
			var hi *expr
			if r, f = p.additive(); f == nil {
				if f = p.need("and"); f == nil {
					hi, f = p.additive()
					l = wrap(&expr{op: "and", args: []*expr{{op: ">=", args: []*expr{l, r}}, {op: "<=", args: []*expr{l, hi}}}})
				}
			}
		case p.take("in", "("):
			e := &expr{op: "in", args: []*expr{l}}
			if p.next("select") {
				e.sub, f = p.query()
			} else {
				for {
					if r, f = p.expr(); f != nil {
						return nil, f
					}
					if e.args = append(e.args, r); !p.take(",") {
						break
					}
				}
			}
			if f == nil {
				l, f = wrap(e), p.need(")")
			}
		case p.take("like"), p.take("ilike"):
			r, f = p.additive()
			l = wrap(&expr{op: "like", args: []*expr{l, r}})
		default:
			if negate {
				return nil, p.wrong()
			}
			return l, nil
		}
	}
	return l, f
}

func (p *parser) additive() (*expr, *fault) { return p.chain(p.multiplied, "||", "+", "-") }

func (p *parser) multiplied() (*expr, *fault) { return p.chain(p.unary, "*", "/", "%") }

// chain reads operands with signs of one strength between them.
func (p *parser) chain(operand func() (*expr, *fault), signs ...string) (*expr, *fault) {
	l, f := operand()
	for f == nil {
		i := slices.IndexFunc(signs, p.sign)
		if i < 0 {
			break
		}
		var r *expr
		r, f = operand()
		l = &expr{op: signs[i], args: []*expr{l, r}}
	}
	return l, f
}

func (p *parser) unary() (*expr, *fault) {
	if p.sign("-") {
		e, f := p.unary()
		return &expr{op: "-", args: []*expr{{op: "literal", val: number(0), typ: typeInt8}, e}}, f
	}
	e, f := p.primary()
	for f == nil {
		if p.take("collate") { // text is compared by its bytes whatever it says
			p.take("pg_catalog", ".")
			p.identifier()
			continue
		}
		if !p.sign("::") {
			break
		}
		var t uint32
		t, f = p.typeName()
		e = &expr{op: "cast", args: []*expr{e}, typ: t}
	}
	return e, f
}

// typeName reads a type and passes over its length.
func (p *parser) typeName() (uint32, *fault) {
	p.take("pg_catalog", ".")
	l := p.peek()
	word, ok := p.identifier()
	t, known := typeNames[word]
	if !ok || !known {
		if ok && l.kind == 'w' {
			return 0, &fault{"42704", fmt.Sprintf("type %q does not exist here", word)}
		}
		return 0, p.wrong()
	}
	_ = p.take("varying") || p.take("precision")
	if p.take("(") {
		for p.more() && !p.take(")") {
			p.at++
		}
	}
	if p.take("with", "time", "zone") || p.take("without", "time", "zone") || p.take("[", "]") {
		if p.of[p.at-1].text == "]" {
			t = typeTextArray
		}
	}
	return t, nil
}

var aggregates = map[string]bool{"count": true, "min": true, "max": true, "sum": true, "string_agg": true, "bool_or": true, "bool_and": true, "array_agg": true}

// words that end an expression and are no column's name.
var stops = map[string]bool{
	"from": true, "where": true, "order": true, "group": true, "limit": true, "offset": true, "for": true, "on": true, "as": true,
	"and": true, "or": true, "union": true, "returning": true, "set": true, "values": true, "join": true, "left": true, "inner": true, "cross": true,
	"having": true, "then": true, "else": true, "end": true, "when": true, "asc": true, "desc": true, "fetch": true, "natural": true, "full": true, "right": true,
}

func (p *parser) primary() (*expr, *fault) {
	l := p.peek()
	switch l.kind {
	case 's':
		p.at++
		return &expr{op: "literal", val: value{s: l.text, typ: typeUnknown}, typ: typeUnknown}, nil
	case 'n':
		p.at++
		t := uint32(typeInt4)
		if strings.Contains(l.text, ".") {
			t = typeNumeric
		} else if n, err := strconv.ParseInt(l.text, 10, 64); err != nil || n > math.MaxInt32 {
			t = typeInt8
		}
		return &expr{op: "literal", val: value{s: l.text, typ: t}, typ: t}, nil
	case 'p':
		p.at++
		n, _ := strconv.Atoi(l.text)
		return &expr{op: "param", n: n}, nil
	case '(':
		p.at++
		if p.next("select") {
			q, f := p.query()
			if f != nil {
				return nil, f
			}
			return &expr{op: "query", sub: q}, p.need(")")
		}
		e, f := p.expr()
		if f != nil {
			return nil, f
		}
		if p.next(",") {
			e = &expr{op: "row", args: []*expr{e}}
			for p.take(",") {
				r, f := p.expr()
				if f != nil {
					return nil, f
				}
				e.args = append(e.args, r)
			}
		}
		return e, p.need(")")
	case 'w', 'q':
	default:
		return nil, p.wrong()
	}
	if l.kind == 'w' {
		switch {
		case p.take("null"):
			return &expr{op: "literal", val: nothing(typeUnknown), typ: typeUnknown}, nil
		case p.take("true"), p.take("false"):
			return &expr{op: "literal", val: boolean(l.text == "true"), typ: typeBool}, nil
		case p.take("current_user"), p.take("session_user"), p.take("current_timestamp"), p.take("current_role"):
			return &expr{op: "call", name: l.text}, nil
		case p.take("exists", "("):
			q, f := p.query()
			if f != nil {
				return nil, f
			}
			return &expr{op: "exists", sub: q}, p.need(")")
		case p.take("cast", "("):
			e, f := p.expr()
			if f != nil {
				return nil, f
			}
			if f = p.need("as"); f != nil {
				return nil, f
			}
			t, f := p.typeName()
			if f != nil {
				return nil, f
			}
			return &expr{op: "cast", args: []*expr{e}, typ: t}, p.need(")")
		case l.text == "interval" && p.at+1 < len(p.of) && p.of[p.at+1].kind == 's':
			p.at += 2
			v, f := value{s: p.of[p.at-1].text, typ: typeUnknown}.as(typeInterval)
			return &expr{op: "literal", val: v, typ: typeInterval}, f
		case p.take("extract", "(", "epoch", "from"):
			e, f := p.expr()
			if f != nil {
				return nil, f
			}
			return &expr{op: "call", name: "extract", args: []*expr{e}}, p.need(")")
		case p.take("case"):
			return p.cases()
		case p.take("array", "["):
			e := &expr{op: "array"}
			for !p.take("]") {
				x, f := p.expr()
				if f != nil {
					return nil, f
				}
				e.args = append(e.args, x)
				if !p.take(",") && !p.next("]") {
					return nil, p.wrong()
				}
			}
			return e, nil
		case stops[l.text]:
			return nil, p.wrong()
		}
	}
	p.at++
	of, name := "", l.text
	for p.peek().kind == '.' {
		p.at++
		if p.sign("*") {
			return &expr{op: "all", of: name}, nil
		}
		next, ok := p.identifier()
		if !ok {
			return nil, p.wrong()
		}
		of, name = name, next
	}
	if !p.take("(") {
		return &expr{op: "column", of: of, name: name}, nil
	}
	e := &expr{op: "call", name: name, of: of}
	if aggregates[name] {
		e.op = "agg"
	}
	if p.sign("*") {
		e.star = true
		return e, p.need(")")
	}
	e.dist = p.take("distinct")
	for !p.take(")") {
		x, f := p.expr()
		if f != nil {
			return nil, f
		}
		e.args = append(e.args, x)
		if p.take("order", "by") {
			if e.sorts, f = p.sortings(); f != nil {
				return nil, f
			}
		}
		if !p.take(",") && !p.next(")") {
			return nil, p.wrong()
		}
	}
	return e, nil
}

// cases reads what follows CASE: pairs of a condition and a result, and at the end, where there is ELSE, one more.
func (p *parser) cases() (*expr, *fault) {
	e := &expr{op: "case"}
	for p.take("when") {
		for _, word := range []string{"then", ""} {
			x, f := p.expr()
			if f == nil && word != "" {
				f = p.need(word)
			}
			if f != nil {
				return nil, f
			}
			e.args = append(e.args, x)
		}
	}
	if p.take("else") {
		x, f := p.expr()
		if f != nil {
			return nil, f
		}
		e.args = append(e.args, x)
	}
	if len(e.args) < 2 {
		return nil, p.wrong()
	}
	return e, p.need("end")
}

// scope is where an expression's names are looked up.
type scope struct {
	sources []*source
	outer   *scope
	params  []uint32 // types of parameters, told as they are found; 0: not yet
	c       *conn
}

func (sc *scope) root() *scope {
	for sc.outer != nil {
		sc = sc.outer
	}
	return sc
}

// demand gives an expression of no type of its own the one that its place has.
func (sc *scope) demand(e *expr, t uint32) {
	if t == 0 || t == typeUnknown {
		return
	}
	switch e.op {
	case "param":
		r := sc.root()
		for len(r.params) < e.n {
			r.params = append(r.params, 0)
		}
		if r.params[e.n-1] == 0 {
			r.params[e.n-1] = t
		}
		e.typ = r.params[e.n-1]
	case "literal":
		if e.typ == typeUnknown && !e.val.null {
			if v, f := e.val.as(t); f == nil {
				e.val, e.typ = v, t
			}
		}
	}
}

// resolve finds the columns and types of an expression.
func (sc *scope) resolve(e *expr) *fault {
	for _, a := range e.args {
		if f := sc.resolve(a); f != nil {
			return f
		}
	}
	for _, s := range e.sorts {
		if f := sc.resolve(s.e); f != nil {
			return f
		}
	}
	if e.sub != nil {
		if f := e.sub.resolve(sc.c, sc); f != nil {
			return f
		}
	}
	switch e.op {
	case "literal":
	case "param":
		r := sc.root()
		if e.n >= 1 && e.n <= len(r.params) {
			e.typ = r.params[e.n-1]
		}
	case "column":
		if e.src != nil { // it stands in two places, as BETWEEN's first part
			return nil
		}
		for at := sc; at != nil; at = at.outer {
			for _, s := range at.sources {
				if e.of != "" && e.of != s.alias {
					continue
				}
				for i, c := range s.columns {
					if c.Name == e.name {
						if e.src != nil {
							return &fault{"42702", fmt.Sprintf("column reference %q is ambiguous", e.name)}
						}
						e.src, e.col, e.typ = s, i, c.Type
					}
				}
			}
			if e.src != nil {
				return nil
			}
		}
		return &fault{"42703", fmt.Sprintf("column %q does not exist", e.name)}
	case "all":
		return syntax("* does not stand here")
	case "cast":
		t := e.typ
		if t == typeRegclass {
			t = typeText // a name is looked up
		}
		if sc.demand(e.args[0], t); e.args[0].typ == e.typ && e.args[0].op == "column" {
			*e = *e.args[0]
		}
	case "and", "or", "not", "exists", "isnull", "istrue", "isfalse":
		e.typ = typeBool
	case "=", "<>", "<", ">", "<=", ">=", "distinct":
		e.typ = typeBool
		sc.pair(e.args[0], e.args[1])
	case "in":
		e.typ = typeBool
		for _, a := range e.args[1:] {
			sc.pair(e.args[0], a)
		}
	case "any":
		e.typ = typeBool
		sc.demand(e.args[1], typeTextArray)
	case "~", "!~", "like":
		e.typ = typeBool
		sc.demand(e.args[0], typeText)
		sc.demand(e.args[1], typeText)
	case "||":
		e.typ = typeText
		sc.demand(e.args[0], typeText)
		sc.demand(e.args[1], typeText)
	case "+", "-", "*", "/", "%":
		if e.args[0].typ != typeTimestamptz && e.args[0].typ != typeLSN {
			sc.pair(e.args[0], e.args[1])
		}
		a, b := e.args[0].typ, e.args[1].typ
		switch {
		case a == typeLSN && b == typeLSN, a == typeNumeric || b == typeNumeric:
			e.typ = typeNumeric
		case a == typeTimestamptz && b == typeTimestamptz, a == typeInterval && b == typeInterval:
			e.typ = typeInterval
		case a == typeTimestamptz, b == typeTimestamptz:
			e.typ = typeTimestamptz
		case a == typeLSN, b == typeLSN:
			e.typ = typeLSN
		case a == typeFloat8 || b == typeFloat8:
			e.typ = typeFloat8
		case a == typeInt4 && b == typeInt4:
			e.typ = typeInt4
		default:
			e.typ = typeInt8
		}
	case "array":
		e.typ = typeTextArray
	case "case":
		for i := 1; i < len(e.args); i += 2 {
			e.typ = max(e.typ, e.args[i].typ)
		}
		if len(e.args)%2 == 1 && (e.typ == 0 || e.typ == typeUnknown) {
			e.typ = e.args[len(e.args)-1].typ
		}
	case "query":
		if len(e.sub.items) != 1 {
			return syntax("subquery must return only one column")
		}
		e.typ = e.sub.items[0].e.typ
	case "agg":
		switch {
		case e.name == "count":
			e.typ = typeInt8
		case e.name == "string_agg":
			e.typ = typeText
		case e.name == "array_agg":
			e.typ = typeTextArray
		case len(e.args) == 0:
			return syntax("%s needs an argument", e.name)
		case e.name == "sum" && e.args[0].typ == typeInt8:
			e.typ = typeNumeric
		case e.name == "sum" && e.args[0].typ == typeInt4:
			e.typ = typeInt8
		default:
			e.typ = e.args[0].typ
		}
	case "call":
		fn, ok := functions[e.name]
		if !ok {
			return &fault{"42883", fmt.Sprintf("function %s does not exist", e.name)}
		}
		for i, a := range e.args {
			if len(fn.args) > 0 {
				sc.demand(a, fn.args[min(i, len(fn.args)-1)])
			}
		}
		e.typ = fn.gives
		if fn.gives == 0 {
			for _, a := range e.args {
				if a.typ != 0 && a.typ != typeUnknown {
					e.typ = a.typ
					break
				}
			}
			for _, a := range e.args {
				sc.demand(a, e.typ)
			}
		}
	}
	return nil
}

// pair gives each of two the other's type where it has none.
func (sc *scope) pair(a, b *expr) {
	if a.op == "row" && b.op == "row" {
		for i := range min(len(a.args), len(b.args)) {
			sc.pair(a.args[i], b.args[i])
		}
		return
	}
	sc.demand(a, b.typ)
	sc.demand(b, a.typ)
}

// env is what an evaluation has beside the sources' rows.
type env struct {
	c      *conn
	params []param
}

func (v *env) param(e *expr) (value, *fault) {
	if e.n < 1 || e.n > len(v.params) {
		return value{}, &fault{"42P02", fmt.Sprintf("there is no parameter $%d", e.n)}
	}
	p := v.params[e.n-1]
	t := e.typ
	if t == 0 {
		t = typeText
	}
	if p.null {
		return nothing(t), nil
	}
	return value{s: p.text, typ: typeUnknown}.as(t)
}

func (v *env) list(es []*expr) (out []value, f *fault) {
	for _, e := range es {
		x, f := v.eval(e)
		if f != nil {
			return nil, f
		}
		out = append(out, x)
	}
	return out, nil
}

// compare is a comparison of two values as SQL has it; known is false where one is NULL.
func compare(op string, a, b value) (yes, known bool) {
	if a.null || b.null {
		return false, false
	}
	n := order(a, b)
	switch op {
	case "=":
		return n == 0, true
	case "<>":
		return n != 0, true
	case "<":
		return n < 0, true
	case ">":
		return n > 0, true
	case "<=":
		return n <= 0, true
	}
	return n >= 0, true
}

func truth(yes, known bool) value {
	if !known {
		return nothing(typeBool)
	}
	return boolean(yes)
}

func (v *env) eval(e *expr) (value, *fault) {
	switch e.op {
	case "literal":
		return e.val, nil
	case "param":
		return v.param(e)
	case "column":
		if e.src.row == nil {
			return nothing(e.typ), nil
		}
		return e.src.row[e.col], nil
	case "agg":
		if len(e.group) == 0 {
			return nothing(e.typ), nil
		}
		return e.group[0], nil
	case "and", "or":
		a, f := v.eval(e.args[0])
		if f != nil {
			return a, f
		}
		if !a.null && a.yes() == (e.op == "or") {
			return a, nil
		}
		b, f := v.eval(e.args[1])
		if f != nil || !b.null && b.yes() == (e.op == "or") || !a.null {
			return b, f
		}
		return nothing(typeBool), nil
	case "case":
		for i := 0; i+1 < len(e.args); i += 2 {
			if c, f := v.eval(e.args[i]); f != nil {
				return c, f
			} else if c.yes() {
				return v.eval(e.args[i+1])
			}
		}
		if len(e.args)%2 == 1 {
			return v.eval(e.args[len(e.args)-1])
		}
		return nothing(e.typ), nil
	case "exists":
		r, f := e.sub.run(v, 1)
		return boolean(len(r) > 0), f
	case "query":
		r, f := e.sub.run(v, 2)
		if f != nil || len(r) == 0 {
			return nothing(e.typ), f
		}
		if len(r) > 1 {
			return value{}, &fault{"21000", "more than one row returned by a subquery used as an expression"}
		}
		return r[0].out[0], nil
	case "call":
		args, f := v.list(e.args)
		if f != nil {
			return value{}, f
		}
		return v.call(e, args)
	}
	if e.op == "=" || e.op == "<" || e.op == ">" || e.op == "<=" || e.op == ">=" || e.op == "<>" {
		if e.args[0].op == "row" && e.args[1].op == "row" {
			return v.rowwise(e)
		}
	}
	args, f := v.list(e.args)
	if f != nil {
		return value{}, f
	}
	switch e.op {
	case "not":
		if args[0].null {
			return args[0], nil
		}
		return boolean(!args[0].yes()), nil
	case "isnull":
		return boolean(args[0].null), nil
	case "istrue":
		return boolean(args[0].yes()), nil
	case "isfalse":
		return boolean(!args[0].null && !args[0].yes()), nil
	case "distinct":
		if args[0].null || args[1].null {
			return boolean(args[0].null != args[1].null), nil
		}
		return boolean(order(args[0], args[1]) != 0), nil
	case "=", "<>", "<", ">", "<=", ">=":
		return truth(compare(e.op, args[0], args[1])), nil
	case "cast":
		return v.cast(args[0], e.typ)
	case "in":
		known := true
		if e.sub != nil {
			rows, f := e.sub.run(v, 0)
			if f != nil {
				return value{}, f
			}
			for _, r := range rows {
				args = append(args, r.out[0])
			}
		}
		for _, a := range args[1:] {
			yes, k := compare("=", args[0], a)
			if yes {
				return boolean(true), nil
			}
			known = known && k
		}
		return truth(false, known), nil
	case "any":
		if args[1].null {
			return nothing(typeBool), nil
		}
		for _, s := range items(args[1].s) {
			if yes, _ := compare(e.name, args[0], value{s: s, typ: args[0].typ}); yes {
				return boolean(true), nil
			}
		}
		return boolean(false), nil
	case "array":
		var list []string
		for _, a := range args {
			list = append(list, a.s)
		}
		return array(list), nil
	case "row":
		return value{}, syntax("a row does not stand here")
	}
	if args[0].null || args[1].null {
		return nothing(e.typ), nil
	}
	switch e.op {
	case "||":
		return text(args[0].s + args[1].s), nil
	case "~", "!~":
		re, err := regexp.Compile(args[1].s)
		if err != nil {
			return value{}, &fault{"2201B", "invalid regular expression: " + err.Error()}
		}
		return boolean(re.MatchString(args[0].s) == (e.op == "~")), nil
	case "like":
		return boolean(like(args[0].s, args[1].s)), nil
	}
	return arithmetic(e, args[0], args[1])
}

// rowwise compares rows by their first columns that differ.
func (v *env) rowwise(e *expr) (value, *fault) {
	a, f := v.list(e.args[0].args)
	if f != nil {
		return value{}, f
	}
	b, f := v.list(e.args[1].args)
	if f != nil {
		return value{}, f
	}
	if len(a) != len(b) {
		return value{}, syntax("unequal number of entries in row expressions")
	}
	for i := range a {
		if a[i].null || b[i].null {
			return nothing(typeBool), nil
		}
		if i == len(a)-1 || order(a[i], b[i]) != 0 {
			return truth(compare(e.op, a[i], b[i])), nil
		}
	}
	return nothing(typeBool), nil
}

// like matches a pattern of % and _.
func like(s, pattern string) bool {
	var b strings.Builder
	b.WriteString("(?s)^")
	for i := 0; i < len(pattern); i++ {
		switch c := pattern[i]; {
		case c == '%':
			b.WriteString(".*")
		case c == '_':
			b.WriteString(".")
		case c == '\\' && i+1 < len(pattern):
			i++
			b.WriteString(regexp.QuoteMeta(pattern[i : i+1]))
		default:
			b.WriteString(regexp.QuoteMeta(string(c)))
		}
	}
	ok, _ := regexp.MatchString(b.String()+"$", s)
	return ok
}

func arithmetic(e *expr, a, b value) (value, *fault) {
	if a.typ == typeLSN || b.typ == typeLSN {
		x, err1 := ParseLSN(a.s)
		if b.typ == typeLSN && a.typ == typeLSN {
			y, err2 := ParseLSN(b.s)
			if err1 == nil && err2 == nil && e.op == "-" {
				return value{s: strconv.FormatInt(int64(x-y), 10), typ: typeNumeric}, nil
			}
		} else if n, err := strconv.ParseInt(b.s, 10, 64); err == nil && err1 == nil && e.op == "-" {
			return lsnValue(x - uint64(n)), nil
		} else if err == nil && err1 == nil && e.op == "+" {
			return lsnValue(x + uint64(n)), nil
		}
		return value{}, &fault{"42883", "operator does not exist for pg_lsn: " + e.op}
	}
	if a.typ == typeTimestamptz || a.typ == typeInterval {
		return timely(e, a, b)
	}
	m, err1 := strconv.ParseInt(a.s, 10, 64)
	n, err2 := strconv.ParseInt(b.s, 10, 64)
	if (e.op == "/" || e.op == "%") && (b.s == "0" || err2 == nil && n == 0) {
		return value{}, &fault{"22012", "division by zero"}
	}
	if err1 == nil && err2 == nil {
		switch e.op {
		case "+":
			m += n
		case "-":
			m -= n
		case "*":
			m *= n
		case "/":
			m /= n
		case "%":
			m %= n
		}
		return value{s: strconv.FormatInt(m, 10), typ: e.typ}, nil
	}
	x, err1 := strconv.ParseFloat(a.s, 64)
	y, err2 := strconv.ParseFloat(b.s, 64)
	if err1 != nil || err2 != nil {
		return value{}, &fault{"22P02", fmt.Sprintf("invalid input syntax for type numeric: %q", a.s)}
	}
	switch e.op {
	case "+":
		x += y
	case "-":
		x -= y
	case "*":
		x *= y
	case "/":
		x /= y
	case "%":
		x = math.Mod(x, y)
	}
	return value{s: strconv.FormatFloat(x, 'f', -1, 64), typ: typeFloat8}, nil
}

// timely is the arithmetic of moments and intervals.
func timely(e *expr, a, b value) (value, *fault) {
	sign := map[string]float64{"+": 1, "-": -1}[e.op]
	if sign == 0 {
		return value{}, &fault{"42883", "operator does not exist for intervals: " + e.op}
	}
	if a.typ == typeInterval {
		x, _ := strconv.ParseFloat(a.s, 64)
		y, _ := strconv.ParseFloat(b.s, 64)
		return interval(x + sign*y), nil
	}
	x, err := time.Parse(timeForm, a.s)
	if err != nil {
		return value{}, &fault{"22007", "invalid timestamp: " + a.s}
	}
	if b.typ == typeTimestamptz {
		y, err := time.Parse(timeForm, b.s)
		if err != nil {
			return value{}, &fault{"22007", "invalid timestamp: " + b.s}
		}
		return interval(x.Sub(y).Seconds()), nil
	}
	if b, f := b.as(typeInterval); f != nil {
		return value{}, f
	} else if y, err := strconv.ParseFloat(b.s, 64); err == nil {
		x = x.Add(time.Duration(sign * y * 1e9))
	}
	return moment(x), nil
}

func (v *env) cast(a value, t uint32) (value, *fault) {
	switch {
	case a.null:
		return nothing(t), nil
	case t == typeRegclass && !numeric(a.typ):
		id := v.c.relation(a.s)
		if id == 0 {
			return value{}, &fault{"42P01", fmt.Sprintf("relation %q does not exist", a.s)}
		}
		return value{s: strconv.Itoa(int(id)), typ: typeRegclass}, nil
	case a.typ == typeRegclass && t == typeText:
		return text(v.c.relationName(a.s)), nil
	}
	if a.typ == typeBool && t == typeText {
		return text(map[string]string{"t": "true", "f": "false"}[a.s]), nil
	}
	return a.as(t)
}

// function is one of the server's: what it gives (0: the type of its arguments) and takes, the last for all that follow.
type function struct {
	gives uint32
	args  []uint32
	run   func(v *env, args []value) (value, *fault)
}

// strict runs a function only where no argument is NULL.
func strict(gives uint32, args []uint32, run func(v *env, args []value) (value, *fault)) function {
	return function{gives, args, func(v *env, list []value) (value, *fault) {
		if len(list) < len(args) {
			return value{}, &fault{"42883", "the function takes more arguments"}
		}
		for _, a := range list {
			if a.null {
				return nothing(gives), nil
			}
		}
		return run(v, list)
	}}
}

// old runs a function that the data without a database has too.
func old(name string, gives uint32) function {
	return function{gives, []uint32{typeText}, func(v *env, args []value) (value, *fault) {
		var list []param
		for _, a := range args {
			if a.typ == typeBool {
				a.s = map[string]string{"t": "true", "f": "false"}[a.s]
			}
			list = append(list, param{a.s, a.null})
		}
		x, f := v.c.function(name, list)
		if s, ok := x.(string); ok {
			return value{s: s, typ: gives}, f
		}
		return nothing(gives), f
	}}
}

var functions map[string]function

func init() {
	txt := []uint32{typeText}
	functions = map[string]function{
		"pg_backend_pid": old("pg_backend_pid", typeInt4), "pg_is_in_recovery": old("pg_is_in_recovery", typeBool),
		"current_setting": old("current_setting", typeText), "set_config": old("set_config", typeText), "now": old("now", typeTimestamptz),
		"pg_sleep": {typeVoid, []uint32{typeFloat8}, old("pg_sleep", typeVoid).run},
		"repeat": strict(typeText, []uint32{typeText, typeInt4}, func(_ *env, a []value) (value, *fault) {
			n, _ := strconv.Atoi(a[1].s)
			return text(strings.Repeat(a[0].s, min(max(0, n), 1<<20))), nil
		}),
		"version": {typeText, nil, func(*env, []value) (value, *fault) { return text("PostgreSQL " + defaults["server_version"]), nil }},
		"coalesce": {0, nil, func(_ *env, a []value) (value, *fault) {
			for _, x := range a {
				if !x.null {
					return x, nil
				}
			}
			return nothing(typeUnknown), nil
		}},
		"nullif": {0, nil, func(_ *env, a []value) (value, *fault) {
			if yes, _ := compare("=", a[0], a[1]); yes {
				return nothing(a[0].typ), nil
			}
			return a[0], nil
		}},
		"greatest": {0, nil, func(_ *env, a []value) (value, *fault) { return extreme(a, 1), nil }},
		"least":    {0, nil, func(_ *env, a []value) (value, *fault) { return extreme(a, -1), nil }},
		"concat": {typeText, txt, func(_ *env, a []value) (value, *fault) {
			var b strings.Builder
			for _, x := range a {
				b.WriteString(x.s)
			}
			return text(b.String()), nil
		}},
		"length": strict(typeInt4, txt, func(_ *env, a []value) (value, *fault) {
			return value{s: strconv.Itoa(len([]rune(a[0].s))), typ: typeInt4}, nil
		}),
		"lower": strict(typeText, txt, func(_ *env, a []value) (value, *fault) { return text(strings.ToLower(a[0].s)), nil }),
		"upper": strict(typeText, txt, func(_ *env, a []value) (value, *fault) { return text(strings.ToUpper(a[0].s)), nil }),
		"extract": strict(typeFloat8, nil, func(_ *env, a []value) (value, *fault) {
			if a[0].typ == typeInterval {
				return value{s: a[0].s, typ: typeFloat8}, nil
			}
			at, err := time.Parse(timeForm, a[0].s)
			if err != nil {
				return value{}, &fault{"22007", "invalid timestamp: " + a[0].s}
			}
			return value{s: strconv.FormatFloat(float64(at.UnixMicro())/1e6, 'f', 6, 64), typ: typeFloat8}, nil
		}),
		"md5": strict(typeText, txt, func(_ *env, a []value) (value, *fault) {
			sum := md5.Sum([]byte(a[0].s))
			return text(hex.EncodeToString(sum[:])), nil
		}),
		"quote_ident":       strict(typeText, txt, func(_ *env, a []value) (value, *fault) { return text(quoted(a[0].s)), nil }),
		"clock_timestamp":   {typeTimestamptz, nil, func(*env, []value) (value, *fault) { return moment(time.Now()), nil }},
		"current_timestamp": {typeTimestamptz, nil, func(*env, []value) (value, *fault) { return moment(time.Now()), nil }},
		"pg_wal_lsn_diff": strict(typeNumeric, []uint32{typeLSN, typeLSN}, func(_ *env, a []value) (value, *fault) {
			return arithmetic(&expr{op: "-", typ: typeNumeric}, value{s: a[0].s, typ: typeLSN}, value{s: a[1].s, typ: typeLSN})
		}),
		"current_database": {typeText, nil, func(v *env, _ []value) (value, *fault) { return text(v.c.db.Name), nil }},
		"current_schema":   {typeText, nil, func(v *env, _ []value) (value, *fault) { return text(v.c.schema()), nil }},
	}
	for _, name := range []string{"current_user", "session_user", "current_role"} {
		functions[name] = function{typeText, nil, func(v *env, _ []value) (value, *fault) { return text(v.c.user), nil }}
	}
	for name, fn := range catalogueFunctions() {
		functions[name] = fn
	}
}

func extreme(a []value, sign int) value {
	best := nothing(typeUnknown)
	for _, x := range a {
		if !x.null && (best.null || order(x, best)*sign > 0) {
			best = x
		}
	}
	return best
}

func quoted(s string) string {
	if simpleName(s) {
		return s
	}
	return `"` + strings.ReplaceAll(s, `"`, `""`) + `"`
}

func (v *env) call(e *expr, args []value) (value, *fault) {
	if e.typ == 0 && len(args) == 0 && functions[e.name].gives == 0 {
		return value{}, syntax("%s needs arguments", e.name)
	}
	return functions[e.name].run(v, args)
}

// aggregate is an aggregate over the rows of a group; seek puts one of them into the sources.
func (v *env) aggregate(e *expr, n int, seek func(i int)) (value, *fault) {
	if e.star {
		return number(int64(n)), nil
	}
	type entry struct{ v, sep value }
	var list []entry
	var keys [][]value
	seen := map[string]bool{}
	for i := range n {
		seek(i)
		args, f := v.list(e.args)
		if f != nil {
			return value{}, f
		}
		if len(args) == 0 || args[0].null || e.dist && seen[args[0].s] {
			continue
		}
		seen[args[0].s] = e.dist
		x := entry{v: args[0]}
		if len(args) > 1 {
			x.sep = args[1]
		}
		list = append(list, x)
		var k []value
		for _, s := range e.sorts {
			y, f := v.eval(s.e)
			if f != nil {
				return value{}, f
			}
			k = append(k, y)
		}
		keys = append(keys, k)
	}
	if len(e.sorts) > 0 {
		at := make([]int, len(list))
		for i := range at {
			at[i] = i
		}
		sort.SliceStable(at, func(i, j int) bool { return sorted(e.sorts, keys[at[i]], keys[at[j]]) < 0 })
		out := make([]entry, len(list))
		for i, k := range at {
			out[i] = list[k]
		}
		list = out
	}
	if e.name == "count" {
		return number(int64(len(list))), nil
	}
	if len(list) == 0 {
		return nothing(e.typ), nil
	}
	switch e.name {
	case "string_agg", "array_agg":
		var b strings.Builder
		var all []string
		for i, x := range list {
			if i > 0 {
				b.WriteString(x.sep.s)
			}
			b.WriteString(x.v.s)
			all = append(all, x.v.s)
		}
		if e.name == "array_agg" {
			return array(all), nil
		}
		return text(b.String()), nil
	}
	sum := list[0].v
	for _, x := range list[1:] {
		switch {
		case e.name == "max" && order(x.v, sum) > 0, e.name == "min" && order(x.v, sum) < 0:
			sum = x.v
		case e.name == "bool_or":
			sum = boolean(sum.yes() || x.v.yes())
		case e.name == "bool_and":
			sum = boolean(sum.yes() && x.v.yes())
		case e.name == "sum":
			var f *fault
			if sum, f = arithmetic(&expr{op: "+", typ: e.typ}, sum, x.v); f != nil {
				return value{}, f
			}
		}
	}
	sum.typ = e.typ
	return sum, nil
}

package host

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// The types that tables of databases have, by their OID in PostgreSQL's catalogue.
const (
	typeBool        = 16
	typeInt8        = 20
	typeInt4        = 23
	typeText        = 25
	typeOid         = 26
	typeXid         = 28
	typeFloat8      = 701
	typeUnknown     = 705
	typeTextArray   = 1009
	typeTimestamptz = 1184
	typeInterval    = 1186
	typeNumeric     = 1700
	typeRegclass    = 2205
	typeVoid        = 2278
	typeLSN         = 3220
)

var typeNames = map[string]uint32{
	"bool": typeBool, "boolean": typeBool, "bigint": typeInt8, "int8": typeInt8, "bigserial": typeInt8, "int": typeInt4,
	"integer": typeInt4, "int4": typeInt4, "smallint": typeInt4, "int2": typeInt4, "text": typeText, "varchar": typeText, "name": typeText,
	"char": typeText, "character": typeText, "oid": typeOid, "xid": typeXid, "xid8": typeInt8, "float8": typeFloat8, "double": typeFloat8,
	"timestamptz": typeTimestamptz, "timestamp": typeTimestamptz, "numeric": typeNumeric, "regclass": typeRegclass, "pg_lsn": typeLSN, "interval": typeInterval,
}

// value is a datum in its text form, by which it is kept, sent and compared; an interval is kept as seconds.
type value struct {
	s    string
	null bool
	typ  uint32
}

func text(s string) value     { return value{s: s, typ: typeText} }
func number(n int64) value    { return value{s: strconv.FormatInt(n, 10), typ: typeInt8} }
func oid(n uint32) value      { return value{s: strconv.Itoa(int(n)), typ: typeOid} }
func lsnValue(n uint64) value { return value{s: lsnText(n), typ: typeLSN, null: n == 0} }
func nothing(t uint32) value  { return value{null: true, typ: t} }

func boolean(b bool) value {
	if b {
		return value{s: "t", typ: typeBool}
	}
	return value{s: "f", typ: typeBool}
}

const timeForm = "2006-01-02 15:04:05.000000-07"

func moment(t time.Time) value {
	return value{s: t.UTC().Format(timeForm), typ: typeTimestamptz, null: t.IsZero()}
}

func (v value) yes() bool { return !v.null && v.s == "t" }

// lsnOf is a position of the log in PostgreSQL's terms: its microseconds. Two commits never share one.
func lsnOf(at float64) uint64 { return uint64(math.Round(at * 1e3)) }

func atOf(lsn uint64) float64 { return float64(lsn) / 1e3 }

func lsnText(n uint64) string { return fmt.Sprintf("%X/%X", n>>32, uint32(n)) }

// ParseLSN reads a position in the form X/Y.
func ParseLSN(s string) (uint64, error) {
	hi, lo, ok := strings.Cut(s, "/")
	a, err1 := strconv.ParseUint(hi, 16, 32)
	b, err2 := strconv.ParseUint(lo, 16, 32)
	if !ok || err1 != nil || err2 != nil {
		return 0, fmt.Errorf("invalid input syntax for type pg_lsn: %q", s)
	}
	return a<<32 | b, nil
}

func numeric(t uint32) bool {
	switch t {
	case typeInt8, typeInt4, typeOid, typeXid, typeFloat8, typeNumeric, typeRegclass, typeInterval:
		return true
	}
	return false
}

// as converts to a type as an assignment or a cast does.
func (v value) as(t uint32) (value, *fault) {
	if v.null || t == typeUnknown || t == 0 {
		if v.typ == 0 || v.null && t != 0 {
			v.typ = t
		}
		return v, nil
	}
	bad := func(name string) *fault {
		return &fault{"22P02", fmt.Sprintf("invalid input syntax for type %s: %q", name, v.s)}
	}
	switch t {
	case typeBool:
		switch strings.ToLower(strings.TrimSpace(v.s)) {
		case "t", "true", "on", "yes", "1", "y":
			return boolean(true), nil
		case "f", "false", "off", "no", "0", "n":
			return boolean(false), nil
		}
		return v, bad("boolean")
	case typeInt8, typeInt4, typeOid, typeXid:
		s := strings.TrimSpace(v.s)
		if v.typ == typeBool {
			s = map[string]string{"t": "1", "f": "0"}[v.s]
		}
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			x, err := strconv.ParseFloat(s, 64)
			if err != nil || !numeric(v.typ) {
				return v, bad("bigint")
			}
			n = int64(math.RoundToEven(x))
		}
		return value{s: strconv.FormatInt(n, 10), typ: t}, nil
	case typeFloat8, typeNumeric:
		if _, err := strconv.ParseFloat(v.s, 64); err != nil {
			return v, bad("numeric")
		}
	case typeInterval:
		if v.typ == typeInterval {
			return v, nil
		}
		x, ok := seconds(v.s)
		if !ok {
			return v, bad("interval")
		}
		return interval(x), nil
	case typeLSN:
		n, err := ParseLSN(v.s)
		if err != nil {
			return v, &fault{"22P02", err.Error()}
		}
		return value{s: lsnText(n), typ: typeLSN}, nil
	case typeTimestamptz:
		if v.typ != typeTimestamptz {
			for _, form := range []string{
				timeForm, "2006-01-02 15:04:05.999999-07:00", "2006-01-02 15:04:05.999999999Z07:00", time.RFC3339Nano,
				"2006-01-02 15:04:05.999999", "2006-01-02",
			} {
				if at, err := time.Parse(form, v.s); err == nil {
					return moment(at), nil
				}
			}
			return v, bad("timestamp with time zone")
		}
	}
	v.typ = t
	return v, nil
}

func interval(seconds float64) value {
	return value{s: strconv.FormatFloat(seconds, 'f', 6, 64), typ: typeInterval}
}

// seconds reads an interval of numbers with units up to days, or of the form HH:MM:SS.
func seconds(s string) (sum float64, ok bool) {
	units := map[string]float64{
		"us": 1e-6, "microsecond": 1e-6, "ms": 1e-3, "millisecond": 1e-3, "s": 1, "sec": 1, "second": 1, "m": 60, "min": 60, "minute": 60,
		"h": 3600, "hour": 3600, "d": 86400, "day": 86400,
	}
	words := strings.Fields(strings.ToLower(s))
	for i := 0; i < len(words); i++ {
		if parts := strings.Split(words[i], ":"); len(parts) == 3 {
			for k, p := range parts {
				x, err := strconv.ParseFloat(p, 64)
				if err != nil {
					return 0, false
				}
				sum += x * []float64{3600, 60, 1}[k]
			}
			continue
		}
		x, err := strconv.ParseFloat(words[i], 64)
		if err != nil {
			return 0, false
		}
		unit := 1.0
		if i+1 < len(words) {
			i++
			if unit, ok = units[words[i]]; !ok {
				if unit, ok = units[strings.TrimSuffix(words[i], "s")]; !ok {
					return 0, false
				}
			}
		}
		sum += x * unit
	}
	return sum, len(words) > 0
}

// clock is an interval in its text form.
func clock(s string) string {
	x, _ := strconv.ParseFloat(s, 64)
	sign := ""
	if x < 0 {
		sign, x = "-", -x
	}
	us := int64(math.Round(x * 1e6))
	return fmt.Sprintf("%s%02d:%02d:%02d.%06d", sign, us/3600e6, us/60e6%60, us/1e6%60, us%1e6)
}

// order compares two values that are not NULL: as numbers, positions or, byte by byte, as text.
func order(a, b value) int {
	if a.typ == typeLSN || b.typ == typeLSN {
		x, _ := ParseLSN(a.s)
		y, _ := ParseLSN(b.s)
		return cmp.Compare(x, y)
	}
	if numeric(a.typ) || numeric(b.typ) {
		x, err1 := strconv.ParseInt(a.s, 10, 64)
		y, err2 := strconv.ParseInt(b.s, 10, 64)
		if err1 == nil && err2 == nil {
			return cmp.Compare(x, y)
		}
		p, err1 := strconv.ParseFloat(a.s, 64)
		q, err2 := strconv.ParseFloat(b.s, 64)
		if err1 == nil && err2 == nil {
			switch {
			case p < q:
				return -1
			case p > q:
				return 1
			}
			return 0
		}
	}
	if a.typ == typeBool || b.typ == typeBool {
		a, _ = a.as(typeBool)
		b, _ = b.as(typeBool)
	}
	return strings.Compare(a.s, b.s)
}

// keyOf is a key's values as one string that sorts as they do.
func keyOf(vs ...value) string {
	var b strings.Builder
	for i, v := range vs {
		if i > 0 {
			b.WriteByte(0)
		}
		switch v.typ {
		case typeInt8, typeInt4, typeOid, typeXid:
			n, _ := strconv.ParseInt(v.s, 10, 64)
			fmt.Fprintf(&b, "%016x", uint64(n)^1<<63)
		case typeLSN:
			n, _ := ParseLSN(v.s)
			fmt.Fprintf(&b, "%016x", n)
		default:
			b.WriteString(v.s)
		}
	}
	return b.String()
}

// wire is a value as a DataRow has it, in the text form (0) or the binary one (1).
func (v value) wire(form int16) []byte {
	if v.null {
		return nil
	}
	if form == 0 && v.typ == typeInterval {
		return []byte(clock(v.s))
	}
	if form == 0 {
		return []byte(v.s)
	}
	switch v.typ {
	case typeInterval:
		x, _ := strconv.ParseFloat(v.s, 64)
		return append(binary.BigEndian.AppendUint64(nil, uint64(int64(math.Round(x*1e6)))), make([]byte, 8)...)
	case typeInt8:
		n, _ := strconv.ParseInt(v.s, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n))
	case typeInt4, typeOid, typeXid, typeRegclass:
		n, _ := strconv.ParseInt(v.s, 10, 64)
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	case typeBool:
		if v.s == "t" {
			return []byte{1}
		}
		return []byte{0}
	case typeFloat8:
		x, _ := strconv.ParseFloat(v.s, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(x))
	case typeLSN:
		n, _ := ParseLSN(v.s)
		return binary.BigEndian.AppendUint64(nil, n)
	case typeTimestamptz:
		at, _ := time.Parse(timeForm, v.s)
		return binary.BigEndian.AppendUint64(nil, uint64(at.UnixMicro()-epoch2000))
	case typeNumeric:
		return numericWire(v.s)
	case typeTextArray:
		return arrayWire(items(v.s))
	}
	return []byte(v.s)
}

// epoch2000 is PostgreSQL's epoch in Unix microseconds.
const epoch2000 = 946684800 * 1e6

// numericWire is a whole number as numeric's binary form: digits of base 10000.
func numericWire(s string) []byte {
	n, _ := strconv.ParseInt(s, 10, 64)
	sign := uint16(0)
	if n < 0 {
		sign, n = 0x4000, -n
	}
	var digits []uint16
	for ; n > 0; n /= 10000 {
		digits = append([]uint16{uint16(n % 10000)}, digits...)
	}
	b := binary.BigEndian.AppendUint16(nil, uint16(len(digits)))
	b = binary.BigEndian.AppendUint16(b, uint16(max(0, len(digits)-1)))
	b = binary.BigEndian.AppendUint16(b, sign)
	b = binary.BigEndian.AppendUint16(b, 0)
	for _, d := range digits {
		b = binary.BigEndian.AppendUint16(b, d)
	}
	return b
}

func arrayWire(list []string) []byte {
	if len(list) == 0 {
		return append(make([]byte, 8), 0, 0, 0, typeText)
	}
	var b []byte
	for _, n := range []uint32{1, 0, typeText, uint32(len(list)), 1} {
		b = binary.BigEndian.AppendUint32(b, n)
	}
	for _, s := range list {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
	}
	return b
}

// items reads an array's text form of one dimension.
func items(s string) (out []string) {
	s = strings.TrimSuffix(strings.TrimPrefix(s, "{"), "}")
	for i := 0; i < len(s); {
		var b strings.Builder
		if s[i] == '"' {
			for i++; i < len(s) && s[i] != '"'; i++ {
				if s[i] == '\\' && i+1 < len(s) {
					i++
				}
				b.WriteByte(s[i])
			}
			i++
		} else {
			for ; i < len(s) && s[i] != ','; i++ {
				b.WriteByte(s[i])
			}
		}
		out = append(out, b.String())
		i++ // the comma
	}
	return out
}

func array(list []string) value {
	var quoted []string
	for _, s := range list {
		if s == "" || strings.ContainsAny(s, `{},"\ `) {
			s = `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
		}
		quoted = append(quoted, s)
	}
	return value{s: "{" + strings.Join(quoted, ",") + "}", typ: typeTextArray}
}

// fromWire reads a parameter that Bind gave in the binary form into its text form.
func fromWire(t uint32, b []byte) string {
	switch {
	case t == typeInt8 && len(b) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(b)), 10)
	case t == typeInt4 && len(b) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(b))), 10)
	case (t == typeOid || t == typeXid) && len(b) == 4:
		return strconv.FormatUint(uint64(binary.BigEndian.Uint32(b)), 10)
	case t == typeBool && len(b) == 1:
		return boolean(b[0] != 0).s
	case t == typeFloat8 && len(b) == 8:
		return strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(b)), 'g', -1, 64)
	case t == typeLSN && len(b) == 8:
		return lsnText(binary.BigEndian.Uint64(b))
	case t == typeTimestamptz && len(b) == 8:
		return moment(time.UnixMicro(int64(binary.BigEndian.Uint64(b)) + epoch2000)).s
	case t == typeTextArray && len(b) >= 12:
		var list []string
		if binary.BigEndian.Uint32(b) == 1 && len(b) >= 20 {
			for b = b[20:]; len(b) >= 4; {
				n := int(int32(binary.BigEndian.Uint32(b)))
				if b = b[4:]; n < 0 || n > len(b) {
					break
				}
				list, b = append(list, string(b[:n])), b[n:]
			}
		}
		return array(list).s
	}
	return string(b)
}

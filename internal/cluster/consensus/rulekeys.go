package consensus

import (
	"math"
	"strings"
)

// ordering defines which of two values of a rule is the stricter one.
type ordering uint8

const (
	lowerIsStricter  ordering = iota // of two numbers
	higherIsStricter                 // of two numbers
	falseIsStricter                  // a permission
	trueIsStricter                   // a prohibition
	// neither value is stricter: while two values differ, the requests that the rule governs are rejected
	unordered
)

// isBool reports whether the values of rules with this ordering are bool. For all others, unordered included,
// they are numbers.
func (o ordering) isBool() bool { return o == falseIsStricter || o == trueIsStricter }

// ruleKey describes the rules of one name. In the name, * stands for the name of a class, host or database.
// min and max are the bounds of numbers.
type ruleKey struct {
	name        string
	order       ordering
	min, max    float64
	description string
}

var ruleKeys = []ruleKey{
	{"class.*.repeat", falseIsStricter, 0, 0, "whether an attempt of this class may be retried"},
	{"class.*.bound_ms", lowerIsStricter, 1, 60000, "maximum staleness of a bounded read, in milliseconds"},
	{"class.*.primary", trueIsStricter, 0, 0, "all reads of this class go to the primary"},
	{"host.*.closed", trueIsStricter, 0, 0, "no new work is sent to this database host"},
	{"tries", lowerIsStricter, 1, 16, "maximum attempts of a request"},
	{"cold.factor", lowerIsStricter, 1, 10, "growth of the load of a host that is warming up, over what it sustains"},
	{"cold.from", lowerIsStricter, 0.01, 1, "fraction of its capacity that a host starts with"},
	{"cold.ramp_ms", higherIsStricter, 0, 600000, "duration of the slow start of a host, in milliseconds"},
	{"host.*.connections", lowerIsStricter, 1, 10000, "maximum connections of one pooler to a host"},
	{"database.*.group", unordered, 0, math.MaxInt32, "the group of hosts that holds a database"},
	{"database.*.paused", trueIsStricter, 0, 0, "new transactions of this database wait, or are rejected with a retry-after"},
}

// findRuleKey returns the key that describes the rule of a name.
func findRuleKey(name string) (ruleKey, bool) {
	for _, key := range ruleKeys {
		if key.matches(name) {
			return key, true
		}
	}
	return ruleKey{}, false
}

// matches reports whether the key describes the rule of a name. The name of a class, host or database may
// itself contain dots, so only the prefix and the suffix are compared.
func (k ruleKey) matches(name string) bool {
	prefix, suffix, varies := strings.Cut(k.name, "*")
	if !varies {
		return name == k.name
	}
	return len(name) > len(prefix)+len(suffix) && strings.HasPrefix(name, prefix) && strings.HasSuffix(name, suffix)
}

// stricter returns the stricter of two values, either of which may be missing (nil).
func (k ruleKey) stricter(a, b any) any {
	switch {
	case k.order == unordered:
		if a == b {
			return a
		}
		return fencedValue{}
	case a == nil:
		return b
	case b == nil:
		return a
	}
	switch k.order {
	case lowerIsStricter:
		return min(a.(float64), b.(float64))
	case higherIsStricter:
		return max(a.(float64), b.(float64))
	case falseIsStricter:
		return a.(bool) && b.(bool)
	default:
		return a.(bool) || b.(bool)
	}
}

// fencedValue is the value of an unordered rule while two values differ. The requests that the rule governs
// are rejected. Such a rule is called fenced.
type fencedValue struct{}

// fencedJSON represents a fencedValue in JSON.
const fencedJSON = "fenced"

// MarshalJSON implements json.Marshaler.
func (fencedValue) MarshalJSON() ([]byte, error) { return []byte(`"` + fencedJSON + `"`), nil }

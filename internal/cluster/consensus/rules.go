// Package agree decides on which version of the rules a pooler acts, so that no two act on rules that contradict each
// other. It has no I/O, clock or logger: node.go takes messages and the time and says what to save and send. Versions
// stand in a log among named voters, kept in order by etcd's raft library; all poolers act on them under leases.
// docs/agreement.md derives the times and names what each key means.
package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Rules are what one version holds: values by key. A key that is not there leaves the platform's own setting in force,
// than which no agreed value is looser. Values are bool, float64 or string.
type Rules map[string]any

// ordering says which of two values is the stricter.
type ordering uint8

const (
	lowerIsStricter  ordering = iota // the lower number
	higherIsStricter                 // the higher number
	falseIsStricter                  // what forbids
	trueIsStricter                   // what closes
	unordered                        // neither: while two values meet, what the key governs is refused
)

// ruleKey is a line of the table; a part of its name that varies is written *.
type ruleKey struct {
	name        string
	order       ordering
	min, max    float64
	description string
}

var ruleKeys = []ruleKey{
	{"class.*.repeat", falseIsStricter, 0, 0, "whether an attempt of this class may be made again"},
	{"class.*.bound_ms", lowerIsStricter, 1, 60000, "how old the data of a bounded read may be"},
	{"class.*.primary", trueIsStricter, 0, 0, "all of the class's reads go to the primary"},
	{"host.*.closed", trueIsStricter, 0, 0, "nothing new goes to this db host"},
	{"tries", lowerIsStricter, 1, 16, "attempts of a request"},
	{"cold.factor", lowerIsStricter, 1, 10, "by how much more than it stands a cold host is sent"},
	{"cold.from", lowerIsStricter, 0.01, 1, "share of its capacity that a host is sure to start with"},
	{"cold.ramp_ms", higherIsStricter, 0, 600000, "how long a host counts as cold"},
	{"host.*.connections", lowerIsStricter, 1, 10000, "of one pooler to a host"},
	{"database.*.group", unordered, 0, math.MaxInt32, "the group of hosts that holds a database"},
	{"database.*.paused", trueIsStricter, 0, 0, "new transactions of this database wait, or are refused with when to come back"},
}

// fencedValue is the value of a key without an order while two values meet: what it governs is refused.
type fencedValue struct{}

// MarshalJSON shows it to operators.
func (fencedValue) MarshalJSON() ([]byte, error) { return []byte(`"fenced"`), nil }

// Fenced says whether what a key governs is refused for now.
func (r Rules) Fenced(name string) bool {
	_, is := r[name].(fencedValue)
	return is
}

func findRuleKey(name string) (ruleKey, bool) {
	parts := strings.Split(name, ".")
	for _, k := range ruleKeys {
		want := strings.Split(k.name, ".")
		if len(parts) >= len(want) && len(want) > 1 && want[1] == "*" {
			// A name of a class, host or database may hold dots itself: the first and the last part are the key's.
			if parts[0] == want[0] && parts[len(parts)-1] == want[len(want)-1] && len(strings.Join(parts[1:len(parts)-1], ".")) > 0 {
				return k, true
			}
		} else if name == k.name {
			return k, true
		}
	}
	return ruleKey{}, false
}

// Bounds of what a version may hold.
const (
	maxRules      = 4096
	maxRulesBytes = 256 << 10
)

// ParseRules reads rules as JSON, one object of keys. All faults are named, a line each.
func ParseRules(text []byte) (Rules, error) {
	if len(text) > maxRulesBytes {
		return nil, fmt.Errorf("the rules take %d bytes, %d are the most", len(text), maxRulesBytes)
	}
	var r Rules
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, err
	}
	return r, r.Validate()
}

// Validate says what is wrong with rules; nil: nothing.
func (r Rules) Validate() error {
	var faults []error
	if len(r) > maxRules {
		faults = append(faults, fmt.Errorf("%d keys, %d are the most", len(r), maxRules))
	}
	for _, name := range slices.Sorted(maps.Keys(r)) {
		k, ok := findRuleKey(name)
		if !ok {
			faults = append(faults, fmt.Errorf("%s: there is no such key", name))
			continue
		}
		switch v := r[name].(type) {
		case bool:
			if k.order != trueIsStricter && k.order != falseIsStricter {
				faults = append(faults, fmt.Errorf("%s is %v; it takes a number from %v to %v", name, v, k.min, k.max))
			}
		case float64:
			if k.order == trueIsStricter || k.order == falseIsStricter {
				faults = append(faults, fmt.Errorf("%s is %v; it takes true or false", name, v))
			} else if !(v >= k.min && v <= k.max) {
				faults = append(faults, fmt.Errorf("%s is %v; allowed is %v to %v", name, v, k.min, k.max))
			}
		case fencedValue:
			faults = append(faults, fmt.Errorf("%s is fenced, which no version can ask for", name))
		default:
			faults = append(faults, fmt.Errorf("%s is %v; it takes a number, true or false", name, v))
		}
	}
	return errors.Join(faults...)
}

// stricter returns the stricter of two values of a key, either of which may be missing (nil).
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
	}
	return a.(bool) || b.(bool)
}

// Strictest returns the rules that are, key by key, the stricter of both. It is commutative, associative and idempotent.
func Strictest(a, b Rules) Rules {
	out := make(Rules, max(len(a), len(b)))
	for _, from := range []Rules{a, b} {
		for name := range from {
			if k, ok := findRuleKey(name); ok {
				if v := k.stricter(a[name], b[name]); v != nil {
					out[name] = v
				}
			}
		}
	}
	return out
}

// Permits says whether a, at some key, allows what b forbids, and names the first such key. Values without an order
// permit something else wherever they differ; a fence permits nothing.
func Permits(a, b Rules) (name string, does bool) {
	for _, from := range []Rules{a, b} {
		for _, name := range slices.Sorted(maps.Keys(from)) {
			k, ok := findRuleKey(name)
			if !ok {
				continue
			}
			x, y := a[name], b[name]
			if k.order == unordered {
				if !a.Fenced(name) && !b.Fenced(name) && x != y {
					return name, true
				}
			} else if k.stricter(x, y) != x {
				return name, true
			}
		}
	}
	return "", false
}

// DiffRules words in which keys two sets of rules differ, a line each.
func DiffRules(a, b Rules) (lines []string) {
	word := func(r Rules, name string) string {
		v, ok := r[name]
		switch {
		case r.Fenced(name):
			return "fenced"
		case !ok:
			return "the platform's"
		}
		return fmt.Sprint(v)
	}
	all := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(all)
	for _, name := range slices.Compact(all) {
		if x, y := word(a, name), word(b, name); x != y {
			lines = append(lines, fmt.Sprintf("%s: %s, then %s", name, x, y))
		}
	}
	return lines
}

// UnmarshalJSON reads rules back as operators are shown them, fences included.
func (r *Rules) UnmarshalJSON(b []byte) error {
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	for name, v := range m {
		if v == "fenced" {
			m[name] = fencedValue{}
		}
	}
	*r = m
	return nil
}

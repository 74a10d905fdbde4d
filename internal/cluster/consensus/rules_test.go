package consensus

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestParseRules(t *testing.T) {
	r, err := ParseRules([]byte(`{"class.browse.bound_ms": 200, "class.donate.repeat": false, "host.s-1.x.closed": true, "tries": 3, "database.orders.group": 7, "database.a.b.paused": true}`))
	require.NoError(t, err)
	require.Len(t, r, 6)
	for text, want := range map[string]string{
		`{"class.browse.bound": 1}`: "class.browse.bound: there is no such key", `{"class..repeat": true}`: "no such key",
		`{"tries": 0}`: "tries is 0; allowed is 1 to 16", `{"tries": true}`: "it takes a number from 1 to 16",
		`{"class.a.repeat": 1}`: "it takes true or false", `{"tries": "3"}`: "tries is 3; it takes a number", `[`: "unexpected end",
		`{"tries": 99, "cold.factor": 0}`: "cold.factor is 0; allowed is 1 to 10\ntries is 99",
	} {
		_, err := ParseRules([]byte(text))
		require.ErrorContains(t, err, want, text)
	}
	_, err = ParseRules(make([]byte, maxRulesBytes+1))
	require.ErrorContains(t, err, "bytes")
}

// drawRules draws rules from a few names, so that two results usually share some names.
func drawRules(t *rapid.T, label string) Rules {
	r := Rules{}
	for _, k := range []string{"class.a.repeat", "class.a.bound_ms", "host.h.closed", "cold.ramp_ms", "database.d.group", "database.d.paused", "tries"} {
		switch rapid.IntRange(0, 2).Draw(t, label+k) {
		case 1:
			r[k] = map[ordering]any{falseIsStricter: true, trueIsStricter: true}[mustFindRuleKey(k).order]
		case 2:
			r[k] = map[ordering]any{falseIsStricter: false, trueIsStricter: false}[mustFindRuleKey(k).order]
		}
		if r[k] == nil && !mustFindRuleKey(k).order.isBool() && rapid.Bool().Draw(t, label+k+"set") {
			r[k] = float64(rapid.IntRange(1, 3).Draw(t, label+k+"value"))
		} else if r[k] == nil {
			delete(r, k)
		}
	}
	return r
}

func mustFindRuleKey(name string) ruleKey {
	k, ok := findRuleKey(name)
	if !ok {
		panic(name)
	}
	return k
}

// looserRule returns the first rule whose value in a permits something that b forbids. Two different values
// of an unordered rule each permit something that the other forbids; a fenced one permits nothing.
func looserRule(a, b Rules) (name string, found bool) {
	for _, from := range []Rules{a, b} {
		for _, name := range slices.Sorted(maps.Keys(from)) {
			key, ok := findRuleKey(name)
			if !ok {
				continue
			}
			x, y := a[name], b[name]
			if key.order == unordered {
				if !a.Fenced(name) && !b.Fenced(name) && x != y {
					return name, true
				}
			} else if key.stricter(x, y) != x {
				return name, true
			}
		}
	}
	return "", false
}

func TestStrictestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRules(t, "a"), drawRules(t, "b"), drawRules(t, "c")
		require.Equal(t, Strictest(a, b), Strictest(b, a))
		require.Equal(t, a, Strictest(a, a))
		require.Equal(t, Strictest(Strictest(a, b), c), Strictest(a, Strictest(b, c)))
		both := Strictest(a, b)
		for _, of := range []Rules{a, b} {
			name, looser := looserRule(both, of)
			require.False(t, looser, "%s: the strictest of %v and %v permits what %v forbids", name, a, b, of)
		}
		if _, looser := looserRule(a, b); !looser {
			if _, back := looserRule(b, a); !back {
				require.Equal(t, a, b, "neither is looser, so both are equal")
			}
		}
	})
	m := Strictest(Rules{"database.d.group": 1.0}, Rules{})
	require.True(t, m.Fenced("database.d.group"), "versions differ on a rule that only one of them has")
	require.Equal(t, "map[database.d.group:{}]", fmt.Sprint(m))
}

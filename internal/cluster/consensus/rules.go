package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Rules are what one version holds: values by name. A rule that is not there leaves the platform's own setting in force,
// than which no agreed value is looser. Values are bool or float64, and fenced ones in effective rules.
type Rules map[string]any

// Bounds of what a version may hold.
const (
	maxRules      = 4096
	maxRulesBytes = 256 << 10
)

// RulesBytesError is a text of rules that is too large.
type RulesBytesError struct{ Bytes, Max int }

// Error is the message for operators.
func (e *RulesBytesError) Error() string {
	return fmt.Sprintf("the rules take %d bytes, %d are the most", e.Bytes, e.Max)
}

// RulesCountError is too many rules.
type RulesCountError struct{ Count, Max int }

// Error is the message for operators.
func (e *RulesCountError) Error() string {
	return fmt.Sprintf("%d keys, %d are the most", e.Count, e.Max)
}

// UnknownRuleError is a rule of a name that there is none of.
type UnknownRuleError struct{ Rule string }

// Error is the message for operators.
func (e *UnknownRuleError) Error() string { return e.Rule + ": there is no such key" }

// RuleValueError is a rule with a value that it can't have.
type RuleValueError struct {
	Rule    string
	Value   any
	Allowed string
}

// Error is the message for operators.
func (e *RuleValueError) Error() string {
	if _, fenced := e.Value.(fencedValue); fenced {
		return e.Rule + " is fenced, which no version can ask for"
	}
	return fmt.Sprintf("%s is %v; %s", e.Rule, e.Value, e.Allowed)
}

// ParseRules reads rules from JSON, one object. The error names all faults, one a line.
func ParseRules(text []byte) (Rules, error) {
	if len(text) > maxRulesBytes {
		return nil, &RulesBytesError{Bytes: len(text), Max: maxRulesBytes}
	}
	var rules Rules
	if err := json.Unmarshal(text, &rules); err != nil {
		return nil, err
	}
	return rules, rules.Validate()
}

// Validate says what is wrong with rules that a version is to hold; nil: nothing.
func (r Rules) Validate() error {
	var faults []error
	if len(r) > maxRules {
		faults = append(faults, &RulesCountError{Count: len(r), Max: maxRules})
	}
	for _, name := range slices.Sorted(maps.Keys(r)) {
		key, ok := findRuleKey(name)
		if !ok {
			faults = append(faults, &UnknownRuleError{Rule: name})
		} else if allowed := key.rejects(r[name]); allowed != "" {
			faults = append(faults, &RuleValueError{Rule: name, Value: r[name], Allowed: allowed})
		}
	}
	return errors.Join(faults...)
}

// rejects says what values a rule takes, if the given one is none of them.
func (k ruleKey) rejects(value any) (allowed string) {
	switch v := value.(type) {
	case bool:
		if !k.order.isBool() {
			return fmt.Sprintf("it takes a number from %v to %v", k.min, k.max)
		}
	case float64:
		if k.order.isBool() {
			return "it takes true or false"
		}
		if !(v >= k.min && v <= k.max) { // not a number is no number in between, either
			return fmt.Sprintf("allowed is %v to %v", k.min, k.max)
		}
	default:
		return "it takes a number, true or false"
	}
	return ""
}

// Fenced says whether what a rule governs is rejected for now, since two versions differ on it and neither is stricter.
func (r Rules) Fenced(name string) bool {
	_, is := r[name].(fencedValue)
	return is
}

// Strictest returns the rules that have, by name, the stricter value of both. It is commutative, associative and
// idempotent, so the order in which a pooler learns of versions does not matter.
func Strictest(a, b Rules) Rules {
	out := make(Rules, max(len(a), len(b)))
	for _, from := range []Rules{a, b} {
		for name := range from {
			key, ok := findRuleKey(name)
			if !ok {
				continue
			}
			if value := key.stricter(a[name], b[name]); value != nil {
				out[name] = value
			}
		}
	}
	return out
}

// DiffRules describes by which rules two versions differ, one a line.
func DiffRules(a, b Rules) (lines []string) {
	names := slices.Concat(slices.Collect(maps.Keys(a)), slices.Collect(maps.Keys(b)))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if before, after := a.describe(name), b.describe(name); before != after {
			lines = append(lines, fmt.Sprintf("%s: %s, then %s", name, before, after))
		}
	}
	return lines
}

// describe returns a rule's value for operators.
func (r Rules) describe(name string) string {
	if r.Fenced(name) {
		return fencedJSON
	}
	value, ok := r[name]
	if !ok {
		return "the platform's"
	}
	return fmt.Sprint(value)
}

// appliedTo returns a copy of rules with a change made to it. A nil value removes a rule.
func (r Rules) appliedTo(base Rules) Rules {
	out := make(Rules, len(base)+len(r))
	maps.Copy(out, base)
	for name, value := range r {
		if out[name] = value; value == nil {
			delete(out, name)
		}
	}
	return out
}

// UnmarshalJSON reads rules as operators are shown them, fenced values included.
func (r *Rules) UnmarshalJSON(text []byte) error {
	var values map[string]any
	if err := json.Unmarshal(text, &values); err != nil {
		return err
	}
	for name, value := range values {
		if value == fencedJSON {
			values[name] = fencedValue{}
		}
	}
	*r = values
	return nil
}

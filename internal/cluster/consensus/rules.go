package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Rules are the content of one version: values by name. Where a rule is absent, the platform's own setting
// applies; no agreed value is looser than that. Values are bool or float64; in effective rules, also
// fencedValue.
type Rules map[string]any

// Limits of the size of a version.
const (
	maxRules      = 4096
	maxRulesBytes = 256 << 10
)

// RulesBytesError reports JSON text of rules that is too large.
type RulesBytesError struct{ Bytes, Max int }

// Error returns the message for operators.
func (e *RulesBytesError) Error() string {
	return fmt.Sprintf("the rules take %d bytes, %d are the most", e.Bytes, e.Max)
}

// RulesCountError reports too many rules.
type RulesCountError struct{ Count, Max int }

// Error returns the message for operators.
func (e *RulesCountError) Error() string {
	return fmt.Sprintf("%d keys, %d are the most", e.Count, e.Max)
}

// UnknownRuleError reports a rule with an unknown name.
type UnknownRuleError struct{ Rule string }

// Error returns the message for operators.
func (e *UnknownRuleError) Error() string { return e.Rule + ": there is no such key" }

// RuleValueError reports a rule with a value that is not allowed.
type RuleValueError struct {
	Rule    string
	Value   any
	Allowed string
}

// Error returns the message for operators.
func (e *RuleValueError) Error() string {
	if _, fenced := e.Value.(fencedValue); fenced {
		return e.Rule + " is fenced, which no version can ask for"
	}
	return fmt.Sprintf("%s is %v; %s", e.Rule, e.Value, e.Allowed)
}

// ParseRules parses and validates rules from one JSON object. The error lists all invalid rules, one per line.
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

// Validate checks whether a version may contain the rules. The error lists all invalid rules.
func (r Rules) Validate() error {
	var errs []error
	if len(r) > maxRules {
		errs = append(errs, &RulesCountError{Count: len(r), Max: maxRules})
	}
	for _, name := range slices.Sorted(maps.Keys(r)) {
		key, ok := findRuleKey(name)
		if !ok {
			errs = append(errs, &UnknownRuleError{Rule: name})
		} else if allowed := key.allowedUnlessValid(r[name]); allowed != "" {
			errs = append(errs, &RuleValueError{Rule: name, Value: r[name], Allowed: allowed})
		}
	}
	return errors.Join(errs...)
}

// allowedUnlessValid returns a description of the allowed values if the given one is not among them, else "".
func (k ruleKey) allowedUnlessValid(value any) (allowed string) {
	switch v := value.(type) {
	case bool:
		if !k.order.isBool() {
			return fmt.Sprintf("it takes a number from %v to %v", k.min, k.max)
		}
	case float64:
		if k.order.isBool() {
			return "it takes true or false"
		}
		if !(v >= k.min && v <= k.max) { // negated, so that NaN is rejected, too
			return fmt.Sprintf("allowed is %v to %v", k.min, k.max)
		}
	default:
		return "it takes a number, true or false"
	}
	return ""
}

// Fenced reports whether a rule is fenced: two versions differ on it and neither value is stricter, so the
// requests that it governs are rejected for now.
func (r Rules) Fenced(name string) bool {
	_, fenced := r[name].(fencedValue)
	return fenced
}

// Strictest combines two sets of rules: each rule gets the stricter of its two values. The operation is
// commutative, associative and idempotent, so the order in which a pooler learns of versions does not matter.
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

// DiffRules describes the rules on which two versions differ, one per line.
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

// describe returns a rule's value for operators. For an absent rule it says that the platform's own setting
// applies.
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

// appliedTo returns a copy of base to which the change r was applied. A nil value removes a rule.
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

// UnmarshalJSON decodes rules, including the fenced values of effective rules.
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

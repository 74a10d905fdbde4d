package consensus

import "ashstand/internal/cluster/jobs"

// Lease is a pooler's lease and the versions and jobs that it covers. It is a value, so that decisions can
// read it without waiting for the Node. The zero value is an expired lease without versions or jobs.
type Lease struct {
	Versions          VersionState
	ExpiresAt         float64             // by the node's clock, in milliseconds
	Jobs              map[string]jobs.Job // as far as this pooler knows them; read-only
	limits            Rules
	disabledGuarantee string // Config.DisabledGuarantee
}

// EffectiveRules are the rules that a pooler acts on at a given time.
type EffectiveRules struct {
	Versions     []int `json:"versions"` // the active one and, if there is one, the pending
	Rules        Rules `json:"rules"`
	LeaseExpired bool  `json:"lapsed"`
}

// EffectiveKey identifies effective rules. While the key stays the same, so do the rules.
type EffectiveKey struct {
	Active, Pending int // version numbers; Pending 0: none
	LeaseExpired    bool
}

// EffectiveKey returns the key of the rules at a given time, without computing the rules.
func (l *Lease) EffectiveKey(now float64) EffectiveKey {
	key := EffectiveKey{Active: l.Versions.Active.Number, LeaseExpired: l.Expired(now)}
	if p := l.Versions.Pending; p != nil {
		key.Pending = p.Number
	}
	return key
}

// Expired reports whether the pooler has no lease at a given time.
func (l *Lease) Expired(now float64) bool {
	return now >= l.ExpiresAt && l.disabledGuarantee != breakLease
}

// Effective returns the rules to act on. A caller calls it at the time of each decision, since the lease of a
// process that was suspended may have expired meanwhile.
func (l *Lease) Effective(now float64) EffectiveRules {
	active := l.Versions.Active
	effective := EffectiveRules{Versions: []int{active.Number}, Rules: active.Rules}
	if pending := l.Versions.Pending; pending != nil {
		if l.disabledGuarantee == breakStrictest {
			effective.Versions, effective.Rules = []int{pending.Number}, pending.Rules
		} else {
			effective.Versions = append(effective.Versions, pending.Number)
			effective.Rules = l.strictest(active.Rules, pending.Rules)
		}
	}
	if l.Expired(now) {
		effective.LeaseExpired = true
		effective.Rules = l.withinLimits(effective.Rules)
	}
	return effective
}

// strictest combines the rules of the active and the pending version.
func (l *Lease) strictest(active, pending Rules) Rules {
	rules := Strictest(active, pending)
	if l.disabledGuarantee != breakFence {
		return rules
	}
	for name := range rules {
		if !rules.Fenced(name) {
			continue
		}
		// With the guarantee switched off, the newer value applies, though neither value is stricter.
		if rules[name] = pending[name]; pending[name] == nil {
			delete(rules, name)
		}
	}
	return rules
}

// withinLimits returns the rules to act on without a lease. Unordered rules are fenced, since other poolers
// may act on any other value of them by now.
func (l *Lease) withinLimits(rules Rules) Rules {
	rules = Strictest(rules, l.limits)
	if l.disabledGuarantee == breakFence {
		return rules
	}
	for name := range l.limits {
		if key, ok := findRuleKey(name); ok && key.order == unordered {
			rules[name] = fencedValue{}
		}
	}
	return rules
}

package consensus

import "ashstand/internal/cluster/jobs"

// Lease is a pooler's lease and what it covers. It is a value, so that decisions can read it without waiting for the Node.
// The zero value is an expired lease on nothing.
type Lease struct {
	Versions  VersionState
	ExpiresAt float64             // by the node's clock, in milliseconds
	Jobs      map[string]jobs.Job // as far as they are known here; read-only
	limits    Rules
	broken    string // Config.Break
}

// EffectiveRules are what a pooler goes by at a moment.
type EffectiveRules struct {
	Versions     []int `json:"versions"` // the active one and, if there is one, the pending
	Rules        Rules `json:"rules"`
	LeaseExpired bool  `json:"lapsed"`
}

// EffectiveKey identifies effective rules: as long as it stays the same, so do they.
type EffectiveKey struct {
	Active, Pending int // version numbers; Pending 0: none
	LeaseExpired    bool
}

// EffectiveKey returns the key of the rules at a moment, without computing these.
func (l *Lease) EffectiveKey(now float64) EffectiveKey {
	key := EffectiveKey{Active: l.Versions.Active.Number, LeaseExpired: l.Expired(now)}
	if p := l.Versions.Pending; p != nil {
		key.Pending = p.Number
	}
	return key
}

// Expired says whether a pooler is without a lease.
func (l *Lease) Expired(now float64) bool { return now >= l.ExpiresAt && l.broken != breakLease }

// Effective returns the rules to go by. Whoever takes a decision calls it at that moment: a process that was stopped may
// have lost its lease since.
func (l *Lease) Effective(now float64) EffectiveRules {
	active := l.Versions.Active
	effective := EffectiveRules{Versions: []int{active.Number}, Rules: active.Rules}
	if pending := l.Versions.Pending; pending != nil {
		if l.broken == breakStrictest {
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
	if l.broken != breakFence {
		return rules
	}
	for name := range rules {
		if !rules.Fenced(name) {
			continue
		}
		// The broken form takes the newer value, though there is no order.
		if rules[name] = pending[name]; pending[name] == nil {
			delete(rules, name)
		}
	}
	return rules
}

// withinLimits are the rules without a lease. What has no order may have any value elsewhere by now, so it is fenced.
func (l *Lease) withinLimits(rules Rules) Rules {
	rules = Strictest(rules, l.limits)
	if l.broken == breakFence {
		return rules
	}
	for name := range l.limits {
		if key, ok := findRuleKey(name); ok && key.order == unordered {
			rules[name] = fencedValue{}
		}
	}
	return rules
}

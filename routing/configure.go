package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// New returns the decisions of one router, or an error for settings that can't be served.
func New(s Settings, seed uint64) (*Router, error) {
	switch {
	case len(s.Classes) == 0:
		return nil, errors.New("choice: settings name no request class")
	case s.RouterCount < 1 || s.RouterIndex < 0 || s.RouterIndex >= s.RouterCount:
		return nil, fmt.Errorf("choice: router %d of %d", s.RouterIndex, s.RouterCount)
	case s.MaxAttempts < 1:
		return nil, fmt.Errorf("choice: at most %d attempts a request", s.MaxAttempts)
	}
	classes, tightest := make([]class, len(s.Classes)), time.Second
	for i, k := range s.Classes {
		classes[i].Class, classes[i].index, classes[i].inTimeFraction, classes[i].samples = k, i, 1, initialSamples
		if k.Access == BoundedRead {
			tightest = min(tightest, k.StalenessBound)
		}
		if k.LatencyObjective <= 0 || k.Deadline <= 0 || k.Access > Write || k.Idempotency > AtMostOnce {
			return nil, fmt.Errorf("choice: class %q: aim %v, deadline %v", k.Name, k.LatencyObjective, k.Deadline)
		}
	}
	return &Router{
		cfg: s, classes: classes, tightestBound: tightest, tenants: make([]tenant, len(s.Tenants)),
		probeBudget: maxProbesPerRead, writeFraction: initialWriteFraction, rng: rand.New(rand.NewPCG(seed, uint64(s.RouterIndex))), members: map[string]*member{},
		groups: map[uint64]*group{}, requests: map[string]*request{},
		retryBudget: 0.5 * max(1, retryBudgetCap/float64(s.RouterCount)),
	}, nil
}

// Configure takes other settings while requests are under way. What tells one class from another has to stay.
func (c *Router) Configure(s Settings) error {
	n, err := New(s, 0)
	if err != nil {
		return err
	}
	same := func(a, b Class) bool {
		return a.Name == b.Name && a.Access == b.Access && a.Idempotency == b.Idempotency
	}
	if !slices.EqualFunc(s.Classes, c.cfg.Classes, same) {
		return errors.New("choice: the classes are others")
	}
	for i := range c.classes {
		c.classes[i].Class = s.Classes[i]
	}
	if len(s.Tenants) != len(c.tenants) {
		c.tenants = n.tenants
	}
	c.cfg, c.tightestBound = s, n.tightestBound
	return nil
}

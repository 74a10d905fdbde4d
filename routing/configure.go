package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// New returns the decisions of one router, or an error for settings that can't be served.
func New(s Settings, seed uint64) (*Choice, error) {
	switch {
	case len(s.Classes) == 0:
		return nil, errors.New("choice: settings name no request class")
	case s.Routers < 1 || s.Index < 0 || s.Index >= s.Routers:
		return nil, fmt.Errorf("choice: router %d of %d", s.Index, s.Routers)
	case s.MaxAttempts < 1:
		return nil, fmt.Errorf("choice: at most %d attempts a request", s.MaxAttempts)
	}
	classes, tightest := make([]class, len(s.Classes)), time.Second
	for i, k := range s.Classes {
		classes[i].Class, classes[i].index, classes[i].kept, classes[i].tries = k, i, 1, keptStart
		if k.Read == Bounded {
			tightest = min(tightest, k.Bound)
		}
		if k.Aim <= 0 || k.Deadline <= 0 || k.Read > Write || k.Effect > Unsafe {
			return nil, fmt.Errorf("choice: class %q: aim %v, deadline %v", k.Name, k.Aim, k.Deadline)
		}
	}
	return &Choice{cfg: s, classes: classes, tightest: tightest, tenants: make([]tenant, len(s.Tenants)),
		probes: askMost, writes: writesStart, rng: rand.New(rand.NewPCG(seed, uint64(s.Index))), members: map[string]*member{},
		groups: map[uint64]*group{}, reqs: map[string]*request{},
		budget: 0.5 * max(1, budgetCap/float64(s.Routers))}, nil
}

// Configure takes other settings while requests are under way. What tells one class from another has to stay.
func (c *Choice) Configure(s Settings) error {
	n, err := New(s, 0)
	if err != nil {
		return err
	}
	same := func(a, b Class) bool { return a.Name == b.Name && a.Read == b.Read && a.Effect == b.Effect }
	if !slices.EqualFunc(s.Classes, c.cfg.Classes, same) {
		return errors.New("choice: the classes are others")
	}
	for i := range c.classes {
		c.classes[i].Class = s.Classes[i]
	}
	if len(s.Tenants) != len(c.tenants) {
		c.tenants = n.tenants
	}
	c.cfg, c.tightest = s, n.tightest
	return nil
}

package cost

import (
	"fmt"
	"slices"
	"strings"
)

const (
	maxSteps = 1000
	// maxNumber bounds the numbers of a plan; it is not allowed itself.
	maxNumber = 1e15
)

// Validate says whether a plan and its alternatives are possible: names, words, numbers, and no cycle.
func (p *Plan) Validate() error {
	if _, err := p.check(); err != nil {
		return err
	}
	for i := range p.Alternatives {
		if err := p.Alternatives[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// check validates a plan without its alternatives, and returns its steps in an order in which they can run.
func (p *Plan) check() ([]int, error) {
	if len(p.Steps) == 0 || len(p.Steps) > maxSteps {
		return nil, p.invalid("", "steps", fmt.Sprint(len(p.Steps), " steps"), "1 to 1000 steps")
	}
	index := map[string]int{}
	for i := range p.Steps {
		s := &p.Steps[i]
		if _, exists := index[s.Name]; exists || s.Name == "" {
			return nil, p.invalid(s.Name, "name", s.Name, "a name that no other step has")
		}
		index[s.Name] = i
		if err := p.checkStep(s); err != nil {
			return nil, err
		}
	}
	if !(p.ObjectiveMillis >= 0 && p.ObjectiveMillis < maxNumber) {
		return nil, p.invalid("", "aim", fmt.Sprint(p.ObjectiveMillis), "milliseconds from 0 to 1e15")
	}
	return p.sortSteps(index)
}

func (p *Plan) invalid(step, key, value, allowed string) error {
	return &InvalidPlanError{p.Name, step, key, value, allowed}
}

func (p *Plan) checkStep(s *Step) error {
	if !slices.Contains(freshnessValues, s.Freshness) {
		return p.invalid(s.Name, "fresh", s.Freshness, strings.Join(freshnessValues, ", "))
	}
	for _, number := range []struct {
		key   string
		value float64
	}{{"rows", s.Rows}, {"bytes", s.Bytes}, {"bound", s.MaxStalenessMillis}} {
		if !(number.value >= 0 && number.value < maxNumber) {
			return p.invalid(s.Name, number.key, fmt.Sprint(number.value), "a number from 0 to 1e15")
		}
	}
	return nil
}

// sortSteps sorts steps topologically: those that may begin first come first.
func (p *Plan) sortSteps(index map[string]int) ([]int, error) {
	waits, next := make([]int, len(p.Steps)), make([][]int, len(p.Steps))
	for i := range p.Steps {
		s := &p.Steps[i]
		for _, name := range s.After {
			j, exists := index[name]
			if !exists {
				return nil, p.invalid(s.Name, "after", name, "the name of another step")
			}
			waits[i]++
			next[j] = append(next[j], i)
		}
	}
	var order []int
	for i, n := range waits {
		if n == 0 {
			order = append(order, i)
		}
	}
	for k := 0; k < len(order); k++ {
		for _, j := range next[order[k]] {
			if waits[j]--; waits[j] == 0 {
				order = append(order, j)
			}
		}
	}
	if len(order) < len(p.Steps) {
		return nil, p.cycle(waits)
	}
	return order, nil
}

// cycle names the steps that still wait for others.
func (p *Plan) cycle(waits []int) error {
	err := &CycleError{Plan: p.Name}
	for i := range p.Steps {
		if waits[i] > 0 {
			err.Steps = append(err.Steps, p.Steps[i].Name)
		}
	}
	return err
}

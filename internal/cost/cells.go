package cost

import (
	"bytes"
	"cmp"
	"math"
	"slices"
)

// cellBytes is what a cell takes in memory with its share of the map, in bytes (as measured).
const cellBytes = 320

// Cell is what is known of a statement on one kind of hardware.
type Cell struct {
	Block     int         `json:"block,omitempty"` // of sources, in a Snapshot
	Class     string      `json:"class"`
	Kind      string      `json:"kind"`
	Statement Fingerprint `json:"statement"` // zero: statements that were folded, each counting once
	At        float64     `json:"at"`
	Moments   Moments     `json:"moments"`
}

// Wait is what is known of waiting before hosts of a kind: sums over 1, inflight and ms.
type Wait struct {
	Block int        `json:"block,omitempty"`
	Kind  string     `json:"kind"`
	At    float64    `json:"at"`
	Sums  [6]float64 `json:"sums"` // n, inflight, its square, ms, inflight*ms, ms squared
}

// isFolded says whether the cell stands for a whole class.
func (c *Cell) isFolded() bool { return c.Statement == Fingerprint{} }

// add adds other evidence with a weight, at the later of their times.
func (c *Cell) add(o *Cell, weight, span float64) {
	if o.At > c.At {
		c.Moments.scale(math.Exp((c.At - o.At) / span))
		c.At = o.At
	} else {
		weight *= math.Exp((o.At - c.At) / span)
	}
	c.Moments.addScaled(&o.Moments, weight)
}

func compareCells(a, b Cell) int {
	return cmp.Or(cmp.Compare(a.Block, b.Block), cmp.Compare(a.Class, b.Class), bytes.Compare(a.Statement[:], b.Statement[:]), cmp.Compare(a.Kind, b.Kind))
}

// mergeCells adds cells with the same names. They come in the order of time for the same result.
func mergeCells(cells []Cell, span float64) []Cell {
	slices.SortStableFunc(cells, compareCells)
	out := cells[:0:0]
	for i := range cells {
		c := &cells[i]
		n := len(out)
		if n == 0 || compareCells(out[n-1], *c) != 0 {
			out = append(out, *c)
			continue
		}
		out[n-1].add(c, 1, span)
	}
	return out
}

// foldCells retains the most valuable cells, at most so many, and folds the others into their class: each statement counts
// there as one observation, since what a class tells is what its statements are like. The result is sorted.
func foldCells(cells []Cell, limit int, span float64) []Cell {
	if len(cells) <= limit {
		return cells
	}
	byValue := sortByValue(cells, span)
	n := retainedCount(byValue, limit)
	out := byValue[:n:n]
	index := map[cellKey]int{}
	for i := range out {
		if out[i].isFolded() {
			index[out[i].classKey()] = i
		}
	}
	for i := n; i < len(byValue); i++ {
		c := &byValue[i]
		if c.Moments[0] <= 0 {
			continue
		}
		at, exists := index[c.classKey()]
		if !exists {
			at = len(out)
			index[c.classKey()] = at
			out = append(out, Cell{Class: c.Class, Kind: c.Kind, At: c.At})
		}
		weight := min(1, 1/c.Moments[0])
		if c.isFolded() {
			weight = 1
		}
		out[at].add(c, weight, span)
	}
	slices.SortFunc(out, compareCells)
	return out
}

// classKey is the key of the cell that this one is folded into.
func (c *Cell) classKey() cellKey { return cellKey{class: c.Class, kind: c.Kind} }

// sortByValue returns the cells of classes, and then the others by their weight at a common time, the greatest first.
func sortByValue(cells []Cell, span float64) []Cell {
	value := func(c *Cell) float64 {
		return math.Log(c.Moments[0]+1e-300) + c.At/span
	}
	sorted := slices.Clone(cells)
	slices.SortFunc(sorted, func(a, b Cell) int {
		if a.isFolded() != b.isFolded() {
			if a.isFolded() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(value(&b), value(&a)), compareCells(a, b))
	})
	return sorted
}

// retainedCount is how many cells are retained so that there is room for the new cells of classes as well.
func retainedCount(byValue []Cell, limit int) int {
	isNew := map[cellKey]bool{}
	for n := limit; ; n-- {
		clear(isNew)
		for i := range byValue[n:] {
			isNew[byValue[n+i].classKey()] = true
		}
		for i := range byValue[:n] {
			if byValue[i].isFolded() {
				isNew[byValue[i].classKey()] = false
			}
		}
		added := 0
		for _, missing := range isNew {
			if missing {
				added++
			}
		}
		if n+added <= limit || n == 0 {
			return n
		}
	}
}

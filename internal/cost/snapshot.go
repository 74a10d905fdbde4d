package cost

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/zeebo/blake3"
)

const (
	// maxSourceWeight is the most that one source counts in a cell, in observations: with so many the mean is known to a
	// fourteenth of the spread, and more would let one source outweigh all others.
	maxSourceWeight = 200
	// minCellWeight is the least that a cell counts in a snapshot.
	minCellWeight = 1e-6
	maxBlocks     = 5
)

// Snapshot is the evidence of all sources as it was published: whoever has the same digest estimates the same.
type Snapshot struct {
	Token             uint64   `json:"token"`
	Digest            [32]byte `json:"digest"` // BLAKE3 of all else
	At                float64  `json:"at"`
	Blocks            int      `json:"blocks"` // sources were dealt into so many; 1: too few to check them against each other
	Span              float64  `json:"span"`
	Drift             float64  `json:"drift"`
	Cells             []Cell   `json:"cells"`
	Waits             []Wait   `json:"waits"`
	disabledGuarantee string
}

// blocksOf is into how many blocks so many sources are dealt: five where there are as many, three where there are three or four.
func blocksOf(sources int) int {
	switch {
	case sources >= maxBlocks:
		return maxBlocks
	case sources >= 3:
		return 3
	}
	return 1
}

// Publish makes a snapshot of all evidence, faded to now. Sources are dealt into blocks by their names.
func (m *Model) Publish(token uint64, now float64) Snapshot {
	all := make([]Summary, 0, len(m.summaries)+1)
	for _, s := range m.summaries {
		all = append(all, s)
	}
	if len(m.cells) > 0 {
		all = append(all, m.summary())
	}
	slices.SortFunc(all, func(a, b Summary) int { return strings.Compare(a.Source, b.Source) })
	v := Snapshot{
		Token:             token,
		At:                now,
		Blocks:            blocksOf(len(all)),
		Span:              m.options.Span,
		Drift:             m.options.Drift,
		disabledGuarantee: m.options.DisabledGuarantee,
	}
	waits := map[blockKind]Wait{}
	for i := range all {
		block := i % v.Blocks
		v.addCells(all[i].Cells, block)
		v.addWaits(waits, all[i].Waits, block)
	}
	v.Cells = mergeCells(v.Cells, m.options.Span)
	for _, w := range waits {
		v.Waits = append(v.Waits, w)
	}
	slices.SortFunc(v.Waits, compareWaits)
	v.Digest = v.digest()
	return v
}

// blockKind names the waits of one kind of hosts in one block of sources.
type blockKind struct {
	block int
	kind  string
}

// fade is by how much evidence of a time counts less at the snapshot's.
func (v *Snapshot) fade(at float64) float64 { return math.Exp(-max(0, v.At-at) / v.Span) }

func (v *Snapshot) addCells(cells []Cell, block int) {
	for _, c := range cells {
		weight := v.fade(c.At)
		if n := c.Moments[0] * weight; n > maxSourceWeight && v.disabledGuarantee != guaranteeFalse {
			weight *= maxSourceWeight / n
		}
		if c.Moments[0]*weight < minCellWeight {
			continue
		}
		c.Block, c.At = block, v.At
		c.Moments.scale(weight)
		v.Cells = append(v.Cells, c)
	}
}

func (v *Snapshot) addWaits(sums map[blockKind]Wait, waits []Wait, block int) {
	for i := range waits {
		w := &waits[i]
		weight := v.fade(w.At)
		if n := w.Sums[0] * weight; n > maxSourceWeight {
			weight *= maxSourceWeight / n
		}
		key := blockKind{block, w.Kind}
		sum := sums[key]
		sum.Block, sum.Kind, sum.At = block, w.Kind, v.At
		for j := range sum.Sums {
			sum.Sums[j] += weight * w.Sums[j]
		}
		sums[key] = sum
	}
}

func (v *Snapshot) digest() (d [32]byte) {
	h := blake3.New()
	hashEvidence(h, v.Cells, v.Waits, float64(v.Token), v.At, float64(v.Blocks), v.Span, v.Drift)
	copy(d[:], h.Sum(nil))
	return d
}

// Validate says whether a snapshot is what its digest stands for.
func (v *Snapshot) Validate() error {
	if v.digest() != v.Digest {
		return v.invalid("its digest does not match")
	}
	if !(v.Span > 0) || !(v.Drift >= 0) || v.Blocks < 1 || v.Blocks > maxBlocks {
		return v.invalid("its figures can't be")
	}
	for i := range v.Cells {
		if c := &v.Cells[i]; !c.Moments.isPossible() || c.Block < 0 || c.Block >= v.Blocks {
			return v.invalid(fmt.Sprintf("cell %d holds sums that no traffic can have", i))
		}
	}
	return nil
}

func (v *Snapshot) invalid(reason string) error {
	return &InvalidEvidenceError{fmt.Sprintf("version %d", v.Token), reason}
}

package cost

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/zeebo/blake3"
)

const (
	// maxTime bounds the times of evidence, in milliseconds.
	maxTime = 1e15
	// maxWaitSum bounds the sums of waiting.
	maxWaitSum = 1e30
)

// Summary is all the evidence of one source. A later one replaces an earlier.
type Summary struct {
	Source      string  `json:"source"`
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	At          float64 `json:"at"`
	Cells       []Cell  `json:"cells"`
	Waits       []Wait  `json:"waits"`
}

// Evidence is this source's summary as it is now. Each call makes a later one.
func (m *Model) Evidence() Summary {
	m.sequence++
	return m.summary()
}

func (m *Model) summary() Summary {
	s := Summary{Source: m.options.Source, Incarnation: m.options.Incarnation, Sequence: m.sequence, At: m.lastObservedAt, Cells: m.ownCells()}
	for _, w := range m.waits {
		s.Waits = append(s.Waits, *w)
	}
	slices.SortFunc(s.Waits, compareWaits)
	return s
}

func compareWaits(a, b Wait) int {
	return cmp.Or(cmp.Compare(a.Block, b.Block), strings.Compare(a.Kind, b.Kind))
}

// supersedes says whether a replaces b. Two of the same incarnation and sequence are ordered by their digests, so that all
// who saw both retain the same one.
func supersedes(a, b *Summary) bool {
	if c := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence)); c != 0 {
		return c > 0
	}
	x, y := a.digest(), b.digest()
	return bytes.Compare(x[:], y[:]) > 0
}

func (s *Summary) digest() (d [32]byte) {
	h := blake3.New()
	hashEvidence(h, s.Cells, s.Waits, s.At)
	copy(d[:], h.Sum(nil))
	return d
}

// hashEvidence writes fields, cells and waits in one form. Digests rest on it: it does not change.
func hashEvidence(h *blake3.Hasher, cells []Cell, waits []Wait, fields ...float64) {
	var b []byte
	text := func(s string) {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	float := func(x float64) { b = binary.LittleEndian.AppendUint64(b, math.Float64bits(x)) }
	for _, x := range fields {
		float(x)
	}
	for i := range cells {
		c := &cells[i]
		b = append(b, 'c', byte(c.Block))
		text(c.Class)
		text(c.Kind)
		b = append(b, c.Statement[:]...)
		float(c.At)
		for _, x := range c.Moments {
			float(x)
		}
		_, _ = h.Write(b) // a hash never fails
		b = b[:0]
	}
	for _, w := range waits {
		b = append(b, 'w', byte(w.Block))
		text(w.Kind)
		float(w.At)
		for _, x := range w.Sums {
			float(x)
		}
	}
	_, _ = h.Write(b)
}

// Merge takes another source's summary, in any order, as often as it comes. An error says that it was left out.
func (m *Model) Merge(s Summary) error {
	if s.Source == m.options.Source {
		return nil // its own, or an earlier process's: what this model has is later
	}
	s, err := m.validateSummary(s)
	if err != nil {
		return err
	}
	earlier, exists := m.summaries[s.Source]
	if m.options.DisabledGuarantee == guaranteeMerge {
		if exists { // counts what came twice twice
			s.Cells = mergeCells(append(slices.Clone(earlier.Cells), s.Cells...), m.options.Span)
		}
		m.summaries[s.Source] = s
		m.changes++
		return nil
	}
	if exists && !supersedes(&s, &earlier) {
		return nil
	}
	m.summaries[s.Source] = s
	m.changes += max(1, len(s.Cells))
	if len(m.summaries) > m.options.Sources {
		m.dropLastSource()
	}
	return nil
}

// dropLastSource drops the last source by name: whoever saw the same sources retains the same ones.
func (m *Model) dropLastSource() {
	last := ""
	for name := range m.summaries {
		last = max(last, name)
	}
	delete(m.summaries, last)
}

// validateSummary rejects what no traffic can have brought, and brings a summary into its bound.
func (m *Model) validateSummary(s Summary) (Summary, error) {
	if s.Source == "" || len(s.Source) > maxName {
		return Summary{}, s.invalid("its source has %d bytes, allowed is 1 to %d", len(s.Source), maxName)
	}
	s.Cells = slices.Clone(s.Cells)
	s.Waits = slices.Clone(s.Waits)
	slices.SortFunc(s.Cells, compareCells)
	slices.SortFunc(s.Waits, func(a, b Wait) int { return strings.Compare(a.Kind, b.Kind) })
	if err := s.validateCells(); err != nil {
		return Summary{}, err
	}
	if err := s.validateWaits(); err != nil {
		return Summary{}, err
	}
	s.Cells = foldCells(s.Cells, max(1, m.options.Bytes/2/m.options.Sources/cellBytes), m.options.Span)
	return s, nil
}

func (s *Summary) invalid(format string, args ...any) error {
	return &InvalidEvidenceError{truncateText(s.Source), fmt.Sprintf(format, args...)}
}

func (s *Summary) validateCells() error {
	classes, kinds := map[string]bool{}, map[string]bool{}
	for i := range s.Cells {
		c := &s.Cells[i]
		if c.Block != 0 || len(c.Class) > maxName || len(c.Kind) > maxName || i > 0 && compareCells(s.Cells[i-1], *c) == 0 {
			return s.invalid("cell %d has a name or block that can't be, or stands there twice", i)
		}
		classes[c.Class], kinds[c.Kind] = true, true
		if !c.Moments.isPossible() || !(math.Abs(c.At) < maxTime) {
			return s.invalid("cell %d holds sums that no traffic can have", i)
		}
	}
	if len(classes) > maxClasses || len(kinds) > maxKinds || len(s.Waits) > maxKinds {
		return s.invalid("%d classes and %d kinds, allowed are %d and %d", len(classes), len(kinds), maxClasses, maxKinds)
	}
	return nil
}

func (s *Summary) validateWaits() error {
	for i := range s.Waits {
		w := &s.Waits[i]
		if w.Block != 0 || len(w.Kind) > maxName || i > 0 && s.Waits[i-1].Kind == w.Kind || !(math.Abs(w.At) < maxTime) {
			return s.invalid("wait %d can't be", i)
		}
		for _, x := range w.Sums {
			if !(x >= 0 && x < maxWaitSum) {
				return s.invalid("wait %d holds sums that no traffic can have", i)
			}
		}
	}
	return nil
}

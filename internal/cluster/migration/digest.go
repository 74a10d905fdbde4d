package migration

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/bits"
	"slices"

	"github.com/zeebo/blake3"
)

// Range is a part of a table by its key, as text in the order of collation C; To is not in it, "" is no end.
type Range struct {
	Table, From, To string
}

func (r Range) String() string {
	to := r.To
	if to == "" {
		to = "the end"
	}
	return fmt.Sprintf("%s to %s", cmp.Or(r.From, "the beginning"), to)
}

// RangeDigest is what a range holds: its rows, and the sum of their digests modulo 2^256. A sum does not depend on the order of
// rows, which two hosts with other locales may not share; a row that is there twice counts twice.
type RangeDigest struct {
	Rows uint64
	Sum  [4]uint64
}

func (s RangeDigest) String() string {
	var b [32]byte
	for i, x := range s.Sum {
		binary.BigEndian.PutUint64(b[8*i:], x)
	}
	return fmt.Sprintf("%d rows, %s", s.Rows, hex.EncodeToString(b[:8]))
}

// AddRow takes a row in: its columns in the table's order as text, nil for NULL.
func (s *RangeDigest) AddRow(columns ...[]byte) {
	h := blake3.New()
	var n [8]byte
	for _, c := range columns {
		binary.BigEndian.PutUint64(n[:], uint64(len(c))+1) // so that no two rows run into one another
		if c == nil {
			n = [8]byte{}
		}
		_, _ = h.Write(n[:])
		_, _ = h.Write(c)
	}
	var d [32]byte
	h.Sum(d[:0])
	var carry uint64
	for i := 3; i >= 0; i-- {
		s.Sum[i], carry = bits.Add64(s.Sum[i], binary.BigEndian.Uint64(d[8*i:]), carry)
	}
	s.Rows++
}

// CompareRanges names the ranges that don't hold the same, in order.
func CompareRanges(home, other map[Range]RangeDigest) (out []Difference) {
	all := map[Range]bool{}
	for _, of := range []map[Range]RangeDigest{home, other} {
		for r := range of {
			all[r] = true
		}
	}
	for r := range all {
		if a, b := home[r], other[r]; a != b {
			out = append(out, Difference{Kind: "rows", Table: r.Table, Range: r.String(), Source: a.String(), Target: b.String()})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int { return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Range, b.Range)) })
	return out
}

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

// Range is a part of a table by its key, as text in the order of collation C. To is exclusive; empty bounds are open.
type Range struct {
	Table, From, To string
}

// String names the bounds.
func (r Range) String() string {
	return fmt.Sprintf("%s to %s", cmp.Or(r.From, "the beginning"), cmp.Or(r.To, "the end"))
}

// digestWords is how many 64-bit words a digest has.
const digestWords = 4

// RangeDigest is what a range holds: the number of its rows, and the sum of their BLAKE3 digests modulo 2^256. A sum does
// not depend on the order of rows, which two hosts with other locales may not share, and a row that is there twice counts
// twice.
type RangeDigest struct {
	Rows uint64
	Sum  [digestWords]uint64 // big-endian
}

// String shows the count and the first bytes of the sum.
func (d RangeDigest) String() string {
	var first [8]byte
	binary.BigEndian.PutUint64(first[:], d.Sum[0])
	return fmt.Sprintf("%d rows, %s", d.Rows, hex.EncodeToString(first[:]))
}

// AddRow takes a row in: its columns in the table's order as text, nil for NULL.
func (d *RangeDigest) AddRow(columns ...[]byte) {
	hash := blake3.New()
	var length [8]byte
	for _, column := range columns {
		// A length of 0 stands for NULL, so no two rows have one encoding.
		if column == nil {
			length = [8]byte{}
		} else {
			binary.BigEndian.PutUint64(length[:], uint64(len(column))+1)
		}
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(column)
	}
	var digest [8 * digestWords]byte
	hash.Sum(digest[:0])
	var carry uint64
	for i := digestWords - 1; i >= 0; i-- {
		d.Sum[i], carry = bits.Add64(d.Sum[i], binary.BigEndian.Uint64(digest[8*i:]), carry)
	}
	d.Rows++
}

// CompareRanges returns the ranges whose digests differ, in order. A range that one side lacks differs from one with rows.
func CompareRanges(source, target map[Range]RangeDigest) (out []Difference) {
	ranges := map[Range]bool{}
	for _, digests := range []map[Range]RangeDigest{source, target} {
		for r := range digests {
			ranges[r] = true
		}
	}
	for r := range ranges {
		if a, b := source[r], target[r]; a != b {
			out = append(out, Difference{Kind: "rows", Table: r.Table, Range: r.String(), Source: a.String(), Target: b.String()})
		}
	}
	slices.SortFunc(out, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Table, b.Table), cmp.Compare(a.Range, b.Range))
	})
	return out
}

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

// Range is a range of a table's keys, compared as text in collation C. To is exclusive. An empty bound is unbounded.
type Range struct {
	Table, From, To string
}

// String returns the bounds as text.
func (r Range) String() string {
	return fmt.Sprintf("%s to %s", cmp.Or(r.From, "the beginning"), cmp.Or(r.To, "the end"))
}

// digestWords is the number of 64-bit words of a digest.
const digestWords = 4

// RangeDigest summarizes the rows of a range by their number and the sum of their BLAKE3 digests modulo 2^256. The sum
// does not depend on the order of the rows, which can differ between two hosts with different locales. A duplicate row
// counts twice.
type RangeDigest struct {
	Rows uint64
	Sum  [digestWords]uint64 // big-endian
}

// String returns the row count and the first 8 bytes of the sum.
func (d RangeDigest) String() string {
	var first [8]byte
	binary.BigEndian.PutUint64(first[:], d.Sum[0])
	return fmt.Sprintf("%d rows, %s", d.Rows, hex.EncodeToString(first[:]))
}

// AddRow adds a row, given as the text of its columns in the table's order, with nil for NULL.
func (d *RangeDigest) AddRow(columns ...[]byte) {
	hash := blake3.New()
	var length [8]byte
	for _, column := range columns {
		// Length 0 stands for NULL and other lengths are increased by 1, so different rows have different encodings.
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

// CompareRanges returns the ranges whose digests differ, ordered by table and range. A range that is missing on one side
// counts as empty there.
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

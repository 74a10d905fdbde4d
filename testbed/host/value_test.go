package host

import (
	"cmp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestKeysSortAsTheirValues(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func() (vs []value) {
			s := rapid.StringMatching(`[a-c\x01 é]{0,4}`).Draw(r, "text")
			n := rapid.Int64().Draw(r, "number")
			return []value{text(s), number(n)}
		}
		a, b := draw(), draw()
		if rapid.Bool().Draw(r, "same text") {
			b[0] = a[0]
		}
		want := order(a[0], b[0])
		if want == 0 {
			want = order(a[1], b[1])
		}
		require.Equal(r, want, cmp.Compare(keyOf(a...), keyOf(b...)))
	})
}

func TestValuesKeepTheirBinaryForm(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.Int64().Draw(r, "n")
		for typ, s := range map[uint32]string{
			typeInt8: strconv.FormatInt(n, 10), typeInt4: strconv.Itoa(int(int32(n))), typeLSN: lsnText(uint64(n)),
			typeBool: boolean(n%2 == 0).s, typeText: strconv.FormatInt(n, 36), typeOid: strconv.Itoa(int(uint32(n))),
		} {
			require.Equal(r, s, fromWire(typ, value{s: s, typ: typ}.wire(1)))
		}
		list := rapid.SliceOf(rapid.StringMatching(`[a,"\\{} ]{0,3}`)).Draw(r, "list")
		require.Equal(r, array(list).s, fromWire(typeTextArray, array(list).wire(1)))
		require.Equal(r, len(list), len(items(array(list).s)))
		row := []value{text(rapid.String().Draw(r, "field")), nothing(typeText), text(`\N`)}
		back := fromCopyText(copyText(row)[:len(copyText(row))-1])
		require.Equal(r, []param{{text: row[0].s}, {null: true}, {text: `\N`}}, back)
	})
}

func TestPositionsAreApart(t *testing.T) {
	c := NewCluster(1, 1)
	var all []uint64
	for range 20000 { // faster than the clock's microseconds
		all = append(all, lsnOf(c.advance()))
	}
	was := uint64(0)
	for _, at := range all {
		require.Greater(t, at, was)
		was = at
		back, err := ParseLSN(lsnText(at))
		require.NoError(t, err)
		require.Equal(t, at, back)
	}
}

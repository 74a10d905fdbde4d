package owner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A rollback that a deed had taken up is still there when that deed is found not done, whatever was said meanwhile.
func TestALastingWordOutlivesItsDeed(t *testing.T) {
	var l Ledger
	for _, e := range []Entry{
		{Op: Create, Work: "w", Kind: "k"}, {Op: Assign, Work: "w", To: "n"},
		{Op: Say, Work: "w", Word: &Word{Say: "rollback", Lasting: true}},
		{Op: Announce, Work: "w", Token: 1, Deed: &Deed{Number: 1, Name: "clear"}, Word: &Word{Say: "rollback", Lasting: true}},
		{Op: Say, Work: "w", Word: &Word{Say: "go"}},
		{Op: Void, Work: "w", Token: 1, Deed: &Deed{Number: 1, Name: "clear"}},
	} {
		require.Nil(t, l.Apply(e))
	}
	require.Equal(t, &Word{Say: "rollback", Lasting: true}, l.Works["w"].Word)
}

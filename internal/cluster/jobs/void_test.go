package jobs

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

// A change that arrives after its deed was found not done changes nothing, though its owner is still the owner.
func TestAnActUnderADeedCountsWhileThatIsOpen(t *testing.T) {
	var l Ledger
	act := Entry{Op: Act, Work: "w", Token: 1, Deed: &Deed{Number: 1, Name: "switch"}}
	for _, e := range []Entry{
		{Op: Create, Work: "w", Kind: "k"}, {Op: Assign, Work: "w", To: "n"},
		{Op: Announce, Work: "w", Token: 1, Deed: &Deed{Number: 1, Name: "switch"}}, act,
		{Op: Void, Work: "w", Token: 1, Deed: &Deed{Number: 1, Name: "switch"}},
	} {
		require.Nil(t, l.Apply(e))
	}
	require.Equal(t, NoDeed, l.Apply(act).Reason)
	require.Nil(t, l.Apply(Entry{Op: Announce, Work: "w", Token: 1, Deed: &Deed{Number: 2, Name: "reopen"}}))
	require.Equal(t, NoDeed, l.Apply(act).Reason)
	require.Nil(t, l.Apply(Entry{Op: Act, Work: "w", Token: 1}), "one that names no deed")
}

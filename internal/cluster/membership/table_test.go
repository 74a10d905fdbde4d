package membership

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testInfo(name, address string, incarnation uint64, startedAt float64) Info {
	return Info{Name: name, Address: address, Incarnation: incarnation, StartedAt: startedAt, Version: "v", OldestFormat: 1, NewestFormat: 2, Zone: "a", State: Serving}
}

// livenessOf returns the Liveness for two flags. A member that is not alive is dead even if it is suspect too.
func livenessOf(alive, suspect bool) Liveness {
	switch {
	case !alive:
		return LivenessDead
	case suspect:
		return LivenessSuspect
	}
	return LivenessAlive
}

func (t *Table) state(name string) State {
	for _, m := range t.Members() {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

func TestInfoRoundTrip(t *testing.T) {
	i := testInfo("n1", "127.0.0.1:1", 7, 1e12)
	b, err := i.Encode(512)
	require.NoError(t, err)
	got, err := DecodeInfo("n1", "127.0.0.1:1", b)
	require.NoError(t, err)
	require.Equal(t, i, got)
	i.Version, i.Zone = strings.Repeat("v", 900), strings.Repeat("z", 900)
	b, err = i.Encode(512)
	require.NoError(t, err, "long fields are truncated to their limits")
	require.LessOrEqual(t, len(b), 512)
	for _, malformed := range []string{
		"", "{", `{"i":"0","s":"serving","o":1,"n":1}`, `{"i":"00000000000000ff","s":"gone","o":1,"n":1}`,
		`{"i":"00000000000000ff","s":"serving","o":2,"n":1}`, `{"i":"00000000000000ff","s":"serving","o":0,"n":1}`, `{"i":"x","s":"serving","o":1,"n":1}`,
	} {
		_, err := DecodeInfo("n1", "a", []byte(malformed))
		require.ErrorIs(t, err, ErrMalformedInfo, malformed)
	}
	_, err = DecodeInfo(strings.Repeat("n", MaxNameBytes+1), "a", b)
	require.ErrorIs(t, err, ErrMalformedInfo)
}

// A name belongs to the incarnation that started first while that incarnation is alive. An incarnation that
// restarts at the same address takes over the name at once, and so does any other one when the holder is
// dead.
func TestNameConflict(t *testing.T) {
	self := testInfo("n1", "127.0.0.1:1", 1, 100)
	table := NewTable(self, 8, 0)
	first, second := testInfo("n2", "127.0.0.1:2", 2, 100), testInfo("n2", "127.0.0.1:3", 3, 200)
	require.NoError(t, table.Admit(first, 1))
	table.Observe(first, LivenessAlive, 1)
	require.ErrorIs(t, table.Admit(second, 2), ErrNameConflict)
	require.Len(t, table.NameConflicts(), 1)
	require.Equal(t, []any{first, second, 2.0}, []any{table.NameConflicts()[0].Holder, table.NameConflicts()[0].Rejected, table.NameConflicts()[0].LastSeen})
	due, fresh := table.ShouldNotify("n2", 2)
	require.True(t, due && fresh)
	require.ErrorIs(t, table.Admit(second, 3), ErrNameConflict)
	due, _ = table.ShouldNotify("n2", 3)
	require.False(t, due, "the interval between notifications has not passed")
	require.ErrorIs(t, table.Admit(second, 2+notifyIntervalMillis), ErrNameConflict)
	due, fresh = table.ShouldNotify("n2", 2+notifyIntervalMillis)
	require.True(t, due && !fresh)
	require.NoError(t, table.Admit(testInfo("n2", "127.0.0.1:2", 4, 300), 3), "a restart at the same address")
	table.Observe(first, LivenessDead, 4)
	require.NoError(t, table.Admit(second, 5))
	table.Observe(second, LivenessAlive, 5)
	require.ErrorIs(t, table.Admit(first, 6), ErrNameConflict, "the conflict is recorded, and the second incarnation has to give up the name itself")
	require.Equal(t, first, table.NameConflicts()[0].Holder)

	_, nameLost := table.NameHolder()
	require.False(t, nameLost)
	require.ErrorIs(t, table.Admit(testInfo("n1", "127.0.0.1:9", 9, 300), 7), ErrNameConflict)
	_, nameLost = table.NameHolder()
	require.False(t, nameLost, "the table's owner started first")
	require.NoError(t, table.Admit(testInfo("n1", "127.0.0.1:1", 8, 50), 8), "an earlier process at the own address")
	require.ErrorIs(t, table.Admit(testInfo("n1", "127.0.0.1:9", 9, 50), 9), ErrNameConflict)
	holder, nameLost := table.NameHolder()
	require.True(t, nameLost)
	require.Equal(t, uint64(9), holder.Incarnation)
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable(testInfo("n0", "a:0", 1, 1), 4, 0)
	for i := 1; i <= 3; i++ {
		m := testInfo(fmt.Sprint("n", i), fmt.Sprint("a:", i), uint64(i+1), 1)
		require.NoError(t, table.Admit(m, float64(i)))
		table.Observe(m, LivenessAlive, float64(i))
	}
	more := testInfo("n9", "a:9", 99, 1)
	require.ErrorIs(t, table.Admit(more, 5), ErrTableFull)
	table.Observe(more, LivenessAlive, 5)
	require.Len(t, table.Members(), 4)
	table.Observe(testInfo("n2", "a:2", 3, 1), LivenessDead, 6)
	require.NoError(t, table.Admit(more, 7), "a dead member is evicted for a new one")
	table.Observe(more, LivenessAlive, 7)
	require.Equal(t, Serving, table.state("n9"))
	require.Equal(t, State(""), table.state("n2"))
	table.Observe(more, LivenessDead, 8)
	table.RemoveExpired(9)
	require.Equal(t, Dead, table.state("n9"))
	table.RemoveExpired(8 + deadRetentionMillis + 1)
	require.Equal(t, State(""), table.state("n9"))
	for i := range 100 {
		_ = table.Admit(testInfo("n1", fmt.Sprint("b:", i), uint64(1000+i), 2), 10)
	}
	require.Len(t, table.NameConflicts(), maxNameConflicts)
	for i := range 2 * maxPendingChanges {
		table.Observe(testInfo("n1", "a:1", 2, 1), livenessOf(true, i%2 == 0), float64(i))
	}
	require.Len(t, table.TakeChanges(), maxPendingChanges)
}

// An observation of an earlier incarnation does not change the state of the present one.
func TestStaleObservationOfEarlierIncarnation(t *testing.T) {
	table := NewTable(testInfo("n1", "a:1", 1, 1), 4, 0)
	table.Observe(testInfo("n2", "a:2", 2, 1), LivenessAlive, 1)
	table.Observe(testInfo("n2", "a:2", 3, 2), LivenessAlive, 2)
	table.Observe(testInfo("n2", "a:2", 2, 1), LivenessDead, 3)
	require.Equal(t, Serving, table.state("n2"))
	table.Observe(testInfo("n2", "a:2", 3, 2), LivenessSuspect, 4)
	require.Equal(t, Suspect, table.state("n2"))
	changes := table.TakeChanges()
	require.Equal(t, Change{4, "n2", Serving, Suspect, 3, 3}, changes[len(changes)-1])
	require.Empty(t, table.TakeChanges())
}

func TestCommonFormats(t *testing.T) {
	table := NewTable(testInfo("n1", "a:1", 1, 1), 8, 0)
	older, tooNew := testInfo("n2", "a:2", 2, 1), testInfo("n3", "a:3", 3, 1)
	older.NewestFormat = 1
	tooNew.OldestFormat, tooNew.NewestFormat = 5, 6
	table.Observe(older, LivenessAlive, 1)
	table.Observe(tooNew, LivenessAlive, 1)
	oldest, newest, incompatible := table.CommonFormats()
	require.Equal(t, []any{1, 1, []string{"n3"}}, []any{oldest, newest, incompatible})
	table.Observe(older, LivenessDead, 2)
	_, newest, _ = table.CommonFormats()
	require.Equal(t, 2, newest, "dead members do not narrow the range")
}

// For any order of admissions and observations, the table is bounded, has one entry for each name and retains
// its owner's entry, and two tables that receive the same claims agree on the incarnation that has to give up
// its name.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := testInfo("n0", "a:0", 1000, 10), testInfo("n0", "b:0", 2000, 20)
		tables := []*Table{NewTable(a, 6, 0), NewTable(b, 6, 0)}
		n := rapid.IntRange(1, 60).Draw(t, "steps")
		for now := range n {
			i := testInfo(fmt.Sprint("n", rapid.IntRange(1, 8).Draw(t, "name")), fmt.Sprint("x:", rapid.IntRange(0, 2).Draw(t, "address")),
				uint64(rapid.IntRange(1, 5).Draw(t, "instance")), float64(rapid.IntRange(1, 3).Draw(t, "started")))
			alive, suspect := rapid.Bool().Draw(t, "alive"), rapid.Bool().Draw(t, "doubt")
			for _, table := range tables {
				if table.Admit(i, float64(now)) == nil {
					table.Observe(i, livenessOf(alive, suspect), float64(now))
				}
				table.RemoveExpired(float64(now))
				seen := map[string]bool{}
				for _, m := range table.Members() {
					require.False(t, seen[m.Name])
					seen[m.Name] = true
				}
				require.True(t, seen["n0"])
				require.LessOrEqual(t, len(seen), 6)
			}
		}
		require.ErrorIs(t, tables[0].Admit(b, 1e3), ErrNameConflict)
		require.ErrorIs(t, tables[1].Admit(a, 1e3), ErrNameConflict)
		_, first := tables[0].NameHolder()
		_, second := tables[1].NameHolder()
		require.False(t, first)
		require.True(t, second)
	})
}

package warmstate

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files instead of comparing with them")

// golden compares bytes with a committed file and returns what the file holds.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
	return want
}

// everyFact is a snapshot with each kind of fact and no field that is zero.
func everyFact() *Snapshot {
	return &Snapshot{
		Header: Header{Name: "n1", SiteHash: "0123456789abcdef", WrittenAt: 1767225600123.25},
		Hosts: []Host{
			{Name: "s-1", Group: 3, StartedAt: 1767225500000.5, Limit: 41.25, FailureScore: 2.125, Lag: 30.5, LagAge: 10.25, IsPrimary: true, RoleAge: 20.75},
			{Name: "s-2", Group: 18446744073709551615, StartedAt: 1767225400000, Limit: 1, FailureScore: 0.001, Lag: -1, LagAge: 0.001, IsPrimary: true, RoleAge: maxAge},
		},
		Classes:    []Class{{Name: "browse", Latency: 20.5, ServiceTime: 12.25}, {Name: "basket", Latency: 0.001, ServiceTime: 9}},
		IdleResets: &IdleResets{Requests: []float64{9.5, 4, 1}, Resets: []float64{0.25, 3, 1}},
		Endpoints:  &EndpointList{ReceivedAt: 1767225600000.5, JSON: []byte(`{"index":3,"endpoints":[{"host":"s-1"}]}`)},
	}
}

// A file of the current version keeps its exact bytes.
func TestGoldenFile(t *testing.T) {
	b, err := Encode(everyFact())
	require.NoError(t, err)
	stored := golden(t, "version2.ash", b)
	s, lost, err := Decode(stored)
	require.NoError(t, err)
	require.Empty(t, lost)
	require.Equal(t, everyFact(), s)
	again, err := Encode(s)
	require.NoError(t, err)
	require.Equal(t, stored, again)
}

// Files of every version decode to the stored snapshots, which are compared as JSON with the keys that
// operators see.
func TestGoldenDecode(t *testing.T) {
	for _, name := range []string{"version1", "version2"} {
		b, err := os.ReadFile(filepath.Join("testdata", name+".ash"))
		require.NoError(t, err)
		s, lost, err := Decode(b)
		require.NoError(t, err)
		require.Empty(t, lost)
		shown, err := json.MarshalIndent(s, "", "  ")
		require.NoError(t, err)
		stored := golden(t, name+".json", shown)
		var read Snapshot
		require.NoError(t, json.Unmarshal(stored, &read))
		again, err := json.MarshalIndent(&read, "", "  ")
		require.NoError(t, err)
		require.Equal(t, string(stored), string(again))
	}
}

// The JSON keys of a fact, which operators see, stay the same.
func TestGoldenFactAge(t *testing.T) {
	b, err := json.Marshal([]FactAge{{Fact: "s-1 limit", Age: 12.5, Weight: 0.25, Reason: "too old"}})
	require.NoError(t, err)
	stored := golden(t, "facts.json", b)
	var read []FactAge
	require.NoError(t, json.Unmarshal(stored, &read))
	again, err := json.Marshal(read)
	require.NoError(t, err)
	require.Equal(t, string(stored), string(again))
}

// The names of the files in a state directory stay the same.
func TestGoldenFileNames(t *testing.T) {
	golden(t, "names.txt", []byte(fileName+"\n"+lockName+"\n"+quarantinePrefix+"1\n"))
}

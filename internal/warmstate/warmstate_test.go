package warmstate

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/vfs"
	"ashstand/routing"
)

// fullSnapshot is a snapshot with every kind of fact, written at 1e12.
func fullSnapshot() *Snapshot {
	return &Snapshot{
		Header:  Header{"n1", "site", 1e12},
		Hosts:   []Host{{Name: "a", Group: 1, StartedAt: 5, Limit: 40, FailureScore: 2, Lag: 30, LagAge: 10, RoleAge: 20}, {Name: "p", Group: 1, Limit: 2, Lag: -1, IsPrimary: true, RoleAge: 20}},
		Classes: []Class{{"browse", 20, 12}}, IdleResets: &IdleResets{[]float64{9, 4}, []float64{0, 3}}, Endpoints: &EndpointList{ReceivedAt: 1e12, JSON: []byte(`{"index":3}`)},
	}
}

func TestFileRoundTrip(t *testing.T) {
	b, err := Encode(fullSnapshot())
	require.NoError(t, err)
	s, lost, err := Decode(b)
	require.NoError(t, err)
	require.Empty(t, lost)
	require.Equal(t, fullSnapshot(), s)
	// A file truncated at any byte gives an error, or only its undamaged sections.
	for n := range b {
		s, _, err := Decode(b[:n])
		if err == nil {
			require.Equal(t, fullSnapshot().Header, s.Header)
			require.Subset(t, fullSnapshot().Hosts, s.Hosts)
		}
	}
	// A flipped bit at any place loses only the section that contains it.
	usable := 0
	for i := range b {
		c := append([]byte{}, b...)
		c[i] ^= 1 << (i % 8)
		s, lost, err := Decode(c)
		if err != nil {
			continue
		}
		usable++
		require.LessOrEqual(t, len(lost), 1, i)
		for _, part := range []struct {
			tag       string
			got, want any
		}{{"host", s.Hosts, fullSnapshot().Hosts}, {tagClasses, s.Classes, fullSnapshot().Classes}, {"wear", s.IdleResets, fullSnapshot().IdleResets}, {"list", s.Endpoints, fullSnapshot().Endpoints}} {
			if !slices.Contains(lost, part.tag) {
				require.Equal(t, part.want, part.got, "byte %d", i)
			}
		}
	}
	require.Greater(t, usable, len(b)*3/4)
}

func TestVersions(t *testing.T) {
	for version, file := range map[uint16]string{1: "testdata/version1.ash", 2: "testdata/version2.ash"} {
		if os.Getenv("WRITE_GOLDEN") != "" {
			b, err := encode(fullSnapshot(), version)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(file, b, 0o644))
		}
		b, err := os.ReadFile(file)
		require.NoError(t, err)
		s, lost, err := Decode(b)
		require.NoError(t, err)
		require.Empty(t, lost)
		want := fullSnapshot()
		if version == 1 {
			want.IdleResets, want.Endpoints = nil, nil
			for i := range want.Hosts {
				want.Hosts[i].Lag, want.Hosts[i].IsPrimary, want.Hosts[i].LagAge, want.Hosts[i].RoleAge = -1, false, maxAge, maxAge
			}
		}
		require.Equal(t, want, s, file)
	}
	b, err := encode(fullSnapshot(), FormatVersion+1)
	require.NoError(t, err)
	_, _, err = Decode(b)
	require.ErrorIs(t, err, ErrNewerVersion)
	d := newFaultyFS()
	d.live["f/"+fileName] = b
	s := NewUnlockedStore(d, "f")
	_, _, err = s.Load()
	require.ErrorIs(t, err, ErrNewerVersion)
	require.Error(t, s.Save([]byte("x")))
	require.Equal(t, b, d.live["f/"+fileName], "it is left alone")
}

func TestFactsLoseWeightWithAge(t *testing.T) {
	const minute, hour = 60e3, 3600e3
	at := func(now float64) AgedSnapshot { return ApplyAge(fullSnapshot(), now, "n1", "site", false) }
	fresh := at(1e12)
	require.InDelta(t, 40, fresh.State.Hosts[0].Limit, 0.01)
	require.Equal(t, 30*time.Millisecond, fresh.State.Hosts[0].Lag)
	require.True(t, fresh.State.Hosts[1].WasPrimary)
	afterTenMinutes := at(1e12 + 10*minute)
	require.InDelta(t, 3+37/2.718, afterTenMinutes.State.Hosts[0].Limit, 0.1)
	require.Less(t, afterTenMinutes.State.Hosts[0].Score, 0.01, "failures are forgotten soon")
	require.Negative(t, afterTenMinutes.State.Hosts[0].Lag)
	require.True(t, afterTenMinutes.State.Hosts[1].WasPrimary)
	require.InDelta(t, 3-1/2.718, afterTenMinutes.State.Hosts[1].Limit, 0.01, "a low limit too nears the usual one")
	afterThreeHours := at(1e12 + 3*hour)
	require.Len(t, afterThreeHours.State.Hosts, 0)
	require.Len(t, afterThreeHours.State.Classes, 1, "how long a class takes stays true for longer")
	// A snapshot that is older than a day, from the future, or of another pooler or site is ignored, with a
	// reason.
	for why, w := range map[string]AgedSnapshot{
		"older than a day": at(1e12 + 25*hour), "ran backwards": at(1e12 - hour), "year": at(1e12 + 365*24*hour),
		`pooler "n1"`: ApplyAge(fullSnapshot(), 1e12, "n2", "site", false), "another site": ApplyAge(fullSnapshot(), 1e12, "n1", "other", false),
	} {
		require.Empty(t, w.State.Hosts, why)
		require.Empty(t, w.State.Classes, why)
		require.Nil(t, w.IdleResets, why)
		require.Len(t, w.Facts, 8, why)
		for _, v := range w.Facts {
			require.Zero(t, v.Weight)
			if why != "year" {
				require.Contains(t, v.Reason, why)
			}
		}
	}
	require.NotEmpty(t, ApplyAge(fullSnapshot(), 1e12+25*hour, "n1", "site", true).State.Hosts, "the switch for the checker")
	// The state that the router exports is restored unchanged.
	s := routing.RouterState{Hosts: []routing.HostState{{Host: "a", Group: 2, Started: time.Second, Limit: 7, Score: 0.5, Lag: 40 * time.Millisecond, LagAge: time.Second}}}
	got := ApplyAge(NewSnapshot(Header{"n", "s", 5e5}, s, nil, nil), 5e5, "n", "s", false).State
	s.Hosts[0].LagAge = 0 // the lag's age is not restored: it has gone into its weight
	require.Equal(t, s.Hosts, got.Hosts)
}

// The lag of a host that has never reported its position stays unknown after a restart.
func TestAnUnknownLagStaysUnknown(t *testing.T) {
	state := routing.RouterState{Hosts: []routing.HostState{{Host: "a", Group: 2, Started: time.Second, Limit: 7, Lag: -1}}}
	snapshot := NewSnapshot(Header{"n", "s", 5e5}, state, nil, nil)
	require.EqualValues(t, unknownLag, snapshot.Hosts[0].Lag)
	require.Equal(t, state.Hosts, ApplyAge(snapshot, 5e5, "n", "s", false).State.Hosts)
}

// faultyFS is a file system that crashes or fails once at a given call. live is its content; synced is what a
// crash leaves.
type faultyFS struct {
	live, synced map[string][]byte
	calls        int
	failAt       int  // the number of the call that fails; 0: never
	failOnce     bool // only that call fails; otherwise all later calls fail too, as after a crash
}

var (
	errCrashed = errors.New("the machine stopped")
	errNoSpace = errors.New("no space left on device")
)

func newFaultyFS() *faultyFS {
	return &faultyFS{live: map[string][]byte{}, synced: map[string][]byte{}}
}

func (d *faultyFS) call() error {
	d.calls++
	if d.failAt > 0 && d.calls == d.failAt && d.failOnce {
		return errNoSpace
	}
	if d.failAt > 0 && d.calls >= d.failAt && !d.failOnce {
		return errCrashed
	}
	return nil
}

func (d *faultyFS) ReadFile(path string, _ int) ([]byte, string, error) {
	b, ok := d.live[path]
	if !ok {
		return nil, "", fs.ErrNotExist
	}
	return b, "", nil
}

func (d *faultyFS) MkdirAll(string) error          { return d.call() }
func (d *faultyFS) Lock(string) (io.Closer, error) { return nil, d.call() }
func (f *faultyFile) Identity() (string, error)    { return "", nil }

type faultyFile struct {
	d    *faultyFS
	path string
}

func (d *faultyFS) Create(path string) (vfs.File, error) {
	if err := d.call(); err != nil {
		return nil, err
	}
	if _, exists := d.live[path]; exists {
		return nil, fs.ErrExist
	}
	d.live[path] = nil
	return &faultyFile{d, path}, nil
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.d.call(); err != nil {
		f.d.live[f.path] = append(f.d.live[f.path], b[:len(b)/2]...) // half of the bytes were written
		return len(b) / 2, err
	}
	f.d.live[f.path] = append(f.d.live[f.path], b...)
	return len(b), nil
}

func (f *faultyFile) Sync() error {
	if err := f.d.call(); err != nil {
		return err
	}
	f.d.synced[f.path] = append([]byte{}, f.d.live[f.path]...)
	return nil
}

func (f *faultyFile) Close() error { return f.d.call() }

func (d *faultyFS) Rename(from, to string) error {
	if err := d.call(); err != nil {
		return err
	}
	d.live[to] = d.live[from]
	delete(d.live, from)
	return nil
}

func (d *faultyFS) Remove(path string) error {
	if err := d.call(); err != nil {
		return err
	}
	if _, exists := d.live[path]; !exists {
		return fs.ErrNotExist
	}
	delete(d.live, path)
	return nil
}

func (d *faultyFS) SyncDir(string) error {
	if err := d.call(); err != nil {
		return err
	}
	for path := range d.synced { // names are safe from here on, with what was synced of their data
		if _, ok := d.live[path]; !ok {
			delete(d.synced, path)
		}
	}
	for path, b := range d.live {
		d.synced[path] = b
	}
	return nil
}

func (d *faultyFS) ReadDirNames(string) (names []string, err error) {
	for path := range d.live {
		names = append(names, filepath.Base(path))
	}
	return names, d.call()
}

func TestCrashAtAnyCallLeavesACompleteFile(t *testing.T) {
	first, second := fullSnapshot(), fullSnapshot()
	second.Header.WrittenAt++
	for range 200 {
		second.Hosts = append(second.Hosts, Host{Name: fmt.Sprint("h", len(second.Hosts)), Limit: 5, Lag: -1})
	}
	a, err := Encode(first)
	require.NoError(t, err)
	b, err := Encode(second)
	require.NoError(t, err)
	for _, failOnce := range []bool{false, true} {
		for failAt := 1; ; failAt++ {
			d := newFaultyFS()
			require.NoError(t, NewUnlockedStore(d, "f").Save(a))
			d.calls, d.failAt, d.failOnce = 0, failAt, failOnce
			err := NewUnlockedStore(d, "f").Save(b)
			for what, files := range map[string]map[string][]byte{"what was written": d.live, "what was synced": d.synced} {
				s, lost, decodeErr := Decode(files["f/"+fileName])
				require.NoError(t, decodeErr, "%s, stopped at call %d", what, failAt)
				require.Empty(t, lost)
				require.Contains(t, []float64{first.Header.WrittenAt, second.Header.WrittenAt}, s.Header.WrittenAt)
				if err == nil {
					require.Equal(t, second.Header.WrittenAt, s.Header.WrittenAt, what)
				}
			}
			if err == nil && d.calls < failAt {
				require.Greater(t, failAt, 8, "every write, sync and rename was one")
				break
			}
			if failOnce && err != nil { // the disk was full: the next attempt has space again
				d.failAt = 0
				require.NoError(t, NewUnlockedStore(d, "f").Save(b))
			}
		}
	}
	// If the file is written in place, a crash leaves a part of it. This shows that the test can fail.
	d := newFaultyFS()
	require.NoError(t, NewUnlockedStore(d, "f").Save(a))
	d.calls, d.failAt = 0, 4
	s := NewUnlockedStore(d, "f")
	s.DisableAtomicWrites()
	require.Error(t, s.Save(b))
	_, lost, err := Decode(d.live["f/"+fileName])
	require.True(t, err != nil || len(lost) > 0)
}

func TestMalformedFileIsQuarantined(t *testing.T) {
	folder := t.TempDir()
	s, err := Open(vfs.OS{}, folder)
	require.NoError(t, err)
	_, err = Open(vfs.OS{}, folder)
	require.ErrorContains(t, err, "another pooler has it")
	got, _, err := s.Load()
	require.NoError(t, err)
	require.Nil(t, got)
	for range 6 {
		require.NoError(t, os.WriteFile(s.Path(), []byte("ASHLEARN and then nothing"), 0o600))
		_, _, err = s.Load()
		require.ErrorIs(t, err, ErrMalformed)
		require.NoFileExists(t, s.Path())
	}
	names, err := vfs.OS{}.ReadDirNames(folder)
	require.NoError(t, err)
	require.Equal(t, 3, strings.Count(strings.Join(names, " "), quarantinePrefix), "the last few are kept for a look")
	b, err := Encode(fullSnapshot())
	require.NoError(t, err)
	require.NoError(t, s.Save(b))
	got, _, err = s.Load()
	require.NoError(t, err)
	require.Equal(t, fullSnapshot(), got)
	s.Close()
	s, err = Open(vfs.OS{}, folder)
	require.NoError(t, err)
	s.Close()
	_, err = Open(vfs.OS{}, filepath.Join(folder, "none"))
	require.ErrorIs(t, err, fs.ErrNotExist)
}

func TestLargeFleetIsBounded(t *testing.T) {
	s := fullSnapshot()
	for i := range 5000 {
		s.Hosts = append(s.Hosts, Host{Name: fmt.Sprintf("host-%d", i), Group: uint64(i / 4), Limit: 12, Lag: 8, LagAge: 100})
	}
	b, err := Encode(s)
	require.NoError(t, err)
	require.Less(t, len(b), 1<<20)
	got, _, err := Decode(b)
	require.NoError(t, err)
	require.Len(t, got.Hosts, 5002)
	s.Hosts = make([]Host, maxHosts+1)
	_, err = Encode(s)
	require.Error(t, err)
}

func FuzzDecode(f *testing.F) {
	for _, v := range []uint16{1, 2, 3} {
		b, _ := encode(fullSnapshot(), v)
		f.Add(b)
		f.Add(b[:len(b)/2])
		f.Add(b[len(b)/2:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, _, err := Decode(b)
		if err != nil {
			return
		}
		w := ApplyAge(s, s.Header.WrittenAt, s.Header.Name, s.Header.SiteHash, false)
		for _, m := range w.State.Hosts {
			require.GreaterOrEqual(t, m.Limit, 1.0)
		}
		if _, err := Encode(s); err != nil {
			require.ErrorContains(t, err, "more than")
		}
	})
}

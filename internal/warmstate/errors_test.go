package warmstate

import (
	"errors"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/remedy"
	"ashstand/internal/vfs"
)

func TestErrorsAreTyped(t *testing.T) {
	directory := t.TempDir()
	s, err := Open(vfs.OS{}, directory)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	_, err = Open(vfs.OS{}, directory)
	var locked *DirectoryError
	require.ErrorAs(t, err, &locked)
	require.Equal(t, []any{directory, true}, []any{locked.Path, locked.Locked})
	require.Equal(t, "disk_held", remedy.Find(err).Code())

	require.NoError(t, s.Save([]byte("no such file")))
	_, _, err = s.Load()
	var load *LoadError
	var format *FormatError
	require.ErrorAs(t, err, &load)
	require.ErrorAs(t, err, &format)
	require.Equal(t, filepath.Join(directory, quarantinePrefix+"1"), load.QuarantinedAs)
	require.EqualError(t, err, load.Path+" can't be used and was moved to "+load.QuarantinedAs+": malformed: it does not begin as such a file does")

	newer, err := encode(fullSnapshot(), FormatVersion+1)
	require.NoError(t, err)
	require.NoError(t, s.Save(newer))
	_, _, err = s.Load()
	require.ErrorIs(t, err, ErrNewerVersion)
	require.EqualError(t, err, load.Path+" is left as it is: written by a newer version: its version is 3, 2 is the newest known")
	err = s.Save(newer)
	require.ErrorIs(t, err, ErrNewerVersion)
	require.Equal(t, "state_newer", remedy.Find(err).Code())

	large := fullSnapshot()
	large.Hosts = make([]Host, maxHosts+1)
	_, err = Encode(large)
	var limit *LimitError
	require.ErrorAs(t, err, &limit)
	require.Equal(t, []int{maxHosts + 1, maxHosts}, []int{limit.Count, limit.Limit})
}

// A file that cannot be moved aside stays, and both errors are reported.
func TestQuarantineThatFails(t *testing.T) {
	d := newFaultyFS()
	s := NewUnlockedStore(d, "f")
	d.live[s.Path()] = []byte("no such file")
	d.failAt, d.failOnce = 1, true
	_, _, err := s.Load()
	var load *LoadError
	require.ErrorAs(t, err, &load)
	require.ErrorIs(t, load.QuarantineErr, errNoSpace)
	require.ErrorIs(t, err, ErrMalformed)
	require.Contains(t, d.live, s.Path())
	require.False(t, errors.Is(err, ErrNewerVersion))
}

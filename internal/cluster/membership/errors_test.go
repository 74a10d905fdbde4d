package membership

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/remedy"
)

// Errors that an operator can resolve have fields, a code and advice, and still wrap their sentinel error.
func TestErrorsAreTyped(t *testing.T) {
	table := NewTable(testInfo("n1", "127.0.0.1:1", 1, 100), 1, 0)

	err := table.Admit(testInfo("n2", "127.0.0.1:2", 2, 100), 1)
	var full *TableFullError
	require.ErrorAs(t, err, &full)
	require.Equal(t, 1, full.MaxMembers)
	require.ErrorIs(t, err, ErrTableFull)
	require.Equal(t, "member_table_full", remedy.Find(err).Code())

	other := testInfo("n1", "127.0.0.1:9", 9, 300)
	err = table.Admit(other, 2)
	var conflict *NameConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []uint64{1, 9}, []uint64{conflict.Known.Incarnation, conflict.Claimed.Incarnation})
	require.EqualError(t, err, `the name is held by another instance: "n1" started 0.100 at 127.0.0.1:1 is instance 0000000000000001, and 0.300 at 127.0.0.1:9 is 0000000000000009`)
	require.Equal(t, "member_name_conflict", remedy.Find(err).Code())

	_, err = other.Encode(10)
	var tooLong *InfoTooLongError
	require.ErrorAs(t, err, &tooLong)
	require.Equal(t, 10, tooLong.Limit)

	path := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, os.WriteFile(path, []byte("# none\nxyz\n"), 0o600))
	_, err = ReadKeys(path)
	var file *KeyFileError
	require.ErrorAs(t, err, &file)
	require.Equal(t, []any{path, 2}, []any{file.Path, file.Line})
	require.Error(t, errors.Unwrap(err))
	require.NotEmpty(t, remedy.Find(err).Advice())
}

// Truncated messages and messages of unknown kinds are reported as errors.
func TestMalformedMessages(t *testing.T) {
	whole, err := (&nameConflictMessage{other: testInfo("n1", "127.0.0.1:1", 1, 100)}).encode()
	require.NoError(t, err)
	decoded, err := decodeMessage(whole)
	require.NoError(t, err)
	require.Equal(t, "n1", decoded.(*nameConflictMessage).other.Name)
	for n := range whole {
		_, err := decodeMessage(whole[:n])
		require.Error(t, err, "cut after %d bytes", n)
	}
	for _, b := range []string{"", "\x02", "\x00a", "\x03a", "\xff\xff"} {
		_, err := decodeMessage([]byte(b))
		require.ErrorIs(t, err, errMalformedMessage)
	}
}

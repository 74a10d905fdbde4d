package main

import (
	"bytes"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Commands that were renamed still run under the old name, and say on standard error what replaces it.
func TestRenamedCommandsAreAccepted(t *testing.T) {
	nobody := "unix:" + filepath.Join(t.TempDir(), "admin.sock")
	for _, c := range []struct {
		old, present []string
		line         string
	}{
		{[]string{"move", "status"}, []string{"migrate", "status"}, "ashstand: command move is deprecated: use migrate\n"},
		{[]string{"move", "go", "orders-to-2", "--step", "3"}, []string{"migrate", "go", "orders-to-2", "--step", "3"}, "ashstand: command move is deprecated: use migrate\n"},
		{[]string{"cluster", "homes"}, []string{"cluster", "assignments"}, "ashstand: command cluster homes is deprecated: use cluster assignments\n"},
	} {
		run := func(words []string) (message, errors string) {
			root := command()
			var out bytes.Buffer
			root.SetErr(&out)
			root.SetArgs(append(words, "--admin", nobody))
			err := root.Execute()
			require.Error(t, err, words)
			return err.Error(), out.String()
		}
		present, errors := run(c.present)
		require.Contains(t, present, "no pooler answers at")
		require.Empty(t, errors, c.present)
		old, errors := run(c.old)
		require.Equal(t, present, old, c.old)
		require.Equal(t, c.line, errors, c.old)
	}
}

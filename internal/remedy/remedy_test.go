package remedy

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

type diskFull struct{}

func (diskFull) Error() string  { return "no space" }
func (diskFull) Code() string   { return "disk_full" }
func (diskFull) Advice() string { return "Make room." }

func TestFind(t *testing.T) {
	require.Nil(t, Find(nil))
	require.Nil(t, Find(errors.New("no advice")))
	found := Find(fmt.Errorf("state: %w", errors.Join(errors.New("first"), diskFull{})))
	require.Equal(t, []string{"disk_full", "Make room."}, []string{found.Code(), found.Advice()})
}

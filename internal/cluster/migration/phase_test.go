package migration

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTransitionTable(t *testing.T) {
	require.Len(t, transitions, len(operations))
	require.Len(t, outcomeAppliers, len(operations))
	final := []Phase{PhaseCompleted, PhaseRolledBack}
	for _, phase := range Phases {
		isLeft, isReached := false, phase == PhasePlanned
		for operation, transition := range transitions {
			if operation == OperationDiscardApproval {
				continue // allowed in every phase, and does not change it
			}
			if operation.AllowedIn(phase) && slices.ContainsFunc(transition.to, func(to Phase) bool { return to != phase }) {
				isLeft = true
			}
			if operation.LeadsTo(phase) && slices.ContainsFunc(transition.from, func(from Phase) bool { return from != phase }) {
				isReached = true
			}
		}
		require.True(t, isReached, phase)
		require.Equal(t, !slices.Contains(final, phase), isLeft, phase)
	}
}

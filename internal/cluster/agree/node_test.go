package agree

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A leader that is gone for good, after it has lent to all for long: the others find the next one and have leases again.
func TestALeaderThatIsGoneForGoodIsLeft(t *testing.T) {
	voters := []string{"n1", "n2", "n3"}
	nodes := map[string]*Node{}
	names := []string{"n1", "n2", "n3", "n4"}
	for i, name := range names {
		var disk *Disk
		if i < len(voters) {
			disk = Found(name, voters)
		}
		n, err := New(Config{Name: name, Instance: uint64(i + 1), Voters: voters, Lease: 200, Drift: 0.01, Pace: 30, Election: 50, Format: 1, Seed: 7}, disk, 0)
		require.NoError(t, err)
		nodes[name] = n
	}
	now := 0.0
	run := func(length float64) {
		for end := now + length; now < end; now += 5 {
			var mail []Message
			for _, name := range names {
				if n := nodes[name]; n != nil {
					n.Tick(now)
					mail = append(mail, n.Output().Messages...)
				}
			}
			for len(mail) > 0 {
				m := mail[0]
				mail = mail[1:]
				if n := nodes[m.To]; n != nil {
					n.Receive(now, m)
					mail = append(mail, n.Output().Messages...)
				}
			}
		}
	}
	run(5000) // far more renewals than a node keeps in mind
	for _, name := range voters {
		if nodes[name].Leading() {
			nodes[name] = nil
			break
		}
	}
	run(3000)
	held := 0
	for name, n := range nodes {
		if n != nil {
			held++
			require.False(t, n.Lapsed(now), "%s asks %q and has no lease", name, n.leader)
		}
	}
	require.Equal(t, 3, held)
}

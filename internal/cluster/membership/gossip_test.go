package membership

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
	"ashstand/testbed/fleet"
)

const probe = 50 * time.Millisecond

// freeAddress returns an address that is free for TCP and UDP alike.
func freeAddress(t *testing.T) string {
	a, err := fleet.Free()
	require.NoError(t, err)
	return a
}

func randomKey() []byte {
	b := make([]byte, 32)
	_, _ = rand.Read(b)
	return b
}

// startMembers starts n members, each with all others as configured peers.
func startMembers(t *testing.T, n int, keys [][]byte) (out []*Gossip, addresses map[string]string) {
	addresses = map[string]string{}
	for i := range n {
		addresses[fmt.Sprint("n", i)] = freeAddress(t)
	}
	for i := range n {
		out = append(out, startMember(t, fmt.Sprint("n", i), addresses[fmt.Sprint("n", i)], uint64(100+i), addresses, keys))
	}
	return out, addresses
}

func startMember(t *testing.T, name, listen string, incarnation uint64, addresses map[string]string, keys [][]byte) *Gossip {
	peers := map[string]string{}
	for k, v := range addresses {
		if k != name {
			peers[k] = v
		}
	}
	self := Info{Name: name, Incarnation: incarnation, StartedAt: clock.System().Now(), Version: "test", OldestFormat: 1, NewestFormat: 1, Zone: "a", State: Serving}
	g, err := Start(Options{Self: self, Listen: listen, Peers: peers, Keys: keys, MaxMembers: 16, ProbeInterval: probe, Seed: incarnation})
	require.NoError(t, err)
	t.Cleanup(func() {
		select {
		case <-g.closing:
		default:
			g.Stop()
		}
	})
	return g
}

func stateOf(g *Gossip, name string) State {
	for _, m := range g.View().Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	within := clock.Duration(ConvergenceBoundMillis(4, probe)) + 2*time.Second
	require.Eventually(t, condition, within, 10*time.Millisecond, what)
}

func TestMembersJoinLeaveAndRejoin(t *testing.T) {
	members, at := startMembers(t, 3, [][]byte{randomKey()})
	for _, g := range members {
		for _, name := range []string{"n0", "n1", "n2"} {
			eventually(t, name, func() bool { return stateOf(g, name) == Serving })
		}
	}
	members[1].SetState(Draining)
	eventually(t, "the others see the state that n1 reports", func() bool { return stateOf(members[0], "n1") == Draining && stateOf(members[2], "n1") == Draining })
	members[1].Stop()
	require.Eventually(t, func() bool { return stateOf(members[0], "n1") == Dead && stateOf(members[2], "n1") == Dead }, time.Second, 5*time.Millisecond,
		"a member that leaves is announced, without failure detection")
	members[1] = startMember(t, "n1", at["n1"], 200, at, [][]byte{members[0].options.Keys[0]})
	eventually(t, "n1 has joined again", func() bool { return stateOf(members[0], "n1") == Serving && stateOf(members[2], "n1") == Serving })
	for _, m := range members[0].View().Members {
		if m.Name == "n1" {
			require.Equal(t, uint64(200), m.Incarnation)
		}
	}
}

// Two processes with one name: the one that started first owns it, the other stays out of the cluster, both are
// notified, and the view of the third member does not change.
func TestSecondIncarnationOfANameIsRejected(t *testing.T) {
	keys := [][]byte{randomKey()}
	members, at := startMembers(t, 3, keys)
	eventually(t, "all members are serving", func() bool { return stateOf(members[0], "n1") == Serving && stateOf(members[2], "n1") == Serving })
	second := startMember(t, "n1", freeAddress(t), 900, at, keys)
	eventually(t, "the second incarnation has lost its name", func() bool { return second.View().NameHolder != nil })
	require.Equal(t, uint64(101), second.View().NameHolder.Incarnation)
	eventually(t, "the holder is notified", func() bool { return len(members[1].View().NameConflicts) > 0 })
	require.Nil(t, members[1].View().NameHolder)
	for _, i := range []int{0, 2} {
		for _, m := range members[i].View().Members {
			if m.Name == "n1" {
				require.Equal(t, uint64(101), m.Incarnation)
				require.NotEqual(t, Dead, m.State)
			}
		}
	}
}

// Traffic that no member sends is dropped and counted, and does not disturb failure detection.
func TestMalformedTrafficIsCounted(t *testing.T) {
	members, at := startMembers(t, 2, [][]byte{randomKey()})
	eventually(t, "all members are serving", func() bool { return stateOf(members[0], "n1") == Serving })
	u, err := net.Dial("udp", at["n0"])
	require.NoError(t, err)
	defer u.Close()
	b := make([]byte, 9000)
	for range 50 {
		_, _ = rand.Read(b)
		_, _ = u.Write(b[:500])
		_, _ = u.Write(b[:500]) // a duplicate
		_, _ = u.Write(b)
	}
	for range 200 { // more streams than may be open
		c, err := net.Dial("tcp", at["n0"])
		require.NoError(t, err)
		defer c.Close()
	}
	eventually(t, "malformed traffic is counted", func() bool {
		c := members[0].View().Counters
		return c["garbage"] > 0 && c["huge"] > 0 && c["twice"] > 0 && c["busy"] > 0
	})
	require.Equal(t, Serving, stateOf(members[0], "n1"))
	require.Equal(t, Serving, stateOf(members[1], "n0"))
}

// A process with another key does not join; keys are rotated without an interruption.
func TestKeyRotation(t *testing.T) {
	old, fresh := randomKey(), randomKey()
	members, at := startMembers(t, 2, [][]byte{old})
	eventually(t, "all members are serving", func() bool { return stateOf(members[0], "n1") == Serving && stateOf(members[1], "n0") == Serving })
	outsider := startMember(t, "n9", freeAddress(t), 9, at, [][]byte{randomKey()})
	time.Sleep(20 * probe)
	require.Equal(t, State(""), stateOf(members[0], "n9"))
	require.Len(t, outsider.View().Members, 1)
	for _, keys := range [][][]byte{{old, fresh}, {fresh, old}, {fresh}} {
		for _, g := range members {
			require.NoError(t, g.RotateKeys(keys))
		}
		time.Sleep(4 * probe)
	}
	require.Equal(t, Serving, stateOf(members[0], "n1"))
	require.Equal(t, Serving, stateOf(members[1], "n0"))
	require.Len(t, members[0].keyring.GetKeys(), 1)
}

func TestReadKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	good := base64.StdEncoding.EncodeToString(randomKey())
	for text, want := range map[string]string{good: "", "# first\n\n" + good + "\n" + good: "", "": "holds no key", good + "\nxyz": ":2: no key", "AAAA": ":1: no key"} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		keys, err := ReadKeys(path)
		if want == "" {
			require.NoError(t, err)
			require.NotEmpty(t, keys)
		} else {
			require.ErrorContains(t, err, want)
			require.ErrorContains(t, err, path)
		}
	}
}

// stalledAddress returns an address at which connection attempts hang: its accept queue is full, and nothing
// accepts.
func stalledAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	socketAddress, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", socketAddress.(*syscall.SockaddrInet4).Port)
	require.Eventually(t, func() bool {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { c.Close() })
		}
		return err != nil
	}, 5*time.Second, time.Millisecond)
	return address
}

// Long messages to a member whose link stalls do not delay the messages to other members.
func TestStalledMemberDelaysNoOther(t *testing.T) {
	key := randomKey()
	got := make(chan int, 100)
	addresses := map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	start := func(name string, peers map[string]string, message func([]byte)) *Gossip {
		self := Info{Name: name, Incarnation: uint64(name[0]), StartedAt: clock.System().Now(), Version: "test", OldestFormat: 1, NewestFormat: 1, State: Serving}
		g, err := Start(Options{Self: self, Listen: addresses[name], Peers: peers, Keys: [][]byte{key}, MaxMembers: 16, ProbeInterval: probe, Seed: 1, OnMessage: message})
		require.NoError(t, err)
		t.Cleanup(g.Stop)
		return g
	}
	a := start("a", map[string]string{"b": addresses["b"], "c": stalledAddress(t)}, func([]byte) {})
	start("b", map[string]string{"a": addresses["a"]}, func(b []byte) { got <- len(b) })
	long := make([]byte, 5000)
	for range 200 {
		a.Send("c", long)
	}
	a.Send("b", long)
	select {
	case n := <-got:
		require.Equal(t, 5000, n)
	case <-time.After(time.Second): // shorter than the time for which the messages to the stalled member hang
		t.Fatal("the message to the other member did not arrive")
	}
}

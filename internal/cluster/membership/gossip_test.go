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

// freeAddress is a free address for streams and datagrams alike.
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

// startMembers starts so many members that know all of each other.
func startMembers(t *testing.T, n int, keys [][]byte) (out []*Gossip, at map[string]string) {
	at = map[string]string{}
	for i := range n {
		at[fmt.Sprint("n", i)] = freeAddress(t)
	}
	for i := range n {
		out = append(out, startMember(t, fmt.Sprint("n", i), at[fmt.Sprint("n", i)], uint64(100+i), at, keys))
	}
	return out, at
}

func startMember(t *testing.T, name, listen string, instance uint64, at map[string]string, keys [][]byte) *Gossip {
	peers := map[string]string{}
	for k, v := range at {
		if k != name {
			peers[k] = v
		}
	}
	self := Info{Name: name, Incarnation: instance, StartedAt: clock.System().Now(), Version: "test", OldestFormat: 1, NewestFormat: 1, Zone: "a", State: Serving}
	g, err := Start(Options{Self: self, Listen: listen, Peers: peers, Keys: keys, MaxMembers: 16, ProbeInterval: probe, Seed: instance})
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

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	within := clock.Duration(ConvergenceBoundMillis(4, probe)) + 2*time.Second
	require.Eventually(t, is, within, 10*time.Millisecond, what)
}

func TestMembersJoinLeaveAndRejoin(t *testing.T) {
	members, at := startMembers(t, 3, [][]byte{randomKey()})
	for _, g := range members {
		for _, name := range []string{"n0", "n1", "n2"} {
			eventually(t, name, func() bool { return stateOf(g, name) == Serving })
		}
	}
	members[1].SetState(Draining)
	eventually(t, "its own word", func() bool { return stateOf(members[0], "n1") == Draining && stateOf(members[2], "n1") == Draining })
	members[1].Stop()
	require.Eventually(t, func() bool { return stateOf(members[0], "n1") == Dead && stateOf(members[2], "n1") == Dead }, time.Second, 5*time.Millisecond,
		"one that leaves says so; nobody has to find out")
	members[1] = startMember(t, "n1", at["n1"], 200, at, [][]byte{members[0].options.Keys[0]})
	eventually(t, "it is back", func() bool { return stateOf(members[0], "n1") == Serving && stateOf(members[2], "n1") == Serving })
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
	eventually(t, "all there", func() bool { return stateOf(members[0], "n1") == Serving && stateOf(members[2], "n1") == Serving })
	second := startMember(t, "n1", freeAddress(t), 900, at, keys)
	eventually(t, "the second is out", func() bool { return second.View().NameHolder != nil })
	require.Equal(t, uint64(101), second.View().NameHolder.Incarnation)
	eventually(t, "the holder is told", func() bool { return len(members[1].View().NameConflicts) > 0 })
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

// Traffic that no member sends is dropped and counted, and delays nobody.
func TestMalformedTrafficIsCounted(t *testing.T) {
	members, at := startMembers(t, 2, [][]byte{randomKey()})
	eventually(t, "all there", func() bool { return stateOf(members[0], "n1") == Serving })
	u, err := net.Dial("udp", at["n0"])
	require.NoError(t, err)
	defer u.Close()
	b := make([]byte, 9000)
	for range 50 {
		_, _ = rand.Read(b)
		_, _ = u.Write(b[:500])
		_, _ = u.Write(b[:500]) // the same again
		_, _ = u.Write(b)
	}
	for range 200 { // more streams than may be open
		c, err := net.Dial("tcp", at["n0"])
		require.NoError(t, err)
		defer c.Close()
	}
	eventually(t, "counted", func() bool {
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
	eventually(t, "all there", func() bool { return stateOf(members[0], "n1") == Serving && stateOf(members[1], "n0") == Serving })
	stranger := startMember(t, "n9", freeAddress(t), 9, at, [][]byte{randomKey()})
	time.Sleep(20 * probe)
	require.Equal(t, State(""), stateOf(members[0], "n9"))
	require.Len(t, stranger.View().Members, 1)
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

// stalledAddress is an address at which connections hang: its queue is full and nobody takes from it.
func stalledAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	at, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	require.Eventually(t, func() bool {
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { c.Close() })
		}
		return err != nil
	}, 5*time.Second, time.Millisecond)
	return address
}

// Long messages to a member whose link stalls do not delay those to the others.
func TestStalledMemberDelaysNoOther(t *testing.T) {
	k := randomKey()
	got := make(chan int, 100)
	at := map[string]string{"a": freeAddress(t), "b": freeAddress(t)}
	start := func(name string, peers map[string]string, message func([]byte)) *Gossip {
		self := Info{Name: name, Incarnation: uint64(name[0]), StartedAt: clock.System().Now(), Version: "test", OldestFormat: 1, NewestFormat: 1, State: Serving}
		g, err := Start(Options{Self: self, Listen: at[name], Peers: peers, Keys: [][]byte{k}, MaxMembers: 16, ProbeInterval: probe, Seed: 1, OnMessage: message})
		require.NoError(t, err)
		t.Cleanup(g.Stop)
		return g
	}
	a := start("a", map[string]string{"b": at["b"], "c": stalledAddress(t)}, func([]byte) {})
	start("b", map[string]string{"a": at["a"]}, func(b []byte) { got <- len(b) })
	long := make([]byte, 5000)
	for range 200 {
		a.Send("c", long)
	}
	a.Send("b", long)
	select {
	case n := <-got:
		require.Equal(t, 5000, n)
	case <-time.After(time.Second): // the others hang for longer
		t.Fatal("nothing came")
	}
}

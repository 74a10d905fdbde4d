package membership

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"ashstand/internal/clock"
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

func goldenInfo(s State) Info {
	return Info{
		Name: "n1", Address: "127.0.0.1:7101", Instance: 0x0123456789abcdef, Started: 1767225600123.5, Version: "v1.2.3", Oldest: 2, Newest: 3,
		Zone: "z1", State: s,
	}
}

// What a member says of itself has the same bytes in every state that it may say.
func TestGoldenInfo(t *testing.T) {
	for _, s := range []State{Starting, Serving, Draining} {
		b, err := goldenInfo(s).Encode(512)
		require.NoError(t, err)
		stored := golden(t, "info_"+string(s)+".json", b)
		i, err := Decode("n1", "127.0.0.1:7101", stored)
		require.NoError(t, err)
		require.Equal(t, goldenInfo(s), i)
		again, err := i.Encode(512)
		require.NoError(t, err)
		require.Equal(t, stored, again)
	}
}

// recorder is a transport of the library that keeps what is sent instead of sending it.
type recorder struct {
	packets chan []byte
	streams chan net.Conn
}

var _ memberlist.NodeAwareTransport = (*recorder)(nil)

func (r *recorder) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1), 7101, nil
}

func (r *recorder) WriteTo(b []byte, addr string) (time.Time, error) {
	return r.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (r *recorder) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	r.packets <- append([]byte(a.Name+"@"+a.Addr+" "), b...)
	return time.Now(), nil
}

func (r *recorder) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return r.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (r *recorder) DialAddressTimeout(memberlist.Address, time.Duration) (net.Conn, error) {
	here, there := net.Pipe()
	r.streams <- there
	return here, nil
}

func (r *recorder) PacketCh() <-chan *memberlist.Packet { return nil }
func (r *recorder) StreamCh() <-chan net.Conn           { return nil }
func (r *recorder) Shutdown() error                     { return nil }

func recorded(t *testing.T) (*memberlist.Memberlist, *recorder) {
	r := &recorder{packets: make(chan []byte, 16), streams: make(chan net.Conn, 1)}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.LogOutput, c.EnableCompression = "n1", r, io.Discard, false
	list, err := memberlist.Create(c)
	require.NoError(t, err)
	t.Cleanup(func() { _ = list.Shutdown() })
	return list, r
}

// The two kinds of messages of our own have the same bytes, as datagrams and as a stream, and are read from them.
func TestGoldenMessages(t *testing.T) {
	list, r := recorded(t)
	var received [][]byte
	g := &Gossip{o: Options{
		Self: goldenInfo(Serving), Peers: map[string]string{"n2": "127.0.0.1:7102"}, Clock: clock.System(),
		Message: func(b []byte) { received = append(received, b) },
	}, list: list, table: NewTable(goldenInfo(Serving), 8, 1)}

	twin := goldenInfo(Draining)
	twin.Name, twin.Address, twin.Instance, twin.Started = "n1", "127.0.0.1:7199", 0xfedcba9876543210, 1767225600999
	notice(list, goldenInfo(Serving), twin)
	stored := golden(t, "message_name_conflict.bin", <-r.packets)
	_, body, found := bytes.Cut(stored, []byte("@127.0.0.1:7101 \x08"))
	require.True(t, found, "a user message of the library, to where the other says that it listens")
	(*delegate)(g).NotifyMsg(body)
	require.Zero(t, g.foreign.Load())
	require.Len(t, g.table.Twins(), 1)
	require.Equal(t, []Info{goldenInfo(Serving), twin}, []Info{g.table.Twins()[0].Kept, g.table.Twins()[0].Sent})
	notice(list, g.table.Twins()[0].Kept, g.table.Twins()[0].Sent)
	require.Equal(t, stored, <-r.packets, "the same again after reading")

	payload := []byte("a message of the agreement\x00\xff")
	g.Send("n2", payload)
	stored = golden(t, "message_payload.bin", <-r.packets)
	_, body, found = bytes.Cut(stored, []byte("n2@127.0.0.1:7102 \x08"))
	require.True(t, found)
	(*delegate)(g).NotifyMsg(body)
	require.Equal(t, [][]byte{payload}, received)

	long := bytes.Repeat(payload, 100)
	g.Send("n2", long)
	c := <-r.streams
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	stored = golden(t, "message_payload_stream.bin", b)
	(*delegate)(g).NotifyMsg(stored[len(stored)-len(long)-1:])
	require.Equal(t, [][]byte{payload, long}, received)
	require.Zero(t, g.foreign.Load())
}

// What operators and traces get of the table has the same keys.
func TestGoldenView(t *testing.T) {
	self, holder, other := goldenInfo(Serving), goldenInfo(Starting), goldenInfo(Suspect)
	view := View{
		Self: self, Refused: &holder, Members: []Member{{Info: other, Since: 17}},
		Twins: []Twin{{Name: "n1", Kept: holder, Sent: self, At: 18, told: 19}}, Bound: Bound(3, time.Second), Formats: [2]int{2, 3},
		Apart: []string{"n4"}, Counters: map[string]int64{"garbage": 1, "foreign": 2, "joins": 3, "calls": 4},
	}
	b, err := json.MarshalIndent(view, "", "\t")
	require.NoError(t, err)
	stored := golden(t, "view.json", b)
	var read View
	require.NoError(t, json.Unmarshal(stored, &read))
	again, err := json.MarshalIndent(read, "", "\t")
	require.NoError(t, err)
	require.Equal(t, string(stored), string(again))

	b, err = json.Marshal([]Change{{At: 5, Name: "n2", From: Serving, To: Gone, Before: 6, Now: 7}})
	require.NoError(t, err)
	stored = golden(t, "changes.json", b)
	var changes []Change
	require.NoError(t, json.Unmarshal(stored, &changes))
	b, err = json.Marshal(changes)
	require.NoError(t, err)
	require.Equal(t, string(stored), string(b))
}

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

// compareWithGolden compares bytes with a committed file and returns the content of the file.
func compareWithGolden(t *testing.T, name string, got []byte) []byte {
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
		Name: "n1", Address: "127.0.0.1:7101", Incarnation: 0x0123456789abcdef, StartedAt: 1767225600123.5, Version: "v1.2.3", OldestFormat: 2, NewestFormat: 3,
		Zone: "z1", State: s,
	}
}

// The encoding of Info does not change, in any of the states that a member may report.
func TestGoldenInfo(t *testing.T) {
	for _, s := range []State{Starting, Serving, Draining} {
		b, err := goldenInfo(s).Encode(512)
		require.NoError(t, err)
		stored := compareWithGolden(t, "info_"+string(s)+".json", b)
		i, err := DecodeInfo("n1", "127.0.0.1:7101", stored)
		require.NoError(t, err)
		require.Equal(t, goldenInfo(s), i)
		again, err := i.Encode(512)
		require.NoError(t, err)
		require.Equal(t, stored, again)
	}
}

// recordingTransport is a memberlist transport that records the packets and streams that are sent.
type recordingTransport struct {
	packets chan []byte
	streams chan net.Conn
}

var _ memberlist.NodeAwareTransport = (*recordingTransport)(nil)

func (r *recordingTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1), 7101, nil
}

func (r *recordingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return r.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (r *recordingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	r.packets <- append([]byte(a.Name+"@"+a.Addr+" "), b...)
	return time.Now(), nil
}

func (r *recordingTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return r.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (r *recordingTransport) DialAddressTimeout(memberlist.Address, time.Duration) (net.Conn, error) {
	here, there := net.Pipe()
	r.streams <- there
	return here, nil
}

func (r *recordingTransport) PacketCh() <-chan *memberlist.Packet { return nil }
func (r *recordingTransport) StreamCh() <-chan net.Conn           { return nil }
func (r *recordingTransport) Shutdown() error                     { return nil }

func newRecordingList(t *testing.T) (*memberlist.Memberlist, *recordingTransport) {
	r := &recordingTransport{packets: make(chan []byte, 16), streams: make(chan net.Conn, 1)}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.LogOutput, c.EnableCompression = "n1", r, io.Discard, false
	list, err := memberlist.Create(c)
	require.NoError(t, err)
	t.Cleanup(func() { _ = list.Shutdown() })
	return list, r
}

// The encoding of both kinds of messages does not change, neither as datagrams nor as a stream, and can be
// decoded.
func TestGoldenMessages(t *testing.T) {
	list, r := newRecordingList(t)
	var received [][]byte
	g := &Gossip{options: Options{
		Self: goldenInfo(Serving), Peers: map[string]string{"n2": "127.0.0.1:7102"}, Clock: clock.System(),
		OnMessage: func(b []byte) { received = append(received, b) },
	}, list: list, table: NewTable(goldenInfo(Serving), 8, 1)}

	other := goldenInfo(Draining)
	other.Name, other.Address, other.Incarnation, other.StartedAt = "n1", "127.0.0.1:7199", 0xfedcba9876543210, 1767225600999
	sendNameConflict(list, goldenInfo(Serving), other)
	stored := compareWithGolden(t, "message_name_conflict.bin", <-r.packets)
	_, body, found := bytes.Cut(stored, []byte("@127.0.0.1:7101 \x08"))
	require.True(t, found, "a user message of memberlist, sent to the address that the incarnation reports")
	(*delegate)(g).NotifyMsg(body)
	require.Zero(t, g.malformedMessages.Load())
	require.Len(t, g.table.NameConflicts(), 1)
	require.Equal(t, []Info{goldenInfo(Serving), other}, []Info{g.table.NameConflicts()[0].Holder, g.table.NameConflicts()[0].Rejected})
	sendNameConflict(list, g.table.NameConflicts()[0].Holder, g.table.NameConflicts()[0].Rejected)
	require.Equal(t, stored, <-r.packets, "encoding a decoded message yields the same bytes")

	payload := []byte("a message of the agreement\x00\xff")
	g.Send("n2", payload)
	stored = compareWithGolden(t, "message_payload.bin", <-r.packets)
	_, body, found = bytes.Cut(stored, []byte("n2@127.0.0.1:7102 \x08"))
	require.True(t, found)
	(*delegate)(g).NotifyMsg(body)
	require.Equal(t, [][]byte{payload}, received)

	long := bytes.Repeat(payload, 100)
	g.Send("n2", long)
	c := <-r.streams
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	stored = compareWithGolden(t, "message_payload_stream.bin", b)
	(*delegate)(g).NotifyMsg(stored[len(stored)-len(long)-1:])
	require.Equal(t, [][]byte{payload, long}, received)
	require.Zero(t, g.malformedMessages.Load())
}

// The JSON keys of View and Change, which operators and traces use, do not change.
func TestGoldenView(t *testing.T) {
	self, holder, other := goldenInfo(Serving), goldenInfo(Starting), goldenInfo(Suspect)
	view := View{
		Self: self, NameHolder: &holder, Members: []Member{{Info: other, Since: 17}},
		NameConflicts: []NameConflict{{Name: "n1", Holder: holder, Rejected: self, LastSeen: 18, notifiedAt: 19}}, ConvergenceMillis: ConvergenceBoundMillis(3, time.Second), Formats: [2]int{2, 3},
		Incompatible: []string{"n4"}, Counters: map[string]int64{"garbage": 1, "foreign": 2, "joins": 3, "calls": 4},
	}
	b, err := json.MarshalIndent(view, "", "\t")
	require.NoError(t, err)
	stored := compareWithGolden(t, "view.json", b)
	var read View
	require.NoError(t, json.Unmarshal(stored, &read))
	again, err := json.MarshalIndent(read, "", "\t")
	require.NoError(t, err)
	require.Equal(t, string(stored), string(again))

	b, err = json.Marshal([]Change{{At: 5, Name: "n2", From: Serving, To: Dead, PreviousIncarnation: 6, Incarnation: 7}})
	require.NoError(t, err)
	stored = compareWithGolden(t, "changes.json", b)
	var changes []Change
	require.NoError(t, json.Unmarshal(stored, &changes))
	b, err = json.Marshal(changes)
	require.NoError(t, err)
	require.Equal(t, string(stored), string(b))
}

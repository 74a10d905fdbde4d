package transport

import (
	"encoding/json"
	"flag"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

// recordingReceiver records what a transport delivers.
type recordingReceiver struct {
	packets chan []byte
	streams chan net.Conn
}

func (r *recordingReceiver) HandlePacket(b []byte, _ net.Addr, _ time.Time) bool {
	r.packets <- append([]byte{}, b...)
	return true
}

func (r *recordingReceiver) HandleStream(c net.Conn) bool {
	r.streams <- c
	return true
}

// A datagram and a stream carry the bytes that they are given and nothing else: no length, header or trailer.
func TestGoldenFrames(t *testing.T) {
	const datagram, stream = "a datagram \x00\x01\xfe\xff", "the first bytes of a stream \x00\x01\xfe\xff"
	to := &recordingReceiver{make(chan []byte, 4), make(chan net.Conn, 4)}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", tcp.Addr().String())
	require.NoError(t, err)
	defer func() { _ = udp.Close() }()
	tr, err := Listen("127.0.0.1:0", map[string]string{"n2": tcp.Addr().String()}, to)
	require.NoError(t, err)
	defer tr.Close()

	require.NoError(t, tr.Send("n2", "127.0.0.1:1", []byte(datagram)))
	b := make([]byte, 100)
	require.NoError(t, udp.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, _, err := udp.ReadFrom(b)
	require.NoError(t, err)
	stored := compareWithGolden(t, "datagram.bin", b[:n])
	_, err = udp.WriteTo(stored, net.UDPAddrFromAddrPort(tr.Address().AddrPort()))
	require.NoError(t, err)
	require.Equal(t, datagram, string(<-to.packets))

	out, err := tr.Dial("n2", "127.0.0.1:1", 5*time.Second)
	require.NoError(t, err)
	in, err := tcp.Accept()
	require.NoError(t, err)
	defer in.Close()
	_, err = out.Write([]byte(stream))
	require.NoError(t, err)
	require.NoError(t, out.Close())
	b, err = io.ReadAll(in)
	require.NoError(t, err)
	stored = compareWithGolden(t, "stream.bin", b)
	back, err := net.Dial("tcp", tr.Address().String())
	require.NoError(t, err)
	_, err = back.Write(stored)
	require.NoError(t, err)
	require.NoError(t, back.Close())
	b, err = io.ReadAll(<-to.streams)
	require.NoError(t, err)
	require.Equal(t, stream, string(b))
}

// The names of the counters in the admin JSON do not change.
func TestGoldenCounters(t *testing.T) {
	var c Counters
	for i, counter := range []*atomic.Int64{
		&c.Packets, &c.PacketBytes, &c.Sent, &c.SentBytes, &c.Streams, &c.StreamBytes, &c.Dialed, &c.Oversized, &c.Duplicates,
		&c.QueueFull, &c.StreamsRejected, &c.Unreachable,
	} {
		counter.Store(int64(i + 1))
	}
	b, err := json.MarshalIndent(c.Snapshot(), "", "\t")
	require.NoError(t, err)
	compareWithGolden(t, "counters.json", b)
}

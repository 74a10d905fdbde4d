package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/remedy"
)

const testTimeout = 5 * time.Second

func listen(t *testing.T, peers map[string]string) (*Transport, *recordingReceiver) {
	receiver := &recordingReceiver{make(chan []byte, 100), make(chan net.Conn, 100)}
	tr, err := Listen("127.0.0.1:0", peers, receiver)
	require.NoError(t, err)
	t.Cleanup(tr.Close)
	return tr, receiver
}

func TestListenErrors(t *testing.T) {
	tr, _ := listen(t, nil)
	_, err := Listen(tr.Address().String(), nil, &recordingReceiver{})
	var failed *ListenError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, tr.Address().String(), failed.Address)
	require.ErrorContains(t, err, "address already in use")
	require.Equal(t, "cluster_listen", remedy.Find(err).Code())
	_, err = Listen("nowhere", nil, &recordingReceiver{})
	require.ErrorAs(t, err, &failed)
}

// Duplicate datagrams and datagrams that are too long are dropped and counted.
func TestDatagramsAreFiltered(t *testing.T) {
	to, receiver := listen(t, nil)
	from, _ := listen(t, map[string]string{"n1": to.Address().String()})
	for _, b := range [][]byte{[]byte("one"), []byte("one"), make([]byte, maxPacketBytes+1), []byte("two")} {
		require.NoError(t, from.Send("n1", "127.0.0.1:1", b))
	}
	require.Equal(t, "one", string(<-receiver.packets))
	require.Equal(t, "two", string(<-receiver.packets))
	require.Equal(t, []int64{4, 1, 1}, []int64{to.Counters.Packets.Load(), to.Counters.Duplicates.Load(), to.Counters.Oversized.Load()})
	require.Error(t, from.Send("unknown", "no address", nil))
	require.Equal(t, int64(1), from.Counters.Unreachable.Load())
}

func TestDuplicateFilterForgetsTheOldest(t *testing.T) {
	f := newDuplicateFilter(2)
	require.False(t, f.seen([]byte("a")))
	require.True(t, f.seen([]byte("a")))
	require.False(t, f.seen([]byte("b")))
	require.False(t, f.seen([]byte("c")))
	require.False(t, f.seen([]byte("a")), "the hash has left the window")
	require.True(t, f.seen([]byte("c")))
}

// A stream is closed when more than maxStreamBytes are read from it.
func TestStreamsAreBounded(t *testing.T) {
	to, receiver := listen(t, nil)
	from, _ := listen(t, nil)
	out, err := from.Dial("n1", to.Address().String(), testTimeout)
	require.NoError(t, err)
	in := <-receiver.streams
	go func() { _, _ = out.Write(make([]byte, maxStreamBytes+1)) }()
	n, err := io.Copy(io.Discard, in)
	require.Equal(t, int64(maxStreamBytes), n)
	var tooLong *StreamTooLongError
	require.ErrorAs(t, err, &tooLong)
	require.Equal(t, int64(1), to.Counters.Oversized.Load())
	require.Zero(t, to.openStreams.Load(), "the stream is closed")
}

// Close aborts dials and closes dialed streams, so that no goroutine that uses one blocks after the transport
// is closed.
func TestCloseEndsDialedStreams(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	tr, _ := listen(t, nil)
	c, err := tr.Dial("n1", silent.Addr().String(), testTimeout)
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	tr.Close()
	select {
	case err := <-ended:
		require.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(testTimeout):
		t.Fatal("the stream is still open after the transport is closed")
	}
	require.Zero(t, tr.openStreams.Load())
	_, err = tr.Dial("n1", silent.Addr().String(), testTimeout)
	require.Error(t, err)
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout())
}

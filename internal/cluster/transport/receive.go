package transport

import (
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPacketBytes is the longest datagram that is accepted. Members send at most 1,400 bytes, to stay
	// below the usual path MTU.
	maxPacketBytes = 2048
	// maxOpenStreams is the number of open streams, accepted and dialed, from which on no more are accepted.
	// Each stream carries one message or one exchange of the complete state.
	maxOpenStreams = 64
	// duplicateWindow is how many datagrams are remembered to detect duplicates. At 1,000 datagrams a second
	// they cover four seconds; the content of a later duplicate is stale, so that accepting it does no harm.
	duplicateWindow = 4096
	// readErrorDelay is the pause after an error of a socket. It prevents a busy loop on a persistent error.
	readErrorDelay = 5 * time.Millisecond
)

// readPackets passes datagrams to the receiver until the socket is closed.
func (t *Transport) readPackets() {
	buffer := make([]byte, maxPacketBytes+1)
	for {
		n, from, err := t.udp.ReadFrom(buffer)
		if err != nil {
			if t.stopAfterError(err) {
				return
			}
			continue
		}
		t.Counters.Packets.Add(1)
		t.Counters.PacketBytes.Add(int64(n))
		switch {
		case n > maxPacketBytes:
			t.Counters.Oversized.Add(1)
		case n == 0:
		case t.duplicates.seen(buffer[:n]):
			t.Counters.Duplicates.Add(1)
		case !t.receiver.HandlePacket(buffer[:n], from, time.Now()):
			t.Counters.QueueFull.Add(1)
		}
	}
}

// acceptStreams passes streams to the receiver until the socket is closed.
func (t *Transport) acceptStreams() {
	for {
		c, err := t.tcp.AcceptTCP()
		if err != nil {
			if t.stopAfterError(err) {
				return
			}
			continue
		}
		if t.openStreams.Load() >= maxOpenStreams {
			t.Counters.StreamsRejected.Add(1)
			_ = c.Close()
			continue
		}
		t.Counters.Streams.Add(1)
		s := t.newStream(c)
		if !t.receiver.HandleStream(s) {
			t.Counters.StreamsRejected.Add(1)
			_ = s.Close()
		}
	}
}

// stopAfterError reports whether a reader has to stop after an error, because the transport or its socket is
// closed. It waits for readErrorDelay, unless the transport is closed.
func (t *Transport) stopAfterError(err error) bool {
	select {
	case <-t.ctx.Done():
		return true
	case <-time.After(readErrorDelay):
		return errors.Is(err, net.ErrClosed)
	}
}

// duplicateFilter remembers the hashes of the latest datagrams. Each datagram is encrypted with its own
// nonce, so equal bytes are a duplicate. Only the goroutine that reads datagrams uses it.
type duplicateFilter struct {
	hashes map[uint64]struct{}
	ring   []uint64 // the same hashes in order of arrival
	next   int      // position of the oldest hash in ring
}

func newDuplicateFilter(window int) *duplicateFilter {
	return &duplicateFilter{hashes: make(map[uint64]struct{}, window), ring: make([]uint64, window)}
}

// seen reports whether the same bytes were received before, and remembers them.
func (f *duplicateFilter) seen(b []byte) bool {
	hash := xxhash.Sum64(b)
	if _, ok := f.hashes[hash]; ok {
		return true
	}
	delete(f.hashes, f.ring[f.next])
	f.ring[f.next] = hash
	f.hashes[hash] = struct{}{}
	f.next = (f.next + 1) % len(f.ring)
	return false
}

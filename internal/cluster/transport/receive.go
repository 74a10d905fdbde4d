package transport

import (
	"errors"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPacketBytes is the longest datagram that is accepted. Members send at most 1,400 bytes, the limit of a usual
	// path.
	maxPacketBytes = 2048
	// maxOpenStreams is how many streams may be open when another one is accepted. Each carries one message or exchange.
	maxOpenStreams = 64
	// duplicateWindow is how many datagrams are remembered to detect duplicates. At 1,000 datagrams a second that is
	// four seconds; a later duplicate is stale by its content.
	duplicateWindow = 4096
	// readErrorDelay keeps a reader from spinning on an error that lasts.
	readErrorDelay = 5 * time.Millisecond
)

// readPackets passes datagrams to the receiver until the socket is closed.
func (t *Transport) readPackets() {
	buffer := make([]byte, maxPacketBytes+1)
	for {
		n, from, err := t.udp.ReadFrom(buffer)
		if err != nil {
			if t.isClosed(err) {
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
			if t.isClosed(err) {
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

// isClosed tells whether a reader has to end after an error. Other errors pass, after a delay.
func (t *Transport) isClosed(err error) bool {
	select {
	case <-t.ctx.Done():
		return true
	case <-time.After(readErrorDelay):
		return errors.Is(err, net.ErrClosed)
	}
}

// duplicateFilter remembers the hashes of the latest datagrams. Each datagram is encrypted with a nonce of its own, so
// equal bytes are a duplicate. It belongs to the goroutine that reads datagrams.
type duplicateFilter struct {
	hashes map[uint64]struct{}
	ring   []uint64 // the same hashes in order of arrival
	next   int      // position of the oldest hash in ring
}

func newDuplicateFilter(window int) *duplicateFilter {
	return &duplicateFilter{hashes: make(map[uint64]struct{}, window), ring: make([]uint64, window)}
}

// seen tells whether the same bytes came before, and remembers them.
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

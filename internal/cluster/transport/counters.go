package transport

import "sync/atomic"

// Counters count what arrived, what was sent and what was dropped.
type Counters struct {
	Packets     atomic.Int64 // datagrams received
	PacketBytes atomic.Int64
	Sent        atomic.Int64 // datagrams
	SentBytes   atomic.Int64
	Streams     atomic.Int64 // accepted
	StreamBytes atomic.Int64 // read
	Dialed      atomic.Int64 // streams

	Oversized       atomic.Int64 // datagrams and streams that were too long
	Duplicates      atomic.Int64 // datagrams that came twice
	QueueFull       atomic.Int64 // datagrams that the receiver had no room for
	StreamsRejected atomic.Int64 // too many were open, or the receiver had no room
	Unreachable     atomic.Int64 // sends and dials that failed at once
}

// Snapshot returns the counters by the names that the admin JSON gives them.
func (c *Counters) Snapshot() map[string]int64 {
	return map[string]int64{
		"packets":      c.Packets.Load(),
		"packet_bytes": c.PacketBytes.Load(),
		"sent":         c.Sent.Load(),
		"sent_bytes":   c.SentBytes.Load(),
		"streams":      c.Streams.Load(),
		"stream_bytes": c.StreamBytes.Load(),
		"dialed":       c.Dialed.Load(),
		"huge":         c.Oversized.Load(),
		"twice":        c.Duplicates.Load(),
		"overrun":      c.QueueFull.Load(),
		"busy":         c.StreamsRejected.Load(),
		"unreached":    c.Unreachable.Load(),
	}
}

package transport

import "sync/atomic"

// Counters count the datagrams and streams that were received, sent and dropped.
type Counters struct {
	Packets     atomic.Int64 // datagrams received
	PacketBytes atomic.Int64
	Sent        atomic.Int64 // datagrams sent
	SentBytes   atomic.Int64
	Streams     atomic.Int64 // streams accepted
	StreamBytes atomic.Int64 // bytes read from streams
	Dialed      atomic.Int64 // streams dialed

	Oversized       atomic.Int64 // datagrams and streams that were too long
	Duplicates      atomic.Int64 // datagrams dropped as duplicates
	QueueFull       atomic.Int64 // datagrams dropped because the receiver's queue was full
	StreamsRejected atomic.Int64 // streams closed because too many were open or the receiver's queue was full
	Unreachable     atomic.Int64 // sends and dials that failed
}

// Snapshot returns the counters by their names in the admin JSON.
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

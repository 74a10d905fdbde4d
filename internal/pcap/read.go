// Package pcap converts capture files to conversations and back. It reads pcap and pcapng and reassembles TCP streams, whose
// content it does not interpret. It captures nothing.
package pcap

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/google/gopacket/pcapgo"
	"github.com/google/gopacket/reassembly"
)

// Segment is what one side sent at one time.
type Segment struct {
	At         time.Time
	FromClient bool
	Data       []byte
}

// Conversation is one TCP connection.
type Conversation struct {
	Client, Server netip.AddrPort
	Segments       []Segment
}

// Bounds in bytes: a capture that holds more is rejected, not read in part.
const (
	maxFile   = 256 << 20
	maxPacket = 256 << 10
	maxData   = 64 << 20 // payload of all conversations
	maxPages  = 1 << 12  // payload that waits for a gap to be filled, in pages of 1900 bytes
)

// What the formats have in their headers.
const (
	ngSectionHeader  = 0x0a0d0d0a // type of a block, the same in both byte orders
	ngByteOrderMagic = 0x1a2b3c4d
	ngObsoletePacket = 2 // types of blocks that hold a packet
	ngSimplePacket   = 3
	ngEnhancedPacket = 6

	classicMagic      = 0xa1b2c3d4
	classicNanosMagic = 0xa1b23c4d
	classicHeader     = 24 // bytes
	classicPacket     = 16 // bytes before a packet's data
)

var byteOrder = binary.BigEndian

// source is the interface that both readers of the library share.
type source interface {
	gopacket.PacketDataSource
	LinkType() layers.LinkType
}

func open(r io.Reader) (source, error) {
	file, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	switch {
	case err != nil:
		return nil, err
	case len(file) > maxFile:
		return nil, fmt.Errorf("the file has over %d bytes", maxFile)
	case len(file) < 4:
		return nil, errors.New("the file is too short for a capture")
	}
	if byteOrder.Uint32(file) == ngSectionHeader {
		if err := checkNg(file); err != nil {
			return nil, err
		}
		return pcapgo.NewNgReader(bytes.NewReader(file), pcapgo.DefaultNgReaderOptions)
	}
	if err := checkClassic(file); err != nil {
		return nil, err
	}
	return pcapgo.NewReader(bytes.NewReader(file))
}

// checkClassic checks the lengths of packets before the library does, which allocates whatever length a file claims: gigabytes
// for a file of a few bytes.
func checkClassic(b []byte) error {
	order := binary.ByteOrder(binary.LittleEndian)
	if m := byteOrder.Uint32(b); m == classicMagic || m == classicNanosMagic {
		order = byteOrder
	}
	for at, n := classicHeader, 1; at+classicPacket <= len(b); n++ {
		length := order.Uint32(b[at+8:])
		if length > maxPacket {
			return fmt.Errorf("packet %d claims %d bytes", n, length)
		}
		at += classicPacket + int(length)
	}
	return nil
}

// checkNg does the same for pcapng.
func checkNg(b []byte) error {
	order := binary.ByteOrder(binary.LittleEndian)
	for at, n := 0, 1; at+12 <= len(b); n++ {
		if byteOrder.Uint32(b[at:]) == ngSectionHeader { // each section has a byte order of its own
			if order = binary.LittleEndian; byteOrder.Uint32(b[at+8:]) == ngByteOrderMagic {
				order = byteOrder
			}
		}
		kind, length := order.Uint32(b[at:]), int(order.Uint32(b[at+4:]))
		if length < 12 || length%4 != 0 || length > len(b)-at {
			return fmt.Errorf("block %d claims %d bytes", n, length)
		}
		if (kind == ngEnhancedPacket || kind == ngObsoletePacket) && (length < 32 || int(order.Uint32(b[at+20:])) > length-32) {
			return fmt.Errorf("block %d claims a packet longer than itself", n)
		}
		if kind == ngSimplePacket && (length < 16 || order.Uint32(b[at+8:]) > maxPacket) {
			return fmt.Errorf("block %d claims a packet that is too long", n)
		}
		at += length
	}
	return nil
}

// Read returns the conversations of a capture in the order in which they begin.
func Read(r io.Reader) (cs []*Conversation, err error) {
	defer func() { // the library trusts some lengths of its input
		if p := recover(); p != nil {
			cs, err = nil, fmt.Errorf("the capture can't be read: %v", p)
		}
	}()
	src, err := open(r)
	if err != nil {
		return nil, fmt.Errorf("no capture: %w", err)
	}
	f, err := assemble(src)
	if err != nil {
		return nil, err
	}
	for _, s := range f.streams {
		if len(s.Segments) > 0 { // the last acknowledgement of a connection that has ended looks like a new one
			cs = append(cs, &s.Conversation)
		}
	}
	return cs, nil
}

// assemble reassembles the TCP streams of a capture; what is no TCP is skipped.
func assemble(src source) (*factory, error) {
	f := &factory{}
	assembler := reassembly.NewAssembler(reassembly.NewStreamPool(f))
	assembler.MaxBufferedPagesTotal, assembler.MaxBufferedPagesPerConnection = maxPages, maxPages
	for n := 1; ; n++ {
		data, info, err := src.ReadPacketData()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, fmt.Errorf("packet %d: %w", n, err)
		}
		p := gopacket.NewPacket(data, src.LinkType(), gopacket.DecodeOptions{Lazy: true, NoCopy: true})
		network := p.NetworkLayer()
		tcp, ok := p.Layer(layers.LayerTypeTCP).(*layers.TCP)
		if network == nil || !ok {
			continue // other traffic is of no interest
		}
		if info.CaptureLength < info.Length {
			return nil, fmt.Errorf("packet %d: only %d of its %d bytes were captured", n, info.CaptureLength, info.Length)
		}
		at := moment(info)
		assembler.AssembleWithContext(network.NetworkFlow(), tcp, &at)
		if f.err != nil {
			return nil, fmt.Errorf("packet %d: %w", n, f.err)
		}
	}
	assembler.FlushAll()
	return f, f.err
}

// moment is the time and length of a packet, as the assembler passes it on.
type moment gopacket.CaptureInfo

func (m *moment) GetCaptureInfo() gopacket.CaptureInfo { return gopacket.CaptureInfo(*m) }

// factory collects the streams. It implements reassembly.StreamFactory.
type factory struct {
	streams []*stream
	size    int
	err     error // the first
}

// New implements reassembly.StreamFactory: it is called for the first packet of a connection.
func (f *factory) New(network, transport gopacket.Flow, tcp *layers.TCP, _ reassembly.AssemblerContext) reassembly.Stream {
	end := func(host, port gopacket.Endpoint) netip.AddrPort {
		a, _ := netip.AddrFromSlice(host.Raw())
		return netip.AddrPortFrom(a, byteOrder.Uint16(port.Raw()))
	}
	s := &stream{factory: f, Conversation: Conversation{Client: end(network.Src(), transport.Src()), Server: end(network.Dst(), transport.Dst())}}
	if tcp.SYN && tcp.ACK { // the capture began after the client's first packet
		s.Client, s.Server, s.reversed = s.Server, s.Client, true
	}
	f.streams = append(f.streams, s)
	return s
}

// stream is a conversation that is being reassembled. It implements reassembly.Stream.
type stream struct {
	Conversation
	factory  *factory
	reversed bool // the first packet that was captured is the server's
}

// Accept implements reassembly.Stream. A connection that was open when the capture began is accepted, too.
func (s *stream) Accept(_ *layers.TCP, _ gopacket.CaptureInfo, _ reassembly.TCPFlowDirection, _ reassembly.Sequence, start *bool, _ reassembly.AssemblerContext) bool {
	*start = true
	return true
}

// ReassembledSG implements reassembly.Stream: it is called with the next data of one direction.
func (s *stream) ReassembledSG(sg reassembly.ScatterGather, _ reassembly.AssemblerContext) {
	n, _ := sg.Lengths()
	dir, _, _, skip := sg.Info()
	if skip > 0 && s.factory.err == nil { // to go on after a gap would be to invent data
		s.factory.err = fmt.Errorf("%d bytes between %v and %v are missing from the capture", skip, s.Client, s.Server)
	}
	if n == 0 {
		return
	}
	if s.factory.size += n; s.factory.size > maxData && s.factory.err == nil {
		s.factory.err = fmt.Errorf("the capture holds over %d bytes of payload", maxData)
	}
	if s.factory.err != nil {
		return
	}
	p := Segment{
		At: sg.CaptureInfo(0).Timestamp.UTC(), FromClient: (dir == reassembly.TCPDirClientToServer) != s.reversed,
		Data: append([]byte{}, sg.Fetch(n)...),
	}
	if k := len(s.Segments) - 1; k >= 0 && s.Segments[k].FromClient == p.FromClient && s.Segments[k].At.Equal(p.At) {
		s.Segments[k].Data = append(s.Segments[k].Data, p.Data...) // one segment, sent in several packets
		return
	}
	s.Segments = append(s.Segments, p)
}

// ReassemblyComplete implements reassembly.Stream.
func (s *stream) ReassemblyComplete(reassembly.AssemblerContext) bool { return true }

// Package pcap turns capture files into conversations and back. It reads pcap and pcapng, puts TCP streams
// together, and knows nothing of what they say. It captures nothing.
package pcap

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/google/gopacket/pcapgo"
	"github.com/google/gopacket/reassembly"
)

// Segment is what one side sent at one moment.
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

// Bounds: a capture that holds more is refused, not half read.
const (
	maxFile   = 256 << 20
	maxPacket = 256 << 10
	maxData   = 64 << 20 // payload of all conversations
	maxPages  = 1 << 12  // payload that waits for a gap to be filled, in pages of 1900 bytes
	segment   = 1400     // payload of a packet that is written
)

var byteOrder = binary.BigEndian

// source is what both readers of the library have in common.
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
	if byteOrder.Uint32(file) == 0x0a0d0d0a {
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

// checkClassic and checkNg walk the packets' lengths before the library does: it makes room for whatever
// length a file claims, gigabytes of it in a file of a few bytes.
func checkClassic(b []byte) error {
	order := binary.ByteOrder(binary.LittleEndian)
	if m := byteOrder.Uint32(b); m == 0xa1b2c3d4 || m == 0xa1b23c4d {
		order = byteOrder
	}
	for at, n := 24, 1; at+16 <= len(b); n++ {
		length := order.Uint32(b[at+8:])
		if length > maxPacket {
			return fmt.Errorf("packet %d claims %d bytes", n, length)
		}
		at += 16 + int(length)
	}
	return nil
}

func checkNg(b []byte) error {
	order := binary.ByteOrder(binary.LittleEndian)
	for at, n := 0, 1; at+12 <= len(b); n++ {
		if byteOrder.Uint32(b[at:]) == 0x0a0d0d0a { // a section says in which order it is written
			if order = binary.LittleEndian; byteOrder.Uint32(b[at+8:]) == 0x1a2b3c4d {
				order = byteOrder
			}
		}
		kind, length := order.Uint32(b[at:]), int(order.Uint32(b[at+4:]))
		if length < 12 || length%4 != 0 || length > len(b)-at {
			return fmt.Errorf("block %d claims %d bytes", n, length)
		}
		if (kind == 6 || kind == 2) && (length < 32 || int(order.Uint32(b[at+20:])) > length-32) {
			return fmt.Errorf("block %d claims a packet longer than itself", n)
		}
		if kind == 3 && (length < 16 || order.Uint32(b[at+8:]) > maxPacket) {
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
		if f.fault != nil {
			return nil, fmt.Errorf("packet %d: %w", n, f.fault)
		}
	}
	assembler.FlushAll()
	if f.fault != nil {
		return nil, f.fault
	}
	for _, s := range f.streams {
		if len(s.Segments) > 0 { // the last acknowledgement of a connection that has ended looks like a new one
			cs = append(cs, &s.Conversation)
		}
	}
	return cs, nil
}

type moment gopacket.CaptureInfo

func (m *moment) GetCaptureInfo() gopacket.CaptureInfo { return gopacket.CaptureInfo(*m) }

// factory gathers the streams.
type factory struct {
	streams []*stream
	size    int
	fault   error
}

// New is called for the first packet of a connection.
func (f *factory) New(network, transport gopacket.Flow, tcp *layers.TCP, _ reassembly.AssemblerContext) reassembly.Stream {
	end := func(host, port gopacket.Endpoint) netip.AddrPort {
		a, _ := netip.AddrFromSlice(host.Raw())
		return netip.AddrPortFrom(a, byteOrder.Uint16(port.Raw()))
	}
	s := &stream{factory: f, Conversation: Conversation{Client: end(network.Src(), transport.Src()), Server: end(network.Dst(), transport.Dst())}}
	if tcp.SYN && tcp.ACK { // the capture began after the client's first packet
		s.Client, s.Server, s.turned = s.Server, s.Client, true
	}
	f.streams = append(f.streams, s)
	return s
}

type stream struct {
	Conversation
	factory *factory
	turned  bool
}

// Accept takes a connection that was under way when the capture began, too.
func (s *stream) Accept(_ *layers.TCP, _ gopacket.CaptureInfo, _ reassembly.TCPFlowDirection, _ reassembly.Sequence, start *bool, _ reassembly.AssemblerContext) bool {
	*start = true
	return true
}

// ReassembledSG is called with what is next in one direction.
func (s *stream) ReassembledSG(sg reassembly.ScatterGather, _ reassembly.AssemblerContext) {
	n, _ := sg.Lengths()
	dir, _, _, skip := sg.Info()
	if skip > 0 && s.factory.fault == nil { // to go on behind a gap would be to make up what was said
		s.factory.fault = fmt.Errorf("%d bytes between %v and %v are missing from the capture", skip, s.Client, s.Server)
	}
	if n == 0 {
		return
	}
	if s.factory.size += n; s.factory.size > maxData && s.factory.fault == nil {
		s.factory.fault = fmt.Errorf("the capture holds over %d bytes of payload", maxData)
	}
	if s.factory.fault != nil {
		return
	}
	p := Segment{
		At: sg.CaptureInfo(0).Timestamp.UTC(), FromClient: (dir == reassembly.TCPDirClientToServer) != s.turned,
		Data: append([]byte{}, sg.Fetch(n)...),
	}
	if k := len(s.Segments) - 1; k >= 0 && s.Segments[k].FromClient == p.FromClient && s.Segments[k].At.Equal(p.At) {
		s.Segments[k].Data = append(s.Segments[k].Data, p.Data...) // one piece, cut into packets
		return
	}
	s.Segments = append(s.Segments, p)
}

// ReassemblyComplete is called when both sides have closed.
func (s *stream) ReassemblyComplete(reassembly.AssemblerContext) bool { return true }

// packet is one that is to be written.
type packet struct {
	at   time.Time
	data []byte
}

// Write writes conversations as pcapng, each with its handshake and its end, such that Read gives them back.
func Write(w io.Writer, cs []*Conversation) error {
	var ps []packet
	for _, c := range cs {
		more, err := c.packets()
		if err != nil {
			return err
		}
		ps = append(ps, more...)
	}
	slices.SortStableFunc(ps, func(a, b packet) int { return a.at.Compare(b.at) })
	ng, err := pcapgo.NewNgWriter(w, layers.LinkTypeEthernet)
	if err != nil {
		return err
	}
	for _, p := range ps {
		info := gopacket.CaptureInfo{Timestamp: p.at, CaptureLength: len(p.data), Length: len(p.data)}
		if err := ng.WritePacket(info, p.data); err != nil {
			return err
		}
	}
	return ng.Flush()
}

func (c *Conversation) packets() (ps []packet, err error) {
	if len(c.Segments) == 0 {
		return nil, nil
	}
	if c.Client.Addr().Is4() != c.Server.Addr().Is4() {
		return nil, fmt.Errorf("%v and %v are of different families", c.Client, c.Server)
	}
	next := map[bool]uint32{true: 1000, false: 5000} // sequence numbers, by FromClient
	put := func(at time.Time, fromClient bool, tcp layers.TCP, data []byte) {
		from, to := c.Client, c.Server
		if !fromClient {
			from, to = to, from
		}
		tcp.SrcPort, tcp.DstPort = layers.TCPPort(from.Port()), layers.TCPPort(to.Port())
		tcp.Seq, tcp.Ack, tcp.Window = next[fromClient], next[!fromClient], 65535
		if tcp.SYN && !tcp.ACK {
			tcp.Ack = 0
		}
		out := gopacket.NewSerializeBuffer()
		opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
		mac := net.HardwareAddr{2, 0, 0, 0, 0, 1}
		var e error
		if from.Addr().Is4() {
			ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
			e = cmp.Or(tcp.SetNetworkLayerForChecksum(ip), gopacket.SerializeLayers(out, opts,
				&layers.Ethernet{SrcMAC: mac, DstMAC: mac, EthernetType: layers.EthernetTypeIPv4}, ip, &tcp, gopacket.Payload(data)))
		} else {
			ip := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
			e = cmp.Or(tcp.SetNetworkLayerForChecksum(ip), gopacket.SerializeLayers(out, opts,
				&layers.Ethernet{SrcMAC: mac, DstMAC: mac, EthernetType: layers.EthernetTypeIPv6}, ip, &tcp, gopacket.Payload(data)))
		}
		err = cmp.Or(err, e)
		if next[fromClient] += uint32(len(data)); tcp.SYN || tcp.FIN {
			next[fromClient]++
		}
		ps = append(ps, packet{at, slices.Clone(out.Bytes())})
	}
	first, last := c.Segments[0].At, c.Segments[len(c.Segments)-1].At
	put(first, true, layers.TCP{SYN: true}, nil)
	put(first, false, layers.TCP{SYN: true, ACK: true}, nil)
	put(first, true, layers.TCP{ACK: true}, nil)
	for _, p := range c.Segments {
		for data := range slices.Chunk(p.Data, segment) {
			put(p.At, p.FromClient, layers.TCP{ACK: true, PSH: true}, data)
		}
	}
	put(last, true, layers.TCP{ACK: true, FIN: true}, nil)
	put(last, false, layers.TCP{ACK: true, FIN: true}, nil)
	put(last, true, layers.TCP{ACK: true}, nil)
	return ps, err
}

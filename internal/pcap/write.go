package pcap

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/google/gopacket/pcapgo"
)

// What written packets have in their headers.
const (
	segmentBytes   = 1400 // payload of a packet
	clientSequence = 1000 // number of the first byte
	serverSequence = 5000
	windowBytes    = 65535
	hopLimit       = 64
)

// macAddress is both sides' of written packets.
var macAddress = net.HardwareAddr{2, 0, 0, 0, 0, 1}

// packet is one that is to be written.
type packet struct {
	at   time.Time
	data []byte
}

// Write writes conversations as pcapng, each with its handshake and its end, such that Read returns them again.
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

// packetizer makes the packets of a conversation.
type packetizer struct {
	conversation *Conversation
	sequence     map[bool]uint32 // next numbers, by FromClient
	packets      []packet
	err          error // the first
}

func (c *Conversation) packets() ([]packet, error) {
	if len(c.Segments) == 0 {
		return nil, nil
	}
	if c.Client.Addr().Is4() != c.Server.Addr().Is4() {
		return nil, fmt.Errorf("%v and %v are of different families", c.Client, c.Server)
	}
	p := packetizer{conversation: c, sequence: map[bool]uint32{true: clientSequence, false: serverSequence}}
	first, last := c.Segments[0].At, c.Segments[len(c.Segments)-1].At
	p.add(first, true, layers.TCP{SYN: true}, nil)
	p.add(first, false, layers.TCP{SYN: true, ACK: true}, nil)
	p.add(first, true, layers.TCP{ACK: true}, nil)
	for _, s := range c.Segments {
		for data := range slices.Chunk(s.Data, segmentBytes) {
			p.add(s.At, s.FromClient, layers.TCP{ACK: true, PSH: true}, data)
		}
	}
	p.add(last, true, layers.TCP{ACK: true, FIN: true}, nil)
	p.add(last, false, layers.TCP{ACK: true, FIN: true}, nil)
	p.add(last, true, layers.TCP{ACK: true}, nil)
	return p.packets, p.err
}

// add appends a packet with the flags of tcp.
func (p *packetizer) add(at time.Time, fromClient bool, tcp layers.TCP, data []byte) {
	from, to := p.conversation.Client, p.conversation.Server
	if !fromClient {
		from, to = to, from
	}
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(from.Port()), layers.TCPPort(to.Port())
	tcp.Seq, tcp.Ack, tcp.Window = p.sequence[fromClient], p.sequence[!fromClient], windowBytes
	if tcp.SYN && !tcp.ACK {
		tcp.Ack = 0
	}
	ethernet := &layers.Ethernet{SrcMAC: macAddress, DstMAC: macAddress, EthernetType: layers.EthernetTypeIPv6}
	var network interface {
		gopacket.NetworkLayer
		gopacket.SerializableLayer
	} = &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
	if from.Addr().Is4() {
		ethernet.EthernetType = layers.EthernetTypeIPv4
		network = &layers.IPv4{Version: 4, TTL: hopLimit, Protocol: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
	}
	out := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	p.err = cmp.Or(p.err, tcp.SetNetworkLayerForChecksum(network),
		gopacket.SerializeLayers(out, options, ethernet, network, &tcp, gopacket.Payload(data)))
	if p.sequence[fromClient] += uint32(len(data)); tcp.SYN || tcp.FIN {
		p.sequence[fromClient]++
	}
	p.packets = append(p.packets, packet{at, slices.Clone(out.Bytes())})
}

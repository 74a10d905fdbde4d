package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// capture writes a capture file in the classic form, with raw IPv4 packets.
type capture struct {
	b  []byte
	at time.Time
}

func newCapture() *capture {
	b := binary.LittleEndian.AppendUint32(nil, 0xa1b2c3d4)
	b = binary.LittleEndian.AppendUint16(b, 2)
	b = binary.LittleEndian.AppendUint16(b, 4)
	b = append(b, make([]byte, 8)...)
	b = binary.LittleEndian.AppendUint32(b, 65535)
	b = binary.LittleEndian.AppendUint32(b, 101) // raw IP
	return &capture{b: b, at: time.Unix(1767225600, 0)}
}

const (
	flagFIN = 1
	flagSYN = 2
	flagPSH = 8
	flagACK = 16
)

// packet adds a TCP packet.
func (c *capture) packet(from, to net.TCPAddr, seq, ack uint32, flags byte, data []byte) {
	c.at = c.at.Add(10 * time.Millisecond)
	tcp := binary.BigEndian.AppendUint16(nil, uint16(from.Port))
	tcp = binary.BigEndian.AppendUint16(tcp, uint16(to.Port))
	tcp = binary.BigEndian.AppendUint32(tcp, seq)
	tcp = binary.BigEndian.AppendUint32(tcp, ack)
	tcp = append(tcp, 5<<4, flags, 0xff, 0xff, 0, 0, 0, 0)
	tcp = append(tcp, data...)
	ip := []byte{0x45, 0}
	ip = binary.BigEndian.AppendUint16(ip, uint16(20+len(tcp)))
	ip = append(ip, 0, 0, 0x40, 0, 64, 6, 0, 0)
	ip = append(append(ip, from.IP.To4()...), to.IP.To4()...)
	sum := uint32(0)
	for i := 0; i < len(ip); i += 2 {
		sum += uint32(binary.BigEndian.Uint16(ip[i:]))
	}
	for sum > 0xffff {
		sum = sum&0xffff + sum>>16
	}
	binary.BigEndian.PutUint16(ip[10:], ^uint16(sum))
	frame := append(ip, tcp...)
	c.b = binary.LittleEndian.AppendUint32(c.b, uint32(c.at.Unix()))
	c.b = binary.LittleEndian.AppendUint32(c.b, uint32(c.at.Nanosecond()/1000))
	c.b = binary.LittleEndian.AppendUint32(c.b, uint32(len(frame)))
	c.b = binary.LittleEndian.AppendUint32(c.b, uint32(len(frame)))
	c.b = append(c.b, frame...)
}

// captureTwice: a capture has a segment of a donation a second time, out of order, behind the end of its connection.
func captureTwice(r *run) (broken int, err error) {
	hosts, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	c := newCapture()
	server := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 5433}
	const donations = 5
	for n := range donations {
		from := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 40000 + n}
		text := fmt.Sprintf("/* id=d%d,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('gift-%d', 'one') RETURNING payload", n, n)
		sent := append(startup("user", "web", "database", "orders"), query(text)...)
		said := append(message('R', []byte{0, 0, 0, 0}), message('Z', []byte{'I'})...)
		said = append(append(said, row([]byte("one"), "INSERT 0 1")...), message('Z', []byte{'I'})...)
		end := message('X', nil)
		x, y := uint32(1000), uint32(9000)
		c.packet(from, server, x, 0, flagSYN, nil)
		c.packet(server, from, y, x+1, flagSYN|flagACK, nil)
		x, y = x+1, y+1
		c.packet(from, server, x, y, flagACK, nil)
		first := x
		c.packet(from, server, x, y, flagACK|flagPSH, sent)
		x += uint32(len(sent))
		c.packet(server, from, y, x, flagACK|flagPSH, said)
		y += uint32(len(said))
		c.packet(from, server, x, y, flagACK|flagPSH|flagFIN, end)
		x += uint32(len(end)) + 1
		c.packet(server, from, y, x, flagACK|flagFIN, nil)
		if r.trouble { // the same segment again, which came late
			c.packet(from, server, first, 9001, flagACK|flagPSH, sent)
		}
		c.packet(from, server, x, y+1, flagACK, nil)
	}
	file := filepath.Join(r.folder, "evening.pcap")
	if err := os.WriteFile(file, c.b, 0o600); err != nil {
		return 0, err
	}
	r.say("the capture has %d donations of %d clients", donations, donations)
	config, err := writeConfig(r.folder, "n1", freePort(), a.address)
	if err != nil {
		return 0, err
	}
	command, err := runCommand(r.root)
	if err != nil {
		return 0, err
	}
	replay := exec.Command("/bin/sh", "-c", command+" replay "+file)
	replay.Dir = r.root
	replay.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	out, err := replay.CombinedOutput()
	for line := range strings.Lines(string(out)) {
		r.say("replay: %s", strings.TrimRight(line, "\n"))
	}
	if err != nil {
		r.say("replay ended: %v", err) // a capture that is refused runs nothing
	}
	for n := range donations {
		id, runs := fmt.Sprintf("d%d", n), 0
		for _, h := range hosts {
			h.mu.Lock()
			runs += h.runs[id]
			h.mu.Unlock()
		}
		word := ""
		if runs > 1 {
			broken++
			word = ": RUN TWICE"
		}
		r.say("donation %s was run %d times%s", id, runs, word)
	}
	return broken, nil
}

package pcap

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/google/gopacket/pcapgo"
	"github.com/stretchr/testify/require"
)

func talk() []*Conversation {
	at := time.Date(2026, 3, 1, 18, 0, 0, 123456789, time.UTC)
	return []*Conversation{
		{Client: netip.MustParseAddrPort("127.0.0.1:40001"), Server: netip.MustParseAddrPort("127.0.0.2:5433"), Segments: []Segment{
			{at, true, []byte("hello")},
			{at.Add(time.Millisecond), false, bytes.Repeat([]byte("long"), 2000)},
			{at.Add(2 * time.Millisecond), true, []byte{0, 1, 2}},
		}},
		{Client: netip.MustParseAddrPort("[::1]:40002"), Server: netip.MustParseAddrPort("[::1]:5433"), Segments: []Segment{
			{at.Add(time.Microsecond), true, []byte("six")}, {at.Add(time.Second), false, []byte("and back")},
		}},
	}
}

func TestReadsBackWhatItWrote(t *testing.T) {
	var file bytes.Buffer
	require.NoError(t, Write(&file, talk()))
	got, err := Read(&file)
	require.NoError(t, err)
	require.Equal(t, talk(), got)
}

// classic writes a pcap of the first conversation with its packets rearranged.
func classic(t *testing.T, change func([]packet) []packet) *bytes.Buffer {
	ps, err := talk()[0].packets()
	require.NoError(t, err)
	file := new(bytes.Buffer)
	w := pcapgo.NewWriterNanos(file)
	require.NoError(t, w.WriteFileHeader(65536, layers.LinkTypeEthernet))
	for _, p := range change(ps) {
		require.NoError(t, w.WritePacket(gopacket.CaptureInfo{Timestamp: p.at, CaptureLength: len(p.data), Length: len(p.data)}, p.data))
	}
	return file
}

// Packets come late and twice on poor links; what was said stays the same.
func TestDisorderAndRepeats(t *testing.T) {
	got, err := Read(classic(t, func(ps []packet) []packet {
		ps[5], ps[6] = ps[6], ps[5]
		return append(ps[:8:8], append([]packet{ps[7]}, ps[8:]...)...)
	}))
	require.NoError(t, err)
	said := map[bool]string{}
	for _, p := range got[0].Segments {
		said[p.FromClient] += string(p.Data)
	}
	require.Equal(t, "hello\x00\x01\x02", said[true])
	require.Equal(t, strings.Repeat("long", 2000), said[false])
}

// Guards against a replay that makes up what a capture lacks.
func TestBadFilesAreRefused(t *testing.T) {
	whole := classic(t, func(ps []packet) []packet { return ps }).Bytes()
	for want, file := range map[string][]byte{
		"too short":           {0xd4},
		"no capture":          []byte("not a capture at all, but long enough"),
		"packet":              whole[:len(whole)-7],
		"missing":             classic(t, func(ps []packet) []packet { return append(ps[:6:6], ps[7:]...) }).Bytes(),
		"bytes were capture":  cutShort(t),
		"claims 4294967295 b": append(append([]byte{}, whole[:32]...), bytes.Repeat([]byte{0xff}, 40)...),
		"longer than itself":  claims(t),
	} {
		_, err := Read(bytes.NewReader(file))
		require.ErrorContains(t, err, want)
	}
}

// claims is a pcapng whose first packet says that it is longer than the file; the library made room for it.
func claims(t *testing.T) []byte {
	var file bytes.Buffer
	require.NoError(t, Write(&file, talk()))
	b := file.Bytes()
	for at := 0; ; at += int(binary.LittleEndian.Uint32(b[at+4:])) {
		if binary.LittleEndian.Uint32(b[at:]) == 6 {
			binary.LittleEndian.PutUint32(b[at+20:], 0x7fffffff)
			return b
		}
	}
}

func cutShort(t *testing.T) []byte {
	ps, err := talk()[0].packets()
	require.NoError(t, err)
	file := new(bytes.Buffer)
	w := pcapgo.NewWriter(file)
	require.NoError(t, w.WriteFileHeader(65536, layers.LinkTypeEthernet))
	data := ps[5].data
	require.NoError(t, w.WritePacket(gopacket.CaptureInfo{Timestamp: ps[5].at, CaptureLength: 100, Length: len(data)}, data[:100]))
	return file.Bytes()
}

// FuzzRead checks that no file panics.
func FuzzRead(f *testing.F) {
	var file bytes.Buffer
	if err := Write(&file, talk()); err != nil {
		f.Fatal(err)
	}
	f.Add(file.Bytes())
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Read(bytes.NewReader(b)) })
}

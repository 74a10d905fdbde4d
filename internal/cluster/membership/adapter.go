package membership

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"ashstand/internal/cluster/transport"
)

// transportAdapter makes a transport.Transport usable as memberlist's transport.
type transportAdapter struct {
	*transport.Transport
	packets chan *memberlist.Packet
	streams chan net.Conn
}

var (
	_ memberlist.NodeAwareTransport = (*transportAdapter)(nil)
	_ transport.Receiver            = (*transportAdapter)(nil)
)

// HandlePacket queues a datagram for memberlist. It reports false if the queue is full.
func (a *transportAdapter) HandlePacket(b []byte, from net.Addr, at time.Time) bool {
	select {
	case a.packets <- &memberlist.Packet{Buf: bytes.Clone(b), From: from, Timestamp: at}:
		return true
	default:
		return false
	}
}

// HandleStream queues an accepted stream for memberlist. It reports false if the queue is full.
func (a *transportAdapter) HandleStream(c net.Conn) bool {
	select {
	case a.streams <- c:
		return true
	default:
		return false
	}
}

func (a *transportAdapter) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return a.Address().IP, a.Address().Port, nil
}

func (a *transportAdapter) WriteTo(b []byte, addr string) (time.Time, error) {
	return a.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (a *transportAdapter) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	return time.Now(), a.Send(to.Name, to.Addr, b)
}

func (a *transportAdapter) PacketCh() <-chan *memberlist.Packet { return a.packets }

func (a *transportAdapter) StreamCh() <-chan net.Conn { return a.streams }

func (a *transportAdapter) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return a.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (a *transportAdapter) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return a.Dial(to.Name, to.Addr, timeout)
}

func (a *transportAdapter) Shutdown() error {
	a.Close()
	return nil
}

// undecodableLogFragments occur in memberlist's log lines about messages that it could not decrypt or decode.
var undecodableLogFragments = []string{"ecrypt", "msg type", "ecode"}

// memberlistLogWriter passes memberlist's log lines to slog at debug level. It counts the lines about
// messages that memberlist could not read.
type memberlistLogWriter struct{ undecodable *atomic.Int64 }

// Write logs one line, and counts it if it contains one of the undecodableLogFragments.
func (w *memberlistLogWriter) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	for _, fragment := range undecodableLogFragments {
		if strings.Contains(line, fragment) {
			w.undecodable.Add(1)
			break
		}
	}
	slog.Debug("cluster: memberlist", "line", line)
	return len(b), nil
}

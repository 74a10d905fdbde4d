package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"syscall"
)

// Port is a loopback address that is held: from its draw to its release no other draw names it, in whatever process, and
// the system gives it to no outgoing connection, also while nobody listens there. Whoever it is for can listen there.
//
// It is held by a bound socket that does not listen. Binding it asks for a port that nothing else is bound to; from then
// on it shares the port with whoever asks to share, as the standard library and the event loop do when they listen. A
// lock file for each port would bind only those who look at it, and no connection does.
type Port struct {
	Address string
	fd      int
}

// The ports that are drawn lie below those that systems give to outgoing connections, which a datagram's socket could
// take as well: it can't be held. lowPort is above what services of a machine commonly listen at.
const (
	lowPort  = 12000
	highPort = 32000
	endPort  = 1 << 16
	leastOf  = 2000 // ports that draws need to choose from: a rig of 64 poolers takes 200, and ten such may run
)

// drawn is what ports are drawn from, where the system gives those from first to last to outgoing connections.
func drawn(first, last int) (low, high int) {
	switch {
	case first >= lowPort+leastOf || last < lowPort:
		return lowPort, max(lowPort+leastOf, min(highPort, first))
	case last+leastOf < endPort:
		return last + 1, endPort
	}
	return lowPort, endPort // there is no place beside them
}

// outgoing reads the range that the system gives to outgoing connections; where it can't be read, that of Linux.
func outgoing() (first, last int) {
	b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err == nil {
		if _, err = fmt.Sscan(string(b), &first, &last); err == nil {
			return first, last
		}
	}
	return 32768, 60999
}

// Hold draws a loopback address at which nobody is, neither for streams nor for datagrams, and holds it.
func Hold() (*Port, error) {
	low, high := drawn(outgoing())
	var err error
	for range 200 {
		var p *Port
		if p, err = hold(low + rand.IntN(high-low)); err == nil {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no free port: %w", err)
}

func hold(port int) (*Port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &Port{net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), fd}
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}), // alone
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)) // and shared from now on
	if err == nil {
		var u net.PacketConn
		if u, err = net.ListenPacket("udp", p.Address); err == nil {
			err = u.Close()
		}
	}
	if err != nil {
		p.Release()
		return nil, err
	}
	return p, nil
}

// Release lets others have it.
func (p *Port) Release() { _ = syscall.Close(p.fd) }

// Free names a loopback address that is held until this process ends.
func Free() (string, error) {
	p, err := Hold()
	if err != nil {
		return "", err
	}
	return p.Address, nil
}

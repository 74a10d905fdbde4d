package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A client of Arrow Flight SQL: HTTP/2 frames and the few messages that a query takes, written by hand, so that the client can
// leave its flow-control windows closed.

func protoBytes(field int, b []byte) []byte {
	out := binary.AppendUvarint(nil, uint64(field<<3|2))
	return append(binary.AppendUvarint(out, uint64(len(b))), b...)
}

// protoField returns the first field of this number, which has a length.
func protoField(b []byte, field int) []byte {
	for len(b) > 0 {
		key, n := binary.Uvarint(b)
		if n <= 0 {
			return nil
		}
		b = b[n:]
		switch key & 7 {
		case 0:
			_, n = binary.Uvarint(b)
			b = b[max(n, 0):]
		case 2:
			size, n := binary.Uvarint(b)
			if n <= 0 || int(size) > len(b)-n {
				return nil
			}
			if int(key>>3) == field {
				return b[n : n+int(size)]
			}
			b = b[n+int(size):]
		default:
			return nil
		}
	}
	return nil
}

func anyOf(name string, b []byte) []byte {
	return append(protoBytes(1, []byte("type.googleapis.com/arrow.flight.protocol.sql."+name)), protoBytes(2, b)...)
}

const (
	frameData         = 0
	frameHeaders      = 1
	frameReset        = 3
	frameSettings     = 4
	framePing         = 6
	frameGoAway       = 7
	frameWindowUpdate = 8
	endStream         = 1
	endHeaders        = 4
	ack               = 1
)

func frame(kind, flags byte, stream uint32, body []byte) []byte {
	b := []byte{byte(len(body) >> 16), byte(len(body) >> 8), byte(len(body)), kind, flags}
	return append(binary.BigEndian.AppendUint32(b, stream), body...)
}

// header is a header field, literal and without indexing.
func header(name, value string) []byte {
	b := []byte{0, byte(len(name))}
	b = append(b, name...)
	b = append(b, byte(len(value)))
	return append(b, value...)
}

// flightClient is a connection to a Flight SQL front.
type flightClient struct {
	net.Conn
	r     *bufio.Reader
	reads bool // it opens its windows again for what it has read

	mu     sync.Mutex
	next   uint32
	bodies map[uint32][]byte
	ended  map[uint32]bool
	closed error
	news   *sync.Cond
}

func dialFlight(address string, reads bool) (*flightClient, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	f := &flightClient{Conn: c, r: bufio.NewReader(c), reads: reads, next: 1, bodies: map[uint32][]byte{}, ended: map[uint32]bool{}}
	f.news = sync.NewCond(&f.mu)
	if _, err := c.Write(append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), frame(frameSettings, 0, 0, nil)...)); err != nil {
		return nil, err
	}
	go f.listen()
	return f, nil
}

func (f *flightClient) listen() {
	err := f.frames()
	f.mu.Lock()
	f.closed = err
	f.news.Broadcast()
	f.mu.Unlock()
}

func (f *flightClient) frames() error {
	for {
		var head [9]byte
		if _, err := io.ReadFull(f.r, head[:]); err != nil {
			return err
		}
		body := make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
		if _, err := io.ReadFull(f.r, body); err != nil {
			return err
		}
		stream := binary.BigEndian.Uint32(head[5:])
		switch head[3] {
		case frameSettings:
			if head[4]&ack == 0 {
				f.write(frame(frameSettings, ack, 0, nil))
			}
		case framePing:
			if head[4]&ack == 0 {
				f.write(frame(framePing, ack, 0, body))
			}
		case frameData:
			f.mu.Lock()
			f.bodies[stream] = append(f.bodies[stream], body...)
			f.mu.Unlock()
			if f.reads && len(body) > 0 {
				more := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
				f.write(append(frame(frameWindowUpdate, 0, 0, more), frame(frameWindowUpdate, 0, stream, more)...))
			}
		case frameGoAway:
			return errors.New("the front goes away")
		}
		if stream > 0 && (head[3] == frameReset || head[4]&endStream != 0 && (head[3] == frameData || head[3] == frameHeaders)) {
			f.mu.Lock()
			f.ended[stream] = true
			f.news.Broadcast()
			f.mu.Unlock()
		}
	}
}

func (f *flightClient) write(b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = f.Conn.Write(b)
}

// call begins a call of one message.
func (f *flightClient) call(method string, m []byte) (stream uint32) {
	h := append([]byte{}, header(":method", "POST")...)
	h = append(h, header(":scheme", "http")...)
	h = append(h, header(":path", "/arrow.flight.protocol.FlightService/"+method)...)
	h = append(h, header(":authority", "front")...)
	h = append(h, header("content-type", "application/grpc")...)
	h = append(h, header("te", "trailers")...)
	body := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(m))), m...)
	f.mu.Lock()
	defer f.mu.Unlock()
	stream, f.next = f.next, f.next+2
	_, _ = f.Conn.Write(append(frame(frameHeaders, endHeaders, stream, h), frame(frameData, endStream, stream, body)...))
	return stream
}

// wait returns the body of a call that has ended.
func (f *flightClient) wait(stream uint32) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.ended[stream] && f.closed == nil {
		f.news.Wait()
	}
	return f.bodies[stream], f.closed
}

// ticket asks for the ticket of a query.
func (f *flightClient) ticket(text string) ([]byte, error) {
	descriptor := append([]byte{1<<3 | 0, 2}, protoBytes(2, anyOf("CommandStatementQuery", protoBytes(1, []byte(text))))...)
	b, err := f.wait(f.call("GetFlightInfo", descriptor))
	if err != nil {
		return nil, err
	}
	if len(b) < 5 {
		return nil, errors.New("GetFlightInfo gave no answer")
	}
	t := protoField(protoField(protoField(b[5:], 3), 1), 1)
	if t == nil {
		return nil, errors.New("GetFlightInfo gave no ticket")
	}
	return t, nil
}

// resident is the memory of a process in KiB, as the system counts it.
func resident(pid int) int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

const flightFront = `flight {
  listen      = "FLIGHT"
  connections = 64
}
`

// silentReaders: Flight SQL clients ask for reports, go silent and take nothing.
func silentReaders(r *run) (broken int, err error) {
	const clients, each, limit = 48, 64, 192 << 10
	hosts, a, err := r.small(2)
	if err != nil {
		return 0, err
	}
	for _, h := range hosts {
		h.long = 64 << 10
	}
	p, err := r.pooler("n1", a.address, flightFront)
	if err != nil {
		return 0, err
	}
	stop, watched := make(chan struct{}), make(chan struct{})
	peak := 0
	go func() { // the platform
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := resident(p.cmd.Process.Pid)
			if now > peak+8<<10 {
				r.say("platform: the pooler holds %d MiB", now>>10)
			}
			if peak = max(peak, now); now > limit {
				r.say("platform: the pooler holds %d KiB, over its memory_mb of 192: KILLED", now)
				_ = p.cmd.Process.Kill()
				return
			}
		}
	}()
	var group sync.WaitGroup
	for n := range clients {
		c, err := dialFlight(p.flight, !r.trouble)
		if err != nil {
			r.say("client %d: %v", n, err)
			break
		}
		defer c.Close()
		group.Go(func() {
			var tickets [][]byte
			var open []uint32
			for i := range each {
				text := fmt.Sprintf("/* id=f%d-%d,c=report,d=15000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'long%d'", n, i, n)
				ticket, err := c.ticket(text)
				if err != nil {
					r.say("client %d: report %d: %v", n, i, err)
					return
				}
				tickets = append(tickets, ticket)
			}
			for _, t := range tickets {
				open = append(open, c.call("DoGet", protoBytes(1, t)))
			}
			if r.trouble {
				r.say("client %d has asked for %d reports and takes nothing", n, each)
				return
			}
			whole := 0
			for _, s := range open {
				if b, err := c.wait(s); err == nil && len(b) > 64<<10 {
					whole++
				}
			}
			r.say("client %d has taken %d reports of %d", n, whole, each)
		})
		time.Sleep(400 * time.Millisecond)
	}
	group.Wait()
	select {
	case <-watched:
	case <-time.After(10 * time.Second):
	}
	close(stop)
	<-watched
	r.say("platform: at the most the pooler held %d KiB of %d", peak, limit)
	if peak > limit {
		broken++
	}
	return broken, nil
}

package main

// The parts of PostgreSQL's protocol, version 3, that the stand-ins use.

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// message returns a message of this kind with its length.
func message(kind byte, body []byte) []byte {
	b := make([]byte, 0, 5+len(body))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(body)))
	return append(b, body...)
}

func startup(parameters ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, 196608)
	for _, p := range parameters {
		body = append(append(body, p...), 0)
	}
	body = append(body, 0)
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)
}

func query(text string) []byte { return message('Q', append([]byte(text), 0)) }

func errorResponse(severity, code, text string) []byte {
	var b []byte
	for _, f := range []string{"S" + severity, "V" + severity, "C" + code, "M" + text} {
		b = append(append(b, f...), 0)
	}
	return message('E', append(b, 0))
}

func parameterStatus(name, value string) []byte {
	return message('S', []byte(name+"\x00"+value+"\x00"))
}

// row returns RowDescription, one DataRow of one binary column and CommandComplete.
func row(value []byte, tag string) []byte {
	d := binary.BigEndian.AppendUint16(nil, 1)
	d = append(d, "payload\x00"...)
	d = binary.BigEndian.AppendUint32(d, 0)          // table
	d = binary.BigEndian.AppendUint16(d, 0)          // column
	d = binary.BigEndian.AppendUint32(d, 17)         // bytea
	d = binary.BigEndian.AppendUint16(d, 0xffff)     // any size
	d = binary.BigEndian.AppendUint32(d, 0xffffffff) // no modifier
	d = binary.BigEndian.AppendUint16(d, 1)          // binary
	r := binary.BigEndian.AppendUint16(nil, 1)
	r = binary.BigEndian.AppendUint32(r, uint32(len(value)))
	r = append(r, value...)
	out := append(message('T', d), message('D', r)...)
	return append(out, message('C', append([]byte(tag), 0))...)
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > 64<<20 {
		return 0, nil, fmt.Errorf("message %q claims %d bytes", head[0], n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// readStartup reads the startup message, which has no kind.
func readStartup(r *bufio.Reader) (code uint32, body []byte, err error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:])) - 8
	if n < 0 || n > 1<<20 {
		return 0, nil, errors.New("a startup message of no sensible length")
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return binary.BigEndian.Uint32(head[4:]), body, err
}

// answer is what came before ReadyForQuery.
type answer struct {
	value  string // of the last DataRow
	rows   int
	tag    string
	code   string // SQLSTATE of the first error; "": none
	text   string
	status byte
	part   string
}

func (a answer) String() string {
	if a.code != "" {
		return "error " + a.code + " " + a.text
	}
	return fmt.Sprintf("served %q %s", a.value, a.tag)
}

// client is a client's connection.
type client struct {
	net.Conn
	r *bufio.Reader
}

// connect opens a connection and starts a session on it.
func connect(address, user, database string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	k := &client{c, bufio.NewReaderSize(c, 4096)}
	if _, err := c.Write(startup("user", user, "database", database)); err != nil {
		return nil, err
	}
	a, err := k.answer(3 * time.Second)
	if err == nil && a.code != "" {
		err = errors.New(a.String())
	}
	return k, err
}

// answer reads up to ReadyForQuery, or to a fatal error.
func (c *client) answer(wait time.Duration) (a answer, err error) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	for {
		kind, body, err := readMessage(c.r)
		if err != nil {
			return a, err
		}
		switch kind {
		case 'D':
			a.rows++
			if len(body) >= 6 {
				a.value = string(body[6:])
			}
		case 'C':
			a.tag = strings.TrimSuffix(string(body), "\x00")
		case 'S':
			if p := strings.Split(string(body), "\x00"); len(p) > 1 && p[0] == "part" {
				a.part = p[1]
			}
		case 'E':
			fatal := false
			for _, f := range strings.Split(string(body), "\x00") {
				switch {
				case f == "":
				case f[0] == 'S':
					fatal = f == "SFATAL"
				case f[0] == 'C' && a.code == "":
					a.code = f[1:]
				case f[0] == 'M' && a.text == "":
					a.text = f[1:]
				}
			}
			if fatal {
				return a, nil
			}
		case 'Z':
			a.status = body[0]
			return a, nil
		}
	}
}

// ask sends a query and waits for its whole answer.
func (c *client) ask(text string, wait time.Duration) (answer, error) {
	if _, err := c.Write(query(text)); err != nil {
		return answer{}, err
	}
	return c.answer(wait)
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"time"
)

// reply is the answer to one query.
type reply struct {
	served   bool
	value    string
	position float64 // caught_up_to, as the pooler passed it on
	state    string  // SQLSTATE of an error
	text     string
	broken   error // the connection ended before the whole answer
}

func (r reply) String() string {
	switch {
	case r.broken != nil:
		return "no whole answer: " + r.broken.Error()
	case r.served:
		return fmt.Sprintf("served %q, position %.0f", short(r.value), r.position)
	}
	return "error " + r.state + " " + r.text
}

// client is one connection of a client to a pooler.
type client struct {
	record *record
	conn   net.Conn
	in     *bufio.Reader
	name   string
}

const answerTimeout = 10 * time.Second

func connect(r *record, name, address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return start(r, name, c)
}

// start sends the startup message on a connection, and reads the answer.
func start(r *record, name string, c net.Conn) (*client, error) {
	k := &client{record: r, conn: c, in: bufio.NewReaderSize(c, 512), name: name}
	if _, err := c.Write(startupMessage()); err != nil {
		return nil, err
	}
	if a := k.read(); a.broken != nil || a.state != "" {
		_ = c.Close()
		return nil, fmt.Errorf("start: %v", a)
	}
	return k, nil
}

// read reads one answer, up to ReadyForQuery or the end.
func (k *client) read() (a reply) {
	_ = k.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	for {
		kind, body, err := readMessage(k.in)
		if err != nil {
			if a.state == "" {
				a.broken = err
			}
			return a
		}
		switch kind {
		case 'D':
			value, err := dataRow(body)
			if err != nil {
				a.broken = err
				return a
			}
			a.value = string(value)
		case 'C':
			a.served = true
		case 'E':
			a.state, a.text, _ = errorFields(body)
			a.served = false
		case 'S':
			if name, value, ok := cutPair(body); ok && name == "caught_up_to" {
				a.position, _ = strconv.ParseFloat(value, 64)
			}
		case 'Z':
			return a
		}
	}
}

func cutPair(body []byte) (name, value string, ok bool) {
	for i, b := range body {
		if b == 0 && len(body) > i+1 {
			return string(body[:i]), string(body[i+1 : len(body)-1]), true
		}
	}
	return "", "", false
}

// ask sends queries in one write, and reads their answers.
func (k *client) ask(texts ...string) (all []reply) {
	var b []byte
	for _, t := range texts {
		b = append(b, queryMessage(t)...)
		k.record.printf("%s: sends %s", k.name, short(t))
	}
	if _, err := k.conn.Write(b); err != nil {
		k.record.printf("%s: can't write: %v", k.name, err)
	}
	for range texts {
		a := k.read()
		k.record.printf("%s: gets %v", k.name, a)
		all = append(all, a)
		if a.broken != nil {
			break
		}
	}
	for len(all) < len(texts) {
		all = append(all, reply{broken: net.ErrClosed})
	}
	return all
}

func (k *client) close() { _ = k.conn.Close() }

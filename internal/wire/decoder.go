// Package wire translates between the lines of the simulator's protocol and the events and actions of package routing. It parses,
// formats and converts units, and makes no routing decisions.
package wire

import (
	"bufio"
	"errors"
	"io"
	"time"

	"ashstand/routing"
)

// Item is one message of a batch for one instance: its start, its shutdown, or an event.
type Item struct {
	Instance   int
	IsOpen     bool
	Settings   routing.Settings // with IsOpen
	Seed       uint64           // with IsOpen
	IsShutdown bool
	Event      routing.Event
}

// Batch holds the messages of one moment, in order of arrival.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// Decoder reads batches. Its errors are of type *LineError, or come from its reader.
type Decoder struct {
	r         *bufio.Reader
	line      int
	lists     map[int][]routing.Target
	instances map[int]*instance
}

// instance holds what is needed to convert the units and names of one instance.
type instance struct {
	classes        map[string]int
	tenants        map[string]int // values start at 1
	positionOrigin time.Duration
	// positionColumn and roleColumn are indexes into the values of a load report; -1 means that it has no such value.
	positionColumn int
	roleColumn     int
}

const readBufferBytes = 1 << 16

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{
		r:         bufio.NewReaderSize(r, readBufferBytes),
		lists:     map[int][]routing.Target{},
		instances: map[int]*instance{},
	}
}

// Next reads a batch. It returns io.EOF if the input ends between batches.
func (d *Decoder) Next() (*Batch, error) {
	m, err := d.nextMessage()
	for err == nil && m.name == "" {
		m, err = d.nextMessage()
	}
	if err != nil {
		return nil, err
	}
	if m.name != "SYNC" {
		return nil, d.faultf("%q where a batch begins with SYNC", m.name)
	}
	b := &Batch{Now: m.millis("wall_ms"), Seq: m.text("seq")}
	for m.fault == nil {
		m, err = d.nextMessage()
		switch {
		case errors.Is(err, io.EOF):
			return nil, d.faultf("the input ends before EOF_BATCH")
		case err != nil:
			return nil, err
		case m.name == "EOF_BATCH":
			return b, nil
		case m.name == "REGISTER":
			err = d.register(m)
		default:
			err = d.item(m, b)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, &LineError{Line: d.line, Cause: m.fault}
}

// register reads an endpoint list and stores it under its number, by which TARGETS messages refer to it.
func (d *Decoder) register(m *message) error {
	list, rows := m.integer("list"), m.integer("rows")
	if rows < 0 {
		m.fail("rows", "%d is below 0", rows)
	}
	if m.fault != nil {
		return nil
	}
	var targets []routing.Target
	for range rows {
		entry, err := d.nextMessage()
		if errors.Is(err, io.EOF) {
			return d.faultf("REGISTER: the input ends inside the list")
		} else if err != nil {
			return err
		}
		if entry.name != "ENTRY" {
			return d.faultf("%q inside a list of %d rows", entry.name, rows)
		}
		target := entry.target()
		if entry.fault != nil {
			m.fault = entry.fault
			return nil
		}
		targets = append(targets, target)
	}
	d.lists[list] = targets
	return nil
}

func (m *message) target() routing.Target {
	t := routing.Target{
		Host: m.text("host"), Group: m.unsigned("db"), Primary: m.flag("primary"),
		StartedAt: m.optionalMillis("start_time_ms"),
	}
	switch availability := m.text("availability"); availability {
	case "Ready":
	case "Terminating":
		t.Draining = true
	case "Gone":
		t.Removed = true
	default:
		m.fail("availability", "%q is unknown", availability)
	}
	return t
}

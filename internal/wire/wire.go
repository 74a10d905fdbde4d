// Package wire translates between the lines of the bench and the events and actions of package choice. It parses,
// formats and converts units, and decides nothing.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"ashstand/internal/settings"
	"ashstand/routing"
)

// Item is one message of a batch for one instance: its start, its end, or an event.
type Item struct {
	Instance   int
	IsOpen     bool
	Settings   routing.Settings // with Open
	Seed       uint64           // with Open
	IsShutdown bool
	Event      routing.Event
}

// Batch is what happened at one moment, in order of arrival.
type Batch struct {
	Now   time.Duration
	Seq   string
	Items []Item
}

// instance holds what is needed to convert the units and names of one instance.
type instance struct {
	classes                    map[string]int
	tenants                    map[string]int // from 1
	positionOrigin             time.Duration
	positionColumn, roleColumn int // places in a report; -1: none
	fields                     int
}

// Decoder reads batches.
type Decoder struct {
	r         *bufio.Reader
	line      int
	lists     map[int][]routing.Target
	instances map[int]*instance
}

// NewDecoder returns a decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16), lists: map[int][]routing.Target{}, instances: map[int]*instance{}}
}

// message is one line cut into its fields. The first fault found is kept, with the name of its field.
type message struct {
	name   string
	fields map[string]string
	fault  error
}

func (m *message) fail(field, format string, args ...any) {
	if m.fault == nil {
		m.fault = fmt.Errorf("%s: field %s: %s", m.name, field, fmt.Sprintf(format, args...))
	}
}

func (m *message) text(field string) string {
	s, ok := m.fields[field]
	if !ok {
		m.fail(field, "missing")
	}
	return s
}

func (m *message) integer(field string, need bool) int {
	s, ok := m.fields[field]
	if !ok && !need {
		return 0
	}
	n, err := strconv.Atoi(m.text(field))
	if err != nil {
		m.fail(field, "%q is no whole number", s)
	}
	return n
}

func (m *message) unsigned(field string, need bool) uint64 {
	s, ok := m.fields[field]
	if !ok && !need {
		return 0
	}
	n, err := strconv.ParseUint(m.text(field), 10, 64)
	if err != nil {
		m.fail(field, "%q is no whole number from 0 up", s)
	}
	return n
}

func (m *message) flag(field string) bool {
	switch s := m.fields[field]; s {
	case "", "0":
	case "1":
		return true
	default:
		m.fail(field, "%q is neither 0 nor 1", s)
	}
	return false
}

func (m *message) millis(field string, need bool) time.Duration {
	s, ok := m.fields[field]
	if !ok && !need {
		return 0
	}
	x, err := strconv.ParseFloat(m.text(field), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		m.fail(field, "%q is no time in milliseconds", s)
		return 0
	}
	return settings.Millis(x)
}

// trailingFields names the field of a message that runs to the end of its line.
var trailingFields = map[string]string{"OPEN_INSTANCE": "info"}

func (d *Decoder) next() (*message, error) {
	s, err := d.r.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		return nil, err
	}
	d.line++
	if err != nil {
		return nil, fmt.Errorf("line %d: the input ends inside a line", d.line)
	}
	s = strings.TrimSuffix(strings.TrimSuffix(s, "\n"), "\r")
	name, s, _ := strings.Cut(s, " ")
	m := &message{name: name, fields: make(map[string]string, 10)}
	for s != "" {
		key, value, ok := strings.Cut(s, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			word, _, _ := strings.Cut(s, " ")
			return nil, fmt.Errorf("line %d: %s: field %q is not of the form name=value", d.line, name, word)
		}
		if key == trailingFields[name] {
			s = ""
		} else {
			value, s, _ = strings.Cut(value, " ")
		}
		m.fields[key] = value
	}
	return m, nil
}

// Next reads a batch. It returns io.EOF where the input ends between batches.
func (d *Decoder) Next() (*Batch, error) {
	m, err := d.next()
	for err == nil && m.name == "" {
		m, err = d.next()
	}
	if err != nil {
		return nil, err
	}
	if m.name != "SYNC" {
		return nil, fmt.Errorf("line %d: %q where a batch begins with SYNC", d.line, m.name)
	}
	b := &Batch{Now: m.millis("wall_ms", true), Seq: m.text("seq")}
	for m.fault == nil {
		m, err = d.next()
		switch {
		case errors.Is(err, io.EOF):
			return nil, fmt.Errorf("line %d: the input ends before EOF_BATCH", d.line)
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
	return nil, fmt.Errorf("line %d: %w", d.line, m.fault)
}

func (d *Decoder) register(m *message) error {
	list, rows := m.integer("list", true), m.integer("rows", true)
	if rows < 0 {
		m.fail("rows", "%d is below 0", rows)
	}
	if m.fault != nil {
		return nil
	}
	var ts []routing.Target
	for range rows {
		e, err := d.next()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: REGISTER: the input ends inside the list", d.line)
		} else if err != nil {
			return err
		}
		if e.name != "ENTRY" {
			return fmt.Errorf("line %d: %q inside a list of %d rows", d.line, e.name, rows)
		}
		t := routing.Target{
			Host: e.text("host"), Group: e.unsigned("db", true),
			Primary: e.flag("primary"), StartedAt: e.millis("start_time_ms", false),
		}
		switch s := e.text("availability"); s {
		case "Ready":
		case "Terminating":
			t.Draining = true
		case "Gone":
			t.Removed = true
		default:
			e.fail("availability", "%q is unknown", s)
		}
		if e.fault != nil {
			m.fault = e.fault
			return nil
		}
		ts = append(ts, t)
	}
	d.lists[list] = ts
	return nil
}

var codes = map[string]routing.Code{
	"served": routing.OK, "server_error": routing.ServerError, "turned_away": routing.Rejected,
	"no_answer": routing.NoAnswer, "no_connection": routing.NoConnection, "connection_lost": routing.ConnectionLost,
	"called_off": routing.Cancelled, "not_sent": routing.NotSent, "not_stored": routing.Misdirected,
}

func (m *message) code() routing.Code {
	code, ok := codes[m.text("code")]
	if !ok {
		m.fail("code", "%q is unknown", m.fields["code"])
	}
	return code
}

func (d *Decoder) item(m *message, b *Batch) error {
	it := Item{Instance: m.integer("who", true)}
	in := d.instances[it.Instance]
	if m.name == "OPEN_INSTANCE" {
		it.IsOpen, it.Seed = true, m.unsigned("nonce64", true)
		in = &instance{positionColumn: -1, roleColumn: -1}
		it.Settings = m.settings(in)
		d.instances[it.Instance] = in
	}
	if in == nil && m.fault == nil {
		m.fail("who", "instance %d was not opened", it.Instance)
	}
	if m.fault != nil {
		return nil
	}
	e := &it.Event
	switch m.name {
	case "OPEN_INSTANCE":
	case "SHUTDOWN":
		it.IsShutdown = true
		delete(d.instances, it.Instance)
	case "TARGETS":
		switch s := m.text("scope"); s {
		case "D", "F", "C":
			e.Kind, e.Full = routing.EventTargets, s != "D"
			list := m.integer("list", true)
			ts, ok := d.lists[list]
			if !ok {
				m.fail("list", "no REGISTER has number %d", list)
			}
			e.Targets = ts
		case "X":
			e.Kind = routing.EventTargetsFailed
		default:
			m.fail("scope", "%q is unknown", s)
		}
	case "REQUEST":
		e.Kind, e.ID = routing.EventRequest, m.text("call")
		class, ok := in.classes[m.text("profile")]
		if !ok {
			m.fail("profile", "%q is no class of the settings", m.fields["profile"])
		}
		e.Class = class
		if e.Tenant, ok = in.tenants[m.fields["tenant"]]; !ok {
			m.fail("tenant", "%q is no tenant of the settings", m.fields["tenant"])
		}
		_, e.HasSessionKey = m.fields["client_key"]
		e.SessionKey, e.Group = m.unsigned("client_key", false), m.unsigned("cluster", false)
		e.IsRetry = m.flag("retry")
		e.TimeRemaining, e.CommitAge = m.millis("time_left_ms", true), m.millis("token_age_ms", false)
	case "OUTCOME":
		e.Kind, e.ID, e.Attempt, e.Host = routing.EventOutcome, m.text("call"), m.integer("hop", true), m.text("host")
		e.Code, e.Elapsed, e.Final = m.code(), m.millis("time_taken_ms", true), m.flag("final")
		if mark := m.unsigned("mark", false); mark > 0 {
			e.Role = routing.Role(min(mark%4, 2))
			if mark/4 > 0 {
				e.Position = in.positionOrigin + time.Duration(mark/4)*time.Millisecond
			}
		}
		e.Report = m.report(in)
	case "FIRST":
		e.Kind, e.ID = routing.EventFirstByte, m.text("call")
	case "LEFT":
		e.Kind, e.ID = routing.EventClientGone, m.text("call")
	case "WAKEUP":
		e.Kind, e.Timer = routing.EventTimer, m.unsigned("nonce", true)
	case "PROBE_DONE":
		e.Kind, e.Host, e.Code, e.Report = routing.EventProbeResult, m.text("host"), m.code(), m.report(in)
		e.Elapsed = m.millis("time_taken_ms", true)
	case "DATAGRAM":
		e.Kind = routing.EventPeerMessage
		if s := m.text("body"); s != "-" {
			if _, err := hex.DecodeString(s); err != nil {
				m.fail("body", "%q is not in hex digits", s)
			}
		}
	default:
		return fmt.Errorf("line %d: message %q is unknown", d.line, m.name)
	}
	b.Items = append(b.Items, it)
	return nil
}

func (m *message) report(in *instance) routing.Report {
	s := m.fields["telemetry"]
	if s == "" || s == "-" {
		return routing.Report{}
	}
	values := strings.Split(s, ",")
	number := func(i int) float64 {
		if i >= len(values) {
			m.fail("telemetry", "%q has %d values", s, len(values))
			return 0
		}
		x, err := strconv.ParseFloat(values[i], 64)
		if err != nil || math.IsNaN(x) || math.Abs(x) > 1e9 {
			m.fail("telemetry", "%q is no number", values[i])
		}
		return x
	}
	var r routing.Report
	if in.positionColumn >= 0 { // rounded down, so that nothing unproven is claimed
		r.Position = in.positionOrigin + time.Duration(math.Floor(number(in.positionColumn)*1e6))*time.Microsecond
	}
	if in.roleColumn >= 0 {
		r.Role = routing.Replica
		if number(in.roleColumn) >= 0.5 {
			r.Role = routing.Primary
		}
	}
	return r
}

func (m *message) settings(in *instance) routing.Settings {
	p, err := settings.Parse([]byte(m.text("info")))
	if err != nil {
		m.fail("info", "%v", err)
		return routing.Settings{}
	}
	in.positionOrigin, in.positionColumn, in.roleColumn = p.PositionOrigin, p.PositionColumn, p.RoleColumn
	in.classes, in.tenants = p.Classes, p.Tenants
	return p.Settings
}

// AppendActions adds the lines of an instance's actions to b.
func AppendActions(b []byte, who int, actions []routing.Action) []byte {
	for i := range actions {
		a := &actions[i]
		b = append(b, verbs[a.Kind]...)
		b = append(b, " who="...)
		b = strconv.AppendInt(b, int64(who), 10)
		switch a.Kind {
		case routing.ActSend:
			b = append(append(b, " call="...), a.ID...)
			b = append(append(b, " host="...), a.Host...)
			if a.Timeout > 0 {
				b = appendMillis(append(b, " max_wait_ms="...), a.Timeout)
			}
		case routing.ActCancel:
			b = append(append(b, " call="...), a.ID...)
			b = strconv.AppendInt(append(b, " hop="...), int64(a.Attempt), 10)
		case routing.ActReject:
			b = append(append(b, " call="...), a.ID...)
			if a.RetryAfter > 0 {
				b = appendMillis(append(b, " stay_away_ms="...), a.RetryAfter)
			}
		case routing.ActFail:
			b = append(append(b, " call="...), a.ID...)
		case routing.ActTimer:
			b = appendMillis(append(b, " at_ms="...), a.At)
			b = strconv.AppendUint(append(b, " nonce="...), a.Timer, 10)
		case routing.ActProbe, routing.ActCloseIdle:
			b = append(append(b, " host="...), a.Host...)
		case routing.ActSubscribe:
			b = append(b, " on=1"...)
		}
		b = append(b, '\n')
	}
	return b
}

var verbs = [...]string{
	routing.ActSend: "TRANSMIT", routing.ActCancel: "CANCEL", routing.ActReject: "REFUSE",
	routing.ActFail: "FINISH_ERROR", routing.ActTimer: "NOTIFY_ME", routing.ActProbe: "ASK_LOAD",
	routing.ActSubscribe: "KEEP_INFORMED", routing.ActFetch: "FETCH", routing.ActCloseIdle: "CLOSE",
}

func appendMillis(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d.Microseconds())/1e3, 'f', 3, 64)
}

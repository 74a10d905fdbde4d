package wire

import (
	"encoding/hex"
	"math"
	"strconv"
	"strings"
	"time"

	"ashstand/internal/settings"
	"ashstand/routing"
)

// The field mark of an OUTCOME holds a role in its lowest two bits. The bits above them hold a position in milliseconds, relative
// to the position origin of the settings.
const (
	markRoles = 4
	maxRole   = uint64(routing.Replica)
)

// maxReportValue is the largest absolute value that is accepted in a load report.
const maxReportValue = 1e9

// primaryRoleValue is the smallest value in the role column of a load report by which a host reports that it is the primary.
const primaryRoleValue = 0.5

// outcomeCode describes how an attempt ended and whether its request ran, according to the simulator's outcome code.
type outcomeCode struct {
	code      routing.Code
	execution routing.Execution
}

var outcomeCodes = map[string]outcomeCode{
	"served":          {routing.OK, routing.Ran},
	"server_error":    {routing.ServerError, routing.MayHaveRun},
	"turned_away":     {routing.Rejected, routing.RejectedUnexecuted},
	"no_answer":       {routing.NoAnswer, routing.MayHaveRun},
	"no_connection":   {routing.NoConnection, routing.NotBegun},
	"connection_lost": {routing.ConnectionLost, routing.MayHaveRun},
	"called_off":      {routing.Cancelled, routing.MayHaveRun},
	"not_sent":        {routing.NotSent, routing.NotBegun},
	"not_stored":      {routing.Misdirected, routing.RejectedUnexecuted},
}

// item adds a message to the batch. An invalid field is recorded in the message's fault, not returned.
func (d *Decoder) item(m *message, b *Batch) error {
	it := Item{Instance: m.integer("who")}
	in := d.instances[it.Instance]
	if m.name == "OPEN_INSTANCE" {
		it.IsOpen, it.Seed = true, m.unsigned("nonce64")
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
	switch m.name {
	case "OPEN_INSTANCE":
	case "SHUTDOWN":
		it.IsShutdown = true
		delete(d.instances, it.Instance)
	default:
		event, ok := d.event(m, in)
		if !ok {
			return d.faultf("message %q is unknown", m.name)
		}
		it.Event = event
	}
	b.Items = append(b.Items, it)
	return nil
}

// event converts a message to an event; ok is false if the message's name is unknown.
func (d *Decoder) event(m *message, in *instance) (e routing.Event, ok bool) {
	switch m.name {
	case "TARGETS":
		e = d.targets(m)
	case "REQUEST":
		e = m.request(in)
	case "OUTCOME":
		e = m.outcome(in)
	case "FIRST":
		e = routing.FirstByte{ID: m.text("call")}
	case "LEFT":
		e = routing.ClientGone{ID: m.text("call")}
	case "WAKEUP":
		e = routing.TimerFired{}
		m.unsigned("nonce") // the value is not used, but the field is required
	case "PROBE_DONE":
		e = routing.ProbeEnded{
			Host: m.text("host"), Code: m.outcomeCode().code, Report: m.report(in),
			Elapsed: m.millis("time_taken_ms"),
		}
	case "DATAGRAM":
		e = routing.PeerMessage{}
		m.checkHex("body")
	default:
		return e, false
	}
	return e, true
}

func (d *Decoder) targets(m *message) routing.Event {
	switch scope := m.text("scope"); scope {
	case "D", "F", "C":
		list := m.integer("list")
		targets, ok := d.lists[list]
		if !ok {
			m.fail("list", "no REGISTER has number %d", list)
		}
		return routing.TargetsChanged{Full: scope != "D", Targets: targets}
	case "X":
		return routing.TargetsFailed{}
	default:
		m.fail("scope", "%q is unknown", scope)
		return nil
	}
}

func (m *message) request(in *instance) routing.RequestArrived {
	e := routing.RequestArrived{ID: m.text("call")}
	var ok bool
	if e.Class, ok = in.classes[m.text("profile")]; !ok {
		m.fail("profile", "%q is no class of the settings", m.fields["profile"])
	}
	if e.Tenant, ok = in.tenants[m.fields["tenant"]]; !ok {
		m.fail("tenant", "%q is no tenant of the settings", m.fields["tenant"])
	}
	_, e.HasSessionKey = m.fields["client_key"]
	e.SessionKey, e.Group = m.optionalUnsigned("client_key"), m.optionalUnsigned("cluster")
	e.IsRetry = m.flag("retry")
	e.TimeRemaining, e.CommitAge = m.millis("time_left_ms"), m.optionalMillis("token_age_ms")
	return e
}

func (m *message) outcome(in *instance) routing.AttemptEnded {
	ended := m.outcomeCode()
	e := routing.AttemptEnded{
		ID: m.text("call"), Attempt: m.integer("hop"), Host: m.text("host"),
		Code: ended.code, Execution: ended.execution, Elapsed: m.millis("time_taken_ms"), Final: m.flag("final"),
	}
	if mark := m.optionalUnsigned("mark"); mark > 0 {
		e.Role = routing.Role(min(mark%markRoles, maxRole))
		if position := mark / markRoles; position > 0 {
			e.Position = in.positionOrigin + time.Duration(position)*time.Millisecond
		}
	}
	e.Report = m.report(in)
	return e
}

func (m *message) outcomeCode() outcomeCode {
	e, ok := outcomeCodes[m.text("code")]
	if !ok {
		m.fail("code", "%q is unknown", m.fields["code"])
	}
	return e
}

func (m *message) checkHex(field string) {
	text := m.text(field)
	if text == "-" {
		return
	}
	if _, err := hex.DecodeString(text); err != nil {
		m.fail(field, "%q is not in hex digits", text)
	}
}

// report converts the load report of a message. It returns an empty report if the message has none.
func (m *message) report(in *instance) routing.Report {
	var r routing.Report
	text := m.fields["telemetry"]
	if text == "" || text == "-" {
		return r
	}
	values := strings.Split(text, ",")
	if in.positionColumn >= 0 { // rounded down, so that the position is never ahead of the reported one
		micros := math.Floor(m.reportValue(values, in.positionColumn) * 1e6)
		r.Position = in.positionOrigin + time.Duration(micros)*time.Microsecond
	}
	if in.roleColumn >= 0 {
		r.Role = routing.Replica
		if m.reportValue(values, in.roleColumn) >= primaryRoleValue {
			r.Role = routing.Primary
		}
	}
	return r
}

func (m *message) reportValue(values []string, column int) float64 {
	if column >= len(values) {
		m.fail("telemetry", "%q has %d values", m.fields["telemetry"], len(values))
		return 0
	}
	x, err := strconv.ParseFloat(values[column], 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxReportValue {
		m.fail("telemetry", "%q is no number", values[column])
	}
	return x
}

// settings reads the settings from an OPEN_INSTANCE message, and stores in the instance what is needed to convert its messages.
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

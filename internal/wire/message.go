package wire

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"ashstand/internal/settings"
)

// maxMillis is the largest absolute time that is accepted in a message, so that every time fits into a time.Duration.
const maxMillis = 1e12

// message is one line split into its fields. The methods that read fields record the first fault and go on.
type message struct {
	name   string
	fields map[string]string
	fault  error
}

// trailingFields maps a message's name to the field whose value extends to the end of the line.
var trailingFields = map[string]string{"OPEN_INSTANCE": "info"}

// nextMessage reads and splits a line. It returns io.EOF if there are no more lines.
func (d *Decoder) nextMessage() (*message, error) {
	text, err := d.r.ReadString('\n')
	if err != nil && (text == "" || !errors.Is(err, io.EOF)) {
		return nil, err
	}
	d.line++
	if err != nil {
		return nil, d.faultf("the input ends inside a line")
	}
	text = strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")
	name, text, _ := strings.Cut(text, " ")
	m := &message{name: name, fields: make(map[string]string, 10)}
	for text != "" {
		key, value, ok := strings.Cut(text, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			word, _, _ := strings.Cut(text, " ")
			return nil, d.faultf("%s: field %q is not of the form name=value", name, word)
		}
		if key == trailingFields[name] {
			text = ""
		} else {
			value, text, _ = strings.Cut(value, " ")
		}
		m.fields[key] = value
	}
	return m, nil
}

// faultf returns a *LineError for the line that was read last.
func (d *Decoder) faultf(format string, args ...any) error {
	return &LineError{Line: d.line, Cause: fmt.Errorf(format, args...)}
}

func (m *message) fail(field, format string, args ...any) {
	if m.fault == nil {
		m.fault = &FieldError{Message: m.name, Field: field, Reason: fmt.Sprintf(format, args...)}
	}
}

func (m *message) text(field string) string {
	text, ok := m.fields[field]
	if !ok {
		m.fail(field, "missing")
	}
	return text
}

func (m *message) integer(field string) int {
	n, err := strconv.Atoi(m.text(field))
	if err != nil {
		m.fail(field, "%q is no whole number", m.fields[field])
	}
	return n
}

func (m *message) unsigned(field string) uint64 {
	n, err := strconv.ParseUint(m.text(field), 10, 64)
	if err != nil {
		m.fail(field, "%q is no whole number from 0 up", m.fields[field])
	}
	return n
}

// optionalUnsigned is like unsigned, but returns 0 if the field is missing.
func (m *message) optionalUnsigned(field string) uint64 {
	if _, ok := m.fields[field]; !ok {
		return 0
	}
	return m.unsigned(field)
}

func (m *message) flag(field string) bool {
	switch text := m.fields[field]; text {
	case "", "0":
	case "1":
		return true
	default:
		m.fail(field, "%q is neither 0 nor 1", text)
	}
	return false
}

func (m *message) millis(field string) time.Duration {
	x, err := strconv.ParseFloat(m.text(field), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxMillis {
		m.fail(field, "%q is no time in milliseconds", m.fields[field])
		return 0
	}
	return settings.Millis(x)
}

// optionalMillis is like millis, but returns 0 if the field is missing.
func (m *message) optionalMillis(field string) time.Duration {
	if _, ok := m.fields[field]; !ok {
		return 0
	}
	return m.millis(field)
}

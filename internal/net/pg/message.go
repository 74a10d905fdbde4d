// Package pg speaks version 3 of PostgreSQL's protocol: a front for clients and a pool of connections to db
// hosts, simple queries only.
package pg

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"ashstand/internal/edge"
)

// Bounds on what a peer may send before it is cut off.
const (
	maxStartupBytes       = 10000
	maxQueryBytes         = 192 << 10 // a statement and its header
	maxServerMessageBytes = 66 << 10  // a message of a db host: a value of 64 KiB and what frames it
	maxResponseBytes      = 80 << 10  // a whole answer of one
)

const (
	protocolVersion3 = 3 << 16
	codeCancel       = 80877102
	codeSSL          = 80877103
	codeGSS          = 80877104
)

// Codes of ErrorResponse that have a meaning here.
const (
	sqlStateTooManyConnections  = "53300"
	sqlStateCannotConnectNow    = "57P03"
	sqlStateReadOnlyTransaction = "25006"
	sqlStateReplicaBehind       = "72000"
	sqlStateQueryCanceled       = "57014"
	sqlStateConnectionFailure   = "08006"
	sqlStateProtocolViolation   = "08P01"
	sqlStateFeatureNotSupported = "0A000"
	sqlStateAdminShutdown       = "57P01"
	sqlStateInternalError       = "XX000"
)

var errMessageLength = errors.New("a message's length is out of bounds")

// nextMessage cuts one message off b. ok is false while it is not whole; most bounds its length.
func nextMessage(b []byte, most int) (kind byte, body, rest []byte, ok bool, err error) {
	if len(b) < 5 {
		return 0, nil, b, false, nil
	}
	n := int(binary.BigEndian.Uint32(b[1:]))
	if n < 4 || n > most {
		return 0, nil, b, false, errMessageLength
	}
	if len(b) < n+1 {
		return 0, nil, b, false, nil
	}
	return b[0], b[5 : n+1], b[n+1:], true, nil
}

// appendMessage appends a message whose body is written by fill.
func appendMessage(b []byte, kind byte, fill func(b []byte) []byte) []byte {
	b = append(b, kind, 0, 0, 0, 0)
	at := len(b)
	b = fill(b)
	binary.BigEndian.PutUint32(b[at-4:], uint32(len(b)-at+4))
	return b
}

func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }

func appendReady(b []byte) []byte { return append(b, 'Z', 0, 0, 0, 5, 'I') }

func appendParameterStatus(b []byte, name, value string) []byte {
	return appendMessage(b, 'S', func(b []byte) []byte { return appendCString(appendCString(b, name), value) })
}

func appendCommandComplete(b []byte, tag string) []byte {
	return appendMessage(b, 'C', func(b []byte) []byte { return appendCString(b, tag) })
}

// appendError appends an ErrorResponse; detail goes to the field D and may be empty.
func appendError(b []byte, severity, state, text, detail string) []byte {
	return appendMessage(b, 'E', func(b []byte) []byte {
		for _, f := range [...]struct {
			kind byte
			text string
		}{{'S', severity}, {'V', severity}, {'C', state}, {'M', text}, {'D', detail}} {
			if f.text != "" {
				b = appendCString(append(b, f.kind), f.text)
			}
		}
		return append(b, 0)
	})
}

// newCancelKey is what a client has to name to cancel its query from another connection: the number of its own, and a secret.
func newCancelKey(number uint32) uint64 {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails
	return uint64(number)<<32 | uint64(binary.BigEndian.Uint32(secret[:]))
}

// appendStartup appends a startup message.
func appendStartup(b []byte, user, database string) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), protocolVersion3)
	b = appendCString(appendCString(appendCString(appendCString(b, "user"), user), "database"), database)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

// appendQuery appends a simple query whose text is written by fill.
func appendQuery(b []byte, fill func(b []byte) []byte) []byte {
	return appendMessage(b, 'Q', func(b []byte) []byte { return append(fill(b), 0) })
}

// appendRow appends a value as the one row of its column, and what the host told of positions.
func appendRow(b []byte, a *edge.Answer) []byte {
	b = appendMessage(b, 'T', func(b []byte) []byte {
		b = appendCString(append(b, 0, 1), a.Column)
		b = append(b, 0, 0, 0, 0, 0, 0)
		b = binary.BigEndian.AppendUint32(b, a.Type)
		b = append(b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
		if a.Binary {
			b[len(b)-1] = 1
		}
		return b
	})
	b = appendMessage(b, 'D', func(b []byte) []byte {
		b = append(b, 0, 1)
		if a.Null {
			return append(b, 0xff, 0xff, 0xff, 0xff)
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(a.Value)))
		return append(b, a.Value...)
	})
	return appendCommandComplete(b, a.Tag)
}

// response is a db host's answer to one command, up to ReadyForQuery or a fatal error.
type response struct {
	answer    edge.Answer
	rows      int
	sqlState  string // of an ErrorResponse; "": none
	errorText string
	completed bool // CommandComplete came
}

var errUnexpectedMessage = errors.New("an answer of a form that no request asks for")

// findResponseEnd returns the length of the first whole response in b, or 0 while it is not whole. from is where to go
// on looking; the second result is where to go on next time.
func findResponseEnd(b []byte, from int) (end, at int, err error) {
	at = from
	for {
		kind, body, rest, ok, err := nextMessage(b[at:], maxServerMessageBytes)
		if err != nil || !ok {
			return 0, at, err
		}
		at = len(b) - len(rest)
		if kind == 'Z' || kind == 'E' && isFatal(body) {
			return at, at, nil
		}
	}
}

func isFatal(body []byte) bool {
	_, _, severity, _ := errorFields(body)
	return severity == "FATAL" || severity == "PANIC"
}

// errorFields reads an ErrorResponse.
func errorFields(body []byte) (state, text, severity, detail string) {
	for len(body) > 1 {
		value, rest, ok := strings.Cut(string(body[1:]), "\x00")
		if !ok {
			break
		}
		switch body[0] {
		case 'C':
			state = value
		case 'M':
			text = value
		case 'V':
			severity = value
		case 'S':
			if severity == "" {
				severity = value
			}
		case 'D':
			detail = value
		}
		body = []byte(rest)
	}
	return state, text, severity, detail
}

// parseResponse reads a whole response, strictly: what is not what a host says to a query has been spoilt. Values are
// copied: b belongs to the event loop.
func parseResponse(b []byte, names Names) (r response, err error) {
	described, first := false, true
	for len(b) > 0 {
		kind, body, rest, ok, err := nextMessage(b, maxServerMessageBytes)
		if err != nil {
			return r, err
		}
		if !ok {
			return r, errUnexpectedMessage
		}
		b = rest
		switch kind {
		case 'T':
			ok = !described && r.sqlState == "" && r.parseRowDescription(body)
			described = true
		case 'D':
			ok = described && !r.completed && r.parseDataRow(body)
		case 'C':
			tag, end, _ := strings.Cut(string(body), "\x00")
			ok = end == "" && len(tag) == len(body)-1 && !r.completed && r.sqlState == ""
			r.answer.Tag, r.completed = tag, true
		case 'E':
			ok = r.sqlState == "" && len(body) > 0 && body[len(body)-1] == 0
			if r.sqlState, r.errorText, _, _ = errorFields(body); r.sqlState == "" {
				r.sqlState = sqlStateInternalError
			}
		case 'S':
			ok = r.parseParameterStatus(body, names)
		case 'Z':
			ok = len(body) == 1 && strings.IndexByte("ITE", body[0]) >= 0 && len(b) == 0
		case 'R': // the answer to a startup message
			ok = first && string(body) == "\x00\x00\x00\x00"
		case 'N', 'K', 'v', 'I':
		default:
			ok = false
		}
		if !ok {
			return r, errUnexpectedMessage
		}
		first = false
	}
	return r, nil
}

// parseParameterStatus takes a parameter. A position or a report that can't be read says nothing and spoils nothing.
func (r *response) parseParameterStatus(body []byte, names Names) bool {
	name, value, ok := strings.Cut(string(body), "\x00")
	value, rest, end := strings.Cut(value, "\x00")
	if !ok || !end || rest != "" {
		return false
	}
	switch name {
	case names.Role:
		r.answer.Role = value
	case names.Position:
		if x, err := strconv.ParseFloat(value, 64); err == nil && x > 0 && x < 1<<52 {
			r.answer.Position = x
		}
	case names.Gauges:
		r.answer.LoadReport = value
	}
	return true
}

func (r *response) parseRowDescription(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	name, rest, ok := strings.Cut(string(body[2:]), "\x00")
	if !ok || len(rest) != 18 {
		return false
	}
	r.answer.Column = name
	r.answer.Type = binary.BigEndian.Uint32([]byte(rest[6:10]))
	r.answer.Binary = rest[17] == 1
	return true
}

func (r *response) parseDataRow(body []byte) bool {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	r.rows++
	n := int(int32(binary.BigEndian.Uint32(body[2:])))
	if n == -1 && len(body) == 6 {
		r.answer.Null = true
		return true
	}
	if n < 0 || n != len(body)-6 {
		return false
	}
	r.answer.Value = append([]byte{}, body[6:]...)
	return true
}

package pg

import (
	"encoding/binary"
	"strconv"
	"strings"

	"ashstand/internal/edge"
)

// response is a database host's answer to one command, up to ReadyForQuery or a fatal error.
type response struct {
	answer    edge.Answer
	rows      int
	sqlState  string // SQLSTATE of the ErrorResponse; empty if there was none
	errorText string
	described bool // RowDescription was received
	completed bool // CommandComplete was received
}

// findResponseEnd returns the length of the first complete response in b, or 0 while there is none. The search
// starts at from; next is the position from which the next call can continue.
func findResponseEnd(b []byte, from int) (end, next int, err error) {
	next = from
	for {
		kind, body, rest, ok, err := nextMessage(b[next:], maxServerMessageBytes)
		if err != nil || !ok {
			return 0, next, err
		}
		next = len(b) - len(rest)
		if kind == serverReadyForQuery || kind == serverError && isFatal(body) {
			return next, next, nil
		}
	}
}

func isFatal(body []byte) bool {
	_, _, severity, _ := errorFields(body)
	return severity == severityFatal || severity == severityPanic
}

// errorFields parses the body of an ErrorResponse.
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

// parseResponse parses a complete response strictly: any message that is not expected in the answer to a query
// is an error. Values are copied because b belongs to the event loop.
func parseResponse(b []byte, names WireNames) (r response, err error) {
	first := true
	for len(b) > 0 {
		kind, body, rest, ok, err := nextMessage(b, maxServerMessageBytes)
		if err != nil {
			return r, err
		}
		b = rest
		if !ok || !r.parseMessage(kind, body, names, first, len(b) == 0) {
			return r, errUnexpectedMessage
		}
		first = false
	}
	return r, nil
}

// parseMessage parses one message of the response. It returns false if the message is malformed or not expected
// at this point.
func (r *response) parseMessage(kind byte, body []byte, names WireNames, first, last bool) bool {
	switch kind {
	case serverRowDescription:
		ok := !r.described && r.sqlState == "" && r.parseRowDescription(body)
		r.described = true
		return ok
	case serverDataRow:
		return r.described && !r.completed && r.parseDataRow(body)
	case serverCommandComplete:
		tag, end, _ := strings.Cut(string(body), "\x00")
		ok := end == "" && len(tag) == len(body)-1 && !r.completed && r.sqlState == ""
		r.answer.Tag, r.completed = tag, true
		return ok
	case serverError:
		ok := r.sqlState == "" && len(body) > 0 && body[len(body)-1] == 0
		if r.sqlState, r.errorText, _, _ = errorFields(body); r.sqlState == "" {
			r.sqlState = sqlStateInternalError
		}
		return ok
	case serverParameterStatus:
		return r.parseParameterStatus(body, names)
	case serverReadyForQuery:
		return len(body) == 1 && strings.IndexByte("ITE", body[0]) >= 0 && last
	case serverAuthentication: // answer to the startup message: AuthenticationOk
		return first && string(body) == "\x00\x00\x00\x00"
	case serverNotice, serverBackendKeyData, serverNegotiateVersion, serverEmptyQuery:
		return true
	}
	return false
}

// parseParameterStatus records a reported parameter. An invalid log position or load report is ignored, without
// an error.
func (r *response) parseParameterStatus(body []byte, names WireNames) bool {
	name, value, ok := cutParameter(body)
	if !ok {
		return false
	}
	switch name {
	case names.Role:
		r.answer.Role = value
	case names.Position:
		if position, ok := parsePosition(value); ok {
			r.answer.Position = position
		}
	case names.Gauges:
		r.answer.LoadReport = value
	}
	return true
}

// cutParameter parses the body of a ParameterStatus.
func cutParameter(body []byte) (name, value string, ok bool) {
	name, value, ok = strings.Cut(string(body), "\x00")
	value, rest, end := strings.Cut(value, "\x00")
	return name, value, ok && end && rest == ""
}

// maxPosition is the exclusive upper bound of the log positions, in Unix milliseconds, that a host may report.
const maxPosition = 1 << 52

// parsePosition parses a log position that a host reported; ok is false if the value is invalid.
func parsePosition(value string) (position float64, ok bool) {
	position, err := strconv.ParseFloat(value, 64)
	return position, err == nil && position > 0 && position < maxPosition
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

package pg

import (
	"crypto/rand"
	"encoding/binary"

	"ashstand/internal/edge"
)

// Limits on the size of a peer's messages. A peer that exceeds one of them is disconnected.
const (
	maxStartupBytes       = 10000
	maxQueryBytes         = 192 << 10 // a statement with its message header
	maxServerMessageBytes = 66 << 10  // one message of a database host: a value of 64 KiB and its framing
	maxResponseBytes      = 80 << 10  // one complete response of a database host
)

// Codes that messages without a kind byte carry: the protocol version of a startup message, or the kind of
// request.
const (
	protocolVersion3 = 3 << 16
	codeCancel       = 80877102
	codeSSL          = 80877103
	codeGSS          = 80877104
)

// nextMessage splits the first message off b. ok is false while the message is incomplete. A message whose
// length field exceeds maxBytes is an error.
func nextMessage(b []byte, maxBytes int) (kind byte, body, tail []byte, ok bool, err error) {
	if len(b) < 5 {
		return 0, nil, b, false, nil
	}
	n := int(binary.BigEndian.Uint32(b[1:]))
	if n < 4 || n > maxBytes {
		return 0, nil, b, false, errMessageLength
	}
	if len(b) < n+1 {
		return 0, nil, b, false, nil
	}
	return b[0], b[5 : n+1], b[n+1:], true, nil
}

// appendMessage appends a message whose body fill writes.
func appendMessage(b []byte, kind byte, fill func(b []byte) []byte) []byte {
	b = append(b, kind, 0, 0, 0, 0)
	bodyStart := len(b)
	b = fill(b)
	binary.BigEndian.PutUint32(b[bodyStart-4:], uint32(len(b)-bodyStart+4))
	return b
}

// appendEmpty appends a message without a body.
func appendEmpty(b []byte, kind byte) []byte { return append(b, kind, 0, 0, 0, 4) }

func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// appendReady appends a ReadyForQuery with the status outside a transaction block.
func appendReady(b []byte) []byte { return appendReadyForQuery(b, statusIdle) }

// appendReadyForQuery appends a ReadyForQuery with the given transaction status.
func appendReadyForQuery(b []byte, status byte) []byte {
	return append(b, serverReadyForQuery, 0, 0, 0, 5, status)
}

func appendParameterStatus(b []byte, name, value string) []byte {
	return appendMessage(b, serverParameterStatus, func(b []byte) []byte { return appendCString(appendCString(b, name), value) })
}

func appendCommandComplete(b []byte, tag string) []byte {
	return appendMessage(b, serverCommandComplete, func(b []byte) []byte { return appendCString(b, tag) })
}

func appendAuthenticationOK(b []byte) []byte {
	return appendMessage(b, serverAuthentication, func(b []byte) []byte {
		return binary.BigEndian.AppendUint32(b, authenticationOK)
	})
}

// appendNegotiateVersion appends the answer to a client that asked for a newer minor version: only 3.0 is
// supported.
func appendNegotiateVersion(b []byte) []byte {
	return appendMessage(b, serverNegotiateVersion, func(b []byte) []byte {
		b = binary.BigEndian.AppendUint32(b, protocolVersion3)
		return binary.BigEndian.AppendUint32(b, 0) // number of protocol options that are not recognized
	})
}

// appendBackendKeyData appends the key that a cancel request has to contain.
func appendBackendKeyData(b []byte, key uint64) []byte {
	return appendMessage(b, serverBackendKeyData, func(b []byte) []byte { return binary.BigEndian.AppendUint64(b, key) })
}

// appendError appends an ErrorResponse. Empty fields are left out; detail is the field D.
func appendError(b []byte, severity, sqlState, text, detail string) []byte {
	return appendMessage(b, serverError, func(b []byte) []byte {
		for _, field := range [...]struct {
			kind byte
			text string
		}{{'S', severity}, {'V', severity}, {'C', sqlState}, {'M', text}, {'D', detail}} {
			if field.text != "" {
				b = appendCString(append(b, field.kind), field.text)
			}
		}
		return append(b, 0)
	})
}

// newCancelKey returns the key by which a client can cancel its query from another connection. The upper half
// is the number of the client's connection, the lower half a random secret.
func newCancelKey(number uint32) uint64 {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails
	return uint64(number)<<32 | uint64(binary.BigEndian.Uint32(secret[:]))
}

// startupMessage encodes a startup message for protocol version 3.0.
func startupMessage(user, database string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, protocolVersion3)
	b = appendCString(appendCString(appendCString(appendCString(b, "user"), user), "database"), database)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)))
	return b
}

// appendCancelRequest appends a cancel request for the connection to which a host assigned this process ID and
// secret.
func appendCancelRequest(b []byte, pid, secret uint32) []byte {
	b = binary.BigEndian.AppendUint32(b, cancelRequestBytes)
	b = binary.BigEndian.AppendUint32(b, codeCancel)
	b = binary.BigEndian.AppendUint32(b, pid)
	return binary.BigEndian.AppendUint32(b, secret)
}

// appendQuery appends a simple query whose text fill writes.
func appendQuery(b []byte, fill func(b []byte) []byte) []byte {
	return appendMessage(b, clientQuery, func(b []byte) []byte { return append(fill(b), 0) })
}

// appendRow appends a result of one column and one row, and the CommandComplete with the host's command tag.
func appendRow(b []byte, a *edge.Answer) []byte {
	b = appendMessage(b, serverRowDescription, func(b []byte) []byte {
		b = appendCString(append(b, 0, 1), a.Column)
		b = append(b, 0, 0, 0, 0, 0, 0)
		b = binary.BigEndian.AppendUint32(b, a.Type)
		b = append(b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
		if a.Binary {
			b[len(b)-1] = 1
		}
		return b
	})
	b = appendMessage(b, serverDataRow, func(b []byte) []byte {
		b = append(b, 0, 1)
		if a.Null {
			return append(b, 0xff, 0xff, 0xff, 0xff)
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(a.Value)))
		return append(b, a.Value...)
	})
	return appendCommandComplete(b, a.Tag)
}

// cutString splits the first null-terminated string off a message body.
func cutString(body []byte) (s string, tail []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return string(body[:i]), body[i+1:], true
		}
	}
	return "", nil, false
}

// cutTwoStrings splits off the two strings at the start of a Parse (statement name and text) or a Bind (portal
// and statement name).
func cutTwoStrings(body []byte) (first, second string, tail []byte, ok bool) {
	first, tail, ok = cutString(body)
	if ok {
		second, tail, ok = cutString(tail)
	}
	return first, second, tail, ok
}

// cutTarget parses the body of a Describe or a Close: the target kind (statement or portal) and the name.
func cutTarget(body []byte) (target byte, name string, ok bool) {
	if len(body) == 0 || body[0] != targetStatement && body[0] != targetPortal {
		return 0, "", false
	}
	name, rest, ok := cutString(body[1:])
	return body[0], name, ok && len(rest) == 0
}

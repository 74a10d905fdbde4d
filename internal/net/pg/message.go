package pg

import (
	"crypto/rand"
	"encoding/binary"

	"ashstand/internal/edge"
)

// Bounds on what a peer may send before it is cut off.
const (
	maxStartupBytes       = 10000
	maxQueryBytes         = 192 << 10 // a statement and its header
	maxServerMessageBytes = 66 << 10  // a message of a db host: a value of 64 KiB and what frames it
	maxResponseBytes      = 80 << 10  // a whole answer of one
)

// Codes of messages that have no kind, in place of a protocol version.
const (
	protocolVersion3 = 3 << 16
	codeCancel       = 80877102
	codeSSL          = 80877103
	codeGSS          = 80877104
)

// nextMessage cuts one message off b. ok is false while it is not complete; most bounds its length.
func nextMessage(b []byte, most int) (kind byte, body, tail []byte, ok bool, err error) {
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

// appendEmpty appends a message that has no body.
func appendEmpty(b []byte, kind byte) []byte { return append(b, kind, 0, 0, 0, 4) }

func appendCString(b []byte, s string) []byte { return append(append(b, s...), 0) }

// appendReady appends a ReadyForQuery outside of a transaction block.
func appendReady(b []byte) []byte { return appendReadyForQuery(b, statusIdle) }

// appendReadyForQuery appends a ReadyForQuery with a transaction status.
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

// appendNegotiateVersion answers a later minor version: 3.0 is what there is.
func appendNegotiateVersion(b []byte) []byte {
	return appendMessage(b, serverNegotiateVersion, func(b []byte) []byte {
		b = binary.BigEndian.AppendUint32(b, protocolVersion3)
		return binary.BigEndian.AppendUint32(b, 0) // options that are not known
	})
}

// appendBackendKeyData appends what a cancel request has to name.
func appendBackendKeyData(b []byte, key uint64) []byte {
	return appendMessage(b, serverBackendKeyData, func(b []byte) []byte { return binary.BigEndian.AppendUint64(b, key) })
}

// appendError appends an ErrorResponse; detail goes to the field D and may be empty.
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

// newCancelKey draws what a client has to name to cancel its query from another connection: the number of its own, and a
// secret.
func newCancelKey(number uint32) uint64 {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails
	return uint64(number)<<32 | uint64(binary.BigEndian.Uint32(secret[:]))
}

// startupMessage is a startup message.
func startupMessage(user, database string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{0, 0, 0, 0}, protocolVersion3)
	b = appendCString(appendCString(appendCString(appendCString(b, "user"), user), "database"), database)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)))
	return b
}

// appendCancelRequest appends a cancel request for the connection to which a host gave this process id and secret.
func appendCancelRequest(b []byte, pid, secret uint32) []byte {
	b = binary.BigEndian.AppendUint32(b, cancelRequestBytes)
	b = binary.BigEndian.AppendUint32(b, codeCancel)
	b = binary.BigEndian.AppendUint32(b, pid)
	return binary.BigEndian.AppendUint32(b, secret)
}

// appendQuery appends a simple query whose text is written by fill.
func appendQuery(b []byte, fill func(b []byte) []byte) []byte {
	return appendMessage(b, clientQuery, func(b []byte) []byte { return append(fill(b), 0) })
}

// appendRow appends a value as the one row of its column, and what the host said that it did.
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

// cutString cuts the first string off a body.
func cutString(body []byte) (s string, tail []byte, ok bool) {
	for i, b := range body {
		if b == 0 {
			return string(body[:i]), body[i+1:], true
		}
	}
	return "", nil, false
}

// cutTwoStrings cuts off the strings that a Parse (its name, its text) and a Bind (its portal, its statement) begin with.
func cutTwoStrings(body []byte) (first, second string, tail []byte, ok bool) {
	first, tail, ok = cutString(body)
	if ok {
		second, tail, ok = cutString(tail)
	}
	return first, second, tail, ok
}

// cutTarget reads what a Describe or a Close is about: a statement or a portal, and its name.
func cutTarget(body []byte) (target byte, name string, ok bool) {
	if len(body) == 0 || body[0] != targetStatement && body[0] != targetPortal {
		return 0, "", false
	}
	name, rest, ok := cutString(body[1:])
	return body[0], name, ok && len(rest) == 0
}

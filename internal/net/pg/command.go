package pg

import (
	"encoding/binary"
	"fmt"
)

// CommandKind is the kind of a client's command.
type CommandKind uint8

// Kinds of client commands.
const (
	Incomplete        CommandKind = iota // the next message is not complete yet
	Startup                              // the startup message of a session
	EncryptionRequest                    // a request for TLS or GSSAPI
	Cancel                               // a request to cancel a query
	Query                                // a simple query; Text holds it
	Sync                                 // the end of a batch of extended-protocol messages
	Extended                             // the first extended-protocol message of a batch
	FunctionCall                         // a function call
	Ignored                              // a message that needs no answer
	Terminate                            // the client closes the connection
	Malformed                            // a protocol error after which the stream can't be parsed; Text holds the reason
	Overloaded                           // added by the front when memory runs out: later input is not read; Text holds the reason
)

// Command is one message of a client.
type Command struct {
	Kind       CommandKind
	Text       string
	Size       int    // number of bytes that the message took in the input
	NewerMinor bool   // for Startup: the client asked for a newer minor version
	Key        uint64 // for Cancel: the key of the connection whose query is to be canceled; 0 if the request is malformed
}

// Parser splits a client's byte stream into commands. The front uses it on live connections, the replay on
// captures.
type Parser struct {
	started       bool
	skipUntilSync bool // an extended-protocol message was read: messages are ignored until Sync
}

// Next parses the command at the start of b.
func (p *Parser) Next(b []byte) Command {
	if !p.started {
		return p.startup(b)
	}
	kind, body, rest, ok, err := nextMessage(b, maxQueryBytes)
	if err != nil {
		return Command{Kind: Malformed, Text: err.Error()}
	}
	if !ok {
		return Command{}
	}
	c := Command{Kind: Ignored, Size: len(b) - len(rest)}
	switch kind {
	case clientTerminate:
		c.Kind = Terminate
	case clientSync:
		c.Kind, p.skipUntilSync = Sync, false
	case clientFlush:
	case clientParse, clientBind, clientDescribe, clientExecute, clientClose:
		if !p.skipUntilSync {
			c.Kind, p.skipUntilSync = Extended, true
		}
	case clientFunctionCall:
		if !p.skipUntilSync {
			c.Kind = FunctionCall
		}
	case clientQuery:
		switch {
		case p.skipUntilSync:
		case len(body) == 0 || body[len(body)-1] != 0:
			c.Kind, c.Text = Malformed, "a query without its end"
		default:
			c.Kind, c.Text = Query, string(body[:len(body)-1])
		}
	default:
		c.Kind, c.Text = Malformed, fmt.Sprintf("message %q is unknown", kind)
	}
	return c
}

func (p *Parser) startup(b []byte) Command {
	if len(b) < startupHeaderBytes {
		return Command{}
	}
	size, code := int(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
	switch {
	case size < startupHeaderBytes || size > maxStartupBytes:
		return Command{Kind: Malformed, Text: errMessageLength.Error()}
	case len(b) < size:
		return Command{}
	case code == codeSSL || code == codeGSS:
		return Command{Kind: EncryptionRequest, Size: size}
	case code == codeCancel:
		c := Command{Kind: Cancel, Size: size}
		if size == cancelRequestBytes {
			c.Key = binary.BigEndian.Uint64(b[startupHeaderBytes:])
		}
		return c
	case code>>16 != protocolVersion3>>16:
		return Command{Kind: Malformed, Text: "protocol version 3 is spoken here"}
	}
	p.started = true
	return Command{Kind: Startup, Size: size, NewerMinor: code != protocolVersion3}
}

// readAhead scans the bytes that a client sent after a request that is not answered yet.
type readAhead struct {
	scanned int // number of bytes scanned so far
	needed  int // number of buffered bytes from which the next message can be complete
}

// hasTerminate reports whether the scanned bytes contain a Terminate message. A client sends Terminate as its
// last message and closes its connection, so it no longer waits for an answer. n is the number of buffered
// bytes, which peek returns.
func (l *readAhead) hasTerminate(n int, peek func(int) ([]byte, error), maxBytes int) bool {
	if n < max(l.needed, l.scanned+5) {
		return false
	}
	b, err := peek(n)
	if err != nil {
		return false
	}
	for len(b)-l.scanned >= 5 {
		kind, _, rest, ok, err := nextMessage(b[l.scanned:], maxBytes)
		switch {
		case err != nil: // the error is reported when the message is processed
			return false
		case !ok:
			l.needed = l.scanned + 1 + int(binary.BigEndian.Uint32(b[l.scanned+1:]))
			return false
		case kind == clientTerminate:
			return true
		}
		l.scanned = len(b) - len(rest)
	}
	return false
}

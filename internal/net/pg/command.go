package pg

import (
	"encoding/binary"
	"fmt"
)

// CommandKind tells the commands of a client apart.
type CommandKind uint8

// The kinds of commands.
const (
	Incomplete        CommandKind = iota // the next message is not complete yet
	Startup                              // the startup message of a session
	EncryptionRequest                    // a request for TLS or GSSAPI
	Cancel                               // a request to cancel a query
	Query                                // a simple query; Text holds it
	Sync                                 // the end of a batch of the extended protocol
	Extended                             // a message of the extended protocol, the first of its batch
	Function                             // a function call
	Ignored                              // nothing to answer
	Terminate                            // the client closes the connection
	Malformed                            // nothing after this can be understood; Text says why
	Overloaded                           // made by the front: what comes after this is not read for want of memory; Text says why
)

// Command is one message of a client.
type Command struct {
	Kind  CommandKind
	Text  string
	Used  int    // bytes that it took
	Minor bool   // Startup: a later minor version was asked for
	Key   uint64 // Cancel: of the connection whose query is meant, as it was given out; 0: it makes no sense
}

// Parser cuts what a client sends into commands. The front uses it on live connections, the replay on captures.
type Parser struct {
	started       bool
	skipUntilSync bool // until Sync, after a message of the extended protocol
}

// Next reads the command at the start of b.
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
	c := Command{Kind: Ignored, Used: len(b) - len(rest)}
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
			c.Kind = Function
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
		return Command{Kind: EncryptionRequest, Used: size}
	case code == codeCancel:
		c := Command{Kind: Cancel, Used: size}
		if size == cancelRequestBytes {
			c.Key = binary.BigEndian.Uint64(b[startupHeaderBytes:])
		}
		return c
	case code>>16 != protocolVersion3>>16:
		return Command{Kind: Malformed, Text: "protocol version 3 is spoken here"}
	}
	p.started = true
	return Command{Kind: Startup, Used: size, Minor: code != protocolVersion3}
}

// readAhead is a look at what a client sent behind a request that is not answered yet.
type readAhead struct {
	scanned int // bytes that were looked through
	needed  int // less than this holds no whole message more
}

// hasTerminate reports whether the client has ended its session there. A client sends that last and closes its connection, so it
// waits for no answer any more. n bytes are buffered, and peek returns them.
func (l *readAhead) hasTerminate(n int, peek func(int) ([]byte, error), most int) bool {
	if n < max(l.needed, l.scanned+5) {
		return false
	}
	b, err := peek(n)
	if err != nil {
		return false
	}
	for len(b)-l.scanned >= 5 {
		kind, _, rest, ok, err := nextMessage(b[l.scanned:], most)
		switch {
		case err != nil: // it is told so when its turn comes
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

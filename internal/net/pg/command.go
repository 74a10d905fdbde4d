package pg

import (
	"encoding/binary"
	"fmt"
)

// Kind tells the commands of a client apart.
type Kind uint8

// The kinds.
const (
	Incomplete Kind = iota // the next message is not whole yet
	Startup
	Encrypt  // a request for TLS or GSSAPI
	Cancel   // a request to cancel a query
	Query    // a simple query; Text holds it
	Sync     // the end of a batch of the extended protocol
	Extended // a message of the extended protocol, the first of its batch
	Function // a function call
	Ignored  // nothing to answer
	End      // the client closes the connection
	Broken   // nothing after this can be understood; Text says why
)

// Command is one message of a client.
type Command struct {
	Kind  Kind
	Text  string
	Used  int    // bytes that it took
	Minor bool   // Startup: a later minor version was asked for
	Key   uint64 // Cancel: of the connection whose query is meant, as it was given out; 0: it makes no sense
}

// Parser cuts what a client sends into commands. The front uses it on live connections, the replay on captures.
type Parser struct {
	started bool
	skip    bool // until Sync, after a message of the extended protocol
}

// Next reads the command at the start of b.
func (p *Parser) Next(b []byte) Command {
	if !p.started {
		return p.startup(b)
	}
	kind, body, rest, ok, err := next(b, maxQuery)
	if err != nil {
		return Command{Kind: Broken, Text: err.Error()}
	}
	if !ok {
		return Command{}
	}
	c := Command{Kind: Ignored, Used: len(b) - len(rest)}
	switch kind {
	case 'X':
		c.Kind = End
	case 'S':
		c.Kind, p.skip = Sync, false
	case 'H':
	case 'P', 'B', 'D', 'E', 'C':
		if !p.skip {
			c.Kind, p.skip = Extended, true
		}
	case 'F':
		if !p.skip {
			c.Kind = Function
		}
	case 'Q':
		switch {
		case p.skip:
		case len(body) == 0 || body[len(body)-1] != 0:
			c.Kind, c.Text = Broken, "a query without its end"
		default:
			c.Kind, c.Text = Query, string(body[:len(body)-1])
		}
	default:
		c.Kind, c.Text = Broken, fmt.Sprintf("message %q is unknown", kind)
	}
	return c
}

func (p *Parser) startup(b []byte) Command {
	if len(b) < 8 {
		return Command{}
	}
	n, code := int(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
	switch {
	case n < 8 || n > maxStartup:
		return Command{Kind: Broken, Text: errLength.Error()}
	case len(b) < n:
		return Command{}
	case code == codeSSL || code == codeGSS:
		return Command{Kind: Encrypt, Used: n}
	case code == codeCancel:
		c := Command{Kind: Cancel, Used: n}
		if n == 16 {
			c.Key = binary.BigEndian.Uint64(b[8:])
		}
		return c
	case code>>16 != 3:
		return Command{Kind: Broken, Text: "protocol version 3 is spoken here"}
	}
	p.started = true
	return Command{Kind: Startup, Used: n, Minor: code != protocol3}
}

// behind is a look at what a client sent behind a request that is not answered yet.
type behind struct {
	seen int // bytes that were looked through
	need int // less than this holds no whole message more
}

// goodbye says whether the client has ended its session there. A client sends that last and closes its connection, so it
// waits for no answer any more. n bytes are held, of which peek returns all.
func (l *behind) goodbye(n int, peek func(int) ([]byte, error), most int) bool {
	if n < max(l.need, l.seen+5) {
		return false
	}
	b, err := peek(n)
	if err != nil {
		return false
	}
	for len(b)-l.seen >= 5 {
		kind, _, rest, ok, err := next(b[l.seen:], most)
		switch {
		case err != nil: // it is told so when its turn comes
			return false
		case !ok:
			l.need = l.seen + 1 + int(binary.BigEndian.Uint32(b[l.seen+1:]))
			return false
		case kind == 'X':
			return true
		}
		l.seen = len(b) - len(rest)
	}
	return false
}

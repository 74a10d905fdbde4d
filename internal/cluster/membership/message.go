package membership

import (
	"bytes"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/hashicorp/memberlist"
)

// messageKind is the first byte of a message between members.
type messageKind byte

// The kinds of messages.
const (
	kindNameConflict messageKind = 1
	kindPayload      messageKind = 2
)

// errMalformedMessage reports a message of an unknown kind, or one that cannot be decoded.
var errMalformedMessage = errors.New("malformed message between members")

// message is a direct message between two members, apart from gossip: a *nameConflictMessage or a
// payloadMessage.
type message interface{ kind() messageKind }

// payloadMessage carries the bytes that another package passed to Send.
type payloadMessage []byte

// nameConflictMessage notifies an incarnation that another one claims the same name.
type nameConflictMessage struct{ other Info }

func (payloadMessage) kind() messageKind       { return kindPayload }
func (*nameConflictMessage) kind() messageKind { return kindNameConflict }

func (m payloadMessage) encode() []byte { return append([]byte{byte(kindPayload)}, m...) }

// encode returns the kind, the quoted name, a space, the quoted address, a space and the encoded information.
func (m *nameConflictMessage) encode() ([]byte, error) {
	info, err := m.other.Encode(math.MaxInt)
	if err != nil {
		return nil, err
	}
	b := []byte{byte(kindNameConflict)}
	b = strconv.AppendQuote(b, m.other.Name)
	b = append(b, ' ')
	b = strconv.AppendQuote(b, m.other.Address)
	b = append(b, ' ')
	return append(b, info...), nil
}

// decodeMessage decodes a message. A payload shares its memory with b.
func decodeMessage(b []byte) (message, error) {
	if len(b) < 2 {
		return nil, errMalformedMessage
	}
	switch messageKind(b[0]) {
	case kindPayload:
		return payloadMessage(b[1:]), nil
	case kindNameConflict:
		return decodeNameConflict(string(b[1:]))
	}
	return nil, errMalformedMessage
}

func decodeNameConflict(text string) (*nameConflictMessage, error) {
	name, text, err := cutQuoted(text)
	if err != nil {
		return nil, err
	}
	address, text, err := cutQuoted(text)
	if err != nil {
		return nil, err
	}
	other, err := DecodeInfo(name, address, []byte(text))
	if err != nil {
		return nil, err
	}
	return &nameConflictMessage{other: other}, nil
}

// cutQuoted splits a text after a quoted string and one space, and returns the unquoted string and the rest.
func cutQuoted(text string) (value, rest string, err error) {
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", errMalformedMessage
	}
	value, err = strconv.Unquote(quoted)
	return value, strings.TrimPrefix(text[len(quoted):], " "), err
}

// Send sends a message to a member at its configured address, whatever state the member is in. Short messages
// are sent as datagrams, which may be lost, duplicated or delayed; each longer one is sent as a stream. It
// does not block.
func (g *Gossip) Send(name string, b []byte) {
	g.mu.Lock()
	list, address := g.list, g.options.Peers[name]
	g.mu.Unlock()
	if list == nil || address == "" {
		return
	}
	encoded := payloadMessage(b).encode()
	if len(encoded) <= maxDatagramBytes {
		_ = list.SendToAddress(memberlist.Address{Addr: address, Name: name}, encoded) // the transport counts failures
		return
	}
	g.sendStream(name, address, encoded)
}

// sendStream sends a message as a stream. It drops the message if too many are in flight to that member.
func (g *Gossip) sendStream(name, address string, encoded []byte) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return
	}
	counter, _ := g.outgoingStreams.LoadOrStore(name, new(atomic.Int64))
	inFlight := counter.(*atomic.Int64)
	if inFlight.Add(1) > maxOutgoingStreams {
		inFlight.Add(-1)
		return
	}
	started := g.startSender(func(list *memberlist.Memberlist) {
		defer inFlight.Add(-1)
		node := &memberlist.Node{Name: name, Addr: resolved.IP, Port: uint16(resolved.Port)}
		_ = list.SendReliable(node, encoded) // the transport counts failures
	})
	if !started {
		inFlight.Add(-1)
	}
}

// sendNameConflict notifies an incarnation that another one claims the same name. It sends the message to the
// address that the incarnation reports, since the configured address of the name belongs to only one of the
// two.
func sendNameConflict(list *memberlist.Memberlist, to, other Info) {
	encoded, err := (&nameConflictMessage{other: other}).encode()
	if err != nil {
		return
	}
	resolved, err := net.ResolveUDPAddr("udp", to.Address)
	if err != nil {
		return
	}
	_ = list.SendToAddress(memberlist.Address{Addr: resolved.String()}, encoded) // it is sent again for as long as the conflict lasts
}

// handlePayload passes a copy of a payload to Options.OnMessage, if that is set.
func (g *Gossip) handlePayload(m payloadMessage) (handled bool) {
	if g.options.OnMessage == nil {
		return false
	}
	g.options.OnMessage(bytes.Clone(m))
	return true
}

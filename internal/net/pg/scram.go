package pg

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/panjf2000/gnet/v2"
	"github.com/xdg-go/scram"
)

// Verifier is what is kept of a password: not the password.
type Verifier struct{ stored scram.StoredCredentials }

// ParseVerifier reads a verifier as PostgreSQL keeps it: SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey, with the
// binary parts in base64.
func ParseVerifier(s string) (v Verifier, err error) {
	bad := errors.New("a verifier is SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey")
	kind, rest, ok := strings.Cut(s, "$")
	factors, keys, ok2 := strings.Cut(rest, "$")
	iterations, salt, ok3 := strings.Cut(factors, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 || kind != "SCRAM-SHA-256" {
		return v, bad
	}
	if v.stored.Iters, err = strconv.Atoi(iterations); err != nil || v.stored.Iters < 4096 {
		return v, fmt.Errorf("%w; it has %q iterations, 4096 are the least", bad, iterations)
	}
	raw, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(raw) == 0 {
		return v, fmt.Errorf("%w; its salt is not base64", bad)
	}
	v.stored.Salt = string(raw)
	if v.stored.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil || len(v.stored.StoredKey) != 32 {
		return v, fmt.Errorf("%w; its StoredKey is not 32 bytes of base64", bad)
	}
	if v.stored.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil || len(v.stored.ServerKey) != 32 {
		return v, fmt.Errorf("%w; its ServerKey is not 32 bytes of base64", bad)
	}
	return v, nil
}

// saslOffer asks a client for SCRAM-SHA-256.
var saslOffer = appendMessage(nil, 'R', func(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, 10), "SCRAM-SHA-256\x00\x00"...)
})

// scramExchange is a client's proof that it knows its password.
type scramExchange struct {
	conversation *scram.ServerConversation
	started      bool
}

// newScramExchange begins one. A user who is not known is refused only at the end, as a wrong password is.
func newScramExchange(user string, v Verifier, known bool) *scramExchange {
	if !known {
		v.stored = scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: "ashstand" + user, Iters: 4096},
			StoredKey:  make([]byte, 32), ServerKey: make([]byte, 32),
		}
	}
	// The name in the conversation is not used: that of the startup message counts, as with a server.
	s, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v.stored, nil })
	if err != nil {
		return nil
	}
	return &scramExchange{conversation: s.NewConversation()}
}

// authenticate takes a message of the proof.
func (c *sessionClient) authenticate(b []byte) (used int, action gnet.Action) {
	kind, body, rest, ok, err := nextMessage(b, maxStartupBytes)
	if err == nil && !ok {
		return 0, gnet.None
	}
	refused := func() gnet.Action {
		return c.closeWithError("28P01", "password authentication failed for user "+strconv.Quote(c.identity.user), "")
	}
	if err != nil || kind != 'p' {
		return 0, c.closeWithError(sqlStateProtocolViolation, "a proof of the password is due", "")
	}
	p := c.authentication
	if !p.started {
		p.started = true
		mechanism, tail, ok := cutString(body)
		if !ok || mechanism != "SCRAM-SHA-256" || len(tail) < 4 || int(binary.BigEndian.Uint32(tail)) != len(tail)-4 {
			return 0, c.closeWithError(sqlStateProtocolViolation, "SCRAM-SHA-256 is the one mechanism offered", "")
		}
		body = tail[4:]
	}
	said, err := p.conversation.Step(string(body))
	if err != nil || p.conversation.Done() && !p.conversation.Valid() {
		return 0, refused()
	}
	code := uint32(11)
	if p.conversation.Done() {
		code = 12
	}
	c.writeClient(appendMessage(nil, 'R', func(b []byte) []byte { return append(binary.BigEndian.AppendUint32(b, code), said...) }))
	if p.conversation.Done() {
		c.authentication = nil
		c.completeStartup()
	}
	return len(b) - len(rest), gnet.None
}

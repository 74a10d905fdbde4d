package pg

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/panjf2000/gnet/v2"
	"github.com/xdg-go/scram"
)

const (
	scramMechanism     = "SCRAM-SHA-256" // the only mechanism offered
	minScramIterations = 4096
	scramKeyBytes      = 32
)

// Verifier holds the stored credentials for verifying a password. The password can't be derived from them.
type Verifier struct{ stored scram.StoredCredentials }

// ParseVerifier parses a verifier in PostgreSQL's storage format:
// SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey, with the binary parts in base64. A returned error is a
// *VerifierError.
func ParseVerifier(s string) (v Verifier, err error) {
	kind, rest, ok := strings.Cut(s, "$")
	factors, keys, ok2 := strings.Cut(rest, "$")
	iterations, salt, ok3 := strings.Cut(factors, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 || kind != scramMechanism {
		return v, &VerifierError{}
	}
	if v.stored.Iters, err = strconv.Atoi(iterations); err != nil || v.stored.Iters < minScramIterations {
		return v, &VerifierError{Detail: fmt.Sprintf("it has %q iterations, %d are the least", iterations, minScramIterations)}
	}
	raw, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(raw) == 0 {
		return v, &VerifierError{Detail: "its salt is not base64"}
	}
	v.stored.Salt = string(raw)
	if v.stored.StoredKey, err = decodeScramKey("StoredKey", stored); err != nil {
		return v, err
	}
	if v.stored.ServerKey, err = decodeScramKey("ServerKey", server); err != nil {
		return v, err
	}
	return v, nil
}

func decodeScramKey(name, text string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != scramKeyBytes {
		return nil, &VerifierError{Detail: fmt.Sprintf("its %s is not %d bytes of base64", name, scramKeyBytes)}
	}
	return key, nil
}

// saslOffer is the AuthenticationSASL message that offers SCRAM-SHA-256.
var saslOffer = appendMessage(nil, 'R', func(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, 10), "SCRAM-SHA-256\x00\x00"...)
})

// scramExchange is the state of a client's SCRAM authentication.
type scramExchange struct {
	conversation *scram.ServerConversation
	started      bool
}

// newScramExchange starts an exchange. An unknown user is rejected only at its end, like a wrong password.
func newScramExchange(user string, v Verifier, isKnown bool) *scramExchange {
	if !isKnown {
		v.stored = scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: "ashstand" + user, Iters: 4096},
			StoredKey:  make([]byte, 32), ServerKey: make([]byte, 32),
		}
	}
	// The user name in the SCRAM messages is ignored in favor of the one in the startup message, as a
	// PostgreSQL server does.
	s, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return v.stored, nil })
	if err != nil {
		return nil
	}
	return &scramExchange{conversation: s.NewConversation()}
}

// authenticate processes one SASL message of a client. used is the number of bytes consumed.
func (c *sessionClient) authenticate(b []byte) (used int, action gnet.Action) {
	kind, body, rest, ok, err := nextMessage(b, maxStartupBytes)
	if err == nil && !ok {
		return 0, gnet.None
	}
	if err != nil || kind != clientPassword {
		return 0, c.closeWithError(sqlStateProtocolViolation, "a proof of the password is due", "")
	}
	exchange := c.authentication
	if !exchange.started {
		exchange.started = true
		if body, ok = cutInitialResponse(body); !ok {
			return 0, c.closeWithError(sqlStateProtocolViolation, "SCRAM-SHA-256 is the one mechanism offered", "")
		}
	}
	challenge, err := exchange.conversation.Step(string(body))
	if err != nil || exchange.conversation.Done() && !exchange.conversation.Valid() {
		text := "password authentication failed for user " + strconv.Quote(c.identity.user)
		return 0, c.closeWithError(sqlStateInvalidPassword, text, "")
	}
	code := authenticationSASLContinue
	if exchange.conversation.Done() {
		code = authenticationSASLFinal
	}
	c.writeClient(appendMessage(nil, serverAuthentication, func(b []byte) []byte {
		return append(binary.BigEndian.AppendUint32(b, code), challenge...)
	}))
	if exchange.conversation.Done() {
		c.authentication = nil
		c.completeStartup()
	}
	return len(b) - len(rest), gnet.None
}

// cutInitialResponse parses the body of a SASLInitialResponse and checks the mechanism that it names.
func cutInitialResponse(body []byte) (response []byte, ok bool) {
	mechanism, tail, ok := cutString(body)
	if !ok || mechanism != scramMechanism || len(tail) < 4 || int(binary.BigEndian.Uint32(tail)) != len(tail)-4 {
		return nil, false
	}
	return tail[4:], true
}

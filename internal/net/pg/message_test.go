package pg

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
	"ashstand/internal/lifecycle"
)

func completeResponse() []byte {
	b := appendRow(nil, &edge.Answer{Column: "payload", Type: 17, Binary: true, Value: []byte("\x00v"), Tag: "SELECT 1"})
	b = appendParameterStatus(appendParameterStatus(appendParameterStatus(b, "part", "replica"), "caught_up_to", "1767225600123"), "gauges", "x0=1767225600.123,x1=0")
	return appendReady(b)
}

// Guards against a partial response taken for a complete one: it ends with ReadyForQuery and not before.
func TestResponseIsParsedOnlyWhenComplete(t *testing.T) {
	b := completeResponse()
	from := 0
	for n := range len(b) {
		end, at, err := findResponseEnd(b[:n], from)
		require.NoError(t, err)
		require.Zero(t, end, "%d of %d bytes", n, len(b))
		from = at
	}
	end, _, err := findResponseEnd(append(b, 'x'), from)
	require.NoError(t, err)
	require.Equal(t, len(b), end)
	r, err := parseResponse(b, Platform)
	require.NoError(t, err)
	require.Equal(t, dispatch.OK, r.code())
	require.Equal(t, edge.Answer{
		Column: "payload", Type: 17, Binary: true, Value: []byte("\x00v"), Tag: "SELECT 1",
		Role: "replica", Position: 1767225600123, LoadReport: "x0=1767225600.123,x1=0",
	}, r.answer)
}

func TestOutcomes(t *testing.T) {
	for state, want := range map[string]dispatch.Code{
		"25006": dispatch.Misdirected, "72000": dispatch.Misdirected, "53300": dispatch.Rejected,
		"XX000": dispatch.ServerError, "08P01": dispatch.ServerError,
	} {
		r, err := parseResponse(appendReady(appendError(nil, "ERROR", state, "no", "")), Platform)
		require.NoError(t, err)
		require.Equal(t, want, r.code(), state)
	}
	r, err := parseResponse(appendReady(appendCommandComplete(nil, "SELECT 0")), Platform)
	require.NoError(t, err)
	require.Equal(t, dispatch.Malformed, r.code(), "a response without a row is malformed")
	fatal := appendError(nil, "FATAL", "53300", "too many connections", "")
	end, _, err := findResponseEnd(fatal, 0)
	require.NoError(t, err)
	require.Equal(t, len(fatal), end, "a fatal error needs no ReadyForQuery")
}

// Guards against invalid bytes that are taken for a response or a part of one.
func TestMalformedResponsesAreRejected(t *testing.T) {
	good := completeResponse()
	for name, b := range map[string][]byte{
		"a value whose length does not fit": bytes.Replace(good, []byte{0, 0, 0, 2, 0, 'v'}, []byte{0, 0, 0, 9, 0, 'v'}, 1),
		"an unknown message":                append(appendMessage(nil, '~', func(b []byte) []byte { return b }), good...),
		"a value without a description":     good[bytes.IndexByte(good, 'D'):],
		"a second answer inside":            append(good[:len(good)-6:len(good)-6], good...),
		"a tag that does not end":           bytes.Replace(good, []byte("SELECT 1\x00"), []byte("SELECT 1!"), 1),
		"a parameter that does not end":     bytes.Replace(good, []byte("replica\x00"), []byte("replicas"), 1),
		"a state that is none":              append(good[:len(good)-1:len(good)-1], '!'),
	} {
		_, err := parseResponse(b, Platform)
		require.ErrorIs(t, err, errUnexpectedMessage, name)
	}
	_, _, err := findResponseEnd([]byte{'D', 0xb2, 0xd0, 0x5e, 0}, 0)
	require.ErrorIs(t, err, errMessageLength, "the pooler does not wait for 3 GB")
}

// The field D of a rejection is the Retry-After, rounded up. No other result has the field.
func TestReplies(t *testing.T) {
	for _, test := range []struct {
		result edge.Result
		state  string
		detail string
	}{
		{edge.Result{Verdict: edge.Rejected, Permit: lifecycle.PermitUntried(), RetryAfterMillis: 120.2, Detail: "x"}, "53300", "121"},
		{edge.Result{Verdict: edge.Rejected, Permit: lifecycle.PermitUntried(), Detail: "x"}, "53300", ""},
		{edge.Result{Verdict: edge.Rejected, RetryAfterMillis: 120.2, Detail: "nobody has judged it"}, "08006", ""},
		{edge.Result{Verdict: edge.TimedOut, Detail: "x"}, "57014", ""},
		{edge.Result{Verdict: edge.Failed, Detail: "x"}, "08006", ""},
		{edge.Result{Verdict: edge.Invalid, Detail: "x"}, "08P01", ""},
	} {
		_, body, rest, ok, err := nextMessage(encodeResult(&test.result), 1000)
		require.True(t, ok && err == nil && len(rest) == 0)
		state, _, _, detail := errorFields(body)
		require.Equal(t, [2]string{test.state, test.detail}, [2]string{state, detail})
	}
}

// FuzzResponse checks that no bytes of a database host cause a panic, and that the end of a response is found
// whether it arrives in one piece or in two.
func FuzzResponse(f *testing.F) {
	f.Add(completeResponse(), 9)
	f.Add(appendError(nil, "FATAL", "53300", "x", "y"), 3)
	f.Add([]byte("T\x00\x00\x00\x06\x00\x01Z\x00\x00\x00\x05I"), 1)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		end, _, err := findResponseEnd(b, 0)
		if cut > 0 && cut < len(b) && err == nil {
			if first, at, e := findResponseEnd(b[:cut], 0); e == nil && first == 0 {
				end2, _, _ := findResponseEnd(b, at)
				require.Equal(t, end, end2)
			}
		}
		if err == nil && end > 0 {
			_, _ = parseResponse(b[:end], Platform)
		}
	})
}

// FuzzCommands checks that no bytes of a client cause a panic, and that each command consumes bytes or is
// incomplete.
func FuzzCommands(f *testing.F) {
	good := appendQuery(startupMessage("web", "orders"), func(b []byte) []byte { return append(b, "SELECT 1"...) })
	f.Add(good)
	f.Add(append(append([]byte{}, good...), 'P', 0, 0, 0, 4, 'S', 0, 0, 0, 4, 'X', 0, 0, 0, 4))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		for rest := b; ; {
			c := p.Next(rest)
			if c.Kind == Incomplete || c.Kind == Malformed {
				return
			}
			require.Greater(t, c.Size, 0)
			require.LessOrEqual(t, c.Size, len(rest))
			require.False(t, bytes.ContainsRune([]byte(c.Text), 0) && c.Kind != Query)
			rest = rest[c.Size:]
		}
	})
}

package cost

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/blake3"
)

// Fingerprint names a statement by its normalised text. The zero one stands for all statements of a class.
type Fingerprint [16]byte

// MaxNormalizedBytes bounds the text that a fingerprint is made of, in bytes; what comes behind it does not count.
const MaxNormalizedBytes = 4 << 10

// NewFingerprint returns the fingerprint of a statement's text.
func NewFingerprint(text string) (f Fingerprint) {
	sum := blake3.Sum256(normalize(make([]byte, 0, 256), text))
	copy(f[:], sum[:])
	return f
}

// String words it in hex digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText words it in hex digits.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads 32 hex digits.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(f) {
		return &InvalidInputError{What: "fingerprint", Value: truncateText(string(b)), Allowed: "32 hex digits"}
	}
	if _, err := hex.Decode(f[:], b); err != nil {
		return &InvalidInputError{What: "fingerprint", Value: truncateText(string(b)), Allowed: "32 hex digits", Cause: err}
	}
	return nil
}

// Normalize is the text that a fingerprint is made of: without comments, every literal as ?, lists of them as one, white
// space as one space where it parts words, letters in lower case outside of quoted names. At most MaxNormalizedBytes bytes.
func Normalize(text string) string { return string(normalize(nil, text)) }

func wordByte(c byte) bool {
	return c == '_' || c == '$' || c >= 0x80 || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func normalize(b []byte, s string) []byte {
	gap := false
	put := func(word string, lower bool) {
		if gap && len(b) > 0 && wordByte(b[len(b)-1]) && (wordByte(word[0]) || word[0] == '?') {
			b = append(b, ' ')
		}
		gap = false
		for i := 0; i < len(word); i++ {
			c := word[i]
			if lower && c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			b = append(b, c)
		}
	}
	literal := func() {
		// A list of literals counts as one: "?,?" becomes "?". So does a sign before one.
		if n := len(b); n >= 2 && b[n-1] == ',' && b[n-2] == '?' {
			b, gap = b[:n-1], false
			return
		}
		if n := len(b); n >= 2 && b[n-1] == '-' && strings.IndexByte("(,=<>+-*/", b[n-2]) >= 0 {
			if b = b[:n-1]; n >= 3 && b[n-2] == ',' && b[n-3] == '?' {
				b, gap = b[:n-2], false
				return
			}
		}
		put("?", false)
	}
	for i := 0; i < len(s) && len(b) < MaxNormalizedBytes; {
		c := s[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			gap = true
			i++
		case strings.HasPrefix(s[i:], "--"):
			if n := strings.IndexByte(s[i:], '\n'); n >= 0 {
				i += n
			} else {
				i = len(s)
			}
			gap = true
		case strings.HasPrefix(s[i:], "/*"):
			depth := 0 // PostgreSQL's comments nest
			for i < len(s) {
				if strings.HasPrefix(s[i:], "/*") {
					depth++
					i += 2
				} else if strings.HasPrefix(s[i:], "*/") {
					depth--
					if i += 2; depth == 0 {
						break
					}
				} else {
					i++
				}
			}
			gap = true
		case c == '\'':
			i = endOfQuoted(s, i, '\'', false)
			literal()
		case (c == 'e' || c == 'E' || c == 'b' || c == 'B' || c == 'x' || c == 'X' || c == 'n' || c == 'N') && i+1 < len(s) && s[i+1] == '\'':
			i = endOfQuoted(s, i+1, '\'', c == 'e' || c == 'E')
			literal()
		case c == '"':
			end := endOfQuoted(s, i, '"', false)
			put(s[i:end], false)
			i = end
		case c == '$' && endOfDollarTag(s, i) > 0:
			tag := s[i:endOfDollarTag(s, i)]
			if n := strings.Index(s[i+len(tag):], tag); n >= 0 {
				i += n + 2*len(tag)
			} else {
				i = len(s)
			}
			literal()
		case c >= '0' && c <= '9' || c == '.' && i+1 < len(s) && s[i+1] >= '0' && s[i+1] <= '9':
			for i < len(s) && (wordByte(s[i]) || s[i] == '.' || (s[i] == '+' || s[i] == '-') && (s[i-1] == 'e' || s[i-1] == 'E')) {
				i++
			}
			literal()
		case c == '$' && i+1 < len(s) && s[i+1] >= '0' && s[i+1] <= '9':
			for i++; i < len(s) && s[i] >= '0' && s[i] <= '9'; {
				i++
			}
			literal()
		case wordByte(c):
			from := i
			for i < len(s) && wordByte(s[i]) {
				i++
			}
			put(s[from:i], true)
		default:
			put(s[i:i+1], false)
			i++
		}
	}
	for len(b) > 0 && b[len(b)-1] == ';' {
		b = b[:len(b)-1]
	}
	return b[:min(len(b), MaxNormalizedBytes)]
}

// endOfQuoted returns where what begins with a quote at i ends.
func endOfQuoted(s string, i int, quote byte, escapes bool) int {
	for i++; i < len(s); i++ {
		if escapes && s[i] == '\\' {
			i++
		} else if s[i] == quote {
			if i+1 >= len(s) || s[i+1] != quote {
				return i + 1
			}
			i++
		}
	}
	return len(s)
}

// endOfDollarTag returns where the tag of a dollar-quoted literal ends; 0: there is none at i.
func endOfDollarTag(s string, i int) int {
	for j := i + 1; j < len(s); j++ {
		if s[j] == '$' {
			return j + 1
		}
		if !wordByte(s[j]) || j == i+1 && s[j] >= '0' && s[j] <= '9' {
			return 0
		}
	}
	return 0
}

func truncateText(s string) string {
	if len(s) > 64 {
		return s[:64]
	}
	return s
}

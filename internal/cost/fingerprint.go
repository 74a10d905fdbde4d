package cost

import (
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// Fingerprint names a statement by its normalized text. The zero one stands for all statements of a class.
type Fingerprint [16]byte

// MaxNormalizedBytes bounds the text that a fingerprint is made of; what follows it does not count.
const MaxNormalizedBytes = 4 << 10

// normalizedSize is for how many bytes of normalized text room is made at first.
const normalizedSize = 256

// NewFingerprint returns the fingerprint of a statement's text.
func NewFingerprint(text string) (f Fingerprint) {
	sum := blake3.Sum256(normalize(make([]byte, 0, normalizedSize), text))
	copy(f[:], sum[:])
	return f
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText returns the fingerprint as hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads 32 hexadecimal digits.
func (f *Fingerprint) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(f) {
		return invalidFingerprint(b, nil)
	}
	if _, err := hex.Decode(f[:], b); err != nil {
		return invalidFingerprint(b, err)
	}
	return nil
}

func invalidFingerprint(text []byte, cause error) error {
	return &InvalidInputError{What: "fingerprint", Value: truncateText(string(text)), Allowed: "32 hex digits", Cause: cause}
}

// maxErrorText bounds how much of a wrong value an error shows, in bytes.
const maxErrorText = 64

func truncateText(s string) string {
	if len(s) > maxErrorText {
		return s[:maxErrorText]
	}
	return s
}

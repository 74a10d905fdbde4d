package membership

import (
	"bytes"
	"encoding/base64"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/hashicorp/memberlist"
)

// maxKeyFileBytes limits how much of a key file is read.
const maxKeyFileBytes = 64 << 10

// ReadKeys reads a key file: one key a line, the base64 of 16, 24 or 32 bytes. Empty lines and lines that
// begin with # are ignored. A file without usable keys is a *KeyFileError.
func ReadKeys(path string) (keys [][]byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the file is only read, so no data can be lost
	b, err := io.ReadAll(io.LimitReader(f, maxKeyFileBytes))
	if err != nil {
		return nil, err
	}
	for n, line := range strings.Split(string(b), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := decodeKey(line)
		if err != nil {
			return nil, &KeyFileError{Path: path, Line: n + 1, Reason: "no key: a line is the base64 of 16, 24 or 32 bytes", Err: err}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, &KeyFileError{Path: path, Reason: "it holds no key"}
	}
	return keys, nil
}

func decodeKey(line string) ([]byte, error) {
	key, err := base64.StdEncoding.DecodeString(line)
	if err != nil {
		return nil, err
	}
	return key, memberlist.ValidateKey(key)
}

// RotateKeys replaces the encryption keys. From now on the first of them encrypts, and messages that are
// encrypted with any other key than these are rejected.
func (g *Gossip) RotateKeys(keys [][]byte) error {
	for _, key := range keys {
		if err := g.keyring.AddKey(key); err != nil {
			return err
		}
	}
	if err := g.keyring.UseKey(keys[0]); err != nil {
		return err
	}
	for _, old := range g.keyring.GetKeys() {
		if slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, old) }) {
			continue
		}
		if err := g.keyring.RemoveKey(old); err != nil {
			return err
		}
	}
	return nil
}

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Version 3 of PostgreSQL's wire protocol, as far as the pages use it.

const protocolVersion = 3 << 16

var errTooLong = errors.New("a message is too long")

// readMessage reads one message with its kind.
func readMessage(r *bufio.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err = io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) - 4
	if n < 0 || n > 1<<20 {
		return 0, nil, errTooLong
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// readStartup reads the first message of a connection, which has no kind.
func readStartup(r *bufio.Reader) (code uint32, body []byte, err error) {
	head := make([]byte, 8)
	if _, err = io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head)) - 8
	if n < 0 || n > 1<<16 {
		return 0, nil, errTooLong
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return binary.BigEndian.Uint32(head[4:]), body, err
}

func appendMessage(b []byte, kind byte, body []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
	return append(b, body...)
}

func appendParameter(b []byte, name, value string) []byte {
	return appendMessage(b, 'S', []byte(name+"\x00"+value+"\x00"))
}

func appendReady(b []byte) []byte { return appendMessage(b, 'Z', []byte("I")) }

func appendError(b []byte, state, text string) []byte {
	return appendMessage(b, 'E', []byte("SERROR\x00VERROR\x00C"+state+"\x00M"+text+"\x00\x00"))
}

// appendRow appends a result of one row with one binary column.
func appendRow(b []byte, value []byte, tag string) []byte {
	d := append([]byte{0, 1}, "payload\x00"...)
	d = append(d, 0, 0, 0, 0, 0, 0)
	d = binary.BigEndian.AppendUint32(d, 17) // bytea
	d = append(d, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1)
	b = appendMessage(b, 'T', d)
	v := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	b = appendMessage(b, 'D', append(v, value...))
	return appendMessage(b, 'C', []byte(tag+"\x00"))
}

func startupMessage() []byte {
	body := []byte("user\x00web\x00database\x00orders\x00\x00")
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+8))
	b = binary.BigEndian.AppendUint32(b, protocolVersion)
	return append(b, body...)
}

func queryMessage(text string) []byte { return appendMessage(nil, 'Q', append([]byte(text), 0)) }

// errorFields reads SQLSTATE, text and detail of an ErrorResponse.
func errorFields(body []byte) (state, text, detail string) {
	for _, field := range strings.Split(string(body), "\x00") {
		if field == "" {
			continue
		}
		switch field[0] {
		case 'C':
			state = field[1:]
		case 'M':
			text = field[1:]
		case 'D':
			detail = field[1:]
		}
	}
	return state, text, detail
}

// dataRow reads the value of a row with one column.
func dataRow(body []byte) ([]byte, error) {
	if len(body) < 6 || int(binary.BigEndian.Uint32(body[2:])) != len(body)-6 {
		return nil, fmt.Errorf("a row that is not one column: %q", body)
	}
	return body[6:], nil
}

// comment reads the names and values of the comment in front of a statement.
func comment(text string) (fields map[string]string, statement string) {
	fields = map[string]string{}
	body, statement, ok := strings.Cut(strings.TrimPrefix(strings.TrimSpace(text), "/*"), "*/")
	if !ok || !strings.HasPrefix(strings.TrimSpace(text), "/*") {
		return fields, strings.TrimSpace(text)
	}
	for _, item := range strings.Split(body, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		fields[name] = value
	}
	return fields, strings.TrimSpace(statement)
}

// literals returns the quoted texts of a statement.
func literals(statement string) (all []string) {
	parts := strings.Split(statement, "'")
	for i := 1; i < len(parts); i += 2 {
		all = append(all, parts[i])
	}
	return all
}

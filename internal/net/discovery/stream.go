package discovery

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Bounds of an answer.
const (
	maxHead         = 16 << 10 // bytes of the header, or of a line of the chunked coding
	maxList         = 4 << 20  // bytes of one list
	maxPendingLists = 256      // lists that may wait to be applied
)

// Values of stream.remaining for lines of the chunked coding.
const (
	chunkSizeNext = -1
	chunkEndNext  = -2 // the empty line after a chunk
)

var (
	errMalformedHTTP = errors.New("the answer is no HTTP that is understood")
	errMalformedList = errors.New("a list that can't be read")
	// errTooManyLists loses nothing: the next watch resumes after the last list that was applied.
	errTooManyLists = errors.New("lists come faster than they are taken")
)

// statusError is an answer with a status other than 200.
type statusError struct {
	code       int
	text       string
	retryAfter time.Duration // as far as it is followed; 0: none was given
}

func (e statusError) Error() string { return "the service answered " + e.text }

// stream parses the answer to one call on the event loop, as it arrives.
type stream struct {
	headerParsed bool
	chunked      bool
	remaining    int // bytes of the chunk or the body, or chunkSizeNext or chunkEndNext

	partial []byte // the part of the current object that has arrived
	depth   int    // of the object's open braces and brackets; 0: outside of objects
	quoted  bool   // within a string
	escape  bool   // after a backslash in a string

	headerDone chan struct{}
	received   chan struct{} // a list, or a line outside of lists, is complete
	lists      chan EndpointList
	failed     chan error

	startedAt time.Time // of the call
	deadline  time.Time // of the call
	cancel    context.CancelFunc
}

func newStream() *stream {
	return &stream{
		headerDone: make(chan struct{}, 1), received: make(chan struct{}, 1),
		lists: make(chan EndpointList, maxPendingLists), failed: make(chan error, 1),
	}
}

// noStream stands for a call that was not made: nothing comes from it.
func noStream() *stream { return &stream{cancel: func() {}} }

// isOpen reports whether the call was made.
func (s *stream) isOpen() bool { return s.failed != nil }

// Traffic implements loop.Handler.
func (s *stream) Traffic(c gnet.Conn) gnet.Action {
	b, err := c.Peek(c.InboundBuffered())
	if err == nil {
		var used int
		if used, err = s.parse(b); used > 0 {
			_, _ = c.Discard(used)
		}
	}
	if err != nil {
		s.fail(err)
		return gnet.Close
	}
	return gnet.None
}

// Closed implements loop.Handler.
func (s *stream) Closed(gnet.Conn, error) { s.fail(errServiceClosed) }

// fail passes the first error on.
func (s *stream) fail(err error) {
	select {
	case s.failed <- err:
	default:
	}
}

// parse consumes as much of b as is complete and returns how much that was.
func (s *stream) parse(b []byte) (used int, err error) {
	if !s.headerParsed {
		end := bytes.Index(b, []byte("\r\n\r\n"))
		if end < 0 {
			if len(b) > maxHead {
				return 0, errMalformedHTTP
			}
			return 0, nil
		}
		if err := s.parseHeader(string(b[:end])); err != nil {
			return 0, err
		}
		if used = end + len("\r\n\r\n"); s.remaining == 0 { // the body is empty
			return used, errServiceClosed
		}
	}
	for used < len(b) {
		n, err := s.parsePiece(b[used:])
		used += n
		if err != nil || n == 0 {
			return used, err
		}
	}
	return used, nil
}

// parsePiece consumes a line of the chunked coding, or a part of the body; 0 means that more has to arrive.
func (s *stream) parsePiece(b []byte) (used int, err error) {
	if s.remaining < 0 {
		return s.parseChunkLine(b)
	}
	n := min(len(b), s.remaining)
	if err := s.parseBody(b[:n]); err != nil {
		return 0, err
	}
	if s.remaining -= n; s.remaining == 0 {
		if !s.chunked {
			return n, cmp.Or(s.end(), errServiceClosed)
		}
		s.remaining = chunkEndNext
	}
	return n, nil
}

func (s *stream) parseChunkLine(b []byte) (used int, err error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		if len(b) > maxHead {
			return 0, errMalformedHTTP
		}
		return 0, nil
	}
	used = end + 1
	if s.remaining == chunkEndNext {
		s.remaining = chunkSizeNext
		return used, nil
	}
	size, _, _ := strings.Cut(strings.TrimSpace(string(b[:end])), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return used, errMalformedHTTP
	}
	if n == 0 {
		return used, cmp.Or(s.end(), errServiceClosed)
	}
	s.remaining = int(n)
	return used, nil
}

func (s *stream) parseHeader(header string) error {
	lines := strings.Split(header, "\r\n")
	words := strings.Fields(lines[0])
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return errMalformedHTTP
	}
	status := statusError{text: strings.Join(words[1:], " ")}
	status.code, _ = strconv.Atoi(words[1]) // what is no number is no 200
	s.remaining = maxList
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "transfer-encoding":
			if strings.EqualFold(value, "chunked") {
				s.chunked, s.remaining = true, chunkSizeNext
			}
		case "retry-after":
			if n, err := strconv.ParseUint(value, 10, 31); err == nil {
				status.retryAfter = min(time.Duration(n)*time.Second, maxRetryAfter)
			}
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return errMalformedHTTP
			}
			if !s.chunked {
				s.remaining = int(n)
			}
		}
	}
	if status.code != http.StatusOK {
		return status
	}
	s.headerParsed = true
	notify(s.headerDone)
	return nil
}

// parseBody consumes a part of the answer: JSON objects, each on a line or printed over many, with empty lines between them.
// Where an object ends follows from its braces, so neither chunks nor lines matter.
func (s *stream) parseBody(b []byte) error {
	from := 0 // of the current object, in b
	for i, x := range b {
		switch {
		case s.escape:
			s.escape = false
		case s.quoted:
			s.escape, s.quoted = x == '\\', x != '"'
		case x == '{' || x == '[' && s.depth > 0:
			if s.depth++; s.depth == 1 {
				from = i
			}
		case s.depth == 0:
			if err := s.betweenObjects(x); err != nil {
				return err
			}
		case x == '"':
			s.quoted = true
		case x == '}' || x == ']':
			if s.depth--; s.depth > 0 {
				continue
			}
			if err := s.endObject(b[from : i+1]); err != nil {
				return err
			}
		}
	}
	if s.depth > 0 {
		return s.appendPartial(b[from:])
	}
	return nil
}

func (s *stream) betweenObjects(x byte) error {
	switch x {
	case '\n':
		notify(s.received)
	case ' ', '\t', '\r':
	default:
		return fmt.Errorf("%w: %q outside of an object", errMalformedList, x)
	}
	return nil
}

// appendPartial retains a part of the current object.
func (s *stream) appendPartial(b []byte) error {
	if len(s.partial)+len(b) > maxList {
		return errMalformedHTTP
	}
	s.partial = append(s.partial, b...)
	return nil
}

// endObject decodes an object of which b is the last part.
func (s *stream) endObject(b []byte) error {
	if err := s.appendPartial(b); err != nil {
		return err
	}
	var l EndpointList
	err := json.Unmarshal(s.partial, &l)
	s.partial = s.partial[:0]
	if err != nil {
		return fmt.Errorf("%w: %w", errMalformedList, err)
	}
	select {
	case s.lists <- l:
		notify(s.received)
		return nil
	default:
		return errTooManyLists
	}
}

// end ends the body.
func (s *stream) end() error {
	if s.depth > 0 {
		return fmt.Errorf("%w: it ends within an object", errMalformedList)
	}
	return nil
}

// notify marks an event for the one reader of the channel, without waiting for it.
func notify(event chan<- struct{}) {
	select {
	case event <- struct{}{}:
	default:
	}
}

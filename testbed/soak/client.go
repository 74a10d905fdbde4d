package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// habit is how a client uses its connection.
type habit uint8

// The habits.
const (
	oneByOne   habit = iota
	pipelines        // many requests ahead of their answers
	inPieces         // requests in two pieces, with a pause between them
	leaves           // closes its connection in the middle of a request, at times
	cancels          // sends cancel requests, at times
	reconnects       // makes a connection for each request, and sends it behind its startup message
	habits
)

const (
	connectTimeout = 2 * time.Second
	readTimeout    = 25 * time.Second // past the longest deadline
	meanInterval   = 120 * time.Millisecond
	pipelineDepth  = 40
	pipelinePad    = 24 << 10  // up to this, so that a deep pipeline is more than a pooler reads ahead
	writePiece     = 64 << 10  // of what is sent ahead; each has a time of its own
	longPad        = 130 << 10 // of one request in longEvery, so that it is more than a host's window
	longEvery      = 60
)

// client is one client of one pooler.
type client struct {
	name    string
	pooler  string
	address string
	classes []Class
	group   uint64 // that it asks
	habit   habit
	judge   *judge
	rng     *rand.Rand

	conn     net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	key      []byte
	n        int
	written  int    // the number that its own row has, by the last write that is known
	position string // of that write
	doubt    bool   // a write may have run
	starting bool   // the answer to the startup message is due first
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		if c.habit == reconnects {
			c.drop()
		}
		if c.conn == nil && c.connect() != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		c.step()
		sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanInterval)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return err
	}
	_ = conn.SetDeadline(time.Now().Add(readTimeout))
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web", "database": "orders"}})
	if err := f.Flush(); err != nil {
		conn.Close()
		return err
	}
	if c.habit == reconnects { // its first request goes out before the pooler has said anything
		c.conn, c.frontend, c.starting = conn, f, true
		return nil
	}
	for {
		m, err := f.Receive()
		if err != nil {
			conn.Close()
			return err
		}
		switch m := m.(type) {
		case *pgproto3.BackendKeyData:
			c.pid, c.key = m.ProcessID, m.SecretKey
		case *pgproto3.ErrorResponse:
			conn.Close()
			return errors.New(m.Code)
		case *pgproto3.ReadyForQuery:
			c.conn, c.frontend = conn, f
			return nil
		}
	}
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// next makes a request and its text.
func (c *client) next(pad int) (*request, string) {
	c.n++
	class := drawClass(c.classes, c.rng)
	r := &request{id: fmt.Sprintf("%s-%d-%x", c.name, c.n, c.rng.Uint32()), pooler: c.pooler, class: class, group: c.group}
	more := ""
	if class.Effect == Deduplicated {
		more = fmt.Sprintf(",k=%d", c.rng.Uint64())
	}
	padding := ""
	if c.rng.IntN(longEvery) == 0 {
		padding = " -- " + strings.Repeat("x", longPad)
	} else if pad > 0 {
		padding = " -- " + strings.Repeat("x", c.rng.IntN(pad))
	}
	text := fmt.Sprintf("SELECT payload FROM entries WHERE ref = 'seed-%d'", c.rng.IntN(1000))
	switch {
	case class.Access == Write:
		text = c.insert(r)
	case class.Access == Session && c.habit != pipelines && c.written > 0 && !c.doubt:
		r.ownRow, more = c.name, more+",after="+c.position
		text = "SELECT payload FROM entries WHERE ref = '" + c.name + "'"
	}
	return r, fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d%s */ ", r.id, class.Name, class.Deadline, c.group, more) + text + padding
}

// insert is the text of a write: of a row that is written once, or of the client's own row if no repeat of the write can come
// later than the next one.
func (c *client) insert(r *request) string {
	if r.class.Effect == AtMostOnce && c.habit != pipelines && c.rng.IntN(2) == 0 {
		r.payload = fmt.Sprint(c.n)
		return "INSERT INTO entries (ref, payload) VALUES ('" + c.name + "', '" + r.payload + "') RETURNING payload"
	}
	r.ref = fmt.Sprintf("%s/%d", c.name, c.n)
	return "INSERT INTO entries (ref, payload) VALUES ('" + r.ref + "', '1') RETURNING payload"
}

// step sends what the client's habit has it send, and reads the answers.
func (c *client) step() {
	many, pad := 1, 200
	if c.habit == pipelines {
		many, pad = 1+c.rng.IntN(pipelineDepth), pipelinePad
	}
	var open []*request
	var b []byte
	for range many {
		r, text := c.next(pad)
		var err error
		if b, err = (&pgproto3.Query{String: text}).Encode(b); err != nil {
			return
		}
		r.end = len(b)
		open = append(open, r)
	}
	_ = c.conn.SetDeadline(time.Now().Add(readTimeout))
	if err := c.write(b, open); err != nil {
		c.drop() // none of them is known to have come whole
		return
	}
	now := time.Now()
	for _, r := range open {
		r.writtenAt, r.dueFrom = now, now
		c.judge.began(r)
	}
	switch {
	case c.habit == leaves && c.rng.IntN(4) == 0:
		time.Sleep(time.Duration(c.rng.IntN(30)) * time.Millisecond)
		c.disconnect(open)
		return
	case c.habit == cancels && c.rng.IntN(4) == 0:
		c.cancel()
	}
	c.readAnswers(open)
}

// write writes the bytes of requests and notes for each what its last byte can't have been sent before.
func (c *client) write(b []byte, open []*request) error {
	from := 0
	for _, to := range c.pieceEnds(len(b)) {
		if from > 0 && c.habit == inPieces {
			time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
		}
		begun := time.Now()
		if _, err := c.conn.Write(b[from:to]); err != nil {
			return err
		}
		for _, r := range open {
			if from < r.end && r.end <= to {
				r.sentFrom = begun
			}
		}
		from = to
	}
	return nil
}

// pieceEnds is where the pieces end in which so many bytes are written: two if that is the client's habit.
func (c *client) pieceEnds(length int) (ends []int) {
	if c.habit == inPieces {
		return []int{1 + c.rng.IntN(length-1), length}
	}
	for end := writePiece; end < length; end += writePiece {
		ends = append(ends, end)
	}
	return append(ends, length)
}

// disconnect closes the connection over requests that have no answer.
func (c *client) disconnect(open []*request) {
	c.judge.mu.Lock()
	for _, r := range open {
		r.disconnectedAt = time.Now()
	}
	c.judge.mu.Unlock()
	if c.rng.IntN(2) == 0 {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
	}
	c.drop()
	c.doubt = true
}

// cancel sends a cancel request for what is under way.
func (c *client) cancel() {
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.key}).Encode(nil)
	if err != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(connectTimeout))
	_, _ = conn.Write(b)
	_, _ = io.Copy(io.Discard, conn)
}

// readAnswers reads the answer of each request, in order.
func (c *client) readAnswers(open []*request) {
	payload, answer, position, fatal := "", "", "", false
	for len(open) > 0 {
		m, err := c.frontend.Receive()
		if err != nil {
			c.drop()
			if fatal { // the error that ended the connection was the answer of one
				c.judge.answered(open[0], answer)
				c.after(open[0], answer, payload, position)
				open = open[1:]
			}
			c.judge.closed(open, err)
			c.doubt = true
			return
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				answer, payload = "served", string(m.Values[0])
			}
		case *pgproto3.CommandComplete:
			answer = "served"
		case *pgproto3.ParameterStatus:
			if m.Name == "caught_up_to" {
				position = m.Value
			}
		case *pgproto3.ErrorResponse:
			answer, fatal = m.Code, m.Severity == "FATAL"
		case *pgproto3.ReadyForQuery:
			if c.starting {
				c.starting = false
				continue
			}
			r := open[0]
			c.judge.answered(r, answer)
			if answer == served {
				c.judge.servedFrom(r, position)
			}
			c.after(r, answer, payload, position)
			open = open[1:]
			for _, next := range open {
				next.dueFrom = time.Now()
			}
			payload, answer, position = "", "", ""
			_ = c.conn.SetDeadline(time.Now().Add(readTimeout)) // a deep pipeline may take longer as a whole
		}
	}
}

// after takes what an answer means for the client's own row.
func (c *client) after(r *request, answer, payload, position string) {
	switch {
	case r.payload != "" && answer == "served":
		_, _ = fmt.Sscan(r.payload, &c.written)
		c.position, c.doubt = position, position == ""
	case r.payload != "" && answer != "53300" && answer != "57P03":
		c.doubt = true
	case r.ownRow != "" && answer == "served" && !c.doubt:
		c.judge.read(r, payload, fmt.Sprint(c.written))
	}
}

// flood sends much ahead and goes without reading.
func (c *client) flood(ctx context.Context) {
	if c.connect() != nil {
		return
	}
	defer c.drop()
	var open []*request
	for ctx.Err() == nil && len(open) < 20*pipelineDepth {
		r, text := c.next(pipelinePad)
		b, err := (&pgproto3.Query{String: text}).Encode(nil)
		if err != nil {
			return
		}
		r.sentFrom = time.Now()
		_ = c.conn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err = c.conn.Write(b); err != nil {
			break
		}
		r.writtenAt, r.dueFrom = time.Now(), time.Now()
		c.judge.began(r)
		open = append(open, r)
	}
	c.disconnect(open)
}

// rest keeps a connection on which nothing is asked, and makes another when that ends.
func (c *client) rest(ctx context.Context) {
	defer c.drop()
	for ; ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
		if c.connect() != nil {
			continue
		}
		conn := c.conn
		_ = conn.SetDeadline(time.Time{})
		stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
		_, _ = io.Copy(io.Discard, conn)
		stop()
		c.drop()
	}
}

// stopHalfway sends a half of a message and stays.
func (c *client) stopHalfway(ctx context.Context) {
	if c.connect() != nil {
		return
	}
	defer c.drop()
	_, text := c.next(0)
	b, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return
	}
	_, _ = c.conn.Write(b[:len(b)/2])
	<-ctx.Done()
}

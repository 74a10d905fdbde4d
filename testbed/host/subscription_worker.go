package host

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	standingCheckInterval = 100 * time.Millisecond // how long a worker waits for a message before it looks whether it may go on
	keepaliveHeadBytes    = 17                     // of a message of the stream: its kind, a position, and one more field
	dataHeadBytes         = 25                     // the same of one with data
	streamData            = 'w'                    // the kind of a message with data
	standbyStatus         = 'r'                    // the kind of the subscriber's status messages
)

// streamNotStarted is the publisher's rejection of START_REPLICATION, as where another connection still holds the slot. Nothing of the
// stream was applied, so it is no reason to disable the subscription.
type streamNotStarted struct{ state, message string }

// Error is the text that the worker's host logs.
func (e streamNotStarted) Error() string {
	return fmt.Sprintf("could not start WAL streaming: %s (SQLSTATE %s)", e.message, e.state)
}

// workerSession is one run of a subscription's worker, by the subscription's options at its beginning.
type workerSession struct {
	subscription *subscription
	host         *Host
	epoch        int
	conninfo     string
	slot         string
	origin       string
	publications []string
	timeout      time.Duration
	conn         *pgconn.PgConn
	lastReceived time.Time // when the publisher said something last
	isStreaming  bool
	rows         []streamedRow // of a commit that has not come whole
}

// session runs the worker once: the copies that are due, then the stream.
func (s *subscription) session(ctx context.Context, h *Host) error {
	w, due := s.beginSession(h)
	if err := w.copyTables(ctx, due); err != nil {
		return err
	}
	if w.slot == "" {
		return errors.New("subscription has no replication slot set")
	}
	conn, err := s.db.cluster.dial(ctx, w.conninfo, s.name)
	if err != nil {
		return err
	}
	w.conn = conn
	defer closeNow(conn)
	if err := w.startStream(); err != nil {
		return err
	}
	return w.follow(ctx)
}

// beginSession takes the options, and the tables that are to be copied, in the order of their names.
func (s *subscription) beginSession(h *Host) (w *workerSession, due []*Table) {
	cl := s.db.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for t, r := range s.tables {
		if r.state == 'i' || r.state == 'd' {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *Table) int { return strings.Compare(a.Schema+"."+a.Name, b.Schema+"."+b.Name) })
	return &workerSession{
		subscription: s, host: h, epoch: cl.epoch, conninfo: s.conninfo, slot: s.slot, origin: s.origin,
		publications: slices.Clone(s.publications), timeout: cl.replication.Timeout,
	}, due
}

func (w *workerSession) copyTables(ctx context.Context, due []*Table) error {
	s := w.subscription
	for _, t := range due {
		if err := s.copyFrom(ctx, w.host, t, w.conninfo, w.epoch, w.timeout); err != nil {
			s.countFailure(ctx, &s.copyErrors)
			return err
		}
	}
	return nil
}

// countFailure counts a failure, unless the worker was told to end.
func (s *subscription) countFailure(ctx context.Context, counter *int) {
	s.db.cluster.mu.Lock()
	defer s.db.cluster.mu.Unlock()
	if ctx.Err() == nil {
		*counter++
	}
}

// startStream asks for the stream from where the last commit that was applied ends.
func (w *workerSession) startStream() error {
	s := w.subscription
	s.db.cluster.mu.Lock()
	at := s.at()
	s.db.cluster.mu.Unlock()
	var names []string
	for _, n := range w.publications {
		names = append(names, `"`+n+`"`)
	}
	w.conn.Frontend().Send(&pgproto3.Query{String: fmt.Sprintf(`START_REPLICATION SLOT "%s" LOGICAL %s (proto_version '4', origin '%s', publication_names '%s')`,
		w.slot, lsnText(at), w.origin, strings.ReplaceAll(strings.Join(names, ","), "'", "''"))})
	w.lastReceived = time.Now()
	return w.conn.Frontend().Flush()
}

// follow applies what comes until the worker may not go on.
func (w *workerSession) follow(ctx context.Context) error {
	for {
		if err := w.subscription.standing(ctx, w.host, w.epoch); err != nil {
			return err
		}
		wait, cancel := context.WithTimeout(ctx, standingCheckInterval)
		m, err := w.conn.ReceiveMessage(wait)
		cancel()
		switch {
		case pgconn.Timeout(err) && ctx.Err() == nil:
			if w.timeout > 0 && time.Since(w.lastReceived) > w.timeout {
				return errors.New("terminating logical replication worker due to timeout")
			}
			continue
		case err != nil:
			return err
		}
		w.lastReceived = time.Now()
		if err := w.take(ctx, m); err != nil {
			return err
		}
	}
}

// take does what a message of the publisher asks for.
func (w *workerSession) take(ctx context.Context, m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.CopyBothResponse:
		w.isStreaming = true
	case *pgproto3.ErrorResponse:
		if !w.isStreaming {
			return streamNotStarted{m.Code, m.Message}
		}
		return &fault{m.Code, "could not receive data from WAL stream: " + m.Message}
	case *pgproto3.CopyData:
		return w.takeData(ctx, m.Data)
	}
	return nil
}

// takeData takes a message of the stream: a keepalive, or a part of a commit, which is applied with its last part.
func (w *workerSession) takeData(ctx context.Context, data []byte) error {
	if len(data) < keepaliveHeadBytes || data[0] == streamData && len(data) < dataHeadBytes {
		return errors.New("a message of the stream is too short")
	}
	end := binary.BigEndian.Uint64(data[1:9])
	w.noteReceipt(end, data)
	if data[0] == streamData {
		var part streamed
		if err := json.Unmarshal(data[dataHeadBytes:], &part); err != nil {
			return fmt.Errorf("a message of the stream can not be read: %w", err)
		}
		if w.rows = append(w.rows, part.Rows...); !part.End {
			return nil
		}
		s := w.subscription
		if err := s.apply(ctx, w.host, w.epoch, end, w.rows); err != nil {
			s.countFailure(ctx, &s.applyErrors)
			return err
		}
		w.rows = nil
	}
	w.subscription.reached(end)
	return w.sendStatus(end)
}

// noteReceipt notes what pg_stat_subscription shows of a message.
func (w *workerSession) noteReceipt(end uint64, data []byte) {
	sent := data[9:keepaliveHeadBytes]
	if data[0] == streamData {
		sent = data[keepaliveHeadBytes:dataHeadBytes]
	}
	s := w.subscription
	s.db.cluster.mu.Lock()
	defer s.db.cluster.mu.Unlock()
	s.received, s.lastReceipt = max(s.received, end), w.lastReceived
	s.lastMessage = time.UnixMicro(int64(binary.BigEndian.Uint64(sent)) + epoch2000)
}

// sendStatus tells the publisher that all up to a position is written, flushed and applied.
func (w *workerSession) sendStatus(end uint64) error {
	status := []byte{standbyStatus}
	for _, n := range []uint64{end, end, end, uint64(time.Now().UnixMicro() - epoch2000)} {
		status = binary.BigEndian.AppendUint64(status, n)
	}
	w.conn.Frontend().Send(&pgproto3.CopyData{Data: append(status, 0)})
	if w.timeout > 0 {
		_ = w.conn.Conn().SetWriteDeadline(time.Now().Add(w.timeout))
	}
	return w.conn.Frontend().Flush()
}

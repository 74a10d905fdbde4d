package flood

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	writeSize          = 16 << 10  // of a flooding client's writes
	halfRequestBytes   = 130 << 10 // of the request of which a slow client writes a half
	startupBytes       = 9 << 10   // of a startup message of short fields
	slowPieceBytes     = 4 << 10   // of a slow client's writes
	slowPause          = 20 * time.Millisecond
	slowReconnect      = 500 * time.Millisecond // of a slow client that the pooler has disconnected
	requestsAhead      = 800                    // of a client that then leaves, more than one read of the pooler
	leaveAfter         = 320 * time.Millisecond // at the latest
	leaveSteps         = 16                     // times between 0 and leaveAfter
	unknownKeyBytes    = 8
	savepointNameBytes = 60 << 10
	statementsAhead    = 250 << 10
	answerBytes        = 64 // read of an answer before the connection is closed
)

// flooder is one connection of a wave, over and over where the pooler closes it.
type flooder struct {
	wave    Wave
	address string
	number  int
	n       int // of what it sent, for new names
	left    int // how often it has left
	sent    *atomic.Int64
	gone    func(id string, at time.Time) // notes that the client of a request has closed its connection
}

// Play keeps the connections of a wave flooding the front at an address until ctx ends, and returns how many bytes they sent. gone is
// told when the client of a request has closed its connection; nil: nobody is.
func Play(ctx context.Context, w Wave, address string, gone func(id string, at time.Time)) (sentBytes int64) {
	if gone == nil {
		gone = func(string, time.Time) {}
	}
	var all sync.WaitGroup
	var sent atomic.Int64
	for k := range w.Connections {
		f := &flooder{wave: w, address: address, number: k, sent: &sent, gone: gone}
		all.Go(func() { f.run(ctx) })
	}
	all.Wait()
	return sent.Load()
}

// run floods until ctx ends.
func (f *flooder) run(ctx context.Context) {
	if f.wave.Front == Flight {
		f.floodFlight(ctx)
		return
	}
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", f.address)
		if err != nil {
			sleep(ctx, slowPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		f.play(ctx, conn)
		stop()
		conn.Close()
		if f.wave.Kind.isSlow() {
			sleep(ctx, slowReconnect)
		}
	}
}

func (f *flooder) play(ctx context.Context, conn net.Conn) {
	switch f.wave.Kind {
	case Reconnects:
		f.sendOnce(conn, append(startup(), f.command()...))
	case Encryption:
		f.sendOnce(conn, []byte{0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f})
	case Cancels:
		f.sendOnce(conn, append([]byte{0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e}, make([]byte, unknownKeyBytes)...))
	case Leaves:
		f.leave(ctx, conn)
	case HalfRequests, ShortFields, LongComments:
		f.writeSlowly(ctx, conn)
	case AheadSyncs, AheadDescribes, AheadCloses, AheadParses, AheadBinds, AheadSavepoints, AheadStatements:
		f.sendAhead(conn)
	default:
		f.sendAtFullSpeed(conn)
	}
}

// sendAhead begins a transaction and a query that lasts for the whole run, and sends messages behind it at full speed.
func (f *flooder) sendAhead(conn net.Conn) {
	b := append(startup(), query("/* c=report,d=15000,cluster=1 */ BEGIN READ ONLY")...)
	if f.wave.Kind != AheadSavepoints {
		b = append(b, query("SELECT pg_sleep(15)")...)
	}
	if _, err := conn.Write(b); err != nil {
		return
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	f.writeCommands(conn)
}

// sendOnce writes one message and waits for the first bytes of its answer, or for the end.
func (f *flooder) sendOnce(conn net.Conn, b []byte) {
	n, _ := conn.Write(b)
	f.sent.Add(int64(n))
	_, _ = conn.Read(make([]byte, answerBytes))
}

// sendAtFullSpeed writes commands until the connection ends.
func (f *flooder) sendAtFullSpeed(conn net.Conn) {
	if _, err := conn.Write(startup()); err != nil {
		return
	}
	if f.wave.Kind != Unread {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	f.writeCommands(conn)
}

// writeCommands writes commands until the connection ends.
func (f *flooder) writeCommands(conn net.Conn) {
	for {
		var b []byte
		for len(b) < writeSize {
			b = append(b, f.command()...)
		}
		n, err := conn.Write(b)
		f.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// command is the next command of a flooding client.
func (f *flooder) command() []byte {
	f.n++
	name := fmt.Sprintf("n%d_%d", f.number, f.n)
	switch f.wave.Kind {
	case AheadDescribes:
		return message('D', "P\x00")
	case AheadCloses:
		return message('C', "P\x00")
	case AheadParses:
		return message('P', "\x00\x00\x00\x00")
	case AheadBinds:
		if f.n == 1 {
			return message('P', "\x00SELECT 1\x00\x00\x00")
		}
		return message('B', name+"\x00\x00\x00\x00\x00\x00\x00\x00")
	case AheadSavepoints:
		return query("SAVEPOINT " + name + strings.Repeat("s", savepointNameBytes))
	case AheadStatements:
		return query(strings.Repeat("a;", statementsAhead))
	case Syncs, AheadSyncs:
		return []byte{'S', 0, 0, 0, 4}
	case NewSettings:
		return query("SET app." + name + " TO 'v'")
	case NewParses:
		return append(message('P', name+"\x00SELECT 1 AS "+name+"\x00\x00\x00"), 'S', 0, 0, 0, 4)
	case NewClasses:
		return query(fmt.Sprintf("/* id=%s,c=%s,d=400,cluster=1 */ SELECT 1", name, name))
	case NewGroups:
		return query(fmt.Sprintf("/* id=%s,c=browse,d=400,cluster=%d */ SELECT 1", name, 1000+f.n))
	case NoTime:
		return query(fmt.Sprintf("/* id=%s,c=browse,d=0,cluster=1 */ SELECT 1", name))
	case Unsound:
		return query("SELECT " + name)
	}
	return query("")
}

// leave sends many requests ahead and closes the connection before they can all be answered.
func (f *flooder) leave(ctx context.Context, conn net.Conn) {
	b := startup()
	var ids []string
	for range requestsAhead {
		f.n++
		id := fmt.Sprintf("%s%d-%d", leaverPrefix, f.number, f.n)
		ids = append(ids, id)
		b = append(b, query(readText(id, time.Second))...)
	}
	if _, err := conn.Write(b); err != nil {
		return
	}
	f.sent.Add(int64(len(b)))
	f.left++
	sleep(ctx, time.Duration(1+f.left%leaveSteps)*leaveAfter/leaveSteps)
	if f.left%2 == 0 {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
	for at, i := time.Now(), 0; i < len(ids); i++ {
		f.gone(ids[i], at)
	}
}

// writeSlowly writes a part of a message in small pieces, and stays until the pooler or the run ends the connection.
func (f *flooder) writeSlowly(ctx context.Context, conn net.Conn) {
	b := append(startup(), query(strings.Repeat("x", halfRequestBytes))[:halfRequestBytes/2]...)
	switch f.wave.Kind {
	case ShortFields:
		b = startupOf(strings.Repeat("a\x00b\x00", startupBytes/4))[:startupBytes-1]
	case LongComments:
		text := "/* id=x,c=browse,d=400,cluster=1" + strings.Repeat(",a=b", halfRequestBytes/4) + " */ SELECT 1"
		b = append(startup(), query(text)[:halfRequestBytes-1]...)
	}
	for len(b) > 0 && ctx.Err() == nil {
		n := min(slowPieceBytes, len(b))
		if _, err := conn.Write(b[:n]); err != nil {
			return
		}
		f.sent.Add(int64(n))
		b = b[n:]
		sleep(ctx, slowPause)
	}
	_, _ = io.Copy(io.Discard, conn)
}

// startup is the startup message of a client.
func startup() []byte { return startupOf("user\x00web\x00database\x00orders\x00") }

func startupOf(fields string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(fields)+9))
	b = binary.BigEndian.AppendUint32(b, pgproto3.ProtocolVersionNumber)
	return append(append(b, fields...), 0)
}

func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

func query(text string) []byte { return message('Q', text+"\x00") }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

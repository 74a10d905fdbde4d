package sql

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/migration"
)

// statementLog holds, by group, what migrations sent to the database hosts of the group.
type statementLog struct {
	mu    sync.Mutex
	lines map[migration.Group][]string
}

func (l *statementLog) add(group migration.Group, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[group] = append(l.lines[group], line)
}

// take returns the lines of a group and forgets them.
func (l *statementLog) take(group migration.Group) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.lines[group]
	delete(l.lines, group)
	return lines
}

// listen starts a proxy in front of a host, which logs the statements of each connection that a migration opens itself.
func (l *statementLog) listen(t *testing.T, group migration.Group, host string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { l.proxy(group, client, host) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); wg.Wait() })
	return listener.Addr().String()
}

func (l *statementLog) proxy(group migration.Group, client net.Conn, address string) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_, _ = io.Copy(client, server)
		_ = client.Close()
	})
	defer func() { _ = server.Close() }()
	start := make([]byte, 4)
	if _, err = io.ReadFull(client, start); err != nil {
		return
	}
	start = append(start, make([]byte, binary.BigEndian.Uint32(start)-4)...)
	if _, err = io.ReadFull(client, start[4:]); err != nil {
		return
	}
	if _, err = server.Write(start); err != nil {
		return
	}
	var startup pgproto3.StartupMessage
	logged := startup.Decode(start[4:]) == nil && startup.Parameters["application_name"] == "ashstand works"
	if logged {
		l.add(group, fmt.Sprintf("connect: user=%s database=%s", startup.Parameters["user"], startup.Parameters["database"]))
	}
	for {
		message := make([]byte, 5)
		if _, err = io.ReadFull(client, message); err != nil {
			return
		}
		message = append(message, make([]byte, binary.BigEndian.Uint32(message[1:])-4)...)
		if _, err = io.ReadFull(client, message[5:]); err != nil {
			return
		}
		if line := frontendLine(message[0], message[5:]); logged && line != "" {
			l.add(group, line)
		}
		if _, err = server.Write(message); err != nil {
			return
		}
	}
}

// frontendLine is a message that carries a statement or its arguments as a line of text; "": another one.
func frontendLine(kind byte, body []byte) string {
	switch kind {
	case 'Q':
		var query pgproto3.Query
		if query.Decode(body) == nil {
			return "query: " + oneLine(query.String)
		}
	case 'P':
		var parse pgproto3.Parse
		if parse.Decode(body) == nil {
			return strings.TrimSpace("parse "+parse.Name) + ": " + oneLine(parse.Query)
		}
	case 'B':
		var bind pgproto3.Bind
		if bind.Decode(body) == nil && len(bind.Parameters) > 0 {
			line := strings.TrimSpace("bind "+bind.PreparedStatement) + ":"
			for _, value := range bind.Parameters {
				line += fmt.Sprintf(" %q", value)
			}
			return line
		}
	}
	return ""
}

func oneLine(text string) string {
	if strings.ContainsAny(text, "\n\t") {
		return strconv.Quote(text)
	}
	return text
}

// What differs from run to run: ports, process ids and positions in a log.
var masks = []struct {
	found *regexp.Regexp
	shown string
}{
	{regexp.MustCompile(`port=[0-9,]+`), "port=PORTS"},
	{regexp.MustCompile(`pg_terminate_backend\([0-9]+\)`), "pg_terminate_backend(PID)"},
	{regexp.MustCompile(`("closed" "m[0-9]+/[0-9]+ [0-9]+) [0-9]+"`), `$1 POSITION"`},
	{regexp.MustCompile(`(closed = m[0-9]+/[0-9]+ [0-9]+) [0-9]+`), `$1 POSITION`},
}

func masked(line string) string {
	for _, m := range masks {
		line = m.found.ReplaceAllString(line, m.shown)
	}
	return line
}

const terminate = "parse: SELECT pg_terminate_backend(PID)"

// steady makes lines the same from run to run: how often a wait asked, and the order of what a map held, does not count.
func steady(lines []string, keepTerminate bool) (out []string) {
	for _, line := range lines {
		if line = masked(line); keepTerminate || line != terminate {
			out = append(out, line)
		}
	}
	for from := 0; from < len(out); from++ {
		to := from
		for to < len(out) && (strings.HasPrefix(out[to], "bind ashstand_key:") || strings.HasPrefix(out[to], "parse: SELECT pg_drop_replication_slot(")) {
			to++
		}
		slices.Sort(out[from:to])
		from = max(from, to-1)
	}
	for again := true; again; {
		again = false
		for length := 1; length <= 6; length++ {
			for i := 0; i+2*length <= len(out); i++ {
				block := out[i : i+length]
				if slices.Equal(block, out[i+length:i+2*length]) && slices.ContainsFunc(block, polled) && !slices.ContainsFunc(block, writes) {
					out, again = slices.Delete(out, i, i+length), true
				}
			}
		}
	}
	return out
}

func polled(line string) bool {
	return strings.HasPrefix(line, "parse: SELECT pid, ") || strings.HasPrefix(line, "parse: SELECT slot_name, ") || strings.HasPrefix(line, "parse: SELECT pubname ")
}

func writes(line string) bool {
	return !strings.HasPrefix(line, "parse: SELECT ") && !strings.HasPrefix(line, "bind: ")
}

package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// version is one payload of a ref, with the position of its commit.
type version struct {
	position float64
	payload  string
	id       string // of the request that wrote it
}

// group is a primary with its replicas, which hold the same data.
type group struct {
	record *record
	number int

	mu       sync.Mutex
	rows     map[string][]version
	hosts    []*dbHost
	shipMS   float64                                        // a replica gets the log so much later
	slowRate float64                                        // how fast a replica applies, in log time per time, while it applies slowly
	slow     bool                                           // the replicas apply slowly
	fault    func(h *dbHost, fields map[string]string) bool // after a commit: whether the connection is reset without an answer
}

// dbHost is one db host of a group.
type dbHost struct {
	group    *group
	name     string
	listener net.Listener

	primary  bool    // guarded by group.mu, as the fields below
	position float64 // of a replica
	report   string  // the load report, as it was refreshed last
	inflight int
	received []receipt
}

// receipt is a statement that reached a host with its last byte.
type receipt struct {
	at     float64
	fields map[string]string
	text   string
}

const (
	applyTick     = 2 * time.Millisecond
	reportPeriod  = 200 * time.Millisecond // the pages: 59 to 230 ms
	catchUpFactor = 3.0                    // a replica that has fallen behind applies faster than the log grows
)

func newGroup(r *record, number, replicas int) (*group, error) {
	g := &group{record: r, number: number, rows: map[string][]version{}, shipMS: 8, slowRate: 0.2}
	for i := range replicas + 1 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		h := &dbHost{group: g, name: fmt.Sprintf("s%d-%08x", number, 0x5be2a07c+i*0x1f3d), listener: l, primary: i == 0, position: nowMillis() - g.shipMS}
		g.hosts = append(g.hosts, h)
		go h.serve()
	}
	go g.apply()
	return g, nil
}

// apply moves the replicas' positions on, and refreshes the load reports.
func (g *group) apply() {
	last, reported := nowMillis(), 0.0
	for range time.Tick(applyTick) {
		now := nowMillis()
		g.mu.Lock()
		for _, h := range g.hosts {
			if h.primary {
				h.position = now
				continue
			}
			rate := catchUpFactor
			if g.slow {
				rate = g.slowRate
			}
			h.position = max(h.position, min(now-g.shipMS, h.position+(now-last)*rate))
		}
		if now-reported >= float64(reportPeriod.Milliseconds()) {
			reported = now
			for _, h := range g.hosts {
				role := 0
				if h.primary {
					role = 1
				}
				h.report = fmt.Sprintf("x0=%.3f,x1=%d,inflight=%d,util=0.10", math.Floor(h.position)/1e3, role, h.inflight)
			}
		}
		g.mu.Unlock()
		last = now
	}
}

func (g *group) setSlow(slow bool) {
	g.mu.Lock()
	g.slow = slow
	g.mu.Unlock()
	g.record.printf("hosts: replicas apply slowly: %v", slow)
}

func (h *dbHost) address() string { return h.listener.Addr().String() }

func (h *dbHost) serve() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.serveConn(c)
	}
}

func (h *dbHost) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		code, _, err := readStartup(r)
		if err != nil || code>>16 != 3 && code != 80877103 {
			return
		}
		if code == 80877103 {
			_, _ = c.Write([]byte("N"))
			continue
		}
		break
	}
	b := appendMessage(nil, 'R', []byte{0, 0, 0, 0})
	b = appendParameter(b, "server_version", "15.0")
	b = appendParameter(b, "client_encoding", "UTF8")
	b = appendMessage(b, 'K', binary.BigEndian.AppendUint64(nil, 7))
	if _, err := c.Write(appendReady(b)); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind == 'X' {
			return
		}
		if kind != 'Q' {
			_, _ = c.Write(appendError(nil, "08P01", "simple queries only"))
			return
		}
		out, reset := h.query(string(bytes.TrimRight(body, "\x00")))
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// query runs one statement and returns the answer; reset: the connection is reset instead.
func (h *dbHost) query(text string) (out []byte, reset bool) {
	g := h.group
	fields, statement := comment(text)
	word, _, _ := strings.Cut(strings.ToUpper(strings.Trim(statement, " ;")), " ")
	switch {
	case word == "":
		return appendReady(appendMessage(nil, 'I', nil)), false
	case word == "SET" || word == "RESET" || word == "DISCARD":
		return appendReady(appendMessage(nil, 'C', []byte(word+"\x00"))), false
	case word == "SHOW":
		g.mu.Lock()
		defer g.mu.Unlock()
		return appendReady(appendRow(nil, []byte(h.report), "SHOW")), false
	case statement == "SELECT 1":
		return appendReady(appendRow(nil, []byte("1"), "SELECT 1")), false
	}
	if fields["id"] == "" || fields["c"] == "" {
		g.record.printf("%s: a statement in a form that no client sent: %q", h.name, text)
		return appendReady(appendError(nil, "08P01", "no request")), false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h.received = append(h.received, receipt{at: nowMillis(), fields: fields, text: statement})
	h.inflight++
	g.mu.Unlock()
	time.Sleep(time.Millisecond) // the work
	g.mu.Lock()
	h.inflight--
	part := "replica"
	if h.primary {
		part = "master"
	}
	args := literals(statement)
	switch {
	case word == "INSERT" && !h.primary:
		g.record.printf("%s (%s): id=%s c=%s: 25006", h.name, part, fields["id"], fields["c"])
		out = appendError(nil, "25006", "cannot execute INSERT in a read-only transaction")
		return appendReady(appendParameter(out, "part", part)), false
	case word == "INSERT":
		position := math.Ceil(nowMillis())
		g.rows[args[0]] = append(g.rows[args[0]], version{position: position, payload: args[1], id: fields["id"]})
		g.record.printf("%s (%s): id=%s c=%s: ran INSERT ref=%s payload=%s, commit %.0f", h.name, part, fields["id"], fields["c"], args[0], short(args[1]), position)
		if g.fault != nil && g.fault(h, fields) {
			g.record.printf("%s: the connection is reset after the commit of id=%s, before its answer", h.name, fields["id"])
			return nil, true
		}
		out = appendRow(nil, []byte(args[1]), "INSERT 0 1")
		out = appendParameter(appendParameter(out, "part", part), "caught_up_to", strconv.FormatFloat(position, 'f', -1, 64))
		return appendReady(out), false
	}
	seen := math.Floor(h.position)
	if h.primary {
		seen = math.Floor(nowMillis())
	}
	payload := ""
	for _, v := range g.rows[args[0]] {
		if h.primary || v.position <= h.position {
			payload = v.payload
		}
	}
	g.record.printf("%s (%s): id=%s c=%s after=%s: ran SELECT ref=%s -> %q, caught up to %.0f", h.name, part, fields["id"], fields["c"], fields["after"], args[0], short(payload), seen)
	out = appendRow(nil, []byte(payload), "SELECT 1")
	out = appendParameter(appendParameter(out, "part", part), "caught_up_to", strconv.FormatFloat(seen, 'f', -1, 64))
	return appendReady(out), false
}

// strangers returns what reached the group's hosts although it names another group.
func (g *group) strangers() (all []receipt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.hosts {
		for _, r := range h.received {
			if r.fields["cluster"] != strconv.Itoa(g.number) {
				all = append(all, r)
			}
		}
	}
	return all
}

// commits returns the ids of the requests whose INSERT of a ref was committed.
func (g *group) commits(ref string) (ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.rows[ref] {
		ids = append(ids, v.id)
	}
	return ids
}

// receivedAfter returns what reached the host after a time.
func (h *dbHost) receivedAfter(at float64) (late []receipt) {
	h.group.mu.Lock()
	defer h.group.mu.Unlock()
	for _, r := range h.received {
		if r.at > at {
			late = append(late, r)
		}
	}
	return late
}

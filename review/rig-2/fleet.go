package main

// Stand-ins for db hosts and for discovery's agent, and the pooler's process.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the case's record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begun time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

func millis(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// version is a committed value.
type version struct {
	at      float64 // Unix milliseconds
	payload string
}

// group is a primary's log, which its replicas apply.
type group struct {
	mu   sync.Mutex
	rows map[string][]version
}

func (g *group) commit(ref, payload string) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := math.Ceil(millis(time.Now()))
	g.rows[ref] = append(g.rows[ref], version{at, payload})
	return at
}

// read returns the newest value up to a position.
func (g *group) read(ref string, position float64) (payload string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.rows[ref] {
		if v.at <= position {
			payload = v.payload
		}
	}
	return payload
}

// host is a stand-in for a db host.
type host struct {
	name       string
	address    string
	primary    bool
	group      *group
	rec        *record
	work       time.Duration // of a statement
	reportWork time.Duration // of a report; 0: as of any
	long       int           // bytes of a value whose key begins with "long"

	mu       sync.Mutex
	silent   chan struct{} // closed when the host speaks again; nil: it does
	slowFrom time.Time     // since when the log is applied slowly; zero: it is not
	slowFor  time.Duration
	slowBy   float64
	behind   float64 // milliseconds, when all is well
	inflight int
	runs     map[string]int // statements run, by their id
	open     map[net.Conn]bool
	listener net.Listener
	sequence *int // shared by the group
}

// position is up to when the host has applied the log.
func (h *host) position() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.primary {
		return millis(now)
	}
	p := millis(now) - h.behind
	if !h.slowFrom.IsZero() && now.After(h.slowFrom) {
		lasted := now.Sub(h.slowFrom)
		if lasted > h.slowFor { // it catches up afterwards
			return p
		}
		p = millis(h.slowFrom) - h.behind + millisOf(lasted)/h.slowBy
	}
	return p
}

func millisOf(d time.Duration) float64 { return float64(d) / 1e6 }

func (h *host) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.listener, h.address = l, l.Addr().String()
	h.runs, h.open = map[string]int{}, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.open[c] = true
			h.mu.Unlock()
			go func() {
				h.converse(c)
				h.mu.Lock()
				delete(h.open, c)
				h.mu.Unlock()
			}()
		}
	}()
	return nil
}

// hang makes the host silent: what it has open stays open, and nothing is read or said.
func (h *host) hang() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = make(chan struct{})
}

// wake ends hang.
func (h *host) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent != nil {
		close(h.silent)
		h.silent = nil
	}
}

// awake waits until the host speaks.
func (h *host) awake() {
	h.mu.Lock()
	s := h.silent
	h.mu.Unlock()
	if s != nil {
		<-s
	}
}

var (
	idPattern  = regexp.MustCompile(`id=([^,* ]+)`)
	refPattern = regexp.MustCompile(`(?:ref = |VALUES \()'([^']*)'`)
	newPattern = regexp.MustCompile(`VALUES \('[^']*', '([^']*)'`)
)

func (h *host) part() string {
	if h.primary {
		return "master"
	}
	return "replica"
}

// connection is the state of one session at a host.
type connection struct {
	block   bool
	lastval int // of the session; 0: none
}

func (h *host) converse(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if _, _, err := readStartup(r); err != nil {
		return
	}
	h.awake()
	hello := message('R', []byte{0, 0, 0, 0})
	hello = append(hello, parameterStatus("server_version", "16.0")...)
	hello = append(hello, parameterStatus("client_encoding", "UTF8")...)
	hello = append(hello, message('K', []byte{0, 0, 0, 1, 0, 0, 0, 1})...)
	if _, err := c.Write(append(hello, message('Z', []byte{'I'})...)); err != nil {
		return
	}
	var state connection
	for {
		kind, body, err := readMessage(r)
		if err != nil || kind == 'X' {
			return
		}
		h.awake()
		if kind != 'Q' {
			_, _ = c.Write(append(errorResponse("ERROR", "08P01", "only simple queries"), message('Z', []byte{'I'})...))
			continue
		}
		out := h.run(&state, strings.TrimSuffix(string(body), "\x00"))
		h.awake()
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// run answers one query.
func (h *host) run(state *connection, text string) []byte {
	status := func() []byte {
		if state.block {
			return message('Z', []byte{'T'})
		}
		return message('Z', []byte{'I'})
	}
	command := func(tag string) []byte { return append(message('C', append([]byte(tag), 0)), status()...) }
	bare := text
	if strings.HasPrefix(bare, "/*") {
		if n := strings.Index(bare, "*/"); n >= 0 {
			bare = strings.TrimSpace(bare[n+2:])
		}
	}
	upper := strings.ToUpper(bare)
	switch {
	case strings.TrimSpace(bare) == "":
		return append(message('I', nil), status()...)
	case strings.HasPrefix(upper, "SHOW GAUGES"):
		h.mu.Lock()
		n := h.inflight
		h.mu.Unlock()
		role := 0
		if h.primary {
			role = 1
		}
		return append(row([]byte(fmt.Sprintf("x0=%.6f,x1=%d,inflight=%d,util=0.1", h.position()/1e3, role, n)), "SHOW"), status()...)
	case upper == "SELECT 1":
		return append(row([]byte("1"), "SELECT 1"), status()...)
	case strings.HasPrefix(upper, "SET ") || strings.HasPrefix(upper, "RESET ") || strings.HasPrefix(upper, "DISCARD"):
		return command(strings.Fields(upper)[0])
	case strings.HasPrefix(upper, "BEGIN"):
		state.block = true
		return command("BEGIN")
	case strings.HasPrefix(upper, "COMMIT"):
		state.block = false
		return command("COMMIT")
	case strings.HasPrefix(upper, "ROLLBACK"):
		state.block = false
		return command("ROLLBACK")
	}
	return append(h.statement(state, text, bare), status()...)
}

// statement runs a read or a write.
func (h *host) statement(state *connection, text, bare string) []byte {
	id, ref := "-", ""
	if m := idPattern.FindStringSubmatch(text); m != nil {
		id = m[1]
	}
	if strings.Contains(bare, "nextval(") || strings.Contains(bare, "lastval(") {
		time.Sleep(h.work)
		return h.draw(state, strings.Contains(bare, "nextval("))
	}
	if m := refPattern.FindStringSubmatch(bare); m != nil {
		ref = m[1]
	}
	h.mu.Lock()
	h.inflight++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.inflight--
		h.mu.Unlock()
	}()
	write := strings.HasPrefix(strings.ToUpper(bare), "INSERT") || strings.Contains(bare, "nextval")
	if write && !h.primary {
		h.rec.say("%s: id %s is a write, and this is no primary: 25006", h.name, id)
		return append(h.report(0), errorResponse("ERROR", "25006", "cannot execute INSERT in a read-only transaction")...)
	}
	work := h.work
	if h.reportWork > 0 && strings.Contains(text, "c=report") {
		work = h.reportWork
	}
	time.Sleep(work)
	h.mu.Lock()
	h.runs[id]++
	h.mu.Unlock()
	if write {
		payload := ""
		if m := newPattern.FindStringSubmatch(bare); m != nil {
			payload = m[1]
		}
		at := h.group.commit(ref, payload)
		h.rec.say("%s: ran write %s, %q = %q, committed at %.0f", h.name, id, ref, payload, at)
		return append(row([]byte(payload), "INSERT 0 1"), h.report(at)...)
	}
	position := h.position()
	value := h.group.read(ref, position)
	if strings.HasPrefix(ref, "long") {
		value = strings.Repeat("v", h.long)
	}
	short := value
	if len(short) > 40 {
		short = fmt.Sprintf("%d bytes", len(value))
	}
	h.rec.say("%s (%s): ran read %s of %q at position %.0f, %.0f ms behind: %q", h.name, h.part(), id, ref, position, millis(time.Now())-position, short)
	return append(row([]byte(value), "SELECT 1"), h.report(position)...)
}

// report is what a host says of itself before ReadyForQuery; position 0: nothing of that.
func (h *host) report(position float64) []byte {
	out := parameterStatus("part", h.part())
	if position > 0 {
		at := math.Floor(position)
		out = append(out, parameterStatus("caught_up_to", strconv.FormatFloat(at, 'f', 0, 64))...)
	}
	return out
}

// agent is discovery's agent on the pooler's machine.
type agent struct {
	mu      sync.Mutex
	index   int
	entries []map[string]any
	changed chan struct{}
	address string
}

func (a *agent) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a.address, a.changed, a.index = l.Addr().String(), make(chan struct{}), 1
	go func() { _ = http.Serve(l, a) }()
	return nil
}

func (a *agent) list() (text []byte, index int, changed chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	text, _ = json.Marshal(map[string]any{"index": a.index, "snapshot": true, "endpoints": a.entries})
	return text, a.index, a.changed
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, index, changed := a.list()
	if r.URL.Query().Get("follow") == "" {
		_, _ = w.Write(append(text, '\n'))
		return
	}
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	flusher := w.(http.Flusher)
	flusher.Flush()
	for {
		if index != since {
			_, _ = w.Write(append(text, '\n'))
			since = index
		} else if _, err := w.Write([]byte("\n")); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
		text, index, changed = a.list()
	}
}

func entry(h *host, status string) map[string]any {
	return map[string]any{"name": h.name, "address": h.address, "zone": "hall-a", "type": "std-4core", "group": 1,
		"status": status, "weight": 1.0, "since_ms": 0, "part": h.part()}
}

func (a *agent) set(entries ...map[string]any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	a.entries = entries
	close(a.changed)
	a.changed = make(chan struct{})
}

// settings are those of a small deployment, by the example of the wire's page.
const settings = `{"areas":["hall-a","hall-b","hall-c"],"balancers":3,"index":0,"clients":{"marks_retry":true},"zone":"hall-a",
"deductions":{"connection":0.0,"cross_zone":0.01,"discovery":0.0,"handshake":0.0,"late_fail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.04,"waste":0.11},
"discovery":"automatic",
"domain":{"answers_stamped":true,"catch_up_wait_ms":0.0,"class_read":["bounded","session","any","write"],"commit_waits":false,"notes":"position in ms after zero x 4, plus 1 from a primary or 2 from a replica","origin_time_ms":0,"report_x0":"position in seconds after zero","report_x1":"1 from a primary","role_in_list":"late","staleness_bound_ms":[200.0,0.0,0.0,0.0],"token_mode":"carried","when_behind":"off"},
"goal":{"whole":0.5,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.3},"models":["std-4core"],
"obligations":{"answer_slack_ms":20.0,"ask_within_ms":10000.0,"cold_from":0.24,"fall_ms":1500.0,"overload_factor":3.0,"ramp_time_ms":15000.0,"stop_sending_within_ms":1000.0},
"over_share_worth":0.1,"period_ms":5.0,
"policy_limits":{"conn_idle_ms":15000.0,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"max_open":20000,"max_retry_after_ms":2000.0,"may_cancel":true,"most_tries":8,"multiplex":8,"parallel_tries":true,"peers":false,"probes":true,"retry_after":true},
"projects":[],"report":{"fields":["x0","x1","inflight","util"],"how":"on_probe"},
"request_classes":[
{"aim_ms":300.0,"deadline_ms":1000.0,"effect":"idempotent","group":"all","late_share":0.2,"name":"browse","stream":false,"window_ms":5000.0,"worth":1.0},
{"aim_ms":300.0,"deadline_ms":750.0,"effect":"idempotent","group":"all","late_share":0.0,"name":"my-library","stream":false,"window_ms":5000.0,"worth":3.0},
{"aim_ms":7500.0,"deadline_ms":15000.0,"effect":"idempotent","group":"all","late_share":0.2,"name":"report","stream":false,"window_ms":5000.0,"worth":4.0},
{"aim_ms":1000.0,"deadline_ms":2000.0,"effect":"at_most_once","group":"all","late_share":0.3,"name":"donate","stream":false,"window_ms":5000.0,"worth":3.0}],
"service_type":"replicas","tier":0,"tiers":["catchup-db"],"weight_kind":"nominal","worth_by":"request"}`

// pooler is a process of the project's own program.
type pooler struct {
	listen, sessions, flight string
	cmd                      *exec.Cmd
	ended                    chan struct{}
}

// freePort returns a loopback address that nobody listens at.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runCommand is the deploy file's.
func runCommand(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(b)
	if m == nil {
		return "", fmt.Errorf("the deploy file names no run command")
	}
	return string(m[1]), nil
}

// writeConfig writes the platform's configuration into a folder.
func writeConfig(folder, name, listen, discovery string) (string, error) {
	path := filepath.Join(folder, name+".json")
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`,
		name, listen, discovery, settings)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start starts a pooler; operator is the operator's file, in which SESSIONS and FLIGHT stand for addresses.
func start(root, folder, name, discovery, operator string) (*pooler, error) {
	p := &pooler{listen: freePort(), sessions: freePort(), flight: freePort(), ended: make(chan struct{})}
	config, err := writeConfig(folder, name, p.listen, discovery)
	if err != nil {
		return nil, err
	}
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	if operator != "" {
		file := filepath.Join(folder, name+".hcl")
		text := strings.NewReplacer("SESSIONS", p.sessions, "FLIGHT", p.flight).Replace(operator)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return nil, err
		}
		run += " --file " + file
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = root
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "EDGE_NAME="+name, "EDGE_LISTEN="+p.listen, "EDGE_DISCOVERY="+discovery, "TMPDIR="+folder)
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	return p, p.ready()
}

// ready waits until the pooler answers an empty query, as the front does.
func (p *pooler) ready() error {
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.ended:
			return fmt.Errorf("the pooler ended at its start: %v", p.cmd.ProcessState)
		default:
		}
		c, err := connect(p.listen, "web", "orders")
		if err != nil {
			continue
		}
		a, err := c.ask("", time.Second)
		c.Close()
		if err == nil && a.code == "" {
			return nil
		}
	}
	return fmt.Errorf("the pooler is not ready after 30 s")
}

// kill ends the process.
func (p *pooler) kill() {
	if p != nil && p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

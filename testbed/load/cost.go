package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgproto3"

	"ashstand/testbed/fleet"
	"ashstand/testbed/report"
)

// CostOptions are those of the measurement of what a pooler costs.
type CostOptions struct {
	Pooler  string
	Before  string // an earlier version's program; "": left out
	Clients []int
	Servers int
	Each    time.Duration
	Seed    uint64
	Log     bool
}

// target is something to send requests to.
type target struct {
	name     string
	address  string
	pid      int
	extended bool // a prepared statement, run by its name; else a query with the platform's comment
}

// outcome of one load.
type outcome struct {
	perSecond, perCPU float64
	p50, p99          float64 // microseconds
	cpu               float64
	refused           int
}

// Cost measures the pooler as its own process against an earlier version, a bare relay and the host itself: requests by
// CPU second, and what it adds to the time of a request. Ratios within one run count; absolute times are noise.
func Cost(ctx context.Context, o CostOptions) (*report.Result, error) {
	g := report.New("sessions --cost", o.Seed)
	begun := time.Now()
	most := 0
	for _, n := range o.Clients {
		most = max(most, n)
	}
	options := fleet.Options{Pooler: o.Pooler, Seed: o.Seed, MemoryMB: 192, Sockets: 4*most + 600, Clients: most + 16, Servers: o.Servers, Log: o.Log}
	f, err := fleet.Start(options)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	// What an idle client takes, of a pooler that has done nothing else.
	_, before := f.Pooler.Usage()
	idle := make([]net.Conn, 0, most)
	for range most {
		c, err := open(target{name: "transaction", address: f.Pooler.Sessions})
		if err != nil {
			return nil, err
		}
		idle = append(idle, c)
	}
	time.Sleep(time.Second)
	_, after := f.Pooler.Usage()
	for _, c := range idle {
		c.Close()
	}
	g.Do(func(r *report.Result) {
		r.Memory.RSS = after
		r.Memory.ByPurpose["idle clients"] = after - before
		r.Notes = append(r.Notes, fmt.Sprintf("%d idle clients take %.1f MB more than %.1f MB: %.1f KB each", most, after-before, before, (after-before)*1024/float64(most)))
	})
	host := f.Hosts[0].Address
	relay, stop, err := startRelay(ctx, host)
	if err != nil {
		return nil, err
	}
	defer stop()
	targets := []target{
		{"direct", host, 0, true},
		{"relay", relay.address, relay.pid, true},
		{"transaction", f.Pooler.Sessions, f.Pooler.PID(), true},
		{"statement", f.Pooler.Statement, f.Pooler.PID(), false},
	}
	if o.Before != "" {
		old := f.Options
		old.Pooler, old.Plain = o.Before, true
		f.Options = old
		p, err := f.StartPooler("before")
		if err != nil {
			return nil, fmt.Errorf("the earlier version: %w", err)
		}
		defer p.Stop()
		targets = append(targets, target{"before", p.Statement, p.PID(), false})
	}
	for _, n := range o.Clients {
		of := map[string]outcome{}
		for _, t := range targets {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			out, err := press(ctx, t, n, o.Each, g)
			if err != nil {
				return nil, fmt.Errorf("%s with %d clients: %w", t.name, n, err)
			}
			of[t.name] = out
			g.Do(func(r *report.Result) {
				r.Notes = append(r.Notes, fmt.Sprintf("%4d clients, %-11s %7.0f requests/s, %7.0f per CPU second, p50 %6.0f us, p99 %6.0f us (added %+.0f, %+.0f), %d refused",
					n, t.name, out.perSecond, out.perCPU, out.p50, out.p99, out.p50-of["direct"].p50, out.p99-of["direct"].p99, out.refused))
			})
		}
		g.Do(func(r *report.Result) {
			set := func(name string, new, old float64) {
				r.Baseline[fmt.Sprintf("%s at %d", name, n)], r.Ratio[fmt.Sprintf("%s at %d", name, n)] = old, new/old
			}
			set("requests by CPU second, transaction over relay", of["transaction"].perCPU, of["relay"].perCPU)
			if o.Before != "" {
				set("requests by CPU second, transaction over the earlier version", of["transaction"].perCPU, of["before"].perCPU)
				set("requests by CPU second, statement over the earlier version", of["statement"].perCPU, of["before"].perCPU)
			}
			set("p50, transaction over direct", of["transaction"].p50, of["direct"].p50)
		})
	}
	return g.Result(time.Since(begun).Seconds()), nil
}

func startRelay(ctx context.Context, host string) (t target, stop func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return t, nil, err
	}
	if t.address, err = fleet.Free(); err != nil {
		return t, nil, err
	}
	cmd := exec.CommandContext(ctx, self, "relay", "--listen", t.address, "--to", host)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return t, nil, err
	}
	t.pid = cmd.Process.Pid
	stop = func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for range 200 {
		c, err := net.Dial("tcp", t.address)
		if err == nil {
			c.Close()
			return t, stop, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	return t, nil, errors.New("the relay does not listen")
}

// open starts a client that is ready to ask.
func open(t target) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", t.address, 10*time.Second)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "web", "database": "orders"}})
	err = f.Flush()
	for ready := false; err == nil && !ready; {
		var m pgproto3.BackendMessage
		if m, err = f.Receive(); err == nil {
			_, ready = m.(*pgproto3.ReadyForQuery)
			if e, bad := m.(*pgproto3.ErrorResponse); bad {
				err = fmt.Errorf("%s %s", e.Code, e.Message)
			}
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

var readyEnd = []byte{'Z', 0, 0, 0, 5, 'I'}

// exchange writes a request and reads up to ReadyForQuery.
func exchange(c net.Conn, request, buf []byte) error {
	if _, err := c.Write(request); err != nil {
		return err
	}
	n := 0
	for n < 6 || !bytes.Equal(buf[n-6:n], readyEnd) {
		if n == len(buf) {
			return errors.New("an answer longer than any expected")
		}
		m, err := c.Read(buf[n:])
		if err != nil {
			return err
		}
		n += m
	}
	if buf[0] == 'E' {
		return fmt.Errorf("%w: %q", errAnswered, buf[:n])
	}
	return nil
}

var errAnswered = errors.New("an error")

// press has n clients ask one after the other without a pause.
func press(ctx context.Context, t target, n int, each time.Duration, g *report.Collector) (o outcome, err error) {
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	var prepare, request []byte
	if t.extended {
		prepare = encode(&pgproto3.Parse{Name: "p", Query: "/* c=browse */ SELECT payload FROM entries WHERE ref = $1"}, &pgproto3.Sync{})
		request = encode(&pgproto3.Bind{PreparedStatement: "p", Parameters: [][]byte{[]byte("seed-1")}}, &pgproto3.Execute{}, &pgproto3.Sync{})
	}
	buf := make([]byte, 4096)
	for range n {
		c, err := open(t)
		if err != nil {
			return o, err
		}
		conns = append(conns, c)
		if t.extended {
			if err := exchange(c, prepare, buf); err != nil {
				return o, err
			}
		}
	}
	var (
		all   sync.WaitGroup
		mu    sync.Mutex
		whole = hdrhistogram.New(1, 60e6, 3)
		first error
		count int

		refused atomic.Int64
	)
	cpu := 0.0
	warm := time.Now().Add(each / 4)
	end := warm.Add(each)
	if t.pid > 0 {
		time.AfterFunc(time.Until(warm), func() { mu.Lock(); cpu, _ = fleet.Usage(t.pid); mu.Unlock() })
	}
	for i, c := range conns {
		all.Go(func() {
			h := hdrhistogram.New(1, 60e6, 3)
			buf := make([]byte, 4096)
			done := 0
			_ = c.SetDeadline(end.Add(20 * time.Second))
			var err error
			for k := 0; err == nil; k++ {
				begun := time.Now()
				if begun.After(end) || ctx.Err() != nil {
					break
				}
				r := request
				if !t.extended {
					r = encode(&pgproto3.Query{String: fmt.Sprintf("/* id=%s-%d-%d-%d,c=browse,d=1000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'seed-1'", t.name, n, i, k)})
				}
				err = exchange(c, r, buf)
				if errors.Is(err, errAnswered) { // refused, which is an answer, and no work that counts
					if err = nil; begun.After(warm) {
						refused.Add(1)
					}
					continue
				}
				if begun.After(warm) && err == nil {
					done++
					_ = h.RecordValue(max(1, time.Since(begun).Microseconds()))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			whole.Merge(h)
			count += done
			if first == nil {
				first = err
			}
		})
	}
	all.Wait()
	if first != nil {
		return o, first
	}
	o.perSecond = float64(count) / each.Seconds()
	o.p50, o.p99 = float64(whole.ValueAtQuantile(50)), float64(whole.ValueAtQuantile(99))
	if t.pid > 0 {
		used, _ := fleet.Usage(t.pid)
		o.cpu = used - cpu
		o.perCPU = float64(count) / o.cpu
	}
	o.refused = int(refused.Load())
	g.Do(func(r *report.Result) {
		r.Requests.Taken += count + o.refused
		r.Requests.Served += count
		r.Requests.Refused += o.refused
	})
	return o, nil
}

func encode(ms ...pgproto3.FrontendMessage) (b []byte) {
	for _, m := range ms {
		b, _ = m.Encode(b)
	}
	return b
}

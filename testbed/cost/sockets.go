package cost

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ashstand/internal/cost"
	"ashstand/testbed/report"
)

// standIn is a host on a loopback address that takes its time: a request names a statement and rows, and is answered
// after the truth's work on its kind, lengthened by what else it has, once one of its places is free.
type standIn struct {
	kind    string
	factor  float64
	listen  net.Listener
	places  chan struct{}
	inside  atomic.Int32 // requests at the host, as whoever asks counts them
	conns   sync.WaitGroup
	clients []net.Conn
}

const standInPlaces = 4

// socketStatements is how many statements the stand-ins know; the ith takes (4 + 2i) ms on the quickest kind with one row.
const socketStatements = 4

func socketWork(statement int, rows, factor, z float64) time.Duration {
	ms := (4 + 2*float64(statement)) * factor * math.Pow(1+rows, 0.2) * math.Exp(0.1*z)
	return time.Duration(ms * float64(time.Millisecond))
}

func startStandIn(kind string, factor float64, seed uint64) (*standIn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &standIn{kind: kind, factor: factor, listen: l, places: make(chan struct{}, standInPlaces)}
	go func() {
		for n := uint64(0); ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.conns.Add(1)
			go func() {
				defer h.conns.Done()
				defer c.Close()
				r := rand.New(rand.NewPCG(seed, n))
				in := bufio.NewReader(c)
				for {
					var statement int
					var rows float64
					if _, err := fmt.Fscanf(in, "%d %g\n", &statement, &rows); err != nil {
						return
					}
					h.places <- struct{}{}
					time.Sleep(socketWork(statement, rows, h.factor, r.NormFloat64()))
					<-h.places
					if _, err := c.Write([]byte("ok\n")); err != nil {
						return
					}
				}
			}()
		}
	}()
	return h, nil
}

func (h *standIn) stop() {
	h.listen.Close()
	for _, c := range h.clients {
		c.Close()
	}
	h.conns.Wait()
}

// asker sends requests to a host over one connection.
type asker struct {
	host *standIn
	conn net.Conn
	in   *bufio.Reader
}

func (h *standIn) dial() (*asker, error) {
	c, err := net.Dial("tcp", h.listen.Addr().String())
	if err != nil {
		return nil, err
	}
	h.clients = append(h.clients, c)
	return &asker{h, c, bufio.NewReader(c)}, nil
}

// ask returns how long the answer took, in milliseconds, and how many others were there.
func (a *asker) ask(statement int, rows float64) (ms float64, others int, err error) {
	others = int(a.host.inside.Add(1)) - 1
	defer a.host.inside.Add(-1)
	begun := time.Now()
	if _, err = fmt.Fprintf(a.conn, "%d %g\n", statement, rows); err != nil {
		return 0, others, err
	}
	_, err = a.in.ReadString('\n')
	return float64(time.Since(begun)) / 1e6, others, err
}

// sockets learns from requests to loopback hosts of three kinds that really take their time, then asks for plans of two
// steps at all of them and runs these. A busy machine takes longer than the truth says, so it breaks no guarantee.
func sockets(ctx context.Context, g *report.Collector, o Options) error {
	kinds := []struct {
		name   string
		factor float64
	}{{"spinning", 3}, {"flash", 1}, {"arm", 1.7}}
	var hosts []*standIn
	defer func() {
		for _, h := range hosts {
			h.stop()
		}
	}()
	for i := range 6 {
		h, err := startStandIn(kinds[i%3].name, kinds[i%3].factor, o.Seed+uint64(i))
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	m := cost.NewModel(cost.Options{Source: "sockets", DisabledGuarantee: o.Break})
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	begun := time.Now()
	now := func() float64 { return float64(time.Since(begun)) / 1e6 }
	prints := make([]cost.Fingerprint, socketStatements)
	for i := range prints {
		prints[i] = cost.NewFingerprint(fmt.Sprintf("select v%d from t", i))
	}
	for i := range 12 { // two clients a host: its places are never all taken
		h := hosts[i%6]
		a, err := h.dial()
		if err != nil {
			return err
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := rand.New(rand.NewPCG(o.Seed, uint64(i)))
			for n := 0; n < 60 && ctx.Err() == nil; n++ {
				s, rows := r.IntN(socketStatements), float64(r.IntN(40))
				if s == 3 && h.kind == "arm" { // a pair that is never seen
					continue
				}
				ms, others, err := a.ask(s, rows)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					m.Observe(cost.Observation{Statement: prints[s], Class: "report", Kind: h.kind, Rows: rows, Work: ms, Inflight: others, At: now()})
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	if failed != nil {
		return failed
	}
	var f cost.Fleet
	for i, h := range hosts {
		f.Hosts = append(f.Hosts, cost.Host{Name: fmt.Sprint("h", i), Kind: h.kind, Group: uint64(i), Primary: true, Capacity: standInPlaces})
	}
	askers := make([]*asker, len(hosts))
	for i, h := range hosts {
		var err error
		if askers[i], err = h.dial(); err != nil {
			return err
		}
	}
	e := cost.NewEstimator(m.Publish(1, now()), now())
	r := rand.New(rand.NewPCG(o.Seed, 99))
	in, of, log := 0.0, 0.0, 0.0
	for range 60 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		p := cost.Plan{Name: "sockets"}
		for i := range 2 {
			s := cost.Step{Name: fmt.Sprint("s", i), Class: "report", Rows: float64(r.IntN(40)), AllGroups: i == 0, Group: uint64(r.IntN(6)), Freshness: "fresh", Bytes: 0}
			n := r.IntN(socketStatements)
			s.Statement = prints[n]
			if i > 0 {
				s.After = []string{"s0"}
			}
			p.Steps = append(p.Steps, s)
		}
		a, err := e.Estimate(now(), p, f)
		if err != nil {
			return err
		}
		from := time.Now()
		for i := range p.Steps {
			s := &p.Steps[i]
			n := 0
			for prints[n] != s.Statement {
				n++
			}
			var step sync.WaitGroup
			for k, a := range askers {
				if s.AllGroups || uint64(k) == s.Group {
					step.Add(1)
					go func() {
						defer step.Done()
						if _, _, err := a.ask(n, s.Rows); err != nil {
							mu.Lock()
							failed = err
							mu.Unlock()
						}
					}()
				}
			}
			step.Wait()
		}
		if failed != nil {
			return failed
		}
		took := float64(time.Since(from)) / 1e6
		g.RecordLatency("plan over sockets", time.Since(from))
		of++
		if t := a.Plans[0].Time; t.Low <= took && took <= t.High {
			in++
		}
		log += math.Abs(math.Log(a.Plans[0].Time.Mid / took))
	}
	g.Do(func(r *report.Result) {
		r.Ratio["sockets.coverage"], r.Baseline["sockets.coverage"] = in/of, 1
		r.Notes = append(r.Notes, fmt.Sprintf("sockets: %.0f of %.0f plans over 6 loopback hosts of 3 kinds were within their interval; the middle is off by a factor of %.2f in the mean", in, of, math.Exp(log/of)))
	})
	return nil
}

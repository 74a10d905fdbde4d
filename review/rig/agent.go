package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is an entry of discovery's list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
	Part    string  `json:"part"`
	index   int
}

type list struct {
	Index     int        `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// agent is discovery as one pooler sees it.
type agent struct {
	record   *record
	listener net.Listener

	mu        sync.Mutex
	index     int
	endpoints []endpoint
	changed   chan struct{} // closed at the next change
	delay     time.Duration // from a call until its answer begins
}

const keepAlive = 2 * time.Second

func newAgent(r *record, groups ...*group) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{record: r, listener: l, index: 40, changed: make(chan struct{})}
	for _, g := range groups {
		for i, h := range g.hosts {
			part := "replica"
			if i == 0 {
				part = "master"
			}
			a.endpoints = append(a.endpoints, endpoint{
				Name: h.name, Address: h.address(), Zone: "hall-a", Type: "std-4core", Group: g.number, Status: "active", Weight: 1, Part: part, index: 40,
			})
		}
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(a.answer)) }()
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// since returns the entries that changed after an index. all: the whole list.
func (a *agent) since(index int, all bool) list {
	l := list{Index: a.index, Snapshot: all, Endpoints: []endpoint{}}
	for _, e := range a.endpoints {
		if all && e.Status != "left" || !all && e.index > index {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	return l
}

func (a *agent) whole() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(0, true)
}

func (a *agent) setDelay(d time.Duration) {
	a.mu.Lock()
	a.delay = d
	a.mu.Unlock()
	a.record.printf("discovery: each call is answered %v after it came", d)
}

// setStatus changes the status of a host.
func (a *agent) setStatus(name, status string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	for i := range a.endpoints {
		if a.endpoints[i].Name == name {
			a.endpoints[i].Status, a.endpoints[i].index = status, a.index
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
	a.record.printf("discovery: index %d, %s is %s", a.index, name, status)
}

func (a *agent) answer(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	delay := a.delay
	a.mu.Unlock()
	a.record.printf("discovery: call %s", r.URL.RequestURI())
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			a.record.printf("discovery: the caller gave up %s before it was answered", r.URL.RequestURI())
			return
		}
	}
	if r.URL.Query().Get("follow") == "" {
		b, _ := json.Marshal(a.whole())
		a.record.printf("discovery: answered %s", r.URL.RequestURI())
		_, _ = w.Write(append(b, '\n'))
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("since"))
	a.mu.Lock()
	all := err != nil || index > a.index
	a.mu.Unlock()
	a.watch(w, r, index, all)
}

// watch sends the changes from an index on, a line each, until the connection ends.
func (a *agent) watch(w http.ResponseWriter, r *http.Request, index int, all bool) {
	controller := http.NewResponseController(w)
	for first := true; ; first = false {
		a.mu.Lock()
		l, changed := a.since(index, all), a.changed
		a.mu.Unlock()
		line := []byte("\n")
		if first || len(l.Endpoints) > 0 {
			line, _ = json.Marshal(l)
			line = append(line, '\n')
			a.record.printf("discovery: watch from %d: sent index %d with %d entries", index, l.Index, len(l.Endpoints))
		}
		index, all = l.Index, false
		if _, err := w.Write(line); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(keepAlive):
		}
	}
}

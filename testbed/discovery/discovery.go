// Package discovery is a stand-in for the registry of db hosts: the whole list, and a watch on its changes.
package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a host as the list words it.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   uint64  `json:"group"`
	Status  string  `json:"status"` // active, leaving, left
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
	Part    string  `json:"part"` // master or replica
}

type list struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Registry serves a list that can be changed.
type Registry struct {
	Address string

	server  *http.Server
	mu      sync.Mutex
	agents  []*http.Server
	index   int
	of      map[string]Entry
	order   []string
	changed chan struct{}
}

// Start listens at address ("127.0.0.1:0" for any port).
func Start(address string) (*Registry, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	r := &Registry{Address: l.Addr().String(), of: map[string]Entry{}, changed: make(chan struct{}), index: 1}
	r.server = r.answer(l, func(e Entry) Entry { return e })
	return r, nil
}

func (r *Registry) answer(l net.Listener, seen func(Entry) Entry) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", func(w http.ResponseWriter, q *http.Request) { r.serve(w, q, seen) })
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(l) }()
	return s
}

// Agent answers at one more address for one pooler, with the hosts as that pooler reaches them.
func (r *Registry) Agent(seen func(Entry) Entry) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	s := r.answer(l, seen)
	r.mu.Lock()
	r.agents = append(r.agents, s)
	r.mu.Unlock()
	return l.Addr().String(), nil
}

// Stop ends it and its watches.
func (r *Registry) Stop() {
	_ = r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.agents {
		_ = s.Close()
	}
}

// Set changes entries, all in one change.
func (r *Registry) Set(entries ...Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	for _, e := range entries {
		if _, ok := r.of[e.Name]; !ok {
			r.order = append(r.order, e.Name)
		}
		r.of[e.Name] = e
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Registry) now(seen func(Entry) Entry) (list, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := list{Index: r.index, Snapshot: true, Endpoints: []Entry{}}
	for _, name := range r.order {
		if e := r.of[name]; e.Status != "left" {
			l.Endpoints = append(l.Endpoints, seen(e))
		}
	}
	return l, r.changed
}

func (r *Registry) serve(w http.ResponseWriter, q *http.Request, seen func(Entry) Entry) {
	l, changed := r.now(seen)
	out := json.NewEncoder(w)
	if q.URL.Query().Get("follow") == "" {
		_ = out.Encode(l)
		return
	}
	flush := w.(http.Flusher).Flush
	if since, err := strconv.Atoi(q.URL.Query().Get("since")); err != nil || since != l.Index {
		_ = out.Encode(l)
	}
	flush()
	still := time.NewTicker(2 * time.Second)
	defer still.Stop()
	for {
		select {
		case <-changed: // each change is told as the whole list, which a watch may do
			l, changed = r.now(seen)
			if out.Encode(l) != nil {
				return
			}
		case <-still.C:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
		case <-q.Context().Done():
			return
		}
		flush()
	}
}

package cluster

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"ashstand/lab/fleet"
)

// node is a place of the fleet, with the one process that runs there. Whatever wants that away for a while holds the place
// down; the last that lets go starts the next process. So faults overlap on a place in any way, and none starts a process
// beside another's, or waits for one that another has ended.
type node struct {
	name   string
	listen string // its cluster address
	trace  string

	turn sync.Mutex // of whoever starts or stops a process here, not while that gets ready or drains

	mu       sync.Mutex    // may be taken within turn, not the other way round
	held     int           // faults that hold the place down, and the rig until it starts it
	pooler   *fleet.Pooler // nil: there is none; always so while the place is held, but for one that drains
	serves   bool          // the process got ready
	drains   bool          // it was told to end by itself
	paused   bool
	address  string // of its front, also while it is down
	ahead    int    // faults that have its clock ahead
	fast     int    // or fast
	instance uint64 // as it says itself; 0: not known yet
	started  bool   // it said that it serves
	twin     string // the cluster address of a second process of its name; "": there is none
}

// process is what serves there, if anything does, and whether it stands still.
func (n *node) process() (p *fleet.Pooler, paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.serves {
		return nil, false
	}
	return n.pooler, n.paused
}

// take takes the process out of a place and returns it, if it is the one that is meant; nil: whichever it is.
func (n *node) take(meant *fleet.Pooler) *fleet.Pooler {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.pooler
	if meant != nil && p != meant {
		return nil
	}
	n.pooler, n.serves, n.drains, n.paused, n.instance, n.started = nil, false, false, false, 0, false
	return p
}

// crashed says whether a process that ended did so by itself, and takes it out of its place.
func (n *node) crashed(p *fleet.Pooler) bool {
	n.mu.Lock()
	told := n.drains
	n.mu.Unlock()
	return !told && n.take(p) == p
}

// hold keeps a place down until let is called as often, kills what runs there, also what is about to, and does something
// before anything runs there again.
func (r *rig) hold(n *node, do func() error) error {
	n.turn.Lock()
	defer n.turn.Unlock()
	n.mu.Lock()
	n.held++
	n.mu.Unlock()
	if p := n.take(nil); p != nil {
		p.Stop()
	}
	if do == nil {
		return nil
	}
	return do()
}

// let gives a place up that was held. The last that does starts a process and waits until it serves, or until another
// fault ends it.
func (r *rig) let(n *node) error {
	p, err := r.launch(n)
	if p == nil || err != nil {
		return err
	}
	err = p.Ready()
	n.mu.Lock()
	if n.pooler == p && err == nil {
		n.serves = true
	}
	n.mu.Unlock()
	if err == nil || n.take(p) == nil {
		return nil
	}
	p.Stop()
	return err
}

// launch is the part of let that has its turn.
func (r *rig) launch(n *node) (*fleet.Pooler, error) {
	n.turn.Lock()
	defer n.turn.Unlock()
	n.mu.Lock()
	n.held--
	free := n.held == 0
	n.mu.Unlock()
	if !free {
		return nil, nil
	}
	p, err := r.fleet.Launch(n.name)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.pooler, n.address = p, p.Statement
	n.mu.Unlock()
	return p, nil
}

// again is let as the end of a fault.
func (r *rig) again(n *node) func() {
	return func() {
		if err := r.let(n); err != nil {
			r.g.Break("failed_start", "%s: %v", n.name, err)
		}
	}
}

// away holds a place down as a fault.
func (r *rig) away(n *node, do func() error) (end func(), err error) {
	if err := r.hold(n, do); err != nil {
		r.again(n)()
		return nil, err
	}
	return r.again(n), nil
}

// restart asks a process to end, and holds its place down for as long as the fault lasts.
func (r *rig) restart(n *node) (end func(), err error) {
	n.mu.Lock()
	p := n.pooler
	if !n.serves || n.paused || n.drains {
		n.mu.Unlock()
		return nil, errors.New("it is down, stands still or drains")
	}
	n.held++
	n.drains = true
	n.mu.Unlock()
	wait, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err = p.Terminate(wait)
	n.turn.Lock()
	defer n.turn.Unlock()
	if n.take(p) == p { // else another fault has killed it meanwhile
		p.Stop()
		if err != nil {
			r.g.Break("bad_exit", "%s ended with %v", n.name, err)
		}
	}
	return r.again(n), nil
}

// pause has a process stand still. One that drains does not: it would seem not to end.
func (n *node) pause() (end func(), err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.serves || n.paused || n.drains {
		return nil, errors.New("it is down, stands still or drains")
	}
	p := n.pooler
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	n.paused = true
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		_ = p.Signal(syscall.SIGCONT)
		if n.pooler == p {
			n.paused = false
		}
	}, nil
}

// clock starts a place's process once more with its clock wrong, and in the end once more without that.
func (r *rig) clock(n *node, of *int) (end func(), err error) {
	turn := func(by int) {
		_ = r.hold(n, func() error {
			n.mu.Lock()
			defer n.mu.Unlock()
			*of += by
			return nil
		})
		r.again(n)()
	}
	turn(1)
	return func() { turn(-1) }, nil
}

// twin starts a second process of a node's name, once the first is known to be there: one that starts before is the first.
func (r *rig) twin(ctx context.Context, n *node) (end func(), err error) {
	listen, err := r.port()
	if err != nil {
		return nil, err
	}
	var first *fleet.Pooler
	for until := time.Now().Add(8 * time.Second); first == nil; {
		n.mu.Lock()
		switch {
		case n.twin != "":
			err = errors.New("there is one")
		case n.started && !n.paused && !n.drains:
			first, n.twin = n.pooler, listen
		case time.Now().After(until):
			err = errors.New("it is down or stands still")
		}
		n.mu.Unlock()
		if err != nil || first == nil && !sleep(ctx, 50*time.Millisecond) {
			return nil, errors.Join(err, ctx.Err())
		}
	}
	p, err := r.fleet.StartPooler(n.name + "-twin")
	gone := func() {
		if p != nil {
			p.Stop()
		}
		n.mu.Lock()
		n.twin = ""
		n.mu.Unlock()
	}
	if err != nil {
		gone()
		return nil, err
	}
	begun := time.Now()
	return func() {
		r.judgeTwin(n, first, p, begun)
		gone()
	}, nil
}

package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"ashstand/internal/admin"
	"ashstand/testbed/fleet"
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
	held     int           // faults that hold the place down, and the rig until it starts it; one that is gone stays held
	pooler   *fleet.Pooler // nil: there is none; always so while the place is held, but for one that drains
	serves   bool          // the process got ready
	drains   bool          // it was told to end by itself
	paused   bool
	address  string      // of its front, also while it is down
	ahead    int         // faults that have its clock ahead
	fast     int         // or fast
	instance uint64      // as it says itself; 0: not known yet
	started  bool        // it said that it serves
	gone     bool        // for good
	ends     []time.Time // of its processes, the last few as many as faults took
	twin     string      // the cluster address of a second process of its name; "": there is none
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

// errGone is what faults of a process get that is gone for good.
var errGone = errors.New("it is gone for good")

// crashed says whether a process that ended did so by itself, and takes it out of its place.
func (n *node) crashed(p *fleet.Pooler) bool {
	n.mu.Lock()
	told := n.drains
	n.mu.Unlock()
	if told || n.take(p) != p {
		return false
	}
	n.ended()
	return true
}

// ended notes that a process is no longer there.
func (n *node) ended() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends = append(n.ends, time.Now())
}

// hold keeps a place down until let is called as often, kills what runs there, also what is about to, and does something
// before anything runs there again. A place that is gone for good is not held: let must not follow.
func (r *rig) hold(n *node, do func() error) error {
	n.turn.Lock()
	defer n.turn.Unlock()
	n.mu.Lock()
	if n.gone {
		n.mu.Unlock()
		return errGone
	}
	n.held++
	n.mu.Unlock()
	if p := n.take(nil); p != nil {
		p.Stop()
		n.ended()
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
	n.ended()
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
	if err := r.hold(n, do); errors.Is(err, errGone) {
		return nil, err
	} else if err != nil {
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
		n.ended()
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
	turn := func(by int) error {
		err := r.hold(n, func() error {
			n.mu.Lock()
			defer n.mu.Unlock()
			*of += by
			return nil
		})
		if err == nil {
			r.again(n)()
		}
		return err
	}
	if err := turn(1); err != nil {
		return nil, err
	}
	return func() { _ = turn(-1) }, nil // it may be gone meanwhile
}

// leave ends a process for good. Of the voters a minority at most goes, counting those that have lost their folder.
func (r *rig) leave(ctx context.Context, n *node) error {
	r.losing.Lock()
	defer r.losing.Unlock()
	if slices.Contains(r.nodes[:Voters(len(r.nodes))], n) && len(r.lose(ctx, 1, n)) == 0 {
		return errors.New("a majority of the voters could be lost")
	}
	return r.hold(n, func() error {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.gone = true
		return nil
	})
}

// lose takes up to so many of some voters that may lose their folder now, or go, so that a majority keeps what it has. Where
// earlier losses are in the way, it waits for a while until these are healed. The caller has r.losing until the loss is there.
func (r *rig) lose(ctx context.Context, most int, of ...*node) (took []*node) {
	for until := time.Now().Add(healing); ; {
		if len(r.spent) > 0 && r.healed() {
			clear(r.spent)
		}
		out, heals := 0, false
		for _, n := range r.nodes[:Voters(len(r.nodes))] {
			if _, lost := r.spent[n.name]; lost || n.left() {
				out++
				heals = heals || !n.left()
			}
		}
		for _, n := range of {
			_, lost := r.spent[n.name]
			switch {
			case n.left() || len(took) == most:
			case lost: // it has nothing to lose that counts
				if id := r.identity(n); id != 0 {
					r.spent[n.name] = id
				}
				took = append(took, n)
			case out < Minority(len(r.nodes)):
				out++
				r.spent[n.name] = r.identity(n)
				took = append(took, n)
			}
		}
		if len(took) > 0 || !heals || time.Now().After(until) || !sleep(ctx, 100*time.Millisecond) {
			return took
		}
	}
}

// healing is for how long a loss waits for an earlier one to heal: a start, a few elections, a change of voters.
const healing = 3 * time.Second

func (n *node) left() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gone
}

// identity is what a voter's folder names itself by; 0: there is none to be read. Its file has a line with its sum before
// the rest.
func (r *rig) identity(n *node) uint64 {
	b, err := os.ReadFile(filepath.Join(r.folder(n.name), "agreed.json"))
	_, b, _ = bytes.Cut(b, []byte("\n"))
	var kept struct {
		ID uint64 `json:"id"`
	}
	if err != nil || json.Unmarshal(b, &kept) != nil {
		return 0
	}
	return kept.ID
}

// healed says whether each voter that is not gone serves, and all of these count each other's present identity, which is
// another than before a loss, and nobody else but those that are gone.
func (r *rig) healed() bool {
	voters := r.nodes[:Voters(len(r.nodes))]
	ids := map[uint64]bool{}
	var views []map[uint64]string
	for _, n := range voters {
		if n.left() {
			continue
		}
		p, paused := n.process()
		var v struct {
			Voters map[uint64]string `json:"voters"`
		}
		id := r.identity(n)
		if was, lost := r.spent[n.name]; id == 0 || lost && id == was || p == nil || paused || admin.Get(p.Admin, "agreement", &v) != nil {
			return false
		}
		ids[id] = true
		views = append(views, v.Voters)
	}
	for _, v := range views {
		if len(v) != len(voters) {
			return false
		}
		for id := range ids {
			if v[id] == "" {
				return false
			}
		}
	}
	return true
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
	d := &double{in: begun}
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() {
		pace := time.NewTicker(200 * time.Millisecond)
		defer pace.Stop()
		for {
			if v, err := look(p.Admin); err == nil {
				d.hear(v, time.Now())
			}
			select {
			case <-stop:
				return
			case <-pace.C:
			}
		}
	})
	return func() {
		close(stop)
		done.Wait()
		select {
		case <-p.Ended():
			r.g.Break("crashed", "the second process of %s: %v\n%s", n.name, p.Err(), last(p.Log(), 2000))
		default:
			r.judgeTwin(n, first, d, begun)
		}
		gone()
	}, nil
}

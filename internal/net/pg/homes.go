package pg

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/clock"
	"ashstand/internal/dispatch"
	"ashstand/internal/session"
)

// Homes says where databases are, by the rules that count at a moment. It is asked on the event loop, where a transaction
// begins and again just before it is sent, so it must neither wait nor allocate.
type Homes interface {
	Home(database string, now float64) session.Home
}

// What a host says where its guard refuses a write before it does anything, since the tenant is closed there.
const (
	stateGuard = "55000"
	textGuard  = "tenant is closed"
)

// mostAtOnce is how many held transactions go on, or are refused, in one turn of the loop: others are served between.
const mostAtOnce = 256

// SetHomes says whom to ask; it is called before the first client comes. Without it no transaction asks.
func (f *Sessions) SetHomes(h Homes) {
	f.homes, f.tenants, f.roused = h, session.NewTenants(), map[*session.Tenant]bool{}
}

// Rehome says that the rules changed: what was chosen and not sent is chosen anew, what is held may go, and who is bound
// to a connection of a home that is none any more is told.
func (f *Sessions) Rehome() {
	if f.homes != nil {
		f.onLoop(f.rehome)
	}
}

func (f *Sessions) rehome() {
	var anew []*sclient
	for c := range f.clients {
		switch {
		case c.gone || c.tenant == nil:
		case (c.phase == phaseRouting || c.phase == phaseQueued) && !c.atHome():
			anew = append(anew, c)
		case c.phase == phaseLinked && c.server != nil && c.kept && c.call == nil && !c.begun && c.pipe.Idle() && c.wire.BufferedBytes() == 0 && c.moved():
			if c.part(c.server) == gnet.Close {
				c.wire.Close()
			}
		}
	}
	slices.SortFunc(anew, func(a, b *sclient) int { return cmp.Compare(a.request.Arrived, b.request.Arrived) })
	for _, c := range anew {
		if !c.gone && (c.phase == phaseRouting || c.phase == phaseQueued) && c.call != nil {
			c.anew()
		}
	}
	for _, t := range f.tenants.All() {
		f.letGo(t)
	}
}

// letGo lets those held of a tenant go on that may.
func (f *Sessions) letGo(t *session.Tenant) {
	for range mostAtOnce {
		x := f.tenants.Next(t, f.homes.Home(t.Database, f.clock.Now()))
		if x == nil {
			return
		}
		x.Of.(*sclient).letGo()
	}
	f.rouse(t)
}

// rouse is letGo in the loop's next turn: whoever calls it may be in the middle of something.
func (f *Sessions) rouse(t *session.Tenant) {
	if f.roused[t] {
		return
	}
	f.roused[t] = true
	f.onLoop(func() {
		delete(f.roused, t)
		f.letGo(t)
	})
}

// wake sees to it that those whose time is over are refused then: a sweep would come too late for their clients.
func (f *Sessions) wake() {
	at, ok := f.tenants.Due()
	if !ok || f.waking > 0 && f.waking <= at {
		return
	}
	f.waking = at
	wait := max(time.Millisecond, clock.Duration(at-f.clock.Now()))
	if f.alarm == nil {
		f.alarm = time.AfterFunc(wait, func() { f.onLoop(f.lateHeld) })
	} else {
		f.alarm.Reset(wait)
	}
}

func (f *Sessions) lateHeld() {
	f.waking = 0
	now := f.clock.Now()
	for range mostAtOnce {
		x, err := f.tenants.Late(now)
		if x == nil {
			break
		}
		c := x.Of.(*sclient)
		c.over(err.Error(), f.limits.Load().After)
		c.proceed()
	}
	f.wake()
}

// holdBounds are what may be held for a pool.
func (f *Sessions) holdBounds(p *PoolSettings) session.HoldBounds {
	l := f.limits.Load()
	return session.HoldBounds{Most: p.Held, All: l.Held, Bytes: l.Bytes / 4, AllBytes: l.Bytes / 2, Longest: p.Hold}
}

// atHome says whether the home that the transaction was chosen for is what the rules say now.
func (c *sclient) atHome() bool {
	f := c.front
	return f.homes == nil || f.homes.Home(c.names.database, f.clock.Now()).Same(c.home)
}

// moved says whether the home is another than that of the connection which the session keeps.
func (c *sclient) moved() bool {
	f := c.front
	if f.homes == nil {
		return false
	}
	h := f.homes.Home(c.names.database, f.clock.Now())
	if h.Paused || h.Fenced {
		return false
	}
	group, err := h.Place(c.names.database, &c.routed)
	return err != nil || group != c.request.Group
}

// part parts a session from the connection that it keeps, between transactions, since the database has moved. What binds
// it to the connection can't go with it, and one that waits for a notification would never hear that it is in vain.
func (c *sclient) part(s *server) gnet.Action {
	if cause := c.pipe.Pinned(); cause != "" {
		return c.farewell(stateShutdown, "the database has moved to another home, and the session's "+string(cause)+" can't go with it; connect again", "")
	}
	c.forsake(s)
	return gnet.None
}

// stays takes the first message of a transaction that is to begin on the connection which the session keeps. done: it
// was answered; waits: the tenant is paused; linkedNow: it goes on, there or, where the session was parted from the
// connection, elsewhere.
func (c *sclient) stays(kind byte) (fate, gnet.Action) {
	f := c.front
	if c.moved() {
		act := c.part(c.server)
		if c.gone {
			return done, act
		}
		return linkedNow, gnet.None
	}
	now := f.clock.Now()
	if !c.held.Passed() {
		c.held.Fresh()
		c.held.Deadline = now + c.pool.Patience
	}
	c.held.Bytes, c.held.Window = c.waiting(), c.pool.Sizes.Most
	held, err := f.tenants.Decide(now, c.tenant, f.homes.Home(c.names.database, now), &c.held, f.holdBounds(c.pool))
	switch {
	case held:
		c.asked, c.phase = kind, phaseHeld
		f.wake()
		return waits, gnet.None
	case err != nil:
		c.land()
		c.refuse(stateRefused, err.Error(), f.after())
		c.consumed(kind)
		return done, gnet.None
	}
	c.land()
	return linkedNow, gnet.None
}

// waiting is how many bytes of the client's wait here.
func (c *sclient) waiting() int { return c.wire.BufferedBytes() + len(c.resend) }

// letGo goes on with a transaction that was held, by what the rules say now.
func (c *sclient) letGo() {
	if c.server != nil {
		c.phase = phaseLinked
		c.proceed()
		return
	}
	c.phase = phaseRouting
	c.settle()
	if c.phase == phaseLinked || c.phase == phaseFree {
		c.proceed()
	}
}

// land says that the transaction is at its host, or over.
func (c *sclient) land() {
	if f := c.front; f.homes != nil && f.tenants.Land(c.tenant, &c.held) {
		f.rouse(c.tenant)
	}
}

// unhold takes the transaction out of what is held.
func (c *sclient) unhold() {
	if f := c.front; f.homes != nil && c.tenant != nil {
		c.land()
		f.tenants.Leave(c.tenant, &c.held)
	}
}

// settle asks where the tenant is and goes on from there: a host is chosen, or the transaction is held or refused.
func (c *sclient) settle() {
	f := c.front
	if f.homes != nil {
		now := f.clock.Now()
		h := f.homes.Home(c.names.database, now)
		c.held.Bytes, c.held.Window = c.waiting(), c.pool.Sizes.Most
		held, refused := f.tenants.Decide(now, c.tenant, h, &c.held, f.holdBounds(c.pool))
		if held {
			c.phase = phaseHeld
			f.wake()
			return
		}
		if refused != nil {
			c.over(refused.Error(), f.limits.Load().After)
			return
		}
		group, err := h.Place(c.names.database, &c.routed)
		if err != nil {
			c.land()
			c.refuse(stateInvalid, err.Error(), "")
			c.drop()
			return
		}
		c.home, c.request.Group = h, group
		c.unrecord()
		c.recording = h.Named && len(c.resend) == 0
	}
	call, err := f.facade.Begin(c.request)
	if err != nil {
		c.land()
		c.refuse(stateInvalid, err.Error(), "")
		c.drop()
		return
	}
	c.call = call
	c.pick()
}

// anew chooses again for a transaction of which nothing was sent, since its tenant's home is another by now.
func (c *sclient) anew() {
	c.waiter.Leave()
	call := c.call
	c.call = nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.phase = phaseRouting
	c.settle()
	if !c.inMessage && (c.phase == phaseLinked || c.phase == phaseFree) {
		c.proceed()
	}
}

// note keeps a copy of what is sent of a transaction's first statement, for the case that the host turns it away since the
// tenant is closed there.
func (c *sclient) note(kind byte, body, whole []byte) {
	f := c.front
	ok := true
	switch kind {
	case 'Q', 'E':
		c.runs++
	case 'P':
		ok = len(body) > 0 && body[0] == 0
	case 'B', 'D', 'S':
	default:
		ok = false
	}
	if !ok || c.runs > 1 || len(c.record)+len(whole) > mostWhole || f.recorded+len(whole) > f.limits.Load().Bytes/4 {
		c.unrecord()
		return
	}
	if len(c.record) == 0 {
		c.quiet = true
	}
	c.record = append(c.record, whole...)
	f.recorded += len(whole)
}

// unrecord forgets it.
func (c *sclient) unrecord() {
	c.front.recorded -= len(c.record)
	if c.record, c.runs, c.recording = c.record[:0], 0, false; cap(c.record) > 4<<10 { // most statements are shorter
		c.record = nil
	}
}

// guarded says whether an error is the guard's refusal of a statement that may be run again: it raised before anything was
// written, the statement's transaction is its own, and the client has heard nothing of it.
func (c *sclient) guarded(state, text string) bool {
	return c.recording && c.quiet && c.call != nil && state == stateGuard && text == textGuard && c.pipe.Status() == 'I' && !c.pipe.Explicit() &&
		c.whole()
}

// whole says whether what is kept runs as a whole or not at all.
func (c *sclient) whole() bool {
	for b := c.record; len(b) > 0; {
		kind, body, rest, ok, err := next(b, mostWhole)
		if err != nil || !ok {
			return false
		}
		switch kind {
		case 'Q':
			s, _, ok := text(body)
			return ok && session.Rerunnable(s)
		case 'B':
			_, name, _, ok := two(body)
			p := c.pipe.Find(name)
			return ok && p != nil && session.Rerunnable(p.Text)
		}
		b = rest
	}
	return false
}

// rerun brings a transaction that a host turned away back to where it was before it was chosen for: it goes where the rules
// say by now, or waits until they say something else. s is nil where the connection is gone.
func (c *sclient) rerun(s *server) {
	f := c.front
	call := c.call
	c.call = nil
	call.Finish(dispatch.Outcome{Code: dispatch.NotSent})
	c.land()
	c.held.Turned(c.home)
	f.stats.Turned++
	f.recorded -= len(c.record)
	c.resend, c.record, c.recording, c.runs = c.record, nil, false, 0
	c.phase = phaseFree
	if s != nil {
		c.unlink(s)
		s.rest()
	}
	if c.hit { // it was cancelled before its host had said all
		c.hit, c.asked = false, c.resend[0]
		c.cancelled()
	}
	c.proceed()
}

// peek is what the client sent that was not taken: first what is to be sent again.
func (c *sclient) peek() []byte {
	if len(c.resend) > 0 {
		return c.resend
	}
	return c.wire.Peek()
}

// discard takes n bytes of what peek returned.
func (c *sclient) discard(n int) {
	c.behind = behind{}
	if len(c.resend) == 0 {
		c.wire.Discard(n)
	} else if c.resend = c.resend[n:]; len(c.resend) == 0 {
		c.resend = nil
	}
}

// HomeStats are of one database that has sessions here.
type HomeStats struct {
	Database string       `json:"database"`
	Home     *uint64      `json:"home,omitempty"` // nil: each pool's own group, or none that is agreed on
	Fenced   bool         `json:"fenced,omitempty"`
	State    string       `json:"state"` // open, paused or fenced
	Since    float64      `json:"paused_since,omitempty"`
	Sessions int          `json:"sessions"`
	Running  int          `json:"running"` // transactions
	Held     int          `json:"held"`
	Going    int          `json:"going"` // let go, and not at a host yet
	Passed   uint64       `json:"let_go"`
	Refused  uint64       `json:"refused"`
	Bound    []BoundStats `json:"bound,omitempty"`
}

// BoundStats are the sessions of a pool that are bound to connections of one host.
type BoundStats struct {
	Pool     string `json:"pool"`
	Host     string `json:"host"`
	Cause    string `json:"cause"`
	Sessions int    `json:"sessions"`
}

// Describe words a home for operators.
func (h *HomeStats) Describe(of session.Home) {
	if h.State = "open"; of.Paused {
		h.State, h.Since = "paused", of.Since
	} else if of.Fenced {
		h.State = "fenced"
	}
	if h.Fenced = of.Fenced; of.Named && !of.Fenced {
		h.Home = &of.Group
	}
}

// Homes are the databases that have sessions here.
func (f *Sessions) Homes() []HomeStats {
	if f.homes == nil || f.loop.Load() == nil {
		return nil
	}
	out := make(chan []HomeStats, 1)
	f.onLoop(func() { out <- f.describe() })
	select {
	case all := <-out:
		return all
	case <-time.After(time.Second):
		return nil
	}
}

func (f *Sessions) describe() (all []HomeStats) {
	at := map[string]int{}
	now := f.clock.Now()
	for _, t := range f.tenants.All() {
		h := HomeStats{Database: t.Database, Sessions: t.Sessions(), Held: t.Held(), Going: t.Going(), Passed: t.Passed, Refused: t.Refused}
		h.Describe(f.homes.Home(t.Database, now))
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b HomeStats) int { return strings.Compare(a.Database, b.Database) })
	for i := range all {
		at[all[i].Database] = i
	}
	for c := range f.clients {
		if c.tenant == nil || c.server == nil {
			continue
		}
		h := &all[at[c.tenant.Database]]
		if c.call != nil || !c.pipe.Idle() {
			h.Running++
		}
		if !c.kept {
			continue
		}
		b := BoundStats{Pool: c.pool.Name, Host: c.server.pool.host.name, Cause: string(c.pipe.Pinned())}
		if b.Cause == "" {
			b.Cause = "session mode"
		}
		if i := slices.IndexFunc(h.Bound, func(o BoundStats) bool { o.Sessions = 0; return o == b }); i >= 0 {
			h.Bound[i].Sessions++
		} else {
			b.Sessions = 1
			h.Bound = append(h.Bound, b)
		}
	}
	for i := range all {
		slices.SortFunc(all[i].Bound, func(a, b BoundStats) int {
			return strings.Compare(a.Pool+"\x00"+a.Host+"\x00"+a.Cause, b.Pool+"\x00"+b.Host+"\x00"+b.Cause)
		})
	}
	return all
}

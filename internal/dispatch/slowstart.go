package dispatch

import (
	"slices"
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/lifecycle"
	"ashstand/routing"
)

// SlowStartView is what this process knows about a warming host, and what it has sent to the host since the
// host started.
type SlowStartView struct {
	routing.SlowStartStatus
	StartedAtMillis  float64 // Unix milliseconds
	NotifiedAtMillis float64
	Sent             routing.SlowStartCounts
	SentByClass      []ClassSent // in the order of the classes
}

// ClassCosts returns what this process takes a request of each class to cost a host.
func (d *Dispatcher) ClassCosts() []routing.ClassCost {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.ClassCosts()
}

// ClassSent is what this process has sent to a warming host of one class.
type ClassSent struct {
	Class    string
	Requests int
	Cost     float64 // of these requests to the host's slow start budget
}

// slowStartRecord counts what was sent to a warming host since its process started.
type slowStartRecord struct {
	startedAt time.Duration
	audit     lifecycle.SlowStartAudit
	sent      routing.SlowStartCounts
	byClass   []ClassSent
}

// slowStartRecordOf returns the record of a warming host, or nil if the host is not warming. A restart of the
// host begins a new record. d.mu is held.
func (d *Dispatcher) slowStartRecordOf(now float64, host string) *slowStartRecord {
	status, ok := d.router.SlowStart(clock.Duration(now), host)
	if !ok {
		delete(d.slowStarts, host)
		return nil
	}
	record := d.slowStarts[host]
	if record == nil || record.startedAt != status.StartedAt {
		record = &slowStartRecord{startedAt: status.StartedAt}
		for i := range d.settings.Settings.Classes {
			record.byClass = append(record.byClass, ClassSent{Class: d.settings.Settings.Classes[i].Name})
		}
		d.slowStarts[host] = record
	}
	record.audit.WindowMillis = clock.Millis(d.settings.SlowStart.OverloadWindow)
	record.audit.SetRate(now, status.RatePerSecond)
	return record
}

// CountHandshake counts a connection to a host whose handshake is about to begin, if the host is warming.
func (d *Dispatcher) CountHandshake(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countSlowStart(host, routing.PathHandshake)
}

// countSlowStart counts work at a warming host that does not draw on the host's slow-start budget. d.mu is
// held.
func (d *Dispatcher) countSlowStart(host string, path routing.SlowStartPath) {
	if record := d.slowStartRecordOf(d.clock.Now(), host); record != nil {
		record.sent[path]++
	}
}

// WarmingHosts returns all warming hosts, ordered by name.
func (d *Dispatcher) WarmingHosts() (all []SlowStartView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, status := range d.router.WarmingHosts(clock.Duration(now)) {
		view := SlowStartView{
			SlowStartStatus: status, StartedAtMillis: clock.Millis(status.StartedAt), NotifiedAtMillis: clock.Millis(status.NotifiedAt),
		}
		if record := d.slowStartRecordOf(now, status.Host); record != nil {
			view.Sent, view.SentByClass = record.sent, slices.Clone(record.byClass)
		}
		all = append(all, view)
	}
	return all
}

// RecordWrite records that the attempt picked last was written at the given time, and reports whether its
// warming host was thereby sent more than slow start permits. It must be called at most once per attempt, no
// later than at the attempt's end.
func (c *Call) RecordWrite(at float64) (isOverrun bool) {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.slowStartRecordOf(d.clock.Now(), c.host)
	if record == nil || clock.Millis(record.startedAt) > at { // the attempt was written before the host restarted
		return false
	}
	path, cost, ok := d.router.SlowStartPathOf(c.id, c.attempt)
	if !ok {
		return false
	}
	record.sent[path]++
	record.byClass[c.classIndex].Requests++
	record.byClass[c.classIndex].Cost += cost
	return record.audit.RecordWrite(at, cost)
}

package dispatch

import (
	"time"

	"ashstand/internal/clock"
	"ashstand/internal/lifecycle"
	"ashstand/routing"
)

// SlowStartView is what this process knows of a host that warms up, and what it has sent there since the host started.
type SlowStartView struct {
	routing.SlowStartStatus
	StartedAtMillis  float64 // Unix milliseconds
	NotifiedAtMillis float64
	Sent             routing.SlowStartCounts
}

// slowStartRecord is what was sent to one process of a host.
type slowStartRecord struct {
	startedAt time.Duration
	account   lifecycle.SlowStartAccount
	sent      routing.SlowStartCounts
}

// slowStartRecordOf returns the record of a host that warms up; nil: it does not. d.mu is held.
func (d *Dispatcher) slowStartRecordOf(now float64, host string) *slowStartRecord {
	status, ok := d.router.SlowStart(clock.Duration(now), host)
	if !ok {
		delete(d.slowStarts, host)
		return nil
	}
	record := d.slowStarts[host]
	if record == nil || record.startedAt != status.StartedAt {
		record = &slowStartRecord{startedAt: status.StartedAt}
		d.slowStarts[host] = record
	}
	record.account.WindowMillis = clock.Millis(d.settings.SlowStart.OverloadWindow)
	record.account.Allow(now, status.RatePerSecond)
	return record
}

// SlowStartHandshake notes that a connection to a host is about to be made ready.
func (d *Dispatcher) SlowStartHandshake(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countSlowStart(host, routing.PathHandshake)
}

// countSlowStart counts work that takes nothing of a host's budget. d.mu is held.
func (d *Dispatcher) countSlowStart(host string, path routing.SlowStartPath) {
	if record := d.slowStartRecordOf(d.clock.Now(), host); record != nil {
		record.sent[path]++
	}
}

// WarmingHosts returns all hosts that warm up, by name.
func (d *Dispatcher) WarmingHosts() (all []SlowStartView) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, status := range d.router.WarmingHosts(clock.Duration(now)) {
		view := SlowStartView{
			SlowStartStatus: status, StartedAtMillis: clock.Millis(status.StartedAt), NotifiedAtMillis: clock.Millis(status.NotifiedAt),
		}
		if record := d.slowStartRecordOf(now, status.Host); record != nil {
			view.Sent = record.sent
		}
		all = append(all, view)
	}
	return all
}

// Written notes that the attempt picked last was written, and reports whether that was more than its host may be sent while it
// warms up. It is to be called once an attempt, at its end at the latest.
func (c *Call) Written(at float64) (isOverrun bool) {
	d := c.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.slowStartRecordOf(d.clock.Now(), c.host)
	if record == nil || clock.Millis(record.startedAt) > at { // it was written to the process before
		return false
	}
	path, cost := d.router.SlowStartPathOf(c.host, c.classIndex)
	record.sent[path]++
	return record.account.Write(at, cost)
}

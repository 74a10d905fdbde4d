package main

import (
	"log"
	"os"
	"time"

	"ashstand/internal/cluster/membership"
	"ashstand/internal/lifecycle"
)

// shutdownPollInterval is the pace at which a shutdown looks whether its next phase has come.
const shutdownPollInterval = 5 * time.Millisecond

// shutdown is the end of a process from the signal that asks for it on. Its phases follow from the time that the platform grants; a
// configuration that comes meanwhile may shorten it.
type shutdown struct {
	node     *node
	begun    time.Time
	schedule lifecycle.ShutdownSchedule
}

// shutDown ends the process.
func (n *node) shutDown(signal os.Signal) {
	s := &shutdown{node: n, begun: time.Now(), schedule: n.bounds.Load().end}
	// New connections come for 0.4 s yet, and clients use those they have while they are open: until the platform starts the next
	// process, this one serves them best.
	log.Printf("%v: going on for %v, then closing client connections between requests; the platform may kill after %v",
		signal, s.schedule.DrainAt, s.schedule.KillAt)
	n.others.now(membership.Draining)
	n.front.WatchReaders()
	n.others.drain(s.schedule.DrainAt)
	s.wait(func(schedule lifecycle.ShutdownSchedule) time.Duration { return schedule.DrainSlowAt }, nil)
	n.front.DrainSlowReaders()
	s.wait(func(schedule lifecycle.ShutdownSchedule) time.Duration { return schedule.DrainAt }, nil)
	s.drain()
	s.cut()
}

// wait returns once the time has come that at names, or once done is closed, which it reports.
func (s *shutdown) wait(at func(lifecycle.ShutdownSchedule) time.Duration, done <-chan struct{}) (isDone bool) {
	for {
		s.schedule = s.schedule.Earlier(s.node.bounds.Load().end)
		left := at(s.schedule) - time.Since(s.begun)
		if left <= 0 {
			return false
		}
		select {
		case <-done:
			return true
		case <-time.After(min(left, shutdownPollInterval)):
		}
	}
}

// pollUntil returns once a condition holds, which nothing announces.
func pollUntil(holds func() bool) {
	for !holds() {
		time.Sleep(shutdownPollInterval)
	}
}

// drain closes client connections between requests and waits for the answers that are due.
func (s *shutdown) drain() {
	n := s.node
	n.core.Advance(lifecycle.DrainStarted)
	n.front.Drain()
	if n.pooled != nil {
		n.pooled.Drain()
	}
	idle := make(chan struct{})
	go func() {
		if n.flight != nil { // first: a request ends there before the last of its answer is written
			n.flight.Drain()
		}
		<-n.core.Drain()
		pollUntil(n.front.Idle) // of what clients send ahead or in pieces, some is still to begin
		if n.pooled != nil {
			pollUntil(func() bool { return n.pooled.Stats().Linked == 0 && !n.pooled.HasUnconfirmed() }) // transactions finish, if they can in time
		}
		close(idle)
	}()
	if s.wait(func(schedule lifecycle.ShutdownSchedule) time.Duration { return schedule.TerminateAt }, idle) {
		log.Printf("drained: every request has its answer")
	} else {
		log.Printf("drained: time is up; what is open gets an error")
	}
}

// cut gives what is open its final answer, and the event loop the time to write it.
func (s *shutdown) cut() {
	n := s.node
	n.core.Advance(lifecycle.TerminationStarted)
	n.front.CloseClients()
	if n.flight != nil {
		n.flight.Cut()
	}
	if n.pooled != nil {
		n.pooled.CloseClients()
	}
	written := time.Now().Add(s.schedule.ExitAt - s.schedule.TerminateAt)
	if n.admin != nil {
		n.admin.Stop()
	}
	if n.keeper != nil {
		n.keeper.last()
	}
	n.others.stop()
	time.Sleep(time.Until(written))
	n.core.Advance(lifecycle.ProcessExiting)
}

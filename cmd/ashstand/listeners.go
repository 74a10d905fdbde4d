package main

import (
	"fmt"
	"log"
	"net"

	"ashstand/internal/admin"
	"ashstand/internal/net/flight"
)

// listeners are addresses that are opened before the event loop opens those of statements and sessions, and served once it runs.
// Whoever reaches the event loop then reaches these too, and an address that can't be opened ends the process before it has taken
// a request.
type listeners struct {
	flight net.Listener    // nil: off
	admin  *admin.Listener // nil: off
}

// openListeners opens the addresses that the operator's file names.
func openListeners(cfg *config) (l *listeners, err error) {
	l = new(listeners)
	if cfg.flight.Listen != "" {
		if l.flight, err = net.Listen("tcp", cfg.flight.Listen); err != nil {
			return nil, fmt.Errorf("flight: %w", err)
		}
	}
	if cfg.operator.Admin.Listen != "" {
		if l.admin, err = admin.Listen(cfg.operator.Admin.Listen); err != nil {
			l.close()
			return nil, err
		}
	}
	return l, nil
}

// close closes addresses that are not served yet.
func (l *listeners) close() {
	if l.flight != nil {
		_ = l.flight.Close()
	}
	if l.admin != nil {
		_ = l.admin.Close()
	}
}

// serve begins to accept connections at the addresses that were opened.
func (n *node) serve(l *listeners, cfg *config) {
	if l.flight != nil {
		n.flight = flight.NewFront(n.core)
		go func() {
			n.ended <- endedError("the Flight SQL front", n.flight.Serve(l.flight, cfg.flight.Connections))
		}()
		log.Printf("%s listens for Flight SQL on %s; at most %d connections", cfg.Name, l.flight.Addr(), cfg.flight.Connections)
	}
	if l.admin != nil {
		n.admin = admin.Serve(l.admin, n.views(), n.adminCommands())
		log.Printf("%s answers operators at %s", cfg.Name, cfg.operator.Admin.Listen)
	}
}

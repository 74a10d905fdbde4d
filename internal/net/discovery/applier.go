package discovery

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
)

// NewApplier returns a function that brings lists to dispatch, by update, and to the backends. Addresses come first: a host
// that is chosen must have one; those of removed hosts are forgotten last, after dispatch no longer chooses them. backendOf
// returns the backend over which a host is reached; primary is the value of Endpoint.Role for primaries.
func NewApplier(update func(snapshot bool, endpoints []dispatch.Endpoint), backends *edge.BackendMux, backendOf func(Endpoint) edge.Backend, primary string) func(EndpointList) {
	known := map[string]bool{}
	return func(l EndpointList) {
		removed := map[string]bool{}
		if l.Snapshot { // what a complete list leaves out was removed
			for name := range known {
				removed[name] = true
			}
		}
		endpoints := make([]dispatch.Endpoint, 0, len(l.Endpoints))
		for _, e := range l.Endpoints {
			if removed[e.Name] = e.Status == Removed; e.Status != Removed && e.Address != "" {
				known[e.Name] = true
				backends.Route(e.Name, backendOf(e), e.Address)
			}
			endpoints = append(endpoints, dispatch.Endpoint{
				Host: e.Name, Group: e.Group, Draining: e.Status == Draining,
				Removed: e.Status == Removed, Primary: e.Role == primary, StartedAt: e.SinceMS,
			})
		}
		update(l.Snapshot, endpoints)
		for name, gone := range removed {
			if gone {
				backends.SetAddress(name, "")
				delete(known, name)
			}
		}
	}
}

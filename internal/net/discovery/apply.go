package discovery

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
)

// NewApplier returns a function that brings lists to the decisions and to the backend, addresses first: a host that
// is chosen must have one. wire says over what a host is reached; primary is the word for it in Part.
func NewApplier(members func(full bool, ms []dispatch.Endpoint), backend *edge.BackendMux, wire func(Endpoint) edge.Backend, primary string) func(EndpointList) {
	known := map[string]bool{}
	return func(l EndpointList) {
		gone := map[string]bool{}
		if l.Snapshot { // what a whole list leaves out is gone
			for name := range known {
				gone[name] = true
			}
		}
		ms := make([]dispatch.Endpoint, 0, len(l.Endpoints))
		for _, e := range l.Endpoints {
			if gone[e.Name] = e.Status == Removed; e.Status != Removed && e.Address != "" {
				known[e.Name] = true
				backend.Route(e.Name, wire(e), e.Address)
			}
			ms = append(ms, dispatch.Endpoint{
				Host: e.Name, Group: e.Group, Draining: e.Status == Draining,
				Removed: e.Status == Removed, Primary: e.Role == primary, StartedAt: e.SinceMS,
			})
		}
		members(l.Snapshot, ms)
		for name, left := range gone { // after the decisions have let go of it
			if left {
				backend.SetAddress(name, "")
				delete(known, name)
			}
		}
	}
}

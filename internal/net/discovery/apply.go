package discovery

import (
	"ashstand/internal/dispatch"
	"ashstand/internal/edge"
)

// Apply returns a function that brings lists to the decisions and to the backend, addresses first: a host that
// is chosen must have one. wire says over what a host is reached; primary is the word for it in Part.
func Apply(members func(full bool, ms []dispatch.Endpoint), backend *edge.Split, wire func(Entry) edge.Backend, primary string) func(List) {
	known := map[string]bool{}
	return func(l List) {
		gone := map[string]bool{}
		if l.Snapshot { // what a whole list leaves out is gone
			for name := range known {
				gone[name] = true
			}
		}
		ms := make([]dispatch.Endpoint, 0, len(l.Endpoints))
		for _, e := range l.Endpoints {
			if gone[e.Name] = e.Status == Left; e.Status != Left && e.Address != "" {
				known[e.Name] = true
				backend.Use(e.Name, wire(e), e.Address)
			}
			ms = append(ms, dispatch.Endpoint{
				Host: e.Name, Group: e.Group, Draining: e.Status == Leaving,
				Removed: e.Status == Left, Primary: e.Part == primary, StartedAt: e.SinceMS,
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

package discovery

// Endpoint is a database host as the discovery service describes it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Type    string  `json:"type"`
	Group   uint64  `json:"group"`
	Status  string  `json:"status"` // Active, Draining or Removed
	SinceMS float64 `json:"since_ms"`
	Role    string  `json:"part"` // empty where the service does not report roles
}

// EndpointList is the complete list, or the endpoints that changed.
type EndpointList struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"` // the list is complete: what it leaves out was removed
	Endpoints []Endpoint `json:"endpoints"`
}

// Values of Endpoint.Status.
const (
	Active   = "active"
	Draining = "leaving"
	Removed  = "left"
)

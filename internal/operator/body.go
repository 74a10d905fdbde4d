package operator

import "github.com/hashicorp/hcl/v2"

// The file as HCL decodes it. Pointers distinguish what is left out from what is zero.
type (
	fileBody struct {
		Log      *logBody      `hcl:"log,block"`
		Admin    *adminBody    `hcl:"admin,block"`
		State    *stateBody    `hcl:"state,block"`
		Flight   *flightBody   `hcl:"flight,block"`
		Sessions *sessionsBody `hcl:"sessions,block"`
		Cluster  *clusterBody  `hcl:"cluster,block"`
		Cost     *costBody     `hcl:"cost,block"`
		Testbed  *testbedBody  `hcl:"lab,block"`
	}
	costBody struct {
		Memory   *string    `hcl:"memory"`
		Span     *string    `hcl:"span"`
		Drift    *float64   `hcl:"drift"`
		Capacity *int       `hcl:"capacity"`
		Kinds    []kindBody `hcl:"kind,block"`
		Body     hcl.Body   `hcl:",body"`
	}
	kindBody struct {
		Name  string   `hcl:"name,label"`
		Hosts []string `hcl:"hosts"`
		Body  hcl.Body `hcl:",body"`
	}
	clusterBody struct {
		Name      *string        `hcl:"name"`
		Listen    *string        `hcl:"listen"`
		Zone      *string        `hcl:"zone"`
		Keys      *string        `hcl:"keys"`
		Members   *int           `hcl:"members"`
		Probe     *string        `hcl:"probe"`
		Peers     []peerBody     `hcl:"peer,block"`
		Agreement *agreementBody `hcl:"agreement,block"`
		Body      hcl.Body       `hcl:",body"`
	}
	agreementBody struct {
		Voters   []string  `hcl:"voters,optional"`
		Folder   *string   `hcl:"folder"`
		Lease    *string   `hcl:"lease"`
		Renew    *string   `hcl:"renew"`
		Election *string   `hcl:"election"`
		Drift    *float64  `hcl:"drift"`
		Limits   *string   `hcl:"limits"`
		Jobs     *jobsBody `hcl:"jobs,block"`
		Works    *jobsBody `hcl:"works,block"` // deprecated name of jobs
		Body     hcl.Body  `hcl:",body"`
	}
	jobsBody struct {
		User             *string  `hcl:"user"`
		StallTimeout     *string  `hcl:"stall"`
		MinTenure        *string  `hcl:"tenure"`
		Backoff          *string  `hcl:"back_off"`
		PollInterval     *string  `hcl:"pace"`
		OperationTimeout *string  `hcl:"deed"`
		Body             hcl.Body `hcl:",body"`
	}
	peerBody struct {
		Name    string   `hcl:"name,label"`
		Address string   `hcl:"address"`
		Body    hcl.Body `hcl:",body"`
	}
	testbedBody struct {
		Trace  *string  `hcl:"trace"`
		Offset *string  `hcl:"clock_offset"`
		Rate   *float64 `hcl:"clock_rate"`
		Body   hcl.Body `hcl:",body"`
	}
	logBody struct {
		Level  *string  `hcl:"level"`
		Format *string  `hcl:"format"`
		Body   hcl.Body `hcl:",body"`
	}
	adminBody struct {
		Listen *string  `hcl:"listen"`
		Body   hcl.Body `hcl:",body"`
	}
	stateBody struct {
		Folder *string  `hcl:"folder"`
		Pace   *string  `hcl:"pace"`
		Body   hcl.Body `hcl:",body"`
	}
	flightBody struct {
		Listen      *string  `hcl:"listen"`
		Connections *int     `hcl:"connections"`
		HostTypes   []string `hcl:"host_types,optional"`
		Body        hcl.Body `hcl:",body"`
	}
	sessionsBody struct {
		Listen            *string    `hcl:"listen"`
		Clients           *int       `hcl:"clients"`
		ServerConnections *int       `hcl:"server_connections"`
		MaxMessage        *string    `hcl:"max_message"`
		Held              *int       `hcl:"held"`
		Pools             []poolBody `hcl:"pool,block"`
		Users             []userBody `hcl:"user,block"`
		Body              hcl.Body   `hcl:",body"`
	}
	poolBody struct {
		Name              string   `hcl:"name,label"`
		Database          *string  `hcl:"database"`
		User              *string  `hcl:"user"`
		Mode              *string  `hcl:"mode"`
		Size              *int     `hcl:"size"`
		Reserve           *int     `hcl:"reserve"`
		Waiting           *int     `hcl:"waiting"`
		Patience          *string  `hcl:"patience"`
		IdleInTransaction *string  `hcl:"idle_in_transaction"`
		ServerIdle        *string  `hcl:"server_idle"`
		ServerLife        *string  `hcl:"server_life"`
		Statements        *int     `hcl:"statements"`
		Pins              *int     `hcl:"pins"`
		Held              *int     `hcl:"held"`
		Hold              *string  `hcl:"hold"`
		ReadOnly          *string  `hcl:"read_only"`
		ReadWrite         *string  `hcl:"read_write"`
		SelectsReadOnly   *bool    `hcl:"selects_read_only"`
		Group             *int     `hcl:"group"`
		Body              hcl.Body `hcl:",body"`
	}
	userBody struct {
		Name  string   `hcl:"name,label"`
		Scram string   `hcl:"scram"`
		Body  hcl.Body `hcl:",body"`
	}
)

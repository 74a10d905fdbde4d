package fencing

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

const (
	defaultConnectTimeout = 2 * time.Second
	closeTimeout          = 200 * time.Millisecond
	applicationName       = "ashstand works" // sent to database hosts and seen there by operators: it never changes
)

// Host is a database host as discovery lists it.
type Host struct {
	Name    string
	Address string
	Group   uint64
	Primary bool // as discovery lists it, which may be out of date
	Zone    string
}

// HostLister returns the hosts of a group that accept new connections: those that discovery lists and that are not
// draining.
type HostLister func(group uint64) []Host

// Client connects to database hosts. Its fields must not be changed once it is in use.
type Client struct {
	Hosts          HostLister
	User           string
	ConnectTimeout time.Duration // limit for opening one connection; 0: 2 s
	// DisabledGuarantee names a guarantee that is switched off, to test that a checker detects the violation: "fence", or
	// "" for none.
	DisabledGuarantee string
}

// Dial connects to one host's database. The caller closes the connection with Close.
func (c *Client) Dial(ctx context.Context, address, database string) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, err
	}
	// ParseConfig also reads the PG* environment variables. The assignments below override what they set.
	config, err := pgconn.ParseConfig("host=" + host + " sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host, config.Port = host, uint16(portNumber)
	config.Database, config.User, config.Password = database, c.User, ""
	config.TLSConfig, config.Fallbacks = nil, nil
	config.ConnectTimeout = c.ConnectTimeout
	if config.ConnectTimeout == 0 {
		config.ConnectTimeout = defaultConnectTimeout
	}
	config.RuntimeParams = map[string]string{"application_name": applicationName}
	return pgconn.ConnectConfig(ctx, config)
}

// Close closes a connection. It waits at most 200 ms for a host that does not respond.
func Close(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = conn.Close(ctx) // the host rolls back a transaction that is still open
}

// ConnectPrimary connects to the host of a group that accepts writes. It tries the listed primary first, then the other
// hosts. The caller closes the connection with Close. The error is a *NoPrimaryError.
func (c *Client) ConnectPrimary(ctx context.Context, group uint64, database string) (*pgconn.PgConn, Host, error) {
	failure := &NoPrimaryError{Group: group}
	for _, host := range primariesFirst(c.Hosts(group)) {
		if ctx.Err() != nil {
			break
		}
		conn, err := c.connectWritable(ctx, host, database)
		if err == nil {
			return conn, host, nil
		}
		failure.Attempts = append(failure.Attempts, host.Name+": "+err.Error())
		failure.Err = err
	}
	if failure.Err == nil {
		failure.Err = ctx.Err()
	}
	if failure.Err == nil {
		failure.Err = ErrNoHosts
	}
	return nil, Host{}, failure
}

// primariesFirst returns the hosts that are listed as primary, then the others.
func primariesFirst(hosts []Host) []Host {
	ordered := make([]Host, 0, len(hosts))
	for _, primary := range []bool{true, false} {
		for _, host := range hosts {
			if host.Primary == primary {
				ordered = append(ordered, host)
			}
		}
	}
	return ordered
}

// connectWritable connects to a host that is not in recovery.
func (c *Client) connectWritable(ctx context.Context, host Host, database string) (*pgconn.PgConn, error) {
	conn, err := c.Dial(ctx, host.Address, database)
	if err != nil {
		return nil, err
	}
	inRecovery, err := QueryValue(ctx, conn, "SELECT pg_is_in_recovery()")
	if err == nil && inRecovery != "f" && inRecovery != "false" {
		err = ErrReplica
	}
	if err != nil {
		Close(conn)
		return nil, err
	}
	return conn, nil
}

package pg

import (
	"time"

	"ashstand/internal/session"
)

// Mode says for how long a session keeps a server connection.
type Mode string

// The modes. Statement mode is served by Front, on another listener.
const (
	TransactionMode Mode = "transaction"
	SessionMode     Mode = "session"
)

// PoolSettings are the configuration of the sessions of a database and user.
type PoolSettings struct {
	Name                    string // shown to operators
	Database, User          string // "*": any
	Mode                    Mode
	Sizes                   session.HostPoolLimits // limits for each host
	ReservedForSticky       int                    // connections of Sizes.MaxConnections reserved for sticky and session-mode sessions
	Defaults                session.RouteDefaults
	WaitTimeoutMillis       float64 // longest wait of a session for a server connection
	IdleInTransactionMillis float64 // longest idle time of a client in an open transaction; 0: no limit
	ServerIdleMillis        float64 // longest idle time of a server connection; 0: no limit
	ServerLifetimeMillis    float64 // longest lifetime of a server connection; 0: no limit
	MaxPreparedStatements   int     // statements prepared on one server connection
	MaxSticky               int     // sticky sessions; 0: a statement that would make a session sticky is rejected
	MaxPausedTransactions   int     // transactions of one database that may wait while it is paused
	MaxPauseMillis          float64 // time after the start of a pause from which on no transaction waits for its end
}

// SessionLimits are the limits of a session front, with its pools and users.
type SessionLimits struct {
	MaxClients           int // client connections
	MaxServerConnections int // server connections that are open or being opened, to all hosts together
	// MaxUnsentBytes bounds the bytes unsent to clients. Beyond it answers are cut, so it is more than MaxBytes.
	MaxUnsentBytes int
	// MaxBytes bounds the memory of what clients sent and waits here, the prepared statements, the names of these, and
	// the settings of sessions, each separately.
	MaxBytes              int
	MaxMessageBytes       int // bytes of one message from a client
	MaxPausedTransactions int // transactions that may wait for paused databases, of all databases together
	RetryAfterMillis      float64
	ConnectTimeout        time.Duration
	Pools                 []PoolSettings // the first that matches is used
	Users                 map[string]Verifier
}

// poolFor returns the first pool that matches a database and user; nil: none does.
func (l *SessionLimits) poolFor(database, user string) *PoolSettings {
	for i := range l.Pools {
		p := &l.Pools[i]
		if (p.Database == "*" || p.Database == database) && (p.User == "*" || p.User == user) {
			return p
		}
	}
	return nil
}

// Bounds of the session front that need no setting.
const (
	maxBufferedMessageBytes = 64 << 10             // longer messages from a server are streamed
	highWaterBytes          = 256 << 10            // bytes unsent to a peer above which reads from the other side are paused
	lowWaterBytes           = 64 << 10             // bytes unsent to a peer below which paused reads are resumed
	resumeInterval          = 5 * time.Millisecond // between two checks whether paused connections may be resumed
	maxSettingsBytes        = 64 << 10             // of one session's settings
	maxSavepoints           = 4096                 // of one transaction
	maxStartupParameters    = 128                  // of one startup message
	maxReportedParameters   = 256                  // a host that reports parameters without end would exhaust the memory
	replyMarginMillis       = 4.0                  // least time that a rejection needs to reach its client before the deadline
)

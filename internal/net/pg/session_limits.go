package pg

import (
	"time"

	"ashstand/internal/session"
)

// Mode is for how long a session keeps a server connection.
type Mode string

// The modes. Statement mode is that of Front, which is another listener.
const (
	Transaction Mode = "transaction"
	Session     Mode = "session"
)

// PoolSettings are what the operator's file says of the sessions of a database and user.
type PoolSettings struct {
	Name                    string // for operators
	Database, User          string // "*": any
	Mode                    Mode
	Sizes                   session.Sizes // for each host
	ReservedForSticky       int           // of Sizes.Most, kept for sessions that are pinned or in session mode
	Defaults                session.Defaults
	WaitTimeoutMillis       float64 // milliseconds that a session may wait for a server connection
	IdleInTransactionMillis float64 // that a client may leave a transaction open without a word; 0: no bound
	ServerIdleMillis        float64 // that a server connection may lie unused
	ServerLifetimeMillis    float64 // and how old it may get; 0: no bound
	MaxPreparedStatements   int     // prepared on one server connection at the most
	MaxSticky               int     // sessions that may be pinned; 0: a statement that pins is refused
	MaxPausedTransactions   int     // transactions of one database that may wait while it is paused
	MaxPauseMillis          float64 // milliseconds after a pause began from which on none waits for it
}

// SessionLimits bound the front and list its pools.
type SessionLimits struct {
	Clients               int
	Servers               int // open or being opened, to all hosts together
	Bytes                 int // that clients sent and that wait here; as much again for prepared statements
	Message               int // one message of a client
	MaxPausedTransactions int // transactions of paused databases that may wait, of all
	RetryAfterMillis      float64
	ConnectTimeout        time.Duration
	Pools                 []PoolSettings // the first that fits counts
	Users                 map[string]Verifier
}

// poolFor is the first that fits.
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
	maxBufferedMessageBytes = 64 << 10  // a server's message is gathered up to this, and streamed beyond
	highWaterBytes          = 256 << 10 // unsent to a peer, from which on its source is paused
	lowWaterBytes           = 64 << 10  // unsent to a peer, below which its source goes on
	resumeInterval          = 5 * time.Millisecond
	maxReportedParameters   = 256 // that a host may report: one that goes on without end would fill the memory
	replyMarginMillis       = 4.0 // what a rejection needs at the least to reach its client in time
)

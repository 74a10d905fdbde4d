package migration

import "context"

// Databases are the tenant's databases in both groups, as a lease holder reaches them.
//
// Each method that executes an operation may be called again after it was executed in part or completely, by whoever
// holds a higher token, with the same outcome. What acts on a group acts on its present primary.
// OperationData.TimeoutMillis bounds how long a host may take, as lock_timeout or statement_timeout.
//
// The fence is the job's row in ashstand.fence (see package fencing), in the tenant's database. While a tenant is fenced,
// triggers that read it FOR SHARE reject writes with SQLSTATE 55000, tenant is closed.
type Databases interface {
	// Check looks for all that stands in the way, at both groups, and changes nothing.
	Check(ctx context.Context, request Request) (CheckResults, error)
	// Publish makes the fence with its triggers in both groups, open at From and closed at To, and a publication without
	// tables at From. Where the fence of another job is there and not released, it returns a *TenantLockedError; a
	// released one is taken over.
	Publish(ctx context.Context, request Request) error
	// Subscribe makes the subscription at To, with a slot that outlives a failover where the release has these, and
	// origin = none. With Data.Recopy, what is there is dropped and To's tables are emptied first.
	Subscribe(ctx context.Context, request Request) (Timelines, error)
	// Copy hands over the tables that follow State.Copy.LastTable in the order of names, one at least, up to about
	// Data.Rows rows, and has the subscription begin their initial copy.
	Copy(ctx context.Context, request Request) (CopyResult, error)
	// Track begins to record which ranges of keys change, at both groups, and makes the slot at the target from which the
	// source can be replicated back after a switch. What was recorded before is forgotten, and the target is fenced.
	Track(ctx context.Context, request Request, source, target Group) (Timelines, error)
	// Compare compares some of the ranges that follow State.Comparison.LastRange, each at a position of the source that
	// the target has reached.
	Compare(ctx context.Context, request Request, source, target Group) (ComparisonResult, error)
	// Fence fences the group that serves the tenant, waiting Data.TimeoutMillis for running writers, and returns that
	// primary's timeline and the position past the last write; or, with nil, the sessions that held it up.
	Fence(ctx context.Context, request Request, group Group) (*FencePoint, []BlockingSession, error)
	// FenceStatus reports whether a group is fenced at its present primary, under this token, and that primary's timeline.
	FenceStatus(ctx context.Context, request Request, group Group) (fenced bool, timeline int, err error)
	// Verify sets the target's sequences to the source's values and compares all that changed since it was found equal,
	// counts, sequences and a sample of queries. Nobody writes at either group; the source is fenced. All ranges count as
	// changed where the record of changes is lost or the timelines are not State.Timelines. It returns once what it set is
	// on those of the target's standbys that may take over, or with TimedOut.
	Verify(ctx context.Context, request Request, source, target Group) (VerificationResult, error)
	// Unfence lets a group accept writes. A subscription by which the group followed the other one ends first: what is
	// changed by hand where the tenant is no longer served must not be replicated.
	Unfence(ctx context.Context, request Request, group Group) error
	// ReplicateBack ends To's subscription and gives From one to To, from the slot that Track made, with origin = none and
	// From fenced; no change counts as recorded until Track. With Data.Recopy, or if that slot is gone or of another
	// timeline, From's tables are emptied and copied anew.
	ReplicateBack(ctx context.Context, request Request) (Timelines, error)
	// CleanUp removes what the migration built in both groups and empties To's tables. The rows of the fences stay, and
	// From's is open, so that late requests with an old token or number are rejected; the tenant's next migration takes
	// them over.
	CleanUp(ctx context.Context, request Request) error
	// Finish removes what the migration built in both groups but for the tables, with From fenced for good; with
	// OldCopyDrop it empties From's tables, too.
	Finish(ctx context.Context, request Request) error
	// Recover finds out whether an operation was executed, and with what result. It raises the token at each host that the
	// operation acts on, and the number past the operation's, so that neither an earlier lease holder's requests count
	// there any more nor those of this operation that are still on their way. What is left of one that was not executed is
	// removed.
	Recover(ctx context.Context, request Request) (Recovery, error)
	// ReplicationStatus observes both groups and changes nothing.
	ReplicationStatus(ctx context.Context, request Request, source, target Group) (ReplicationStatus, error)
}

// CopyResult is what a copy handed over.
type CopyResult struct {
	LastTable string  `json:"after"`
	Rows      float64 `json:"rows"`
	Complete  bool    `json:"all"` // no table follows
}

// ComparisonResult is the outcome of a comparison before the pause.
type ComparisonResult struct {
	LastRange     string       `json:"after"`
	Complete      bool         `json:"all"` // no range follows
	EqualRanges   int          `json:"equal"`
	ChangedRanges int          `json:"hot"` // while they were read
	Differences   []Difference `json:"differ,omitempty"`
}

// VerificationResult is the outcome of the comparison in the pause.
type VerificationResult struct {
	RangesRead      int          `json:"ranges"`
	QueriesReplayed int          `json:"reads"`
	Differences     []Difference `json:"differ,omitempty"`
	// Timelines are those throughout; one that changed meanwhile is 0.
	Timelines Timelines `json:"lines"`
	// TimedOut is set if it was not complete within its time.
	TimedOut bool `json:"late"`
}

// Recovery is what became of an operation, with the result that it has.
type Recovery struct {
	Done      bool
	Timelines Timelines
	Copied    CopyResult
	Compared  ComparisonResult
	Fence     *FencePoint
}

// ReplicationStatus is how far the target follows the source.
type ReplicationStatus struct {
	// Reachable is set if both groups answered.
	Reachable bool
	Timelines Timelines
	// SourceLSN is past the source's last write.
	SourceLSN LSN
	// AppliedLSN is what the target has applied, and has on those of its standbys that may take over.
	AppliedLSN LSN
	// LagMillis is how long the target needs for what is missing, by its recent rate.
	LagMillis float64
	// TablesCopied is set if the initial copy of every table that was handed over is complete.
	TablesCopied bool
	// SlotLost is set if the target has no subscription, or the source no slot for it: a new copy is required.
	SlotLost bool
	// TargetAhead is set if the target is known to hold what the source has lost by a failover: a new copy is required.
	TargetAhead bool
	// TrackingLost is set if the record of changed ranges, or the slot for the way back, is lost.
	TrackingLost bool
	// VerifyMillis is how long reading the changed ranges again takes, by the recent rate.
	VerifyMillis float64
	// UnfitReason is why the target should not serve now, such as cold, draining or slow; empty: it may.
	UnfitReason string
	// TargetUnfenced is set if the target is not fenced, after a failover there.
	TargetUnfenced bool
}

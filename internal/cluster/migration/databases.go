package migration

import "context"

// Databases gives a lease holder access to the tenant's databases in both groups.
//
// Each method that executes an operation is idempotent: a lease holder with a higher token may call it again after it was
// executed in part or completely, and the outcome is the same. A method that acts on a group acts on its current primary.
// OperationData.TimeoutMillis bounds how long a host may take, as lock_timeout or statement_timeout.
//
// The fence is the job's row in ashstand.fence (see package fencing), in the tenant's database. While a tenant is fenced,
// triggers that read this row FOR SHARE reject writes with SQLSTATE 55000 and the message "tenant is closed".
type Databases interface {
	// Check returns everything at both groups that prevents or affects the migration. It changes nothing.
	Check(ctx context.Context, request Request) (CheckResults, error)
	// Publish creates the fence with its triggers in both groups, open at From and closed at To, and a publication without
	// tables at From. If the fence of another job exists and is not released, it returns a *TenantLockedError. It takes over
	// a released fence.
	Publish(ctx context.Context, request Request) error
	// Subscribe creates the subscription at To, with origin = none and, where the PostgreSQL release supports it, with a slot
	// that survives a failover. With Data.Recopy it first drops the existing subscription and empties To's tables.
	Subscribe(ctx context.Context, request Request) (Timelines, error)
	// Copy adds the tables that follow State.Copy.LastTable in the order of names, at least one and up to about Data.Rows
	// rows in total, and makes the subscription start their initial copy.
	Copy(ctx context.Context, request Request) (CopyResult, error)
	// Track starts to record which ranges of keys change at both groups, and creates the slot at the target from which the
	// source can be replicated back after a switch. It discards earlier records of changes and fences the target.
	Track(ctx context.Context, request Request, source, target Group) (Timelines, error)
	// Compare compares some of the ranges that follow State.Comparison.LastRange, each at a position of the source that
	// the target has applied.
	Compare(ctx context.Context, request Request, source, target Group) (ComparisonResult, error)
	// Fence fences the group that serves the tenant. It waits up to Data.TimeoutMillis for running writers to end. On success
	// it returns the primary's timeline and the log position past the last write; otherwise it returns nil and the sessions
	// that blocked the fence.
	Fence(ctx context.Context, request Request, group Group) (*FencePoint, []BlockingSession, error)
	// FenceStatus reports whether a group is fenced at its current primary under this token, and that primary's timeline.
	FenceStatus(ctx context.Context, request Request, group Group) (fenced bool, timeline int, err error)
	// Verify sets the target's sequences to the source's values. It then compares all ranges that changed since they were
	// found equal, the row counts, the sequences and the results of sampled queries. The source is fenced, and nobody writes
	// at either group. All ranges count as changed if the record of changes is lost or the timelines are not
	// State.Timelines. Verify returns once the sequence values have reached those of the target's standbys that may be
	// promoted, or with TimedOut.
	Verify(ctx context.Context, request Request, source, target Group) (VerificationResult, error)
	// Unfence lets a group accept writes. It first ends the subscription by which the group followed the other one, because
	// manual changes at the group that no longer serves the tenant must not be replicated.
	Unfence(ctx context.Context, request Request, group Group) error
	// ReplicateBack ends To's subscription and creates one at From that follows To, from the slot that Track created, with
	// origin = none and From fenced. Changes do not count as recorded until the next Track. With Data.Recopy, or if that slot
	// is missing or belongs to another timeline, it empties From's tables and copies them again.
	ReplicateBack(ctx context.Context, request Request) (Timelines, error)
	// CleanUp removes what the migration created in both groups and empties To's tables. The fence rows remain, with From's
	// open, so that late requests with an old token or number are rejected. The tenant's next migration takes the rows over.
	CleanUp(ctx context.Context, request Request) error
	// Finish removes what the migration created in both groups except the tables, and leaves From fenced permanently. With
	// OldCopyDrop it also empties From's tables.
	Finish(ctx context.Context, request Request) error
	// Recover determines whether an operation was executed, and with what result. At each host that the operation acts on, it
	// raises the token, and raises the number past the operation's. The host then rejects requests of earlier lease holders
	// and requests of this operation that are still in transit. Recover removes the remains of an operation that was not
	// completed.
	Recover(ctx context.Context, request Request) (Recovery, error)
	// ReplicationStatus observes both groups and changes nothing.
	ReplicationStatus(ctx context.Context, request Request, source, target Group) (ReplicationStatus, error)
}

// CopyResult describes the tables that one copy operation added.
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

// VerificationResult is the outcome of the comparison during the pause.
type VerificationResult struct {
	RangesRead      int          `json:"ranges"`
	QueriesReplayed int          `json:"reads"`
	Differences     []Difference `json:"differ,omitempty"`
	// Timelines are the groups' timelines during the whole verification; one that changed in the meantime is 0.
	Timelines Timelines `json:"lines"`
	// TimedOut is set if the verification did not complete within its timeout.
	TimedOut bool `json:"late"`
}

// Recovery reports whether an operation was executed, and its result if it was.
type Recovery struct {
	Done      bool
	Timelines Timelines
	Copied    CopyResult
	Compared  ComparisonResult
	Fence     *FencePoint
}

// ReplicationStatus describes how far the target has followed the source, and what prevents it from following.
type ReplicationStatus struct {
	// Reachable is set if both groups answered.
	Reachable bool
	Timelines Timelines
	// SourceLSN is the log position past the source's last write.
	SourceLSN LSN
	// AppliedLSN is the position up to which the target and those of its standbys that may be promoted have applied writes.
	AppliedLSN LSN
	// LagMillis is how long the target needs to apply the missing writes at its recent rate.
	LagMillis float64
	// TablesCopied is set if the initial copy of every table that was added so far is complete.
	TablesCopied bool
	// SlotLost is set if the target has no subscription or the source has no slot for it; a new copy is required.
	SlotLost bool
	// TargetAhead is set if the target is known to hold writes that the source lost in a failover; a new copy is required.
	TargetAhead bool
	// TrackingLost is set if the record of changed ranges, or the slot for the way back, is lost.
	TrackingLost bool
	// VerifyMillis is how long it takes to read the changed ranges again at the recent rate.
	VerifyMillis float64
	// UnfitReason is why the target should not serve the tenant now, such as cold, draining or slow; empty if it may.
	UnfitReason string
	// TargetUnfenced is set if the target is not fenced because a failover happened there.
	TargetUnfenced bool
}

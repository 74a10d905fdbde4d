package sql

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

const (
	// standbyWait is how long ReplicationStatus waits for standbys: a few of their round trips.
	standbyWait         = 50 * time.Millisecond
	standbyPollInterval = 2 * time.Millisecond
	// tableReady is pg_subscription_rel.srsubstate of a table whose initial copy is complete.
	tableReady = "r"
)

// ReplicationStatus says how far the target replicates the source.
func (d *Databases) ReplicationStatus(ctx context.Context, request migration.Request, source, target migration.Group) (migration.ReplicationStatus, error) {
	o := d.operation(request)
	readAt := time.Now()
	// The slot is read before the target's standbys: what it says is confirmed was sent to them before.
	atSource, err := o.readSource(ctx, source)
	if err != nil {
		return migration.ReplicationStatus{}, err
	}
	atTarget, err := o.readTarget(ctx, target, atSource)
	if err != nil {
		return migration.ReplicationStatus{}, err
	}
	status := atTarget.status(atSource, request.State.Phase)
	if atTarget.remote > status.SourceLSN { // it may have been written since the source was read
		if status.TargetAhead, err = o.isAhead(ctx, source, atTarget.remote); err != nil {
			return status, err
		}
	}
	d.throughputs.update(request.Job, func(t *throughput) {
		t.observeApplied(status.Timelines, atTarget.durable, readAt)
		status.AppliedLSN = t.applied
		status.LagMillis = t.lagMillis(status.SourceLSN)
		status.VerifyMillis = t.verifyMillis(atSource.touched + atTarget.touched)
	})
	return status, nil
}

// sourceStatus is what ReplicationStatus reads at the source.
type sourceStatus struct {
	timeline        int
	position        migration.LSN
	confirmed       migration.LSN // that the target has applied and flushed
	slotExists      bool
	publishedTables string // their count
	trackedBy       string
	touched         int
}

func (o *operation) readSource(ctx context.Context, group migration.Group) (*sourceStatus, error) {
	s := &sourceStatus{}
	return s, o.connect(ctx, group, "read replication status", func(ctx context.Context, conn *pgconn.PgConn) error {
		stored, err := readMetadata(ctx, conn)
		if err != nil {
			return err
		}
		s.trackedBy = stored[itemTrackedBy]
		if s.timeline, err = readTimeline(ctx, conn); err != nil {
			return err
		}
		if s.confirmed, s.slotExists, err = readConfirmedPosition(ctx, conn); err != nil {
			return err
		}
		if s.position, err = readPosition(ctx, conn); err != nil {
			return err
		}
		if s.publishedTables, err = fencing.QueryValue(ctx, conn, countPublishedTables); err != nil {
			return err
		}
		s.touched, err = queryCount(ctx, conn, countTouched)
		return err
	})
}

// targetStatus is what ReplicationStatus reads at the target.
type targetStatus struct {
	timeline          int
	trackedBy         string
	reverseSlotUsable bool
	subscription      subscriptionStatus
	remote            migration.LSN // position of the source that is applied, durable or not
	durable           migration.LSN // position of the source that is applied at the standbys as well; 0: not known
	touched           int
	gateClosed        bool
}

// subscriptionStatus is the migration's subscription; the name is "" where there is none.
type subscriptionStatus struct {
	name, slot  string
	tables      int
	tablesReady int
}

func (s *subscriptionStatus) exists() bool { return s.name != "" }

func (o *operation) readTarget(ctx context.Context, group migration.Group, source *sourceStatus) (*targetStatus, error) {
	t := &targetStatus{}
	return t, o.connect(ctx, group, "read replication status", func(ctx context.Context, conn *pgconn.PgConn) error {
		stored, err := readMetadata(ctx, conn)
		if err != nil {
			return err
		}
		t.trackedBy = stored[itemTrackedBy]
		if t.timeline, err = readTimeline(ctx, conn); err != nil {
			return err
		}
		found, err := readSlots(ctx, conn)
		if err != nil {
			return err
		}
		t.reverseSlotUsable = found.has(stored[itemReverseSlot]) && stored[itemReverseTimeline] == fmt.Sprint(t.timeline)
		if err = t.readSubscription(ctx, conn); err != nil {
			return err
		}
		if t.touched, err = queryCount(ctx, conn, countTouched); err != nil {
			return err
		}
		if t.gateClosed, err = readGate(ctx, conn); err != nil {
			return err
		}
		replicated, err := standbysCaughtUp(ctx, conn)
		if replicated {
			t.durable = source.confirmed
		}
		return err
	})
}

func (t *targetStatus) readSubscription(ctx context.Context, conn *pgconn.PgConn) (err error) {
	s := &t.subscription
	if s.name, s.slot, err = activeSubscription(ctx, conn); err != nil || !s.exists() {
		return err
	}
	rows, _, err := fencing.Exec(ctx, conn, selectTableStates, s.name)
	if err != nil {
		return err
	}
	for _, row := range rows {
		state, countText := row[0], row[1]
		count, _ := strconv.Atoi(countText)
		s.tables += count
		if state == tableReady {
			s.tablesReady += count
		}
	}
	remote, err := fencing.QueryValue(ctx, conn, selectRemotePosition, s.name)
	t.remote = parseLSN(remote)
	return err
}

// status joins what was read in both groups.
func (t *targetStatus) status(source *sourceStatus, phase migration.Phase) migration.ReplicationStatus {
	s := &t.subscription
	status := migration.ReplicationStatus{
		Reachable:      true,
		Timelines:      migration.Timelines{Source: source.timeline, Target: t.timeline},
		SourceLSN:      source.position,
		SlotLost:       !s.exists() || !source.slotExists || s.slot == "",
		TablesCopied:   s.exists() && s.tables == s.tablesReady,
		TargetUnfenced: !t.gateClosed,
		TrackingLost:   source.trackedBy == "" || source.trackedBy != t.trackedBy || !t.reverseSlotUsable,
	}
	// Once all tables were published, a missing one shows that a failover has lost its publication.
	if s.exists() && phase != migration.PhaseCopying && strconv.Itoa(s.tables) != source.publishedTables {
		status.SlotLost = true
	}
	return status
}

// isAhead says whether a group's log ends before a position.
func (o *operation) isAhead(ctx context.Context, group migration.Group, position migration.LSN) (ahead bool, err error) {
	err = o.connect(ctx, group, "read position", func(ctx context.Context, conn *pgconn.PgConn) error {
		current, err := readPosition(ctx, conn)
		ahead = position > current
		return err
	})
	return ahead, err
}

// queryCount returns the number that a statement returns.
func queryCount(ctx context.Context, conn *pgconn.PgConn, statement string) (int, error) {
	text, err := fencing.QueryValue(ctx, conn, statement)
	n, _ := strconv.Atoi(text)
	return n, err
}

// standbysCaughtUp says whether all standbys that stream from a primary have flushed what it holds now.
func standbysCaughtUp(ctx context.Context, conn *pgconn.PgConn) (bool, error) {
	position, err := readPosition(ctx, conn)
	if err != nil {
		return false, err
	}
	deadline := time.Now().Add(standbyWait)
	for {
		rows, _, err := fencing.Exec(ctx, conn, selectStandbys)
		if err != nil {
			return false, err
		}
		caughtUp := true
		for _, row := range rows {
			caughtUp = caughtUp && parseLSN(row[1]) >= position
		}
		if caughtUp || time.Now().After(deadline) {
			return caughtUp, nil
		}
		if err = sleep(ctx, standbyPollInterval); err != nil {
			return false, err
		}
	}
}

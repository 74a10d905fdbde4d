package sql

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/migration"
)

// Recover finds out whether an operation in doubt was done. All groups that the operation acts on hold this lease holder's
// token then, and where it was not done no later attempt of it is accepted any more.
func (d *Databases) Recover(ctx context.Context, request migration.Request) (migration.Recovery, error) {
	r := d.recovery(request)
	if err := r.read(ctx); err != nil {
		var locked *migration.TenantLockedError
		if request.Operation == migration.OperationPublish && errors.As(err, &locked) {
			return migration.Recovery{}, nil // another migration has the tenant: it was not done, nor will it be
		}
		return migration.Recovery{}, err
	}
	result, err := r.result(ctx)
	if err != nil || result.Done {
		return result, err
	}
	if err = r.settle(ctx); err != nil {
		return migration.Recovery{}, err
	}
	if request.Operation == migration.OperationTrack {
		err = r.dropUnusedSlot(ctx)
	}
	return migration.Recovery{}, err
}

// recovery finds out about one operation.
type recovery struct {
	*operation
	// anonymous has no operation id: the operation may have been settled by a recovery whose result was lost.
	anonymous      *operation
	accepted       ownership
	source, target migration.Group
	groups         []migration.Group // that the operation acts on
	stored         map[migration.Group]metadata
	timelines      map[migration.Group]int
}

func (d *Databases) recovery(request migration.Request) *recovery {
	r := &recovery{
		operation: d.operation(request),
		accepted:  allowReleased,
		stored:    map[migration.Group]metadata{},
		timelines: map[migration.Group]int{},
	}
	request.OperationID = ""
	r.anonymous = d.operation(request)
	r.source, r.target = r.currentGroups()
	r.groups = []migration.Group{r.source, r.target}
	switch request.Operation {
	case migration.OperationFence:
		// The target may be unreachable: the tenant has to open again all the same.
		r.groups = []migration.Group{r.source}
	case migration.OperationPublish, migration.OperationCleanUp:
		r.accepted = allowAcquire
	}
	return r
}

// read reads the metadata of the groups, which raises their tokens.
func (r *recovery) read(ctx context.Context) error {
	for _, group := range r.groups {
		if err := r.ensureBase(ctx, group); err != nil {
			return err
		}
		if err := r.anonymous.transact(ctx, group, "recover", r.accepted, func(ctx context.Context, conn *pgconn.PgConn, stored metadata) (err error) {
			r.stored[group] = stored
			r.timelines[group], err = readTimeline(ctx, conn)
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// recordedEverywhere says whether all groups have an item that names this operation.
func (r *recovery) recordedEverywhere(item string) bool {
	for _, stored := range r.stored {
		if stored[item] != r.request.OperationID {
			return false
		}
	}
	return true
}

// result is what the metadata say of the operation.
func (r *recovery) result(ctx context.Context) (migration.Recovery, error) {
	stored := r.stored[r.source]
	result := migration.Recovery{Timelines: migration.Timelines{
		Source: int(stored.number(itemSourceTimeline)),
		Target: int(stored.number(itemTargetTimeline)),
	}}
	switch r.request.Operation {
	case migration.OperationPublish:
		result.Done = r.recordedEverywhere(itemPublishedBy)
	case migration.OperationTrack:
		result.Done = r.recordedEverywhere(itemTrackedBy)
	case migration.OperationCleanUp, migration.OperationFinish:
		result.Done = r.recordedEverywhere(itemReleasedBy)
	case migration.OperationFence:
		// A primary on another timeline may lack the closed gate.
		if fence := parseFence(stored, r.request.OperationID); fence != nil && fence.Timeline == r.timelines[r.source] {
			result.Done, result.Fence = true, fence
		}
	case migration.OperationSubscribe:
		return r.subscriptionResult(ctx, result, kindForward)
	case migration.OperationReplicateBack:
		return r.subscriptionResult(ctx, result, kindReverse)
	}
	return result, nil
}

// subscriptionResult says whether the operation's subscription is in place. One that exists stays, even if that was not
// recorded: it may have applied commits that its slot does not know of yet, which another one would receive again.
func (r *recovery) subscriptionResult(ctx context.Context, recorded migration.Recovery, kind objectKind) (migration.Recovery, error) {
	if recorded.Done = r.recordedEverywhere(itemReplicatingBy); recorded.Done {
		return recorded, nil
	}
	name := objectName(r.request, kind)
	var exists bool
	if err := r.connect(ctx, r.target, "look for subscription "+name, func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		exists, err = isSubscribed(ctx, conn, name)
		return err
	}); err != nil {
		return migration.Recovery{}, err
	}
	stored := r.stored[r.target]
	if !exists || stored[itemSubscription] != name || stored.number(itemOperation) > operationNumber(r.request) {
		return migration.Recovery{}, nil
	}
	found := migration.Recovery{Done: true, Timelines: migration.Timelines{
		Source: int(stored.number(itemSubscriptionSrc)),
		Target: int(stored.number(itemSubscriptionTgt)),
	}}
	return found, r.recordDone(ctx, itemReplicatingBy, found.Timelines)
}

// settle raises the lowest accepted number past the operation's.
func (r *recovery) settle(ctx context.Context) error {
	next := operationNumber(r.request) + 1
	for _, group := range r.groups {
		if err := r.anonymous.transact(ctx, group, "settle", r.accepted, func(ctx context.Context, conn *pgconn.PgConn, stored metadata) error {
			if stored[itemJob] != r.request.Job || next <= stored.number(itemOperation) {
				return nil
			}
			return writeMetadata(ctx, conn, metadata{itemOperation: fmt.Sprint(next)})
		}); err != nil {
			return err
		}
	}
	return nil
}

// dropUnusedSlot drops the slot for the way back that the operation may have left.
func (r *recovery) dropUnusedSlot(ctx context.Context) error {
	name := objectName(r.request, kindReverseSlot)
	return r.connect(ctx, r.target, "drop the reverse slot", func(ctx context.Context, conn *pgconn.PgConn) error {
		found, err := readSlots(ctx, conn)
		if err != nil || !found.has(name) {
			return err
		}
		return execAll(ctx, conn, dropSlot(name))
	})
}

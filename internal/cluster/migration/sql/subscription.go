package sql

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// failoverSlotsVersion is the first server_version_num whose subscriptions have slots that outlive a failover. Numbers are
// compared as text: they have six digits since release 10.
const failoverSlotsVersion = "170000"

// subscription is what a migration subscribes a group to.
type subscription struct {
	subscriber, publisher migration.Group
	name                  string // of the subscription and of its publication
	slot                  string // name, or a slot that exists already
	timelines             migration.Timelines
	truncate              bool // the subscriber's tables are emptied first
	copyData              bool
	publishAll            bool // the publication has all tables from the start
}

// replicate subscribes a group anew, and drops what it was subscribed to before.
func (o *operation) replicate(ctx context.Context, s *subscription) error {
	retained, err := o.ensurePublication(ctx, s)
	if err != nil {
		return err
	}
	var exists bool
	if err = o.connect(ctx, s.subscriber, "drop subscriptions", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		if err = o.dropSubscriptions(ctx, conn, s.name); err == nil {
			exists, err = isSubscribed(ctx, conn, s.name)
		}
		return err
	}); err != nil {
		return err
	}
	if exists {
		retained = append(retained, s.name)
	}
	if err = o.dropSlots(ctx, s.publisher, retained...); err != nil || exists {
		return err
	}
	if err = o.prepareSubscriber(ctx, s); err != nil {
		return err
	}
	return o.createSubscription(ctx, s)
}

// ensurePublication makes the publication and returns the slot at the publisher that must not be dropped, if there is one.
func (o *operation) ensurePublication(ctx context.Context, s *subscription) (retained []string, err error) {
	err = o.transact(ctx, s.publisher, "create publication "+s.name, requireOwned, func(ctx context.Context, conn *pgconn.PgConn, stored metadata) error {
		tables, err := readTables(ctx, conn)
		if err != nil {
			return err
		}
		if stored[itemReverseSlot] != "" {
			retained = []string{stored[itemReverseSlot]}
		}
		tables = slices.DeleteFunc(tables, func(t *table) bool { return !s.publishAll || !t.isPublishable() })
		return replacePublication(ctx, conn, s.name, tables)
	})
	return retained, err
}

// prepareSubscriber notes the subscription, and at which timelines it is made, before it exists.
func (o *operation) prepareSubscriber(ctx context.Context, s *subscription) error {
	return o.transact(ctx, s.subscriber, "create subscription "+s.name, requireOwned, func(ctx context.Context, conn *pgconn.PgConn, _ metadata) error {
		if s.truncate {
			if err := truncateAll(ctx, conn); err != nil {
				return err
			}
		}
		return writeMetadata(ctx, conn, metadata{
			itemSubscription:    s.name,
			itemSubscriptionSrc: fmt.Sprint(s.timelines.Source),
			itemSubscriptionTgt: fmt.Sprint(s.timelines.Target),
		})
	})
}

func (o *operation) createSubscription(ctx context.Context, s *subscription) error {
	return o.connect(ctx, s.subscriber, "create subscription "+s.name, func(ctx context.Context, conn *pgconn.PgConn) error {
		version, err := fencing.QueryValue(ctx, conn, showServerVersion)
		if err != nil {
			return err
		}
		newSlot := s.slot == s.name
		return execAll(ctx, conn, createSubscription(s.name, o.connectionString(s.publisher), subscriptionOptions{
			slot:       s.slot,
			createSlot: newSlot,
			copyData:   s.copyData,
			failover:   newSlot && version >= failoverSlotsVersion,
		}))
	})
}

// connectionString is how another group's subscription reaches this one: any of its hosts that accepts writes.
func (o *operation) connectionString(group migration.Group) string {
	client := o.databases.Client
	var hosts, ports []string
	for _, listed := range client.Hosts(group) {
		if host, port, err := net.SplitHostPort(listed.Address); err == nil {
			hosts, ports = append(hosts, host), append(ports, port)
		}
	}
	return fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable target_session_attrs=read-write",
		strings.Join(hosts, ","), strings.Join(ports, ","), client.User, o.request.Plan.Tenant)
}

// dropSubscriptionsAt drops all subscriptions of migrations at a group.
func (o *operation) dropSubscriptionsAt(ctx context.Context, group migration.Group) error {
	return o.connect(ctx, group, "drop subscriptions", func(ctx context.Context, conn *pgconn.PgConn) error {
		return o.dropSubscriptions(ctx, conn, "")
	})
}

// dropSubscriptions drops those of migrations but one. Their slots stay with the publisher.
func (o *operation) dropSubscriptions(ctx context.Context, conn *pgconn.PgConn, retained string) error {
	rows, _, err := fencing.Exec(ctx, conn, selectSubscriptions)
	if err != nil {
		return err
	}
	for _, row := range rows {
		name := row[0]
		if name == retained || !isRemovable(name, o.request) {
			continue
		}
		if err = execAll(ctx, conn, dropSubscription(name)...); err != nil && sqlState(err) != codeUndefinedObject {
			return err
		}
	}
	return nil
}

// isSubscribed says whether a group has an enabled subscription of a name.
func isSubscribed(ctx context.Context, conn *pgconn.PgConn, name string) (bool, error) {
	count, err := fencing.QueryValue(ctx, conn, countEnabledSubscription, name)
	return count == "1", err
}

// activeSubscription returns the migration's subscription at a group and its slot, "" where there is none.
func activeSubscription(ctx context.Context, conn *pgconn.PgConn) (name, slot string, err error) {
	rows, _, err := fencing.Exec(ctx, conn, selectEnabled)
	stored, metadataErr := readMetadata(ctx, conn)
	for _, row := range rows {
		if row[0] == stored[itemSubscription] && isMigrationObject(row[0]) {
			name, slot = row[0], row[1]
		}
	}
	return name, slot, errors.Join(err, metadataErr)
}

// truncateAll empties the tenant's tables. Neither the gate's triggers nor those that track changes run.
func truncateAll(ctx context.Context, conn *pgconn.PgConn) error {
	tables, err := readTables(ctx, conn)
	if err != nil || len(tables) == 0 {
		return err
	}
	return execAll(ctx, conn, truncateTables(tables)...)
}

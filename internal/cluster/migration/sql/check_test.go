package sql

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/migration"
	"ashstand/testbed/host"
)

func TestCheckReportsObstacles(t *testing.T) {
	r := newRig(t, 2, plan())
	c := r.dial(1)
	a := r.request()
	clean, err := r.databases.Check(r.ctx, a)
	require.NoError(t, err)
	require.Empty(t, clean)
	db := r.db(1)
	db.Table("bare", host.Traits{NoKey: true})
	db.Table("quiet", host.Traits{Unlogged: true})
	db.AddExtension("postgis")
	db.AddLargeObject()
	db.AddPrepared("p1")
	r.exec(c, "CREATE SEQUENCE numbers")
	r.exec(r.dial(2), "CREATE SEQUENCE numbers")
	r.exec(c, "CREATE TABLE wider (id bigint PRIMARY KEY, more text)")
	r.exec(r.dial(2), "CREATE TABLE wider (id bigint PRIMARY KEY)")
	r.exec(r.dial(2), "INSERT INTO entries VALUES ('there', '')")
	r.databases.FreeBytes = func(migration.Group) (float64, bool) { return 1, true }
	found, err := r.databases.Check(r.ctx, a)
	require.NoError(t, err)
	var names []string
	for _, f := range found {
		names = append(names, string(f.Reason)+" "+f.Name)
	}
	require.Equal(t, []string{
		"extension_missing postgis", "large_objects ", "no_replica_identity public.bare", "no_room shop", "prepared_transaction p1",
		"schema_differs public.bare", "schema_differs public.wider", "sequence public.numbers", "target_not_empty public.entries",
		"unlogged_table public.quiet",
	}, names)
}

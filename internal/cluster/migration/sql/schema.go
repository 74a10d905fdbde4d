package sql

import (
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// baseTableCount is how many tables countBaseTables counts where all are there.
const baseTableCount = "4"

// createBase makes what stands in both groups from a tenant's first migration on. Whoever comes first makes it.
var createBase = []string{
	"CREATE SCHEMA IF NOT EXISTS ashstand",
	fencing.CreateFenceTable,
	"CREATE TABLE IF NOT EXISTS ashstand.gate (id integer PRIMARY KEY, closed boolean NOT NULL)",
	"CREATE TABLE IF NOT EXISTS ashstand.book (item text PRIMARY KEY, value text NOT NULL)",
	"CREATE TABLE IF NOT EXISTS ashstand.touched (tab text NOT NULL, key text NOT NULL, PRIMARY KEY (tab, key))",
	// The gate's row is there before any trigger, and open: no write is rejected meanwhile.
	"INSERT INTO ashstand.gate (id, closed) VALUES (1, false) ON CONFLICT DO NOTHING",
}

// createFunctions makes what the triggers run. The functions have their owner's rights: the tenant's roles need none here.
var createFunctions = []string{
	`CREATE OR REPLACE FUNCTION ashstand.guard() RETURNS trigger LANGUAGE plpgsql SECURITY DEFINER SET search_path = pg_catalog AS $$
DECLARE shut boolean;
BEGIN
	SELECT closed INTO shut FROM ashstand.gate WHERE id = 1 FOR SHARE;
	IF shut THEN RAISE EXCEPTION 'tenant is closed' USING ERRCODE = '55000'; END IF;
	RETURN NULL;
END $$`,
	`CREATE OR REPLACE FUNCTION ashstand.mark() RETURNS trigger LANGUAGE plpgsql SECURITY DEFINER SET search_path = pg_catalog AS $$
DECLARE changed jsonb[] := '{}'; r jsonb;
BEGIN
	IF TG_LEVEL = 'STATEMENT' THEN
		INSERT INTO ashstand.touched (tab, key) VALUES (TG_TABLE_SCHEMA || '.' || TG_TABLE_NAME, '') ON CONFLICT DO NOTHING;
		RETURN NULL;
	END IF;
	IF TG_OP <> 'INSERT' THEN changed := array_append(changed, to_jsonb(OLD)); END IF;
	IF TG_OP <> 'DELETE' THEN changed := array_append(changed, to_jsonb(NEW)); END IF;
	FOREACH r IN ARRAY changed LOOP
		INSERT INTO ashstand.touched (tab, key)
			SELECT TG_TABLE_SCHEMA || '.' || TG_TABLE_NAME, coalesce(jsonb_agg(r ->> c ORDER BY n)::text, '')
				FROM unnest(TG_ARGV) WITH ORDINALITY AS a(c, n)
			ON CONFLICT DO NOTHING;
	END LOOP;
	RETURN NULL;
END $$`,
}

// alreadyMade are the SQLSTATEs of a base that another session made at the same time.
var alreadyMade = []string{codeUniqueViolation, codeDuplicateTable, codeDuplicateSchema}

// ensureBase makes the schema ashstand and its tables where they are missing.
func (o *operation) ensureBase(ctx context.Context, group migration.Group) error {
	return o.connect(ctx, group, "create schema ashstand", func(ctx context.Context, conn *pgconn.PgConn) error {
		count, err := fencing.QueryValue(ctx, conn, countBaseTables)
		if err != nil || count == baseTableCount {
			return err
		}
		err = execAll(ctx, conn, createBase...)
		if slices.Contains(alreadyMade, sqlState(err)) {
			err = execAll(ctx, conn, createBase...)
		}
		return err
	})
}

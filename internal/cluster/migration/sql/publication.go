package sql

import (
	"context"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
)

// findPublication returns the name of the migration's publication at a group, "" where there is none.
func findPublication(ctx context.Context, conn *pgconn.PgConn) (string, error) {
	rows, _, err := fencing.Exec(ctx, conn, selectPublications)
	for _, row := range rows {
		if isMigrationObject(row[0]) {
			return row[0], nil
		}
	}
	return "", err
}

// replacePublication makes a publication of tables where it is missing, and drops those of other migrations and operations.
func replacePublication(ctx context.Context, conn *pgconn.PgConn, name string, tables []*table) error {
	exists, err := dropPublicationsExcept(ctx, conn, name)
	if err != nil || exists {
		return err
	}
	return execAll(ctx, conn, createPublication(name, tables))
}

// dropPublicationsExcept drops the publications of migrations but one, and says whether that one exists.
func dropPublicationsExcept(ctx context.Context, conn *pgconn.PgConn, retained string) (exists bool, err error) {
	rows, _, err := fencing.Exec(ctx, conn, selectPublications)
	if err != nil {
		return false, err
	}
	for _, row := range rows {
		name := row[0]
		if name == retained {
			exists = true
			continue
		}
		if !isMigrationObject(name) {
			continue
		}
		if err = execAll(ctx, conn, dropPublication(name)); err != nil {
			return exists, err
		}
	}
	return exists, nil
}

// publishedTables returns the full names of a publication's tables.
func publishedTables(ctx context.Context, conn *pgconn.PgConn, publication string) (map[string]bool, error) {
	rows, _, err := fencing.Exec(ctx, conn, selectPublishedTables, publication)
	names := map[string]bool{}
	for _, row := range rows {
		names[row[0]+"."+row[1]] = true
	}
	return names, err
}

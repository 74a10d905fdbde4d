// Package noop is a kind of job that does nothing useful: its lease holder writes one row after another behind the fence of
// each group. Operators run it to see that jobs are carried out before they trust the fleet with a migration.
package noop

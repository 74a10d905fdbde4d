// Package noop implements a kind of job that only exercises the job machinery: its lease holder writes rows to each group in
// turn, under its fencing token. Operators run it to check that jobs are carried out before they start a migration.
package noop

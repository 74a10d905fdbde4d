// Package sql runs the operations of tenant migrations at PostgreSQL hosts, by SQL alone: Databases implements
// migration.Databases. A tenant is a database that has its name in both groups.
//
// Everything that a migration stores stands in the schema ashstand of that database, which is not published:
//
//   - ashstand.fence holds the tenant's fencing token. Each transaction of an operation locks its row first.
//   - ashstand.gate says whether writes are rejected. The trigger on each table reads its row FOR SHARE, so whoever closes
//     the gate waits for running writers. It is apart from the token's row, so that no operation but the closing waits for
//     writers or delays them.
//   - ashstand.book holds the migration's metadata: who owns the tenant, the lowest operation that is still accepted, and
//     the names of the replication objects.
//   - ashstand.touched holds the keys of rows that were written while changes were tracked.
//
// Subscriptions, their slots and publications can't be made in a fenced transaction. Their names carry kind, token and
// operation number (ash_HASH_KIND_TOKEN_NUMBER), and a subscription names a publication that was made, under the same name,
// in a fenced transaction at the publisher: one that is made late finds no publication, replicates nothing, and is dropped
// by the next operation.
package sql

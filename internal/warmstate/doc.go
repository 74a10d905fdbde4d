// Package warmstate persists what a running pooler has observed, so that the next process starts warm: in-flight limits,
// failures, replication lag, roles, usual latencies, and the last endpoint list.
//
// Encode and Decode are the file format, Store is the directory that holds the file, and ApplyAge decides what a fact of
// a given age still counts for. Encoding and ageing do no I/O and take the time as an argument.
//
// Invariants:
//   - A crash at any moment leaves the old file or the new one complete; each section has a checksum of its own, so that
//     a damaged one costs only itself.
//   - A restored fact never makes routing less conservative without new proof.
//   - Client data, sessions, keys and statements are never persisted.
package warmstate

// Package warmstate persists what a running pooler has observed, so that the next process starts warm:
// in-flight limits, failures, replication lag, roles, usual latencies, and the last endpoint list.
//
// Encode and Decode implement the file format, Store manages the directory that holds the file, and ApplyAge
// reduces the weight of each fact according to its age. Encoding and ageing do no I/O, and ageing takes the
// time as an argument.
//
// Invariants:
//   - After a crash at any moment the old file or the new one is there and complete. Each section has its own
//     checksum, so that damage to one section does not affect the others.
//   - A restored fact never makes routing less conservative without new proof.
//   - Client data, sessions, keys and statements are never persisted.
package warmstate

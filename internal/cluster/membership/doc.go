// Package membership tracks which poolers form a fleet and what state each of them is in.
//
// Table holds the decisions: which incarnation owns a member name, which state each member is in, and which message
// formats all of them read. It does no I/O and takes the time as an argument. Gossip keeps a Table up to date over
// hashicorp/memberlist; it is the only user of that library, owns the sockets and every goroutine that it starts, and
// waits for them in Stop.
//
// Invariants:
//   - A member name belongs to one incarnation: the one whose process started first, for as long as it is alive. A
//     process that restarts at the same address takes the name over at once.
//   - Starting, Serving and Draining are reported by a member about itself; Suspect and Dead are judged by the others.
//   - The table is bounded by Options.MaxMembers; a dead member gives way to a new one.
package membership

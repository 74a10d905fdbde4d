// Package membership tracks which poolers form a fleet and what state each of them is in.
//
// Table holds the decisions: which incarnation owns a member name, which state each member is in, and which
// message formats all of them read. It does no I/O and takes the time as an argument. Gossip keeps a Table up
// to date over hashicorp/memberlist; it is the only user of that library, owns the sockets and every
// goroutine that it starts, and waits for them in Stop.
//
// Invariants:
//   - A member name belongs to one incarnation: the one whose process started first, for as long as it is alive. A
//     process that restarts at the same address takes over the name at once.
//   - A member reports Starting, Serving and Draining about itself; the other members determine Suspect and
//     Dead by failure detection.
//   - The table holds at most Options.MaxMembers members; if it is full, a new member replaces the one that has
//     been dead for longest.
package membership

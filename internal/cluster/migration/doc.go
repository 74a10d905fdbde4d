// Package migration moves a tenant from one group of database hosts to another while clients use it. A tenant is a
// database as clients name it when they connect; its assignment is the group that serves it.
//
// A migration is a kind of job (see package jobs): one lease holder at a time decides, announces an operation in the
// replicated log, executes it and records its result. The package is a state machine without I/O, clock, goroutine or
// logger of its own:
//
//   - phase.go holds the states, operation.go the transitions between them;
//   - decide.go chooses the next operation from the recorded state, the last observation and operators' approvals;
//   - apply.go computes the state that an executed operation leaves;
//   - migrator.go connects both to the database hosts and the agreed rules, which are interfaces in this package.
//
// Invariants:
//
//   - Two groups never accept writes of one tenant at the same time: the group that gives the tenant up is fenced at its
//     primary, under the fencing token, before the rules name the other group, and only a version of the rules decides
//     which of the two serves the tenant.
//   - A tenant is switched to the other group only after all ranges of keys were found equal since the last failover of
//     either group.
//   - A pause of writes ends within the plan's bound, at whatever moment a lease holder fails (see timing.go).
//   - Until an operator accepts the migration, it can be rolled back without losing a commit.
package migration

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
//   - migrator.go joins both to the database hosts and the agreed rules, which are interfaces here.
//
// Invariants:
//
//   - Two groups never accept writes of one tenant: the group that loses it is fenced at its primary, under the fencing
//     token, before the rules name the other one, and only a version of the rules decides between the two.
//   - A tenant changes its group only after all ranges of keys were found equal since the last failover of either side.
//   - A pause of writes ends within the plan's bound, whatever moment a lease holder fails at (timing.go derives it).
//   - Until an operator accepts the migration it can be rolled back without the loss of a commit.
package migration

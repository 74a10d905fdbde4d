package migration

import (
	"fmt"
	"strings"
)

// CheckResult is something that a check found in the way of a move.
type CheckResult struct {
	Reason        string `json:"code"`
	Name          string `json:"name,omitempty"` // of the table, sequence, extension or whatever it is
	Detail        string `json:"detail,omitempty"`
	Informational bool   `json:"told,omitempty"` // it is taken care of and stands here to be known
}

// CheckResults are what a check came to.
type CheckResults []CheckResult

// What a check finds.
const (
	CheckNoReplicaIdentity   = "no_replica_identity"
	CheckUnloggedTable       = "unlogged_table"
	CheckLargeObjects        = "large_objects"
	CheckPreparedTransaction = "prepared_transaction"
	CheckExtensionMissing    = "extension_missing"
	CheckNoCapacity          = "no_room"
	CheckSchemaDiffers       = "schema_differs"
	CheckTargetNotEmpty      = "target_not_empty"
	CheckSequence            = "sequence"
	CheckAssignmentDiffers   = "home_differs"
	CheckLimitsMissing       = "limits_missing"
	CheckNoSlots             = "no_slots"
)

// checkTexts are their sentence and advice.
var checkTexts = map[string][2]string{
	CheckNoReplicaIdentity:   {"the table has no replica identity: its updates and deletes can't be published", "give it a primary key, or ALTER TABLE ... REPLICA IDENTITY"},
	CheckUnloggedTable:       {"the table is unlogged: nothing publishes it", "ALTER TABLE ... SET LOGGED, or empty and drop it"},
	CheckLargeObjects:        {"the database holds large objects, which nothing publishes", "move them into a bytea column, or remove them with lo_unlink"},
	CheckPreparedTransaction: {"a prepared transaction is open", "COMMIT PREPARED or ROLLBACK PREPARED it, and set max_prepared_transactions to 0 for the move"},
	CheckExtensionMissing:    {"the extension is not at the new home, or is older there", "CREATE EXTENSION there, in the same version"},
	CheckNoCapacity:          {"the new home has no room for it", "make room there, or name another group"},
	CheckSchemaDiffers:       {"it is defined otherwise at the new home, or not there", "bring the schema over as pg_dump --schema-only writes it, then resume"},
	CheckTargetNotEmpty:      {"the table holds rows at the new home already", "empty it there, or drop the database and bring the schema over again"},
	CheckSequence:            {"the sequence is not published: the move sets it itself when the tenant is paused", "nothing"},
	CheckAssignmentDiffers:   {"the agreed rules name another home, or none", "propose database.NAME.group for where the tenant is, then resume"},
	CheckLimitsMissing:       {"the limits don't name the tenant: a pooler without a lease would serve it on", "put database.NAME.group and .paused = true into every limits file"},
	CheckNoSlots:             {"there is no replication slot or sender left", "raise max_replication_slots and max_wal_senders, or drop unused slots"},
}

func (f *CheckResult) Error() string {
	text := checkTexts[f.Reason][0]
	if text == "" {
		text = f.Reason
	}
	if f.Name != "" {
		text = f.Name + ": " + text
	}
	if f.Detail != "" {
		text += " (" + f.Detail + ")"
	}
	return text
}

// Code is the reason in a word.
func (f *CheckResult) Code() string { return f.Reason }

// Advice says what an operator can do.
func (f *CheckResult) Advice() string { return checkTexts[f.Reason][1] }

// Blocking are those that stand in the way.
func (f CheckResults) Blocking() (out []*CheckResult) {
	for i := range f {
		if !f[i].Informational {
			out = append(out, &f[i])
		}
	}
	return out
}

// truncated cuts the list to what a state holds: what refuses first.
func (f CheckResults) truncated() CheckResults {
	var out CheckResults
	for _, told := range []bool{false, true} {
		for _, x := range f {
			if x.Informational == told && len(out) < maxListed {
				x.Name, x.Detail = sanitize(x.Name), sanitize(x.Detail)
				out = append(out, x)
			}
		}
	}
	return out
}

// Difference is a part of a tenant that is not the same at both homes.
type Difference struct {
	Kind   string `json:"kind"` // rows, count, sequence or read
	Table  string `json:"table,omitempty"`
	Range  string `json:"range,omitempty"` // of keys
	Source string `json:"home,omitempty"`  // what each holds: digests, counts or values
	Target string `json:"other,omitempty"`
}

func (d *Difference) Error() string {
	return fmt.Sprintf("%s of %s %s differ: %s at the home, %s at the other", d.Kind, d.Table, d.Range, d.Source, d.Target)
}

// Code is the reason in a word.
func (d *Difference) Code() string { return "verify_differs" }

// Advice says what an operator can do.
func (d *Difference) Advice() string {
	return "find out who wrote at the other home, then resume: it is copied anew; or rollback"
}

// BlockingSession is a session that holds a closing up, or that is bound to its connection and would lose by the switch.
type BlockingSession struct {
	PID  int    `json:"pid"`
	User string `json:"user,omitempty"`
	Kind string `json:"kind"` // writing, temporary tables, advisory lock, listen, prepared
	Age  string `json:"age,omitempty"`
}

func (s *BlockingSession) Error() string {
	return fmt.Sprintf("session %d of %s holds the closing up: %s, for %s", s.PID, s.User, s.Kind, s.Age)
}

// Code is the reason in a word.
func (s *BlockingSession) Code() string { return "straggler" }

// Advice says what an operator can do.
func (s *BlockingSession) Advice() string {
	return "wait for it, end it with pg_terminate_backend, or order the move with stragglers = end"
}

// joinErrors words errors in one line.
func joinErrors[E error](all []E) string {
	lines := make([]string, 0, len(all))
	for _, e := range all {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "; ")
}

func pointers[T any](all []T) []*T {
	out := make([]*T, len(all))
	for i := range all {
		out[i] = &all[i]
	}
	return out
}

package migration

import (
	"fmt"
	"strings"
)

// Finding is something that a check found in the way of a move.
type Finding struct {
	Reason string `json:"code"`
	Name   string `json:"name,omitempty"` // of the table, sequence, extension or whatever it is
	Detail string `json:"detail,omitempty"`
	Told   bool   `json:"told,omitempty"` // it is taken care of and stands here to be known
}

// Findings are what a check came to.
type Findings []Finding

// What a check finds.
const (
	NoIdentity    = "no_replica_identity"
	Unlogged      = "unlogged_table"
	LargeObjects  = "large_objects"
	Prepared      = "prepared_transaction"
	NoExtension   = "extension_missing"
	NoRoom        = "no_room"
	SchemaDiffers = "schema_differs"
	NotEmpty      = "target_not_empty"
	Sequences     = "sequence"
	HomeDiffers   = "home_differs"
	NotLimited    = "limits_missing"
	NoSlots       = "no_slots"
)

// findings are their sentence and advice.
var findings = map[string][2]string{
	NoIdentity:    {"the table has no replica identity: its updates and deletes can't be published", "give it a primary key, or ALTER TABLE ... REPLICA IDENTITY"},
	Unlogged:      {"the table is unlogged: nothing publishes it", "ALTER TABLE ... SET LOGGED, or empty and drop it"},
	LargeObjects:  {"the database holds large objects, which nothing publishes", "move them into a bytea column, or remove them with lo_unlink"},
	Prepared:      {"a prepared transaction is open", "COMMIT PREPARED or ROLLBACK PREPARED it, and set max_prepared_transactions to 0 for the move"},
	NoExtension:   {"the extension is not at the new home, or is older there", "CREATE EXTENSION there, in the same version"},
	NoRoom:        {"the new home has no room for it", "make room there, or name another group"},
	SchemaDiffers: {"it is defined otherwise at the new home, or not there", "bring the schema over as pg_dump --schema-only writes it, then resume"},
	NotEmpty:      {"the table holds rows at the new home already", "empty it there, or drop the database and bring the schema over again"},
	Sequences:     {"the sequence is not published: the move sets it itself when the tenant is paused", "nothing"},
	HomeDiffers:   {"the agreed rules name another home, or none", "propose database.NAME.group for where the tenant is, then resume"},
	NotLimited:    {"the limits don't name the tenant: a pooler without a lease would serve it on", "put database.NAME.group and .paused = true into every limits file"},
	NoSlots:       {"there is no replication slot or sender left", "raise max_replication_slots and max_wal_senders, or drop unused slots"},
}

func (f *Finding) Error() string {
	text := findings[f.Reason][0]
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
func (f *Finding) Code() string { return f.Reason }

// Advice says what an operator can do.
func (f *Finding) Advice() string { return findings[f.Reason][1] }

// Refusing are those that stand in the way.
func (f Findings) Refusing() (out []*Finding) {
	for i := range f {
		if !f[i].Told {
			out = append(out, &f[i])
		}
	}
	return out
}

// bounded cuts the list to what a state holds: what refuses first.
func (f Findings) bounded() Findings {
	var out Findings
	for _, told := range []bool{false, true} {
		for _, x := range f {
			if x.Told == told && len(out) < mostNamed {
				x.Name, x.Detail = clip(x.Name), clip(x.Detail)
				out = append(out, x)
			}
		}
	}
	return out
}

// Difference is a part of a tenant that is not the same at both homes.
type Difference struct {
	Kind  string `json:"kind"` // rows, count, sequence or read
	Table string `json:"table,omitempty"`
	Range string `json:"range,omitempty"` // of keys
	Home  string `json:"home,omitempty"`  // what each holds: digests, counts or values
	Other string `json:"other,omitempty"`
}

func (d *Difference) Error() string {
	return fmt.Sprintf("%s of %s %s differ: %s at the home, %s at the other", d.Kind, d.Table, d.Range, d.Home, d.Other)
}

// Code is the reason in a word.
func (d *Difference) Code() string { return "verify_differs" }

// Advice says what an operator can do.
func (d *Difference) Advice() string {
	return "find out who wrote at the other home, then resume: it is copied anew; or rollback"
}

// Straggler is a session that holds a closing up, or that is bound to its connection and would lose by the switch.
type Straggler struct {
	PID  int    `json:"pid"`
	User string `json:"user,omitempty"`
	Kind string `json:"kind"` // writing, temporary tables, advisory lock, listen, prepared
	Age  string `json:"age,omitempty"`
}

func (s *Straggler) Error() string {
	return fmt.Sprintf("session %d of %s holds the closing up: %s, for %s", s.PID, s.User, s.Kind, s.Age)
}

// Code is the reason in a word.
func (s *Straggler) Code() string { return "straggler" }

// Advice says what an operator can do.
func (s *Straggler) Advice() string {
	return "wait for it, end it with pg_terminate_backend, or order the move with stragglers = end"
}

// sayAll words errors in one line.
func sayAll[E error](all []E) string {
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

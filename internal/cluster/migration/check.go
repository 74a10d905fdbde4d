package migration

// CheckReason is the code of a CheckResult. Its values are stored and shown to operators.
type CheckReason string

// Reasons of check results.
const (
	// CheckNoReplicaIdentity: updates and deletes of a table can't be published.
	CheckNoReplicaIdentity CheckReason = "no_replica_identity"
	// CheckUnloggedTable: an unlogged table can't be published.
	CheckUnloggedTable CheckReason = "unlogged_table"
	// CheckLargeObjects: large objects can't be published.
	CheckLargeObjects CheckReason = "large_objects"
	// CheckPreparedTransaction: a prepared transaction (two-phase commit) is open.
	CheckPreparedTransaction CheckReason = "prepared_transaction"
	// CheckExtensionMissing: the target lacks an extension, or has another version of it.
	CheckExtensionMissing CheckReason = "extension_missing"
	// CheckNoCapacity: the target has too little free storage.
	CheckNoCapacity CheckReason = "no_room"
	// CheckSchemaDiffers: the definitions differ.
	CheckSchemaDiffers CheckReason = "schema_differs"
	// CheckTargetNotEmpty: a table of the target has rows.
	CheckTargetNotEmpty CheckReason = "target_not_empty"
	// CheckSequence: a sequence is not published. The result is informational, because the verification sets the sequence at
	// the target.
	CheckSequence CheckReason = "sequence"
	// CheckAssignmentDiffers: the agreed rules assign the tenant to another group than the plan's From.
	CheckAssignmentDiffers CheckReason = "home_differs"
	// CheckLimitsMissing: the limits do not name the tenant's keys, so a pooler without a lease would continue to serve it.
	CheckLimitsMissing CheckReason = "limits_missing"
	// CheckNoSlots: no replication slot or sender is free.
	CheckNoSlots CheckReason = "no_slots"
)

// checkText holds the message and the advice that operators see for a reason.
type checkText struct {
	message string
	advice  string
}

var checkTexts = map[CheckReason]checkText{
	CheckNoReplicaIdentity: {
		"the table has no replica identity: its updates and deletes can't be published",
		"give it a primary key, or ALTER TABLE ... REPLICA IDENTITY",
	},
	CheckUnloggedTable: {
		"the table is unlogged: nothing publishes it",
		"ALTER TABLE ... SET LOGGED, or empty and drop it",
	},
	CheckLargeObjects: {
		"the database holds large objects, which nothing publishes",
		"move them into a bytea column, or remove them with lo_unlink",
	},
	CheckPreparedTransaction: {
		"a prepared transaction is open",
		"COMMIT PREPARED or ROLLBACK PREPARED it, and set max_prepared_transactions to 0 for the move",
	},
	CheckExtensionMissing: {
		"the extension is not at the new home, or is older there",
		"CREATE EXTENSION there, in the same version",
	},
	CheckNoCapacity: {
		"the new home has no room for it",
		"make room there, or name another group",
	},
	CheckSchemaDiffers: {
		"it is defined otherwise at the new home, or not there",
		"bring the schema over as pg_dump --schema-only writes it, then resume",
	},
	CheckTargetNotEmpty: {
		"the table holds rows at the new home already",
		"empty it there, or drop the database and bring the schema over again",
	},
	CheckSequence: {
		"the sequence is not published: the move sets it itself when the tenant is paused",
		"nothing",
	},
	CheckAssignmentDiffers: {
		"the agreed rules name another home, or none",
		"propose database.NAME.group for where the tenant is, then resume",
	},
	CheckLimitsMissing: {
		"the limits don't name the tenant: a pooler without a lease would serve it on",
		"put database.NAME.group and .paused = true into every limits file",
	},
	CheckNoSlots: {
		"there is no replication slot or sender left",
		"raise max_replication_slots and max_wal_senders, or drop unused slots",
	},
}

// CheckResult is one finding of a check. It is an error with a code and advice unless it is informational.
type CheckResult struct {
	Reason CheckReason `json:"code"`
	Name   string      `json:"name,omitempty"` // of the table, sequence, extension and so on
	Detail string      `json:"detail,omitempty"`
	// Informational is set if the migration handles the finding without an operator.
	Informational bool `json:"told,omitempty"`
}

// CheckResults are the findings of one check.
type CheckResults []CheckResult

// Error describes the finding in one sentence.
func (r *CheckResult) Error() string {
	text := checkTexts[r.Reason].message
	if text == "" {
		text = string(r.Reason)
	}
	if r.Name != "" {
		text = r.Name + ": " + text
	}
	if r.Detail != "" {
		text += " (" + r.Detail + ")"
	}
	return text
}

// Code returns the reason as text.
func (r *CheckResult) Code() string { return string(r.Reason) }

// Advice describes what an operator can do.
func (r *CheckResult) Advice() string { return checkTexts[r.Reason].advice }

// Blocking returns the findings that prevent the migration from continuing.
func (r CheckResults) Blocking() (out []*CheckResult) {
	for i := range r {
		if !r[i].Informational {
			out = append(out, &r[i])
		}
	}
	return out
}

// truncated returns the first maxListed findings, with sanitized texts. Blocking findings come before informational ones.
func (r CheckResults) truncated() CheckResults {
	var out CheckResults
	for _, informational := range []bool{false, true} {
		for _, result := range r {
			if result.Informational != informational || len(out) >= maxListed {
				continue
			}
			result.Name, result.Detail = sanitize(result.Name), sanitize(result.Detail)
			out = append(out, result)
		}
	}
	return out
}

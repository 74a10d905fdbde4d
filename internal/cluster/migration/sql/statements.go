package sql

import (
	"fmt"
	"strings"
)

// Statements that read or write what a migration stores in the schema ashstand.
const (
	selectMetadata = "SELECT item, value FROM ashstand.book"
	upsertMetadata = "INSERT INTO ashstand.book (item, value) VALUES ($1, $2) " +
		"ON CONFLICT (item) DO UPDATE SET value = excluded.value"
	selectGateClosed = "SELECT closed FROM ashstand.gate WHERE id = 1"
	updateGate       = "UPDATE ashstand.gate SET closed = %v WHERE id = 1 AND closed <> %v"
	insertGate       = "INSERT INTO ashstand.gate (id, closed) VALUES (1, %v) ON CONFLICT DO NOTHING"
	selectTouched    = "SELECT tab, key FROM ashstand.touched"
	countTouched     = "SELECT count(*) FROM ashstand.touched"
	deleteTouched    = "DELETE FROM ashstand.touched"
	countBaseTables  = "SELECT count(*) FROM information_schema.tables WHERE table_schema = 'ashstand' AND table_name IN " +
		"('fence', 'gate', 'book', 'touched')"
)

// Statements that read the catalogue of a tenant's database.
const (
	selectTables = "SELECT c.oid, n.nspname, c.relname, c.relreplident, c.relpersistence, c.reltuples FROM pg_class c " +
		"JOIN pg_namespace n ON n.oid = c.relnamespace WHERE c.relkind = 'r' AND " +
		"n.nspname NOT IN ('pg_catalog', 'information_schema', 'pg_toast', 'ashstand')"
	selectColumns = "SELECT table_schema, table_name, column_name, data_type FROM information_schema.columns " +
		"WHERE table_schema NOT IN ('pg_catalog', 'information_schema', 'ashstand') ORDER BY table_schema, table_name, ordinal_position"
	selectAttributes    = "SELECT attrelid, attnum, attname FROM pg_attribute WHERE attnum > 0 AND NOT attisdropped"
	selectPrimaryKeys   = "SELECT indrelid, indkey FROM pg_index WHERE indisprimary"
	selectTriggers      = "SELECT tgrelid, tgname FROM pg_trigger WHERE NOT tgisinternal"
	selectExtensions    = "SELECT extname, extversion FROM pg_extension"
	selectSequenceNames = "SELECT schemaname, sequencename FROM pg_sequences WHERE schemaname <> 'ashstand' ORDER BY schemaname, sequencename"
	selectSequences     = "SELECT schemaname, sequencename, last_value, start_value FROM pg_sequences WHERE schemaname <> 'ashstand'"
	countLargeObjects   = "SELECT count(*) FROM pg_largeobject_metadata"
	selectPrepared      = "SELECT gid FROM pg_prepared_xacts WHERE database = current_database()"
	selectDatabaseSize  = "SELECT pg_database_size(current_database())"
	showWALLevel        = "SHOW wal_level"
	showMaxSlots        = "SHOW max_replication_slots"
	showServerVersion   = "SHOW server_version_num"
	countSlots          = "SELECT count(*) FROM pg_replication_slots"
)

// Statements that read positions, replication objects and sessions.
const (
	selectWALFile        = "SELECT pg_walfile_name(pg_current_wal_insert_lsn())"
	selectInsertPosition = "SELECT pg_current_wal_insert_lsn()"
	selectPublications   = "SELECT pubname FROM pg_publication"
	// selectPublishedTables takes the name of a publication.
	selectPublishedTables = "SELECT schemaname, tablename FROM pg_publication_tables WHERE pubname = $1"
	countPublishedTables  = "SELECT count(*) FROM pg_publication_tables WHERE pubname LIKE 'ash\\_%'"
	selectSlots           = "SELECT slot_name, coalesce(active_pid, 0) FROM pg_replication_slots " +
		"WHERE database = current_database() AND NOT temporary"
	// selectConfirmedPosition takes the name of a slot.
	selectConfirmedPosition = "SELECT confirmed_flush_lsn FROM pg_replication_slots WHERE slot_name = $1 AND coalesce(wal_status, '') <> 'lost'"
	ofThisDatabase          = "WHERE subdbid = (SELECT oid FROM pg_database WHERE datname = current_database())"
	selectSubscriptions     = "SELECT subname FROM pg_subscription " + ofThisDatabase
	selectEnabled           = "SELECT subname, subslotname FROM pg_subscription " + ofThisDatabase + " AND subenabled"
	// The next three take the name of a subscription.
	countEnabledSubscription = "SELECT count(*) FROM pg_subscription WHERE subname = $1 AND subenabled"
	selectTableStates        = "SELECT r.srsubstate, count(*) FROM pg_subscription_rel r JOIN pg_subscription s ON s.oid = r.srsubid " +
		"WHERE s.subname = $1 GROUP BY r.srsubstate"
	selectRemotePosition = "SELECT o.remote_lsn FROM pg_replication_origin_status o JOIN pg_subscription s " +
		"ON o.external_id = concat('pg_', s.oid) WHERE s.subname = $1"
	selectStandbys = "SELECT pid, flush_lsn FROM pg_stat_replication WHERE pid NOT IN " +
		"(SELECT active_pid FROM pg_replication_slots WHERE slot_type = 'logical' AND active_pid IS NOT NULL)"
	selectWriters = "SELECT pid, backend_xid FROM pg_stat_activity WHERE datname = current_database() AND pid <> pg_backend_pid() " +
		"AND backend_xid IS NOT NULL"
	selectOpenTransactions = "SELECT pid, usename, state, backend_xid, extract(epoch FROM clock_timestamp() - xact_start) FROM pg_stat_activity " +
		"WHERE datname = current_database() AND pid <> pg_backend_pid() AND backend_type = 'client backend' AND xact_start IS NOT NULL " +
		"ORDER BY xact_start"
)

const (
	// setOutputFormats makes values come as text that does not depend on a role's settings.
	setOutputFormats = "SET datestyle = 'ISO, MDY'; SET timezone = 'UTC'; SET intervalstyle = 'postgres'; SET extra_float_digits = 1; SET bytea_output = 'hex'"
	// beginSnapshot begins a transaction in which all reads see the same.
	beginSnapshot = "BEGIN ISOLATION LEVEL REPEATABLE READ READ ONLY"
	// disableTriggers lets the transaction write past the gate and the tracking of changes.
	disableTriggers = "SET LOCAL session_replication_role = replica"
	enableTriggers  = "SET LOCAL session_replication_role = origin"
)

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

func quoteIdentifier(s string) string { return `"` + strings.ReplaceAll(s, `"`, `""`) + `"` }

func quoteIdentifiers(names []string) string {
	quoted := make([]string, 0, len(names))
	for _, name := range names {
		quoted = append(quoted, quoteIdentifier(name))
	}
	return strings.Join(quoted, ", ")
}

func quoteQualified(schema, name string) string {
	return quoteIdentifier(schema) + "." + quoteIdentifier(name)
}

func quotedTables(tables []*table) string {
	quoted := make([]string, 0, len(tables))
	for _, t := range tables {
		quoted = append(quoted, t.quoted())
	}
	return strings.Join(quoted, ", ")
}

func terminateBackend(pid string) string {
	return "SELECT pg_terminate_backend(" + pid + ")"
}

func createSlot(name string) string {
	return "SELECT pg_create_logical_replication_slot(" + quoteLiteral(name) + ", 'pgoutput')"
}

func dropSlot(name string) string {
	return "SELECT pg_drop_replication_slot(" + quoteLiteral(name) + ")"
}

// createPublication publishes tables, of which there may be none.
func createPublication(name string, tables []*table) string {
	statement := "CREATE PUBLICATION " + quoteIdentifier(name)
	if len(tables) > 0 {
		statement += " FOR TABLE " + quotedTables(tables)
	}
	return statement
}

func dropPublication(name string) string {
	return "DROP PUBLICATION " + quoteIdentifier(name)
}

func addPublicationTable(publication string, t *table) string {
	return "ALTER PUBLICATION " + quoteIdentifier(publication) + " ADD TABLE " + t.quoted()
}

// subscriptionOptions are those in which the subscriptions of migrations differ.
type subscriptionOptions struct {
	slot       string
	createSlot bool
	copyData   bool
	failover   bool // the slot outlives a failover of the publisher
}

// createSubscription subscribes to the publication of the same name.
func createSubscription(name, connection string, options subscriptionOptions) string {
	with := fmt.Sprintf("origin = none, slot_name = %s, create_slot = %v, copy_data = %v",
		quoteLiteral(options.slot), options.createSlot, options.copyData)
	if options.failover {
		with += ", failover = true"
	}
	return "CREATE SUBSCRIPTION " + quoteIdentifier(name) + " CONNECTION " + quoteLiteral(connection) +
		" PUBLICATION " + quoteIdentifier(name) + " WITH (" + with + ")"
}

func refreshSubscription(name string) string {
	return "ALTER SUBSCRIPTION " + quoteIdentifier(name) + " REFRESH PUBLICATION"
}

// dropSubscription drops a subscription without its slot, which stays with a publisher that may be gone.
func dropSubscription(name string) []string {
	quoted := quoteIdentifier(name)
	return []string{
		"ALTER SUBSCRIPTION " + quoted + " DISABLE",
		"ALTER SUBSCRIPTION " + quoted + " SET (slot_name = NONE)",
		"DROP SUBSCRIPTION " + quoted,
	}
}

func createTrigger(name, definition string) string {
	return "CREATE TRIGGER " + name + " " + definition
}

func dropTrigger(name string, t *table) string {
	return "DROP TRIGGER IF EXISTS " + name + " ON " + t.quoted()
}

// truncateTables empties tables without running triggers.
func truncateTables(tables []*table) []string {
	return []string{disableTriggers, "TRUNCATE " + quotedTables(tables), enableTriggers}
}

func dropTable(t *table) string {
	return "DROP TABLE " + t.quoted() + " CASCADE"
}

func selectOneRow(t *table) string {
	return "SELECT 1 FROM " + t.quoted() + " LIMIT 1"
}

func countRows(t *table) string {
	return "SELECT count(*) FROM " + t.quoted()
}

// setSequence sets a sequence to where another one stands. called says whether that value was returned already.
func setSequence(s *sequence) string {
	value, called := s.lastValue, true
	if value == "" {
		value, called = s.startValue, false
	}
	return fmt.Sprintf("SELECT setval(%s, %s, %v)", quoteLiteral(quoteQualified(s.schema, s.name)), value, called)
}

// selectKey reads the row of one primary key.
func selectKey(t *table) string {
	conditions := make([]string, 0, len(t.key))
	for i, column := range t.key {
		conditions = append(conditions, fmt.Sprintf("%s = $%d", quoteIdentifier(t.columns[column]), i+1))
	}
	return "SELECT " + quoteIdentifiers(t.columns) + " FROM " + t.quoted() + " WHERE " + strings.Join(conditions, " AND ")
}

// keyBounds are the bounds of a range of primary keys: after is not in it, upTo is; nil is no bound.
type keyBounds struct {
	after, upTo []string
}

// selectRange reads the rows of a range in the order of their keys, at most limit of them (0: all). A table without a
// primary key is read whole.
func selectRange(t *table, bounds keyBounds, limit int) (statement string, args []string) {
	statement = "SELECT " + quoteIdentifiers(t.columns) + " FROM " + t.quoted()
	if len(t.key) == 0 {
		return statement, nil
	}
	columns := make([]string, 0, len(t.key))
	for _, column := range t.key {
		columns = append(columns, t.comparedColumn(column))
	}
	var conditions []string
	if bounds.after != nil {
		conditions = append(conditions, keyCondition(columns, len(args), ">", ">=")...)
		args = append(args, bounds.after...)
	}
	if bounds.upTo != nil {
		conditions = append(conditions, keyCondition(columns, len(args), "<=", "<=")...)
		args = append(args, bounds.upTo...)
	}
	if len(conditions) > 0 {
		statement += " WHERE " + strings.Join(conditions, " AND ")
	}
	statement += " ORDER BY " + strings.Join(columns, ", ")
	if limit > 0 {
		statement += fmt.Sprintf(" LIMIT %d", limit)
	}
	return statement, args
}

// keyCondition compares key columns with the parameters that follow the first bound ones. Of several columns the first one
// is compared by itself as well.
func keyCondition(columns []string, bound int, operator, firstOperator string) []string {
	parameters := make([]string, 0, len(columns))
	for i := range columns {
		parameters = append(parameters, fmt.Sprintf("$%d", bound+i+1))
	}
	if len(columns) == 1 {
		return []string{columns[0] + " " + operator + " " + parameters[0]}
	}
	return []string{
		columns[0] + " " + firstOperator + " " + parameters[0],
		"(" + strings.Join(columns, ", ") + ") " + operator + " (" + strings.Join(parameters, ", ") + ")",
	}
}

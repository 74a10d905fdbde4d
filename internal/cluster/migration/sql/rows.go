package sql

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

const (
	// keyBatch is how many keys are read in one pipeline: requests and answers in flight stay below what socket buffers hold.
	keyBatch = 256
	// keyStatement is the name of the prepared statement that reads one key.
	keyStatement = "ashstand_key"
)

// rowDigest is a row as it was read.
type rowDigest struct {
	key    string // see encodeKey
	digest migration.RangeDigest
}

// rowSet are the rows of a read: their digests, and the digest of all. Rows of a table without primary key are not listed.
type rowSet struct {
	rows   []rowDigest
	digest migration.RangeDigest
}

func (s *rowSet) add(t *table, values [][]byte) {
	s.digest.AddRow(values...)
	if len(t.key) == 0 {
		return
	}
	key := make([]string, len(t.key))
	for i, column := range t.key {
		key[i] = string(values[column])
	}
	var digest migration.RangeDigest
	digest.AddRow(values...)
	s.rows = append(s.rows, rowDigest{key: encodeKey(key), digest: digest})
}

// lastKey is the key of the last row.
func (s *rowSet) lastKey() []string { return decodeKey(s.rows[len(s.rows)-1].key) }

// encodeKey writes the values of a primary key as a JSON list of texts, as the tracking trigger stores them.
func encodeKey(values []string) string {
	text, _ := json.Marshal(values) // a list of strings has no value that can't be written
	return string(text)
}

// decodeKey reads what encodeKey wrote; nil where it is none.
func decodeKey(text string) (values []string) {
	if json.Unmarshal([]byte(text), &values) != nil {
		return nil
	}
	return values
}

// displayKey is a key as it stands in a migration.Range.
func displayKey(values []string) string { return strings.Join(values, ",") }

func setFormats(ctx context.Context, conn *pgconn.PgConn) error {
	_, err := conn.Exec(ctx, setOutputFormats).ReadAll()
	return err
}

// readRange reads the rows of a range, at most limit of them (0: all).
func readRange(ctx context.Context, conn *pgconn.PgConn, t *table, bounds keyBounds, limit int) (*rowSet, error) {
	statement, args := selectRange(t, bounds, limit)
	set := &rowSet{}
	reader := conn.ExecParams(ctx, statement, toParameters(args), nil, nil, nil)
	for reader.NextRow() {
		set.add(t, reader.Values())
	}
	_, err := reader.Close()
	return set, err
}

// readKeys reads the rows of some keys, in pipelines.
func readKeys(ctx context.Context, conn *pgconn.PgConn, t *table, keys []string) (set *rowSet, err error) {
	set = &rowSet{}
	if _, err = conn.Prepare(ctx, keyStatement, selectKey(t), nil); err != nil {
		return set, err
	}
	defer func() { err = errors.Join(err, conn.Deallocate(ctx, keyStatement)) }()
	for batch := range slices.Chunk(keys, keyBatch) {
		if err = readKeyBatch(ctx, conn, t, batch, set); err != nil {
			return set, err
		}
	}
	return set, nil
}

func readKeyBatch(ctx context.Context, conn *pgconn.PgConn, t *table, keys []string, set *rowSet) error {
	batch := &pgconn.Batch{}
	for _, key := range keys {
		batch.ExecPrepared(keyStatement, toParameters(decodeKey(key)), nil, nil)
	}
	results := conn.ExecBatch(ctx, batch)
	for results.NextResult() {
		for rows := results.ResultReader(); rows.NextRow(); {
			set.add(t, rows.Values())
		}
	}
	return results.Close()
}

// readDigest returns the digest of what a statement returns.
func readDigest(ctx context.Context, conn *pgconn.PgConn, statement string) (digest migration.RangeDigest, err error) {
	reader := conn.ExecParams(ctx, statement, nil, nil, nil, nil)
	for reader.NextRow() {
		digest.AddRow(reader.Values()...)
	}
	_, err = reader.Close()
	return digest, err
}

func toParameters(values []string) [][]byte {
	parameters := make([][]byte, len(values))
	for i, value := range values {
		parameters[i] = []byte(value)
	}
	return parameters
}

// touchedKeys are the keys that were written since changes are tracked, by table. The key "" stands for the whole table.
type touchedKeys map[string]map[string]bool

const everyKey = ""

func (k touchedKeys) add(table, key string) {
	if k[table] == nil {
		k[table] = map[string]bool{}
	}
	if key != everyKey {
		key = encodeKey(decodeKey(key)) // PostgreSQL writes JSON with blanks
	}
	k[table][key] = true
}

// readTouched returns the keys that were written in either group.
func (o *operation) readTouched(ctx context.Context, source, target migration.Group) (touchedKeys, error) {
	var sourceRows, targetRows [][]string
	read := func(group migration.Group, rows *[][]string) func() error {
		return func() error {
			return o.connect(ctx, group, "read touched rows", func(ctx context.Context, conn *pgconn.PgConn) (err error) {
				*rows, _, err = fencing.Exec(ctx, conn, selectTouched)
				return err
			})
		}
	}
	if err := concurrently(read(source, &sourceRows), read(target, &targetRows)); err != nil {
		return nil, err
	}
	touched := touchedKeys{}
	for _, row := range slices.Concat(sourceRows, targetRows) {
		touched.add(row[0], row[1])
	}
	return touched, nil
}

package noop

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/jobs"
)

// The names of the operations, and the one action that an operator can approve. They are stored: they never change.
const (
	operationPrepare = "prepare" // creates the schema and tables in one group; it can be repeated
	operationWrite   = "write"   // writes one row in one group
	operationStop    = "stop"    // finishes the job; it changes nothing at any host
	actionStop       = "stop"
)

// Reasons why a job finished. They are stored: they never change.
const (
	reasonStopped   = "stopped"
	reasonCompleted = "all deeds are done"
)

// unreadableRetryMillis is the delay until a spec or state that can't be decoded is read again.
const unreadableRetryMillis = 1000

// Statements of the operations.
const (
	createSchema = "CREATE SCHEMA IF NOT EXISTS ashstand"
	createTable  = "CREATE TABLE IF NOT EXISTS ashstand.acts (ref text PRIMARY KEY, payload text)"
	insertRow    = "INSERT INTO ashstand.acts (ref, payload) VALUES ($1, $2)"
	selectRow    = "SELECT ref FROM ashstand.acts WHERE ref >= $1 AND ref < $2 ORDER BY ref LIMIT 1"
)

// Handler implements jobs.Handler.
type Handler struct {
	Client *fencing.Client
	Now    func() float64
	// DisabledGuarantee names a guarantee that is switched off, to test that a checker detects the violation: "resume", or
	// "" for none.
	DisabledGuarantee string
}

// Next implements jobs.Handler.
func (h *Handler) Next(now float64, job *jobs.Job, _ any) jobs.Decision {
	spec, st, err := decode(job)
	if err != nil {
		return jobs.Decision{Reason: err.Error(), RetryAfterMillis: unreadableRetryMillis}
	}
	if job.Approval != nil && job.Approval.Action == actionStop {
		return jobs.Decision{OperationName: operationStop, Approval: job.Approval}
	}
	options := []jobs.ApprovalOption{{Action: actionStop, Effect: "the job finishes after the operation under way", Persistent: true}}
	if st.PreparedGroups < len(spec.Groups) {
		return jobs.Decision{OperationName: operationPrepare, Options: options}
	}
	// WrittenAtMillis may come from another lease holder's clock, so the wait is limited to the interval.
	if wait := min(spec.IntervalMillis, st.WrittenAtMillis+spec.IntervalMillis-now); st.Written > 0 && wait > 0 {
		return jobs.Decision{RetryAfterMillis: wait, Reason: "the interval between two rows", Options: options}
	}
	return jobs.Decision{OperationName: operationWrite, Options: options}
}

// Observe implements jobs.Handler: it checks whether the primary of the next group answers.
func (h *Handler) Observe(ctx context.Context, job *jobs.Job) (any, error) {
	spec, st, err := decode(job)
	if err != nil {
		return nil, err
	}
	conn, _, err := h.Client.ConnectPrimary(ctx, st.group(&spec), spec.Database)
	if err != nil {
		return nil, err
	}
	fencing.Close(conn)
	return nil, nil
}

// Execute implements jobs.Handler.
func (h *Handler) Execute(ctx context.Context, job *jobs.Job, operation *jobs.Operation) (jobs.Result, error) {
	spec, st, err := decode(job)
	if err != nil {
		return jobs.Result{}, err
	}
	switch operation.Name {
	case operationStop:
		return jobs.Result{State: job.State, Finished: true, Reason: reasonStopped}, nil
	case operationPrepare:
		err = h.prepare(ctx, spec.Groups[st.PreparedGroups], spec.Database)
	default:
		err = h.write(ctx, job, operation, &spec, &st)
	}
	if err != nil {
		return jobs.Result{}, err
	}
	return h.result(&spec, st, operation)
}

// write inserts the operation's row. Each attempt uses a distinct key, so that an operation executed twice leaves two rows.
func (h *Handler) write(ctx context.Context, job *jobs.Job, operation *jobs.Operation, spec *Spec, st *state) error {
	id := operation.ID(job.Name)
	return h.Client.Transact(ctx, st.group(spec), spec.Database, job.Name, job.Token, id, func(ctx context.Context, conn *pgconn.PgConn) error {
		attempt := fmt.Sprintf("%s#%016x", id, rand.Uint64())
		_, _, err := fencing.Exec(ctx, conn, insertRow, attempt, strconv.FormatUint(uint64(job.Token), 10))
		return err
	})
}

// result returns the outcome of an executed operation.
func (h *Handler) result(spec *Spec, st state, operation *jobs.Operation) (jobs.Result, error) {
	if operation.Name == operationPrepare {
		st.PreparedGroups++
	} else {
		st.Written, st.WrittenAtMillis = st.Written+1, h.Now()
	}
	encoded, err := json.Marshal(st)
	if err != nil {
		return jobs.Result{}, err
	}
	result := jobs.Result{State: encoded}
	if st.Written >= spec.Operations {
		result.Finished, result.Reason = true, reasonCompleted
	}
	return result, nil
}

// prepare creates the schema and the tables that writes need in a group.
func (h *Handler) prepare(ctx context.Context, group uint64, database string) error {
	conn, host, err := h.Client.ConnectPrimary(ctx, group, database)
	if err != nil {
		return err
	}
	defer fencing.Close(conn)
	for _, sql := range []string{createSchema, fencing.CreateFenceTable, createTable} {
		_, _, err := fencing.Exec(ctx, conn, sql)
		if _, reported := fencing.ServerError(err); err != nil && !reported {
			err = &fencing.InDoubtError{Host: host.Name, Action: sql, Err: err}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Recover implements jobs.Handler. It raises the token in the fence row first, so that a transaction of an earlier lease holder
// either was committed before or never will be.
func (h *Handler) Recover(ctx context.Context, job *jobs.Job, operation *jobs.Operation) (executed bool, result jobs.Result, err error) {
	spec, st, err := decode(job)
	if err != nil || operation.Name != operationWrite || h.DisabledGuarantee == "resume" {
		return false, jobs.Result{}, err // stop changes nothing, and prepare can be repeated
	}
	id := operation.ID(job.Name)
	var row string
	err = h.Client.Transact(ctx, st.group(&spec), spec.Database, job.Name, job.Token, "look for "+id, func(ctx context.Context, conn *pgconn.PgConn) (err error) {
		row, err = fencing.QueryValue(ctx, conn, selectRow, id+"#", id+"$")
		return err
	})
	if err != nil || row == "" {
		return false, jobs.Result{}, err
	}
	result, err = h.result(&spec, st, operation)
	return err == nil, result, err
}

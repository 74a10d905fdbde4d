package session

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestGroupFor(t *testing.T) {
	d := RouteDefaults{ReadOnly: "r", ReadWrite: "w", Group: 1}
	for _, c := range []struct {
		text       string
		assignment Assignment
		want       uint64
		wantError  bool
	}{
		{"SELECT 1", Assignment{}, 1, false},
		{"/* cluster=5 */ SELECT 1", Assignment{}, 5, false},
		{"SELECT 1", Assignment{HasGroup: true, Group: 2}, 2, false},
		{"/* cluster=2 */ SELECT 1", Assignment{HasGroup: true, Group: 2}, 2, false},
		{"/* cluster=1 */ SELECT 1", Assignment{HasGroup: true, Group: 2}, 0, true},
		{"/* cluster=0 */ SELECT 1", Assignment{HasGroup: true, Group: 2}, 0, true},
	} {
		q := ParseQuery(c.text)
		r, err := d.Route(&q, false)
		require.NoError(t, err)
		group, err := c.assignment.GroupFor("orders", &r)
		require.Equal(t, c.want, group, c.text)
		var mismatch *GroupMismatchError
		if require.Equal(t, c.wantError, errors.As(err, &mismatch), c.text); c.wantError {
			require.Equal(t, GroupMismatchError{"orders", 2, r.Group}, *mismatch)
			require.Equal(t, "home_contradicted", mismatch.Code())
		}
	}
}

func TestIsRetryable(t *testing.T) {
	for text, want := range map[string]bool{
		"INSERT INTO a VALUES (1)": true, " /* c=donate */ update a SET b = 1;": true, "-- why\nDELETE FROM a": true, "SELECT f(1)": true, "WITH x AS (DELETE FROM a RETURNING *) SELECT * FROM x": true,
		"MERGE INTO a USING b ON c WHEN MATCHED THEN DELETE ; ; ": true, "": false, "INSERT INTO a VALUES (1); INSERT INTO a VALUES (2)": false,
		"CALL f()": false, "DO $$ BEGIN COMMIT; END $$": false, "EXECUTE a": false, "BEGIN": false, "COPY a FROM STDIN": false, "SELECT pg_advisory_lock(1)": false,
		"INSERT INTO a SELECT pg_advisory_lock(1)": false, "TRUNCATE a": false, "CREATE TABLE a (b int)": false, "INSERT INTO a VALUES ('": false, "'insert'": false,
	} {
		require.Equal(t, want, IsRetryable(text), text)
	}
}

var testLimits = TenantQueueLimits{PerTenant: 10, Total: 20, BytesPerTenant: 1000, TotalBytes: 1500, MaxPauseMillis: 1000}

func TestAdmitWithinLimits(t *testing.T) {
	paused, open := Assignment{HasGroup: true, Group: 1, Paused: true, PausedSince: 100}, Assignment{HasGroup: true, Group: 2}
	for name, c := range map[string]struct {
		now           float64
		assignment    Assignment
		alreadyQueued []QueuedTransaction
		transaction   QueuedTransaction
		want          RejectReason // "": it is queued; "on": it proceeds
	}{
		"nothing is said":             {150, Assignment{}, nil, QueuedTransaction{Deadline: 900}, "on"},
		"open":                        {150, open, nil, QueuedTransaction{Deadline: 900}, "on"},
		"paused":                      {150, paused, nil, QueuedTransaction{Deadline: 900}, ""},
		"paused and its home changes": {150, Assignment{HasGroup: true, Paused: true, Undecided: true, PausedSince: 100}, nil, QueuedTransaction{Deadline: 900}, ""},
		"fenced":                      {150, Assignment{HasGroup: true, Undecided: true}, nil, QueuedTransaction{Deadline: 900}, RejectUndecided},
		"no patience":                 {150, paused, nil, QueuedTransaction{Deadline: 150}, RejectPaused},
		"paused for too long":         {1100, paused, nil, QueuedTransaction{Deadline: 9000}, RejectPaused},
		"too many":                    {150, paused, make([]QueuedTransaction, 10), QueuedTransaction{Deadline: 900}, RejectTooMany},
		"too large":                   {150, paused, []QueuedTransaction{{Bytes: 700}}, QueuedTransaction{Deadline: 900, Bytes: 301}, RejectTooManyBytes},
		"as large as may be":          {150, paused, []QueuedTransaction{{Bytes: 700}}, QueuedTransaction{Deadline: 900, Bytes: 300}, ""},
		"turned away, nothing new":    {150, open, nil, QueuedTransaction{Deadline: 900, rejectedByHost: true, rejectedUnder: open}, ""},
		"turned away, moved since":    {150, open, nil, QueuedTransaction{Deadline: 900, rejectedByHost: true, rejectedUnder: paused}, "on"},
		"turned away, no patience":    {900, open, nil, QueuedTransaction{Deadline: 900, rejectedByHost: true, rejectedUnder: open}, RejectFenced},
	} {
		ts := NewTenants()
		tenant := ts.AddSession("orders")
		for i := range c.alreadyQueued {
			c.alreadyQueued[i].Deadline = 5000
			queued, err := ts.Admit(120, tenant, paused, &c.alreadyQueued[i], testLimits)
			require.True(t, queued, err)
		}
		queued, err := ts.Admit(c.now, tenant, c.assignment, &c.transaction, testLimits)
		require.Equal(t, c.want == "", queued, name)
		if c.want != "" && c.want != "on" {
			require.NotNil(t, err, name)
			require.Equal(t, c.want, err.Reason, name)
			require.NotEmpty(t, err.Error()+err.Advice())
			require.EqualValues(t, 1, tenant.Rejected)
		} else {
			require.Nil(t, err, name)
		}
	}
	// The total limit applies across all databases.
	ts := NewTenants()
	for i := range 3 {
		tenant := ts.AddSession(string(rune('a' + i)))
		for range 10 {
			queued, err := ts.Admit(120, tenant, paused, &QueuedTransaction{Deadline: 900}, testLimits)
			require.Equal(t, i < 2, queued)
			if i == 2 {
				require.Equal(t, RejectTooMany, err.Reason)
			}
		}
	}
}

// Guards against reordering at the end of a pause: the waiting transactions are released in the order of
// their arrival, at most MaxInFlight at once, and a transaction that arrives then does not overtake them.
func TestTenantsReleaseInOrder(t *testing.T) {
	paused, open := Assignment{Paused: true, HasGroup: true, Group: 1}, Assignment{HasGroup: true, Group: 2}
	ts := NewTenants()
	tenant := ts.AddSession("orders")
	transactions := make([]QueuedTransaction, 6)
	for i := range transactions {
		transactions[i].Deadline, transactions[i].MaxInFlight = 500, 2
		assignment := paused
		if i == 5 {
			assignment = open
		}
		queued, _ := ts.Admit(10, tenant, assignment, &transactions[i], testLimits)
		require.True(t, queued, i)
	}
	require.Nil(t, ts.Next(tenant, paused))
	require.Same(t, &transactions[0], ts.Next(tenant, open))
	require.Same(t, &transactions[1], ts.Next(tenant, open))
	require.Nil(t, ts.Next(tenant, open), "two are on their way")
	queued, err := ts.Admit(11, tenant, open, &transactions[0], testLimits)
	require.False(t, queued || err != nil, "who is on the way does not wait for those behind")
	// Paused again: the transaction keeps its place.
	queued, _ = ts.Admit(11, tenant, paused, &transactions[1], testLimits)
	require.True(t, queued)
	require.True(t, ts.Complete(tenant, &transactions[0]))
	for _, want := range []int{1, 2} {
		require.Same(t, &transactions[want], ts.Next(tenant, open))
	}
	ts.Remove(tenant, &transactions[3])
	ts.Complete(tenant, &transactions[1])
	require.Same(t, &transactions[4], ts.Next(tenant, open))
	// If no group is agreed on, all are released, and are rejected when they are admitted again.
	require.Same(t, &transactions[5], ts.Next(tenant, Assignment{Undecided: true}))
	require.Zero(t, tenant.Queued())
}

func TestTenantsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := TenantQueueLimits{PerTenant: 4, Total: 6, BytesPerTenant: 50, TotalBytes: 80, MaxPauseMillis: 60}
		ts, now := NewTenants(), 0.0
		tenants := []*Tenant{ts.AddSession("a"), ts.AddSession("b")}
		assignments := []Assignment{{}, {}}
		transactions := make([]QueuedTransaction, 12)
		deadlines := map[*QueuedTransaction]float64{} // until when each queued transaction may wait
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 9).Draw(t, "time"))
			i := rapid.IntRange(0, len(transactions)-1).Draw(t, "x")
			transaction, tenantIndex := &transactions[i], i%2
			tenant := tenants[tenantIndex]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				if transaction.IsQueued() {
					continue
				}
				if !transaction.released {
					transaction.Reset()
					transaction.Deadline, transaction.Bytes, transaction.MaxInFlight = now+float64(rapid.IntRange(0, 80).Draw(t, "patience")), rapid.IntRange(0, 30).Draw(t, "bytes"), 2
					if rapid.IntRange(0, 4).Draw(t, "turned") == 0 {
						transaction.MarkRejected(assignments[tenantIndex])
					}
				}
				queued, err := ts.Admit(now, tenant, assignments[tenantIndex], transaction, limits)
				require.Equal(t, queued, transaction.IsQueued())
				if queued {
					require.Nil(t, err)
					require.True(t, assignments[tenantIndex].Paused || tenant.waiting.Len() > 0 || transaction.rejectedByHost)
					deadlines[transaction] = transaction.Deadline
					if assignments[tenantIndex].Paused {
						deadlines[transaction] = min(deadlines[transaction], assignments[tenantIndex].PausedSince+limits.MaxPauseMillis)
					}
				} else if err == nil {
					require.False(t, assignments[tenantIndex].Paused || assignments[tenantIndex].Undecided)
				} else {
					ts.Remove(tenant, transaction)
				}
			case 3:
				ts.Remove(tenant, transaction)
				delete(deadlines, transaction)
			case 4:
				previous := assignments[tenantIndex]
				assignments[tenantIndex] = Assignment{Group: uint64(rapid.IntRange(1, 2).Draw(t, "group")), HasGroup: true, Paused: rapid.Bool().Draw(t, "paused"), Undecided: rapid.IntRange(0, 4).Draw(t, "fenced") == 0, PausedSince: now}
				if previous.Paused && assignments[tenantIndex].Paused {
					assignments[tenantIndex].PausedSince = previous.PausedSince
				}
			case 5:
				if released := ts.Next(tenant, assignments[tenantIndex]); released != nil {
					require.False(t, assignments[tenantIndex].Paused)
					require.Contains(t, deadlines, released)
					require.True(t, assignments[tenantIndex].Undecided || tenant.inFlight <= 2)
					for e := tenant.waiting.Front(); e != nil; e = e.Next() {
						require.Greater(t, e.Value.(*QueuedTransaction).arrivalNumber, released.arrivalNumber)
					}
					delete(deadlines, released)
				}
			case 6:
				ts.Complete(tenant, transaction)
			case 7:
				ts.Grow(transaction, transaction.Bytes+rapid.IntRange(0, 5).Draw(t, "more"), limits)
			}
			for expired, err := ts.NextExpired(now); expired != nil; expired, err = ts.NextExpired(now) {
				require.LessOrEqual(t, deadlines[expired], now)
				require.NotNil(t, err)
				delete(deadlines, expired)
			}
			queued, bytes := 0, 0
			for transaction, deadline := range deadlines {
				require.True(t, transaction.IsQueued())
				require.Greater(t, deadline, now)
				queued, bytes = queued+1, bytes+transaction.Bytes
			}
			require.Equal(t, queued, ts.Queued())
			require.Equal(t, bytes, ts.bytes)
			require.LessOrEqual(t, queued, limits.Total)
			inFlight := 0
			for i := range transactions {
				if transactions[i].released {
					inFlight++
				}
			}
			require.Equal(t, inFlight, tenants[0].inFlight+tenants[1].inFlight)
			for _, tenant := range tenants {
				require.LessOrEqual(t, tenant.Queued(), limits.PerTenant)
			}
		}
	})
}

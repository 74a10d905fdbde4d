package session

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestGroupFor(t *testing.T) {
	d := Defaults{ReadOnly: "r", ReadWrite: "w", Group: 1}
	for _, c := range []struct {
		text string
		home Assignment
		want uint64
		bad  bool
	}{
		{"SELECT 1", Assignment{}, 1, false},
		{"/* cluster=5 */ SELECT 1", Assignment{}, 5, false},
		{"SELECT 1", Assignment{HasGroup: true, Group: 2}, 2, false},
		{"/* cluster=2 */ SELECT 1", Assignment{HasGroup: true, Group: 2}, 2, false},
		{"/* cluster=1 */ SELECT 1", Assignment{HasGroup: true, Group: 2}, 0, true},
		{"/* cluster=0 */ SELECT 1", Assignment{HasGroup: true, Group: 2}, 0, true},
	} {
		q := Scan(c.text)
		r, err := d.Route(&q, false)
		require.NoError(t, err)
		group, err := c.home.GroupFor("orders", &r)
		require.Equal(t, c.want, group, c.text)
		var he *GroupMismatchError
		if require.Equal(t, c.bad, errors.As(err, &he), c.text); c.bad {
			require.Equal(t, GroupMismatchError{"orders", 2, r.Group}, *he)
			require.Equal(t, "home_contradicted", he.Code())
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

var room = TenantQueueLimits{PerTenant: 10, Total: 20, BytesPerTenant: 1000, TotalBytes: 1500, MaxPauseMillis: 1000}

func TestAdmitWithinLimits(t *testing.T) {
	paused, open := Assignment{HasGroup: true, Group: 1, Paused: true, PausedSince: 100}, Assignment{HasGroup: true, Group: 2}
	for name, c := range map[string]struct {
		now   float64
		home  Assignment
		first []QueuedTransaction
		x     QueuedTransaction
		want  RejectReason // "": it is held; "on": it goes on
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
		ten := ts.AddSession("orders")
		for i := range c.first {
			c.first[i].Deadline = 5000
			held, err := ts.Admit(120, ten, paused, &c.first[i], room)
			require.True(t, held, err)
		}
		held, err := ts.Admit(c.now, ten, c.home, &c.x, room)
		require.Equal(t, c.want == "", held, name)
		if c.want != "" && c.want != "on" {
			require.NotNil(t, err, name)
			require.Equal(t, c.want, err.Reason, name)
			require.NotEmpty(t, err.Error()+err.Advice())
			require.EqualValues(t, 1, ten.Rejected)
		} else {
			require.Nil(t, err, name)
		}
	}
	// Over all databases.
	ts := NewTenants()
	for i := range 3 {
		ten := ts.AddSession(string(rune('a' + i)))
		for range 10 {
			held, err := ts.Admit(120, ten, paused, &QueuedTransaction{Deadline: 900}, room)
			require.Equal(t, i < 2, held)
			if i == 2 {
				require.Equal(t, RejectTooMany, err.Reason)
			}
		}
	}
}

// Guards against a pause that ends: those who waited go in the order in which they came, as many at once as may, and
// nobody who comes then overtakes them.
func TestTenantsReleaseInOrder(t *testing.T) {
	paused, open := Assignment{Paused: true, HasGroup: true, Group: 1}, Assignment{HasGroup: true, Group: 2}
	ts := NewTenants()
	ten := ts.AddSession("orders")
	xs := make([]QueuedTransaction, 6)
	for i := range xs {
		xs[i].Deadline, xs[i].MaxInFlight = 500, 2
		h := paused
		if i == 5 {
			h = open
		}
		held, _ := ts.Admit(10, ten, h, &xs[i], room)
		require.True(t, held, i)
	}
	require.Nil(t, ts.Next(ten, paused))
	require.Same(t, &xs[0], ts.Next(ten, open))
	require.Same(t, &xs[1], ts.Next(ten, open))
	require.Nil(t, ts.Next(ten, open), "two are on their way")
	held, err := ts.Admit(11, ten, open, &xs[0], room)
	require.False(t, held || err != nil, "who is on the way does not wait for those behind")
	held, _ = ts.Admit(11, ten, paused, &xs[1], room) // paused again: it keeps its place
	require.True(t, held)
	require.True(t, ts.Complete(ten, &xs[0]))
	for _, want := range []int{1, 2} {
		require.Same(t, &xs[want], ts.Next(ten, open))
	}
	ts.Remove(ten, &xs[3])
	ts.Complete(ten, &xs[1])
	require.Same(t, &xs[4], ts.Next(ten, open))
	// Fenced: all go, to be refused.
	require.Same(t, &xs[5], ts.Next(ten, Assignment{Undecided: true}))
	require.Zero(t, ten.Queued())
}

func TestTenantsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := TenantQueueLimits{PerTenant: 4, Total: 6, BytesPerTenant: 50, TotalBytes: 80, MaxPauseMillis: 60}
		ts, now := NewTenants(), 0.0
		tens := []*Tenant{ts.AddSession("a"), ts.AddSession("b")}
		homes := []Assignment{{}, {}}
		xs := make([]QueuedTransaction, 12)
		out := map[*QueuedTransaction]float64{} // until when those may wait that are held
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 9).Draw(t, "time"))
			i := rapid.IntRange(0, len(xs)-1).Draw(t, "x")
			x, at := &xs[i], i%2
			ten := tens[at]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				if x.IsQueued() {
					continue
				}
				if !x.released {
					x.Reset()
					x.Deadline, x.Bytes, x.MaxInFlight = now+float64(rapid.IntRange(0, 80).Draw(t, "patience")), rapid.IntRange(0, 30).Draw(t, "bytes"), 2
					if rapid.IntRange(0, 4).Draw(t, "turned") == 0 {
						x.MarkRejected(homes[at])
					}
				}
				held, err := ts.Admit(now, ten, homes[at], x, b)
				require.Equal(t, held, x.IsQueued())
				if held {
					require.Nil(t, err)
					require.True(t, homes[at].Paused || ten.waiting.Len() > 0 || x.rejectedByHost)
					out[x] = x.Deadline
					if homes[at].Paused {
						out[x] = min(out[x], homes[at].PausedSince+b.MaxPauseMillis)
					}
				} else if err == nil {
					require.False(t, homes[at].Paused || homes[at].Undecided)
				} else {
					ts.Remove(ten, x)
				}
			case 3:
				ts.Remove(ten, x)
				delete(out, x)
			case 4:
				was := homes[at]
				homes[at] = Assignment{Group: uint64(rapid.IntRange(1, 2).Draw(t, "group")), HasGroup: true, Paused: rapid.Bool().Draw(t, "paused"), Undecided: rapid.IntRange(0, 4).Draw(t, "fenced") == 0, PausedSince: now}
				if was.Paused && homes[at].Paused {
					homes[at].PausedSince = was.PausedSince
				}
			case 5:
				if x := ts.Next(ten, homes[at]); x != nil {
					require.False(t, homes[at].Paused)
					require.Contains(t, out, x)
					require.True(t, homes[at].Undecided || ten.inFlight <= 2)
					for e := ten.waiting.Front(); e != nil; e = e.Next() {
						require.Greater(t, e.Value.(*QueuedTransaction).order, x.order)
					}
					delete(out, x)
				}
			case 6:
				ts.Complete(ten, x)
			case 7:
				ts.Grow(x, x.Bytes+rapid.IntRange(0, 5).Draw(t, "more"), b)
			}
			for x, err := ts.NextExpired(now); x != nil; x, err = ts.NextExpired(now) {
				require.LessOrEqual(t, out[x], now)
				require.NotNil(t, err)
				delete(out, x)
			}
			held, bytes := 0, 0
			for x, until := range out {
				require.True(t, x.IsQueued())
				require.Greater(t, until, now)
				held, bytes = held+1, bytes+x.Bytes
			}
			require.Equal(t, held, ts.Queued())
			require.Equal(t, bytes, ts.bytes)
			require.LessOrEqual(t, held, b.Total)
			flying := 0
			for i := range xs {
				if xs[i].released {
					flying++
				}
			}
			require.Equal(t, flying, tens[0].inFlight+tens[1].inFlight)
			for _, ten := range tens {
				require.LessOrEqual(t, ten.Queued(), b.PerTenant)
			}
		}
	})
}

package session

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAHomeIsNotContradicted(t *testing.T) {
	d := Defaults{ReadOnly: "r", ReadWrite: "w", Group: 1}
	for _, c := range []struct {
		text string
		home Home
		want uint64
		bad  bool
	}{
		{"SELECT 1", Home{}, 1, false},
		{"/* cluster=5 */ SELECT 1", Home{}, 5, false},
		{"SELECT 1", Home{Named: true, Group: 2}, 2, false},
		{"/* cluster=2 */ SELECT 1", Home{Named: true, Group: 2}, 2, false},
		{"/* cluster=1 */ SELECT 1", Home{Named: true, Group: 2}, 0, true},
		{"/* cluster=0 */ SELECT 1", Home{Named: true, Group: 2}, 0, true},
	} {
		q := Scan(c.text)
		r, err := d.Route(&q, false)
		require.NoError(t, err)
		group, err := c.home.Place("orders", &r)
		require.Equal(t, c.want, group, c.text)
		var he *HomeError
		if require.Equal(t, c.bad, errors.As(err, &he), c.text); c.bad {
			require.Equal(t, HomeError{"orders", 2, r.Group}, *he)
			require.Equal(t, "home_contradicted", he.Code())
		}
	}
}

func TestWhatCanBeRunAgain(t *testing.T) {
	for text, want := range map[string]bool{
		"INSERT INTO a VALUES (1)": true, " /* c=donate */ update a SET b = 1;": true, "-- why\nDELETE FROM a": true, "SELECT f(1)": true, "WITH x AS (DELETE FROM a RETURNING *) SELECT * FROM x": true,
		"MERGE INTO a USING b ON c WHEN MATCHED THEN DELETE ; ; ": true, "": false, "INSERT INTO a VALUES (1); INSERT INTO a VALUES (2)": false,
		"CALL f()": false, "DO $$ BEGIN COMMIT; END $$": false, "EXECUTE a": false, "BEGIN": false, "COPY a FROM STDIN": false, "SELECT pg_advisory_lock(1)": false,
		"INSERT INTO a SELECT pg_advisory_lock(1)": false, "TRUNCATE a": false, "CREATE TABLE a (b int)": false, "INSERT INTO a VALUES ('": false, "'insert'": false,
	} {
		require.Equal(t, want, Rerunnable(text), text)
	}
}

var room = HoldBounds{Most: 10, All: 20, Bytes: 1000, AllBytes: 1500, Longest: 1000}

func TestTenantsHoldWithinBounds(t *testing.T) {
	paused, open := Home{Named: true, Group: 1, Paused: true, Since: 100}, Home{Named: true, Group: 2}
	for name, c := range map[string]struct {
		now   float64
		home  Home
		first []Held
		x     Held
		want  Why // "": it is held; "on": it goes on
	}{
		"nothing is said":             {150, Home{}, nil, Held{Deadline: 900}, "on"},
		"open":                        {150, open, nil, Held{Deadline: 900}, "on"},
		"paused":                      {150, paused, nil, Held{Deadline: 900}, ""},
		"paused and its home changes": {150, Home{Named: true, Paused: true, Fenced: true, Since: 100}, nil, Held{Deadline: 900}, ""},
		"fenced":                      {150, Home{Named: true, Fenced: true}, nil, Held{Deadline: 900}, WhyFenced},
		"no patience":                 {150, paused, nil, Held{Deadline: 150}, WhyPaused},
		"paused for too long":         {1100, paused, nil, Held{Deadline: 9000}, WhyPaused},
		"too many":                    {150, paused, make([]Held, 10), Held{Deadline: 900}, WhyMany},
		"too large":                   {150, paused, []Held{{Bytes: 700}}, Held{Deadline: 900, Bytes: 301}, WhyBytes},
		"as large as may be":          {150, paused, []Held{{Bytes: 700}}, Held{Deadline: 900, Bytes: 300}, ""},
		"turned away, nothing new":    {150, open, nil, Held{Deadline: 900, turned: true, from: open}, ""},
		"turned away, moved since":    {150, open, nil, Held{Deadline: 900, turned: true, from: paused}, "on"},
		"turned away, no patience":    {900, open, nil, Held{Deadline: 900, turned: true, from: open}, WhyClosed},
	} {
		ts := NewTenants()
		ten := ts.Come("orders")
		for i := range c.first {
			c.first[i].Deadline = 5000
			held, err := ts.Decide(120, ten, paused, &c.first[i], room)
			require.True(t, held, err)
		}
		held, err := ts.Decide(c.now, ten, c.home, &c.x, room)
		require.Equal(t, c.want == "", held, name)
		if c.want != "" && c.want != "on" {
			require.NotNil(t, err, name)
			require.Equal(t, c.want, err.Why, name)
			require.NotEmpty(t, err.Error()+err.Advice())
			require.EqualValues(t, 1, ten.Refused)
		} else {
			require.Nil(t, err, name)
		}
	}
	// Over all databases.
	ts := NewTenants()
	for i := range 3 {
		ten := ts.Come(string(rune('a' + i)))
		for range 10 {
			held, err := ts.Decide(120, ten, paused, &Held{Deadline: 900}, room)
			require.Equal(t, i < 2, held)
			if i == 2 {
				require.Equal(t, WhyMany, err.Why)
			}
		}
	}
}

// Guards against a pause that ends: those who waited go in the order in which they came, as many at once as may, and
// nobody who comes then overtakes them.
func TestTenantsLetGoInOrder(t *testing.T) {
	paused, open := Home{Paused: true, Named: true, Group: 1}, Home{Named: true, Group: 2}
	ts := NewTenants()
	ten := ts.Come("orders")
	xs := make([]Held, 6)
	for i := range xs {
		xs[i].Deadline, xs[i].Window = 500, 2
		h := paused
		if i == 5 {
			h = open
		}
		held, _ := ts.Decide(10, ten, h, &xs[i], room)
		require.True(t, held, i)
	}
	require.Nil(t, ts.Next(ten, paused))
	require.Same(t, &xs[0], ts.Next(ten, open))
	require.Same(t, &xs[1], ts.Next(ten, open))
	require.Nil(t, ts.Next(ten, open), "two are on their way")
	held, err := ts.Decide(11, ten, open, &xs[0], room)
	require.False(t, held || err != nil, "who is on the way does not wait for those behind")
	held, _ = ts.Decide(11, ten, paused, &xs[1], room) // paused again: it keeps its place
	require.True(t, held)
	require.True(t, ts.Land(ten, &xs[0]))
	for _, want := range []int{1, 2} {
		require.Same(t, &xs[want], ts.Next(ten, open))
	}
	ts.Leave(ten, &xs[3])
	ts.Land(ten, &xs[1])
	require.Same(t, &xs[4], ts.Next(ten, open))
	// Fenced: all go, to be refused.
	require.Same(t, &xs[5], ts.Next(ten, Home{Fenced: true}))
	require.Zero(t, ten.Held())
}

func TestTenantsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := HoldBounds{Most: 4, All: 6, Bytes: 50, AllBytes: 80, Longest: 60}
		ts, now := NewTenants(), 0.0
		tens := []*Tenant{ts.Come("a"), ts.Come("b")}
		homes := []Home{{}, {}}
		xs := make([]Held, 12)
		out := map[*Held]float64{} // until when those may wait that are held
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 9).Draw(t, "time"))
			i := rapid.IntRange(0, len(xs)-1).Draw(t, "x")
			x, at := &xs[i], i%2
			ten := tens[at]
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1, 2:
				if x.Waiting() {
					continue
				}
				if !x.flying {
					x.Fresh()
					x.Deadline, x.Bytes, x.Window = now+float64(rapid.IntRange(0, 80).Draw(t, "patience")), rapid.IntRange(0, 30).Draw(t, "bytes"), 2
					if rapid.IntRange(0, 4).Draw(t, "turned") == 0 {
						x.Turned(homes[at])
					}
				}
				held, err := ts.Decide(now, ten, homes[at], x, b)
				require.Equal(t, held, x.Waiting())
				if held {
					require.Nil(t, err)
					require.True(t, homes[at].Paused || ten.queue.Len() > 0 || x.turned)
					out[x] = x.Deadline
					if homes[at].Paused {
						out[x] = min(out[x], homes[at].Since+b.Longest)
					}
				} else if err == nil {
					require.False(t, homes[at].Paused || homes[at].Fenced)
				} else {
					ts.Leave(ten, x)
				}
			case 3:
				ts.Leave(ten, x)
				delete(out, x)
			case 4:
				was := homes[at]
				homes[at] = Home{Group: uint64(rapid.IntRange(1, 2).Draw(t, "group")), Named: true, Paused: rapid.Bool().Draw(t, "paused"), Fenced: rapid.IntRange(0, 4).Draw(t, "fenced") == 0, Since: now}
				if was.Paused && homes[at].Paused {
					homes[at].Since = was.Since
				}
			case 5:
				if x := ts.Next(ten, homes[at]); x != nil {
					require.False(t, homes[at].Paused)
					require.Contains(t, out, x)
					require.True(t, homes[at].Fenced || ten.flying <= 2)
					for e := ten.queue.Front(); e != nil; e = e.Next() {
						require.Greater(t, e.Value.(*Held).order, x.order)
					}
					delete(out, x)
				}
			case 6:
				ts.Land(ten, x)
			case 7:
				ts.Grow(x, x.Bytes+rapid.IntRange(0, 5).Draw(t, "more"), b)
			}
			for x, err := ts.Late(now); x != nil; x, err = ts.Late(now) {
				require.LessOrEqual(t, out[x], now)
				require.NotNil(t, err)
				delete(out, x)
			}
			held, bytes := 0, 0
			for x, until := range out {
				require.True(t, x.Waiting())
				require.Greater(t, until, now)
				held, bytes = held+1, bytes+x.Bytes
			}
			require.Equal(t, held, ts.Held())
			require.Equal(t, bytes, ts.bytes)
			require.LessOrEqual(t, held, b.All)
			flying := 0
			for i := range xs {
				if xs[i].flying {
					flying++
				}
			}
			require.Equal(t, flying, tens[0].flying+tens[1].flying)
			for _, ten := range tens {
				require.LessOrEqual(t, ten.Held(), b.Most)
			}
		}
	})
}

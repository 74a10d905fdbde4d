package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// script plays words to a tracker: a statement with the tag it got, "!" for an error, "=I" for a status.
func script(t *Tracker, words ...string) {
	for _, w := range words {
		switch {
		case w == "!":
			t.Failed()
		case w[0] == '=':
			t.Ready(w[1])
		default:
			text, tag, _ := strings.Cut(w, "->")
			q := Scan(text)
			t.Completed(&q.Statements[0], tag)
		}
	}
}

func TestSettingsFollowTransactions(t *testing.T) {
	for name, c := range map[string]struct {
		words []string
		want  string
	}{
		"commit":                      {[]string{"BEGIN", "=T", "SET a TO 1", "=T", "COMMIT->COMMIT", "=I"}, "1"},
		"rollback":                    {[]string{"SET a TO 0", "=I", "BEGIN", "=T", "SET a TO 1", "=T", "ROLLBACK", "=I"}, "0"},
		"commit of a failed block":    {[]string{"BEGIN", "SET a TO 1", "=T", "!", "=E", "COMMIT->ROLLBACK", "=I"}, ""},
		"savepoint rolled back to":    {[]string{"BEGIN", "SET a TO 1", "SAVEPOINT s", "SET a TO 2", "ROLLBACK TO s", "COMMIT->COMMIT", "=I"}, "1"},
		"an inner one":                {[]string{"BEGIN", "SAVEPOINT s", "SET a TO 1", "SAVEPOINT s", "SET a TO 2", "ROLLBACK TO s", "ROLLBACK TO s", "COMMIT->COMMIT", "=I"}, "1"},
		"released, then rolled back":  {[]string{"BEGIN", "SAVEPOINT s", "SET a TO 1", "SAVEPOINT u", "SET a TO 2", "RELEASE u", "ROLLBACK TO s", "COMMIT->COMMIT", "=I"}, ""},
		"an error healed":             {[]string{"BEGIN", "SET a TO 1", "SAVEPOINT s", "=T", "!", "=E", "ROLLBACK TO s", "=T", "COMMIT->COMMIT", "=I"}, "1"},
		"error in one query string":   {[]string{"SET a TO 1", "!", "=I"}, ""},
		"committed before the error":  {[]string{"SET a TO 1", "COMMIT->COMMIT", "SET a TO 2", "!", "=I"}, "1"},
		"local":                       {[]string{"BEGIN", "SET LOCAL a TO 1", "COMMIT->COMMIT", "=I"}, ""},
		"and chain":                   {[]string{"BEGIN", "SET a TO 1", "COMMIT->COMMIT", "=T", "SET a TO 2", "=T", "ROLLBACK", "=I"}, "1"},
		"reset rolled back":           {[]string{"SET a TO 1", "=I", "BEGIN", "RESET ALL", "ROLLBACK", "=I"}, "1"},
		"begin joins what was before": {[]string{"SET a TO 1", "BEGIN", "=T", "ROLLBACK", "=I"}, ""},
		"discard":                     {[]string{"SET a TO 1", "=I", "DISCARD ALL", "=I"}, ""},
	} {
		tr := NewTracker(NoSettings)
		script(&tr, c.words...)
		got := strings.TrimPrefix(tr.Settings().Rendering("a"), "SET a TO ")
		require.Equal(t, c.want, got, name)
		require.False(t, tr.StateUnknown(), name)
		require.False(t, tr.InBlock(), name)
	}
	tr := NewTracker(NoSettings)
	script(&tr, "BEGIN", "=T", "SET a TO 1")
	script(&tr, "=I") // it ended, and nothing seen ended it
	require.True(t, tr.StateUnknown())
	tr.Lost()
	require.Same(t, NoSettings, tr.Settings())
}

func TestChangesAreTheLeast(t *testing.T) {
	v := NoSettings.With("a", "SET a TO 1").With("role", "SET ROLE r")
	require.Equal(t, "SET a TO 1;SET ROLE r;", RestoreQuery(NoSettings, v))
	require.Equal(t, `RESET "role";RESET "a";`, RestoreQuery(v, NoSettings))
	require.Equal(t, "SET a TO 2;", RestoreQuery(v, v.With("a", "SET a TO 2")))
	require.Empty(t, RestoreQuery(v, NoSettings.With("role", "SET ROLE r").With("a", "SET a TO 1")))
	require.Same(t, NoSettings, v.With("a", "").With("role", ""))
	require.Equal(t, `RESET "app"."x""y";`, RestoreQuery(NoSettings.With(`app.x"y`, "-"), NoSettings))
	require.Equal(t, `SELECT pg_catalog.set_config('a',  E'it''s \\ so', false)`, StartupRendering("a", `it's \ so`))
	// RESET gives the connection its own default, not the session's: the next change puts that right.
	start := NoSettings.With("a", "SET a TO 7")
	tr := NewTracker(start)
	script(&tr, "SET a TO 8", "=I", "RESET a", "=I")
	require.Equal(t, "SET a TO 7;", RestoreQuery(tr.SettingsOnServer(), tr.Settings()))
	tr.Restored()
	require.Empty(t, RestoreQuery(tr.SettingsOnServer(), tr.Settings()))
}

// model is a server's settings by the book: a stack of whole copies.
type model struct {
	now   map[string]string
	stack []map[string]string
	names []string
}

func TestSettingsAgainstAModel(t *testing.T) {
	copied := func(m map[string]string) map[string]string {
		c := map[string]string{}
		for k, v := range m {
			c[k] = v
		}
		return c
	}
	rapid.Check(t, func(r *rapid.T) {
		m := model{now: map[string]string{}}
		tr := NewTracker(NoSettings)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "name")
			value := fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "value"))
			switch op := rapid.SampledFrom([]string{"set", "reset", "begin", "commit", "rollback", "savepoint", "to", "release"}).Draw(r, "op"); {
			case op == "set":
				m.now[name] = value
				script(&tr, "SET "+name+" TO "+value)
			case op == "reset":
				delete(m.now, name)
				script(&tr, "RESET "+name)
			case op == "begin" && len(m.stack) == 0:
				m.stack, m.names = append(m.stack, copied(m.now)), append(m.names, "")
				script(&tr, "BEGIN")
			case op == "commit" && len(m.stack) > 0:
				m.stack, m.names = nil, nil
				script(&tr, "COMMIT->COMMIT")
			case op == "rollback" && len(m.stack) > 0:
				m.now, m.stack, m.names = m.stack[0], nil, nil
				script(&tr, "ROLLBACK")
			case op == "savepoint" && len(m.stack) > 0:
				m.stack, m.names = append(m.stack, copied(m.now)), append(m.names, name)
				script(&tr, "SAVEPOINT "+name)
			case op == "to" || op == "release":
				at := -1
				for i := range m.names {
					if i > 0 && m.names[i] == name {
						at = i
					}
				}
				if at < 0 {
					continue
				}
				if op == "to" {
					m.now = copied(m.stack[at])
					m.stack, m.names = m.stack[:at+1], m.names[:at+1]
					script(&tr, "ROLLBACK TO "+name)
				} else {
					m.stack, m.names = m.stack[:at], m.names[:at]
					script(&tr, "RELEASE "+name)
				}
			}
			if len(m.stack) == 0 {
				script(&tr, "=I")
			} else {
				script(&tr, "=T")
			}
			for _, n := range []string{"a", "b"} {
				require.Equal(r, m.now[n], strings.TrimPrefix(tr.Settings().Rendering(n), "SET "+n+" TO "), n)
			}
			require.False(r, tr.StateUnknown())
		}
	})
}

// answers plays a server's messages, written as kind or kind:word, and returns the kinds that reach the client.
func answers(t *testing.T, p *Pipeline, words ...string) (passed string) {
	local := func() {
		for k := p.NextLocalReply(); k != 0; k = p.NextLocalReply() {
			passed += string(k)
		}
	}
	local()
	for _, w := range words {
		a := p.HandleServerMessage(w[0], strings.TrimPrefix(w[1:], ":"))
		require.False(t, a.Unexpected, "%s", w)
		if !a.Drop {
			passed += w[:1]
		}
		local()
	}
	return passed
}

func pipeline() (*Pipeline, *Catalogue, *ServerStatements) {
	c := NewCatalogue(0)
	s := NewServerStatements(2)
	p := NewPipeline(NoSettings, c)
	p.Link(s, false)
	return p, c, s
}

func (p *Pipeline) parse(name, text string) ClientAction {
	return p.Parse(name, p.catalogue.Acquire(text, []byte{0, 0}, p.Settings()))
}

func TestStatementsArePreparedWhereTheyLack(t *testing.T) {
	p, c, s := pipeline()
	require.NotEmpty(t, p.parse("a", "SELECT 1").Rename)
	p.Sync()
	require.Equal(t, "1Z", answers(t, p, "1", "Z:I"))
	// Another connection, on which it is not prepared.
	other := NewServerStatements(2)
	p.Link(other, false)
	out := p.Bind("", "a")
	require.Len(t, out.Before, 1)
	require.Equal(t, "SELECT 1", out.Before[0].Parse.Text)
	p.Execute("")
	p.Sync()
	require.Equal(t, "2CZ", answers(t, p, "1", "2", "C:SELECT 1", "Z:I"))
	// Another session prepares the same under another name: nothing is sent.
	q := NewPipeline(NoSettings, c)
	q.Link(s, false)
	require.True(t, q.parse("b", "SELECT 1").Drop)
	q.Sync()
	require.Equal(t, "1Z", answers(t, q, "Z:I"))
	require.Equal(t, 1, c.Len())
	// One name, two texts.
	require.NotEqual(t, p.Find("a"), q.Find("a"))
	q.parse("a", "SELECT 2")
	q.Sync()
	answers(t, q, "1", "Z:I")
	require.NotEqual(t, p.Find("a").Key, q.Find("a").Key)
	// A third makes the first that is not needed go.
	out = q.parse("c", "SELECT 3")
	require.Equal(t, []Injection{{Close: p.Find("a").Key}}, out.Before)
	q.Sync()
	require.Equal(t, "1Z", answers(t, q, "3", "1", "Z:I"))
	// An error before that leaves it where it was.
	q.Bind("", "none")
	out = q.parse("d", "SELECT 4")
	require.Len(t, out.Before, 1)
	closed := out.Before[0].Close
	require.False(t, s.Has(closed))
	q.Sync()
	require.Equal(t, "EZ", answers(t, q, "E:26000", "Z:I"))
	require.True(t, s.Has(closed))
	require.False(t, s.Has(KeyOf("SELECT 4", []byte{0, 0}, NoSettings)))
	q.Close()
	p.Close()
	require.Zero(t, c.Len())
	require.Zero(t, c.Bytes())
}

func TestAParseThatAnErrorSkippedIsNotRecorded(t *testing.T) {
	p, c, s := pipeline()
	p.parse("a", "SELECT 1")
	p.Bind("", "a")
	p.parse("b", "SELECT 2")
	p.CloseStatement("a")
	p.Sync()
	p.parse("c", "SELECT 3") // the next pipeline, sent ahead
	p.Sync()
	require.Equal(t, "1EZ1Z", answers(t, p, "1", "E:22012", "Z:I", "1", "Z:I"))
	require.NotNil(t, p.Find("a"))
	require.Nil(t, p.Find("b"))
	require.NotNil(t, p.Find("c"))
	require.False(t, s.Has(KeyOf("SELECT 2", []byte{0, 0}, NoSettings)))
	require.Equal(t, 2, c.Len())
	// An error whose Sync is still to come: what follows is not sent.
	p.Bind("", "a")
	require.Equal(t, "E", answers(t, p, "E:22012"))
	require.True(t, p.parse("d", "SELECT 4").Drop)
	require.True(t, p.Execute("").Drop)
	require.False(t, p.Idle())
	require.False(t, p.Sync().Drop)
	require.Equal(t, "Z", answers(t, p, "Z:I"))
	require.Nil(t, p.Find("d"))
	require.True(t, p.Idle())
	// A result that is not what it was: the statement is closed and prepared anew.
	p.Bind("", "c")
	p.Sync()
	require.Equal(t, "EZ", answers(t, p, "E:0A000", "Z:I"))
	out := p.Bind("", "c")
	require.Equal(t, p.Find("c").Key, out.Before[0].Close)
	require.Equal(t, "SELECT 3", out.Before[1].Parse.Text)
	p.Sync()
	require.Equal(t, "2Z", answers(t, p, "3", "1", "2", "Z:I"))
}

func TestExecuteAndDeallocateInQueries(t *testing.T) {
	p, _, s := pipeline()
	p.parse("a", "SELECT 1")
	p.Sync()
	answers(t, p, "1", "Z:I")
	s.Clear()
	q := Scan("SELECT 0; EXECUTE a")
	out := p.Query("SELECT 0; EXECUTE a", q)
	require.Equal(t, "SELECT 0; EXECUTE "+p.Find("a").Name(), out.Text)
	require.Len(t, out.Before, 1)
	require.Equal(t, "TDCTDCZ", answers(t, p, "1", "Z:I", "T", "D", "C:SELECT 1", "T", "D", "C:SELECT 1", "Z:I"))
	p.Query("DEALLOCATE ALL", Scan("DEALLOCATE ALL"))
	require.Equal(t, "CZ", answers(t, p, "C:DEALLOCATE ALL", "Z:I"))
	require.Zero(t, p.Len())
	require.Zero(t, s.Len())
}

func TestCopyAndOddities(t *testing.T) {
	p, _, _ := pipeline()
	p.parse("", "COPY a FROM STDIN")
	p.Bind("", "")
	p.Execute("")
	p.Sync() // ahead of the data: the server does not answer it
	require.Equal(t, "12G", answers(t, p, "1", "2", "G"))
	require.True(t, p.CopyIn())
	require.True(t, p.Sync().Drop)
	require.Equal(t, "C", answers(t, p, "C:COPY 3"))
	p.Sync()
	require.Equal(t, "Z", answers(t, p, "Z:I"))
	require.True(t, p.HandleServerMessage('C', "SELECT 1").Unexpected, "nothing is due")
	p.Sync()
	require.True(t, p.HandleServerMessage('2', "").Unexpected)
	p, _, _ = pipeline()
	p.SettingsSent()
	require.Equal(t, ServerAction{Drop: true}, p.HandleServerMessage('C', "SET"))
	require.Equal(t, ServerAction{Drop: true, Failed: true}, p.HandleServerMessage('E', "22023"))
	require.Equal(t, ServerAction{Drop: true, Injected: true, Failed: true}, p.HandleServerMessage('Z', "I"))
	require.True(t, p.Idle())
}

func TestWhatALossMeans(t *testing.T) {
	for name, c := range map[string]struct {
		open     []string // queries that were answered
		due      []string // and that were not
		readOnly bool
		unsent   bool
		state    string
		status   byte
		cycles   int
		silent   bool
	}{
		"idle":                       {silent: true, state: SQLStateSafeToRetry, status: 'I'},
		"in a block":                 {open: []string{"BEGIN"}, state: SQLStateSafeToRetry, status: 'E'},
		"a statement of a block":     {open: []string{"BEGIN"}, due: []string{"INSERT"}, state: SQLStateSafeToRetry, status: 'E', cycles: 1},
		"a commit":                   {open: []string{"BEGIN"}, due: []string{"COMMIT"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a commit that never left":   {open: []string{"BEGIN"}, due: []string{"COMMIT"}, unsent: true, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a rollback":                 {open: []string{"BEGIN"}, due: []string{"ROLLBACK"}, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a write by itself":          {due: []string{"INSERT"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a read of a read-only":      {due: []string{"SELECT 1"}, readOnly: true, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a function may write":       {due: []string{"SELECT f()"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a setting":                  {due: []string{"SET a TO 1"}, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a whole block at once":      {due: []string{"BEGIN; INSERT; COMMIT"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a begin and what came next": {due: []string{"BEGIN", "INSERT"}, state: SQLStateSafeToRetry, status: 'E', cycles: 2},
	} {
		p, _, _ := pipeline()
		p.Link(NewServerStatements(1), c.readOnly)
		for _, text := range c.open {
			p.Query(text, Scan(text))
			answers(t, p, "C:"+text, "Z:T")
		}
		for _, text := range c.due {
			p.Query(text, Scan(text))
		}
		l := p.Lose(!c.unsent)
		require.Equal(t, c.state, l.SQLState, name)
		require.Equal(t, string(c.status), string(p.Status()), name)
		require.Equal(t, c.cycles, l.Cycles, name)
		require.Equal(t, c.silent, l.Silent, name)
		require.Equal(t, c.status == 'E', p.BlockLost(), name)
	}
	// What ran is in doubt until ReadyForQuery says how its transaction ended, whatever was answered before.
	for _, c := range []struct {
		text, block string
		answers     []string
		state       string
	}{
		{"INSERT", "", []string{"C:INSERT 0 1"}, SQLStateInDoubt},
		{"COMMIT", "T", []string{"C:COMMIT"}, SQLStateInDoubt},
		{"COMMIT", "T", []string{"C:ROLLBACK"}, SQLStateSafeToRetry},
		{"INSERT", "T", []string{"C:INSERT 0 1"}, SQLStateSafeToRetry},
		{"SET a TO 1", "", []string{"C:SET"}, SQLStateSafeToRetry},
	} {
		p, _, _ := pipeline()
		if c.block != "" {
			p.Query("BEGIN", Scan("BEGIN"))
			answers(t, p, "C:BEGIN", "Z:T")
		}
		p.Query(c.text, Scan(c.text))
		answers(t, p, c.answers...)
		require.Equal(t, c.state, p.Lose(true).SQLState, "%s %v", c.text, c.answers)
		p, _, _ = pipeline()
		if c.block != "" {
			p.Query("BEGIN", Scan("BEGIN"))
			answers(t, p, "C:BEGIN", "Z:T")
		}
		p.parse("", c.text)
		p.Bind("", "")
		p.Execute("")
		p.Sync()
		answers(t, p, append([]string{"1", "2"}, c.answers...)...)
		require.Equal(t, c.state, p.Lose(true).SQLState, "extended: %s %v", c.text, c.answers)
	}
	// A pipeline whose Sync had not come: nothing can have been committed, and the rest of it is skipped.
	p, c, _ := pipeline()
	p.parse("", "INSERT")
	p.Bind("", "")
	p.Execute("")
	l := p.Lose(true)
	require.Equal(t, Loss{SQLState: SQLStateSafeToRetry, Text: l.Text}, l)
	require.True(t, p.Skipping())
	require.Zero(t, c.Len())
	p.SyncLocally()
	require.True(t, p.Idle())
}

func TestQueueIsFairAndTimely(t *testing.T) {
	var q Queue
	ws := make([]*Waiter, 4)
	for i := range ws {
		ws[i] = &Waiter{Deadline: float64(100 + i*10)}
		require.Equal(t, i < 3, q.Add(ws[i], 3))
	}
	var late []*Waiter
	note := func(w *Waiter) { late = append(late, w) }
	require.Same(t, ws[1], q.Next(105, note))
	require.Equal(t, []*Waiter{ws[0]}, late)
	require.True(t, q.Add(ws[3], 3))
	q.Expire(125, note)
	require.Equal(t, []*Waiter{ws[0], ws[2]}, late)
	require.False(t, ws[2].IsQueued())
	ws[3].Dequeue()
	require.Nil(t, q.Next(0, note))
	require.Equal(t, 50.0, WaitTimeout(80, 50, 4))
	require.Equal(t, 26.0, WaitTimeout(30, 50, 4))
	require.Equal(t, 50.0, WaitTimeout(0, 50, 4))
	require.Zero(t, WaitTimeout(3, 50, 4))
}

func TestCatalogueIsBounded(t *testing.T) {
	c := NewCatalogue(2000)
	taken := 0
	for i := range 100 {
		if c.Acquire(fmt.Sprintf("SELECT %d", i), nil, NoSettings) != nil {
			taken++
		}
	}
	require.Equal(t, taken, c.Len())
	require.Less(t, taken, 20)
	require.NotNil(t, c.Acquire("SELECT 0", nil, NoSettings), "one that is there costs nothing")
	require.NotEqual(t, KeyOf("SELECT a", nil, NoSettings), KeyOf("SELECT a", nil, NoSettings.With("search_path", "x")))
	require.NotEqual(t, KeyOf("SELECT a", []byte{1}, NoSettings), KeyOf("SELECT a\x01", nil, NoSettings))
}

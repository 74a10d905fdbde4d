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
			t.Done(&q.Statements[0], tag)
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
		tr := NewTracker(None)
		script(&tr, c.words...)
		got := strings.TrimPrefix(tr.Now().Of("a"), "SET a TO ")
		require.Equal(t, c.want, got, name)
		require.False(t, tr.Strange(), name)
		require.False(t, tr.Explicit(), name)
	}
	tr := NewTracker(None)
	script(&tr, "BEGIN", "=T", "SET a TO 1")
	script(&tr, "=I") // it ended, and nothing seen ended it
	require.True(t, tr.Strange())
	tr.Lost()
	require.Same(t, None, tr.Now())
}

func TestChangesAreTheLeast(t *testing.T) {
	v := None.With("a", "SET a TO 1").With("role", "SET ROLE r")
	require.Equal(t, "SET a TO 1;SET ROLE r;", Changes(None, v))
	require.Equal(t, `RESET "role";RESET "a";`, Changes(v, None))
	require.Equal(t, "SET a TO 2;", Changes(v, v.With("a", "SET a TO 2")))
	require.Empty(t, Changes(v, None.With("role", "SET ROLE r").With("a", "SET a TO 1")))
	require.Same(t, None, v.With("a", "").With("role", ""))
	require.Equal(t, `RESET "app"."x""y";`, Changes(None.With(`app.x"y`, "-"), None))
	require.Equal(t, `SELECT pg_catalog.set_config('a',  E'it''s \\ so', false)`, Startup("a", `it's \ so`))
	// RESET gives the connection its own default, not the session's: the next change puts that right.
	start := None.With("a", "SET a TO 7")
	tr := NewTracker(start)
	script(&tr, "SET a TO 8", "=I", "RESET a", "=I")
	require.Equal(t, "SET a TO 7;", Changes(tr.OnServer(), tr.Now()))
	tr.Restored()
	require.Empty(t, Changes(tr.OnServer(), tr.Now()))
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
		tr := NewTracker(None)
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
				require.Equal(r, m.now[n], strings.TrimPrefix(tr.Now().Of(n), "SET "+n+" TO "), n)
			}
			require.False(r, tr.Strange())
		}
	})
}

// answers plays a server's messages, written as kind or kind:word, and returns the kinds that reach the client.
func answers(t *testing.T, p *Pipeline, words ...string) (passed string) {
	local := func() {
		for k := p.Local(); k != 0; k = p.Local() {
			passed += string(k)
		}
	}
	local()
	for _, w := range words {
		a := p.Answer(w[0], strings.TrimPrefix(w[1:], ":"))
		require.False(t, a.Bad, "%s", w)
		if !a.Drop {
			passed += w[:1]
		}
		local()
	}
	return passed
}

func pipeline() (*Pipeline, *Catalogue, *Server) {
	c := NewCatalogue(0)
	s := NewServer(2)
	p := NewPipeline(None, c)
	p.Link(s, false)
	return p, c, s
}

func (p *Pipeline) parse(name, text string) Send {
	return p.Parse(name, p.catalogue.Take(text, []byte{0, 0}, p.Now()))
}

func TestStatementsArePreparedWhereTheyLack(t *testing.T) {
	p, c, s := pipeline()
	require.NotEmpty(t, p.parse("a", "SELECT 1").Rename)
	p.Sync()
	require.Equal(t, "1Z", answers(t, p, "1", "Z:I"))
	// Another connection, on which it is not prepared.
	other := NewServer(2)
	p.Link(other, false)
	out := p.Bind("", "a")
	require.Len(t, out.Before, 1)
	require.Equal(t, "SELECT 1", out.Before[0].Parse.Text)
	p.Execute("")
	p.Sync()
	require.Equal(t, "2CZ", answers(t, p, "1", "2", "C:SELECT 1", "Z:I"))
	// Another session prepares the same under another name: nothing is sent.
	q := NewPipeline(None, c)
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
	require.Equal(t, []Inject{{Close: p.Find("a").Key}}, out.Before)
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
	require.False(t, s.Has(KeyOf("SELECT 4", []byte{0, 0}, None)))
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
	require.False(t, s.Has(KeyOf("SELECT 2", []byte{0, 0}, None)))
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
	require.True(t, p.Answer('C', "SELECT 1").Bad, "nothing is due")
	p.Sync()
	require.True(t, p.Answer('2', "").Bad)
	p, _, _ = pipeline()
	p.Settings()
	require.Equal(t, Pass{Drop: true}, p.Answer('C', "SET"))
	require.Equal(t, Pass{Drop: true, Failed: true}, p.Answer('E', "22023"))
	require.Equal(t, Pass{Drop: true, Injected: true, Failed: true}, p.Answer('Z', "I"))
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
		"idle":                       {silent: true, state: StateSafe, status: 'I'},
		"in a block":                 {open: []string{"BEGIN"}, state: StateSafe, status: 'E'},
		"a statement of a block":     {open: []string{"BEGIN"}, due: []string{"INSERT"}, state: StateSafe, status: 'E', cycles: 1},
		"a commit":                   {open: []string{"BEGIN"}, due: []string{"COMMIT"}, state: StateDoubt, status: 'I', cycles: 1},
		"a commit that never left":   {open: []string{"BEGIN"}, due: []string{"COMMIT"}, unsent: true, state: StateSafe, status: 'I', cycles: 1},
		"a rollback":                 {open: []string{"BEGIN"}, due: []string{"ROLLBACK"}, state: StateSafe, status: 'I', cycles: 1},
		"a write by itself":          {due: []string{"INSERT"}, state: StateDoubt, status: 'I', cycles: 1},
		"a read of a read-only":      {due: []string{"SELECT 1"}, readOnly: true, state: StateSafe, status: 'I', cycles: 1},
		"a function may write":       {due: []string{"SELECT f()"}, state: StateDoubt, status: 'I', cycles: 1},
		"a setting":                  {due: []string{"SET a TO 1"}, state: StateSafe, status: 'I', cycles: 1},
		"a whole block at once":      {due: []string{"BEGIN; INSERT; COMMIT"}, state: StateDoubt, status: 'I', cycles: 1},
		"a begin and what came next": {due: []string{"BEGIN", "INSERT"}, state: StateSafe, status: 'E', cycles: 2},
	} {
		p, _, _ := pipeline()
		p.Link(NewServer(1), c.readOnly)
		for _, text := range c.open {
			p.Query(text, Scan(text))
			answers(t, p, "C:"+text, "Z:T")
		}
		for _, text := range c.due {
			p.Query(text, Scan(text))
		}
		l := p.Lose(!c.unsent)
		require.Equal(t, c.state, l.State, name)
		require.Equal(t, string(c.status), string(p.Status()), name)
		require.Equal(t, c.cycles, l.Cycles, name)
		require.Equal(t, c.silent, l.Silent, name)
		require.Equal(t, c.status == 'E', p.LostBlock(), name)
	}
	// What ran is in doubt until ReadyForQuery says how its transaction ended, whatever was answered before.
	for _, c := range []struct {
		text, block string
		answers     []string
		state       string
	}{
		{"INSERT", "", []string{"C:INSERT 0 1"}, StateDoubt},
		{"COMMIT", "T", []string{"C:COMMIT"}, StateDoubt},
		{"COMMIT", "T", []string{"C:ROLLBACK"}, StateSafe},
		{"INSERT", "T", []string{"C:INSERT 0 1"}, StateSafe},
		{"SET a TO 1", "", []string{"C:SET"}, StateSafe},
	} {
		p, _, _ := pipeline()
		if c.block != "" {
			p.Query("BEGIN", Scan("BEGIN"))
			answers(t, p, "C:BEGIN", "Z:T")
		}
		p.Query(c.text, Scan(c.text))
		answers(t, p, c.answers...)
		require.Equal(t, c.state, p.Lose(true).State, "%s %v", c.text, c.answers)
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
		require.Equal(t, c.state, p.Lose(true).State, "extended: %s %v", c.text, c.answers)
	}
	// A pipeline whose Sync had not come: nothing can have been committed, and the rest of it is skipped.
	p, c, _ := pipeline()
	p.parse("", "INSERT")
	p.Bind("", "")
	p.Execute("")
	l := p.Lose(true)
	require.Equal(t, Loss{State: StateSafe, Text: l.Text}, l)
	require.True(t, p.Skipping())
	require.Zero(t, c.Len())
	p.LocalSync()
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
	q.Late(125, note)
	require.Equal(t, []*Waiter{ws[0], ws[2]}, late)
	require.False(t, ws[2].Waiting())
	ws[3].Leave()
	require.Nil(t, q.Next(0, note))
	require.Equal(t, 50.0, Patience(80, 50, 4))
	require.Equal(t, 26.0, Patience(30, 50, 4))
	require.Equal(t, 50.0, Patience(0, 50, 4))
	require.Zero(t, Patience(3, 50, 4))
}

func TestCatalogueIsBounded(t *testing.T) {
	c := NewCatalogue(2000)
	taken := 0
	for i := range 100 {
		if c.Take(fmt.Sprintf("SELECT %d", i), nil, None) != nil {
			taken++
		}
	}
	require.Equal(t, taken, c.Len())
	require.Less(t, taken, 20)
	require.NotNil(t, c.Take("SELECT 0", nil, None), "one that is there costs nothing")
	require.NotEqual(t, KeyOf("SELECT a", nil, None), KeyOf("SELECT a", nil, None.With("search_path", "x")))
	require.NotEqual(t, KeyOf("SELECT a", []byte{1}, None), KeyOf("SELECT a\x01", nil, None))
}

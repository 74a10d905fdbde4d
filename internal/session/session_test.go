package session

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// replay passes steps to a tracker: a statement, optionally with "->" and its tag; "!" for an error; "=I" for
// a status.
func replay(tracker *SettingsTracker, steps ...string) {
	for _, step := range steps {
		switch {
		case step == "!":
			tracker.Failed()
		case step[0] == '=':
			tracker.Ready(step[1])
		default:
			text, tag, _ := strings.Cut(step, "->")
			q := ParseQuery(text)
			tracker.Completed(&q.Statements[0], tag)
		}
	}
}

func TestSettingsFollowTransactions(t *testing.T) {
	for name, c := range map[string]struct {
		steps []string
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
		tr := NewSettingsTracker(NoSettings)
		replay(&tr, c.steps...)
		got := strings.TrimPrefix(tr.Settings().Rendering("a"), "SET a TO ")
		require.Equal(t, c.want, got, name)
		require.False(t, tr.StateUnknown(), name)
		require.False(t, tr.InBlock(), name)
	}
	tr := NewSettingsTracker(NoSettings)
	replay(&tr, "BEGIN", "=T", "SET a TO 1")
	replay(&tr, "=I") // the block ended without a statement that ends it
	require.True(t, tr.StateUnknown())
	tr.DiscardUncommitted()
	require.Same(t, NoSettings, tr.Settings())
}

func TestRestoreQueryIsMinimal(t *testing.T) {
	v := NoSettings.With("a", "SET a TO 1").With("role", "SET ROLE r")
	require.Equal(t, "SET a TO 1;SET ROLE r;", RestoreQuery(NoSettings, v))
	require.Equal(t, `RESET "role";RESET "a";`, RestoreQuery(v, NoSettings))
	require.Equal(t, "SET a TO 2;", RestoreQuery(v, v.With("a", "SET a TO 2")))
	require.Empty(t, RestoreQuery(v, NoSettings.With("role", "SET ROLE r").With("a", "SET a TO 1")))
	require.Same(t, NoSettings, v.With("a", "").With("role", ""))
	require.Equal(t, `RESET "app"."x""y";`, RestoreQuery(NoSettings.With(`app.x"y`, "-"), NoSettings))
	require.Equal(t, `SELECT pg_catalog.set_config('a',  E'it''s \\ so', false)`, StartupRendering("a", `it's \ so`))
	// RESET sets the connection's default instead of the session's startup value. RestoreQuery corrects that.
	start := NoSettings.With("a", "SET a TO 7")
	tr := NewSettingsTracker(start)
	replay(&tr, "SET a TO 8", "=I", "RESET a", "=I")
	require.Equal(t, "SET a TO 7;", RestoreQuery(tr.SettingsOnServer(), tr.Settings()))
	tr.Restored()
	require.Empty(t, RestoreQuery(tr.SettingsOnServer(), tr.Settings()))
}

// settingsModel is a simple model of a server's settings, with a full copy for the transaction and for each
// savepoint.
type settingsModel struct {
	current        map[string]string
	snapshots      []map[string]string
	savepointNames []string
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
		m := settingsModel{current: map[string]string{}}
		tr := NewSettingsTracker(NoSettings)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "name")
			value := fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "value"))
			switch op := rapid.SampledFrom([]string{"set", "reset", "begin", "commit", "rollback", "savepoint", "to", "release"}).Draw(r, "op"); {
			case op == "set":
				m.current[name] = value
				replay(&tr, "SET "+name+" TO "+value)
			case op == "reset":
				delete(m.current, name)
				replay(&tr, "RESET "+name)
			case op == "begin" && len(m.snapshots) == 0:
				m.snapshots, m.savepointNames = append(m.snapshots, copied(m.current)), append(m.savepointNames, "")
				replay(&tr, "BEGIN")
			case op == "commit" && len(m.snapshots) > 0:
				m.snapshots, m.savepointNames = nil, nil
				replay(&tr, "COMMIT->COMMIT")
			case op == "rollback" && len(m.snapshots) > 0:
				m.current, m.snapshots, m.savepointNames = m.snapshots[0], nil, nil
				replay(&tr, "ROLLBACK")
			case op == "savepoint" && len(m.snapshots) > 0:
				m.snapshots, m.savepointNames = append(m.snapshots, copied(m.current)), append(m.savepointNames, name)
				replay(&tr, "SAVEPOINT "+name)
			case op == "to" || op == "release":
				at := -1
				for i := range m.savepointNames {
					if i > 0 && m.savepointNames[i] == name {
						at = i
					}
				}
				if at < 0 {
					continue
				}
				if op == "to" {
					m.current = copied(m.snapshots[at])
					m.snapshots, m.savepointNames = m.snapshots[:at+1], m.savepointNames[:at+1]
					replay(&tr, "ROLLBACK TO "+name)
				} else {
					m.snapshots, m.savepointNames = m.snapshots[:at], m.savepointNames[:at]
					replay(&tr, "RELEASE "+name)
				}
			}
			if len(m.snapshots) == 0 {
				replay(&tr, "=I")
			} else {
				replay(&tr, "=T")
			}
			for _, n := range []string{"a", "b"} {
				require.Equal(r, m.current[n], strings.TrimPrefix(tr.Settings().Rendering(n), "SET "+n+" TO "), n)
			}
			require.False(r, tr.StateUnknown())
		}
	})
}

// receive passes the server's messages, written as kind or kind:detail, to the pipeline, and returns the
// kinds of the messages that reach the client.
func receive(t *testing.T, p *Pipeline, messages ...string) (forwarded string) {
	drainLocalReplies := func() {
		for k := p.NextLocalReply(); k != 0; k = p.NextLocalReply() {
			forwarded += string(k)
		}
	}
	drainLocalReplies()
	for _, message := range messages {
		action := p.HandleServerMessage(message[0], strings.TrimPrefix(message[1:], ":"))
		require.False(t, action.Unexpected, "%s", message)
		if !action.Drop {
			forwarded += message[:1]
		}
		drainLocalReplies()
	}
	return forwarded
}

func newTestPipeline() (*Pipeline, *Catalogue, *ServerStatements) {
	c := NewCatalogue(0)
	s := NewServerStatements(2)
	p := NewPipeline(NoSettings, c)
	p.Link(s, false)
	return p, c, s
}

func (p *Pipeline) parse(name, text string) ClientAction {
	return p.Parse(name, p.catalogue.Acquire(text, []byte{0, 0}, p.Settings()))
}

func TestStatementsArePreparedWhereMissing(t *testing.T) {
	p, c, s := newTestPipeline()
	require.NotEmpty(t, p.parse("a", "SELECT 1").Rename)
	p.Sync()
	require.Equal(t, "1Z", receive(t, p, "1", "Z:I"))
	// On another connection the statement is not prepared yet.
	other := NewServerStatements(2)
	p.Link(other, false)
	out := p.Bind("", "a")
	require.Len(t, out.Before, 1)
	require.Equal(t, "SELECT 1", out.Before[0].Parse.Text)
	p.Execute("")
	p.Sync()
	require.Equal(t, "2CZ", receive(t, p, "1", "2", "C:SELECT 1", "Z:I"))
	// Another session prepares the same statement under another name: nothing is sent.
	q := NewPipeline(NoSettings, c)
	q.Link(s, false)
	require.True(t, q.parse("b", "SELECT 1").Drop)
	q.Sync()
	require.Equal(t, "1Z", receive(t, q, "Z:I"))
	require.Equal(t, 1, c.Len())
	// Two sessions use one name for two texts.
	require.NotEqual(t, p.Find("a"), q.Find("a"))
	q.parse("a", "SELECT 2")
	q.Sync()
	receive(t, q, "1", "Z:I")
	require.NotEqual(t, p.Find("a").Key, q.Find("a").Key)
	// A third statement evicts the least recently used one.
	out = q.parse("c", "SELECT 3")
	require.Equal(t, []Injection{{Close: p.Find("a").Key}}, out.Before)
	q.Sync()
	require.Equal(t, "1Z", receive(t, q, "3", "1", "Z:I"))
	// After an error before the injected Close, the statement is still prepared.
	q.Bind("", "none")
	out = q.parse("d", "SELECT 4")
	require.Len(t, out.Before, 1)
	closed := out.Before[0].Close
	require.False(t, s.Has(closed))
	q.Sync()
	require.Equal(t, "EZ", receive(t, q, "E:26000", "Z:I"))
	require.True(t, s.Has(closed))
	require.False(t, s.Has(KeyOf("SELECT 4", []byte{0, 0}, NoSettings)))
	q.Close()
	p.Close()
	require.Zero(t, c.Len())
	require.Zero(t, c.Bytes())
}

func TestParseSkippedByErrorIsNotRecorded(t *testing.T) {
	p, c, s := newTestPipeline()
	p.parse("a", "SELECT 1")
	p.Bind("", "a")
	p.parse("b", "SELECT 2")
	p.CloseStatement("a")
	p.Sync()
	p.parse("c", "SELECT 3") // the next pipeline, sent before the first is answered
	p.Sync()
	require.Equal(t, "1EZ1Z", receive(t, p, "1", "E:22012", "Z:I", "1", "Z:I"))
	require.NotNil(t, p.Find("a"))
	require.Nil(t, p.Find("b"))
	require.NotNil(t, p.Find("c"))
	require.False(t, s.Has(KeyOf("SELECT 2", []byte{0, 0}, NoSettings)))
	require.Equal(t, 2, c.Len())
	// After an error, what follows before the Sync is not sent.
	p.Bind("", "a")
	require.Equal(t, "E", receive(t, p, "E:22012"))
	require.True(t, p.parse("d", "SELECT 4").Drop)
	require.True(t, p.Execute("").Drop)
	require.False(t, p.Idle())
	require.False(t, p.Sync().Drop)
	require.Equal(t, "Z", receive(t, p, "Z:I"))
	require.Nil(t, p.Find("d"))
	require.True(t, p.Idle())
	// If the type of a result has changed, the statement is closed and prepared again.
	p.Bind("", "c")
	p.Sync()
	require.Equal(t, "EZ", receive(t, p, "E:0A000", "Z:I"))
	out := p.Bind("", "c")
	require.Equal(t, p.Find("c").Key, out.Before[0].Close)
	require.Equal(t, "SELECT 3", out.Before[1].Parse.Text)
	p.Sync()
	require.Equal(t, "2Z", receive(t, p, "3", "1", "2", "Z:I"))
}

func TestExecuteAndDeallocateInQueries(t *testing.T) {
	p, _, s := newTestPipeline()
	p.parse("a", "SELECT 1")
	p.Sync()
	receive(t, p, "1", "Z:I")
	s.Clear()
	q := ParseQuery("SELECT 0; EXECUTE a")
	out := p.Query("SELECT 0; EXECUTE a", q)
	require.Equal(t, "SELECT 0; EXECUTE "+p.Find("a").Name(), out.Text)
	require.Len(t, out.Before, 1)
	require.Equal(t, "TDCTDCZ", receive(t, p, "1", "Z:I", "T", "D", "C:SELECT 1", "T", "D", "C:SELECT 1", "Z:I"))
	p.Query("DEALLOCATE ALL", ParseQuery("DEALLOCATE ALL"))
	require.Equal(t, "CZ", receive(t, p, "C:DEALLOCATE ALL", "Z:I"))
	require.Zero(t, p.Len())
	require.Zero(t, s.Len())
}

func TestCopyInAndUnexpectedMessages(t *testing.T) {
	p, _, _ := newTestPipeline()
	p.parse("", "COPY a FROM STDIN")
	p.Bind("", "")
	p.Execute("")
	p.Sync() // sent before the data: the server does not answer it
	require.Equal(t, "12G", receive(t, p, "1", "2", "G"))
	require.True(t, p.CopyIn())
	require.True(t, p.Sync().Drop)
	require.Equal(t, "C", receive(t, p, "C:COPY 3"))
	p.Sync()
	require.Equal(t, "Z", receive(t, p, "Z:I"))
	require.True(t, p.HandleServerMessage('C', "SELECT 1").Unexpected, "nothing is due")
	p.Sync()
	require.True(t, p.HandleServerMessage('2', "").Unexpected)
	p, _, _ = newTestPipeline()
	p.SettingsSent()
	require.Equal(t, ServerAction{Drop: true}, p.HandleServerMessage('C', "SET"))
	require.Equal(t, ServerAction{Drop: true, Failed: true}, p.HandleServerMessage('E', "22023"))
	require.Equal(t, ServerAction{Drop: true, SettingsApplied: true, Failed: true}, p.HandleServerMessage('Z', "I"))
	require.True(t, p.Idle())
}

func TestOutcomeOfLostConnection(t *testing.T) {
	for name, c := range map[string]struct {
		answered []string // queries that were answered before the loss
		pending  []string // queries that were not answered
		readOnly bool
		unsent   bool
		state    string
		status   byte
		cycles   int
		silent   bool
	}{
		"idle":                       {silent: true, state: SQLStateSafeToRetry, status: 'I'},
		"in a block":                 {answered: []string{"BEGIN"}, state: SQLStateSafeToRetry, status: 'E'},
		"a statement of a block":     {answered: []string{"BEGIN"}, pending: []string{"INSERT"}, state: SQLStateSafeToRetry, status: 'E', cycles: 1},
		"a commit":                   {answered: []string{"BEGIN"}, pending: []string{"COMMIT"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a commit that never left":   {answered: []string{"BEGIN"}, pending: []string{"COMMIT"}, unsent: true, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a rollback":                 {answered: []string{"BEGIN"}, pending: []string{"ROLLBACK"}, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a write by itself":          {pending: []string{"INSERT"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a read of a read-only":      {pending: []string{"SELECT 1"}, readOnly: true, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a function may write":       {pending: []string{"SELECT f()"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a setting":                  {pending: []string{"SET a TO 1"}, state: SQLStateSafeToRetry, status: 'I', cycles: 1},
		"a whole block at once":      {pending: []string{"BEGIN; INSERT; COMMIT"}, state: SQLStateInDoubt, status: 'I', cycles: 1},
		"a begin and what came next": {pending: []string{"BEGIN", "INSERT"}, state: SQLStateSafeToRetry, status: 'E', cycles: 2},
	} {
		p, _, _ := newTestPipeline()
		p.Link(NewServerStatements(1), c.readOnly)
		for _, text := range c.answered {
			p.Query(text, ParseQuery(text))
			receive(t, p, "C:"+text, "Z:T")
		}
		for _, text := range c.pending {
			p.Query(text, ParseQuery(text))
		}
		loss := p.HandleConnectionLoss(!c.unsent)
		require.Equal(t, c.state, loss.SQLState, name)
		require.Equal(t, string(c.status), string(p.Status()), name)
		require.Equal(t, c.cycles, loss.PendingReadyForQuery, name)
		require.Equal(t, c.silent, loss.Silent, name)
		require.Equal(t, c.status == 'E', p.BlockLost(), name)
	}
	// Statements that ran are in doubt until a ReadyForQuery tells how their transaction ended, even if they
	// were answered.
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
		p, _, _ := newTestPipeline()
		if c.block != "" {
			p.Query("BEGIN", ParseQuery("BEGIN"))
			receive(t, p, "C:BEGIN", "Z:T")
		}
		p.Query(c.text, ParseQuery(c.text))
		receive(t, p, c.answers...)
		require.Equal(t, c.state, p.HandleConnectionLoss(true).SQLState, "%s %v", c.text, c.answers)
		p, _, _ = newTestPipeline()
		if c.block != "" {
			p.Query("BEGIN", ParseQuery("BEGIN"))
			receive(t, p, "C:BEGIN", "Z:T")
		}
		p.parse("", c.text)
		p.Bind("", "")
		p.Execute("")
		p.Sync()
		receive(t, p, append([]string{"1", "2"}, c.answers...)...)
		require.Equal(t, c.state, p.HandleConnectionLoss(true).SQLState, "extended: %s %v", c.text, c.answers)
	}
	// Without its Sync a pipeline cannot have committed anything, and the rest of it is skipped.
	p, c, _ := newTestPipeline()
	p.parse("", "INSERT")
	p.Bind("", "")
	p.Execute("")
	loss := p.HandleConnectionLoss(true)
	require.Equal(t, Loss{SQLState: SQLStateSafeToRetry, Text: loss.Text}, loss)
	require.True(t, p.Skipping())
	require.Zero(t, c.Len())
	p.SyncLocally()
	require.True(t, p.Idle())
}

func TestQueueOrderAndDeadlines(t *testing.T) {
	var q Queue
	waiters := make([]*Waiter, 4)
	for i := range waiters {
		waiters[i] = &Waiter{Deadline: float64(100 + i*10)}
		require.Equal(t, i < 3, q.Add(waiters[i], 3))
	}
	var expired []*Waiter
	recordExpired := func(w *Waiter) { expired = append(expired, w) }
	require.Same(t, waiters[1], q.Next(105, recordExpired))
	require.Equal(t, []*Waiter{waiters[0]}, expired)
	require.True(t, q.Add(waiters[3], 3))
	q.Expire(125, recordExpired)
	require.Equal(t, []*Waiter{waiters[0], waiters[2]}, expired)
	require.False(t, waiters[2].IsQueued())
	waiters[3].Dequeue()
	require.Nil(t, q.Next(0, recordExpired))
	require.Equal(t, 50.0, WaitTimeout(80, 50, 4))
	require.Equal(t, 26.0, WaitTimeout(30, 50, 4))
	require.Equal(t, 50.0, WaitTimeout(0, 50, 4))
	require.Zero(t, WaitTimeout(3, 50, 4))
}

func TestCatalogueIsBounded(t *testing.T) {
	c := NewCatalogue(2000)
	accepted := 0
	for i := range 100 {
		if c.Acquire(fmt.Sprintf("SELECT %d", i), nil, NoSettings) != nil {
			accepted++
		}
	}
	require.Equal(t, accepted, c.Len())
	require.Less(t, accepted, 20)
	require.NotNil(t, c.Acquire("SELECT 0", nil, NoSettings), "one that is there costs nothing")
	require.NotEqual(t, KeyOf("SELECT a", nil, NoSettings), KeyOf("SELECT a", nil, NoSettings.With("search_path", "x")))
	require.NotEqual(t, KeyOf("SELECT a", []byte{1}, NoSettings), KeyOf("SELECT a\x01", nil, NoSettings))
}

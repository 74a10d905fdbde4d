package session

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// heapBytes returns what the heap holds.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against bounds that count less than is held: a session prepares statements under ever new names.
func TestPreparedStatementsAreCountedAsTheyAreHeld(t *testing.T) {
	const statements = 20000
	for name, text := range map[string]string{"new texts": "SELECT payload FROM entries WHERE ref = 'n%d'", "one text": "SELECT 1"} {
		t.Run(name, func(t *testing.T) {
			c := NewCatalogue(0)
			names := NewStatementNames(c)
			before := heapBytes()
			for i := range statements {
				own := text
				if name == "new texts" {
					own = fmt.Sprintf(text, i)
				}
				names.Request(fmt.Sprint("statement", i), c.Acquire(own, []byte{0, 0}, NoSettings))
				names.Confirm()
			}
			held := heapBytes() - before
			require.LessOrEqual(t, held, c.Bytes()+c.NameBytes(), "held by %d statements", statements)
			require.Equal(t, statements, names.Len())
			names.Close()
			require.Zero(t, c.Bytes()+c.NameBytes())
		})
	}
}

// The names of statements have a bound of their own, whatever they stand for.
func TestNamesOfStatementsAreBounded(t *testing.T) {
	c := NewCatalogue(4000)
	names := NewStatementNames(c)
	accepted := 0
	for i := range 100 {
		name := fmt.Sprint("statement", i)
		if p := c.Acquire("SELECT 1", nil, NoSettings); c.HasRoomForName(name) {
			names.Request(name, p)
			accepted++
		} else {
			c.Release(p)
		}
	}
	require.Greater(t, accepted, 10)
	require.LessOrEqual(t, c.NameBytes(), 4000)
	names.DiscardLast(accepted)
	require.Zero(t, c.NameBytes())
	require.Zero(t, c.Len())
}

// Guards against settings that count for less than they hold.
func TestSettingsAreCountedAsTheyAreHeld(t *testing.T) {
	s := NoSettings
	before := heapBytes()
	for i := range 500 {
		name := fmt.Sprint("app.name", i)
		s = s.With(name, fmt.Sprintf("SET %s TO 'v'", name))
	}
	require.LessOrEqual(t, heapBytes()-before, s.Bytes())
	require.NotNil(t, s.renderings)
}

// Guards against outstanding replies, portals and savepoints that count for less than they hold.
func TestWhatAPipelineHoldsIsCountedAsItIsHeld(t *testing.T) {
	const rounds = 5000
	for name, act := range map[string]func(p *Pipeline, i int){
		"Sync":     func(p *Pipeline, _ int) { p.Sync() },
		"Describe": func(p *Pipeline, _ int) { p.DescribePortal("") },
		"Close":    func(p *Pipeline, _ int) { p.CloseStatement("") },
		"Query": func(p *Pipeline, i int) {
			text := fmt.Sprintf("SET app.n%d TO 1; %0300d", i, 0)
			p.Query(text, ParseQuery(text))
		},
		"Parse": func(p *Pipeline, i int) {
			p.Parse("", p.catalogue.Acquire(fmt.Sprintf("SELECT %d", i), []byte{0, 0}, NoSettings))
		},
		"Bind": func(p *Pipeline, i int) { p.Bind(fmt.Sprint("portal", i), "") },
		"Reject": func(p *Pipeline, i int) {
			p.Reject(true, ErrorReply{SQLState: "53200", Text: fmt.Sprintf("there is no memory for one more of %d", i)})
		},
		"savepoint": func(p *Pipeline, i int) {
			p.Completed(&Statement{Kind: Savepoint, Name: fmt.Sprint("s", i)}, "SAVEPOINT")
		},
		"savepoint with settings": func(p *Pipeline, i int) {
			if i < 200 {
				p.Completed(&Statement{Kind: Set, Name: fmt.Sprint("app.n", i), Rendering: fmt.Sprintf("SET app.n%d TO 1", i)}, "SET")
				p.Completed(&Statement{Kind: Savepoint, Name: "s"}, "SAVEPOINT")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCatalogue(0)
			before := heapBytes()
			p := NewPipeline(NoSettings, c)
			p.Link(NewServerStatements(10), false)
			p.Parse("", c.Acquire("SELECT 1", []byte{0, 0}, NoSettings))
			for i := range rounds {
				act(p, i)
			}
			held := heapBytes() - before
			const fixed = 8 << 10 // of an empty pipeline and its connection's statements
			require.LessOrEqual(t, held, p.AheadBytes()+p.RetainedBytes()+p.Settings().Bytes()+fixed)
			p.HandleConnectionLoss(true)
			require.Zero(t, p.AheadBytes()+p.RetainedBytes()+p.PendingSettingBytes()+p.SavepointBytes(nil))
			p.Close()
			require.Zero(t, c.Len())
		})
	}
}

// Guards against a queue of replies that grows with all that was ever sent, where it is never empty.
func TestQueueOfRepliesTakesTheRoomOfThoseThatArrived(t *testing.T) {
	p := NewPipeline(NoSettings, NewCatalogue(0))
	p.Link(NewServerStatements(10), false)
	for range 10 {
		p.Sync()
	}
	for range 100000 {
		p.Sync()
		require.True(t, p.HandleServerMessage(serverReadyForQuery, "T").Ready)
	}
	require.Equal(t, 10, p.ExpectedReplies())
	require.Less(t, cap(p.expected), 100)
}

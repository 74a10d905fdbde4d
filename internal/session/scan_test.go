package session

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestScanKinds(t *testing.T) {
	for text, want := range map[string][]Statement{
		"":         nil,
		" ; ;":     nil,
		"SELECT 1": {{Kind: Select}},
		"select 1; -- two\n /* a /* b */ c */ BEGIN":                {{Kind: Select}, {Kind: Begin}},
		"SELECT ';' , $$;$$, $a$;$$;$a$, E'\\';', \";\"":            {{Kind: Select}},
		"START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY": {{Kind: Begin, ReadOnly: true}},
		"begin read write":                {{Kind: Begin, Writable: true}},
		"END":                             {{Kind: Commit}},
		"COMMIT PREPARED 'x'":             {{}},
		"ABORT WORK":                      {{Kind: Rollback}},
		"ROLLBACK":                        {{Kind: Rollback}},
		"savepoint S1":                    {{Kind: Savepoint, Name: "s1"}},
		`ROLLBACK WORK TO SAVEPOINT "S1"`: {{Kind: RollbackTo, Name: "S1"}},
		"rollback to savepoint":           {{Kind: RollbackTo, Name: "savepoint"}},
		"RELEASE a":                       {{Kind: Release, Name: "a"}},
		"SET search_path = a, \"B c\"":    {{Kind: Set, Name: "search_path", Rendering: "SET search_path TO a, \"B c\""}},
		"SET SESSION Work_Mem TO '4MB'":   {{Kind: Set, Name: "work_mem", Rendering: "SET Work_Mem TO '4MB'"}},
		"SET app.user = 'o''b\\'":         {{Kind: Set, Name: "app.user", Rendering: "SET app.user TO 'o''b\\'"}},
		"SET x TO E'a\\'b\nc;'":           {{Kind: Set, Name: "x", Rendering: "SET x TO E'a\\'b\nc;'"}},
		"SET LOCAL x = 1":                 {{Kind: SetLocal, Name: "x"}},
		"SET x TO DEFAULT":                {{Kind: Reset, Name: "x"}},
		"SET x FROM CURRENT":              {{Kind: MakesSticky, Cause: CauseUnreadable}},
		"SET TIME ZONE 'Asia/Muscat'":     {{Kind: Set, Name: "timezone", Rendering: "SET TIME ZONE 'Asia/Muscat'"}},
		"SET TIME ZONE LOCAL":             {{Kind: Reset, Name: "timezone"}},
		"SET NAMES 'utf8'":                {{Kind: Set, Name: "client_encoding", Rendering: "SET NAMES 'utf8'"}},
		"SET ROLE none":                   {{Kind: Reset, Name: "role"}},
		"SET ROLE editor":                 {{Kind: Set, Name: "role", Rendering: "SET ROLE editor"}},
		"SET SESSION AUTHORIZATION bob":   {{Kind: Set, Name: "session_authorization", Rendering: "SET SESSION AUTHORIZATION bob"}},
		"SET TRANSACTION READ ONLY":       {{Kind: SetLocal}},
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY": {{Kind: Set, Name: "default_transaction_read_only", Rendering: "SET default_transaction_read_only TO on"}},
		"RESET ALL":                               {{Kind: ResetAll}},
		"RESET TIME ZONE":                         {{Kind: Reset, Name: "timezone"}},
		"DISCARD ALL":                             {{Kind: DiscardAll}},
		"DEALLOCATE PREPARE p":                    {{Kind: Deallocate, Name: "p"}},
		"DEALLOCATE ALL":                          {{Kind: DeallocateAll}},
		"PREPARE p AS SELECT 1":                   {{Kind: MakesSticky, Cause: CausePrepare}},
		"PREPARE TRANSACTION 'x'":                 {{Kind: Commit}},
		"LISTEN a":                                {{Kind: MakesSticky, Cause: CauseListen}},
		"CREATE TEMP TABLE x (a int)":             {{Kind: MakesSticky, Cause: CauseTemporary}},
		"CREATE LOCAL TEMPORARY TABLE x (a int)":  {{Kind: MakesSticky, Cause: CauseTemporary}},
		"SELECT 1 INTO TEMP x":                    {{Kind: MakesSticky, Cause: CauseTemporary}},
		"SELECT a FROM b FOR UPDATE":              {{}},
		"SELECT pg_advisory_lock(1)":              {{Kind: MakesSticky, Cause: CauseLock}},
		"SELECT pg_try_advisory_lock_shared(1)":   {{Kind: MakesSticky, Cause: CauseLock}},
		"SELECT pg_advisory_xact_lock(1)":         {{Kind: Select}},
		"SELECT set_config('a', f(1), false)":     {{Kind: MakesSticky, Cause: CauseUnreadable}},
		"SELECT set_config('a', f(1), true)":      {{Kind: Select}},
		"SELECT 'set_config(1)'":                  {{Kind: Select}},
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1": {{Kind: MakesSticky, Cause: CauseCursor}},
		"DECLARE c CURSOR FOR SELECT 1":           {{}},
		"INSERT INTO a VALUES ('x''; BEGIN')":     {{}},
		"SELECT 'open":                            {{Kind: MakesSticky, Cause: CauseUnreadable}},
		"SELECT 1 /* open":                        {{Kind: MakesSticky, Cause: CauseUnreadable}},
		"SAVEPOINT":                               {{Kind: MakesSticky, Cause: CauseUnreadable}},
		"BEGIN; SET été TO 'ü'; COMMIT":           {{Kind: Begin}, {Kind: Set, Name: "été", Rendering: "SET été TO 'ü'"}, {Kind: Commit}},
	} {
		got := ParseQuery(text).Statements
		for i := range got {
			got[i].from, got[i].to = 0, 0
		}
		require.Equal(t, want, got, "%s", text)
	}
	require.Equal(t, " c=browse,d=5 ", ParseQuery("  /* c=browse,d=5 */ SELECT 1").Comment)
	require.Len(t, ParseQuery("SELECT "+strings.Repeat("1,", 100000)+"1; BEGIN").Statements, 2)
}

func FuzzScan(f *testing.F) {
	for _, s := range []string{"SET a TO E'\\", "$a$", "u&'x", "SELECT set_config(", "/*/*", "ROLLBACK TO", "SET LOCAL", "SET a.b.", "RESET \"\""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, s := range ParseQuery(text).Statements {
			// The text that sets a value on another connection must be a single statement with the same
			// effect.
			if s.Kind == Set {
				again := ParseQuery(s.Rendering).Statements
				require.Len(t, again, 1, "%q", s.Rendering)
				require.Equal(t, s.Name, again[0].Name, "%q", s.Rendering)
				require.Equal(t, Set, again[0].Kind, "%q", s.Rendering)
			}
		}
	})
}

func TestRoute(t *testing.T) {
	d := RouteDefaults{ReadOnly: "browse", ReadWrite: "donate"}
	route := func(text string, defaultReadOnly bool) Route {
		q := ParseQuery(text)
		r, err := d.Route(&q, defaultReadOnly)
		require.NoError(t, err)
		return r
	}
	require.Equal(t, Route{Class: "browse", ReadOnly: true}, route("BEGIN READ ONLY", false))
	require.Equal(t, Route{Class: "donate"}, route("BEGIN", false))
	require.Equal(t, Route{Class: "donate"}, route("BEGIN READ WRITE", true))
	require.Equal(t, Route{Class: "browse", ReadOnly: true}, route("SELECT 1", true))
	require.Equal(t, Route{Class: "donate"}, route("SELECT 1", false))
	d.SelectsAsRead = true
	require.Equal(t, Route{Class: "browse", ReadOnly: true}, route("SELECT 1", false))
	require.Equal(t, Route{Class: "donate"}, route("SELECT 1; DELETE FROM a", false))
	require.Equal(t, Route{Class: "report", Group: 3, HasGroup: true, HasClass: true, WaitMillis: 250, MinPosition: 12.5}, route("/* c=report,cluster=3, d=250,after=12.5 */ BEGIN", false))
	require.Equal(t, Route{Class: "donate"}, route("/* mind the gap = wide */ BEGIN", false))
	for _, bad := range []string{"d=x", "after=-1", "cluster=1e9", "d=1e999"} {
		q := ParseQuery("/* " + bad + " */ BEGIN")
		_, err := d.Route(&q, false)
		require.ErrorContains(t, err, "no number that fits")
	}
}

package operator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const whole = `
log {
  level  = "warn"
  format = "json"
}
admin { listen = "unix:/tmp/a.sock" }
state { folder = "/var/lib/ashstand" }
flight {
  listen     = "127.0.0.1:1"
  host_types = ["f"]
}
sessions {
  listen      = "127.0.0.1:2"
  max_message = "2MiB"
  pool "reports" {
    database   = "orders"
    user       = "reporter"
    mode       = "session"
    patience   = "250ms"
    read_only  = "report"
    read_write = "donate"
  }
  pool "rest" {
    size        = 3
    server_life = "0s"
    read_only   = "browse"
    read_write  = "donate"
    group       = 7
  }
  user "app" { scram = "SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy" }
}
`

func TestFileIsRead(t *testing.T) {
	f, err := Parse("x.hcl", []byte(whole))
	require.NoError(t, err)
	require.Equal(t, Log{"warn", "json"}, f.Log)
	require.Equal(t, &Flight{"127.0.0.1:1", 64, []string{"f"}}, f.Flight)
	require.Equal(t, 2<<20, f.Sessions.MaxMessage)
	require.Equal(t, "session", f.Sessions.Pools[0].Mode)
	require.Equal(t, 250*time.Millisecond, f.Sessions.Pools[0].Patience)
	require.Equal(t, Pool{
		Name: "rest", Database: "*", User: "*", Mode: "transaction", Size: 3, Waiting: 100, Patience: 2 * time.Second,
		IdleInTransaction: time.Minute, ServerIdle: 10 * time.Second, Statements: 200, Pins: 4, Held: 100, Hold: 5 * time.Second, ReadOnly: "browse", ReadWrite: "donate", Group: 7,
	},
		f.Sessions.Pools[1])
	none, err := Load(filepath.Join(t.TempDir(), "none"), false)
	require.NoError(t, err)
	require.Equal(t, New(), none)
	_, err = Load(filepath.Join(t.TempDir(), "none"), true)
	require.ErrorIs(t, err, os.ErrNotExist)
	require.ErrorContains(t, f.CheckClasses(func(c string) (bool, bool) { return c == "donate", c != "report" }), `pool "reports": read_only = "report": the settings name no such class`)
	require.ErrorContains(t, f.CheckClasses(func(string) (bool, bool) { return true, true }), `read_only = "report": it takes a class of reads`)
	require.NoError(t, f.CheckClasses(func(c string) (bool, bool) { return c == "donate", true }))
}

func TestFaultsNameTheirPlace(t *testing.T) {
	for change, want := range map[string]string{
		`"warn"|"loud"`:               `x.hcl:3: log: level is "loud"; allowed is debug, info, warn, error`,
		`unix:/tmp/a.sock|10.0.0.1:4`: `x.hcl:6: admin: listen is "10.0.0.1:4"; allowed is unix:PATH or a loopback address`,
		`127.0.0.1:2"|nowhere"`:       `x.hcl:13: sessions: listen is "nowhere"; allowed is host:port`,
		`2MiB|3`:                      `x.hcl:14: sessions: max_message is "3"; allowed is a size from 64KiB to 64MiB`,
		`"session"|"statement"`:       `x.hcl:18: sessions.pool "reports": mode is "statement"; allowed is transaction, session`,
		`250ms|soon`:                  `x.hcl:19: sessions.pool "reports": patience is "soon"; allowed is a time from 1ms to 1h0m0s, such as "2s"`,
		`size        = 3|size = 0`:    `x.hcl:24: sessions.pool "rest": size is 0; allowed is a whole number from 1 to 1048576`,
		`size        = 3|size = "x"`:  `x.hcl:24: Unsuitable value type`,
		`size        = 3|sise = 3`:    `x.hcl:24: Unsupported argument: An argument named "sise" is not expected here. Did you mean "size"?`,
		`size        = 3|reserve = 8`: `x.hcl:24: sessions.pool "rest": reserve is 8; allowed is a whole number from 0 to 7`,
		`    read_only   = "browse"|`: `sessions.pool "rest": read_only is not there; allowed is the class`,
		`"reporter"|"*"|"orders"|"*"`: `sessions.pool "rest": database is "*" with user "*", as in pool "reports"`,
		`"rest" {|"rest" {` + "\n database = \"orders\"\n user = \"reporter\"" + `|"reporter"|"*"`: `never reached: pool "reports" before it`,
		`SCRAM-SHA-256$4096|md5$4096`: `x.hcl:30: sessions.user "app": scram is no verifier; allowed is SCRAM-SHA-256$iterations`,
		`/var/lib/ashstand|state`:     `x.hcl:7: state: folder is "state"; allowed is the absolute path`,
		`sessions {|sessions { {`:     `x.hcl:12: `,
	} {
		text, words := whole, strings.Split(change, "|")
		for i := 0; i+1 < len(words); i += 2 {
			require.Contains(t, text, words[i])
			text = strings.Replace(text, words[i], words[i+1], 1)
		}
		_, err := Parse("x.hcl", []byte(text))
		require.ErrorContains(t, err, want, change)
		require.NotContains(t, err.Error(), "c2FsdA", "no verifier is shown")
	}
}

const others = `
cluster {
  name   = "n1"
  listen = "127.0.0.1:7946"
  keys   = "/keys"
  probe  = "200ms"
  peer "n2" { address = "127.0.0.1:1" }
}
`

func TestClusterBlock(t *testing.T) {
	f, err := Parse("x.hcl", []byte(others))
	require.NoError(t, err)
	require.Equal(t, &Cluster{
		Name: "n1", Listen: "127.0.0.1:7946", Keys: "/keys", Members: 64, Probe: 200 * time.Millisecond,
		Peers: map[string]string{"n2": "127.0.0.1:1"},
	}, f.Cluster)
	for change, want := range map[string]string{
		`"n1"|"n 1"`:                   `x.hcl:3: cluster: name is "n 1"; allowed is a word`,
		`127.0.0.1:7946|0.0.0.0:7946`:  `x.hcl:4: cluster: listen is "0.0.0.0:7946"; allowed is the IP address at which the others reach`,
		`127.0.0.1:7946|here`:          `x.hcl:4: cluster: listen is "here"; allowed is host:port`,
		`keys   = "/keys"|`:            `x.hcl:2: cluster: keys is not there`,
		`200ms|1ms`:                    `x.hcl:6: cluster: probe is "1ms"`,
		`127.0.0.1:1"|nowhere"`:        `x.hcl:7: cluster.peer "n2": address is "nowhere"`,
		`peer "n2"|peer "n1"`:          `x.hcl:7: cluster.peer "n1": name is "n1"; allowed is the name of another pooler`,
		`probe  = "200ms"|members = 1`: `x.hcl:6: cluster: members is 1`,
		`peer "n2"|peer "n2" { address = "127.0.0.1:2" }` + "\n  peer \"n2\"": `x.hcl:8: cluster.peer "n2": address is given twice`,
		`}` + "\n" + `|lab { clock_offset = "2s" }` + "\n}":                   `lab: lab is set; allowed is nothing of it in service`,
	} {
		from, to, _ := strings.Cut(change, "|")
		text := strings.Replace(others, from, to, 1)
		if strings.Contains(to, "lab {") {
			text = others + "lab { clock_offset = \"2s\" }\n"
		}
		_, err := Parse("x.hcl", []byte(text))
		require.ErrorContains(t, err, want, text)
	}
	agreed := strings.Replace(others, "  peer", "  agreement {\n    voters = [\"n1\", \"n2\", \"n3\"]\n    folder = \"/f\"\n    lease = \"1200ms\"\n  }\n  peer \"n3\" { address = \"127.0.0.1:3\" }\n  peer", 1)
	f, err = Parse("x.hcl", []byte(agreed))
	require.NoError(t, err)
	require.Equal(t, &Agreement{
		Voters: []string{"n1", "n2", "n3"}, Folder: "/f", Lease: 1200 * time.Millisecond, Renew: 300 * time.Millisecond,
		Election: 500 * time.Millisecond, Drift: 0.01,
	}, f.Cluster.Agreement)
	for change, want := range map[string]string{
		`"n2", "n3"]|"n2"]`:                  `x.hcl:8: cluster.agreement: voters is 2 names; allowed is three or five names`,
		`"n3"]|"n1"]`:                        `voters is "n1"; allowed is each name once`,
		`"n3"]|"n9"]`:                        `voters is "n9"; allowed is this pooler's name, or that of a peer block`,
		`"/f"|"f"`:                           `x.hcl:9: cluster.agreement: folder is "f"`,
		`"1200ms"|"900ms"`:                   `renew is "300ms"; allowed is at most a quarter of lease, which is 900ms`,
		`"1200ms"|"1200ms"` + "\n drift = 2": `drift is 2; allowed is a share from 0 to 0.2`,
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := Parse("x.hcl", []byte(strings.Replace(agreed, from, to, 1)))
		require.ErrorContains(t, err, want, change)
	}
	t.Setenv(TestbedEnv, "1")
	f, err = Parse("x.hcl", []byte(others+"lab {\n  clock_offset = \"2s\"\n  clock_rate = 1.01\n  trace = \"/t\"\n}\n"))
	require.NoError(t, err)
	require.Equal(t, &Testbed{Trace: "/t", Offset: 2 * time.Second, Rate: 1.01}, f.Testbed)
}

// The jobs block is read, and so is works, its name in earlier versions, which is reported as deprecated.
func TestJobsBlock(t *testing.T) {
	with := func(blocks string) string {
		return strings.Replace(others, "  peer", "  agreement {\n    voters = [\"n1\"]\n    folder = \"/f\"\n"+blocks+"  }\n  peer", 1)
	}
	const keys = " {\n      user = \"jobber\"\n      stall = \"4s\"\n      tenure = \"1s\"\n      back_off = \"9s\"\n      pace = \"50ms\"\n      deed = \"2s\"\n    }\n"
	want := &Jobs{User: "jobber", StallTimeout: 4 * time.Second, MinTenure: time.Second, Backoff: 9 * time.Second, PollInterval: 50 * time.Millisecond, OperationTimeout: 2 * time.Second}
	f, err := Parse("x.hcl", []byte(with("    jobs"+keys)))
	require.NoError(t, err)
	require.Equal(t, want, f.Cluster.Agreement.Jobs)
	require.Empty(t, f.Deprecations)
	f, err = Parse("x.hcl", []byte(with("    works"+keys)))
	require.NoError(t, err)
	require.Equal(t, want, f.Cluster.Agreement.Jobs)
	require.Equal(t, []Deprecation{{Line: 10, Key: "cluster.agreement.works", Replacement: "cluster.agreement.jobs"}}, f.Deprecations)
	f, err = Parse("x.hcl", []byte(with("    jobs {}\n")))
	require.NoError(t, err)
	require.Equal(t, &Jobs{User: "ashstand", StallTimeout: 20 * time.Second, MinTenure: 5 * time.Second, Backoff: 30 * time.Second, PollInterval: 200 * time.Millisecond, OperationTimeout: 10 * time.Second},
		f.Cluster.Agreement.Jobs)
	for blocks, want := range map[string]string{
		"    jobs {}\n    works {}\n":                                    `x.hcl:11: cluster.agreement.jobs: works is there, too; allowed is one of both`,
		"    jobs { user = \"\" }\n":                                     `x.hcl:10: cluster.agreement.jobs: user is ""; allowed is a name of 1 to 63 characters`,
		"    works { user = \"\" }\n":                                    `x.hcl:10: cluster.agreement.works: user is ""`,
		"    jobs {\n      stall = \"3s\"\n      deed = \"2s\"\n    }\n": `x.hcl:11: cluster.agreement.jobs: stall is "3s"; allowed is at least twice deed, which is 2s`,
		"    jobs { pace = \"1ms\" }\n":                                  `cluster.agreement.jobs: pace is "1ms"; allowed is a time from 5ms`,
	} {
		_, err = Parse("x.hcl", []byte(with(blocks)))
		require.ErrorContains(t, err, want, blocks)
	}
}

func TestCostBlock(t *testing.T) {
	const text = `
cost {
  memory = "1MiB"
  kind "flash" { hosts = ["a", "b"] }
  kind "disk" { hosts = ["c"] }
}
`
	f, err := Parse("x.hcl", []byte(text))
	require.NoError(t, err)
	require.Equal(t, &Cost{Memory: 1 << 20, Span: 6 * time.Hour, Drift: 0.2, Kinds: map[string]string{"a": "flash", "b": "flash", "c": "disk"}}, f.Cost)
	require.Nil(t, New().Cost)
	for change, want := range map[string]string{
		`"1MiB"|"1"`: `x.hcl:3: cost: memory is "1"; allowed is a size from 64KiB to 256MiB`,
		`"1MiB"|"1MiB"
 span = "1s"`: `cost: span is "1s"; allowed is a time from 1m0s`,
		`"1MiB"|"1MiB"
 drift = 0`: `cost: drift is 0; allowed is a number above 0`,
		`["c"]|["a"]`:  `x.hcl:5: cost.kind "disk": hosts is "a", which kind "flash" has; allowed is each host in one kind`,
		`"disk"|"d k"`: `cost.kind "d k": name is "d k"; allowed is a word`,
	} {
		from, to, _ := strings.Cut(change, "|")
		_, err := Parse("x.hcl", []byte(strings.Replace(text, from, strings.ReplaceAll(to, `\n`, "\n"), 1)))
		require.ErrorContains(t, err, want, change)
	}
}

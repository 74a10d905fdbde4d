package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/admin"
	"ashstand/internal/cluster/jobs"
	"ashstand/internal/cost"
	"ashstand/internal/net/discovery"
	"ashstand/internal/operator"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the files of testdata/golden with what the program writes now")

// growing are the views that may get further keys; tests of their own hold the present ones, with all values set.
var growing = []string{"homes", "assignments", "works", "moves", "migrations"}

// golden compares what the program writes with the committed file, which it returns.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	want := committed(t, name, got)
	require.Equal(t, string(want), string(got), name)
	return want
}

// committed returns the committed file, after it was written anew if the flag says so.
func committed(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", "admin", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return want
}

// filler sets values to fixed ones other than zero, every exported field of a struct included, so that no key is left out.
type filler struct{ count int }

func (f *filler) next() int {
	f.count++
	return f.count
}

// filled returns a value of a type with all its exported fields set.
func filled(of reflect.Type) any {
	v := reflect.New(of)
	new(filler).fill(v.Elem())
	return v.Interface()
}

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", f.next()))
	case reflect.Interface:
		if v.NumMethod() == 0 { // errors can't be decoded, and stay nil
			v.Set(reflect.ValueOf(fmt.Sprint("any-", f.next())))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Slice:
		f.fillSlice(v)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				f.fill(v.Field(i))
			}
		}
	default:
		panic("golden: no value for the kind " + v.Kind().String())
	}
}

func (f *filler) fillSlice(v reflect.Value) {
	if v.Type().Elem().Kind() == reflect.Uint8 { // JSON that is passed on as it is
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.next()))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// serveAdmin answers at a socket of its own and returns its address.
func serveAdmin(t *testing.T, views map[string]func() any, deeds map[string]admin.Command) string {
	t.Helper()
	address := "unix:" + filepath.Join(t.TempDir(), "admin.sock")
	l, err := admin.Listen(address)
	require.NoError(t, err)
	t.Cleanup(admin.Serve(l, views, deeds).Stop)
	return address
}

// idleNode is a pooler with a list and a configuration, of which all else is off.
func idleNode() *node {
	n := &node{}
	n.list.Store(&map[string]discovery.Endpoint{
		"h1": {Name: "h1", Address: "127.0.0.1:5001", Type: "postgresql", Group: 7, Status: discovery.Active, SinceMS: 12.5, Role: "master"},
		"h2": {Name: "h2", Address: "127.0.0.1:5002", Type: "postgresql", Group: 7, Status: discovery.Draining, SinceMS: 13.5, Role: "replica"},
	})
	c := &config{Name: "pooler-1", Listen: "127.0.0.1:6001", Discovery: "127.0.0.1:7001", Settings: []byte(`{"classes":[]}`)}
	new(filler).fill(reflect.ValueOf(&c.Limits).Elem())
	c.operator = filled(reflect.TypeFor[operator.File]()).(*operator.File)
	n.cfg.Store(c)
	return n
}

// TestGoldenAdminViewsThatAreOff holds each view of a pooler on which everything optional is off, as the admin socket answers it.
func TestGoldenAdminViewsThatAreOff(t *testing.T) {
	views := idleNode().views()
	require.GreaterOrEqual(t, len(views), 10)
	address := serveAdmin(t, views, nil)
	for name := range views {
		t.Run(name, func(t *testing.T) {
			var raw []byte
			require.NoError(t, admin.Get(address, name, &raw))
			raw = bytes.ReplaceAll(raw, []byte(version()), []byte("VERSION"))
			if !slices.Contains(growing, name) {
				golden(t, "off-"+name+".json", raw)
				return
			}
			var want, got any
			require.NoError(t, json.Unmarshal(committed(t, "off-"+name+".json", raw), &want))
			require.NoError(t, json.Unmarshal(raw, &got))
			requireContained(t, name, want, got)
		})
	}
}

// TestGoldenAdminViews holds every key of each view, and that a command reads what an earlier pooler answered.
func TestGoldenAdminViews(t *testing.T) {
	types := map[string]reflect.Type{"evidence": reflect.TypeFor[costEvidence]()}
	for name, view := range idleNode().views() {
		if name != "evidence" && name != "config" && !slices.Contains(growing, name) { // config is whole in the views that are off
			types[name] = reflect.TypeOf(view())
		}
	}
	views := map[string]func() any{}
	for name, of := range types {
		views[name] = func() any { return filled(of) }
	}
	address := serveAdmin(t, views, nil)
	for name, of := range types {
		t.Run(name, func(t *testing.T) {
			var raw []byte
			require.NoError(t, admin.Get(address, name, &raw))
			readBack(t, of, golden(t, ""+name+".json", raw))
		})
	}
}

// readBack decodes committed JSON and encodes it again.
func readBack(t *testing.T, of reflect.Type, committed []byte) {
	t.Helper()
	v := reflect.New(of)
	require.NoError(t, json.Unmarshal(committed, v.Interface()))
	again, err := json.MarshalIndent(v.Interface(), "", "  ")
	require.NoError(t, err)
	require.Equal(t, string(committed), string(again)+"\n")
}

// TestGoldenAdminRequests holds what commands send, and what they read as the result.
func TestGoldenAdminRequests(t *testing.T) {
	for name, of := range map[string]reflect.Type{
		"request-work": reflect.TypeFor[jobs.Entry](),
		"request-cost": reflect.TypeFor[cost.Step](),
		"result-cost":  reflect.TypeFor[cost.PlanComparison](),
	} {
		t.Run(name, func(t *testing.T) {
			b, err := json.MarshalIndent(filled(of), "", "  ")
			require.NoError(t, err)
			readBack(t, of, golden(t, ""+name+".json", append(b, '\n')))
		})
	}
}

// TestGoldenAdminRefusals holds by which code each command that changes something is refused, and whether it comes with
// advice.
func TestGoldenAdminRefusals(t *testing.T) {
	bare, withWorks := idleNode(), idleNode()
	withWorks.others = &fellows{jobs: &jobService{handlers: map[string]jobs.Handler{}}}
	withWorks.costs = &costCollector{}
	var out bytes.Buffer
	for _, n := range []*node{bare, withWorks} {
		address := serveAdmin(t, nil, n.adminCommands())
		for _, request := range []struct{ name, body string }{
			{"cost", `{}`},
			{"cost", `{`},
			{"work", `{`},
			{"work", `{"op":"act","work":"w"}`},
			{"work", `{"op":"create","work":"w","kind":"move"}`},
			{"work", `{"op":"create","work":"w","kind":"none"}`},
			{"propose", `{"tries":3}`},
		} {
			var result any
			err := admin.Invoke(address, request.name, []byte(request.body), &result)
			var fault *admin.RemoteError
			require.True(t, errors.As(err, &fault), "%s %s: %v", request.name, request.body, err)
			require.NotEmpty(t, fault.Message)
			fmt.Fprintf(&out, "works=%t %s %s -> code=%s advice=%t\n", n.others != nil, request.name, request.body, fault.Code(), fault.Advice() != "")
		}
	}
	golden(t, "refusals.txt", out.Bytes())
}

// TestGoldenAdminCommands holds the names that the socket answers under; more may come.
func TestGoldenAdminCommands(t *testing.T) {
	n := idleNode()
	var names []string
	for name := range n.views() {
		names = append(names, "GET /"+name)
	}
	for name := range n.adminCommands() {
		names = append(names, "POST /"+name)
	}
	slices.Sort(names)
	for _, name := range strings.Fields(strings.ReplaceAll(string(committed(t, "names.txt", []byte(strings.Join(names, "\n")+"\n"))), " ", "")) {
		require.Contains(t, names, strings.Replace(name, "/", " /", 1))
	}
}

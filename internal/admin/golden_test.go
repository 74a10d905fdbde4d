package admin

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the files of testdata/golden with what the program writes now")

// golden compares what the program writes with the committed file, which it returns.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), name)
	return want
}

// codedError is an error with a code and advice, as the packages of the pooler have them.
type codedError struct{}

func (codedError) Error() string  { return "nothing fits" }
func (codedError) Code() string   { return "does_not_fit" }
func (codedError) Advice() string { return "make it smaller" }

// TestGoldenAnswers holds status, content type and body of every kind of answer, byte by byte.
func TestGoldenAnswers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.sock")
	views := map[string]func() any{
		"view": func() any {
			return map[string]any{"z": 1, "a": []string{"<x> & y"}, "m": map[string]float64{"half": 0.5}}
		},
		"unencodable": func() any { return make(chan int) },
	}
	deeds := map[string]Command{
		"echo": func(_ context.Context, body []byte) (any, error) {
			return map[string]string{"sent": string(body)}, nil
		},
		"fail":  func(context.Context, []byte) (any, error) { return nil, errors.New("it went wrong") },
		"coded": func(context.Context, []byte) (any, error) { return nil, fmt.Errorf("within: %w", codedError{}) },
	}
	s, err := listenAndServe("unix:"+path, views, deeds)
	require.NoError(t, err)
	defer s.Stop()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "unix", path)
	}}}
	var out bytes.Buffer
	for _, q := range []struct{ method, name, body string }{
		{"GET", "view", ""},
		{"GET", "unencodable", ""},
		{"GET", "none", ""},
		{"POST", "view", ""},
		{"POST", "echo", "abc"},
		{"POST", "fail", ""},
		{"POST", "coded", ""},
		{"POST", "none", ""},
		{"GET", "echo", ""},
	} {
		request, err := http.NewRequestWithContext(t.Context(), q.method, "http://pooler/"+q.name, strings.NewReader(q.body))
		require.NoError(t, err)
		r, err := client.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		fmt.Fprintf(&out, "%s /%s %q\n%d %s\n%s\n", q.method, q.name, q.body, r.StatusCode, r.Header.Get("Content-Type"), body)
	}
	golden(t, "answers.txt", out.Bytes())
}

// TestGoldenFault holds the form in which an error crosses the socket, both ways.
func TestGoldenFault(t *testing.T) {
	for name, err := range map[string]error{"fault.json": errors.New("it went wrong"), "fault-coded.json": fmt.Errorf("within: %w", codedError{})} {
		b, marshalErr := json.Marshal(NewRemoteError(err))
		require.NoError(t, marshalErr)
		committed := golden(t, name, append(b, '\n'))
		read := &RemoteError{}
		require.NoError(t, json.Unmarshal(committed, read))
		require.Equal(t, NewRemoteError(err), read)
		again, marshalErr := json.Marshal(read)
		require.NoError(t, marshalErr)
		require.Equal(t, string(committed), string(again)+"\n")
	}
}

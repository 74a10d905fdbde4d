package discovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func fresh(whole bool) *stream {
	return &stream{whole: whole, signal: make(chan struct{}, 1), lists: make(chan List, 64), failed: make(chan error, 1)}
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

var watch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
	chunk("{\"index\":43,\"snapshot\":false,\"endpoints\":[{\"name\":\"s-1\",\"addr") + chunk("ess\":\"127.0.0.9:1\",\"group\":3,\"status\":\"leaving\"}]}\n\n") +
	chunk("\n") + chunk("{\"index\":44,\"snapshot\":true,\"endpoints\":[]}\n")

// Guards against a list that is lost or doubled where the network cuts the stream.
func TestWatchCutAnywhere(t *testing.T) {
	for cut := range len(watch) {
		s := fresh(false)
		used, err := s.parse([]byte(watch[:cut]))
		require.NoError(t, err)
		_, err = s.parse([]byte(watch[used:]))
		require.NoError(t, err)
		require.Len(t, s.lists, 2, "cut at %d", cut)
		l := <-s.lists
		require.Equal(t, List{Index: 43, Endpoints: []Entry{{Name: "s-1", Address: "127.0.0.9:1", Group: 3, Status: Leaving}}}, l)
		require.True(t, (<-s.lists).Snapshot)
	}
}

func TestAnswersThatMakeNoSense(t *testing.T) {
	for _, text := range []string{"SSH-2.0\r\n\r\n", "HTTP/1.1 503 Down\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"} {
		_, err := fresh(true).parse([]byte(text))
		require.Error(t, err, text)
	}
	s := fresh(true)
	_, err := s.parse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"index\":7,\n\"snapshot\":true      }"))
	require.NoError(t, err)
	require.Len(t, s.lists, 1, "a list that is printed over lines")
}

// FuzzStream checks that no bytes of the service panic.
func FuzzStream(f *testing.F) {
	f.Add([]byte(watch))
	f.Fuzz(func(_ *testing.T, b []byte) {
		s := fresh(false)
		if used, err := s.parse(b); err == nil {
			_, _ = s.parse(b[used:])
		}
	})
}

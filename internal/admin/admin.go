// Package admin is where a running pooler answers its operators: JSON over HTTP, on a Unix socket or a loopback address
// that the operator's file names. It reads and changes nothing.
package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Server answers on one address.
type Server struct {
	http *http.Server
	path string // of a Unix socket
}

// split tells a Unix socket's path from a TCP address.
func split(listen string) (network, address string) {
	if path, ok := strings.CutPrefix(listen, "unix:"); ok {
		return "unix", path
	}
	return "tcp", listen
}

// Start listens at unix:PATH or host:port and answers GET /NAME with what views[NAME] returns, as JSON.
func Start(listen string, views map[string]func() any) (*Server, error) {
	network, address := split(listen)
	if network == "unix" {
		// A socket that a dead process left is taken over; one that answers belongs to another pooler.
		if c, err := net.DialTimeout(network, address, time.Second); err == nil {
			c.Close()
			return nil, fmt.Errorf("admin: another process answers at %s", address)
		} else if info, err := os.Stat(address); err == nil && info.Mode()&fs.ModeSocket != 0 {
			_ = os.Remove(address)
		}
	}
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &Server{}
	if network == "unix" {
		s.path = address
		if err := os.Chmod(address, 0o600); err != nil {
			l.Close()
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	mux := http.NewServeMux()
	for name, view := range views {
		mux.HandleFunc("GET /"+name, func(w http.ResponseWriter, _ *http.Request) {
			b, err := json.MarshalIndent(view(), "", "  ")
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(append(b, '\n'))
		})
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second, MaxHeaderBytes: 8 << 10}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// Stop ends it.
func (s *Server) Stop() {
	_ = s.http.Close()
	if s.path != "" {
		_ = os.Remove(s.path)
	}
}

// Get asks a running pooler for one view and reads it into out, which may be a *[]byte for the JSON itself.
func Get(listen, name string, out any) error {
	network, address := split(listen)
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, network, address)
		}}}
	r, err := c.Get("http://pooler/" + name)
	if err != nil {
		return fmt.Errorf("no pooler answers at %s: %w", listen, errors.Unwrap(err))
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: the pooler answers %s", name, r.Status)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = b
		return nil
	}
	return json.Unmarshal(b, out)
}

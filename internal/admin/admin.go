// Package admin is where a running pooler answers its operators: JSON over HTTP, on a Unix socket or a loopback address
// that the operator's file names. Views change nothing; what changes something is answered on a Unix socket alone, whose
// file says who may.
package admin

import (
	"bytes"
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

	"ashstand/internal/remedy"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Server answers on one address.
type Server struct {
	http *http.Server
	path string // of a Unix socket
}

// splitAddress tells a Unix socket's path from a TCP address.
func splitAddress(listen string) (network, address string) {
	if path, ok := strings.CutPrefix(listen, "unix:"); ok {
		return "unix", path
	}
	return "tcp", listen
}

// Command is something that operators can have done: it gets what was sent and returns what came of it.
type Command func(ctx context.Context, body []byte) (any, error)

// RemoteError is an error as a running pooler words it for its operators.
type RemoteError struct {
	Reason  string `json:"code"`
	Message string `json:"message"`
	Remedy  string `json:"advice,omitempty"`
}

// NewRemoteError takes code and advice from whatever error of the chain has them.
func NewRemoteError(err error) *RemoteError {
	f := &RemoteError{Reason: "failed", Message: err.Error()}
	if a := remedy.Find(err); a != nil {
		f.Reason, f.Remedy = a.Code(), a.Advice()
	}
	return f
}

func (f *RemoteError) Error() string {
	if f.Remedy == "" {
		return f.Message
	}
	return f.Message + "; what to do: " + f.Remedy
}

// Code is the reason in a word.
func (f *RemoteError) Code() string { return f.Reason }

// Advice says what an operator can do.
func (f *RemoteError) Advice() string { return f.Remedy }

// maxBody is the most that may be sent with a deed, in bytes.
const maxBody = 1 << 20

// Start listens at unix:PATH or host:port and answers GET /NAME with what views[NAME] returns, as JSON, and on a Unix
// socket POST /NAME with what deeds[NAME] does.
func Start(listen string, views map[string]func() any, deeds map[string]Command) (*Server, error) {
	network, address := splitAddress(listen)
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
	for name, deed := range deeds {
		if network != "unix" {
			break
		}
		mux.HandleFunc("POST /"+name, func(w http.ResponseWriter, q *http.Request) {
			body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
			var out any
			if err == nil {
				out, err = deed(q.Context(), body)
			}
			if err != nil {
				b, _ := json.Marshal(NewRemoteError(err))
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write(append(b, '\n'))
				return
			}
			b, _ := json.Marshal(out)
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
	b, err := call(listen, http.MethodGet, name, nil)
	if err != nil {
		return err
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = b
		return nil
	}
	return json.Unmarshal(b, out)
}

// Invoke has a running pooler do something and reads what came of it into out.
func Invoke(listen, name string, body []byte, out any) error {
	if network, _ := splitAddress(listen); network != "unix" {
		return fmt.Errorf("%s is done through a Unix socket alone; the pooler answers at %s", name, listen)
	}
	b, err := call(listen, http.MethodPost, name, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

func call(listen, method, name string, body []byte) ([]byte, error) {
	network, address := splitAddress(listen)
	c := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: 2 * time.Second}).DialContext(ctx, network, address)
		},
	}}
	q, err := http.NewRequest(method, "http://pooler/"+name, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r, err := c.Do(q)
	if err != nil {
		return nil, fmt.Errorf("no pooler answers at %s: %w", listen, errors.Unwrap(err))
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		return nil, err
	}
	if r.StatusCode == http.StatusConflict {
		f := &RemoteError{}
		if json.Unmarshal(b, f) != nil || f.Message == "" {
			f = &RemoteError{Reason: "failed", Message: strings.TrimSpace(string(b))}
		}
		return nil, f
	}
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: the pooler answers %s", name, r.Status)
	}
	return b, nil
}

// Package admin is the interface between a running pooler and its operators: JSON over HTTP, on a Unix socket or a loopback
// address that the operator's file names. Views are read with GET and change nothing. Commands, which change something, are
// sent with POST and accepted on a Unix socket alone, whose file mode says who may connect.
//
// The server's goroutine belongs to Server, whose Stop waits for it. The state that views and commands read and change belongs
// to the caller of Serve.
package admin

import (
	"context"
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

const (
	unixNetwork = "unix"
	unixPrefix  = unixNetwork + ":"

	maxBody        = 1 << 20 // bytes that may be sent with a command
	maxHeaderBytes = 8 << 10
	socketMode     = 0o600

	takeoverTimeout = time.Second // for another process to accept a connection on the socket
	headerTimeout   = 2 * time.Second
	writeTimeout    = 10 * time.Second
)

// Command is an action that operators can request: it gets the request's body and returns the result, which is sent as JSON.
type Command func(ctx context.Context, body []byte) (any, error)

// Server answers on one address.
type Server struct {
	http *http.Server
	path string        // of a Unix socket; empty for TCP
	done chan struct{} // closed once the server's goroutine has ended
}

// splitAddress returns the network and address of what the operator's file names: unix:PATH or host:port.
func splitAddress(listen string) (network, address string) {
	if path, ok := strings.CutPrefix(listen, unixPrefix); ok {
		return unixNetwork, path
	}
	return "tcp", listen
}

// Listener is an address for operators that is open and not served yet: connections wait in its queue.
type Listener struct {
	net.Listener
	isUnix bool
}

// Listen opens unix:PATH or host:port.
func Listen(address string) (*Listener, error) {
	network, path := splitAddress(address)
	l, err := openListener(network, path)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: l, isUnix: network == unixNetwork}, nil
}

// Serve answers GET /NAME with what views[NAME] returns, as JSON, and on a Unix socket POST /NAME with the result of
// commands[NAME]. The listener belongs to the server.
func Serve(l *Listener, views map[string]func() any, commands map[string]Command) *Server {
	mux := http.NewServeMux()
	for name, view := range views {
		mux.HandleFunc("GET /"+name, viewHandler(view))
	}
	s := &Server{done: make(chan struct{})}
	if l.isUnix {
		s.path = l.Addr().String()
		for name, command := range commands {
			mux.HandleFunc("POST /"+name, commandHandler(command))
		}
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l) // ErrServerClosed after Stop; until then the listener is this process's own
	}()
	return s
}

func openListener(network, address string) (net.Listener, error) {
	if network == unixNetwork {
		if err := removeStaleSocket(address); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	if network == unixNetwork {
		if err := os.Chmod(address, socketMode); err != nil {
			l.Close()
			return nil, &ListenError{Address: address, Err: err}
		}
	}
	return l, nil
}

// removeStaleSocket removes a socket that a dead process left; one that accepts connections belongs to another pooler.
func removeStaleSocket(path string) error {
	c, err := net.DialTimeout(unixNetwork, path, takeoverTimeout)
	if err == nil {
		c.Close()
		return &AddressInUseError{Address: path}
	}
	if info, err := os.Stat(path); err == nil && info.Mode()&fs.ModeSocket != 0 {
		_ = os.Remove(path) // else listening fails, and says why
	}
	return nil
}

func viewHandler(view func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		b, err := json.MarshalIndent(view(), "", "  ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(append(b, '\n')) // fails where the client has closed the connection
	}
}

func commandHandler(command Command) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		var result any
		if err == nil {
			result, err = command(r.Context(), body)
		}
		if err != nil {
			b, _ := json.Marshal(NewRemoteError(err)) // strings alone
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write(append(b, '\n'))
			return
		}
		b, _ := json.Marshal(result)
		_, _ = w.Write(append(b, '\n'))
	}
}

// Stop closes the listener and all connections, waits for the server's goroutine and removes the socket.
func (s *Server) Stop() {
	_ = s.http.Close()
	<-s.done
	if s.path != "" {
		_ = os.Remove(s.path)
	}
}

package admin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	maxAnswer      = 64 << 20 // bytes
	requestTimeout = 10 * time.Second
	dialTimeout    = 2 * time.Second
)

// Get reads a view of a running pooler into out, which may be a *[]byte for the JSON itself.
func Get(listen, name string, out any) error {
	b, err := send(listen, http.MethodGet, name, nil)
	if err != nil {
		return err
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = b
		return nil
	}
	return json.Unmarshal(b, out)
}

// Invoke sends a command to a running pooler and reads the result into out.
func Invoke(listen, name string, body []byte, out any) error {
	if network, _ := splitAddress(listen); network != unixNetwork {
		return &UnixSocketRequiredError{Command: name, Address: listen}
	}
	b, err := send(listen, http.MethodPost, name, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}

func send(listen, method, name string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "http://pooler/"+name, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := newClient(listen).Do(request)
	if err != nil {
		return nil, &UnreachableError{Address: listen, Err: errors.Unwrap(err)}
	}
	defer response.Body.Close()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return b, nil
	case http.StatusConflict:
		return nil, readRemoteError(b)
	default:
		return nil, &StatusError{Name: name, Status: response.Status}
	}
}

// newClient returns a client that reaches the pooler, whatever host a URL names.
func newClient(listen string) *http.Client {
	network, address := splitAddress(listen)
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
	}}
}

func readRemoteError(b []byte) *RemoteError {
	e := &RemoteError{}
	if json.Unmarshal(b, e) != nil || e.Message == "" {
		return &RemoteError{Reason: failedCode, Message: strings.TrimSpace(string(b))}
	}
	return e
}

package transport

// ListenError reports an address at which the sockets cannot be opened.
type ListenError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *ListenError) Error() string { return "cluster: listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Code is a stable identifier of the error.
func (e *ListenError) Code() string { return "cluster_listen" }

// Advice tells an operator how to resolve the error.
func (e *ListenError) Advice() string {
	return "Set listen in the cluster block to an address of this machine that no other process uses, for TCP and UDP alike."
}

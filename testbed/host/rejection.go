package host

import "time"

// readCheckInterval is the pace at which a replica that waits for its log looks at its position.
const readCheckInterval = 5 * time.Millisecond

// isRejection reports whether an SQLSTATE says that a statement was rejected before anything of it ran.
func isRejection(state string) bool { return state == "25006" || state == "72000" || state == "53300" }

// observeRejection tells of a statement that ended with a fault before anything of a result was sent.
func (c *Cluster) observeRejection(host, text string, f *fault) {
	if o := c.rejected.Load(); o != nil && isRejection(f.state) {
		(*o)(host, text)
	}
}

// checkRead rejects a read for which the host, as a replica, lags too far. nil: it may run.
func (h *Host) checkRead(text string) *fault {
	check := h.cluster.readCheck.Load()
	if check == nil {
		return nil
	}
	needed, wait, ok := (*check)(text)
	if !ok {
		return nil
	}
	for end := time.Now().Add(wait); ; time.Sleep(readCheckInterval) {
		position, isPrimary := h.stand()
		if isPrimary || position >= needed {
			return nil
		}
		if !time.Now().Before(end) {
			return &fault{"72000", "the replica has not caught up to what the read must see"}
		}
	}
}

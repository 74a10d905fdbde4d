package loop

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// ThrottledLog keeps a line that one cause can bring a thousand times a second down to one a second.
type ThrottledLog struct {
	mu          sync.Mutex
	nextAllowed time.Time
	suppressed  int
}

// Printf logs a line, or counts it for the next one that is logged.
func (r *ThrottledLog) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.nextAllowed) {
		r.suppressed++
		return
	}
	if r.suppressed > 0 {
		format, args = format+" (and %d more like it)", append(args, r.suppressed)
	}
	slog.Warn(fmt.Sprintf(format, args...))
	r.nextAllowed, r.suppressed = now.Add(time.Second), 0
}

package loop

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// Rarely keeps a line that one cause can bring a thousand times a second down to one a second.
type Rarely struct {
	mu    sync.Mutex
	next  time.Time
	added int
}

// Printf logs a line, or counts it for the next one that is logged.
func (r *Rarely) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.next) {
		r.added++
		return
	}
	if r.added > 0 {
		format, args = format+" (and %d more like it)", append(args, r.added)
	}
	slog.Warn(fmt.Sprintf(format, args...))
	r.next, r.added = now.Add(time.Second), 0
}

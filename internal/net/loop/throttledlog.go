package loop

import (
	"fmt"
	"log/slog"
	"sync"
	"time"
)

// throttleInterval is the minimum time between two lines of a ThrottledLog.
const throttleInterval = time.Second

// ThrottledLog limits a warning to one line per second, for causes that can occur a thousand times a second. Its zero value is
// ready to use. It is safe for concurrent use.
type ThrottledLog struct {
	mu          sync.Mutex // guards nextAllowed and suppressed
	nextAllowed time.Time
	suppressed  int
}

// Warn logs a constant message with attributes. If a line was logged less than throttleInterval ago, it only counts the message;
// the next line that is logged has the count as its attribute suppressed.
func (l *ThrottledLog) Warn(message string, attributes ...any) {
	if suppressed, ok := l.allow(time.Now()); ok {
		if suppressed > 0 {
			attributes = append(attributes, "suppressed", suppressed)
		}
		slog.Warn(message, attributes...)
	}
}

// Printf is like Warn, but formats its message.
func (l *ThrottledLog) Printf(format string, args ...any) {
	if suppressed, ok := l.allow(time.Now()); ok {
		if suppressed > 0 {
			format, args = format+" (and %d more like it)", append(args, suppressed)
		}
		slog.Warn(fmt.Sprintf(format, args...))
	}
}

// allow reports whether a line may be logged now, and how many were suppressed before it.
func (l *ThrottledLog) allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextAllowed) {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.nextAllowed, l.suppressed = now.Add(throttleInterval), 0
	return suppressed, true
}

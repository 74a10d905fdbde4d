package edge

import (
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"ashstand/internal/metrics"
	"ashstand/internal/sqlcomment"
	"ashstand/routing"
)

// Rate limits for each kind of log line about requests that were not served.
const (
	requestLinesPerSecond = 20
	requestLineBurst      = 200
)

// requestLog logs each attempt and each request that was not served. The rate of lines is limited: the next
// line of the same kind says how many were suppressed before it.
type requestLog struct{ attempts, finalAnswers, invalid rateLimitedLog }

func newRequestLog() *requestLog {
	l := &requestLog{}
	for _, kind := range []*rateLimitedLog{&l.attempts, &l.finalAnswers, &l.invalid} {
		kind.limiter = rate.NewLimiter(requestLinesPerSecond, requestLineBurst)
	}
	return l
}

// rateLimitedLog limits the rate of one kind of log line.
type rateLimitedLog struct {
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

// allow reports whether a line may be written at the given time, in Unix milliseconds, and counts a line that
// may not.
func (l *rateLimitedLog) allow(nowMillis float64) bool {
	if l.limiter.AllowN(time.UnixMicro(int64(nowMillis*1e3)), 1) {
		return true
	}
	l.suppressed.Add(1)
	return false
}

func (l *rateLimitedLog) info(message string, attributes ...any) {
	if n := l.suppressed.Swap(0); n > 0 {
		attributes = append(attributes, "suppressed", n)
	}
	slog.Info(message, attributes...)
}

// millis formats a time or a position in milliseconds for a log line, to the microsecond.
func millis(ms float64) string { return strconv.FormatFloat(ms, 'f', 3, 64) }

// logAttempt logs an attempt that did not serve the request.
func (h *attemptHistory) logAttempt(u *unservedAttempt, reply *Reply) {
	now, l := h.edge.clock.Now(), &h.edge.requestLog.attempts
	if !l.allow(now) {
		return
	}
	class := h.class()
	l.info("request: an attempt was not served",
		"request", h.statement.ID, "class", h.statement.Class, "access", class.Access.String(), "effect", class.Idempotency.String(),
		"host", u.host, "attempt", u.number, "ended", u.code.String(), "execution", u.execution.String(), "detail", reply.Detail,
		"role", reply.Answer.Role, "position", millis(u.position), "needed", millis(u.neededPosition), "written", millis(u.writtenAt),
		"elapsed_ms", millis(now-h.startedAt), "remaining_ms", millis(h.deadline-now))
}

// logFinal logs a final answer whose verdict is not Served.
func (h *attemptHistory) logFinal(result *Result, reason string, cause routing.EndReason) {
	now, l := h.edge.clock.Now(), &h.edge.requestLog.finalAnswers
	if !l.allow(now) {
		return
	}
	class := h.class()
	l.info("request: ended without a result",
		"request", h.statement.ID, "class", h.statement.Class, "access", class.Access.String(), "effect", class.Idempotency.String(),
		"verdict", result.Verdict.String(), "reason", reason, "decided", cause.String(), "attempts", h.attemptCount, "may_have_run", h.mayHaveRun,
		"elapsed_ms", millis(now-h.startedAt), "remaining_ms", millis(h.deadline-now))
}

// logInvalid logs an invalid request.
func (e *Edge) logInvalid(s *sqlcomment.Statement, detail string) {
	if l := &e.requestLog.invalid; l.allow(e.clock.Now()) {
		l.info("request: invalid", "request", s.ID, "class", s.Class, "detail", detail)
	}
}

// RecordRejection counts and logs the rejection of a request by a front or by the limits, before any attempt.
func (e *Edge) RecordRejection(reason metrics.RejectReason, attributes ...any) {
	e.metrics.Rejected(reason)
	if l := &e.requestLog.finalAnswers; l.allow(e.clock.Now()) {
		l.info("request: rejected before any attempt", append([]any{"reason", reason.String()}, attributes...)...)
	}
}

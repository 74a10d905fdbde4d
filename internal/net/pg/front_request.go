package pg

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/panjf2000/gnet/v2"

	"ashstand/internal/edge"
	"ashstand/internal/lifecycle"
	"ashstand/internal/metrics"
	"ashstand/internal/sqlcomment"
)

// flushPollInterval is the interval at which the front checks whether a client has received its answer.
const flushPollInterval = 10 * time.Millisecond

// handleQuery starts a request. Texts that are not requests, and requests that may not start, are answered
// immediately. The kernel is asked whether the client has disconnected only for a request that would start: a client that sends
// thousands of other commands would cost a system call for each.
func (h *client) handleQuery(c gnet.Conn, text string) gnet.Action {
	f := h.front
	h.hasRequested = true
	h.requestCount++
	h.lastActive = f.edge.Now()
	facts := lifecycle.StartFacts{Phase: f.edge.Phase(), Ready: f.edge.Ready(), SlowReaderDrained: f.isSlowReaderDrained(h)}
	if out, answered := h.answerLocally(text, lifecycle.MayStart(facts)); answered {
		h.write(c, appendReady(out))
		return gnet.None
	}
	statement, err := sqlcomment.Parse(text)
	if err != nil {
		h.invalidRequests++
		h.write(c, appendReady(appendError(nil, severityError, sqlStateProtocolViolation, err.Error(), "")))
		return gnet.None
	}
	if facts.ClientDisconnected = h.wire.PeerClosed(); !lifecycle.MayStart(facts).OK() { // no client waits for the answer
		return h.closeAction(lifecycle.ClosedByClient)
	}
	if rejected := f.edge.Begin(&statement); rejected != nil {
		h.write(c, appendReady(encodeResult(rejected)))
		return gnet.None
	}
	var ctx context.Context
	ctx, h.cancelRequest = context.WithCancel(h.ctx)
	h.requestInFlight = true
	go h.serve(ctx, c, statement, h.lastActive)
	return gnet.None
}

// answerLocally answers a text that needs no host, or rejects a request that may not start.
func (h *client) answerLocally(text string, decision lifecycle.Decision) (out []byte, answered bool) {
	word, _, _ := strings.Cut(strings.Trim(text, " \t\r\n;"), " ")
	word = strings.ToUpper(word)
	switch {
	case decision.Reason == lifecycle.NotReady:
		h.front.edge.RecordRejection(metrics.RejectNotReady, "connection", h.number)
		return encodeUntried(severityError, stateCannotConnectNow, "no list of hosts is held yet", ""), true
	case !decision.OK():
		h.front.edge.RecordRejection(metrics.RejectCutting, "connection", h.number)
		return encodeUntried(severityError, stateCannotConnectNow, textRestarting, ""), true
	case word == "":
		return appendEmpty(nil, serverEmptyQuery), true
	case word == "SET" || word == "RESET" || word == "DISCARD":
		return appendCommandComplete(nil, word), true
	}
	return nil, false
}

// serve executes a request on a goroutine of its own. The goroutine ends as soon as the answer is posted to the
// event loop, which writes the answer and takes the next command in one task.
func (h *client) serve(ctx context.Context, c gnet.Conn, s sqlcomment.Statement, arrivedAt float64) {
	e := h.front.edge
	result := e.Do(ctx, &s, arrivedAt)
	if result.Verdict == edge.Disconnected {
		if h.ctx.Err() != nil {
			e.End(&s)
			return
		}
		result = edge.Result{Verdict: edge.TimedOut, Detail: "canceling statement due to user request"}
	}
	reply, decidedAt := EncodeResult(&result), e.Now()
	if h.front.answers.Post(func() { h.answer(c, &s, &result, reply, requestTimes{begun: arrivedAt, decided: decidedAt}) }) != nil {
		e.End(&s) // the event loop has stopped, and the connection is closed
	}
}

// requestTimes are clock milliseconds of a request.
type requestTimes struct {
	begun   float64 // when its turn among the commands of its client came
	decided float64 // when its final answer was handed to the event loop
}

// lateAnswerMillis is how much later than its deadline an answer may be written before a line on it is logged.
const lateAnswerMillis = 50

// logLate logs where the time of a request went whose answer is written late.
func (h *client) logLate(s *sqlcomment.Statement, verdict edge.Verdict, times requestTimes, now float64) {
	late := now - times.begun - s.TimeoutMillis
	if late <= lateAnswerMillis {
		return
	}
	h.front.lateLog.Warn("request: answered late", "request", s.ID, "connection", h.number, "class", s.Class, "verdict", verdict.String(),
		"late_ms", late, "connected_ms", now-h.openedAt, "read_ms", now-h.readAt, "begun_ms", now-times.begun, "decided_ms", now-times.decided)
}

// answer writes the final answer to a request and continues with the next command. It runs on the event loop.
func (h *client) answer(c gnet.Conn, s *sqlcomment.Statement, result *edge.Result, reply []byte, times requestTimes) {
	e, verdict := h.front.edge, result.Verdict
	if h.ctx.Err() != nil {
		e.End(s)
		return
	}
	if !h.requestInFlight {
		e.Metrics().Violation(lifecycle.AnsweredTwice, "connection", h.number, "request", s.ID)
	}
	now := e.Now()
	h.logLate(s, verdict, times, now)
	if now > times.begun+s.TimeoutMillis+lifecycle.LateGraceMillis {
		e.Metrics().Violation(lifecycle.AnswerLate, "connection", h.number, "request", s.ID)
	}
	h.write(c, reply)
	if h.ctx.Err() != nil || c.OutboundBuffered() == 0 {
		e.End(s)
		h.finishRequest(c, verdict)
		return
	}
	// The next command waits until this answer is sent, so that a client that does not read delays only itself,
	// and a close does not truncate an answer.
	h.answerWritten = true
	h.whenFlushed(c, func() {
		e.End(s)
		h.finishRequest(c, verdict)
	}, func() { e.End(s) })
}

// finishRequest continues with the next command once the answer to the last one is sent. It runs on the event
// loop.
func (h *client) finishRequest(c gnet.Conn, verdict edge.Verdict) {
	if h.ctx.Err() != nil {
		return
	}
	h.cancelRequest()
	h.requestInFlight, h.answerWritten, h.lastActive = false, false, h.front.edge.Now()
	if h.invalidRequests++; verdict != edge.Invalid {
		h.invalidRequests = 0
	}
	h.enforceInvalidLimit()
	h.resume(c)
}

// runOnLoop calls do on the event loop and waits for it. It does not call do once the client has disconnected.
func (h *client) runOnLoop(do func()) error {
	done := make(chan struct{})
	err := h.front.eventLoop.Load().(gnet.EventLoop).Execute(h.ctx, gnet.RunnableFunc(func(context.Context) error {
		defer close(done)
		if h.ctx.Err() == nil {
			do()
		}
		return nil
	}))
	if err == nil {
		<-done
	}
	return err
}

// whenFlushed calls flushed on the event loop once the client has received what was written to it. A client
// that does not do so within maxUnsentMillis is closed. If the client is closed or has disconnected,
// whenFlushed calls failed on another goroutine.
func (h *client) whenFlushed(c gnet.Conn, flushed, failed func()) {
	go func() {
		ran := false
		if h.awaitFlush(c) {
			_ = h.runOnLoop(func() {
				ran = true
				flushed()
			})
		} else {
			_ = h.runOnLoop(func() { h.close(c, lifecycle.ClosedNotReading) })
		}
		if !ran {
			failed()
		}
	}()
}

// awaitFlush waits until the client has received its answer. It returns false if maxUnsentMillis pass first or
// the client disconnects.
func (h *client) awaitFlush(c gnet.Conn) bool {
	for startedAt := h.front.edge.Now(); h.front.edge.Now()-startedAt < maxUnsentMillis; {
		remaining := 0
		if h.ctx.Err() != nil || h.runOnLoop(func() { remaining = c.OutboundBuffered() }) != nil {
			return false
		}
		if remaining == 0 {
			return true
		}
		time.Sleep(flushPollInterval)
	}
	h.front.slowReaderLog.Printf("front: closing the connection of a client that does not read its answer")
	return false
}

// EncodeResult encodes the final answer to a request, including ReadyForQuery.
func EncodeResult(r *edge.Result) []byte { return appendReady(encodeResult(r)) }

func encodeResult(r *edge.Result) []byte {
	switch r.Verdict {
	case edge.Served:
		b := appendRow(make([]byte, 0, len(r.Answer.Value)+160), &r.Answer)
		if r.Answer.Position > 0 { // for clients that pass on the log position of their last commit
			b = appendParameterStatus(b, Platform.Position, strconv.FormatFloat(r.Answer.Position, 'f', -1, 64))
		}
		return b
	case edge.Rejected:
		detail := ""
		if r.RetryAfterMillis > 0 {
			detail = strconv.Itoa(int(r.RetryAfterMillis + 0.999))
		}
		return appendRejection(nil, r.Permit, severityError, stateTooManyConnections, r.Detail, detail)
	case edge.TimedOut:
		return appendError(nil, severityError, sqlStateQueryCanceled, r.Detail, "")
	case edge.Invalid:
		return appendError(nil, severityError, sqlStateProtocolViolation, r.Detail, "")
	}
	return appendError(nil, severityError, sqlStateConnectionFailure, r.Detail, "")
}

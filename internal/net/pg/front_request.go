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

// flushPollInterval is the pace at which an answer that a client has not taken is looked at.
const flushPollInterval = 10 * time.Millisecond

// handleQuery starts a request, or answers at once what is none, or what may not start.
func (h *client) handleQuery(c gnet.Conn, text string, may lifecycle.Decision) {
	f := h.front
	h.hasRequested = true
	h.requestCount++
	h.lastActive = f.edge.Now()
	if out, answered := h.answerLocally(text, may); answered {
		h.write(c, appendReady(out))
		return
	}
	statement, err := sqlcomment.Parse(text)
	if err != nil {
		h.invalidRequests++
		h.write(c, appendReady(appendError(nil, severityError, sqlStateProtocolViolation, err.Error(), "")))
		return
	}
	if rejected := f.edge.Begin(&statement); rejected != nil {
		h.write(c, appendReady(encodeResult(rejected)))
		return
	}
	var ctx context.Context
	ctx, h.cancelRequest = context.WithCancel(h.ctx)
	h.requestInFlight = true
	go h.serve(ctx, c, statement, h.lastActive)
}

// answerLocally answers a text that needs no host.
func (h *client) answerLocally(text string, may lifecycle.Decision) (out []byte, answered bool) {
	word, _, _ := strings.Cut(strings.Trim(text, " \t\r\n;"), " ")
	word = strings.ToUpper(word)
	switch {
	case may.Reason == lifecycle.NotReady:
		h.front.edge.RecordRejection(metrics.RejectNotReady, "connection", h.number)
		return encodeUntried(severityError, stateCannotConnectNow, "no list of hosts is held yet", ""), true
	case !may.OK():
		h.front.edge.RecordRejection(metrics.RejectCutting, "connection", h.number)
		return encodeUntried(severityError, stateCannotConnectNow, textRestarting, ""), true
	case word == "":
		return appendEmpty(nil, serverEmptyQuery), true
	case word == "SET" || word == "RESET" || word == "DISCARD":
		return appendCommandComplete(nil, word), true
	}
	return nil, false
}

// serve runs on a goroutine of its own, which ends as soon as the answer is on its way to the loop: writing it and
// taking the next command are one visit there.
func (h *client) serve(ctx context.Context, c gnet.Conn, s sqlcomment.Statement, arrived float64) {
	e := h.front.edge
	result := e.Do(ctx, &s, arrived)
	if result.Verdict == edge.Disconnected {
		if h.ctx.Err() != nil {
			e.End(&s)
			return
		}
		result = edge.Result{Verdict: edge.TimedOut, Detail: "canceling statement due to user request"}
	}
	reply := EncodeResult(&result)
	if h.front.answers.Post(func() { h.answer(c, &s, &result, reply, arrived) }) != nil {
		e.End(&s) // the event loop has ended, and with it the connection
	}
}

// answer writes the final answer of a request and goes on with the next command. It runs on the loop.
func (h *client) answer(c gnet.Conn, s *sqlcomment.Statement, result *edge.Result, reply []byte, arrived float64) {
	e, verdict := h.front.edge, result.Verdict
	if h.ctx.Err() != nil {
		e.End(s)
		return
	}
	if !h.requestInFlight {
		e.Metrics().Violation(lifecycle.AnsweredTwice, "connection", h.number, "request", s.ID)
	}
	if e.Now() > arrived+s.TimeoutMillis+lifecycle.LateGraceMillis {
		e.Metrics().Violation(lifecycle.AnswerLate, "connection", h.number, "request", s.ID)
	}
	h.write(c, reply)
	if h.ctx.Err() != nil || c.OutboundBuffered() == 0 {
		e.End(s)
		h.finishRequest(c, verdict)
		return
	}
	// The next command waits until this answer is out, so a client that does not read holds up itself alone
	// and an answer is not cut by a close.
	h.answerWritten = true
	h.whenFlushed(c, func() {
		e.End(s)
		h.finishRequest(c, verdict)
	}, func() { e.End(s) })
}

// finishRequest takes the next command, once the answer to the last one is out. It runs on the loop.
func (h *client) finishRequest(c gnet.Conn, verdict edge.Verdict) {
	if h.ctx.Err() != nil {
		return
	}
	h.cancelRequest()
	h.requestInFlight, h.answerWritten, h.lastActive = false, false, h.front.edge.Now()
	if h.invalidRequests++; verdict != edge.Invalid {
		h.invalidRequests = 0
	}
	h.finishAction(c, h.boundInvalid(c))
	h.resume(c)
}

// runOnLoop does something on the loop and waits for it; nothing once the client has disconnected.
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

// whenFlushed calls flushed on the loop once the client has taken what was written to it. A client that does not take it in
// its time is closed. It calls failed, on another goroutine, where the client is closed or has gone.
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

// awaitFlush waits until the client has taken its answer. false: it does not, or has disconnected.
func (h *client) awaitFlush(c gnet.Conn) bool {
	for t := h.front.edge.Now(); h.front.edge.Now()-t < maxUnsentMillis; {
		left := 0
		if h.ctx.Err() != nil || h.runOnLoop(func() { left = c.OutboundBuffered() }) != nil {
			return false
		}
		if left == 0 {
			return true
		}
		time.Sleep(flushPollInterval)
	}
	h.front.slowReaderLog.Printf("front: a client that does not take its answer is cut off")
	return false
}

// EncodeResult encodes a final answer, up to ReadyForQuery.
func EncodeResult(r *edge.Result) []byte { return appendReady(encodeResult(r)) }

func encodeResult(r *edge.Result) []byte {
	switch r.Verdict {
	case edge.Served:
		b := appendRow(make([]byte, 0, len(r.Answer.Value)+160), &r.Answer)
		if r.Answer.Position > 0 { // for sessions that carry their last commit
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

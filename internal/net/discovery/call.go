package discovery

import (
	"context"
	"time"
)

// hedgedCall is a call to the service and, where the backoff allows one, a hedged second call for the same on a connection
// of its own: the first that brings something complete is kept.
type hedgedCall struct {
	watcher *Watcher
	once    bool // the answer is one list
	first   *stream
	second  *stream   // noStream where there is none
	hedgeAt time.Time // when the second call is begun; zero: not at all
	timer   timer
}

// fetch requests a path and applies each list that comes. With once, the answer is one list. The header of the answer, and
// with once the list, have to be complete within the answer timeout, dial included. A watch ends once nothing complete came
// within silenceLimit. Single bytes are no sign of life: a list that trickles in is never complete in time.
func (w *Watcher) fetch(ctx context.Context, address, path string, once bool) error {
	c := &hedgedCall{watcher: w, once: once, first: w.openCall(ctx, address, path), second: noStream()}
	defer func() {
		c.first.cancel()
		c.second.cancel()
	}()
	c.first.deadline = c.first.startedAt.Add(w.backoff.answerTimeout())
	if d := w.backoff.hedgeDelay(); d > 0 {
		c.hedgeAt = c.first.startedAt.Add(d)
	}
	c.timer = w.clock.Timer(earliest(c.hedgeAt, c.first.deadline))
	defer c.timer.Stop()
	return c.run(ctx, address, path)
}

func (c *hedgedCall) run(ctx context.Context, address, path string) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.first.headerDone:
			c.headerArrived(c.first)
		case <-c.second.headerDone:
			c.headerArrived(c.second)
		case <-c.first.received:
			if c.dataArrived(c.first) {
				return nil
			}
		case <-c.second.received:
			if c.dataArrived(c.second) {
				return nil
			}
		case err := <-c.first.failed:
			if done, err := c.streamFailed(c.first, err); done {
				return err
			}
		case err := <-c.second.failed:
			if done, err := c.streamFailed(c.second, err); done {
				return err
			}
		case <-c.timer.C():
			now := c.watcher.clock.Now()
			if c.hedgeAt.IsZero() {
				return errServiceSilent
			}
			c.hedgeAt, c.second = time.Time{}, c.watcher.openCall(ctx, address, path)
			c.second.deadline = now.Add(expectedAnswer)
			c.resetTimer()
		}
	}
}

func (c *hedgedCall) resetTimer() {
	c.timer.Reset(earliest(c.hedgeAt, latest(c.first.deadline, c.second.deadline)))
}

// headerArrived extends the deadline of a watch whose header is complete.
func (c *hedgedCall) headerArrived(s *stream) {
	if c.once {
		return
	}
	now := c.watcher.clock.Now()
	deadline := latest(s.startedAt.Add(silenceLimit), now.Add(lateHeaderSilenceLimit))
	if limit := c.watcher.lastReceived.Add(openingLimit); deadline.After(limit) {
		deadline = limit
	}
	c.hedgeAt, s.deadline = time.Time{}, latest(s.deadline, deadline)
	c.resetTimer()
}

// dataArrived drops the other stream and applies what is pending; done says that the fetch is over.
func (c *hedgedCall) dataArrived(s *stream) (done bool) {
	if s == c.first {
		c.second.cancel()
	} else {
		c.first.cancel()
	}
	c.first, c.second = s, noStream()
	if applied := c.watcher.applyPending(s.lists, s.startedAt, c.once); c.once {
		return applied
	}
	now := c.watcher.clock.Now()
	c.watcher.received, c.watcher.lastReceived = true, now
	c.hedgeAt, s.deadline = time.Time{}, now.Add(silenceLimit)
	c.resetTimer()
	return false
}

// streamFailed goes on with the other stream, if there is one; done says that the fetch is over, with the error returned.
func (c *hedgedCall) streamFailed(s *stream, err error) (done bool, _ error) {
	select {
	case <-s.received: // what came before the end counts
		if c.dataArrived(s) {
			return true, nil
		}
		return true, err
	default:
	}
	s.cancel()
	switch {
	case !c.second.isOpen():
		return true, err
	case s == c.first:
		c.first = c.second
	}
	c.second = noStream()
	c.resetTimer()
	return false, nil
}

// openCall begins a call; dialing does not hold up what else the watcher waits for. The cancel function of what it returns
// ends it.
func (w *Watcher) openCall(ctx context.Context, address, path string) *stream {
	s := newStream()
	ctx, s.cancel = context.WithCancel(ctx)
	s.startedAt = w.clock.Now()
	go func() {
		c, err := w.engine.Dial(ctx, address, s)
		if err != nil {
			s.fail(err)
			return
		}
		defer c.Close()
		if ctx.Err() != nil {
			return
		}
		request := "GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\nAccept: application/json\r\n\r\n"
		if err := c.AsyncWrite([]byte(request), nil); err != nil {
			s.fail(err)
			return
		}
		<-ctx.Done()
	}()
	return s
}

// earliest returns the earlier of two times; the first may be zero for none.
func earliest(first, second time.Time) time.Time {
	if !first.IsZero() && first.Before(second) {
		return first
	}
	return second
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

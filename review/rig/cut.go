package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readers       = 8
	longValue     = 60000                 // bytes; the pages: no value is larger than 64 KiB
	readPiece     = 4096                  // a reader takes so much
	readPause     = 60 * time.Millisecond // each time, so an answer takes it about a second
	signalAfter   = 2 * time.Second
	readersFor    = 7 * time.Second // without the signal
	receiveBuffer = 4096            // of a reader's socket
)

// endOfAnswer is the ReadyForQuery behind each answer.
var endOfAnswer = appendReady(nil)

// slowReader is a client that takes its answers slowly, and sends its next request when it has half of an answer.
type slowReader struct {
	record *record
	name   string
	conn   net.Conn
	number int
	sent   int
	whole  int // answers
	got    int // bytes of the next answer
}

func (s *slowReader) send() {
	s.sent++
	id := fmt.Sprintf("%x%06x", 0xb0+s.number, s.sent)
	_, err := s.conn.Write(queryMessage(fmt.Sprintf("/* id=%s,c=report,d=15000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'page'", id)))
	s.record.printf("%s: sends id=%s, as its request %d (%v)", s.name, id, s.sent, err)
}

// read reads answers until the connection ends, or every request has its answer after stop was closed.
func (s *slowReader) read(stop <-chan struct{}) error {
	buffer, tail, isAhead := make([]byte, readPiece), []byte{}, false
	s.send()
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(answerTimeout))
		n, err := s.conn.Read(buffer)
		s.got += n
		tail = append(tail, buffer[:n]...)
		if end := bytes.Index(tail, endOfAnswer); end >= 0 {
			tail = append([]byte{}, tail[end+len(endOfAnswer):]...)
			s.whole++
			s.got, isAhead = len(tail), false
			s.record.printf("%s: has the whole answer to its request %d", s.name, s.whole)
		} else if len(tail) > len(endOfAnswer) {
			tail = tail[len(tail)-len(endOfAnswer):]
		}
		if err != nil {
			return err
		}
		isStopping := false
		select {
		case <-stop:
			isStopping = true
		default:
		}
		if isStopping && s.whole == s.sent {
			return nil
		}
		if s.got > longValue/2 && !isAhead && !isStopping {
			isAhead = true
			s.send()
		}
		time.Sleep(readPause)
	}
}

// cutAnswer: clients take long answers slowly, and send the next request before they have all of an answer. A planned restart begins.
func cutAnswer(r *rig) (broken []string, err error) {
	if err := r.prepare(1, ""); err != nil {
		return nil, err
	}
	if err := r.pooler.start(r.root); err != nil {
		return nil, err
	}
	writer, err := connect(r.record, "writer", r.pooler.listen)
	if err != nil {
		return nil, err
	}
	a := writer.ask(fmt.Sprintf("/* id=%s,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('page', '%s') RETURNING payload",
		r.id(), strings.Repeat("p", longValue)))[0]
	writer.close()
	if !a.served {
		return nil, fmt.Errorf("the first write failed: %v", a)
	}
	time.Sleep(500 * time.Millisecond)
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for i := range readers {
		c, err := dialer.DialContext(context.Background(), "tcp", r.pooler.listen)
		if err != nil {
			return nil, err
		}
		k, err := start(r.record, fmt.Sprintf("reader %d", i), c)
		if err != nil {
			return nil, err
		}
		all.Add(1)
		go func() {
			defer all.Done()
			defer c.Close()
			s := &slowReader{record: r.record, name: k.name, conn: c, number: i}
			time.Sleep(time.Duration(i) * 2 * readPause)
			end := s.read(stop)
			mu.Lock()
			defer mu.Unlock()
			whole += s.whole
			if end == nil {
				return
			}
			r.record.printf("%s: the connection ends: %v; %d requests sent, %d whole answers, %d bytes of the next one", s.name, end, s.sent, s.whole, s.got)
			if s.got > 0 && !errors.Is(end, os.ErrDeadlineExceeded) {
				broken = append(broken, fmt.Sprintf("%s: the answer to its request %d ends after %d bytes: %v", s.name, s.whole+1, s.got, end))
			}
		}()
	}
	if r.trouble {
		time.Sleep(signalAfter)
		r.record.printf("SIGTERM to the pooler")
		if err := r.pooler.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(readersFor)
		close(stop)
	}
	all.Wait()
	r.record.printf("%d whole answers, %d cut", whole, len(broken))
	if whole < readers {
		return nil, fmt.Errorf("only %d whole answers came", whole)
	}
	return broken, nil
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt. Each line begins with the milliseconds since the
// start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.1f  %s\n", float64(time.Since(r.begun).Microseconds())/1e3, fmt.Sprintf(format, args...))
}

// nowMillis is the present as positions on sockets give it: a Unix time in milliseconds.
func nowMillis() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// short cuts a long text for the record.
func short(text string) string {
	const most = 220
	if len(text) <= most {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:most], len(text))
}

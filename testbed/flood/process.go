package flood

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ClientsCommand is the command of testbed that plays one wave. Floods have processes of their own, so that they don't hold up the
// clients that are judged.
const ClientsCommand = "flood-clients"

// Words of the lines that such a process prints.
const (
	wordGone = "gone" // the id of a request, and the Unix time in nanoseconds at which its client closed its connection
	wordSent = "sent" // bytes
)

// PlayAndReport plays a wave, given as JSON, until ctx ends, and prints what the judge needs.
func PlayAndReport(ctx context.Context, wave, address string, out io.Writer) error {
	var w Wave
	if err := json.Unmarshal([]byte(wave), &w); err != nil {
		return fmt.Errorf("wave %s: %w", wave, err)
	}
	var mu sync.Mutex
	b := bufio.NewWriter(out)
	sent := Play(ctx, w, address, func(id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(b, wordGone, id, at.UnixNano())
	})
	fmt.Fprintln(b, wordSent, sent)
	return b.Flush()
}

// playWave has a process play a wave until ctx ends, and notes what it prints.
func (r *rig) playWave(ctx context.Context, program string, w Wave) error {
	wave, err := json.Marshal(w)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, program, ClientsCommand, string(wave), r.address(w.Front))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		r.noteLine(lines.Text())
	}
	_ = cmd.Wait() // it was told to end
	return lines.Err()
}

// noteLine notes a line of a process that floods.
func (r *rig) noteLine(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case wordGone:
		var id string
		var at int64
		if _, err := fmt.Sscan(rest, &id, &at); err == nil {
			r.noteGone(id, time.Unix(0, at))
		}
	case wordSent:
		var n int64
		if _, err := fmt.Sscan(rest, &n); err == nil {
			r.sent.Add(n)
		}
	}
}

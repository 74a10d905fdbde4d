package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/lifecycle"
)

// killAfter is when the platform may send SIGKILL where a class's deadline is as long as counts.
const killAfter = lifecycle.MaxKillDeadline + lifecycle.KillSlack

// killPollInterval is how often endWithin looks whether the time has come.
const killPollInterval = 5 * time.Millisecond

// processorWaits is, by thread, for how long a process could run and had no processor; empty where the system does not tell.
func processorWaits(pid int) map[string]time.Duration {
	waits := map[string]time.Duration{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited time.Duration
		if _, err := fmt.Sscan(string(text), &ran, &waited); err == nil {
			waits[file] = waited
		}
	}
	return waits
}

// longestWait is the most that one thread has waited between two looks. The system counts a wait when it is over, so one that is longer
// than the time between the looks counts as a whole.
func longestWait(before, now map[string]time.Duration) (longest time.Duration) {
	for thread, waited := range now {
		longest = max(longest, waited-before[thread])
	}
	return longest
}

// endWithin sends SIGTERM, and SIGKILL once the process has had the time that the platform grants: a process that ends later than it
// may is killed, which its Wait tells. It is not judged by when this process hears of its end: beside 24 busy processes that was 102 ms
// after it.
func endWithin(t *testing.T, process *os.Process, granted time.Duration) {
	t.Helper()
	begun := time.Now()
	terminateThenKill(t, process, granted, func() time.Duration { return time.Since(begun) })
}

// endWithinBesideOthers is endWithin for so short a time that it matters when the process hears SIGTERM: 108 ms late beside 24 busy
// processes. The longest time for which one of its threads waited for a processor does not count.
func endWithinBesideOthers(t *testing.T, process *os.Process, granted time.Duration) {
	t.Helper()
	last, begun := processorWaits(process.Pid), time.Now()
	longest := time.Duration(0)
	terminateThenKill(t, process, granted, func() time.Duration {
		now := processorWaits(process.Pid)
		longest, last = max(longest, longestWait(last, now)), now
		return time.Since(begun) - longest
	})
}

// terminateThenKill sends SIGTERM, and SIGKILL once the time that has passed is what is granted.
func terminateThenKill(t *testing.T, process *os.Process, granted time.Duration, passed func() time.Duration) {
	t.Helper()
	require.NoError(t, process.Signal(syscall.SIGTERM))
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for passed() < granted {
			select {
			case <-ended:
				return
			case <-time.After(killPollInterval):
			}
		}
		_ = process.Kill() // ErrProcessDone where it has ended
	}()
}

package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"time"
)

// Memory of the process, in bytes.
const (
	// baseBytes is what the process takes before its first client: the pages of the program and the heap at rest.
	baseBytes = 40 << 20
	// memoryShares is among how many purposes the rest is shared out, with one to spare for garbage.
	memoryShares = 12
	// minShareBytes is the least share: a few of the largest messages.
	minShareBytes = 512 << 10
	// unlimitedBytes is what a process without a limit shares out.
	unlimitedBytes = 32 << 20
	// outsideHeapBytes is what is neither pages of the program nor kept by Go's memory limit, which allocations pass while a
	// collection runs.
	outsideHeapBytes = 7 << 20
	// minHeapBytes is the least memory limit of Go: below it, the collector would run all the time.
	minHeapBytes = 12 << 20
)

// memoryInterval is how often Go's memory limit is adjusted.
const memoryInterval = time.Second

// memoryShare is what each purpose may hold where the process may hold limit bytes; 0: there is no limit.
func memoryShare(limit int) int {
	if limit == 0 {
		return unlimitedBytes / 10
	}
	return max(minShareBytes, (limit-baseBytes)/memoryShares)
}

// unsentShare is what answers that clients of sessions have not taken may hold, where a purpose may hold share. What is over it is
// cut, so it is a part of the whole limit: sessions are not read on while they leave answers unread, and seldom reach it.
func unsentShare(limit, share int) int { return max(share, limit/memoryShares) }

// memoryGuard keeps Go's memory limit at what the limit of the process leaves beside the pages of the program. The kernel counts
// those too, and maps more of them as more of the program runs. It is safe for concurrent use.
type memoryGuard struct {
	mu    sync.Mutex
	limit int // of the process; 0: there is none
	heap  int // Go's memory limit, as it was set last
}

// setLimit sets the limit of the process.
func (g *memoryGuard) setLimit(limit int) {
	g.mu.Lock()
	g.limit = limit
	g.mu.Unlock()
	g.adjust()
}

// adjust sets Go's memory limit anew.
func (g *memoryGuard) adjust() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit == 0 {
		return
	}
	if heap := heapLimit(g.limit, programBytes()); heap != g.heap {
		g.heap = heap
		debug.SetMemoryLimit(int64(heap))
	}
}

// heapLimit is Go's memory limit where the process may hold limit bytes, and so many hold the program.
func heapLimit(limit, program int) int {
	return max(minHeapBytes, min(limit*7/10, limit-program-outsideHeapBytes))
}

// programBytes returns how many bytes of the program's files are in memory; 0 if the system does not tell.
func programBytes() int {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident, shared int // in pages
	if _, err := fmt.Sscan(string(b), &size, &resident, &shared); err != nil {
		return 0
	}
	return shared * os.Getpagesize()
}

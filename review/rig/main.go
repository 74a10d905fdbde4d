// Command review-rig plays the cases of the review. It starts the project's pooler as a separate process, with the command
// that the deploy file names, and takes the part of clients, db hosts and discovery on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// longest is how long a case may run; then its processes are ended.
const longest = 110 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCant   = 2
)

// rig is what a case plays with.
type rig struct {
	record  *record
	root    string // the repository
	folder  string // temporary
	trouble bool
	groups  []*group
	agent   *agent
	pooler  *pooler
	ids     int
}

// id returns the id of a new request.
func (r *rig) id() string {
	r.ids++
	return fmt.Sprintf("9b1f03aa%08x", r.ids)
}

var cases = map[string]func(*rig) (broken []string, err error){
	"wrong-group":    wrongGroup,
	"donated-twice":  donatedTwice,
	"cut-answer":     cutAnswer,
	"slow-discovery": slowDiscovery,
	"gone-client":    goneClient,
	"slow-readers":   slowReaders,
	"stale-read":     staleRead,
}

// The pooler ends with the thread that started it, should this process be killed.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE ROOT RECORD")
		return exitCant
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCant
	}
	defer os.RemoveAll(folder)
	r := &rig{record: record, root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	record.printf("case %s, trouble: %v", os.Args[1], r.trouble)
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		record.printf("the case could not run: it was ended, or its time is over")
		if r.pooler != nil {
			r.pooler.kill()
		}
		_ = os.RemoveAll(folder)
		os.Exit(exitCant)
	}()
	broken, err := cases[os.Args[1]](r)
	if r.pooler != nil {
		r.pooler.stop()
	}
	switch {
	case err != nil:
		record.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCant
	case len(broken) > 0:
		for _, b := range broken {
			record.printf("BROKEN: %s", b)
		}
		fmt.Printf("broken, %d times; the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	record.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}

// prepare starts the db hosts of so many groups, each with two replicas, and discovery, and prepares the pooler.
func (r *rig) prepare(groups int, operatorFile string) (err error) {
	for n := range groups {
		g, err := newGroup(r.record, n+1, 2)
		if err != nil {
			return err
		}
		r.groups = append(r.groups, g)
	}
	if r.agent, err = newAgent(r.record, r.groups...); err != nil {
		return err
	}
	r.pooler, err = newPooler(r.record, r.root, r.folder, r.agent, muscat, operatorFile)
	return err
}

// Command review-2 plays one case of the review: stand-ins for clients, db hosts and the platform around the project's own
// programs. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// run is one play of a case.
type run struct {
	*record
	root    string // of the repository
	folder  string // temporary
	trouble bool
	poolers []*pooler
}

// pooler starts a pooler that ends with the play.
func (r *run) pooler(name, discovery, operator string) (*pooler, error) {
	p, err := start(r.root, r.folder, name, discovery, operator)
	if p != nil {
		r.poolers = append(r.poolers, p)
	}
	return p, err
}

var cases = map[string]func(*run) (broken int, err error){
	"silent-host":    silentHost,
	"kept-stale":     keptStale,
	"silent-readers": silentReaders,
	"bad-put":        badPut,
	"foreign-number": foreignNumber,
	"sends-ahead":    sendsAhead,
	"flight-crowd":   flightCrowd,
	"capture-twice":  captureTwice,
}

func play(name, folder string) (broken int, err error) {
	play, ok := cases[name]
	if !ok {
		return 0, fmt.Errorf("there is no case %q", name)
	}
	root, err := os.Getwd()
	if err != nil {
		return 0, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	r := &run{record: &record{f: f, begun: time.Now()}, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	if r.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return 0, err
	}
	defer os.RemoveAll(r.folder)
	defer func() {
		for _, p := range r.poolers {
			p.kill()
		}
	}()
	r.say("case %s, trouble %t", name, r.trouble)
	broken, err = play(r)
	if err != nil {
		r.say("the case could not run: %v", err)
	} else {
		r.say("the rule was broken %d times", broken)
	}
	return broken, err
}

func main() {
	runtime.LockOSThread() // the poolers are to end with the thread that starts them
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER, from the repository's root")
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		os.Exit(2)
	})
	broken, err := play(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken > 0:
		fmt.Printf("the rule was broken %d times\n", broken)
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

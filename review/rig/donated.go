package main

import (
	"fmt"
	"time"
)

const (
	donationRounds = 40
	// Of the second donations one in eight is committed and reset before its answer while it was sent behind a read, and one
	// in eight while it was sent alone.
	resetEvery, resetBehind, resetAlone = 8, 1, 5
)

// saysNothingRan reports whether an answer tells the client that nothing was committed, so that it runs the transaction again:
// a refusal (53300, 57P03), or 40001 of the session front.
func saysNothingRan(a reply) bool {
	return a.state == "53300" || a.state == "57P03" || a.state == "40001"
}

// donatedTwice: a listener's app donates, and on the same connection sends a read of the listener's library and the next donation
// in one go. Some of these donations are committed, and their connection is reset before the answer. What the app is told did not run
// it runs once more, as the page for operators says. For comparison, other donations are sent alone and reset in the same way.
func donatedTwice(r *rig) (broken []string, err error) {
	if err := r.prepare(1, sessionPool); err != nil {
		return nil, err
	}
	if err := r.pooler.start(r.root); err != nil {
		return nil, err
	}
	group := r.groups[0]
	resets := map[string]bool{}
	group.fault = func(_ *dbHost, fields map[string]string) bool { return resets[fields["id"]] }
	app, err := connect(r.record, "app", r.pooler.sessions)
	if err != nil {
		return nil, err
	}
	defer app.close()
	donate := func(ref string) (id, text string) {
		id = r.id()
		return id, fmt.Sprintf("/* id=%s,c=donate,d=2000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('%s', 'gift') RETURNING payload", id, ref)
	}
	served, inDoubt, refused := 0, 0, 0
	for i := range donationRounds {
		_, first := donate(fmt.Sprintf("gift-%d-a", i))
		a := app.ask(first)[0]
		if !a.served {
			refused++
			time.Sleep(300 * time.Millisecond)
			continue
		}
		read := fmt.Sprintf("/* id=%s,c=my-library,d=750,cluster=1,after=%.0f */ SELECT payload FROM entries WHERE ref = 'gift-%d-a'", r.id(), a.position, i)
		ref := fmt.Sprintf("gift-%d-b", i)
		id, second := donate(ref)
		group.mu.Lock()
		resets[id] = r.trouble && (i%resetEvery == resetBehind || i%resetEvery == resetAlone)
		group.mu.Unlock()
		var b reply
		if i%resetEvery == resetAlone {
			app.ask(read)
			b = app.ask(second)[0]
		} else {
			b = app.ask(read, second)[1]
		}
		switch {
		case b.broken != nil:
			return nil, b.broken
		case b.served:
			served++
		case saysNothingRan(b):
			refused++
			_, again := donate(ref)
			app.ask(again)
		default: // it may have run: the app does not send it again
			inDoubt++
		}
		if ids := group.commits(ref); len(ids) > 1 {
			broken = append(broken, fmt.Sprintf("the donation %s was committed %d times, as %v: after the first its client was told %q", ref, len(ids), ids, b.state))
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.record.printf("%d second donations served, %d in doubt, %d refused, %d committed twice", served, inDoubt, refused, len(broken))
	if served == 0 {
		return nil, fmt.Errorf("no donation was served")
	}
	return broken, nil
}

package main

import (
	"fmt"
	"strings"
	"time"
)

const groupRounds = 20

// wrongGroup: an app server holds one connection for listeners whose data is in two groups. For each pair of listeners it sends a
// gift and a read of each. With the trouble it sends many commands at once, without it each behind the answer of the one before.
func wrongGroup(r *rig) (broken []string, err error) {
	if err := r.prepare(2, sessionPool); err != nil {
		return nil, err
	}
	if err := r.pooler.start(r.root); err != nil {
		return nil, err
	}
	app, err := connect(r.record, "app", r.pooler.sessions)
	if err != nil {
		return nil, err
	}
	defer app.close()
	ask := func(texts ...string) (all []reply) {
		if r.trouble {
			return app.ask(texts...)
		}
		for _, t := range texts {
			all = append(all, app.ask(t)...)
		}
		return all
	}
	donate := func(group int, ref, payload string) string {
		return fmt.Sprintf("/* id=%s,c=donate,d=2000,cluster=%d */ INSERT INTO entries (ref, payload) VALUES ('%s', '%s') RETURNING payload", r.id(), group, ref, payload)
	}
	read := func(group int, ref string) string {
		return fmt.Sprintf("/* id=%s,c=browse,d=1000,cluster=%d */ SELECT payload FROM entries WHERE ref = '%s'", r.id(), group, ref)
	}
	// The same page has another text in each group.
	for group := 1; group <= 2; group++ {
		if a := app.ask(donate(group, "page", fmt.Sprintf("of group %d", group)))[0]; !a.served {
			return nil, fmt.Errorf("the first write failed: %v", a)
		}
	}
	time.Sleep(time.Second)
	served := 0
	for i := range groupRounds {
		gifts := ask(donate(1, fmt.Sprintf("gift-%d", i), "to group 1"), donate(2, fmt.Sprintf("gift-%d", i), "to group 2"))
		time.Sleep(250 * time.Millisecond)
		pages := ask(read(1, "page"), read(2, "page"))
		for n := range 2 {
			if gifts[n].broken != nil || pages[n].broken != nil {
				return nil, fmt.Errorf("round %d: %v, %v", i, gifts[n], pages[n])
			}
			if want := fmt.Sprintf("of group %d", n+1); pages[n].served && pages[n].value != want {
				broken = append(broken, fmt.Sprintf("round %d: the page of group %d was served as %q", i, n+1, pages[n].value))
			}
			if gifts[n].served {
				served++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, g := range r.groups {
		for _, s := range g.strangers() {
			if strings.HasPrefix(s.text, "INSERT") {
				broken = append(broken, fmt.Sprintf("a host of group %d got id=%s, which names group %s: %s", g.number, s.fields["id"], s.fields["cluster"], s.text))
			}
		}
	}
	r.record.printf("%d gifts served", served)
	if served == 0 {
		return nil, fmt.Errorf("no gift was served")
	}
	return broken, nil
}

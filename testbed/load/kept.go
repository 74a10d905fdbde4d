package load

import (
	"fmt"
	"time"
)

// keptReads is how many reads kept makes on the connection that it keeps.
const keptReads = 3

// kept binds the session to a connection, mostly to a replica, and reads there what was written a moment before. It must see that, or
// be told that nothing ran.
func (w *worker) kept() {
	if w.simple("kept", "/* c=my-library */ LISTEN news").state != "" {
		return
	}
	ref := w.name + "-kept"
	for range keptReads {
		w.writes++
		payload := fmt.Sprint(w.writes)
		w.fleet.Cluster.Write(ref, payload)
		read := fmt.Sprintf("/* c=my-library,d=1000,after=%d */ SELECT payload FROM entries WHERE ref = '%s'", time.Now().UnixMilli(), ref)
		if a := w.simple("kept", read); a.state == "" && a.one() != payload {
			w.g.Break("stale_read", "%s read %q on the connection that it keeps, behind a commit of %q", w.name, a.one(), payload)
		}
	}
	w.release("kept")
}

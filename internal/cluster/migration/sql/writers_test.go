package sql

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"ashstand/internal/cluster/fencing"
	"ashstand/internal/cluster/migration"
)

// writers insert and update rows of their own until they are stopped, each where the tenant is served: who is told that it
// is closed there tries again. They know nothing of pauses.
type writers struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu           sync.Mutex
	acknowledged map[string]string
	rejected     int // were refused
	inDoubt      map[string]bool
}

func (r *rig) startWriters(n int, perSecond float64) *writers {
	w := &writers{stop: make(chan struct{}), acknowledged: map[string]string{}, inDoubt: map[string]bool{}}
	for i := range n {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			var conn *pgconn.PgConn
			at := migration.Group(0)
			for k := 0; ; k++ {
				key, value := fmt.Sprintf("w%d-%06d", i, k), fmt.Sprint(k)
				sql := "INSERT INTO entries (ref, payload) VALUES ($1, $2)"
				if k%3 == 2 {
					sql = "UPDATE entries SET payload = $2 WHERE ref = $1"
				}
				if k%3 == 2 {
					key = fmt.Sprintf("w%d-%06d", i, k-1)
				}
				for done := false; !done; {
					select {
					case <-w.stop:
						return
					case <-time.After(time.Duration(float64(n) / perSecond * 1e9)):
					}
					if home := r.servingGroup(); conn == nil || at != home {
						if conn != nil {
							fencing.Close(conn)
						}
						var err error
						if conn, _, err = (&fencing.Client{User: "web", Hosts: r.hosts}).ConnectPrimary(r.ctx, home, tenant); err != nil {
							conn = nil
							continue
						}
						at = home
					}
					_, touched, err := fencing.Exec(r.ctx, conn, sql, key, value)
					w.mu.Lock()
					switch {
					case err == nil && touched == 1:
						w.acknowledged[key], done = value, true
					case err == nil:
						done = true
						w.inDoubt[key] = true
					case sqlState(err) == codeTenantNotWriteable:
						w.rejected++
					default:
						w.inDoubt[key], done = true, true
						fencing.Close(conn)
						conn = nil
					}
					w.mu.Unlock()
				}
			}
		}()
	}
	r.t.Cleanup(w.stopAll)
	return w
}

func (w *writers) stopAll() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.wg.Wait()
}

func (w *writers) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acknowledged)
}

func (w *writers) rejections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejected
}

// requireAcknowledged requires that a group holds what was acknowledged, each version once since it was copied.
func (r *rig) requireAcknowledged(w *writers, g migration.Group) {
	r.t.Helper()
	rows := map[string]string{}
	for _, row := range r.db(g).Dump("entries") {
		rows[row["ref"]] = row["payload"]
	}
	for key, value := range w.acknowledged {
		if !w.inDoubt[key] {
			require.Equal(r.t, value, rows[key], key)
		}
		seen := map[string]bool{}
		for _, v := range r.db(g).History("entries", key) {
			if v.Deleted { // it was emptied, and copied anew
				clear(seen)
				continue
			}
			require.False(r.t, seen[v.Values["payload"]], "%s was written twice: %v", key, r.db(g).History("entries", key))
			seen[v.Values["payload"]] = true
		}
	}
}

func insertedKeys(w *writers) (keys []string) {
	for k := range w.acknowledged {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

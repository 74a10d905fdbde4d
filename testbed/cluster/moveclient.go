package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// What became of a write, as its client knows it.
const (
	inDoubt = iota
	done
	refused
)

// write is a row of its own that a client asked for.
type write struct {
	tenant, ref string
	begun       time.Time
	became      int
}

// settle takes an answer. What a server words before a commit was rolled back; 08007 says that nobody knows.
func (w *write) settle(err error) { w.became = became(err) }

func became(err error) int {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return done
	case !errors.As(err, &pe) || pe.Code == "08007" || pe.Code == "08006" || pe.Code == "57P01":
		return inDoubt
	}
	return refused
}

// miss is a session's own write that it did not read.
type miss struct {
	tenant, ref, text string
}

// op is a request to a register.
type op struct {
	client     int
	write      bool
	value      string
	begin, end int64 // ns from the run's begin; of one in doubt the end is left open
	open       bool
}

// client is one session of a tenant at one pooler, again and again.
type client struct {
	*movers
	node   *node
	tenant string
	name   string
	lots   *rand.Rand
	conn   *pgconn.PgConn
	n      int
	own    string         // the latest write of the session that was done
	known  map[string]int // the highest own value of each register that was done
}

// patience is for how long a client waits for an answer: longer than a pooler holds a request.
const patience = 12 * time.Second

func (c *client) run(ctx context.Context) {
	defer func() {
		if c.conn != nil {
			closeConn(c.conn)
		}
	}()
	for sleep(ctx, time.Duration(c.lots.ExpFloat64()*float64(moveEvery))) {
		if c.conn == nil || c.conn.IsClosed() {
			p, paused := c.node.process()
			if p == nil || paused {
				continue
			}
			var err error
			if c.conn, err = dial(ctx, p.Sessions, c.tenant); err != nil {
				c.conn = nil
				continue
			}
			c.own = "" // a new session has nothing of the old one
		}
		c.step()
	}
}

// ask sends something and waits for its answer.
func (c *client) ask(class, sql string) ([]*pgconn.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	begun := time.Now()
	rs, err := c.conn.Exec(ctx, sql).ReadAll()
	_ = c.g.RecordAnswer(class, time.Since(begun), patience/3, err, c.disturbed(c.node.name)(begun))
	return rs, err
}

func (c *client) step() {
	switch k := c.lots.IntN(10); {
	case k < 4:
		c.insert()
	case k < 6:
		c.readOwn()
	case k < 8:
		c.register(true)
	default:
		c.register(false)
	}
}

func (c *client) insert() {
	c.n++
	w := &write{tenant: c.tenant, ref: fmt.Sprintf("%s/%d", c.name, c.n), begun: time.Now()}
	sql := fmt.Sprintf("INSERT INTO entries (ref, payload) VALUES ('%s', '%d')", w.ref, c.n)
	var err error
	if c.lots.IntN(2) == 0 {
		_, err = c.ask("write", sql)
		w.settle(err)
	} else if _, err = c.ask("block", "BEGIN"); err != nil {
		w.became = refused
	} else if _, err = c.ask("write", sql); err != nil {
		w.became = refused
		c.clear()
	} else {
		var rs []*pgconn.Result
		rs, err = c.ask("commit", "COMMIT")
		if w.settle(err); err == nil && (len(rs) == 0 || rs[0].CommandTag.String() != "COMMIT") {
			w.became = refused
		}
		if err != nil {
			c.clear()
		}
	}
	if w.became == done {
		c.own = w.ref
	}
	c.mu.Lock()
	c.writes = append(c.writes, w)
	c.mu.Unlock()
}

// clear ends what is left of a block.
func (c *client) clear() {
	if c.conn != nil && !c.conn.IsClosed() && c.conn.TxStatus() != 'I' {
		_, _ = c.ask("block", "ROLLBACK")
	}
}

// readOwn must find what the session has written, on whichever host.
func (c *client) readOwn() {
	if c.own == "" {
		return
	}
	rs, err := c.ask("read", fmt.Sprintf("/* c=my-library */ SELECT payload FROM entries WHERE ref = '%s'", c.own))
	if err == nil && (len(rs) == 0 || len(rs[0].Rows) == 0) {
		c.mu.Lock()
		c.misses = append(c.misses, miss{c.tenant, c.own, fmt.Sprintf("%s did not read its own %s at %.2f s", c.name, c.own, c.at().Seconds())})
		c.mu.Unlock()
	}
}

// register writes or reads a row that other sessions write as well, at the primary.
func (c *client) register(writes bool) {
	ref := fmt.Sprint("reg-", c.lots.IntN(registers))
	o := op{client: c.lots.IntN(1 << 30), write: writes, begin: int64(c.at())}
	var err error
	if writes {
		c.n++
		o.value = fmt.Sprintf("%s/%d", c.name, c.n)
		var rs []*pgconn.Result
		rs, err = c.ask("write", fmt.Sprintf("UPDATE entries SET payload = '%s' WHERE ref = '%s'", o.value, ref))
		if err == nil && len(rs) == 1 && rs[0].CommandTag.RowsAffected() == 0 {
			c.g.Break("stale_read", "%s: an update of %s found no row", c.name, ref)
			return
		}
	} else {
		if _, err = c.ask("block", "BEGIN"); err != nil {
			return
		}
		var rs []*pgconn.Result
		rs, err = c.ask("read", fmt.Sprintf("SELECT payload FROM entries WHERE ref = '%s' FOR SHARE", ref))
		if err == nil && len(rs) == 1 && len(rs[0].Rows) == 1 {
			o.value = string(rs[0].Rows[0][0])
		} else if err == nil {
			c.g.Break("stale_read", "%s: %s is not there", c.name, ref)
		}
		if err == nil {
			_, err = c.ask("block", "COMMIT")
		}
		if err != nil {
			c.clear()
			return // it says nothing
		}
	}
	switch became(err) {
	case refused:
		return
	case inDoubt:
		o.open = true
	}
	o.end = int64(c.at())
	c.mu.Lock()
	c.ops[c.tenant+" "+ref] = append(c.ops[c.tenant+" "+ref], o)
	c.mu.Unlock()
}

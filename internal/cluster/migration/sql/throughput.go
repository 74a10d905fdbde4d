package sql

import (
	"sync"
	"time"

	"ashstand/internal/cluster/migration"
)

const (
	// maxThroughputs bounds how many migrations are remembered: as many as may be open at once.
	maxThroughputs = 64
	// unknownLagMillis is reported while the rate of replication is not known yet.
	unknownLagMillis = 1000
	// defaultMillisPerRow is assumed for a verified row until one was read: a point read and its round trip.
	defaultMillisPerRow = 0.1
	// minRateWindowMillis is the shortest time over which a replication rate is computed.
	minRateWindowMillis = 10
)

// throughput is how fast replication and verification of one migration went lately.
type throughput struct {
	sampledAt     time.Time
	timelines     migration.Timelines
	applied       migration.LSN // durable at the target when it was sampled
	bytesPerMilli float64       // of write-ahead log that the target applies
	millisPerRead float64       // that reading one row or range again took
}

// observeApplied takes in what is durable at the target. A failover of either group voids what was known of replication.
func (t *throughput) observeApplied(timelines migration.Timelines, durable migration.LSN, at time.Time) {
	if t.timelines != timelines {
		*t = throughput{timelines: timelines, millisPerRead: t.millisPerRead}
	}
	if durable <= t.applied {
		return
	}
	if t.applied > 0 {
		if millis := toMillis(at.Sub(t.sampledAt)); millis >= minRateWindowMillis {
			t.bytesPerMilli = float64(durable-t.applied) / millis
		}
	}
	t.applied, t.sampledAt = durable, at
}

// lagMillis is how long the target needs to apply the log up to a position.
func (t *throughput) lagMillis(position migration.LSN) float64 {
	if t.applied >= position {
		return 0
	}
	if t.bytesPerMilli <= 0 {
		return unknownLagMillis
	}
	return float64(position-t.applied) / t.bytesPerMilli
}

// verifyMillis is how long reading so many rows again takes.
func (t *throughput) verifyMillis(rows int) float64 {
	if t.millisPerRead == 0 {
		return float64(rows) * defaultMillisPerRow
	}
	return t.millisPerRead * float64(rows)
}

// throughputs are the throughputs of the latest migrations.
type throughputs struct {
	// mu guards byJob.
	mu    sync.Mutex
	byJob map[string]throughput
}

// update changes the throughput of a migration. change must not block: it runs under the lock.
func (t *throughputs) update(job string, change func(*throughput)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byJob == nil || len(t.byJob) >= maxThroughputs && t.byJob[job] == (throughput{}) {
		t.byJob = map[string]throughput{}
	}
	changed := t.byJob[job]
	change(&changed)
	t.byJob[job] = changed
}

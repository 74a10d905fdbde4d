package warmups

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
)

// Two poolers that each sent a little: their sum, by time and path; other lines are not read.
func TestTheSumOfTwoLogs(t *testing.T) {
	one := `time=x level=INFO msg="slow start: a host warms up" host=a group=3 started_ms=1000 primary=false members=4 ratio=0.4 rate=1 notified_ms=1200
time=x level=INFO msg="slow start: work at a host" host=a group=3 started_ms=1000 primary=false members=4 ratio=0.4 rate=1 until_ms=3100 replica_read=2 probe=1 classes=read:1:0.50,report:1:12.50
`
	other := `time=x level=INFO msg="slow start: work at a host" host=a group=3 started_ms=1000 primary=true members=2 ratio=0.4 rate=1 until_ms=3900 replica_read=1 write=4 classes=report:1:13.00,insert:4:8.00 held_back=7
time=x level=INFO msg="slow start: work at a host" host=a group=3 started_ms=1000 primary=true members=2 ratio=0.4 rate=1 until_ms=4000 held_back=1
`
	rows, err := Sum(strings.NewReader(one), strings.NewReader(other))
	require.NoError(t, err)
	require.Equal(t, []Row{
		{Host: "a", StartedMS: 1000, AgeSeconds: 2, Poolers: 2, Primary: true, Members: 2, Sent: 7, HeldBack: 7, ByPath: map[string]int{"replica_read": 3, "write": 4, "probe": 1}, Cost: 34, ByClass: map[string]dispatch.ClassSent{
			"read": {Class: "read", Requests: 1, Cost: 0.5}, "report": {Class: "report", Requests: 2, Cost: 25.5}, "insert": {Class: "insert", Requests: 4, Cost: 8},
		}},
		{Host: "a", StartedMS: 1000, AgeSeconds: 3, Poolers: 1, Primary: true, Members: 2, HeldBack: 1, ByPath: map[string]int{}, ByClass: map[string]dispatch.ClassSent{}},
	}, rows)
	var table strings.Builder
	require.NoError(t, Print(&table, rows))
	require.Contains(t, table.String(), "a\t1000\t2\t2\ttrue\t2\t7\t34.00\t7\tprobe=1 replica_read=3 write=4\tinsert:4:8.00 read:1:0.50 report:2:25.50\n")
}

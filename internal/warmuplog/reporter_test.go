package warmuplog

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ashstand/internal/dispatch"
	"ashstand/routing"
)

// There is a line for each change and for each interval in which work was sent or held back, and none for an
// interval in which nothing happened. The number of lines is bounded.
func TestReportLogsEachChange(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	r := New()
	view := dispatch.SlowStartView{StartedAtMillis: 5000, SlowStartStatus: routing.SlowStartStatus{Host: "a", Group: 3, StartedAt: 5 * time.Second, Members: 4, Ratio: 0.42}}
	costs := []routing.ClassCost{{Class: "read", Cost: 0.5, AnswerTime: 4 * time.Millisecond, IsKnown: true}, {Class: "report", Cost: 16}}
	reportOutput := func(views ...dispatch.SlowStartView) string {
		log.Reset()
		r.Report(9000, views, costs)
		return log.String()
	}
	require.Regexp(t, MessageBegins+`.* notified_ms=0 costs=read:0.50:4.0,report:16.00:0.0\?`, reportOutput(view))
	require.Empty(t, reportOutput(view))
	view.Sent[routing.PathWrite], view.HeldBack[routing.PathReplicaRead] = 3, 2
	require.Contains(t, reportOutput(view), `host=a group=3 started_ms=5000 primary=false members=4 ratio=0.42 rate=0 until_ms=9000 write=3 held_back=2`)
	require.Empty(t, reportOutput(view))
	view.Sent[routing.PathReplicaRead] = 4
	view.SentByClass = []dispatch.ClassSent{{Class: "a read, quick"}, {Class: "report", Requests: 4, Cost: 51.25}}
	require.Contains(t, reportOutput(view), `replica_read=4 classes=report:4:51.25`)
	view.IsPrimary, view.Members = true, 2
	require.Contains(t, reportOutput(view), "was_primary=false had_members=4")
	view.StartedAt++
	require.Contains(t, reportOutput(view), MessageBegins)
	require.Contains(t, reportOutput(), MessageEnds)
	var many []dispatch.SlowStartView
	for i := range 3 * maxLinesPerReport {
		view.Host = fmt.Sprint("h", i)
		many = append(many, view)
	}
	require.Equal(t, maxLinesPerReport, strings.Count(reportOutput(many...), "\n"))
}

// Class names may hold what separates classes and their figures.
func TestClassesAreReadBack(t *testing.T) {
	classes := []dispatch.ClassSent{{Class: "a, b:c=d", Requests: 3, Cost: 2.5}, {Class: "report", Requests: 1, Cost: 12.75}}
	text := FormatClass(classes[0]) + "," + FormatClass(classes[1])
	require.NotContains(t, text, " ")
	require.Equal(t, classes, ParseClasses(text))
	require.Empty(t, ParseClasses("report:x:1,report:1"))
}

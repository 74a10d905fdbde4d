// Package warmups adds up what the logs of many poolers tell of hosts that warm up: the sum that no pooler sees by itself.
package warmups

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ashstand/internal/dispatch"
	"ashstand/internal/warmuplog"
	"ashstand/routing"
)

// heldBack is the attribute of what was not sent.
const heldBack = "held_back"

// binMillis is the time over which one line of a log adds up, and so one row of the sum.
const binMillis = int64(warmuplog.Interval / 1e6)

// Row is what all poolers together sent to one process of a host within one interval.
type Row struct {
	Host       string
	StartedMS  int64 // of the host's process, Unix milliseconds
	AgeSeconds int64 // of that process, at the beginning of the interval
	Poolers    int   // that sent something or held something back
	Primary    bool  // some of them take it for the primary
	Members    int   // the fewest that one of them sees in the group
	Sent       int   // requests, by all paths
	ByPath     map[string]int
	Cost       float64 // of the requests, to the budgets
	ByClass    map[string]dispatch.ClassSent
	HeldBack   int
}

// key names a row.
type key struct {
	host         string
	started, bin int64
}

// Sum adds up logs, one of each pooler. Rows are in the order of host, start and time.
func Sum(logs ...io.Reader) ([]Row, error) {
	rows := map[key]*Row{}
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if strings.Contains(lines.Text(), strconv.Quote(warmuplog.MessageSent)) {
				add(rows, attributesOf(lines.Text()))
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("warmups: %w", err)
		}
	}
	all := make([]Row, 0, len(rows))
	for _, row := range rows {
		all = append(all, *row)
	}
	slices.SortFunc(all, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.StartedMS, b.StartedMS), cmp.Compare(a.AgeSeconds, b.AgeSeconds))
	})
	return all, nil
}

// attributesOf reads the name=value pairs of a log line whose values have no spaces.
func attributesOf(line string) map[string]string {
	attributes := map[string]string{}
	for _, field := range strings.Fields(line) {
		if name, value, ok := strings.Cut(field, "="); ok {
			attributes[name] = value
		}
	}
	return attributes
}

// add takes one line.
func add(rows map[key]*Row, attributes map[string]string) {
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(attributes[name], 10, 64) // what is not there is 0
		return n
	}
	started := number("started_ms")
	at := key{attributes["host"], started, (number("until_ms") - started) / binMillis}
	row := rows[at]
	if row == nil {
		row = &Row{Host: at.host, StartedMS: started, AgeSeconds: at.bin * binMillis / 1e3, ByPath: map[string]int{}, ByClass: map[string]dispatch.ClassSent{}, Members: int(number("members"))}
		rows[at] = row
	}
	row.Poolers++
	row.Primary = row.Primary || attributes["primary"] == "true"
	row.Members = min(row.Members, int(number("members")))
	row.HeldBack += int(number(heldBack))
	for _, class := range warmuplog.ParseClasses(attributes[warmuplog.AttributeClasses]) {
		sum := row.ByClass[class.Class]
		row.ByClass[class.Class] = dispatch.ClassSent{Class: class.Class, Requests: sum.Requests + class.Requests, Cost: sum.Cost + class.Cost}
		row.Cost += class.Cost
	}
	for _, path := range routing.SlowStartPaths() {
		n := int(number(path.String()))
		if n == 0 {
			continue
		}
		row.ByPath[path.String()] += n
		if path != routing.PathProbe && path != routing.PathHandshake {
			row.Sent += n
		}
	}
}

// Print writes rows as a table.
func Print(w io.Writer, rows []Row) error {
	var table strings.Builder
	table.WriteString("host\tstarted_ms\tage_s\tpoolers\tprimary\tmembers\tsent\tcost\theld_back\tby path\tby class\n")
	for _, row := range rows {
		var paths []string
		for _, name := range slices.Sorted(maps.Keys(row.ByPath)) {
			paths = append(paths, fmt.Sprintf("%s=%d", name, row.ByPath[name]))
		}
		var classes []string
		for _, name := range slices.Sorted(maps.Keys(row.ByClass)) {
			classes = append(classes, warmuplog.FormatClass(row.ByClass[name]))
		}
		fmt.Fprintf(&table, "%s\t%d\t%d\t%d\t%v\t%d\t%d\t%.2f\t%d\t%s\t%s\n", row.Host, row.StartedMS, row.AgeSeconds, row.Poolers, row.Primary, row.Members,
			row.Sent, row.Cost, row.HeldBack, strings.Join(paths, " "), strings.Join(classes, " "))
	}
	_, err := io.WriteString(w, table.String())
	return err
}

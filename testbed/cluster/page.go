package cluster

import (
	"bufio"
	"cmp"
	"fmt"
	"html/template"
	"io"
	"os"
	"slices"
	"time"
)

// Print writes the timeline as text, one event a line.
func (o *Outcome) Print(out io.Writer) error {
	w := bufio.NewWriter(out)
	for _, l := range o.Lines {
		until := ""
		if l.Until > 0 {
			until = fmt.Sprintf(" until %.2f", l.Until.Seconds())
		}
		fmt.Fprintf(w, "%8.2f s  %-8s %s%s\n", l.At.Seconds(), l.Who, l.Text, until)
	}
	return w.Flush()
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:14px/1.4 sans-serif;margin:2em;max-width:70em} td,th{padding:.15em .8em .15em 0;text-align:left;vertical-align:top}
.row{position:relative;height:22px;border-bottom:1px solid #ddd;margin-left:6em}
.row b{position:absolute;left:-6em;font-weight:normal} .f{position:absolute;top:2px;height:17px;background:#d9534f88;border-left:2px solid #a33;overflow:hidden;white-space:nowrap;font-size:10px}
.e{position:absolute;top:2px;width:3px;height:17px;background:#357} .bad{color:#a00;font-weight:bold}</style></head><body>
<h1>{{.Title}}</h1><p>Seed {{.Plan.Seed}}, {{.Plan.Poolers}} poolers, {{printf "%.1f" .Seconds}} s; the stated time is {{.Bound}}.</p>
<table>{{range .Broken}}<tr{{if .N}} class="bad"{{end}}><td>{{.Name}}</td><td>{{.N}}</td></tr>{{end}}</table>
{{range .Notes}}<p class="bad">{{.}}</p>{{end}}
<h2>What happened, by process</h2><p>Red: a fault and how long it lasted. Blue: a change of view. Hold the pointer over a mark to read it.</p>
{{range .Rows}}<div class="row"><b>{{.Who}}</b>{{range .Marks}}<span class="{{.Class}}" style="left:{{printf "%.2f" .Left}}%{{if .Width}};width:{{printf "%.2f" .Width}}%{{end}}" title="{{.Text}}">{{if .Width}}{{.Text}}{{end}}</span>{{end}}</div>{{end}}
<h2>In order</h2><table>{{range .Lines}}<tr><td>{{printf "%.2f" .At.Seconds}} s</td><td>{{.Who}}</td><td>{{.Text}}</td></tr>{{end}}</table></body></html>
`))

// Page writes one HTML page that needs nothing else.
func (o *Outcome) Page(path string) error {
	type mark struct {
		Class, Text string
		Left, Width float64
	}
	type row struct {
		Who   string
		Marks []mark
	}
	type broken struct {
		Name string
		N    int
	}
	all := max(time.Second, time.Duration(o.Result.Seconds*1e9))
	part := func(d time.Duration) float64 { return 100 * min(1, max(0, float64(d)/float64(all))) }
	var rows []row
	for _, l := range o.Lines {
		i := slices.IndexFunc(rows, func(r row) bool { return r.Who == l.Who })
		if i < 0 {
			rows = append(rows, row{Who: l.Who})
			i = len(rows) - 1
		}
		m := mark{Class: "e", Text: fmt.Sprintf("%.2f s: %s", l.At.Seconds(), l.Text), Left: part(l.At)}
		if l.Until > 0 {
			m = mark{"f", l.Text, part(l.At), max(0.3, part(l.Until)-part(l.At))}
		}
		rows[i].Marks = append(rows[i].Marks, m)
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Who, b.Who) })
	var list []broken
	for name, n := range o.Result.Broken {
		list = append(list, broken{name, n})
	}
	slices.SortFunc(list, func(a, b broken) int { return cmp.Compare(a.Name, b.Name) })
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = page.Execute(f, map[string]any{
		"Title": o.Result.Command, "Plan": o.Plan, "Seconds": o.Result.Seconds, "Bound": o.Bound, "Broken": list,
		"Notes": o.Result.Notes, "Rows": rows, "Lines": o.Lines,
	})
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// Shrink takes faults out of a plan that fails for as long as it still does, largest parts first. failed plays a plan
// and says whether it failed; it is asked at most tries times.
func Shrink(p Plan, tries int, failed func(Plan) (bool, error)) (Plan, error) {
	for size := len(p.Faults) / 2; size >= 1 && tries > 0; {
		less := false
		for at := 0; at < len(p.Faults) && tries > 0; {
			q := p
			q.Faults = slices.Delete(slices.Clone(p.Faults), at, min(at+size, len(p.Faults)))
			tries--
			bad, err := failed(q)
			if err != nil {
				return p, err
			}
			if bad {
				p, less = q, true
			} else {
				at += size
			}
		}
		if size == 1 && !less {
			break
		}
		size = max(1, min(size/2, len(p.Faults)/2))
		if len(p.Faults) <= 1 && !less {
			break
		}
	}
	return p, nil
}

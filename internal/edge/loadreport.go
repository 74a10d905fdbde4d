package edge

import (
	"strconv"
	"strings"

	"ashstand/internal/dispatch"
)

// Names of the gauges that are read from a load report.
const (
	positionGauge = "x0" // position of the host's data, in seconds
	primaryGauge  = "x1" // the host reports that it is the primary if the value is at least primaryThreshold
)

const (
	primaryThreshold = 0.5
	maxGauge         = 1 << 40 // exclusive
)

// ParseLoadReport parses a load report, which has the same form in every wire protocol: name=value pairs
// separated by commas. If any part of the report is malformed it returns the zero value, because the other
// parts may be corrupted text that looks like numbers.
func ParseLoadReport(report string) (r dispatch.Report) {
	if report == "" {
		return r
	}
	for _, item := range strings.Split(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || name == "" || !(number >= 0 && number < maxGauge) {
			return dispatch.Report{}
		}
		switch name {
		case positionGauge:
			r.Position = number * 1e3
		case primaryGauge:
			if r.Role = dispatch.Replica; number >= primaryThreshold {
				r.Role = dispatch.Primary
			}
		}
	}
	return r
}

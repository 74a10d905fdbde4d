package edge

import (
	"strconv"
	"strings"

	"ashstand/internal/dispatch"
)

// Gauges of a load report that are read.
const (
	positionGauge = "x0" // in seconds
	primaryGauge  = "x1" // from primaryThreshold on, the host reports that it is the primary
)

const (
	primaryThreshold = 0.5
	maxGauge         = 1 << 40 // exclusive
)

// ParseLoadReport reads a load report, which has the same form on every wire: name=value pairs with commas between them.
// A report of which a part can't be read yields the zero value: corrupted text may look like a number.
func ParseLoadReport(report string) (r dispatch.Report) {
	if report == "" {
		return r
	}
	for _, item := range strings.Split(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || name == "" || !(x >= 0 && x < maxGauge) {
			return dispatch.Report{}
		}
		switch name {
		case positionGauge:
			r.Position = x * 1e3
		case primaryGauge:
			if r.Role = dispatch.Replica; x >= primaryThreshold {
				r.Role = dispatch.Primary
			}
		}
	}
	return r
}

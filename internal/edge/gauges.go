package edge

import (
	"strconv"
	"strings"

	"ashstand/internal/dispatch"
)

// ParseLoadReport reads a load report as hosts word it on every wire: name=value pairs with commas between them. The
// position x0 stands there in seconds. A report of which a part can't be read says nothing: noise may look like a
// number.
func ParseLoadReport(report string) (r dispatch.Report) {
	if report == "" {
		return r
	}
	for _, item := range strings.Split(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || name == "" || !(x >= 0 && x < 1<<40) {
			return dispatch.Report{}
		}
		switch name {
		case "x0":
			r.Position = x * 1e3
		case "x1":
			if r.Role = dispatch.Replica; x >= 0.5 {
				r.Role = dispatch.Primary
			}
		}
	}
	return r
}

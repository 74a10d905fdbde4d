//go:build faulthooks

package faulthook

import (
	"os"
	"slices"
	"strings"
)

var active = strings.Split(os.Getenv("ASHSTAND_FAULT"), ",")

// Active reports whether a fault is injected.
func Active(f Fault) bool { return slices.Contains(active, string(f)) }

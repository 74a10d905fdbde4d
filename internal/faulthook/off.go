//go:build !faulthooks

package faulthook

// Active reports whether a fault is injected, which is never so in a release build.
func Active(Fault) bool { return false }

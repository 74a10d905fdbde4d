package operator

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

const maxNameBytes = 64

// checker reads the values of a file and collects its faults.
type checker struct {
	path     string
	block    string // that is being read
	problems []Problem

	deprecations []Deprecation
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return &InvalidFileError{Problems: c.problems}
}

// diagnostics records what the HCL library reports.
func (c *checker) diagnostics(ds hcl.Diagnostics) {
	for _, d := range ds {
		p := Problem{Path: c.path, Detail: fmt.Sprintf("%s: %s", d.Summary, strings.ReplaceAll(d.Detail, "\n", " "))}
		if d.Subject != nil {
			p.Line = d.Subject.Start.Line
		}
		c.problems = append(c.problems, p)
	}
}

// fail records a fault of a key in the current block.
func (c *checker) fail(b hcl.Body, key, value, allowed string) {
	line := blockLine(b)
	if body, ok := b.(*hclsyntax.Body); ok {
		if a := body.Attributes[key]; a != nil {
			line = a.SrcRange.Start.Line
		}
	}
	c.problems = append(c.problems, Problem{Path: c.path, Line: line, Block: c.block, Key: key, Value: value, Allowed: allowed})
}

// deprecate records that a block stands under its name in earlier versions.
func (c *checker) deprecate(b hcl.Body, key, replacement string) {
	c.deprecations = append(c.deprecations, Deprecation{Line: blockLine(b), Key: key, Replacement: replacement})
}

// blockLine returns the line on which a block begins.
func blockLine(b hcl.Body) int {
	if body, ok := b.(*hclsyntax.Body); ok {
		return body.SrcRange.Start.Line
	}
	return b.MissingItemRange().Start.Line
}

// absolutePath reads a path; "" stands for none.
func (c *checker) absolutePath(b hcl.Body, key string, from, to *string, what string) {
	if setIfGiven(from, to); *to != "" && !filepath.IsAbs(*to) {
		c.fail(b, key, strconv.Quote(*to), "the absolute path of "+what)
	}
}

// name checks what is sent to other poolers and stands in their log lines.
func (c *checker) name(b hcl.Body, key, name string, optional bool) {
	if name == "" && !optional || len(name) > maxNameBytes || strings.ContainsAny(name, "/\"\n ") {
		c.fail(b, key, strconv.Quote(name), "a word of at most 64 bytes, without spaces, quotes and slashes")
	}
}

func (c *checker) oneOf(b hcl.Body, key string, from, to *string, allowed ...string) {
	if from == nil {
		return
	}
	for _, a := range allowed {
		if *from == a {
			*to = a
			return
		}
	}
	c.fail(b, key, strconv.Quote(*from), strings.Join(allowed, ", "))
}

func (c *checker) integer(b hcl.Body, key string, from, to *int, least, most int) {
	if from == nil {
		return
	}
	if *to = *from; *from < least || *from > most {
		c.fail(b, key, strconv.Itoa(*from), fmt.Sprintf("a whole number from %d to %d", least, most))
	}
}

// number reads a number; what it has to be is checked by the caller's ok.
func (c *checker) number(b hcl.Body, key string, from, to *float64, ok func(float64) bool, allowed string) {
	if setIfGiven(from, to); !ok(*to) {
		c.fail(b, key, strconv.FormatFloat(*to, 'g', -1, 64), allowed)
	}
}

// bytes reads a size.
func (c *checker) bytes(b hcl.Body, key string, from *string, to *int, least, most int, allowed string) {
	if from == nil {
		return
	}
	n, err := parseSize(*from)
	if *to = n; err != nil || n < least || n > most {
		c.fail(b, key, strconv.Quote(*from), allowed)
	}
}

func (c *checker) duration(b hcl.Body, key string, from *string, to *time.Duration, least, most time.Duration, zeroAllowed bool) {
	if from == nil {
		return
	}
	d, err := time.ParseDuration(*from)
	if *to = d; err == nil && (zeroAllowed && d == 0 || d >= least && d <= most) {
		return
	}
	allowed := fmt.Sprintf("a time from %v to %v, such as \"2s\"", least, most)
	if zeroAllowed {
		allowed += ", or \"0s\" for none"
	}
	c.fail(b, key, strconv.Quote(*from), allowed)
}

func (c *checker) address(b hcl.Body, key, address string, loopback bool) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.fail(b, key, strconv.Quote(address), "host:port")
		return
	}
	if ip := net.ParseIP(host); loopback && (ip == nil || !ip.IsLoopback()) {
		c.fail(b, key, strconv.Quote(address), "unix:PATH or a loopback address with a port: whoever reaches it may read what the pooler holds")
	}
}

func setIfGiven[T any](from, to *T) {
	if from != nil {
		*to = *from
	}
}

// parseSize reads a number of bytes, followed by KiB, MiB or nothing.
func parseSize(s string) (int, error) {
	unit := 1
	for suffix, n := range map[string]int{"KiB": 1 << 10, "MiB": 1 << 20} {
		if rest, ok := strings.CutSuffix(s, suffix); ok {
			s, unit = rest, n
		}
	}
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if n > 1<<31/unit {
		return 0, strconv.ErrRange
	}
	return n * unit, err
}

package routing

import (
	"os"
	"strings"
	"testing"
)

// The policy file stays small enough to be read in one sitting.
func TestPolicyFileLimits(t *testing.T) {
	text, err := os.ReadFile("choice.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, l := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(l) != "" {
			lines++
		}
		if n := len(strings.ReplaceAll(l, "\t", "    ")); n > 110 {
			t.Errorf("line %d has %d characters, 110 are allowed", i+1, n)
		}
	}
	if lines > 950 {
		t.Errorf("%d lines that are not blank, 950 are allowed", lines)
	}
}

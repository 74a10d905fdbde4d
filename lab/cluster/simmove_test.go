package cluster

import (
	"context"
	"os"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestProbe(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("N"))
	from, _ := strconv.Atoi(os.Getenv("SEED"))
	r := SimulateManyMoves(context.Background(), uint64(from), n, os.Getenv("BREAK"), runtime.NumCPU())
	t.Log(r.Seconds, r.Broken, r.Faults, r.Baseline)
	for _, n := range r.Notes {
		t.Log(n)
	}
	require.NotEmpty(t, r.Baseline)
}

func TestOne(t *testing.T) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	r := SimulateMoves(uint64(seed), os.Getenv("BREAK"), os.Stdout)
	t.Log(r.Notes)
}

package jobs

import (
	"context"
	"encoding/json"
)

// Kind is what works of one kind are: what comes next is decided without I/O, and what acts on places stands beside it.
type Kind interface {
	// Next says what comes after what is proven. It is pure: now is in milliseconds, seen is what Watch returned last
	// (nil: nothing yet).
	Next(now float64, w *Work, seen any) Step
	// Watch looks at the places concerned without changing anything, as far as the work's state calls for it. ctx ends
	// with the lease. An error means that nothing was reached.
	Watch(ctx context.Context, w *Work) (seen any, err error)
	// Do does a deed that was announced, behind the fence of each place that it acts on, and returns the proof: what the
	// work's state is now. A *Fenced error says that a place knows a higher token.
	Do(ctx context.Context, w *Work, d *Deed) (Proof, error)
	// Look finds out whether a deed that is in doubt was done. Where it was not, what was left of it is cleared, so that
	// it can be announced anew.
	Look(ctx context.Context, w *Work, d *Deed) (done bool, p Proof, err error)
}

// Proof is what a deed that was done leaves.
type Proof struct {
	State json.RawMessage
	Ended bool
	Why   string // it ended so
}

// Step is what a kind wants next.
type Step struct {
	Deed string          // to be announced and done; "": nothing for now
	Data json.RawMessage // of the deed
	Took *Word           // the operator's word that the deed takes up; nil: none
	Wait float64         // look again after so many milliseconds; 0: at the pace
	Why  string          // what is waited for, for operators
	Says []Option        // the words that could be given now
}

// Option is a word that an operator could give, and what it would do.
type Option struct {
	Say     string `json:"say"`
	Does    string `json:"does"`
	Lasting bool   `json:"lasting,omitempty"`
}

// Fenced is a place that refuses a token, since it has seen a higher one.
type Fenced struct {
	Place string
	Given Token
	Holds Token
}

func (f *Fenced) Error() string {
	return "fenced: " + f.Place + " has seen a later owner's token"
}

// Code is the reason in a word.
func (f *Fenced) Code() string { return "fenced" }

// Advice says what an operator can do.
func (f *Fenced) Advice() string {
	return "nothing, unless the cluster was newly founded: then its owner gets a higher token by itself; the place holds " + f.Place
}

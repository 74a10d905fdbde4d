// Package owner decides who does a piece of work on behalf of the whole fleet. It has no I/O, clock or logger. ledger.go
// is what the agreed log says of works, and comes out alike wherever the log is applied; desk.go is the log leader's choice
// of an owner; part.go is the owner's own side. No safety rests on a clock: a lease says when to stop trying, the token is
// what refuses. docs/owner.md derives the times.
package jobs

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Token is what an owner's acts carry. Each owner of any work has a higher one than all before it; whoever has seen a
// token refuses lower ones.
type Token uint64

// Ledger is what the log says of works. Its zero value holds none.
type Ledger struct {
	High  Token            `json:"high"` // the highest that was ever given, or heard of
	Works map[string]*Work `json:"works,omitempty"`
	Count uint64           `json:"count"` // of entries that changed something
	Loose bool             `json:"-"`     // tokens do not rise: to see a checker fail
}

// Work is something to be done by one owner at a time.
type Work struct {
	Name     string          `json:"name"`
	Kind     string          `json:"kind"`
	Spec     json.RawMessage `json:"spec,omitempty"`     // as it was asked for; it never changes
	Needs    []uint64        `json:"needs,omitempty"`    // groups of db hosts that its owner has to reach
	Owner    string          `json:"owner,omitempty"`    // "": nobody for now
	Instance uint64          `json:"instance,omitempty"` // of the owner's process; without an owner, of the one that gave it back
	Token    Token           `json:"token"`              // of the last owner
	Step     uint64          `json:"step"`               // proven deeds so far: what a word is given for
	State    json.RawMessage `json:"state,omitempty"`    // as the last proven deed left it
	Deed     *Deed           `json:"deed,omitempty"`     // announced and neither proven nor void
	Word     *Word           `json:"word,omitempty"`     // given and not taken up by a deed
	Owners   int             `json:"owners"`             // so far
	Voided   int             `json:"voided"`             // deeds that were announced and found not done
	Ended    bool            `json:"ended,omitempty"`
	Why      string          `json:"why,omitempty"` // it ended so
	Changed  uint64          `json:"changed"`       // Ledger.Count when it changed last
}

// Deed is one act that can be told from all others. Its identity is its work's name and its number.
type Deed struct {
	Number uint64          `json:"number"`
	Name   string          `json:"name"`
	Token  Token           `json:"token"` // under which it was announced
	Data   json.RawMessage `json:"data,omitempty"`
	Word   *Word           `json:"word,omitempty"` // that it takes up
}

// ID is what a deed is known by at the places that it acts on.
func (d *Deed) ID(work string) string { return fmt.Sprintf("%s/%d", work, d.Number) }

// Word is an operator's, given for one step of a work.
type Word struct {
	Say     string `json:"say"`
	By      string `json:"by,omitempty"`
	Step    uint64 `json:"step"`
	Lasting bool   `json:"lasting,omitempty"` // it still counts at a later step: a word on the careful side, such as to take back
}

// Op is what a line of the log does to a work.
type Op string

// The ops. Those of an owner carry its token.
const (
	Create   Op = "create"   // a new work, without an owner
	Assign   Op = "assign"   // the leader's: To and Instance own it from now on, if Token is still its last
	Resign   Op = "resign"   // an owner gives it back
	Announce Op = "announce" // an owner is about to do Deed
	Prove    Op = "prove"    // it is done, and State is what there is now
	Void     Op = "void"     // it was looked for and is not done; what was left of it is cleared
	Say      Op = "say"      // an operator's word for a step
	Raise    Op = "raise"    // a place knows a higher token than the log
	Act      Op = "act"      // its owner acts on the log itself, such as on the rules: refused unless it is the owner, and Deed, if named, is open
)

// Entry is one line of the log about a work.
type Entry struct {
	Op       Op              `json:"op"`
	Work     string          `json:"work,omitempty"`
	Token    Token           `json:"token,omitempty"`
	To       string          `json:"to,omitempty"`
	Instance uint64          `json:"instance,omitempty"`
	Kind     string          `json:"kind,omitempty"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Needs    []uint64        `json:"needs,omitempty"`
	Step     uint64          `json:"step,omitempty"`
	Deed     *Deed           `json:"deed,omitempty"`
	State    json.RawMessage `json:"state,omitempty"`
	Word     *Word           `json:"word,omitempty"`
	Ended    bool            `json:"ended,omitempty"`
	Why      string          `json:"why,omitempty"`
}

// Bounds of what a ledger holds.
const (
	mostOpen  = 64
	mostEnded = 64
	mostBytes = 16 << 10 // of a spec, a state or a deed's data
	mostName  = 128
	mostNeeds = 64
)

// Code says why an entry is refused.
type Code string

// The codes.
const (
	TokenOld   Code = "token_old"   // a later owner was named since
	NotOwner   Code = "not_owner"   // nobody owns it under that token
	NoWork     Code = "no_work"     // there is none of that name
	Exists     Code = "work_exists" // there is one
	DeedOpen   Code = "deed_open"   // another deed is announced
	NoDeed     Code = "no_deed"     // that deed is not open
	StepPassed Code = "step_passed" // the work is at another step than the word was given for
	WordThere  Code = "word_given"  // somebody gave one for this step before
	HasEnded   Code = "work_ended"
	TooMuch    Code = "too_much" // a bound
	Malformed  Code = "malformed"
)

// Refusal is an entry that changes nothing.
type Refusal struct {
	Reason Code   `json:"code"`
	Work   string `json:"work,omitempty"`
	Given  uint64 `json:"given,omitempty"` // the token, step or deed that was named
	Holds  uint64 `json:"holds,omitempty"` // what the log has
	Detail string `json:"detail,omitempty"`
}

func (r *Refusal) Error() string {
	text := map[Code]string{TokenOld: "a later owner has been named", NotOwner: "nobody owns it under that token", NoWork: "there is no such work",
		Exists: "there is a work of that name", DeedOpen: "another deed is announced and not settled", NoDeed: "that deed is not open",
		StepPassed: "it is at another step", WordThere: "a word was given for this step already", HasEnded: "it has ended",
		TooMuch: "that is more than is kept", Malformed: "the entry makes no sense"}[r.Reason]
	if r.Work != "" {
		text = "work " + r.Work + ": " + text
	}
	if r.Given != 0 || r.Holds != 0 {
		text += fmt.Sprintf(" (given %d, the log has %d)", r.Given, r.Holds)
	}
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	return text
}

// Code is the reason in a word.
func (r *Refusal) Code() string { return string(r.Reason) }

// Advice says what an operator can do.
func (r *Refusal) Advice() string {
	switch r.Reason {
	case TokenOld, NotOwner:
		return "nothing: the present owner goes on at the last proven deed; works shows who that is"
	case NoWork:
		return "works lists the names; one that has ended is forgotten after some others have"
	case Exists, HasEnded:
		return "give the new one another name"
	case DeedOpen, NoDeed:
		return "nothing: the owner looks whether that deed was done before it goes on"
	case StepPassed:
		return "look at the work's state again and give the word for the step that it shows"
	case WordThere:
		return "wait until the word that was given is taken up, then look again"
	case TooMuch:
		return "let open works end first, or make the spec smaller"
	}
	return "check the entry against docs/owner.md"
}

func refuse(c Code, work string, given, holds uint64) *Refusal {
	return &Refusal{Reason: c, Work: work, Given: given, Holds: holds}
}

// Check says what is wrong with an entry by itself; nil: nothing.
func (e *Entry) Check() *Refusal {
	bad := func(detail string, args ...any) *Refusal {
		return &Refusal{Reason: Malformed, Work: e.Work, Detail: fmt.Sprintf(detail, args...)}
	}
	if e.Op != Raise && (e.Work == "" || len(e.Work) > mostName || strings.ContainsAny(e.Work, "/\x00'\"")) {
		return bad("a name has 1 to %d characters and none of / ' \"", mostName)
	}
	for what, b := range map[string]json.RawMessage{"spec": e.Spec, "state": e.State} {
		if len(b) > mostBytes {
			return &Refusal{Reason: TooMuch, Work: e.Work, Given: uint64(len(b)), Holds: mostBytes, Detail: what}
		}
		if len(b) > 0 && !json.Valid(b) {
			return bad("the %s is no JSON", what)
		}
	}
	if len(e.Needs) > mostNeeds {
		return &Refusal{Reason: TooMuch, Work: e.Work, Given: uint64(len(e.Needs)), Holds: mostNeeds, Detail: "groups"}
	}
	switch e.Op {
	case Create:
		if e.Kind == "" || len(e.Kind) > mostName {
			return bad("a work needs a kind")
		}
	case Assign:
		if e.To == "" || len(e.To) > mostName {
			return bad("nobody is named as its owner")
		}
	case Announce, Prove, Void:
		if d := e.Deed; d == nil || d.Number == 0 || d.Name == "" || len(d.Name) > mostName {
			return bad("a deed has a number and a name")
		} else if len(d.Data) > mostBytes {
			return &Refusal{Reason: TooMuch, Work: e.Work, Given: uint64(len(d.Data)), Holds: mostBytes, Detail: "the deed's data"}
		} else if len(d.Data) > 0 && !json.Valid(d.Data) {
			return bad("the deed's data are no JSON")
		}
	case Say:
		if e.Word == nil || e.Word.Say == "" || len(e.Word.Say) > mostName || len(e.Word.By) > mostName {
			return bad("there is no word")
		}
	case Resign, Raise, Act:
	default:
		return bad("%q is no op", e.Op)
	}
	return nil
}

// Apply takes a line of the log. What is refused changes nothing.
func (l *Ledger) Apply(e Entry) *Refusal {
	if r := e.Check(); r != nil {
		return r
	}
	if e.Op == Raise {
		return l.raise(e)
	}
	w := l.Works[e.Work]
	if e.Op == Create {
		return l.create(e, w)
	}
	if w == nil {
		return refuse(NoWork, e.Work, 0, 0)
	}
	if w.Ended {
		return refuse(HasEnded, e.Work, 0, 0)
	}
	n := *w // works that were handed out keep what they say
	if r := l.change(&n, e); r != nil || e.Op == Act {
		return r
	}
	l.Count++
	n.Changed = l.Count
	l.Works[e.Work] = &n
	return nil
}

func (l *Ledger) create(e Entry, w *Work) *Refusal {
	if w != nil {
		return refuse(Exists, e.Work, 0, 0)
	}
	var open, ended []*Work
	for _, w := range l.Works {
		if w.Ended {
			ended = append(ended, w)
		} else {
			open = append(open, w)
		}
	}
	if len(open) >= mostOpen {
		return refuse(TooMuch, e.Work, uint64(len(open)+1), mostOpen)
	}
	if len(ended) >= mostEnded { // the one that ended first goes
		slices.SortFunc(ended, func(a, b *Work) int { return cmp.Compare(a.Changed, b.Changed) })
		delete(l.Works, ended[0].Name)
	}
	if l.Works == nil {
		l.Works = map[string]*Work{}
	}
	l.Count++
	l.Works[e.Work] = &Work{Name: e.Work, Kind: e.Kind, Spec: bytes.Clone(e.Spec), Needs: slices.Clone(e.Needs), State: bytes.Clone(e.State), Changed: l.Count}
	return nil
}

// raise takes a token that some place has seen, so that the next owner's is higher. Where a work is named, its owner
// can't go on with the token that it has, and gives it back.
func (l *Ledger) raise(e Entry) *Refusal {
	if w := l.Works[e.Work]; w != nil && !w.Ended && w.Owner != "" && w.Token < e.Token {
		n := *w
		n.Owner, n.Instance = "", 0
		n.Changed = l.Count + 1
		l.Works[e.Work] = &n
	} else if e.Token <= l.High {
		return nil
	}
	l.Count++
	l.High = max(l.High, e.Token)
	return nil
}

// change is what an entry makes of a work that is open.
func (l *Ledger) change(w *Work, e Entry) *Refusal {
	switch e.Op {
	case Assign: // the token is that of the owner which it replaces: of two that cross, one counts
		if e.Token != w.Token {
			return refuse(TokenOld, e.Work, uint64(e.Token), uint64(w.Token))
		}
		if !l.Loose {
			l.High++
		}
		w.Owner, w.Instance, w.Token = e.To, e.Instance, l.High
		w.Owners++
		return nil
	case Say:
		if e.Word.Step != w.Step {
			return refuse(StepPassed, e.Work, e.Word.Step, w.Step)
		}
		if w.Word != nil && (w.Word.Step == w.Step || w.Word.Lasting) {
			r := refuse(WordThere, e.Work, 0, 0)
			r.Detail = w.Word.Say
			if w.Word.By != "" {
				r.Detail += " by " + w.Word.By
			}
			return r
		}
		word := *e.Word
		w.Word = &word
		return nil
	}
	if e.Token < w.Token {
		return refuse(TokenOld, e.Work, uint64(e.Token), uint64(w.Token))
	}
	if w.Owner == "" || e.Token > w.Token {
		return refuse(NotOwner, e.Work, uint64(e.Token), uint64(w.Token))
	}
	switch e.Op {
	case Act:
		if d := e.Deed; d != nil && (w.Deed == nil || w.Deed.Number != d.Number || w.Deed.Name != d.Name) {
			return refuse(NoDeed, e.Work, d.Number, w.next()-1) // it was found not done, and comes late
		}
	case Resign: // its process ends, so it is not asked again
		w.Owner = ""
	case Announce:
		if w.Deed != nil {
			return refuse(DeedOpen, e.Work, e.Deed.Number, w.Deed.Number)
		}
		if e.Step != w.Step { // one that was late: that step's deed is done
			return refuse(StepPassed, e.Work, e.Step, w.Step)
		}
		if want := w.next(); e.Deed.Number != want {
			return refuse(NoDeed, e.Work, e.Deed.Number, want)
		}
		d := *e.Deed
		if d.Token, d.Word = e.Token, nil; e.Word != nil { // the deed takes the word up: the one that is there
			if w.Word == nil || *w.Word != *e.Word {
				return refuse(StepPassed, e.Work, e.Word.Step, w.Step)
			}
			d.Word, w.Word = w.Word, nil
		}
		w.Deed = &d
	case Prove, Void:
		if w.Deed == nil || w.Deed.Number != e.Deed.Number || w.Deed.Name != e.Deed.Name {
			return refuse(NoDeed, e.Work, e.Deed.Number, w.next()-1)
		}
		word := w.Deed.Word
		w.Deed = nil
		if e.Op == Void {
			w.Voided++
			if word != nil && (w.Word == nil || word.Lasting && !w.Word.Lasting) {
				w.Word = word // it was not taken up after all; a lasting one goes before what was said meanwhile
			}
			return nil
		}
		w.Step++
		w.State = bytes.Clone(e.State)
		if w.Word != nil && !w.Word.Lasting {
			w.Word = nil // it was given for the step before
		}
		if e.Ended {
			w.Ended, w.Why, w.Owner, w.Instance = true, e.Why, "", 0
		}
	}
	return nil
}

// next is the number of the next deed: each announced one has its own, whether it was proven or found not done.
func (w *Work) next() uint64 { return w.Step + uint64(w.Voided) + 1 }

// Next is the number that the next deed is announced by.
func (w *Work) Next() uint64 { return w.next() }

// Open are the names of works that have not ended, in order.
func (l *Ledger) Open() (names []string) {
	for name, w := range l.Works {
		if !w.Ended {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Since are the works that changed after a count, as they did.
func (l *Ledger) Since(count uint64) (out []Work) {
	for _, w := range l.Works {
		if w.Changed > count {
			out = append(out, *w)
		}
	}
	slices.SortFunc(out, func(a, b Work) int { return cmp.Compare(a.Changed, b.Changed) })
	return out
}

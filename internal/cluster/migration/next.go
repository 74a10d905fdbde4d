package migration

import (
	"encoding/json"
	"fmt"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Deeds of a move.
const (
	DeedCheck     = "check"
	DeedPublish   = "publish"
	DeedSubscribe = "subscribe"
	DeedCopy      = "copy"
	DeedMark      = "mark"
	DeedCompare   = "compare"
	DeedPause     = "pause"
	DeedClose     = "close"
	DeedVerify    = "verify"
	DeedSwitch    = "switch"
	DeedFeed      = "feed"
	DeedReopen    = "reopen"
	DeedAccept    = "accept"
	DeedFinish    = "finish"
	DeedClear     = "clear"
	DeedEnd       = "end"
	DeedHold      = "hold"
	DeedResume    = "resume"
	DeedBack      = "back"
	DeedDrop      = "drop"
)

// Data are what a deed was announced with.
type Data struct {
	At      float64 `json:"at"`                // when, by the clock of the owner whose token the deed bears
	Within  float64 `json:"within,omitempty"`  // ms that the places may take
	Rows    float64 `json:"rows,omitempty"`    // copy: about so many
	End     bool    `json:"end,omitempty"`     // close: sessions that hold it up are ended
	Again   bool    `json:"again,omitempty"`   // subscribe, feed: what is there goes first; clear: so that it is copied anew
	Reverse bool    `json:"reverse,omitempty"` // pause: back to the old home
	Back    string  `json:"back,omitempty"`    // reopen, clear, pause: why the move is taken back
	Held    string  `json:"held,omitempty"`    // hold, reopen: why it waits then
	Why     string  `json:"why,omitempty"`     // reopen: what for; drop: the word
	Doubt   bool    `json:"doubt,omitempty"`   // mark: a side failed over
	Lost    string  `json:"lost,omitempty"`    // what a failover left behind
}

// Seen is what the places and the agreed rules showed. It counts for the step that it was seen at.
type Seen struct {
	Step    uint64
	Version int  // of the newest logged rules
	InForce bool // every pooler with a lease acts on it alone
	Paused  bool // by that version
	Group   Group
	Turn    bool // the move may go on beside those that run
	Turns   string
	Pace    float64 // rows/s that both sides have room for; 0: none now
	Progress
}

// Progress is how far the new home follows the old one, or the other way round once it is fed back.
type Progress struct {
	Reached  bool     // both sides answered
	Lines    Lines    // of now
	HomePos  Position // past the home's last write
	Applied  Position // that the other has taken in, and has on those of its standbys that may take over
	Behind   float64  // ms that the other needs to take in what is missing, by its pace of late
	Ready    bool     // every table that was handed over is copied
	SlotLost bool     // the other has no subscription, or the home no slot for it any more: copy anew
	Ahead    bool     // the other is known to hold what the home has lost by a failover: copy anew
	Unmarked bool     // what was noted of touched ranges, or the slot for the way back, is lost
	Verify   float64  // ms that reading these again takes, by the pace of late
	Unfit    string   // why the new home should not be gone to now: cold, draining, slow
	FenceOff bool     // the other home's fence is open, after a failover there
}

// Next says what comes after what is proven.
func (m *Mover) Next(now float64, w *jobs.Job, seen any) jobs.Decision {
	p, err := read(w.Spec)
	if err != nil {
		return jobs.Decision{Reason: "the plan can't be read: " + err.Error()}
	}
	s, err := stateOf(w)
	if err != nil {
		return jobs.Decision{Reason: "the state can't be read: " + err.Error()}
	}
	look, _ := seen.(*Seen)
	if look != nil && look.Step != w.Step {
		look = nil // it was seen before the last deed was done
	}
	n := &next{p: p, c: m.Costs, s: s, w: w, now: now, seen: look, broken: m.Break}
	step := n.step()
	step.Options = n.says()
	if word := w.Approval; step.OperationName == "" && word != nil && (word.Step == w.Step || word.Persistent) &&
		!slices.ContainsFunc(step.Options, func(o jobs.ApprovalOption) bool { return o.Action == word.Action }) {
		n.took = word // it means nothing here, and no other can be given while it stands
		return n.do(DeedDrop, Data{Why: word.Action})
	}
	return step
}

// next is one decision.
type next struct {
	p      Plan
	c      Costs
	s      State
	w      *jobs.Job
	now    float64
	seen   *Seen
	took   *jobs.Approval
	broken string
}

// word takes the word that was given for this step, if it is one of these. A lasting one counts at any.
func (n *next) word(say ...string) bool {
	if w := n.w.Approval; w != nil && (w.Step == n.w.Step || w.Persistent) && slices.Contains(say, w.Action) {
		n.took = w
		return true
	}
	return false
}

// do announces a deed, with the word that was taken.
func (n *next) do(deed string, d Data) jobs.Decision {
	d.At = n.now
	b, _ := json.Marshal(d)
	return jobs.Decision{OperationName: deed, Data: b, Approval: n.took}
}

func wait(why string, args ...any) jobs.Decision {
	return jobs.Decision{Reason: fmt.Sprintf(why, args...)}
}

func (n *next) step() jobs.Decision {
	if s, ok := n.rollback(); ok {
		return s
	}
	if n.s.Phase == Closing || n.s.Phase == Verifying { // time runs: no wait here may be without an end
		return n.paused()
	}
	if n.s.Held == "" && n.s.Back == "" && n.mayHold() && n.word(Hold) {
		return n.do(DeedHold, Data{Held: "an operator said pause"})
	}
	if n.s.Held != "" && n.s.Phase != Clearing {
		if n.word(Resume) {
			return n.do(DeedResume, Data{})
		}
		if n.s.Phase != Switched || n.s.Fed { // the way back is built while it waits
			return wait("held: %s", n.s.Held)
		}
	}
	switch n.s.Phase {
	case Planned:
		if n.seen == nil || !n.seen.Turn {
			return wait("it is another move's turn%s", n.turns())
		}
		return n.do(DeedCheck, Data{})
	case Checked:
		if !n.s.Published && !n.goes(AtChecked) {
			return wait("waits for go, to build the copy at the new home")
		}
		if !n.s.Published {
			return n.do(DeedPublish, Data{})
		}
		return n.do(DeedSubscribe, Data{})
	case Copying:
		return n.copying()
	case CatchingUp:
		return n.catchingUp()
	case Switched:
		return n.switched()
	case Accepted:
		return n.do(DeedFinish, Data{})
	case Clearing:
		return n.do(DeedClear, Data{Back: n.s.Back})
	}
	return wait("it has ended")
}

func (n *next) turns() string {
	if n.seen == nil || n.seen.Turns == "" {
		return ""
	}
	return ": " + n.seen.Turns
}

// rollback is what an operator's rollback comes to, whatever else could be done.
func (n *next) rollback() (jobs.Decision, bool) {
	if n.broken == "back" || n.s.Back != "" || !n.word(Rollback) {
		n.took = nil
		return jobs.Decision{}, false
	}
	d := Data{Back: "an operator said rollback"}
	switch n.s.Phase {
	case Planned, Checked:
		if !n.s.Published {
			return n.do(DeedEnd, d), true
		}
		return n.do(DeedClear, d), true
	case Copying, CatchingUp:
		return n.do(DeedClear, d), true
	case Closing, Verifying:
		d.Why = d.Back
		return n.do(DeedReopen, d), true
	case Switched:
		return n.do(DeedBack, d), true
	}
	n.took = nil
	return jobs.Decision{}, false
}

// copying hands over tables at the pace that both sides have room for.
func (n *next) copying() jobs.Decision {
	see := n.seen
	if s, wait := n.follow(); wait {
		return s
	}
	if see.Unfit == "draining" {
		return wait("the new home is draining")
	}
	if n.s.Copy.All {
		return n.do(DeedMark, Data{Lost: n.failover(), Doubt: see.Lines != n.s.Lines})
	}
	pace := see.Pace
	if n.p.Pace > 0 {
		pace = min(pace, n.p.Pace)
	}
	if pace <= 0 {
		return wait("neither side may be loaded further now")
	}
	// What was handed over last has to have had its time at this pace. Another owner's clock counts for nothing.
	if ago, known := n.s.Copy.Begun.since(n.now, n.w.Token); known && ago < n.s.Copy.Rows/pace*1000 {
		s := wait("paced at %.0f rows/s", pace)
		s.RetryAfterMillis = n.s.Copy.Rows/pace*1000 - ago
		return s
	}
	return n.do(DeedCopy, Data{Rows: pace * batch})
}

// pausedLook is how often it is looked while a tenant is paused, in ms: short against any pause.
const pausedLook = 20

const batch = 10 // seconds' worth of rows handed over at once: short against a change of load, long against a deed in the log

// failover words what a failover of the home left behind, "" if it had none.
func (n *next) failover() string {
	is, was := n.seen.Lines.Home, n.s.Lines.Home
	if is == was || was == 0 {
		return ""
	}
	home, _ := n.s.home(n.p)
	return fmt.Sprintf("group %d failed over from timeline %d to %d: what was acknowledged there and not passed on is lost", home, was, is)
}

// follow sees to it that the other home can follow this one: it is copied anew where that can't be had otherwise.
func (n *next) follow() (jobs.Decision, bool) {
	see := n.seen
	if see == nil || !see.Reached {
		return wait("the homes can't be reached"), true
	}
	if n.s.Again || see.SlotLost || see.Ahead {
		if n.s.Phase == Switched {
			return n.do(DeedFeed, Data{Again: true, Lost: n.failover()}), true
		}
		return n.do(DeedSubscribe, Data{Again: true, Lost: n.failover()}), true
	}
	if !see.Ready {
		return wait("tables are being copied"), true
	}
	return jobs.Decision{}, false
}

// compared sees to it that all has been found equal since either side failed over last: the home may have lost what the
// other has taken in, and the other may have lost what the home holds for passed on.
func (n *next) compared() (jobs.Decision, bool) {
	if n.seen.Unmarked || n.seen.Lines != n.s.Lines {
		return n.do(DeedMark, Data{Lost: n.failover(), Doubt: n.seen.Lines != n.s.Lines}), true
	}
	if !n.s.Compare.All {
		return n.do(DeedCompare, Data{}), true
	}
	return jobs.Decision{}, false
}

// soon sees to it that a pause which begins now can be expected to end in a switch.
func (n *next) soon() (jobs.Decision, bool) {
	see := n.seen
	if ago, known := n.s.Rested.since(n.now, n.w.Token); known && n.s.Tries > 0 && ago < n.p.Rest {
		s := wait("rests after a pause that was taken back")
		s.RetryAfterMillis = n.p.Rest - ago
		return s, true
	}
	if see.Unfit != "" {
		return wait("the new home is %s", see.Unfit), true
	}
	if need, ok := n.fits(see); !ok {
		ago, known := n.s.Compare.Begun.since(n.now, n.w.Token)
		if see.Verify > see.Behind && (!known || ago > n.p.Rest) { // fewer ranges are touched right after a comparison
			return n.do(DeedMark, Data{}), true
		}
		return wait("a pause now would need %.0f ms, %.0f are left of its bound", need, n.c.Cutoff(n.p)), true
	}
	return jobs.Decision{}, false
}

// fits says whether a pause begun now can be expected to end in a switch.
func (n *next) fits(see *Seen) (float64, bool) {
	need := n.c.Forward(n.p.Lock) + see.Behind + see.Verify
	return need, need <= n.c.Cutoff(n.p)
}

func (n *next) catchingUp() jobs.Decision {
	for _, first := range []func() (jobs.Decision, bool){n.follow, n.compared, n.soon} {
		if s, is := first(); is {
			return s
		}
	}
	if !n.goes(AtClosing) {
		return wait("waits for go, to pause the tenant")
	}
	return n.do(DeedPause, Data{})
}

// goes says whether a checkpoint is passed: the plan has none there, or its word was given.
func (n *next) goes(checkpoint string) bool {
	return !n.p.at(checkpoint) || n.broken == "word" || n.word(Go)
}

// paused goes on with a pause, or takes it back early enough.
func (n *next) paused() jobs.Decision {
	s, see := n.s, n.seen
	if n.word(Hold) {
		return n.do(DeedReopen, Data{Why: "an operator said pause", Held: "an operator said pause"})
	}
	ago, known := s.Pause.Begun.since(n.now, n.w.Token)
	left := n.c.Cutoff(n.p) - ago
	if n.broken != "pause" {
		if !known {
			return n.do(DeedReopen, Data{Why: "its owner was replaced: how long the pause has lasted is known to nobody"})
		}
		if left <= 0 {
			return n.do(DeedReopen, Data{Why: "its time was up: " + n.stands()})
		}
	}
	step := n.forward(see, left)
	if step.OperationName == "" && n.broken != "pause" {
		step.RetryAfterMillis = max(1, min(left, pausedLook)) // what it waits for shows at the places and in the rules, and has to be looked for
	}
	return step
}

// stands says what a pause was waiting for.
func (n *next) stands() string {
	switch p := n.s.Pause; {
	case p.Closed == nil && len(n.s.Stragglers) > 0:
		return sayAll(pointers(n.s.Stragglers))
	case p.Closed == nil && p.Closes == 0:
		return "the version that pauses was not in force"
	case p.Closed == nil:
		return "writers did not end"
	case !p.Verified:
		return "the other home had not taken in all of it"
	}
	return "nobody said go"
}

func (n *next) forward(see *Seen, left float64) jobs.Decision {
	s := n.s
	if s.Pause.Closed == nil {
		if see == nil || !see.Paused || !see.InForce || see.Version < s.Pause.Version {
			return wait("until every pooler acts on the pause")
		}
		return n.do(DeedClose, Data{Within: max(1, min(n.p.Lock, left)), End: n.p.Stragglers == "end" && s.Pause.Closes > 0})
	}
	if s.Pause.Verified {
		if !s.Reverse && !n.goes(AtSwitching) {
			return wait("waits for go, to switch")
		}
		return n.do(DeedSwitch, Data{Within: max(1, left)})
	}
	if len(s.Differ) > 0 {
		return n.do(DeedReopen, Data{Why: "verify found differences: " + sayAll(pointers(s.Differ))})
	}
	if see == nil || !see.Reached {
		return wait("the homes can't be reached")
	}
	if see.Lines.Home != s.Pause.Closed.Line { // the new primary may lack the fence, and positions mean something else
		return n.do(DeedClose, Data{Within: max(1, min(n.p.Lock, left))})
	}
	if see.SlotLost || see.Ahead {
		return n.do(DeedReopen, Data{Why: "the other home can't follow any more: it has to be copied anew"})
	}
	if see.Applied < s.Pause.Closed.Position || !see.Ready {
		return wait("the other home has taken in %v of %v", see.Applied, s.Pause.Closed.Position)
	}
	return n.do(DeedVerify, Data{Within: max(1, left)})
}

func (n *next) switched() jobs.Decision {
	if !n.s.Fed || n.seen != nil && n.seen.Reached && n.seen.FenceOff {
		return n.do(DeedFeed, Data{})
	}
	for _, first := range []func() (jobs.Decision, bool){n.follow, n.compared} {
		if s, is := first(); is {
			return s
		}
	}
	if n.s.Back != "" {
		if s, is := n.soon(); is {
			return s
		}
		return n.do(DeedPause, Data{Reverse: true})
	}
	if n.word(Accept) {
		return n.do(DeedAccept, Data{})
	}
	return wait("waits for accept or rollback; the old home is fed")
}

func (n *next) mayHold() bool {
	return slices.Contains([]Phase{Planned, Checked, Copying, CatchingUp, Switched}, n.s.Phase)
}

// says are the words that could be given for this step.
func (n *next) says() (out []jobs.ApprovalOption) {
	say := func(word, does string) {
		out = append(out, jobs.ApprovalOption{Action: word, Effect: does, Persistent: word == Rollback})
	}
	s := n.s
	switch {
	case s.Held != "" && s.Phase != Clearing:
		say(Resume, resumes(s))
	case s.Phase == Checked && n.p.at(AtChecked) && !s.Published:
		say(Go, "the copy at the new home is built")
	case s.Phase == CatchingUp && s.Compare.All && n.p.at(AtClosing):
		say(Go, fmt.Sprintf("the tenant is paused, for %.0f ms at most", n.p.Pause))
	case s.Phase == Verifying && n.p.at(AtSwitching) && s.Pause.Verified && s.Back == "":
		say(Go, "the tenant is served by the new home")
	case s.Phase == Switched && s.Back == "" && s.Fed && s.Compare.All:
		say(Accept, "the old home is fed no longer and there is no way back by this move")
	}
	if s.Held == "" && s.Back == "" {
		if n.mayHold() {
			say(Hold, "nothing further is begun until resume; what runs at the homes goes on")
		} else if s.Phase == Closing || s.Phase == Verifying {
			say(Hold, "the tenant opens again where it was, and nothing further is begun until resume")
		}
	}
	if s.Back == "" && slices.Contains([]Phase{Planned, Checked, Copying, CatchingUp, Closing, Verifying, Switched}, s.Phase) {
		say(Rollback, Back[s.Phase])
	}
	return out
}

// resumes says what resume does.
func resumes(s State) string {
	switch {
	case len(s.Differ) > 0 && s.Phase == Switched:
		return "the old home's copy is emptied and copied anew from the new one"
	case len(s.Differ) > 0:
		return "the copy at the new home is emptied and copied anew"
	case s.Phase == Planned:
		return "the check is done again"
	}
	return "the move goes on"
}

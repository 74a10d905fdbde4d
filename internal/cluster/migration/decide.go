package migration

import (
	"encoding/json"
	"fmt"
	"slices"

	"ashstand/internal/cluster/jobs"
)

// Deeds of a move.
const (
	OperationCheck           = "check"
	OperationPublish         = "publish"
	OperationSubscribe       = "subscribe"
	OperationCopy            = "copy"
	OperationTrack           = "mark"
	OperationCompare         = "compare"
	OperationPause           = "pause"
	OperationFence           = "close"
	OperationVerify          = "verify"
	OperationSwitch          = "switch"
	OperationReplicateBack   = "feed"
	OperationReopen          = "reopen"
	OperationAccept          = "accept"
	OperationFinish          = "finish"
	OperationCleanUp         = "clear"
	OperationCancel          = "end"
	OperationHold            = "hold"
	OperationResume          = "resume"
	OperationRollBack        = "back"
	OperationDiscardApproval = "drop"
)

// OperationData are what a deed was announced with.
type OperationData struct {
	At                  float64 `json:"at"`                // when, by the clock of the owner whose token the deed bears
	TimeoutMillis       float64 `json:"within,omitempty"`  // ms that the places may take
	Rows                float64 `json:"rows,omitempty"`    // copy: about so many
	EndBlockingSessions bool    `json:"end,omitempty"`     // close: sessions that hold it up are ended
	Recopy              bool    `json:"again,omitempty"`   // subscribe, feed: what is there goes first; clear: so that it is copied anew
	Reverse             bool    `json:"reverse,omitempty"` // pause: back to the old home
	RollbackReason      string  `json:"back,omitempty"`    // reopen, clear, pause: why the move is taken back
	HoldReason          string  `json:"held,omitempty"`    // hold, reopen: why it waits then
	Reason              string  `json:"why,omitempty"`     // reopen: what for; drop: the word
	FailedOver          bool    `json:"doubt,omitempty"`   // mark: a side failed over
	LostCommits         string  `json:"lost,omitempty"`    // what a failover left behind
}

// Observation is what the places and the agreed rules showed. It counts for the step that it was seen at.
type Observation struct {
	Step          uint64
	Version       int  // of the newest logged rules
	InForce       bool // every pooler with a lease acts on it alone
	Paused        bool // by that version
	Group         Group
	MayStart      bool // the move may go on beside those that run
	WaitReason    string
	RowsPerSecond float64 // rows/s that both sides have room for; 0: none now
	ReplicationStatus
}

// ReplicationStatus is how far the new home follows the old one, or the other way round once it is fed back.
type ReplicationStatus struct {
	Reachable      bool      // both sides answered
	Timelines      Timelines // of now
	SourceLSN      LSN       // past the home's last write
	AppliedLSN     LSN       // that the other has taken in, and has on those of its standbys that may take over
	LagMillis      float64   // ms that the other needs to take in what is missing, by its pace of late
	TablesCopied   bool      // every table that was handed over is copied
	SlotLost       bool      // the other has no subscription, or the home no slot for it any more: copy anew
	TargetAhead    bool      // the other is known to hold what the home has lost by a failover: copy anew
	TrackingLost   bool      // what was noted of touched ranges, or the slot for the way back, is lost
	VerifyMillis   float64   // ms that reading these again takes, by the pace of late
	UnfitReason    string    // why the new home should not be gone to now: cold, draining, slow
	TargetUnfenced bool      // the other home's fence is open, after a failover there
}

// Next says what comes after what is proven.
func (m *Migrator) Next(now float64, w *jobs.Job, seen any) jobs.Decision {
	p, err := decodePlan(w.Spec)
	if err != nil {
		return jobs.Decision{Reason: "the plan can't be read: " + err.Error()}
	}
	s, err := decodeState(w)
	if err != nil {
		return jobs.Decision{Reason: "the state can't be read: " + err.Error()}
	}
	look, _ := seen.(*Observation)
	if look != nil && look.Step != w.Step {
		look = nil // it was seen before the last deed was done
	}
	n := &next{p: p, c: m.Timing, s: s, w: w, now: now, seen: look, broken: m.DisabledGuarantee}
	step := n.step()
	step.Options = n.says()
	if word := w.Approval; step.OperationName == "" && word != nil && (word.Step == w.Step || word.Persistent) &&
		!slices.ContainsFunc(step.Options, func(o jobs.ApprovalOption) bool { return o.Action == word.Action }) {
		n.took = word // it means nothing here, and no other can be given while it stands
		return n.do(OperationDiscardApproval, OperationData{Reason: word.Action})
	}
	return step
}

// next is one decision.
type next struct {
	p      Plan
	c      Timing
	s      State
	w      *jobs.Job
	now    float64
	seen   *Observation
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
func (n *next) do(deed string, d OperationData) jobs.Decision {
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
	if n.s.Phase == PhaseFencing || n.s.Phase == PhaseVerifying { // time runs: no wait here may be without an end
		return n.paused()
	}
	if n.s.HoldReason == "" && n.s.RollbackReason == "" && n.mayHold() && n.word(ActionPause) {
		return n.do(OperationHold, OperationData{HoldReason: "an operator said pause"})
	}
	if n.s.HoldReason != "" && n.s.Phase != PhaseCleaningUp {
		if n.word(ActionResume) {
			return n.do(OperationResume, OperationData{})
		}
		if n.s.Phase != PhaseSwitched || n.s.ReverseReplicating { // the way back is built while it waits
			return wait("held: %s", n.s.HoldReason)
		}
	}
	switch n.s.Phase {
	case PhasePlanned:
		if n.seen == nil || !n.seen.MayStart {
			return wait("it is another move's turn%s", n.turns())
		}
		return n.do(OperationCheck, OperationData{})
	case PhaseChecked:
		if !n.s.Published && !n.goes(CheckpointChecked) {
			return wait("waits for go, to build the copy at the new home")
		}
		if !n.s.Published {
			return n.do(OperationPublish, OperationData{})
		}
		return n.do(OperationSubscribe, OperationData{})
	case PhaseCopying:
		return n.copying()
	case PhaseCatchingUp:
		return n.catchingUp()
	case PhaseSwitched:
		return n.switched()
	case PhaseAccepted:
		return n.do(OperationFinish, OperationData{})
	case PhaseCleaningUp:
		return n.do(OperationCleanUp, OperationData{RollbackReason: n.s.RollbackReason})
	}
	return wait("it has ended")
}

func (n *next) turns() string {
	if n.seen == nil || n.seen.WaitReason == "" {
		return ""
	}
	return ": " + n.seen.WaitReason
}

// rollback is what an operator's rollback comes to, whatever else could be done.
func (n *next) rollback() (jobs.Decision, bool) {
	if n.broken == "back" || n.s.RollbackReason != "" || !n.word(ActionRollback) {
		n.took = nil
		return jobs.Decision{}, false
	}
	d := OperationData{RollbackReason: "an operator said rollback"}
	switch n.s.Phase {
	case PhasePlanned, PhaseChecked:
		if !n.s.Published {
			return n.do(OperationCancel, d), true
		}
		return n.do(OperationCleanUp, d), true
	case PhaseCopying, PhaseCatchingUp:
		return n.do(OperationCleanUp, d), true
	case PhaseFencing, PhaseVerifying:
		d.Reason = d.RollbackReason
		return n.do(OperationReopen, d), true
	case PhaseSwitched:
		return n.do(OperationRollBack, d), true
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
	if see.UnfitReason == "draining" {
		return wait("the new home is draining")
	}
	if n.s.Copy.Complete {
		return n.do(OperationTrack, OperationData{LostCommits: n.failover(), FailedOver: see.Timelines != n.s.Timelines})
	}
	pace := see.RowsPerSecond
	if n.p.MaxRowsPerSecond > 0 {
		pace = min(pace, n.p.MaxRowsPerSecond)
	}
	if pace <= 0 {
		return wait("neither side may be loaded further now")
	}
	// What was handed over last has to have had its time at this pace. Another owner's clock counts for nothing.
	if ago, known := n.s.Copy.BatchStarted.elapsed(n.now, n.w.Token); known && ago < n.s.Copy.BatchRows/pace*1000 {
		s := wait("paced at %.0f rows/s", pace)
		s.RetryAfterMillis = n.s.Copy.BatchRows/pace*1000 - ago
		return s
	}
	return n.do(OperationCopy, OperationData{Rows: pace * batch})
}

// pausedLook is how often it is looked while a tenant is paused, in ms: short against any pause.
const pausedLook = 20

const batch = 10 // seconds' worth of rows handed over at once: short against a change of load, long against a deed in the log

// failover words what a failover of the home left behind, "" if it had none.
func (n *next) failover() string {
	is, was := n.seen.Timelines.Source, n.s.Timelines.Source
	if is == was || was == 0 {
		return ""
	}
	home, _ := n.s.groups(n.p)
	return fmt.Sprintf("group %d failed over from timeline %d to %d: what was acknowledged there and not passed on is lost", home, was, is)
}

// follow sees to it that the other home can follow this one: it is copied anew where that can't be had otherwise.
func (n *next) follow() (jobs.Decision, bool) {
	see := n.seen
	if see == nil || !see.Reachable {
		return wait("the homes can't be reached"), true
	}
	if n.s.RecopyRequired || see.SlotLost || see.TargetAhead {
		if n.s.Phase == PhaseSwitched {
			return n.do(OperationReplicateBack, OperationData{Recopy: true, LostCommits: n.failover()}), true
		}
		return n.do(OperationSubscribe, OperationData{Recopy: true, LostCommits: n.failover()}), true
	}
	if !see.TablesCopied {
		return wait("tables are being copied"), true
	}
	return jobs.Decision{}, false
}

// compared sees to it that all has been found equal since either side failed over last: the home may have lost what the
// other has taken in, and the other may have lost what the home holds for passed on.
func (n *next) compared() (jobs.Decision, bool) {
	if n.seen.TrackingLost || n.seen.Timelines != n.s.Timelines {
		return n.do(OperationTrack, OperationData{LostCommits: n.failover(), FailedOver: n.seen.Timelines != n.s.Timelines}), true
	}
	if !n.s.Comparison.Complete {
		return n.do(OperationCompare, OperationData{}), true
	}
	return jobs.Decision{}, false
}

// soon sees to it that a pause which begins now can be expected to end in a switch.
func (n *next) soon() (jobs.Decision, bool) {
	see := n.seen
	if ago, known := n.s.LastAbort.elapsed(n.now, n.w.Token); known && n.s.AbortedPauses > 0 && ago < n.p.BackoffMillis {
		s := wait("rests after a pause that was taken back")
		s.RetryAfterMillis = n.p.BackoffMillis - ago
		return s, true
	}
	if see.UnfitReason != "" {
		return wait("the new home is %s", see.UnfitReason), true
	}
	if need, ok := n.fits(see); !ok {
		ago, known := n.s.Comparison.Started.elapsed(n.now, n.w.Token)
		if see.VerifyMillis > see.LagMillis && (!known || ago > n.p.BackoffMillis) { // fewer ranges are touched right after a comparison
			return n.do(OperationTrack, OperationData{}), true
		}
		return wait("a pause now would need %.0f ms, %.0f are left of its bound", need, n.c.CutoffMillis(n.p)), true
	}
	return jobs.Decision{}, false
}

// fits says whether a pause begun now can be expected to end in a switch.
func (n *next) fits(see *Observation) (float64, bool) {
	need := n.c.ForwardMillis(n.p.FenceWaitMillis) + see.LagMillis + see.VerifyMillis
	return need, need <= n.c.CutoffMillis(n.p)
}

func (n *next) catchingUp() jobs.Decision {
	for _, first := range []func() (jobs.Decision, bool){n.follow, n.compared, n.soon} {
		if s, is := first(); is {
			return s
		}
	}
	if !n.goes(CheckpointFencing) {
		return wait("waits for go, to pause the tenant")
	}
	return n.do(OperationPause, OperationData{})
}

// goes says whether a checkpoint is passed: the plan has none there, or its word was given.
func (n *next) goes(checkpoint string) bool {
	return !n.p.waitsAt(checkpoint) || n.broken == "word" || n.word(ActionGo)
}

// paused goes on with a pause, or takes it back early enough.
func (n *next) paused() jobs.Decision {
	s, see := n.s, n.seen
	if n.word(ActionPause) {
		return n.do(OperationReopen, OperationData{Reason: "an operator said pause", HoldReason: "an operator said pause"})
	}
	ago, known := s.Pause.Started.elapsed(n.now, n.w.Token)
	left := n.c.CutoffMillis(n.p) - ago
	if n.broken != "pause" {
		if !known {
			return n.do(OperationReopen, OperationData{Reason: "its owner was replaced: how long the pause has lasted is known to nobody"})
		}
		if left <= 0 {
			return n.do(OperationReopen, OperationData{Reason: "its time was up: " + n.stands()})
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
	case p.Fence == nil && len(n.s.BlockingSessions) > 0:
		return joinErrors(pointers(n.s.BlockingSessions))
	case p.Fence == nil && p.FenceAttempts == 0:
		return "the version that pauses was not in force"
	case p.Fence == nil:
		return "writers did not end"
	case !p.Verified:
		return "the other home had not taken in all of it"
	}
	return "nobody said go"
}

func (n *next) forward(see *Observation, left float64) jobs.Decision {
	s := n.s
	if s.Pause.Fence == nil {
		if see == nil || !see.Paused || !see.InForce || see.Version < s.Pause.RulesVersion {
			return wait("until every pooler acts on the pause")
		}
		return n.do(OperationFence, OperationData{TimeoutMillis: max(1, min(n.p.FenceWaitMillis, left)), EndBlockingSessions: n.p.BlockingSessions == "end" && s.Pause.FenceAttempts > 0})
	}
	if s.Pause.Verified {
		if !s.Reverse && !n.goes(CheckpointSwitching) {
			return wait("waits for go, to switch")
		}
		return n.do(OperationSwitch, OperationData{TimeoutMillis: max(1, left)})
	}
	if len(s.Differences) > 0 {
		return n.do(OperationReopen, OperationData{Reason: "verify found differences: " + joinErrors(pointers(s.Differences))})
	}
	if see == nil || !see.Reachable {
		return wait("the homes can't be reached")
	}
	if see.Timelines.Source != s.Pause.Fence.Timeline { // the new primary may lack the fence, and positions mean something else
		return n.do(OperationFence, OperationData{TimeoutMillis: max(1, min(n.p.FenceWaitMillis, left))})
	}
	if see.SlotLost || see.TargetAhead {
		return n.do(OperationReopen, OperationData{Reason: "the other home can't follow any more: it has to be copied anew"})
	}
	if see.AppliedLSN < s.Pause.Fence.LSN || !see.TablesCopied {
		return wait("the other home has taken in %v of %v", see.AppliedLSN, s.Pause.Fence.LSN)
	}
	return n.do(OperationVerify, OperationData{TimeoutMillis: max(1, left)})
}

func (n *next) switched() jobs.Decision {
	if !n.s.ReverseReplicating || n.seen != nil && n.seen.Reachable && n.seen.TargetUnfenced {
		return n.do(OperationReplicateBack, OperationData{})
	}
	for _, first := range []func() (jobs.Decision, bool){n.follow, n.compared} {
		if s, is := first(); is {
			return s
		}
	}
	if n.s.RollbackReason != "" {
		if s, is := n.soon(); is {
			return s
		}
		return n.do(OperationPause, OperationData{Reverse: true})
	}
	if n.word(ActionAccept) {
		return n.do(OperationAccept, OperationData{})
	}
	return wait("waits for accept or rollback; the old home is fed")
}

func (n *next) mayHold() bool {
	return slices.Contains([]Phase{PhasePlanned, PhaseChecked, PhaseCopying, PhaseCatchingUp, PhaseSwitched}, n.s.Phase)
}

// says are the words that could be given for this step.
func (n *next) says() (out []jobs.ApprovalOption) {
	say := func(word, does string) {
		out = append(out, jobs.ApprovalOption{Action: word, Effect: does, Persistent: word == ActionRollback})
	}
	s := n.s
	switch {
	case s.HoldReason != "" && s.Phase != PhaseCleaningUp:
		say(ActionResume, resumes(s))
	case s.Phase == PhaseChecked && n.p.waitsAt(CheckpointChecked) && !s.Published:
		say(ActionGo, "the copy at the new home is built")
	case s.Phase == PhaseCatchingUp && s.Comparison.Complete && n.p.waitsAt(CheckpointFencing):
		say(ActionGo, fmt.Sprintf("the tenant is paused, for %.0f ms at most", n.p.MaxPauseMillis))
	case s.Phase == PhaseVerifying && n.p.waitsAt(CheckpointSwitching) && s.Pause.Verified && s.RollbackReason == "":
		say(ActionGo, "the tenant is served by the new home")
	case s.Phase == PhaseSwitched && s.RollbackReason == "" && s.ReverseReplicating && s.Comparison.Complete:
		say(ActionAccept, "the old home is fed no longer and there is no way back by this move")
	}
	if s.HoldReason == "" && s.RollbackReason == "" {
		if n.mayHold() {
			say(ActionPause, "nothing further is begun until resume; what runs at the homes goes on")
		} else if s.Phase == PhaseFencing || s.Phase == PhaseVerifying {
			say(ActionPause, "the tenant opens again where it was, and nothing further is begun until resume")
		}
	}
	if s.RollbackReason == "" && slices.Contains([]Phase{PhasePlanned, PhaseChecked, PhaseCopying, PhaseCatchingUp, PhaseFencing, PhaseVerifying, PhaseSwitched}, s.Phase) {
		say(ActionRollback, RollbackEffects[s.Phase])
	}
	return out
}

// resumes says what resume does.
func resumes(s State) string {
	switch {
	case len(s.Differences) > 0 && s.Phase == PhaseSwitched:
		return "the old home's copy is emptied and copied anew from the new one"
	case len(s.Differences) > 0:
		return "the copy at the new home is emptied and copied anew"
	case s.Phase == PhasePlanned:
		return "the check is done again"
	}
	return "the move goes on"
}

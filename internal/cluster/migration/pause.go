package migration

import (
	"ashstand/internal/cluster/jobs"
)

// pausePollMillis is the interval at which the groups and rules are observed while a tenant is paused. It is short
// compared with any pause.
const pausePollMillis = 20

// minTimeoutMillis is the shortest timeout of an operation during a pause.
const minTimeoutMillis = 1

// ensurePauseFits waits until a pause that begins now can be expected to end in a switch. It restarts tracking if that
// shortens the verification, and returns false once the pause fits.
func (d *decider) ensurePauseFits() (jobs.Decision, bool) {
	if elapsed, known := d.state.LastAbort.elapsed(d.now, d.job.Token); known && d.state.AbortedPauses > 0 && elapsed < d.plan.BackoffMillis {
		decision := waitFor("rests after a pause that was taken back")
		decision.RetryAfterMillis = d.plan.BackoffMillis - elapsed
		return decision, true
	}
	if d.observed.UnfitReason != "" {
		return waitFor("the new home is %s", d.observed.UnfitReason), true
	}
	need := d.timing.ForwardMillis(d.plan.FenceWaitMillis) + d.observed.LagMillis + d.observed.VerifyMillis
	cutoff := d.timing.CutoffMillis(d.plan)
	if need <= cutoff {
		return jobs.Decision{}, false
	}
	elapsed, known := d.state.Comparison.Started.elapsed(d.now, d.job.Token)
	if d.observed.VerifyMillis > d.observed.LagMillis && (!known || elapsed > d.plan.BackoffMillis) {
		// Right after a new comparison fewer ranges count as changed, so the verification reads less.
		return d.announce(OperationTrack, OperationData{}), true
	}
	return waitFor("a pause now would need %.0f ms, %.0f are left of its bound", need, cutoff), true
}

// beginPause pauses the tenant once the target follows the source, all ranges were found equal and the pause fits its
// bound.
func (d *decider) beginPause() jobs.Decision {
	for _, ensure := range []func() (jobs.Decision, bool){d.ensureReplication, d.ensureComparison, d.ensurePauseFits} {
		if decision, decided := ensure(); decided {
			return decision
		}
	}
	if !d.passes(CheckpointFencing) {
		return waitFor("waits for go, to pause the tenant")
	}
	return d.announce(OperationPause, OperationData{})
}

// continuePause continues a pause, or ends it early enough to keep its bound.
func (d *decider) continuePause() jobs.Decision {
	if d.takeApproval(ActionPause) {
		return d.announce(OperationReopen, OperationData{Reason: reasonOperatorPause, HoldReason: reasonOperatorPause})
	}
	elapsed, known := d.state.Pause.Started.elapsed(d.now, d.job.Token)
	remaining := d.timing.CutoffMillis(d.plan) - elapsed
	if d.disabledGuarantee == GuaranteePause {
		return d.advancePause(remaining)
	}
	if !known {
		return d.announce(OperationReopen, OperationData{Reason: "its owner was replaced: how long the pause has lasted is known to nobody"})
	}
	if remaining <= 0 {
		return d.announce(OperationReopen, OperationData{Reason: "its time was up: " + d.pauseBlocker()})
	}
	decision := d.advancePause(remaining)
	if decision.OperationName == "" { // only another observation of the hosts and rules shows the end of this wait
		decision.RetryAfterMillis = max(1, min(remaining, pausePollMillis))
	}
	return decision
}

// pauseBlocker describes what a pause was waiting for.
func (d *decider) pauseBlocker() string {
	switch pause := d.state.Pause; {
	case pause.Fence == nil && len(d.state.BlockingSessions) > 0:
		return joinErrors(pointers(d.state.BlockingSessions))
	case pause.Fence == nil && pause.FenceAttempts == 0:
		return "the version that pauses was not in force"
	case pause.Fence == nil:
		return "writers did not end"
	case !pause.Verified:
		return "the other home had not taken in all of it"
	}
	return "nobody said go"
}

// advancePause decides on the next step towards the switch, with the milliseconds that remain for it.
func (d *decider) advancePause(remaining float64) jobs.Decision {
	pause := d.state.Pause
	switch {
	case pause.Fence == nil:
		return d.fence(remaining)
	case pause.Verified:
		return d.switchGroups(remaining)
	case len(d.state.Differences) > 0:
		return d.announce(OperationReopen, OperationData{Reason: "verify found differences: " + joinErrors(pointers(d.state.Differences))})
	}
	return d.verify(remaining)
}

func (d *decider) fence(remaining float64) jobs.Decision {
	pause := d.state.Pause
	observed := d.observed
	if observed == nil || !observed.Paused || !observed.InForce || observed.Version < pause.RulesVersion {
		return waitFor("until every pooler acts on the pause")
	}
	return d.announce(OperationFence, OperationData{
		TimeoutMillis:       max(minTimeoutMillis, min(d.plan.FenceWaitMillis, remaining)),
		EndBlockingSessions: d.plan.BlockingSessions == BlockingSessionsEnd && pause.FenceAttempts > 0,
	})
}

func (d *decider) switchGroups(remaining float64) jobs.Decision {
	if !d.state.Reverse && !d.passes(CheckpointSwitching) {
		return waitFor("waits for go, to switch")
	}
	return d.announce(OperationSwitch, OperationData{TimeoutMillis: max(minTimeoutMillis, remaining)})
}

// verify waits until the target has applied all writes before the fence, then has the verification executed.
func (d *decider) verify(remaining float64) jobs.Decision {
	fence := d.state.Pause.Fence
	observed := d.observed
	switch {
	case observed == nil || !observed.Reachable:
		return waitFor("the homes can't be reached")
	case observed.Timelines.Source != fence.Timeline: // the new primary may lack the fence, and its log positions are not comparable
		return d.announce(OperationFence, OperationData{TimeoutMillis: max(minTimeoutMillis, min(d.plan.FenceWaitMillis, remaining))})
	case observed.SlotLost || observed.TargetAhead:
		return d.announce(OperationReopen, OperationData{Reason: "the other home can't follow any more: it has to be copied anew"})
	case observed.AppliedLSN < fence.LSN || !observed.TablesCopied:
		return waitFor("the other home has taken in %v of %v", observed.AppliedLSN, fence.LSN)
	}
	return d.announce(OperationVerify, OperationData{TimeoutMillis: max(minTimeoutMillis, remaining)})
}

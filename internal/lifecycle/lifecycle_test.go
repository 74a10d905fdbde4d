package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// For each phase and event: the process never goes back to an earlier phase, whatever the order of events.
func TestPhasesOnlyGoForward(t *testing.T) {
	events := []PhaseEvent{EndpointListReceived, DrainStarted, TerminationStarted, ProcessExiting}
	want := map[Phase][4]Phase{
		Starting:    {Ready, Draining, Terminating, Ended},
		Ready:       {Ready, Draining, Terminating, Ended},
		Draining:    {Draining, Draining, Terminating, Ended},
		Terminating: {Terminating, Terminating, Terminating, Ended},
		Ended:       {Ended, Ended, Ended, Ended},
	}
	for phase, row := range want {
		for i, e := range events {
			require.Equal(t, row[i], phase.Next(e), "%s, event %d", phase, e)
		}
	}
}

func TestMayStart(t *testing.T) {
	for phase, want := range map[Phase]Reason{Starting: Allowed, Ready: Allowed, Draining: Allowed, Terminating: ProcessTerminating, Ended: ProcessTerminating} {
		require.Equal(t, want, MayStart(StartFacts{Phase: phase, Ready: true}).Reason, phase.String())
		require.Equal(t, ClientDisconnected, MayStart(StartFacts{Phase: phase, Ready: true, ClientDisconnected: true}).Reason, phase.String())
	}
	for phase, want := range map[Phase]Reason{Starting: NotReady, Draining: NotReady, Terminating: ProcessTerminating} {
		require.Equal(t, want, MayStart(StartFacts{Phase: phase}).Reason, phase.String())
	}
}

// Each fact alone forbids the write, and each has its own reason.
func TestMaySend(t *testing.T) {
	valid := SendFacts{Phase: Ready, Now: 1000, Deadline: 1001, Eligible: true}
	require.True(t, MaySend(valid).OK())
	for reason, change := range map[Reason]func(*SendFacts){
		ProcessTerminating: func(f *SendFacts) { f.Phase = Terminating },
		ClientDisconnected: func(f *SendFacts) { f.ClientDisconnected = true },
		TimeIsUp:           func(f *SendFacts) { f.Deadline = f.Now },
		HostNotEligible:    func(f *SendFacts) { f.Eligible = false },
	} {
		f := valid
		change(&f)
		require.Equal(t, reason, MaySend(f).Reason)
	}
}

func TestMayRetry(t *testing.T) {
	require.True(t, MayRetry(RetryFacts{Phase: Draining}).OK())
	require.Equal(t, ClientDisconnected, MayRetry(RetryFacts{Phase: Ready, ClientDisconnected: true}).Reason)
	require.Equal(t, ProcessTerminating, MayRetry(RetryFacts{Phase: Terminating, ClientDisconnected: true}).Reason)
}

func TestMayClose(t *testing.T) {
	require.True(t, MayClose(CloseFacts{}).OK())
	for reason, f := range map[Reason]CloseFacts{
		RequestInFlight:   {RequestInFlight: true, CommandsWait: true},
		CommandsWait:      {CommandsWait: true, BufferedBytes: 1},
		PartOfMessageRead: {BufferedBytes: 1, BytesUnread: true},
		BytesUnsent:       {BytesUnsent: true, BytesUnread: true},
		BytesUnread:       {BytesUnread: true},
	} {
		require.Equal(t, reason, MayClose(f).Reason)
	}
}

// Each rule for a written attempt holds at its bound. Past the bound that rule is broken, and no other.
func TestCheckWritten(t *testing.T) {
	valid := Written{At: 10_000, TimeoutMillis: 400, ClientDeadline: 10_400}
	require.Empty(t, CheckWritten(valid))
	for rule, change := range map[Rule]func(w *Written, past float64){
		AttemptAfterDisconnect:  func(w *Written, past float64) { w.DisconnectedAt = w.At - DisconnectGraceMillis - past },
		AttemptAfterTermination: func(w *Written, past float64) { w.TerminatedAt = w.At - StallGraceMillis - past },
		AttemptToDraining:       func(w *Written, past float64) { w.InactiveSince = w.At - StallGraceMillis - past },
		DeadlineExceeded:        func(w *Written, past float64) { w.TimeoutMillis += StallGraceMillis + past },
	} {
		atBound, pastBound := valid, valid
		change(&atBound, 0)
		change(&pastBound, 1)
		require.Empty(t, CheckWritten(atBound), rule.String())
		require.Equal(t, []Rule{rule}, CheckWritten(pastBound))
	}
}

func TestCheckRepeat(t *testing.T) {
	require.Empty(t, CheckRepeat(Repeat{At: 1e6, FirstAt: 1}))
	require.Equal(t, []Rule{RetryNotIdempotent}, CheckRepeat(Repeat{AtMostOnce: true}))
	window := Repeat{At: 1000 + StallGraceMillis, FirstAt: 500, Deduplicated: true, WindowMillis: 500}
	require.Empty(t, CheckRepeat(window))
	window.At++
	require.Equal(t, []Rule{RetryOutsideWindow}, CheckRepeat(window))
}

// Each value needs a name for logs and metrics, and no two values of a type may share one.
func TestNamesAreComplete(t *testing.T) {
	names := map[string]bool{}
	for _, r := range Rules() {
		names["rule "+r.String()] = true
	}
	for _, r := range CloseReasons() {
		names["close "+r.String()] = true
	}
	require.Len(t, names, int(ruleCount)+int(closeReasonCount))
	require.NotContains(t, names, "rule ")
	require.NotContains(t, names, "close ")
	require.Len(t, reasonNames, int(RequestMayHaveRun)+1)
	require.Len(t, phaseNames, int(Ended)+1)
}

// A request is rejected only if it did not run, or if a retry is harmless anyway. The zero permit grants
// nothing.
func TestMayReject(t *testing.T) {
	for facts, want := range map[RejectionFacts]Reason{
		{}:                      Allowed,
		{RetryIsHarmless: true}: Allowed,
		{MayHaveRun: true, RetryIsHarmless: true}: Allowed,
		{MayHaveRun: true}:                        RequestMayHaveRun,
	} {
		permit, decision := MayReject(facts)
		require.Equal(t, want, decision.Reason, "%+v", facts)
		require.Equal(t, want == Allowed, permit.IsGranted(), "%+v", facts)
	}
	require.False(t, RejectionPermit{}.IsGranted())
	require.True(t, PermitUntried().IsGranted())
}

func TestMayRepeat(t *testing.T) {
	require.True(t, MayRepeat(RepeatFacts{AtMostOnce: true}).OK())
	require.True(t, MayRepeat(RepeatFacts{MayHaveRun: true}).OK())
	require.Equal(t, RequestMayHaveRun, MayRepeat(RepeatFacts{MayHaveRun: true, AtMostOnce: true}).Reason)
}

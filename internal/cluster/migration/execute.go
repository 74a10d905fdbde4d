package migration

import (
	"context"
	"errors"
	"fmt"

	"ashstand/internal/cluster/jobs"
)

// outcome is the result of an executed operation. Each operation sets only the fields that apply to it.
type outcome struct {
	Recovery
	checkResults CheckResults
	blocking     []BlockingSession
	verification VerificationResult
	rulesVersion int
	locked       *TenantLockedError // set if another job has locked the tenant
	unfenced     bool               // the source failed over since it was fenced
}

// execute executes an operation at the database hosts or in the agreed rules. Operations that change only the recorded
// state need neither.
func (m *Migrator) execute(ctx context.Context, request Request) (result outcome, err error) {
	source, target := request.State.groups(&request.Plan)
	switch request.Operation {
	case OperationCheck:
		return m.executeCheck(ctx, request)
	case OperationPublish:
		err = m.Databases.Publish(ctx, request)
		if errors.As(err, &result.locked) {
			err = nil // the lock is recorded in the state, and an operator has to resume
		}
	case OperationSubscribe:
		result.Timelines, err = m.Databases.Subscribe(ctx, request)
	case OperationCopy:
		result.Copied, err = m.Databases.Copy(ctx, request)
	case OperationTrack:
		result.Timelines, err = m.Databases.Track(ctx, request, source, target)
	case OperationCompare:
		result.Compared, err = m.Databases.Compare(ctx, request, source, target)
	case OperationPause:
		result.rulesVersion, err = m.changeRules(ctx, request, map[string]any{request.Plan.pausedKey(): true})
	case OperationFence:
		result.Fence, result.blocking, err = m.Databases.Fence(ctx, request, source)
	case OperationVerify:
		result.verification, err = m.Databases.Verify(ctx, request, source, target)
		if m.DisabledGuarantee == GuaranteeVerify {
			result.verification.Differences = nil
		}
	case OperationSwitch:
		return m.executeSwitch(ctx, request, source, target)
	case OperationReopen:
		result.rulesVersion, err = m.serveFrom(ctx, request, source)
	case OperationReplicateBack:
		result.Timelines, err = m.Databases.ReplicateBack(ctx, request)
	case OperationFinish:
		err = m.Databases.Finish(ctx, request)
	case OperationCleanUp:
		err = m.Databases.CleanUp(ctx, request)
	}
	return result, err
}

func (m *Migrator) executeCheck(ctx context.Context, request Request) (result outcome, err error) {
	result.checkResults, err = m.Databases.Check(ctx, request)
	if err != nil {
		return result, err
	}
	result.checkResults = append(m.checkRules(&request.Plan), result.checkResults...)
	return result, nil
}

// executeSwitch makes the target serve the tenant if the source is still fenced on the same timeline.
func (m *Migrator) executeSwitch(ctx context.Context, request Request, source, target Group) (result outcome, err error) {
	fenced, timeline, err := m.Databases.FenceStatus(ctx, request, source)
	if err != nil {
		return result, err
	}
	if m.DisabledGuarantee != GuaranteeFence && (!fenced || timeline != request.State.Pause.Fence.Timeline) {
		result.unfenced = true
		return result, nil
	}
	result.rulesVersion, err = m.serveFrom(ctx, request, target)
	return result, err
}

// serveFrom makes a group serve the tenant. It records the decision in the log before it removes the fence, so no host
// acts on a decision that is not logged, and the next lease holder can read the log and complete the operation.
func (m *Migrator) serveFrom(ctx context.Context, request Request, group Group) (version int, err error) {
	version, err = m.changeRules(ctx, request, m.servingRules(request, group))
	if err != nil {
		return version, err
	}
	return version, m.Databases.Unfence(ctx, request, group)
}

// changeRules changes the agreed rules on behalf of the request's operation.
func (m *Migrator) changeRules(ctx context.Context, request Request, change map[string]any) (version int, err error) {
	operation := &jobs.Operation{Number: request.Number, Name: string(request.Operation)}
	return m.Rules.Change(ctx, request.Job, request.Token, operation, change)
}

// servingRules returns the rule changes that make a group serve the tenant.
func (m *Migrator) servingRules(request Request, group Group) map[string]any {
	return map[string]any{request.Plan.groupKey(): float64(group), request.Plan.pausedKey(): false}
}

// checkRules returns the findings about the agreed rules and the limits.
func (m *Migrator) checkRules(plan *Plan) (out CheckResults) {
	rules, _, _ := m.Rules.Current()
	if assigned := rules[plan.groupKey()]; assigned != float64(plan.From) {
		out = append(out, CheckResult{Reason: CheckAssignmentDiffers, Name: plan.groupKey(), Detail: fmt.Sprintf("%v", assigned)})
	}
	for _, key := range []string{plan.groupKey(), plan.pausedKey()} {
		if !m.Rules.HasLimit(key) {
			out = append(out, CheckResult{Reason: CheckLimitsMissing, Name: key})
		}
	}
	return out
}

// recoverOutcome determines whether an operation was executed. For operations that act on the rules the log alone
// determines it, and recoverOutcome removes the fence that such an operation may have left; for the others it asks the
// hosts.
func (m *Migrator) recoverOutcome(ctx context.Context, request Request) (done bool, result outcome, err error) {
	source, target := request.State.groups(&request.Plan)
	rules, version, _ := m.Rules.Current()
	paused := rules[request.Plan.pausedKey()] == true
	result.rulesVersion = version
	switch request.Operation {
	case OperationPause:
		return paused, result, nil
	case OperationSwitch:
		if paused || rules[request.Plan.groupKey()] != float64(target) {
			return false, result, nil
		}
		return true, result, m.Databases.Unfence(ctx, request, target)
	case OperationReopen:
		if paused {
			return false, result, nil
		}
		return true, result, m.Databases.Unfence(ctx, request, source)
	case OperationAccept, OperationCancel, OperationHold, OperationResume, OperationRollBack, OperationDiscardApproval:
		return true, result, nil // these have no effect beyond their announcement
	case OperationCheck, OperationVerify:
		return false, result, nil // they change nothing, and are executed again
	}
	result.Recovery, err = m.Databases.Recover(ctx, request)
	return result.Done, result, err
}

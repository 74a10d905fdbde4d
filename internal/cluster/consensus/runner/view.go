package runner

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/consensus"
)

// View is what operators see of a runner. Its JSON form is part of the admin socket's.
type View struct {
	Enabled                  bool                     `json:"on"`
	Effective                consensus.EffectiveRules `json:"acting"`
	LeaseRemainingMillis     float64                  `json:"lease_left_ms"`
	IsLeader                 bool                     `json:"leading"`
	Voters                   map[uint64]string        `json:"voters"`
	Versions                 []consensus.Version      `json:"versions"`
	BoundMillis              float64                  `json:"bound_ms"`
	BoundAfterElectionMillis float64                  `json:"bound_with_new_leader_ms"`
	MessagesLost             int64                    `json:"messages_lost"`
	MessagesMalformed        int64                    `json:"messages_unread"`
	SavesFailed              int64                    `json:"saves_failed"`
}

// View returns it. After Stop it is empty.
func (r *Runner) View() View {
	reply := make(chan View, 1)
	select {
	case r.views <- reply:
		return <-reply
	case <-r.stopping:
		return View{}
	}
}

// view is called by the loop, which owns the node.
func (l *loop) view() View {
	r := l.runner
	now, lease := r.options.Clock.Now(), r.Lease()
	view := View{
		Enabled:              true,
		Effective:            lease.Effective(now),
		LeaseRemainingMillis: max(0, lease.ExpiresAt-now),
		MessagesLost:         r.messagesLost.Load(),
		MessagesMalformed:    r.messagesMalformed.Load(),
		SavesFailed:          r.savesFailed.Load(),
	}
	view.BoundMillis, view.BoundAfterElectionMillis = r.options.Config.ActivationBoundMillis()
	if l.node != nil {
		// Copies: the node changes its own while the view is read.
		view.IsLeader, view.Voters, view.Versions = l.node.IsLeader(), maps.Clone(l.node.Voters()), slices.Clone(l.node.Versions())
	}
	return view
}

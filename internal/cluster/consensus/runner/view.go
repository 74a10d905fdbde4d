package runner

import (
	"maps"
	"slices"

	"ashstand/internal/cluster/consensus"
)

// View is the state of a Runner that operators see. Its JSON form is part of the admin socket's answers.
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

// View returns the current state of the Runner. After Stop it is empty.
func (r *Runner) View() View {
	reply := make(chan View, 1)
	select {
	case r.views <- reply:
		return <-reply
	case <-r.stopping:
		return View{}
	}
}

// view returns the current state. Only the loop, which owns the node, may call it.
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
		// Copies, since the node modifies its own while a caller reads the view.
		view.IsLeader, view.Voters, view.Versions = l.node.IsLeader(), maps.Clone(l.node.Voters()), slices.Clone(l.node.Versions())
	}
	return view
}

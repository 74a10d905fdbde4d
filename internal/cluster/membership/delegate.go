package membership

import (
	"errors"
	"log/slog"

	"github.com/hashicorp/memberlist"
)

// delegate is the part of Gossip that memberlist calls, from its own goroutines.
type delegate Gossip

var (
	_ memberlist.Delegate         = (*delegate)(nil)
	_ memberlist.AliveDelegate    = (*delegate)(nil)
	_ memberlist.MergeDelegate    = (*delegate)(nil)
	_ memberlist.EventDelegate    = (*delegate)(nil)
	_ memberlist.ConflictDelegate = (*delegate)(nil)
)

// NodeMeta returns what this member reports about itself.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	self := d.options.Self
	d.mu.Unlock()
	b, err := self.Encode(limit)
	if err != nil { // cannot happen: the limits of its parts leave room for all of them
		slog.Error("cluster: the member information cannot be encoded", "error", err)
	}
	return b
}

// NotifyMsg receives a message of another member.
func (d *delegate) NotifyMsg(b []byte) {
	received, err := decodeMessage(b)
	handled := false
	if err == nil {
		switch m := received.(type) {
		case payloadMessage:
			handled = (*Gossip)(d).handlePayload(m)
		case *nameConflictMessage:
			handled = d.handleNameConflict(m)
		}
	}
	if !handled {
		d.malformedMessages.Add(1)
	}
}

// handleNameConflict takes a message that is about this member's name.
func (d *delegate) handleNameConflict(m *nameConflictMessage) (handled bool) {
	if m.other.Name != d.options.Self.Name {
		return false
	}
	_ = d.admit(m.other) // the table records the conflict
	return true
}

// admission is the result of admit.
type admission struct {
	err       error // of Table.Admit
	known     Info  // the member in the table; set if err is a name conflict
	notifyDue bool  // both incarnations of the name have to be notified
}

// admit asks the table for an incarnation, and logs a name conflict that is new.
func (d *delegate) admit(info Info) admission {
	result, isNew := d.admitLocked(info)
	if isNew {
		slog.Warn("cluster: name conflict", "name", info.Name, "error", result.err)
	}
	return result
}

func (d *delegate) admitLocked(info Info) (result admission, isNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	result.err = d.table.Admit(info, now)
	if !errors.Is(result.err, ErrNameConflict) {
		return result, false
	}
	result.notifyDue, isNew = d.table.ShouldNotify(info.Name, now)
	if known := d.table.members[info.Name]; known != nil {
		result.known = known.Info
	}
	return result, isNew
}

// admitNode checks what gossip of any origin reports about a member.
func (d *delegate) admitNode(n *memberlist.Node) error {
	info, err := DecodeInfo(n.Name, n.Address(), n.Meta)
	if err != nil {
		d.malformedMessages.Add(1)
		return err
	}
	result := d.admit(info)
	if result.notifyDue && info.Name != d.options.Self.Name {
		// Both, since neither may have received anything about the other.
		(*Gossip)(d).startSender(func(list *memberlist.Memberlist) {
			sendNameConflict(list, result.known, info)
			sendNameConflict(list, info, result.known)
		})
	}
	return result.err
}

// NotifyAlive admits or rejects a member before memberlist takes it in.
func (d *delegate) NotifyAlive(n *memberlist.Node) error { return d.admitNode(n) }

// NotifyMerge admits or rejects the members of another pooler's complete state.
func (d *delegate) NotifyMerge(nodes []*memberlist.Node) error {
	for _, n := range nodes {
		if n.State == memberlist.StateDead || n.State == memberlist.StateLeft {
			continue
		}
		if err := d.admitNode(n); errors.Is(err, ErrNameConflict) && n.Name == d.options.Self.Name {
			return err
		}
	}
	return nil
}

// NotifyConflict is called for a conflict that NotifyAlive has rejected before.
func (d *delegate) NotifyConflict(_, other *memberlist.Node) { _ = d.admitNode(other) }

// NotifyJoin records a member that came alive.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.observe(n, LivenessAlive) }

// NotifyUpdate records what a member newly reports about itself.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.observe(n, LivenessAlive) }

// NotifyLeave records a member that left or was declared dead.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.observe(n, LivenessDead) }

func (d *delegate) observe(n *memberlist.Node, liveness Liveness) {
	info, err := DecodeInfo(n.Name, n.Address(), n.Meta)
	if err != nil {
		return // admitNode has counted it
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Observe(info, liveness, d.options.Clock.Now())
}

// GetBroadcasts is not used: messages of this package have one receiver.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is not used: members exchange nothing but what memberlist knows.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState is not used, as LocalState.
func (d *delegate) MergeRemoteState([]byte, bool) {}

package membership

import (
	"errors"
	"log/slog"

	"github.com/hashicorp/memberlist"
)

// delegate implements memberlist's callbacks on a Gossip. memberlist calls them from its own goroutines.
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
	if err != nil { // not expected: the limits of the single fields add up to less than the limit of the whole
		slog.Error("cluster: the member information cannot be encoded", "error", err)
	}
	return b
}

// NotifyMsg handles a message from another member. It counts messages that it cannot handle as malformed.
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

// handleNameConflict handles a message about this member's name. It rejects messages about other names.
func (d *delegate) handleNameConflict(m *nameConflictMessage) (handled bool) {
	if m.other.Name != d.options.Self.Name {
		return false
	}
	_ = d.admit(m.other) // the table records the conflict
	return true
}

// admissionResult is the result of admit.
type admissionResult struct {
	err       error // the error of Table.Admit
	known     Info  // the member in the table; set if err is a name conflict
	notifyDue bool  // whether both incarnations of the name have to be notified
}

// admit asks the table whether an incarnation may use its name, and logs each name conflict once.
func (d *delegate) admit(info Info) admissionResult {
	result, isNew := d.admitLocked(info)
	if isNew {
		slog.Warn("cluster: name conflict", "name", info.Name, "error", result.err)
	}
	return result
}

// admitLocked asks the table for the decision, under the lock that it acquires itself. isNew reports whether
// this is the first time that a notification of the name conflict is due; see Table.ShouldNotify.
func (d *delegate) admitLocked(info Info) (result admissionResult, isNew bool) {
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

// admitNode decides whether a member that gossip reports is admitted. In a name conflict, it notifies both
// incarnations.
func (d *delegate) admitNode(n *memberlist.Node) error {
	info, err := DecodeInfo(n.Name, n.Address(), n.Meta)
	if err != nil {
		d.malformedMessages.Add(1)
		return err
	}
	result := d.admit(info)
	if result.notifyDue && info.Name != d.options.Self.Name {
		// Both incarnations are notified, since neither may have received anything about the other.
		(*Gossip)(d).startSender(func(list *memberlist.Memberlist) {
			sendNameConflict(list, result.known, info)
			sendNameConflict(list, info, result.known)
		})
	}
	return result.err
}

// NotifyAlive admits or rejects a member before memberlist adds it.
func (d *delegate) NotifyAlive(n *memberlist.Node) error { return d.admitNode(n) }

// NotifyMerge admits or rejects the members of another pooler's complete state. It returns an error, which
// cancels the merge, only for a conflict about this member's own name.
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

// NotifyConflict is called for a member that NotifyAlive has rejected already.
func (d *delegate) NotifyConflict(_, other *memberlist.Node) { _ = d.admitNode(other) }

// NotifyJoin records a member that joined or is alive again.
func (d *delegate) NotifyJoin(n *memberlist.Node) { d.observe(n, LivenessAlive) }

// NotifyUpdate records new information that a member reports about itself.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.observe(n, LivenessAlive) }

// NotifyLeave records a member that left or was declared dead.
func (d *delegate) NotifyLeave(n *memberlist.Node) { d.observe(n, LivenessDead) }

func (d *delegate) observe(n *memberlist.Node, liveness Liveness) {
	info, err := DecodeInfo(n.Name, n.Address(), n.Meta)
	if err != nil {
		return // admitNode has already counted this decoding error
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Observe(info, liveness, d.options.Clock.Now())
}

// GetBroadcasts returns nothing: each message of this package has a single receiver.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns nothing: members exchange no state beside that of memberlist.
func (d *delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState does nothing, since LocalState of the other members returns nothing.
func (d *delegate) MergeRemoteState([]byte, bool) {}

package cluster

import (
	"ashstand/testbed/discovery"
	"ashstand/testbed/host"
)

// Agent starts an agent of discovery for a process, behind a link of its own, and returns where the process finds it. The process
// is told of each host by the address of a link to it.
func (m *Mesh) Agent(process string, hosts []*host.Host, of *discovery.Registry, seed uint64) (address string, err error) {
	for _, h := range hosts {
		l, err := NewLink(process, h.Name, func() string { return h.Address }, false, seed)
		if err != nil {
			return "", err
		}
		m.Add(l)
	}
	at, err := of.Agent(func(e discovery.Entry) discovery.Entry {
		if l := m.Link(process, e.Name); l != nil {
			e.Address = l.Address
		}
		return e
	})
	if err != nil {
		return "", err
	}
	l, err := NewLink(process, "discovery", func() string { return at }, false, seed)
	if err != nil {
		return "", err
	}
	m.Add(l)
	return l.Address, nil
}

package membership

// View is what operators see of the members.
type View struct {
	Self              Info             `json:"self"`
	NameHolder        *Info            `json:"refused,omitempty"` // the incarnation that holds this one's name; nil: this one
	Members           []Member         `json:"members"`
	NameConflicts     []NameConflict   `json:"twins"`
	ConvergenceMillis float64          `json:"bound_ms"`        // see ConvergenceBoundMillis
	Formats           [2]int           `json:"formats"`         // oldest and newest message format that all read
	Incompatible      []string         `json:"apart,omitempty"` // members without a format in common with this one
	Counters          map[string]int64 `json:"counters"`
}

// View returns the present one.
func (g *Gossip) View() View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := View{
		Self:              g.options.Self,
		Members:           g.table.Members(),
		NameConflicts:     g.table.NameConflicts(),
		ConvergenceMillis: ConvergenceBoundMillis(len(g.options.Peers)+1, g.options.ProbeInterval),
		Counters:          g.transport.Counters.Snapshot(),
	}
	if g.lostSince > 0 {
		holder := g.holder
		v.NameHolder = &holder
	}
	v.Formats[0], v.Formats[1], v.Incompatible = g.table.CommonFormats()
	v.Counters["garbage"] = g.undecodable.Load()
	v.Counters["foreign"] = g.malformedMessages.Load()
	v.Counters["joins"] = g.joins.Load()
	v.Counters["calls"] = g.joinAttempts.Load()
	return v
}

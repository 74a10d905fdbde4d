package membership

// View is a snapshot of the members and counters, as the admin JSON shows it.
type View struct {
	Self Info `json:"self"`
	// NameHolder is the incarnation that holds this member's name; nil if that is this incarnation.
	NameHolder    *Info          `json:"refused,omitempty"`
	Members       []Member       `json:"members"`
	NameConflicts []NameConflict `json:"twins"`
	// ConvergenceMillis is the result of ConvergenceBoundMillis.
	ConvergenceMillis float64 `json:"bound_ms"`
	// Formats and Incompatible are the results of Table.CommonFormats.
	Formats      [2]int           `json:"formats"`
	Incompatible []string         `json:"apart,omitempty"`
	Counters     map[string]int64 `json:"counters"`
}

// View returns the current View.
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
	if g.nameLostAt > 0 {
		holder := g.nameHolder
		v.NameHolder = &holder
	}
	v.Formats[0], v.Formats[1], v.Incompatible = g.table.CommonFormats()
	v.Counters["garbage"] = g.undecodable.Load()
	v.Counters["foreign"] = g.malformedMessages.Load()
	v.Counters["joins"] = g.joins.Load()
	v.Counters["calls"] = g.joinAttempts.Load()
	return v
}

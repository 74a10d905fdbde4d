package session

// Parse takes a Parse whose statement the caller took from the catalogue.
func (p *Pipeline) Parse(name string, s *Prepared) (out ClientAction) {
	if p.skipping {
		p.catalogue.Release(s)
		return ClientAction{Drop: true}
	}
	p.Request(name, s)
	e := expectedReply{kind: replyParse, changesNames: true, prepared: s}
	if name == "" {
		p.server.Unnamed, p.server.HasUnnamed = s.Key, true
		p.push(e)
		return ClientAction{}
	}
	if p.server.Has(s.Key) {
		e.local = true
		p.push(e)
		return ClientAction{Drop: true}
	}
	out.Before = p.addStatement(s.Key, nil)
	out.Rename = s.Name()
	p.push(e)
	return out
}

// addStatement notes that a statement is prepared on the server, and closes those that have to go for it.
func (p *Pipeline) addStatement(k Key, out []Injection) []Injection {
	for _, old := range p.server.Add(k, p.needsStatement) {
		out = append(out, Injection{Close: old})
		p.push(expectedReply{kind: replyClose, hidden: true, closedKey: old})
	}
	if p.staleStatements[k] {
		delete(p.staleStatements, k)
		out = append(out, Injection{Close: k})
		p.push(expectedReply{kind: replyClose, hidden: true, closedKey: k})
	}
	return out
}

// ensurePrepared makes sure that the server has a statement under the name that it will be used by.
func (p *Pipeline) ensurePrepared(name string, s *Prepared, out *ClientAction) {
	if name == "" {
		if !p.server.HasUnnamed || p.server.Unnamed != s.Key {
			p.server.Unnamed, p.server.HasUnnamed = s.Key, true
			out.Before = append(out.Before, Injection{Parse: s, Unnamed: true})
			p.push(expectedReply{kind: replyParse, hidden: true, prepared: s})
		}
		return
	}
	out.Rename = s.Name()
	if !p.server.Has(s.Key) {
		out.Before = append(p.addStatement(s.Key, out.Before), Injection{Parse: s})
		p.push(expectedReply{kind: replyParse, hidden: true, prepared: s})
	}
}

// Bind takes a Bind of a statement to a portal.
func (p *Pipeline) Bind(portal, name string) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	s := p.Find(name)
	if s != nil {
		p.ensurePrepared(name, s, &out)
		if p.portals == nil {
			p.portals = map[string]*Prepared{}
		}
		p.portals[portal] = s
	}
	p.push(expectedReply{kind: replyBind, prepared: s})
	return out
}

// DescribeStatement takes a Describe of a statement.
func (p *Pipeline) DescribeStatement(name string) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	s := p.Find(name)
	if s != nil {
		p.ensurePrepared(name, s, &out)
	}
	p.push(expectedReply{kind: replyDescribe, prepared: s})
	return out
}

// DescribePortal takes a Describe of a portal.
func (p *Pipeline) DescribePortal(string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.push(expectedReply{kind: replyDescribe})
	return ClientAction{}
}

// Execute takes an Execute of a portal.
func (p *Pipeline) Execute(portal string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	e := expectedReply{kind: replyExecute}
	if s := p.portals[portal]; s != nil {
		e.prepared, e.statements = s, s.Query.Statements
	}
	p.push(e)
	return ClientAction{}
}

// CloseStatement takes a Close of a statement: the server keeps it for others.
func (p *Pipeline) CloseStatement(name string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.Request(name, nil)
	p.push(expectedReply{kind: replyClose, changesNames: true, local: true})
	return ClientAction{Drop: true}
}

// ClosePortal takes a Close of a portal.
func (p *Pipeline) ClosePortal(string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.push(expectedReply{kind: replyClose})
	return ClientAction{}
}

// Sync takes a Sync. While the server takes COPY data it ignores it.
func (p *Pipeline) Sync() ClientAction {
	if p.copyIn {
		return ClientAction{Drop: true}
	}
	p.skipping = false
	p.push(expectedReply{kind: replySync})
	return ClientAction{}
}

// Query takes a simple query.
func (p *Pipeline) Query(text string, q Query) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.server.HasUnnamed = false
	for i := len(q.Statements) - 1; i >= 0; i-- { // from the end, so that places stay true
		st := &q.Statements[i]
		if s := p.Find(st.Name); (st.Kind == Execute || st.Kind == Deallocate) && s != nil {
			if out.Text == "" {
				out.Text = text
			}
			out.Text = out.Text[:st.from] + s.Name() + out.Text[st.to:]
			if !p.server.Has(s.Key) {
				out.Before = append(p.addStatement(s.Key, out.Before), Injection{Parse: s})
				p.push(expectedReply{kind: replyParse, hidden: true, prepared: s})
			}
		}
	}
	if len(out.Before) > 0 { // an error in what is injected must not be followed by the query
		p.push(expectedReply{kind: replySync, hidden: true})
	}
	p.push(expectedReply{kind: replyQuery, statements: q.Statements})
	return out
}

// Reject says that FailingQuery, or a Bind of FailingStatement, was sent in place of the client's message.
func (p *Pipeline) Reject(query bool, r ErrorReply) (drop bool) {
	if p.skipping {
		return true
	}
	e := expectedReply{kind: replyBind, replacement: &r}
	if query {
		e.kind = replyQuery
	}
	p.push(e)
	return false
}

// Function takes a function call.
func (p *Pipeline) Function() ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.push(expectedReply{kind: replyFunction})
	return ClientAction{}
}

// SettingsSent says that the query of Changes was sent.
func (p *Pipeline) SettingsSent() { p.push(expectedReply{kind: replySettings, hidden: true}) }

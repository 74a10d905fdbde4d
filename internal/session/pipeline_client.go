package session

// Parse handles a Parse message. The caller has acquired the statement from the catalogue; Parse takes over
// that reference.
func (p *Pipeline) Parse(name string, prepared *PreparedStatement) (out ClientAction) {
	if p.skipping {
		p.catalogue.Release(prepared)
		return ClientAction{Drop: true}
	}
	p.extendPipeline(nil)
	p.Request(name, prepared)
	e := expectedReply{kind: replyParse, changesNames: true, prepared: prepared}
	if name == "" {
		p.server.Unnamed, p.server.HasUnnamed = prepared.Key, true
		p.push(e)
		return ClientAction{}
	}
	if p.server.Has(prepared.Key) {
		e.local = true
		p.push(e)
		return ClientAction{Drop: true}
	}
	out.Before = p.addStatement(prepared.Key, nil)
	out.Rename = prepared.Name()
	p.push(e)
	return out
}

// addStatement records that a statement is prepared on the server. It appends a Close to out for each
// statement that is evicted for it, and for the statement itself if its earlier preparation is stale.
func (p *Pipeline) addStatement(key Key, out []Injection) []Injection {
	for _, old := range p.server.Add(key, p.needsStatement) {
		out = append(out, Injection{Close: old})
		p.push(expectedReply{kind: replyClose, hidden: true, closedKey: old})
	}
	if p.staleStatements[key] {
		delete(p.staleStatements, key)
		out = append(out, Injection{Close: key})
		p.push(expectedReply{kind: replyClose, hidden: true, closedKey: key})
	}
	return out
}

// ensurePrepared makes sure that a statement is prepared on the server under the name by which the message
// uses it.
func (p *Pipeline) ensurePrepared(name string, prepared *PreparedStatement, out *ClientAction) {
	if name == "" {
		if !p.server.HasUnnamed || p.server.Unnamed != prepared.Key {
			p.server.Unnamed, p.server.HasUnnamed = prepared.Key, true
			out.Before = append(out.Before, Injection{Parse: prepared, Unnamed: true})
			p.push(expectedReply{kind: replyParse, hidden: true, prepared: prepared})
		}
		return
	}
	out.Rename = prepared.Name()
	if !p.server.Has(prepared.Key) {
		out.Before = append(p.addStatement(prepared.Key, out.Before), Injection{Parse: prepared})
		p.push(expectedReply{kind: replyParse, hidden: true, prepared: prepared})
	}
}

// Bind handles a Bind of a statement to a portal.
func (p *Pipeline) Bind(portal, name string) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.extendPipeline(nil)
	prepared := p.Find(name)
	if prepared != nil {
		p.ensurePrepared(name, prepared, &out)
		p.portals.bind(p.catalogue, portal, prepared)
	}
	p.push(expectedReply{kind: replyBind, prepared: prepared})
	return out
}

// DescribeStatement handles a Describe of a statement.
func (p *Pipeline) DescribeStatement(name string) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.extendPipeline(nil)
	prepared := p.Find(name)
	if prepared != nil {
		p.ensurePrepared(name, prepared, &out)
	}
	p.push(expectedReply{kind: replyDescribe, prepared: prepared})
	return out
}

// DescribePortal handles a Describe of a portal.
func (p *Pipeline) DescribePortal(string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.extendPipeline(nil)
	p.push(expectedReply{kind: replyDescribe})
	return ClientAction{}
}

// Execute handles an Execute of a portal.
func (p *Pipeline) Execute(portal string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	e := expectedReply{kind: replyExecute}
	if prepared := p.portals.find(portal); prepared != nil {
		e.prepared, e.statements = prepared, prepared.Query.Statements
	}
	p.extendPipeline(e.statements)
	p.push(e)
	return ClientAction{}
}

// CloseStatement handles a Close of a statement. The statement stays prepared on the server for other
// sessions.
func (p *Pipeline) CloseStatement(name string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.extendPipeline(nil)
	p.Request(name, nil)
	p.push(expectedReply{kind: replyClose, changesNames: true, local: true})
	return ClientAction{Drop: true}
}

// ClosePortal handles a Close of a portal.
func (p *Pipeline) ClosePortal(name string) ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.portals.close(p.catalogue, name)
	p.extendPipeline(nil)
	p.push(expectedReply{kind: replyClose})
	return ClientAction{}
}

// Sync handles a Sync. The server ignores a Sync while it receives COPY data.
func (p *Pipeline) Sync() ClientAction {
	if p.awaitsCopyData() {
		return ClientAction{Drop: true}
	}
	isEmpty := !p.boundary.pipelineOpen // also where a message was rejected before any of the pipeline was sent
	p.skipping = false
	p.endPipeline()
	p.push(expectedReply{kind: replySync, isEmpty: isEmpty, copyEndsSent: p.boundary.copyEndsSent})
	return ClientAction{}
}

// Query handles a simple query. In EXECUTE and DEALLOCATE it replaces the session's statement names by the
// server's.
func (p *Pipeline) Query(text string, query Query) (out ClientAction) {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.server.HasUnnamed = false
	for i := len(query.Statements) - 1; i >= 0; i-- { // from the end, so that earlier offsets stay valid
		statement := &query.Statements[i]
		if prepared := p.Find(statement.Name); (statement.Kind == Execute || statement.Kind == Deallocate) && prepared != nil {
			if out.Text == "" {
				out.Text = text
			}
			out.Text = out.Text[:statement.from] + prepared.Name() + out.Text[statement.to:]
			if !p.server.Has(prepared.Key) {
				out.Before = append(p.addStatement(prepared.Key, out.Before), Injection{Parse: prepared})
				p.push(expectedReply{kind: replyParse, hidden: true, prepared: prepared})
			}
		}
	}
	if len(out.Before) > 0 { // an error in an injected message must not be followed by the query
		p.push(expectedReply{kind: replySync, hidden: true})
	}
	p.endPipeline()
	p.push(expectedReply{kind: replyQuery, statements: query.Statements})
	return out
}

// Reject records that FailingQuery, or a Bind of FailingStatement, was sent in place of the client's message,
// whose error is reply. drop is set if the message is skipped anyway and nothing needs to be sent.
func (p *Pipeline) Reject(isQuery bool, reply ErrorReply) (drop bool) {
	if p.skipping {
		return true
	}
	e := expectedReply{kind: replyBind, replacement: &reply}
	if isQuery {
		e.kind = replyQuery
		p.endPipeline()
	} else {
		p.extendPipeline(nil)
		p.boundary.rejected = true
	}
	p.push(e)
	return false
}

// FunctionCall handles a FunctionCall.
func (p *Pipeline) FunctionCall() ClientAction {
	if p.skipping {
		return ClientAction{Drop: true}
	}
	p.endPipeline()
	p.push(expectedReply{kind: replyFunction})
	return ClientAction{}
}

// SettingsSent records that the query of RestoreQuery was sent.
func (p *Pipeline) SettingsSent() { p.push(expectedReply{kind: replySettings, hidden: true}) }

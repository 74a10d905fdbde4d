package session

// IsRetryable says whether a text is one statement that is undone as a whole by its error and leaves nothing on its
// connection, so that it can be run again elsewhere. A procedure or a DO block may have committed a part of its own.
func IsRetryable(text string) bool {
	s := scanner{text: text}
	tokens, more, ok := s.nextStatement()
	if !ok || len(tokens) == 0 || tokens[0].literal {
		return false
	}
	if more && len(Scan(text[s.position:]).Statements) > 0 {
		return false
	}
	switch tokens[0].folded {
	case "insert", "update", "delete", "merge", "with", "select":
		return classify(text, tokens).Kind != MakesSticky
	}
	return false
}

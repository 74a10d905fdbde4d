package session

// IsRetryable reports whether a text is a single statement that an error undoes as a whole and that leaves no
// state on its connection, so that it can be run again on another one. A procedure or a DO block is not
// retryable, because it may have committed part of its work.
func IsRetryable(text string) bool {
	s := scanner{text: text}
	tokens, more, ok := s.nextStatement()
	if !ok || len(tokens) == 0 || tokens[0].literal {
		return false
	}
	if more && len(ParseQuery(text[s.position:]).Statements) > 0 {
		return false
	}
	switch tokens[0].folded {
	case "insert", "update", "delete", "merge", "with", "select":
		return classify(text, tokens).Kind != MakesSticky
	}
	return false
}

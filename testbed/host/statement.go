package host

import "strings"

// StatementID returns the id in the comment of a statement.
func StatementID(text string) (id string, ok bool) {
	_, rest, ok := strings.Cut(text, "id=")
	id, _, _ = strings.Cut(rest, ",")
	return id, ok
}

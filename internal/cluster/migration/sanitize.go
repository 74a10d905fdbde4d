package migration

import "strings"

// Bounds of what a state holds; with all lists full it is below jobs' bound.
const (
	maxListed      = 8   // entries of each list
	maxTextBytes   = 100 // of each text in them
	maxCursorBytes = 600 // of a position in a copy or comparison: two names and a key, quoted
)

// retainLatest leaves the last entries of a list.
func retainLatest[T any](all []T) []T { return all[max(0, len(all)-maxListed):] }

// retainFirst leaves the first entries of a list.
func retainFirst[T any](all []T) []T { return all[:min(len(all), maxListed)] }

// sanitize shortens a text for the log and replaces whatever JSON would escape, so that its encoded length is known.
func sanitize(text string) string {
	text = strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' || strings.ContainsRune("<>&\"\\", r) {
			return '?'
		}
		return r
	}, text)
	return text[:min(len(text), maxTextBytes)]
}

func sanitizeDifferences(all []Difference) (out []Difference) {
	for _, d := range retainFirst(all) {
		out = append(out, Difference{
			Kind:   sanitize(d.Kind),
			Table:  sanitize(d.Table),
			Range:  sanitize(d.Range),
			Source: sanitize(d.Source),
			Target: sanitize(d.Target),
		})
	}
	return out
}

func sanitizeSessions(all []BlockingSession) (out []BlockingSession) {
	for _, s := range retainFirst(all) {
		out = append(out, BlockingSession{PID: s.PID, User: sanitize(s.User), Kind: sanitize(s.Kind), Age: sanitize(s.Age)})
	}
	return out
}

package migration

import "strings"

// Bounds of the lists and texts in a state. A state with all lists full stays below the size limit of package jobs.
const (
	maxListed      = 8   // maximum entries of each list
	maxTextBytes   = 100 // maximum length of each text in a list
	maxCursorBytes = 600 // maximum length of a position in a copy or comparison: two names and a key, quoted
)

// retainLatest returns the last maxListed entries of a list.
func retainLatest[T any](all []T) []T { return all[max(0, len(all)-maxListed):] }

// retainFirst returns the first maxListed entries of a list.
func retainFirst[T any](all []T) []T { return all[:min(len(all), maxListed)] }

// sanitize truncates a text for the log and replaces all characters that JSON would escape, so that its encoded length is
// bounded.
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

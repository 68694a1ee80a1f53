package drift

import (
	"strings"
	"unicode/utf8"
)

// sanitize makes text fit for a report and for logs: at most maxBytes of whole runes, without control characters.
func sanitize(s string, maxBytes int) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r == utf8.RuneError {
			return '?'
		}
		return r
	}, s)
	for len(s) > maxBytes {
		_, n := utf8.DecodeLastRuneInString(s)
		s = s[:len(s)-n]
	}
	return s
}

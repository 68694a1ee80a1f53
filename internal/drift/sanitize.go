package drift

import (
	"strings"
	"unicode/utf8"
)

// sanitize makes s safe for reports and logs: it replaces control characters and invalid UTF-8 by '?'
// and cuts the result to at most maxBytes without splitting a rune.
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

package nats

import (
	"hash/maphash"
	"strings"
)

// hashSeed is random for each process. The hashes do not leave the process.
var hashSeed = maphash.MakeSeed()

func subjectHash(subject []byte) uint64 { return maphash.Bytes(hashSeed, subject) }

// validSubject reports whether s may be published to or, if wildcards is set, subscribed to.
func validSubject[T string | []byte](s T, wildcards bool) bool {
	start := 0
	for i := 0; i <= len(s); i++ {
		if i < len(s) && s[i] != '.' {
			continue
		}
		switch i - start {
		case 0:
			return false
		case 1:
			if s[start] == '*' && !wildcards || s[start] == '>' && (!wildcards || i < len(s)) {
				return false
			}
		}
		start = i + 1
	}
	return true
}

// subjectMatches reports whether a subscription's pattern matches a subject.
func subjectMatches[S string | []byte](pattern string, subject S) bool {
	p, s := 0, 0
	for p <= len(pattern) && s <= len(subject) {
		patternEnd, subjectEnd := p, s
		for patternEnd < len(pattern) && pattern[patternEnd] != '.' {
			patternEnd++
		}
		for subjectEnd < len(subject) && subject[subjectEnd] != '.' {
			subjectEnd++
		}
		switch token := pattern[p:patternEnd]; {
		case token == ">":
			return true
		case token != "*" && token != string(subject[s:subjectEnd]):
			return false
		}
		p, s = patternEnd+1, subjectEnd+1
	}
	return p > len(pattern) && s > len(subject)
}

// isReserved reports whether the relay itself serves a subject.
func isReserved(subject []byte) bool { return strings.HasPrefix(string(subject), reservedPrefix) }

// Package knownfailures judges a run of go test against a short list of tests that are known to fail.
//
// The list, KNOWN-RED.txt, has one line for each test: its full name, its package's import path, the cause and the issue,
// with " | " between them. A run passes if nothing failed but tests of the list, by their own verdict: a package that does not
// build, panics, times out or ends before its verdict is not excused.
package knownfailures

import (
	"fmt"
	"regexp"
	"strings"
)

// MaxEntries is how many tests the list may name, by the project's rule on tests.
const MaxEntries = 3

const (
	separator  = "|"
	fieldCount = 4
)

var (
	// testName is the name of a test as go test -list prints it; a subtest has no entry of its own.
	testName = regexp.MustCompile(`^(Test|Example|Fuzz)\w*$`)
	// packagePath is the import path of one package; paths on disk and patterns are none.
	packagePath = regexp.MustCompile(`^\w[\w-]*([./]\w[\w-]*)*$`)
)

// Name is a test's full name.
type Name struct {
	Package string // import path
	Test    string
}

// String returns the name as reports print it.
func (n Name) String() string { return n.Package + "." + n.Test }

// Entry is one line of the list.
type Entry struct {
	Name
	Cause string
	Issue string
}

// ListError says why a list cannot be used. Line counts from 1; it is 0 if no single line is at fault.
type ListError struct {
	Line   int
	Reason string
}

// Error returns the reason, with the line if one is at fault.
func (e *ListError) Error() string {
	if e.Line == 0 {
		return "known failures: " + e.Reason
	}
	return fmt.Sprintf("known failures, line %d: %s", e.Line, e.Reason)
}

// Parse parses the text of a list. Empty lines are ignored.
func Parse(text string) ([]Entry, error) {
	var entries []Entry
	seen := map[Name]bool{}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, reason := parseLine(line)
		if reason == "" && seen[entry.Name] {
			reason = entry.Name.String() + " is listed twice"
		}
		if reason != "" {
			return nil, &ListError{Line: i + 1, Reason: reason}
		}
		seen[entry.Name] = true
		entries = append(entries, entry)
	}
	if len(entries) > MaxEntries {
		return nil, &ListError{Reason: fmt.Sprintf("%d tests are listed, at most %d may be", len(entries), MaxEntries)}
	}
	return entries, nil
}

func parseLine(line string) (entry Entry, reason string) {
	parts := strings.Split(line, separator)
	if len(parts) != fieldCount {
		return entry, "not of the form TestFullName | package | cause | issue"
	}
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
		if parts[i] == "" {
			return entry, "a field is empty"
		}
	}
	if !testName.MatchString(parts[0]) {
		return entry, fmt.Sprintf("%q is not the full name of a test", parts[0])
	}
	if !packagePath.MatchString(parts[1]) {
		return entry, fmt.Sprintf("%q is not the import path of one package", parts[1])
	}
	return Entry{Name: Name{Package: parts[1], Test: parts[0]}, Cause: parts[2], Issue: parts[3]}, ""
}

// Exists reports whether the output of go test -list contains the test.
func (n Name) Exists(listing string) bool {
	for _, line := range strings.Split(listing, "\n") {
		if line == n.Test {
			return true
		}
	}
	return false
}

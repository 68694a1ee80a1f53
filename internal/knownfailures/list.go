// Package knownfailures judges a run of go test against a short list of tests that are known to fail.
//
// The list, KNOWN-RED.txt, has one line for each test, with four fields separated by " | ": the full
// name of the test, the import path of its package, the cause and the issue. A run passes if no test
// failed except listed ones, and the packages of these ran to the end of their tests. A package that
// does not build, panics, times out or exits early always fails the run.
package knownfailures

import (
	"fmt"
	"regexp"
	"strings"
)

// MaxEntries is the maximum number of tests in the list, which the project's rules on tests set.
const MaxEntries = 3

const (
	separator  = "|"
	fieldCount = 4
)

var (
	// testName matches the name of a test as go test -list prints it. A subtest cannot be listed.
	testName = regexp.MustCompile(`^(Test|Example|Fuzz)\w*$`)
	// packagePath matches the import path of one package, but no file system path and no pattern.
	packagePath = regexp.MustCompile(`^\w[\w-]*([./]\w[\w-]*)*$`)
)

// Name is the full name of a test.
type Name struct {
	Package string // import path
	Test    string
}

// String returns the name in the form PACKAGE.TEST, as reports print it.
func (n Name) String() string { return n.Package + "." + n.Test }

// Entry is one line of the list.
type Entry struct {
	Name
	Cause string
	Issue string
}

// ListError is the error for an invalid list. Line counts from 1; it is 0 if the error concerns the
// whole list.
type ListError struct {
	Line   int
	Reason string
}

// Error returns the reason, with the line number if there is one.
func (e *ListError) Error() string {
	if e.Line == 0 {
		return "known failures: " + e.Reason
	}
	return fmt.Sprintf("known failures, line %d: %s", e.Line, e.Reason)
}

// Parse parses the text of a list. It ignores empty lines. If the list is invalid, the error is a
// *ListError.
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
		return nil, &ListError{Reason: fmt.Sprintf("%d tests are listed, at most %d are allowed", len(entries), MaxEntries)}
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

// Exists reports whether listing, the output of go test -list, contains the test.
func (n Name) Exists(listing string) bool {
	for _, line := range strings.Split(listing, "\n") {
		if line == n.Test {
			return true
		}
	}
	return false
}

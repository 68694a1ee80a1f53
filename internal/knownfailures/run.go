package knownfailures

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// The actions of go test -json (see go doc test2json) that Run handles. The last three are also the
// results of tests and packages.
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// Results of a listed test for which go test reported no result.
const (
	resultNotRun     = "did not run"
	resultUnfinished = "did not finish"
)

// progressLine matches output about a test's progress that go test prints only with -json or -v.
var progressLine = regexp.MustCompile(`^=== (RUN|PAUSE|CONT|NAME) `)

// testEvent is one line of go test -json.
type testEvent struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// Run is the state of a run of go test, built from the events of go test -json.
type Run struct {
	packages  map[string]*packageRun
	malformed bool // at least one line was not an event
}

// packageRun is one package's part of a run.
type packageRun struct {
	result      string // pass, fail or skip; empty until the package has ended
	failedBuild string
	tests       map[string]string // result of each test and subtest; empty until the test has ended
	output      []testEvent
}

// NewRun returns a Run without events.
func NewRun() *Run { return &Run{packages: map[string]*packageRun{}} }

// AddLine adds one line of the output of go test -json. When a package ends, AddLine writes to out
// what go test prints without -json: only the last line of a package that passed, otherwise all
// output except that of passed tests. It writes build output, and lines that are not events, at once.
func (r *Run) AddLine(line string, out io.Writer) {
	var e testEvent
	if err := json.Unmarshal([]byte(line), &e); err != nil || e.Action == "" {
		r.malformed = true
		fmt.Fprintln(out, line)
		return
	}
	if e.Action == actionBuildOutput {
		io.WriteString(out, e.Output)
	}
	if e.Package == "" {
		return
	}
	p := r.packages[e.Package]
	if p == nil {
		p = &packageRun{tests: map[string]string{}}
		r.packages[e.Package] = p
	}
	if p.record(e) {
		p.writeOutput(out)
	}
}

// Finish writes the output of the packages that ended without a result.
func (r *Run) Finish(out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.packages)) {
		if p := r.packages[name]; p.result == "" {
			p.writeOutput(out)
		}
	}
}

// record adds an event. It reports whether the event is the package's last.
func (p *packageRun) record(e testEvent) (ended bool) {
	switch e.Action {
	case actionOutput:
		p.output = append(p.output, e)
	case actionRun:
		if p.tests[e.Test] != actionFail { // with -count above 1, a test that failed once has failed
			p.tests[e.Test] = ""
		}
	case actionPass, actionFail, actionSkip:
		if e.Test == "" {
			p.result, p.failedBuild = e.Action, e.FailedBuild
			return true
		}
		if p.tests[e.Test] != actionFail {
			p.tests[e.Test] = e.Action
		}
	}
	return false
}

func (p *packageRun) writeOutput(out io.Writer) {
	if last := len(p.output) - 1; last >= 0 && (p.result == actionPass || p.result == actionSkip) {
		io.WriteString(out, p.output[last].Output)
		return
	}
	for _, e := range p.output {
		if !progressLine.MatchString(e.Output) && !p.testPassed(e.Test) {
			io.WriteString(out, e.Output)
		}
	}
}

func (p *packageRun) testPassed(test string) bool {
	result := p.tests[topLevelTest(test)]
	return result == actionPass || result == actionSkip
}

// topLevelTest returns the name of the test that a subtest belongs to, or the name itself.
func topLevelTest(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

// Judge reports whether the run passes, given the listed tests and the exit code of go test. The
// report has a line for each listed test and one for each failure that the list does not excuse.
func (r *Run) Judge(entries []Entry, exit int) (passes bool, report []string) {
	listed := map[Name]bool{}
	for _, entry := range entries {
		listed[entry.Name] = true
		report = append(report, r.describeEntry(entry))
	}
	var failures []string
	if r.malformed {
		failures = append(failures, "go test printed a line that is not a JSON event")
	}
	failed := 0
	for _, name := range slices.Sorted(maps.Keys(r.packages)) {
		p := r.packages[name]
		if p.result == actionFail {
			failed++
		}
		failures = append(failures, p.unexcusedFailures(name, listed)...)
	}
	// go test exits with 1 if a package failed and with 0 if none did. Any other exit code means that
	// go test itself could not run as requested.
	if want := min(failed, 1); exit != want {
		failures = append(failures, fmt.Sprintf("go test ended with exit code %d and %d failed packages, want exit code %d",
			exit, failed, want))
	}
	if len(r.packages) == 0 {
		failures = append(failures, "go test ran no package")
	}
	return len(failures) == 0, append(report, failures...)
}

func (r *Run) describeEntry(entry Entry) string {
	text := fmt.Sprintf("known failure: %s: %s (%s): ", entry.Name, entry.Cause, entry.Issue)
	switch result := r.result(entry.Name); result {
	case actionFail:
		return text + "failed"
	case actionPass:
		return text + "passed, its line can be removed"
	case actionSkip:
		return text + "skipped"
	default:
		return text + result
	}
}

func (r *Run) result(name Name) string {
	p := r.packages[name.Package]
	if p == nil {
		return resultNotRun
	}
	result, ran := p.tests[name.Test]
	switch {
	case !ran:
		return resultNotRun
	case result == "":
		return resultUnfinished
	}
	return result
}

// unexcusedFailures returns the package's failures that the list does not excuse.
func (p *packageRun) unexcusedFailures(name string, listed map[Name]bool) (failures []string) {
	if p.failedBuild != "" {
		return []string{name + " does not build"}
	}
	anyFailed := false
	for _, test := range slices.Sorted(maps.Keys(p.tests)) {
		switch p.tests[test] {
		case "":
			failures = append(failures, fmt.Sprintf("%s.%s did not finish", name, test))
		case actionFail:
			anyFailed = true
			if !listed[Name{name, topLevelTest(test)}] {
				failures = append(failures, fmt.Sprintf("%s.%s failed", name, test))
			}
		}
	}
	switch {
	case p.result == "":
		failures = append(failures, name+" has no result")
	case p.result != actionFail && anyFailed:
		failures = append(failures, name+" passed though a test failed")
	case p.result == actionFail && !anyFailed:
		failures = append(failures, name+" failed outside its tests")
	case p.result == actionFail && !p.ranToEnd():
		failures = append(failures, name+" did not end normally (panic, timeout or exit)")
	}
	return failures
}

// ranToEnd reports whether a failed package ran to the end of its tests: its last two lines of output
// are the testing package's FAIL and go test's own summary line. After a panic, a timeout or an exit
// the first is missing or followed by other output.
func (p *packageRun) ranToEnd() bool {
	var last []string
	for _, e := range p.output {
		if e.Test == "" {
			last = append(last, e.Output)
		}
	}
	n := len(last)
	return n >= 2 && last[n-2] == "FAIL\n" && strings.HasPrefix(last[n-1], "FAIL\t")
}

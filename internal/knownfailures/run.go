package knownfailures

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Actions of go test -json that are used here (go doc test2json).
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// Outcomes of a listed test that has no action as its result.
const (
	notRun     = "did not run"
	unfinished = "did not finish"
)

// progress is what go test prints of a test's progress with -json or -v alone.
var progress = regexp.MustCompile(`^=== (RUN|PAUSE|CONT|NAME) `)

// event is a line of go test -json.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// Run is what go test said of its packages and tests.
type Run struct {
	packages map[string]*packageRun
	strange  bool // a line was no event
}

// packageRun is one package's part of a run.
type packageRun struct {
	result      string // pass, fail, skip; empty before
	failedBuild string
	tests       map[string]string // each test and subtest, with its result; empty before
	output      []event
}

// NewRun is a run of which nothing is known yet.
func NewRun() *Run { return &Run{packages: map[string]*packageRun{}} }

// Line takes in one line of go test -json and writes what go test without it would print: for a package that passes its closing
// line alone, otherwise also the output of what did not pass.
func (r *Run) Line(line string, out io.Writer) {
	var e event
	if err := json.Unmarshal([]byte(line), &e); err != nil || e.Action == "" {
		r.strange = true
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
	if p.take(e) {
		p.print(out)
	}
}

// End writes what packages printed that came to no result.
func (r *Run) End(out io.Writer) {
	for _, name := range sorted(r.packages) {
		if p := r.packages[name]; p.result == "" {
			p.print(out)
		}
	}
}

// take notes an event; it says whether it is the package's last.
func (p *packageRun) take(e event) (ended bool) {
	switch e.Action {
	case actionOutput:
		p.output = append(p.output, e)
	case actionRun:
		if p.tests[e.Test] != actionFail { // with -count above 1 one failure counts
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

func (p *packageRun) print(out io.Writer) {
	if last := len(p.output) - 1; last >= 0 && (p.result == actionPass || p.result == actionSkip) {
		io.WriteString(out, p.output[last].Output)
		return
	}
	for _, e := range p.output {
		if !progress.MatchString(e.Output) && !p.passed(e.Test) {
			io.WriteString(out, e.Output)
		}
	}
}

func (p *packageRun) passed(test string) bool {
	result := p.tests[top(test)]
	return result == actionPass || result == actionSkip
}

// top is the test that a subtest belongs to.
func top(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}

// Judge says whether a run passes. exit is go test's own exit code. The report has a line for each listed test and one for each
// failure that is not excused.
func (r *Run) Judge(entries []Entry, exit int) (passes bool, report []string) {
	listed := map[Name]bool{}
	for _, entry := range entries {
		listed[entry.Name] = true
		report = append(report, r.describe(entry))
	}
	var faults []string
	if r.strange {
		faults = append(faults, "go test printed a line that is no event")
	}
	failed := 0
	for _, name := range sorted(r.packages) {
		p := r.packages[name]
		if p.result == actionFail {
			failed++
		}
		faults = append(faults, p.faults(name, listed)...)
	}
	// go test's exit code is 1 if a package failed, 0 if none did; anything else is a fault of the call.
	if want := min(failed, 1); exit != want {
		faults = append(faults, fmt.Sprintf("go test ended with exit code %d and %d failed packages", exit, failed))
	}
	if len(r.packages) == 0 {
		faults = append(faults, "go test ran no package")
	}
	return len(faults) == 0, append(report, faults...)
}

func (r *Run) describe(entry Entry) string {
	text := fmt.Sprintf("known red: %s: %s (%s): ", entry.Name, entry.Cause, entry.Issue)
	switch result := r.result(entry.Name); result {
	case actionFail:
		return text + "failed"
	case actionPass:
		return text + "passed, its line can go"
	case actionSkip:
		return text + "skipped"
	default:
		return text + result
	}
}

func (r *Run) result(name Name) string {
	p := r.packages[name.Package]
	if p == nil {
		return notRun
	}
	result, ran := p.tests[name.Test]
	switch {
	case !ran:
		return notRun
	case result == "":
		return unfinished
	}
	return result
}

// faults are a package's failures that the list does not excuse.
func (p *packageRun) faults(name string, listed map[Name]bool) (faults []string) {
	if p.failedBuild != "" {
		return []string{name + " does not build"}
	}
	anyFailed := false
	for _, test := range sorted(p.tests) {
		switch p.tests[test] {
		case "":
			faults = append(faults, fmt.Sprintf("%s.%s did not finish", name, test))
		case actionFail:
			anyFailed = true
			if !listed[Name{name, top(test)}] {
				faults = append(faults, fmt.Sprintf("%s.%s failed", name, test))
			}
		}
	}
	switch {
	case p.result == "":
		faults = append(faults, name+" has no result")
	case p.result != actionFail && anyFailed:
		faults = append(faults, name+" passed though a test failed")
	case p.result == actionFail && !anyFailed:
		faults = append(faults, name+" failed outside its tests")
	case p.result == actionFail && !p.complete():
		faults = append(faults, name+" ended before its verdict (panic, time limit or exit)")
	}
	return faults
}

// complete says whether the package ran to the end of its tests: the testing package's FAIL, then go test's own line, and
// nothing between. A panic, the time limit or an exit leave the first out, or print something after it.
func (p *packageRun) complete() bool {
	var last []string
	for _, e := range p.output {
		if e.Test == "" {
			last = append(last, e.Output)
		}
	}
	n := len(last)
	return n >= 2 && last[n-2] == "FAIL\n" && strings.HasPrefix(last[n-1], "FAIL\t")
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

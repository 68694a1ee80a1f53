package knownfailures

import (
	"slices"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	const good = "TestOne | relay/internal/core | the clock is read twice | #12\n"
	entries, err := Parse("\n" + good + "\nExampleNew|relay/policy|order of a map|#7\n")
	want := []Entry{
		{Name{"relay/internal/core", "TestOne"}, "the clock is read twice", "#12"},
		{Name{"relay/policy", "ExampleNew"}, "order of a map", "#7"},
	}
	if err != nil || !slices.Equal(entries, want) {
		t.Fatalf("Parse = %v, %v, want %v", entries, err, want)
	}
	if entries, err := Parse(""); err != nil || len(entries) != 0 {
		t.Fatalf("Parse of an empty list = %v, %v, want no entries", entries, err)
	}
}

func TestParseErrors(t *testing.T) {
	const end = " | relay/policy | cause | #1\n"
	for name, text := range map[string]string{
		"three fields":    "TestOne | relay/policy | cause\n",
		"five fields":     "TestOne | relay/policy | cause | #1 | more\n",
		"empty cause":     "TestOne | relay/policy |  | #1\n",
		"empty issue":     "TestOne | relay/policy | cause |\n",
		"a subtest":       "TestOne/sub" + end,
		"a pattern":       "Test.*" + end,
		"not a test":      "Helper" + end,
		"file path":       "TestOne | ./policy | cause | #1\n",
		"all packages":    "TestOne | relay/... | cause | #1\n",
		"a flag":          "TestOne | -count=0 | cause | #1\n",
		"a test twice":    "TestOne" + end + "TestOne" + end,
		"more than three": "TestOne" + end + "TestTwo" + end + "TestThree" + end + "TestFour" + end,
	} {
		t.Run(name, func(t *testing.T) {
			if entries, err := Parse(text); err == nil {
				t.Errorf("Parse(%q) = %v, want an error", text, entries)
			}
		})
	}
	if _, err := Parse("TestOne" + end + "TestTwo" + end + "TestThree" + end); err != nil {
		t.Errorf("Parse of a list of three tests failed: %v", err)
	}
}

func TestExists(t *testing.T) {
	name := Name{"relay/policy", "TestOne"}
	if !name.Exists("TestOne\nok  \trelay/policy\t0.1s\n") || name.Exists("TestOneMore\nok  \trelay/policy\t0.1s\n") {
		t.Error("Exists must be true for a line with exactly the test's name, and false if only a longer name is listed")
	}
}

// Lines of the output of go test -json for a package named relay.
const (
	testRun            = `{"Action":"run","Package":"relay","Test":"TestRed"}`
	testFail           = `{"Action":"fail","Package":"relay","Test":"TestRed"}`
	testPass           = `{"Action":"pass","Package":"relay","Test":"TestRed"}`
	testSkip           = `{"Action":"skip","Package":"relay","Test":"TestRed"}`
	subtestRun         = `{"Action":"run","Package":"relay","Test":"TestRed/sub"}`
	subtestFail        = `{"Action":"fail","Package":"relay","Test":"TestRed/sub"}`
	otherRun           = `{"Action":"run","Package":"relay","Test":"TestRedder"}`
	otherFail          = `{"Action":"fail","Package":"relay","Test":"TestRedder"}`
	verdictLine        = `{"Action":"output","Package":"relay","Output":"FAIL\n"}`
	outputAfterVerdict = `{"Action":"output","Package":"relay","Output":"panic: after the tests\n"}`
	summaryLine        = `{"Action":"output","Package":"relay","Output":"FAIL\trelay\t0.1s\n"}`
	packageFail        = `{"Action":"fail","Package":"relay"}`
	packagePass        = `{"Action":"pass","Package":"relay"}`
	buildFail          = `{"Action":"fail","Package":"relay","FailedBuild":"relay [relay.test]"}`
)

// TestJudge checks the verdict on runs of a package whose test TestRed is listed. A run in which
// TestRed fails must not pass if the test is not listed or is listed for another package.
func TestJudge(t *testing.T) {
	listed := []Entry{{Name{"relay", "TestRed"}, "cause", "#1"}}
	for _, c := range []struct {
		name   string
		lines  []string
		exit   int
		passes bool
		report string // text that the report must contain
	}{
		{"the listed test fails", []string{testRun, testFail, verdictLine, summaryLine, packageFail}, 1, true, "cause (#1): failed"},
		{"a subtest fails", []string{testRun, subtestRun, subtestFail, testFail, verdictLine, summaryLine, packageFail}, 1, true, "failed"},
		{"the listed test passes", []string{testRun, testPass, packagePass}, 0, true, "cause (#1): passed, its line can be removed"},
		{"the listed test is skipped", []string{testRun, testSkip, packagePass}, 0, true, "cause (#1): skipped"},
		{"the listed test does not run", []string{packagePass}, 0, true, "cause (#1): did not run"},
		{"the listed test fails, then passes", []string{testRun, testFail, testRun, testPass, verdictLine, summaryLine, packageFail}, 1, true, "failed"},
		{"an unlisted test fails too", []string{testRun, testFail, otherRun, otherFail, verdictLine, summaryLine, packageFail}, 1, false, "relay.TestRedder failed"},
		{"the listed test panics", []string{testRun, testFail, summaryLine, packageFail}, 1, false, "did not end normally"},
		{"a panic after the tests", []string{testRun, testFail, verdictLine, outputAfterVerdict, summaryLine, packageFail}, 1, false, "did not end normally"},
		{"an unlisted test does not finish", []string{testRun, testFail, otherRun, verdictLine, summaryLine, packageFail}, 1, false, "relay.TestRedder did not finish"},
		{"the listed test does not finish", []string{testRun, summaryLine, packageFail}, 1, false, "cause (#1): did not finish"},
		{"the package does not build", []string{buildFail}, 1, false, "relay does not build"},
		{"the package fails outside its tests", []string{testRun, testPass, summaryLine, packageFail}, 1, false, "failed outside its tests"},
		{"the package has no result", []string{testRun, testFail}, 1, false, "relay has no result"},
		{"go test exits with 2", []string{testRun, testFail, verdictLine, summaryLine, packageFail}, 2, false, "exit code 2"},
		{"go test exits with 0 though a package failed", []string{testRun, testFail, verdictLine, summaryLine, packageFail}, 0, false, "exit code 0"},
		{"go test exits with 1 though no package failed", []string{testRun, testPass, packagePass}, 1, false, "exit code 1"},
		{"the package passes though a test failed", []string{testRun, testFail, packagePass}, 0, false, "passed though a test failed"},
		{"a line is not an event", []string{"pattern ./...: no Go files", testRun, testFail, verdictLine, summaryLine, packageFail}, 1, false, "not a JSON event"},
		{"no package runs", nil, 0, false, "ran no package"},
	} {
		t.Run(c.name, func(t *testing.T) {
			run := NewRun()
			for _, line := range c.lines {
				run.AddLine(line, t.Output())
			}
			passes, report := run.Judge(listed, c.exit)
			if text := strings.Join(report, "\n"); passes != c.passes || !strings.Contains(text, c.report) {
				t.Errorf("Judge: passes = %v, want %v and a report that contains %q; report:\n%s", passes, c.passes, c.report, text)
			}
			if passes, _ := run.Judge(nil, c.exit); passes && slices.Contains(c.lines, testFail) {
				t.Error("Judge passes the run though the failed test is not listed")
			}
			elsewhere := []Entry{{Name{"relay/core", "TestRed"}, "cause", "#1"}}
			if passes, _ := run.Judge(elsewhere, c.exit); passes && slices.Contains(c.lines, testFail) {
				t.Error("Judge passes the run though the failed test is listed for another package")
			}
		})
	}
}

// TestOutput checks that AddLine and Finish print the output of a failed package without that of its
// passed tests, and one line for a package that passed.
func TestOutput(t *testing.T) {
	run := NewRun()
	var out strings.Builder
	for _, line := range []string{
		`{"ImportPath":"relay/core","Action":"build-output","Output":"core.go:1:1: undefined\n"}`,
		`{"Action":"output","Package":"relay","Test":"TestRed","Output":"=== RUN   TestRed\n"}`,
		testRun,
		`{"Action":"output","Package":"relay","Test":"TestRed","Output":"--- FAIL: TestRed (0.00s)\n"}`,
		testFail,
		`{"Action":"run","Package":"relay","Test":"TestGreen"}`,
		`{"Action":"output","Package":"relay","Test":"TestGreen","Output":"--- PASS: TestGreen (0.00s)\n"}`,
		`{"Action":"pass","Package":"relay","Test":"TestGreen"}`,
		`{"Action":"output","Package":"relay/policy","Output":"PASS\n"}`,
		`{"Action":"output","Package":"relay/policy","Output":"ok  \trelay/policy\t0.1s\n"}`,
		`{"Action":"pass","Package":"relay/policy"}`,
		verdictLine, summaryLine, packageFail,
		`{"Action":"output","Package":"relay/wire","Output":"cut off\n"}`,
		"no event",
	} {
		run.AddLine(line, &out)
	}
	run.Finish(&out)
	const want = "core.go:1:1: undefined\nok  \trelay/policy\t0.1s\n--- FAIL: TestRed (0.00s)\nFAIL\nFAIL\trelay\t0.1s\nno event\ncut off\n"
	if out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
}

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
		t.Fatalf("%v %v", entries, err)
	}
	if entries, err := Parse(""); err != nil || len(entries) != 0 {
		t.Fatalf("empty list: %v %v", entries, err)
	}
}

func TestParseErrors(t *testing.T) {
	const end = " | relay/policy | cause | #1\n"
	for name, text := range map[string]string{
		"three fields":    "TestOne | relay/policy | cause\n",
		"five fields":     "TestOne | relay/policy | cause | #1 | more\n",
		"no cause":        "TestOne | relay/policy |  | #1\n",
		"no issue":        "TestOne | relay/policy | cause |\n",
		"a subtest":       "TestOne/sub" + end,
		"a pattern":       "Test.*" + end,
		"no test":         "Helper" + end,
		"a path":          "TestOne | ./policy | cause | #1\n",
		"all packages":    "TestOne | relay/... | cause | #1\n",
		"a flag":          "TestOne | -count=0 | cause | #1\n",
		"a test twice":    "TestOne" + end + "TestOne" + end,
		"more than three": "TestOne" + end + "TestTwo" + end + "TestThree" + end + "TestFour" + end,
	} {
		t.Run(name, func(t *testing.T) {
			if entries, err := Parse(text); err == nil {
				t.Errorf("parsed as %v", entries)
			}
		})
	}
	if _, err := Parse("TestOne" + end + "TestTwo" + end + "TestThree" + end); err != nil {
		t.Error("three tests: ", err)
	}
}

func TestExists(t *testing.T) {
	name := Name{"relay/policy", "TestOne"}
	if !name.Exists("TestOne\nok  \trelay/policy\t0.1s\n") || name.Exists("TestOneMore\nok  \trelay/policy\t0.1s\n") {
		t.Fail()
	}
}

// Lines of go test -json for a package relay.
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

// TestJudge judges runs of a package whose TestRed is listed, not listed, and listed for another package.
func TestJudge(t *testing.T) {
	listed := []Entry{{Name{"relay", "TestRed"}, "cause", "#1"}}
	for _, c := range []struct {
		name   string
		lines  []string
		exit   int
		passes bool
		report string // must be contained in it
	}{
		{"it fails", []string{testRun, testFail, verdictLine, summaryLine, packageFail}, 1, true, "cause (#1): failed"},
		{"a subtest fails", []string{testRun, subtestRun, subtestFail, testFail, verdictLine, summaryLine, packageFail}, 1, true, "failed"},
		{"it passes", []string{testRun, testPass, packagePass}, 0, true, "cause (#1): passed, its line can go"},
		{"it is skipped", []string{testRun, testSkip, packagePass}, 0, true, "cause (#1): skipped"},
		{"it does not run", []string{packagePass}, 0, true, "cause (#1): did not run"},
		{"it passes the second time", []string{testRun, testFail, testRun, testPass, verdictLine, summaryLine, packageFail}, 1, true, "failed"},
		{"another fails too", []string{testRun, testFail, otherRun, otherFail, verdictLine, summaryLine, packageFail}, 1, false, "relay.TestRedder failed"},
		{"it panics", []string{testRun, testFail, summaryLine, packageFail}, 1, false, "ended before its verdict"},
		{"a panic after the tests", []string{testRun, testFail, verdictLine, outputAfterVerdict, summaryLine, packageFail}, 1, false, "ended before its verdict"},
		{"another does not finish", []string{testRun, testFail, otherRun, verdictLine, summaryLine, packageFail}, 1, false, "relay.TestRedder did not finish"},
		{"it does not finish", []string{testRun, summaryLine, packageFail}, 1, false, "cause (#1): did not finish"},
		{"its package does not build", []string{buildFail}, 1, false, "relay does not build"},
		{"its package fails outside tests", []string{testRun, testPass, summaryLine, packageFail}, 1, false, "failed outside its tests"},
		{"its package has no result", []string{testRun, testFail}, 1, false, "relay has no result"},
		{"go test is called wrongly", []string{testRun, testFail, verdictLine, summaryLine, packageFail}, 2, false, "exit code 2"},
		{"go test ends well all the same", []string{testRun, testFail, verdictLine, summaryLine, packageFail}, 0, false, "exit code 0"},
		{"go test fails without a package", []string{testRun, testPass, packagePass}, 1, false, "exit code 1"},
		{"its package passes all the same", []string{testRun, testFail, packagePass}, 0, false, "passed though a test failed"},
		{"a line is no event", []string{"pattern ./...: no Go files", testRun, testFail, verdictLine, summaryLine, packageFail}, 1, false, "no event"},
		{"nothing runs", nil, 0, false, "ran no package"},
	} {
		t.Run(c.name, func(t *testing.T) {
			run := NewRun()
			for _, line := range c.lines {
				run.AddLine(line, t.Output())
			}
			passes, report := run.Judge(listed, c.exit)
			if text := strings.Join(report, "\n"); passes != c.passes || !strings.Contains(text, c.report) {
				t.Errorf("passes %v\n%s", passes, text)
			}
			if passes, _ := run.Judge(nil, c.exit); passes && slices.Contains(c.lines, testFail) {
				t.Error("not listed: passes")
			}
			elsewhere := []Entry{{Name{"relay/core", "TestRed"}, "cause", "#1"}}
			if passes, _ := run.Judge(elsewhere, c.exit); passes && slices.Contains(c.lines, testFail) {
				t.Error("listed for another package: passes")
			}
		})
	}
}

// TestOutput: the whole output of a failed package is printed, without its passed tests, and one line of a package that passed.
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
		t.Errorf("%q", out.String())
	}
}

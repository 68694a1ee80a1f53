package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// nonDecisionFiles are the files that make no decisions: the API, the state and the settings.
var nonDecisionFiles = []string{"api.go", "facade.go", "hash.go", "learned.go", "settings.go", "state.go"}

// TestDecisionFiles checks that the files that make decisions are short, so that an auditor can
// read them, and that the deploy file lists them all.
func TestDecisionFiles(t *testing.T) {
	const maxLines, maxWidth = 250, 110
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	key := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if key == nil {
		t.Fatal("no policy key in the deploy file")
	}
	var listed []string
	for _, quoted := range strings.Split(string(key[1]), ", ") {
		listed = append(listed, strings.TrimPrefix(strings.Trim(quoted, `"`), "policy/"))
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var decisionFiles []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") || slices.Contains(nonDecisionFiles, name) {
			continue
		}
		decisionFiles = append(decisionFiles, name)
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > maxLines {
			t.Errorf("%s has %d lines, want at most %d", name, len(lines), maxLines)
		}
		for i, line := range lines {
			if len([]rune(line)) > maxWidth {
				t.Errorf("%s:%d: line longer than %d characters", name, i+1, maxWidth)
			}
		}
	}
	slices.Sort(listed)
	if !slices.Equal(listed, decisionFiles) {
		t.Errorf("the deploy file lists the decision files %v, the package has %v", listed, decisionFiles)
	}
}

package main

import (
	"testing"

	"github.com/sirupsen/logrus"
)

// TestScenarioCommandNames checks that the scenario command is found by its name and by the earlier
// one, which operators' scripts use, and passes on all arguments that follow.
func TestScenarioCommandNames(t *testing.T) {
	for _, name := range []string{"scenario", "rehearse"} {
		found, rest, err := command(logrus.New(), nil).Find([]string{name, "--check", "file.json"})
		if err != nil {
			t.Fatalf("Find(%q): %v", name, err)
		}
		if found.Name() != "scenario" || !found.DisableFlagParsing || len(rest) != 2 {
			t.Errorf("Find(%q) = command %q with arguments %q, want scenario with 2 unparsed arguments",
				name, found.Name(), rest)
		}
	}
}

package integration

import (
	"debug/elf"
	"os"
	"strings"
	"testing"
)

// TestDynamicLinking guards against a program that is not linked against the C library: libraries that the
// platform preloads into the process would then silently not be loaded.
func TestDynamicLinking(t *testing.T) {
	f, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if f.Section(".interp") == nil {
		t.Error("the program has no dynamic interpreter")
	}
	libraries, err := f.ImportedLibraries()
	if err != nil || !strings.Contains(strings.Join(libraries, " "), "libc.so") {
		t.Errorf("ImportedLibraries() = %v, %v, want libc.so among them", libraries, err)
	}
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"CGO_ENABLED=1", "-ldflags=-linkmode=external", `run = "exec `} {
		if !strings.Contains(string(deploy), part) {
			t.Errorf("deploy/balancer.toml does not contain %q", part)
		}
	}
}

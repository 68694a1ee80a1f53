package consensus

import (
	"context"
	"fmt"
	"testing"
)

// TestAgreement commits commands at a voter and a follower, restarts all nodes, and commits another:
// all machines agree, and no command is lost.
func TestAgreement(t *testing.T) {
	t.Parallel()
	for _, voters := range []int{1, 3} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			f := newCluster(t, voters, true)
			f.startVoters()
			f.start("r0")
			for i := range 20 {
				f.propose([]string{"v0", "r0"}[i%2], fmt.Sprintf("c%d", i))
			}
			f.waitSameState()
			if _, err := f.nodes["r0"].Barrier(context.Background()); err != nil {
				t.Fatal(err)
			}
			for name := range f.nodes {
				f.stop(name)
			}
			f.startVoters()
			f.start("r0")
			f.propose("r0", "after")
			f.waitSameState()
			if n, _ := f.machines["r0"].state(); n != 21 {
				t.Fatalf("r0 applied %d commands, want 21", n)
			}
		})
	}
}

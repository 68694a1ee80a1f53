package integration

import (
	"fmt"
	"testing"

	"dahliarudder/internal/fakes"
)

// newCluster starts n NATS nodes that count attempts and report their load.
func newCluster(t testing.TB, n int) *fakes.NATSCluster {
	k, err := fakes.NewNATSCluster(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	k.Attempts, k.LoadSubject = fakes.NewAttemptCounter(), "node.load"
	k.LoadReport = func(n *fakes.NATSNode) string {
		inFlight := 100 + n.Connections() // of a capacity of 1000
		return fmt.Sprintf(`{"x0":%.3f,"x1":0,"inflight":%d}`, float64(inFlight)/1000, inFlight)
	}
	return k
}

func natsMembers(k *fakes.NATSCluster) (list []member) {
	for _, o := range k.Nodes {
		list = append(list, member{ID: o.ID, Addr: o.Addr, Zone: "a", Kind: "m1", Lifecycle: "SERVING", Weight: 1})
	}
	return list
}

// checkAttemptCounter fails the test if a request had two attempts in flight at once, or more than
// three attempts.
func checkAttemptCounter(t *testing.T, c *fakes.AttemptCounter) {
	t.Helper()
	for _, violation := range c.Violations() {
		t.Error(violation)
	}
}

package integration

import (
	"fmt"
	"testing"

	"dahliarudder/internal/fakes"
)

// newCluster starts NATS nodes that count attempts and report their load.
func newCluster(t testing.TB, n int) *fakes.Cluster {
	k, err := fakes.NewCluster(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	k.Tries, k.LoadSubject = fakes.NewTries(), "node.load"
	k.Load = func(n *fakes.Node) string {
		held := 100 + n.Conns() // of a thousand
		return fmt.Sprintf(`{"x0":%.3f,"x1":0,"inflight":%d}`, float64(held)/1000, held)
	}
	return k
}

func natsMembers(k *fakes.Cluster) (list []member) {
	for _, o := range k.Nodes {
		list = append(list, member{ID: o.ID, Addr: o.Addr, Zone: "a", Kind: "m1", Lifecycle: "SERVING", Weight: 1})
	}
	return list
}

// checkTries fails the test if a request had two attempts out, or more than three.
func checkTries(t *testing.T, c *fakes.Tries) {
	t.Helper()
	for _, broken := range c.Broken() {
		t.Error(broken)
	}
}

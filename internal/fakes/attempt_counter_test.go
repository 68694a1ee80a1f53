package fakes

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// dialPublisher returns a connection to a node that has accepted its CONNECT.
func dialPublisher(t *testing.T, n *NATSNode) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprint(c, "CONNECT {}\r\nPING\r\n")
	var got []byte
	for buf := make([]byte, 512); len(got) < 6 || string(got[len(got)-6:]) != "PONG\r\n"; {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, buf[:n]...)
	}
	return c
}

// publish sends a publication and, if ack is set, waits for its acknowledgement.
func publish(c net.Conn, text string, ack bool) {
	fmt.Fprintf(c, "PUB s %d\r\n%s\r\n", len(text), text)
	if ack {
		fmt.Fprint(c, "PING\r\n")
		io.ReadFull(c, make([]byte, 6))
	}
}

// TestAttemptCounterOrder checks that an attempt counts as ended as soon as its connection has ended,
// whichever side ended it. A sender that makes its next attempt only then must not be counted as
// having two attempts in flight, although the goroutine that serves the first connection may not
// have noticed the end yet. A sender that does not wait must be counted.
func TestAttemptCounterOrder(t *testing.T) {
	for name, endFirst := range map[string]func(n *NATSNode, c net.Conn){
		"connections reset by the node":   func(n *NATSNode, c net.Conn) { n.ResetConnections(); io.ReadAll(c) },
		"node killed":                     func(n *NATSNode, c net.Conn) { n.Kill(); io.ReadAll(c) },
		"connection reset by the sender":  func(_ *NATSNode, c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"connection closed by the sender": func(_ *NATSNode, c net.Conn) { c.Close() },
		"connection still open":           nil,
	} {
		t.Run(name, func(t *testing.T) {
			const rounds = 200
			roundsWithOverlap := 0
			for range rounds {
				k, err := NewNATSCluster(2)
				if err != nil {
					t.Fatal(err)
				}
				k.Attempts = NewAttemptCounter()
				k.Nodes[0].SetMode(NodeSilent)
				first, second := dialPublisher(t, k.Nodes[0]), dialPublisher(t, k.Nodes[1])
				for n := range 16 {
					publish(first, fmt.Sprint("text ", n), false)
				}
				for k.Nodes[0].Published() < 16 {
				}
				if endFirst != nil {
					endFirst(k.Nodes[0], first)
				}
				for n := range 16 {
					publish(second, fmt.Sprint("text ", n), true)
				}
				if len(k.Attempts.Violations()) > 0 {
					roundsWithOverlap++
				}
				k.Close()
			}
			if want := map[bool]int{true: rounds}[endFirst == nil]; roundsWithOverlap != want {
				t.Errorf("overlapping attempts reported in %d of %d rounds, want %d", roundsWithOverlap, rounds, want)
			}
		})
	}
}

package accord

import "context"

// Node is one relay's part in the record.
type Node struct{ addr string }

func start(o Options) (*Node, error) { return nil, ErrClosed }
func (n *Node) propose(context.Context, []byte) ([]byte, uint64, error) {
	return nil, 0, ErrClosed
}
func (n *Node) barrier(context.Context) (uint64, error)                     { return 0, ErrClosed }
func (n *Node) waitApplied(context.Context, uint64) error                   { return ErrClosed }
func (n *Node) say([]byte) error                                            { return ErrClosed }
func (n *Node) replace(ctx context.Context, old, new, address string) error { return ErrClosed }
func (n *Node) status() Status                                              { return Status{} }
func (n *Node) close() error                                                { return nil }

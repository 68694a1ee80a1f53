package fakes

import (
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// NodeMode is how a NATS node handles publications.
type NodeMode int32

// Modes of a NATS node.
const (
	NodeHealthy   NodeMode = iota
	NodeRefuses            // answers publications with a permissions error
	NodeSilent             // drops publications and acknowledges none on that connection from then on
	NodeResets             // resets the connection at the first publication
	NodeTruncates          // ends the connection after half of a delivered message
)

// NATSCluster is a cluster of fake NATS servers. All nodes share one subject space: a message that
// is published at one node is delivered to the subscriptions at every node. The exported fields must
// be set before clients connect; all but Nodes are optional.
type NATSCluster struct {
	Nodes []*NATSNode
	// Attempts counts each publication as an attempt of the request that its payload identifies.
	Attempts *AttemptCounter
	// LoadReport returns the answer of a node to a request on LoadSubject.
	LoadSubject string
	LoadReport  func(n *NATSNode) string
	// Authorize reports whether a CONNECT with the given options is accepted; nil accepts all.
	Authorize func(connect map[string]any) bool
	// TLS, if set, makes the nodes require TLS.
	TLS *tls.Config

	mu        sync.RWMutex
	exact     map[string]map[*subscription]bool // by subject
	wild      map[*subscription]bool            // subscriptions with wildcards
	queueTurn atomic.Int64                      // selects the receivers within queue groups in turn
	onPublish func(subject, payload string)
}

// NATSNode is one server of a cluster. Its unexported fields are guarded by the cluster's lock.
type NATSNode struct {
	*NATSCluster
	ID   string
	Addr string

	listener  net.Listener
	down      bool
	mode      NodeMode
	published int
	conns     map[*natsConn]bool
	extraInfo map[string]any
}

// NewNATSCluster starts a cluster of n nodes on the loopback interface.
func NewNATSCluster(n int) (*NATSCluster, error) {
	k := &NATSCluster{exact: map[string]map[*subscription]bool{}, wild: map[*subscription]bool{}}
	for i := range n {
		o := &NATSNode{NATSCluster: k, ID: fmt.Sprintf("s-%08x", 0x71000000+i*0x0234567), conns: map[*natsConn]bool{}}
		k.Nodes = append(k.Nodes, o)
		if err := o.listen("127.0.0.1:0"); err != nil {
			k.Close()
			return nil, err
		}
	}
	return k, nil
}

// Close kills all nodes.
func (k *NATSCluster) Close() {
	for _, o := range k.Nodes {
		o.Kill()
	}
}

// Subscriptions returns the number of subscriptions with exactly this pattern at each node.
func (k *NATSCluster) Subscriptions(pattern string) []int {
	k.mu.RLock()
	defer k.mu.RUnlock()
	out := make([]int, len(k.Nodes))
	for i, o := range k.Nodes {
		for c := range o.conns {
			for _, s := range c.subscriptions {
				if s.subject == pattern {
					out[i]++
				}
			}
		}
	}
	return out
}

// Watch sets a function that is called with every publication that a node accepts, in the order of
// acceptance. It replaces the function of an earlier call.
func (k *NATSCluster) Watch(f func(subject, payload string)) {
	k.mu.Lock()
	k.onPublish = f
	k.mu.Unlock()
}

func (o *NATSNode) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.listener, o.Addr, o.down = l, l.Addr().String(), false
	o.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go o.serve(c)
		}
	}()
	return nil
}

// Kill resets all connections of a node and stops accepting new ones.
func (o *NATSNode) Kill() {
	o.mu.Lock()
	if o.listener != nil {
		o.listener.Close()
	}
	o.down = true
	conns := o.connections()
	o.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// connections lists the node's connections. The caller holds the lock.
func (o *NATSNode) connections() (conns []*natsConn) {
	for c := range o.conns {
		conns = append(conns, c)
	}
	return conns
}

// Restart starts a killed node again at its old address.
func (o *NATSNode) Restart() error { return o.listen(o.Addr) }

// SetMode sets how a node handles publications.
func (o *NATSNode) SetMode(m NodeMode) {
	o.mu.Lock()
	o.mode = m
	o.mu.Unlock()
}

// SetInfo sets additional fields of the INFO that a node sends on later connections.
func (o *NATSNode) SetInfo(fields map[string]any) {
	o.mu.Lock()
	o.extraInfo = fields
	o.mu.Unlock()
}

// ResetConnections resets all connections of a node. The node continues to accept new ones.
func (o *NATSNode) ResetConnections() {
	o.mu.Lock()
	conns := o.connections()
	o.mu.Unlock()
	for _, c := range conns {
		c.reset()
	}
}

// Published returns how many publications a node has received. They are counted only if Attempts is
// set.
func (o *NATSNode) Published() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.published
}

// Connections returns how many connections a node has.
func (o *NATSNode) Connections() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.conns)
}

// info returns the INFO that a node sends to a new client. The caller holds the lock.
func (o *NATSNode) info() map[string]any {
	info := map[string]any{"server_id": o.ID, "version": "2.10.0", "proto": 1, "headers": true, "max_payload": 1 << 20}
	for key, v := range o.extraInfo {
		info[key] = v
	}
	if o.TLS != nil {
		info["tls_required"] = true
	}
	return info
}

// serve handles one client connection until it ends.
func (o *NATSNode) serve(conn net.Conn) {
	c := newNATSConn(o, conn)
	o.mu.Lock()
	if o.down {
		o.mu.Unlock()
		conn.Close()
		return
	}
	info := o.info()
	o.conns[c] = true
	o.mu.Unlock()
	text, _ := json.Marshal(info)
	fmt.Fprintf(conn, "INFO %s\r\n", text)
	if o.TLS != nil {
		c.conn = tls.Server(conn, o.TLS)
	}
	go c.write()
	c.read()
	o.mu.Lock()
	delete(o.conns, c)
	for _, s := range c.subscriptions {
		o.removeSubscription(s)
	}
	for _, attempt := range c.unacknowledged {
		attempt.End()
	}
	o.mu.Unlock()
	c.close()
}

package consensus

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	messagesTimeout = 800 * time.Millisecond // raft has no use for messages that arrive later
	snapshotTimeout = 30 * time.Second
	peerQueueSize   = 512
	maxMessagesSize = 1 << 20 // approximate limit in bytes of the raft messages in one request
)

// transport sends raft messages to the other voters. For each voter it has a queue and a goroutine for
// snapshots, and another queue and goroutine for all other messages.
type transport struct {
	node  *Node
	mu    sync.Mutex
	peers map[uint64]*peer
}

// peer is another voter, with the queues of messages for it.
type peer struct {
	voter
	id, self            uint64
	messages, snapshots chan *pb.Message
	quit                chan struct{}
	acknowledged        atomic.Pointer[map[uint64]logPosition] // positions to send with the next heartbeat
}

// setPeers makes the given voters, except self, the only peers. It starts and ends their goroutines.
func (t *transport) setPeers(voters voterSet, self uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, p := range t.peers {
		if voters[id] != p.voter {
			close(p.quit)
			delete(t.peers, id)
		}
	}
	for id, v := range voters {
		if t.peers[id] == nil && id != self {
			p := &peer{voter: v, id: id, self: self, messages: make(chan *pb.Message, peerQueueSize), snapshots: make(chan *pb.Message, 1), quit: make(chan struct{})}
			t.peers[id] = p
			t.node.wg.Go(func() { t.node.sendMessages(p) })
			t.node.wg.Go(func() { t.node.sendSnapshots(p) })
		}
	}
}

// send queues raft messages. If a queue is full, the message is dropped: raft sends it again.
func (t *transport) send(c *core, messages []*pb.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var acknowledged map[uint64]logPosition
	for _, m := range messages {
		p := t.peers[m.GetTo()]
		if p == nil {
			continue
		}
		if m.GetType() == pb.MsgHeartbeat {
			if acknowledged == nil {
				acknowledged = maps.Clone(c.acknowledged)
				acknowledged[c.id] = c.ownPosition()
			}
			p.acknowledged.Store(&acknowledged)
		}
		queue := p.messages
		if m.GetType() == pb.MsgSnap {
			queue = p.snapshots
		}
		select {
		case queue <- m:
		default:
			t.node.countDropped(droppedRaftMessages)
			if m.GetType() == pb.MsgSnap {
				t.node.reportSnapshot(p.id, raft.SnapshotFailure)
			}
		}
	}
}

// nextMessage waits for a message in a peer's queue. It returns nil once the peer is removed or the
// node is closed.
func (n *Node) nextMessage(p *peer, queue <-chan *pb.Message) *pb.Message {
	select {
	case <-p.quit:
		return nil
	case <-n.quit:
		return nil
	case m := <-queue:
		return m
	}
}

// sendMessages sends a peer's queued messages until the peer is removed. Messages that wait together
// go into one request.
func (n *Node) sendMessages(p *peer) {
	for {
		m := n.nextMessage(p, p.messages)
		if m == nil {
			return
		}
		messages := n.marshalQueued(m, p.messages)
		var acknowledged map[uint64]logPosition
		if a := p.acknowledged.Swap(nil); a != nil {
			acknowledged = *a
		}
		ctx, cancel := context.WithTimeout(n.ctx, messagesTimeout)
		if _, err := n.client.call(ctx, p.voter, requestMessages, encodeMessages(p.self, acknowledged, messages)); err != nil {
			n.countDropped(droppedUnreachable)
			n.tryOnEngine(func(e *engine) { e.core.rawNode.ReportUnreachable(p.id) })
		}
		cancel()
	}
}

// marshalQueued encodes a message and those queued behind it, up to about maxMessagesSize.
func (n *Node) marshalQueued(m *pb.Message, queue <-chan *pb.Message) (messages [][]byte) {
	size := 0
	for {
		b, err := proto.Marshal(m)
		if err != nil {
			n.countDropped(droppedMarshal)
		} else {
			messages = append(messages, b)
		}
		if size += len(b); size > maxMessagesSize {
			return messages
		}
		select {
		case m = <-queue:
		default:
			return messages
		}
	}
}

// sendSnapshots sends a peer's snapshots, and reports the outcome of each to raft, until the peer is
// removed.
func (n *Node) sendSnapshots(p *peer) {
	for {
		m := n.nextMessage(p, p.snapshots)
		if m == nil {
			return
		}
		status := raft.SnapshotFinish
		if err := n.sendSnapshot(p, m); err != nil {
			status = raft.SnapshotFailure
		}
		n.reportSnapshot(p.id, status)
	}
}

func (n *Node) sendSnapshot(p *peer, m *pb.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	ctx, cancel := context.WithTimeout(n.ctx, snapshotTimeout)
	defer cancel()
	response, err := n.client.call(ctx, p.voter, requestMessages, encodeMessages(p.self, nil, [][]byte{b}))
	if err != nil {
		return fmt.Errorf("send snapshot: %w", err)
	}
	if response[0] != codeOK {
		return fmt.Errorf("voter %s rejected the snapshot with response code %d", p.name, response[0])
	}
	return nil
}

func (n *Node) reportSnapshot(id uint64, status raft.SnapshotStatus) {
	n.onEngine(func(e *engine) { e.core.rawNode.ReportSnapshot(id, status) })
}

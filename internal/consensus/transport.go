package consensus

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	messagesTimeout = 800 * time.Millisecond // for messages of the engine: what is late is worth nothing
	peerQueueSize   = 512
	maxMessagesSize = 1 << 20
)

// transport are the ways to the other voters, a queue and a goroutine each.
type transport struct {
	node  *Node
	mu    sync.Mutex
	peers map[uint64]*peer
}

type peer struct {
	name, address       string
	messages, snapshots chan *pb.Message
	quit                chan struct{}
	acknowledged        atomic.Pointer[map[uint64]logPosition]
}

// setPeers has lanes to these and no others.
func (l *transport) setPeers(m voterSet, self uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, la := range l.peers {
		if m[id] != (voter{la.name, la.address}) {
			close(la.quit)
			delete(l.peers, id)
		}
	}
	for id, v := range m {
		if l.peers[id] == nil && id != self {
			la := &peer{name: v.Name, address: v.Addr, messages: make(chan *pb.Message, peerQueueSize), snapshots: make(chan *pb.Message, 1), quit: make(chan struct{})}
			l.peers[id] = la
			l.node.wg.Go(func() { l.node.sendMessages(self, id, la) })
			l.node.wg.Go(func() { l.node.sendSnapshots(self, id, la) })
		}
	}
}

func (l *transport) send(c *core, ms []*pb.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var marks map[uint64]logPosition
	for _, m := range ms {
		la := l.peers[m.GetTo()]
		if la == nil {
			continue
		}
		if m.GetType() == pb.MsgHeartbeat {
			if marks == nil {
				marks = maps.Clone(c.acknowledged)
				marks[c.id] = c.ownPosition()
			}
			la.acknowledged.Store(&marks)
		}
		ch := la.messages
		if m.GetType() == pb.MsgSnap {
			ch = la.snapshots
		}
		select {
		case ch <- m:
		default:
			l.node.countDropped("engine")
			if m.GetType() == pb.MsgSnap {
				id := m.GetTo()
				l.node.onEngine(func(e *engine) { e.core.node.ReportSnapshot(id, raft.SnapshotFailure) })
			}
		}
	}
}

func (n *Node) sendMessages(self, id uint64, la *peer) {
	for {
		var ms [][]byte
		select {
		case <-la.quit:
			return
		case <-n.quit:
			return
		case m := <-la.messages:
			size := 0
			for m != nil {
				b, err := proto.Marshal(m)
				if err != nil {
					n.countDropped("marshal")
				} else {
					ms = append(ms, b)
				}
				if size += len(b); size > maxMessagesSize {
					break
				}
				select {
				case m = <-la.messages:
				default:
					m = nil
				}
			}
		}
		var marks map[uint64]logPosition
		if p := la.acknowledged.Swap(nil); p != nil {
			marks = *p
		}
		ctx, cancel := context.WithTimeout(n.ctx, messagesTimeout)
		if _, err := n.client.call(ctx, la.name, la.address, requestMessages, encodeMessages(self, marks, ms)); err != nil {
			n.countDropped("unreachable")
			n.tryOnEngine(func(e *engine) { e.core.node.ReportUnreachable(id) })
		}
		cancel()
	}
}

func (n *Node) sendSnapshots(self, id uint64, la *peer) {
	for {
		select {
		case <-la.quit:
			return
		case <-n.quit:
			return
		case m := <-la.snapshots:
			b, err := proto.Marshal(m)
			if err == nil {
				ctx, cancel := context.WithTimeout(n.ctx, snapshotTimeout)
				var a []byte
				if a, err = n.client.call(ctx, la.name, la.address, requestMessages, encodeMessages(self, nil, [][]byte{b})); err == nil && a[0] != codeOK {
					err = errNotSent
				}
				cancel()
			}
			how := raft.SnapshotFinish
			if err != nil {
				how = raft.SnapshotFailure
			}
			n.onEngine(func(e *engine) { e.core.node.ReportSnapshot(id, how) })
		}
	}
}

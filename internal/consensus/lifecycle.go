package consensus

import (
	"errors"
	"fmt"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// reasonReplaced is a value of Status.IdentityReason. The other values say that the directory was
// damaged or is outdated.
const reasonReplaced = "replaced as a voter"

// openDirectory opens the directory, and starts the engine if the directory holds a voter's log. A
// relay without a directory only draws an identity.
func (n *Node) openDirectory() {
	if n.options.Dir == "" {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.identity == 0 {
			n.identity = randomID()
		}
		return
	}
	d := &disk{directory: n.options.Dir, injectFault: n.injectFault}
	stored, damage, err := d.open(randomID())
	if err != nil {
		n.mu.Lock()
		n.diskError = err.Error()
		n.mu.Unlock()
		n.log().WithField("error", err.Error()).Error("consensus: the directory cannot be used: this relay does not vote")
		return
	}
	n.mu.Lock()
	n.disk, n.identity, n.diskError = d, stored.identity, ""
	if damage != "" {
		n.identityReason = damage
	}
	n.mu.Unlock()
	if damage != "" {
		n.log().Warn("consensus: " + damage + ": this relay continues under a new identity")
	}
	if stored.snapshot == nil {
		return
	}
	if err := n.resumeEngine(stored, d); err != nil {
		n.setEngineError(err)
		n.log().WithField("error", err.Error()).Error("consensus: the engine cannot start from the log in its directory")
	}
}

// resumeEngine starts the engine with the log that the directory holds.
func (n *Node) resumeEngine(stored storedState, d *disk) error {
	s, err := decodeSnapshot(stored.snapshot)
	if err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	storage, err := newStorage(s, stored.snapshot, stored.hardState, stored.entries)
	if err != nil {
		return err
	}
	if err := n.applyAndWait(applyBatch{snapshot: &s}); err != nil {
		return err
	}
	c, err := newCore(stored.identity, storage, s, len(s.voters) > 1, raftLogger{n.log()})
	if err != nil {
		return err
	}
	for id, position := range stored.acknowledged {
		c.noteAcknowledged(id, position)
	}
	n.startEngine(c, d)
	return nil
}

// joinAsVoter starts the engine of a relay that the record lists as a voter, with the state that the
// relay has applied as a follower.
func (n *Node) joinAsVoter() {
	s, encoded := n.snapshotNow()
	n.mu.Lock()
	id, d := n.identity, n.disk
	n.mu.Unlock()
	if s == nil || s.voters[id].name != n.options.Name {
		return
	}
	if err := n.startFromSnapshot(id, d, *s, encoded); err != nil {
		n.setEngineError(err)
	}
}

// startFromSnapshot starts an engine whose log begins with a snapshot.
func (n *Node) startFromSnapshot(id uint64, d *disk, s recordSnapshot, encoded []byte) error {
	hardState := &pb.HardState{Term: new(s.term), Commit: new(s.index)}
	storage, err := newStorage(s, encoded, hardState, nil)
	if err != nil {
		return err
	}
	if d != nil {
		if err := d.write(diskWrite{snapshot: encoded, hardState: hardState}); err != nil {
			n.abandonDisk(err)
			return nil
		}
	}
	c, err := newCore(id, storage, s, false, raftLogger{n.log()})
	if err != nil {
		return err
	}
	n.startEngine(c, d)
	return nil
}

func (n *Node) startEngine(c *core, d *disk) {
	e := newEngine(n, c, d)
	n.mu.Lock()
	n.currentEngine, n.engineError, n.leaderlessSince = e, "", time.Now()
	n.mu.Unlock()
	n.transport.setPeers(c.voters, c.id)
	e.start()
	if c.unverified {
		n.wg.Go(func() { n.verifyDirectory(e) })
	}
}

// engineEnded handles an engine that ended without a call of stop. If this voter was removed or its
// directory is outdated, the relay gets a new identity. If the engine failed, the relay does not vote
// until it is restarted.
func (n *Node) engineEnded(e *engine) {
	n.mu.Lock()
	n.currentEngine = nil
	d := n.disk
	n.mu.Unlock()
	n.announceLeadership(false, 0)
	n.transport.setPeers(nil, 0)
	n.pendingCalls.failAll(ErrOutcomeUnknown)
	switch {
	case e.removed:
		n.resetIdentity(d, reasonReplaced)
	case errors.Is(e.err, errOutdatedDirectory):
		n.resetIdentity(d, e.err.Error())
	default:
		n.setEngineError(e.err)
		n.log().WithField("error", fmt.Sprint(e.err)).
			Error("consensus: the engine failed: this relay does not vote until it is restarted")
	}
}

// resetIdentity gives this relay a new identity and an empty log. The votes that the relay has cast
// belong to the old identity.
func (n *Node) resetIdentity(d *disk, reason string) {
	id := randomID()
	if d != nil {
		if err := d.rewrite(storedState{identity: id}, nil); err != nil {
			n.abandonDisk(err)
			return
		}
	}
	n.mu.Lock()
	n.identity, n.identityReason = id, reason
	n.mu.Unlock()
	n.log().Warn("consensus: " + reason + ": this relay continues under a new identity")
}

// abandonDisk closes a disk that failed. The supervisor opens the directory again.
func (n *Node) abandonDisk(err error) {
	n.mu.Lock()
	d := n.disk
	n.disk, n.diskError = nil, err.Error()
	n.mu.Unlock()
	if d != nil {
		if err := d.close(); err != nil {
			n.log().WithField("error", err.Error()).Error("consensus: cannot close the directory")
		}
	}
}

func (n *Node) setEngineError(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engineError = fmt.Sprint(err)
}

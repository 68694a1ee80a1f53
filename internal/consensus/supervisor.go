package consensus

import (
	"errors"
	"fmt"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

const (
	superviseInterval = 200 * time.Millisecond // the supervisor's
)

// setRole notes what this node is.
func (n *Node) setRole(r string) {
	n.mu.Lock()
	n.role = r
	n.mu.Unlock()
}

// startEngine starts an engine.
func (n *Node) startEngine(c *core, d *disk) {
	e := newEngine(n, c, d)
	n.mu.Lock()
	n.current, n.engineError, n.leaderlessSince = e, "", time.Now()
	n.mu.Unlock()
	n.transport.setPeers(c.voters, c.id)
	e.start()
	if c.unverified {
		n.wg.Go(func() { n.verifyDirectory(e) })
	}
}

// supervise decides what this node is: voter, founder, newcomer, follower.
func (n *Node) supervise() {
	defer func() {
		if e := n.engine(); e != nil {
			e.stop()
		}
		if d := n.currentDisk(); d != nil {
			if err := d.close(); err != nil {
				n.log().WithField("error", err.Error()).Error("accord: closing the directory")
			}
		}
	}()
	n.openDirectory()
	look := time.NewTicker(superviseInterval)
	defer look.Stop()
	var wished, opened time.Time
	twinsAt := time.Now()
	for {
		e := n.engine()
		var ended <-chan struct{}
		if e != nil {
			ended = e.ended
		}
		select {
		case <-n.quit:
			return
		case <-ended:
			n.engineEnded(e)
			continue
		case <-look.C:
		}
		n.updateQuorum()
		if n.updateDuplicateNames(time.Since(twinsAt) > duplicateWindow) {
			twinsAt = time.Now()
		}
		if e != nil {
			continue
		}
		n.mu.Lock()
		id, disk, bad, gave := n.identity, n.disk, n.diskError, n.engineError
		n.mu.Unlock()
		if n.options.Dir != "" && (disk == nil || bad != "") {
			n.setRole(RoleFollower)
			if n.isVoter() {
				n.setRole(RoleDiskFailed)
			}
			if time.Since(opened) > 5*time.Second {
				opened = time.Now()
				n.openDirectory()
			}
			continue
		}
		if gave != "" {
			n.setRole(RoleDiskFailed)
			continue
		}
		record, _, _ := n.applier.position()
		ms := n.applier.voterSet()
		if m, ok := ms[id]; ok && record != 0 && m.Name == n.options.Name {
			n.joinAsVoter()
			continue
		}
		switch {
		case !n.isVoter():
			n.setRole(RoleFollower)
		case record == 0:
			n.setRole(RoleJoining)
			n.bootstrap(id)
		default:
			n.setRole(RoleJoining)
			if time.Since(wished) > changeInterval {
				wished = time.Now()
				n.sendChange(changeProposal{oldName: n.options.Name, newName: n.options.Name, address: n.ownAddress(ms), newID: id})
			}
		}
	}
}

// isVoter says whether this relay's name votes: as the record has it, or at first as the settings have it.
func (n *Node) isVoter() bool {
	if ms := n.applier.voterSet(); len(ms) > 0 {
		return ms.idOf(n.options.Name) != 0
	}
	_, ok := n.options.Voters[n.options.Name]
	return ok
}

func (n *Node) ownAddress(ms voterSet) string {
	if a, ok := n.options.Voters[n.options.Name]; ok {
		return a
	}
	if id := ms.idOf(n.options.Name); id != 0 {
		return ms[id].Addr
	}
	return n.address
}

func (n *Node) currentDisk() *disk {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disk
}

// openDirectory reads the directory and starts the engine, if it held a voter's log.
func (n *Node) openDirectory() {
	if n.options.Dir == "" {
		n.mu.Lock()
		if n.identity == 0 {
			n.identity = randomID()
		}
		n.mu.Unlock()
		return
	}
	d := &disk{directory: n.options.Dir, injectFault: n.injectFault}
	h, note, err := d.open(randomID())
	n.mu.Lock()
	if err != nil {
		n.diskError = err.Error()
		n.mu.Unlock()
		n.log().WithField("error", err.Error()).Error("accord: the directory cannot be used: this relay does not vote")
		return
	}
	n.disk, n.identity, n.diskError = d, h.identity, ""
	if note != "" {
		n.identityReason = note
	}
	n.mu.Unlock()
	if note != "" {
		n.log().Warn("accord: " + note + ": it comes back as a new voter")
	}
	if h.snapshot == nil {
		return
	}
	if err := n.resumeEngine(h, d); err != nil {
		n.mu.Lock()
		n.engineError = err.Error()
		n.mu.Unlock()
		n.log().WithField("error", err.Error()).Error("accord: the engine does not start from its directory")
	}
}

func (n *Node) resumeEngine(h storedState, d *disk) error {
	s, err := decodeSnapshot(h.snapshot)
	if err != nil {
		return err
	}
	st, err := newStorage(s, h.snapshot, h.hardState, h.entries)
	if err != nil {
		return err
	}
	if err := n.applyAndWait(applyBatch{snapshot: &s}); err != nil {
		return err
	}
	c, err := newCore(h.identity, st, s, len(s.voters) > 1, raftLog{n.log()})
	if err != nil {
		return err
	}
	for id, m := range h.acknowledged {
		c.noteAcknowledged(id, m)
	}
	n.startEngine(c, d)
	return nil
}

// joinAsVoter starts the engine of a relay that the record has taken in, from what it has applied as a follower.
func (n *Node) joinAsVoter() {
	s, raw := n.applier.requestSnapshot(n)
	n.mu.Lock()
	id, d := n.identity, n.disk
	n.mu.Unlock()
	if s == nil || s.voters[id].Name != n.options.Name {
		return
	}
	if err := n.startFromSnapshot(id, d, *s, raw, false); err != nil {
		n.mu.Lock()
		n.engineError = err.Error()
		n.mu.Unlock()
	}
}

// startFromSnapshot starts an engine whose log begins with a snapshot.
func (n *Node) startFromSnapshot(id uint64, d *disk, s recordSnapshot, raw []byte, unsure bool) error {
	hard := &pb.HardState{Term: new(s.term), Commit: new(s.index)}
	st, err := newStorage(s, raw, hard, nil)
	if err != nil {
		return err
	}
	if d != nil {
		if err := d.write(diskWrite{snapshot: raw, hardState: hard}); err != nil {
			n.diskFailed(err)
			return nil
		}
	}
	c, err := newCore(id, st, s, unsure, raftLog{n.log()})
	if err != nil {
		return err
	}
	n.startEngine(c, d)
	return nil
}

// engineEnded is when the engine has ended by itself: removed, on an older directory, or given up.
func (n *Node) engineEnded(e *engine) {
	n.mu.Lock()
	n.current = nil
	d := n.disk
	n.mu.Unlock()
	n.announceLeadership(false, 0)
	n.transport.setPeers(nil, 0)
	n.pendingCalls.failAll(ErrOutcomeUnknown)
	switch {
	case e.removed:
		n.resetIdentity(d, "replaced as a voter")
	case errors.Is(e.err, errOutdatedDirectory):
		n.resetIdentity(d, e.err.Error())
	default:
		n.mu.Lock()
		n.engineError = fmt.Sprint(e.err)
		n.mu.Unlock()
		n.log().WithField("error", fmt.Sprint(e.err)).Error("accord: the engine gave up: this relay does not vote until it is started again")
	}
}

// resetIdentity gives this relay a new identity and an empty log: what it may have voted for is forgotten with the old one.
func (n *Node) resetIdentity(d *disk, why string) {
	id := randomID()
	if d != nil {
		if err := d.rewrite(storedState{identity: id}, nil); err != nil {
			n.diskFailed(err)
			return
		}
	}
	n.mu.Lock()
	n.identity, n.identityReason = id, why
	n.mu.Unlock()
	n.log().Warn("accord: " + why + ": a new identity")
}

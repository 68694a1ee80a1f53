package consensus

import (
	"time"
)

const (
	superviseInterval = 200 * time.Millisecond
	reopenInterval    = 5 * time.Second // between attempts to open a directory that failed
)

// supervise decides whether this relay votes, follows, or has to become a voter by a bootstrap or a
// change of voters. It owns the engine and the disk.
func (n *Node) supervise() {
	defer n.stopVoting()
	n.openDirectory()
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	var lastChangeSent, lastOpenAttempt time.Time
	windowStart := time.Now()
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
		case <-ticker.C:
		}
		n.updateQuorum()
		endOfWindow := time.Since(windowStart) > duplicateWindow
		n.updateDuplicateNames(endOfWindow)
		if endOfWindow {
			windowStart = time.Now()
		}
		switch {
		case e != nil:
		case n.directoryFailed():
			n.setRole(n.roleWithoutDisk())
			if time.Since(lastOpenAttempt) > reopenInterval {
				lastOpenAttempt = time.Now()
				n.openDirectory()
			}
		case n.engineFailed():
			n.setRole(RoleDiskFailed)
		default:
			lastChangeSent = n.tryBecomeVoter(lastChangeSent)
		}
	}
}

// stopVoting ends the engine and closes the directory.
func (n *Node) stopVoting() {
	if e := n.engine(); e != nil {
		e.stop()
	}
	if d := n.currentDisk(); d != nil {
		if err := d.close(); err != nil {
			n.log().WithField("error", err.Error()).Error("consensus: cannot close the directory")
		}
	}
}

// tryBecomeVoter starts the engine if the record lists this relay's identity as a voter. Otherwise, if
// the relay has a voter's name, it bootstraps the record or, if there is one, asks the leader to add
// the relay under its new identity. It returns when it last asked the leader.
func (n *Node) tryBecomeVoter(lastChangeSent time.Time) time.Time {
	n.mu.Lock()
	id := n.identity
	n.mu.Unlock()
	recordID, _, _ := n.applier.position()
	voters := n.applier.voterSet()
	if v, ok := voters[id]; ok && recordID != 0 && v.name == n.options.Name {
		n.joinAsVoter()
		return lastChangeSent
	}
	switch {
	case !n.isVoter():
		n.setRole(RoleFollower)
	case recordID == 0:
		n.setRole(RoleJoining)
		n.bootstrap(id)
	default:
		n.setRole(RoleJoining)
		if time.Since(lastChangeSent) > changeInterval {
			lastChangeSent = time.Now()
			n.sendChange(changeProposal{oldName: n.options.Name, newName: n.options.Name, address: n.ownAddress(voters), newID: id})
		}
	}
	return lastChangeSent
}

// isVoter reports whether a voter has this relay's name in the record, or in the options if there is
// no record yet.
func (n *Node) isVoter() bool {
	if voters := n.applier.voterSet(); len(voters) > 0 {
		return voters.idOf(n.options.Name) != 0
	}
	_, ok := n.options.Voters[n.options.Name]
	return ok
}

func (n *Node) ownAddress(voters voterSet) string {
	if address, ok := n.options.Voters[n.options.Name]; ok {
		return address
	}
	if id := voters.idOf(n.options.Name); id != 0 {
		return voters[id].address
	}
	return n.address
}

func (n *Node) currentDisk() *disk {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disk
}

func (n *Node) roleWithoutDisk() string {
	if n.isVoter() {
		return RoleDiskFailed
	}
	return RoleFollower
}

func (n *Node) directoryFailed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.options.Dir != "" && (n.disk == nil || n.diskError != "")
}

func (n *Node) engineFailed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engineError != ""
}

package main

import (
	"errors"
	"time"

	"dahliarudder/internal/await"
	"dahliarudder/internal/ejections"
	"dahliarudder/internal/handover"
)

const (
	// stateDirTimeout is how long a start waits for a directory. It then goes on without what the
	// directory holds.
	stateDirTimeout = time.Second
	// stateDirRetryInterval is the time between attempts to use a state directory that failed.
	stateDirRetryInterval = time.Second
)

// restoreEjections joins a predecessor if there is one, applies the stored ejections, and starts the
// goroutine that writes the ejection file.
func (r *relay) restoreEjections() error {
	dir := ejections.StateDirPath(r.cfg.Name)
	if _, err := await.Result(stateDirTimeout, func() (struct{}, error) { return struct{}{}, ejections.CreateStateDir(dir) }); err != nil {
		if errors.Is(err, ejections.ErrForeignDir) {
			return err
		}
		r.log.WithError(err).Error("the state directory cannot be used yet")
	}
	r.stateDir, r.ejections, r.ejectionWrites = dir, &ejections.File{Dir: dir}, make(chan func(), maxEjectionWrites)
	r.background.run(func(quit <-chan struct{}) {
		consume(quit, r.ejectionWrites, func(write func()) { write() })
	})
	if err := r.joinPredecessor(dir); err != nil {
		return err
	}
	// The file is read only after joining: from then on the predecessor reports every change of it.
	names, err := await.Result(stateDirTimeout, r.ejections.Read)
	if err != nil {
		r.log.WithError(err).Error("cannot read the ejection file, no ejection is in force; retrying")
		r.loop.After(stateDirRetryInterval, r.retryEjections)
	}
	for _, name := range names {
		r.core.Eject(name)
		r.log.WithField("member", name).Info("ejected")
	}
	return nil
}

// retryEjections reads the ejection file until that succeeds.
func (r *relay) retryEjections() {
	r.applyEjections("", false, func(err error) {
		if err != nil {
			r.loop.After(stateDirRetryInterval, r.retryEjections)
			return
		}
		r.log.WithField("members", r.core.Ejected()).Info("the ejection file could be read")
	})
}

// Ready reports whether clients can be served: the relay accepts clients, and there is a usable
// member.
func (r *relay) Ready() bool { return r.accepting && r.core.HasUsableMember() }

// Known reports whether the endpoint list has a member of that name.
func (r *relay) Known(member string) bool { return r.core.IsKnownMember(member) }

// SetEjected ejects a member or reinstates it, at all relays if there is a fleet.
func (r *relay) SetEjected(member string, ejected bool, done func(error)) {
	if r.fleet != nil {
		r.ejectFleetWide(member, ejected, done)
		return
	}
	r.applyEjections(member, ejected, done)
}

// errTooManyCalls is returned if maxEjectionWrites calls are queued because the disk is too slow.
// The text is sent to the operator.
var errTooManyCalls = errors.New("too many calls are waiting")

// applyEjections writes the ejection of member, unless member is "", and then applies the whole
// file, which the sibling process may have changed too. It does so on a goroutine, since a slow
// disk must not block the event loop.
func (r *relay) applyEjections(member string, ejected bool, done func(error)) {
	write := func() {
		var err error
		if member != "" {
			err = r.ejections.Set(member, ejected)
		}
		names, readErr := r.ejections.Read()
		err = errors.Join(err, readErr)
		r.loop.Post(func() {
			if err == nil {
				r.core.SetEjections(names)
				if member != "" {
					r.sendMessage(handover.Message{EjectionsChanged: true})
				}
			}
			done(err)
		})
	}
	select {
	case r.ejectionWrites <- write:
	default:
		done(errTooManyCalls)
	}
}

// Drain drains the relay: its clients are migrated, and new ones are rejected.
func (r *relay) Drain() { r.drainedByOperator = true; r.applyDrainState() }

// Resume ends the operator's drain. A drain that the fleet has ordered continues.
func (r *relay) Resume() { r.drainedByOperator = false; r.applyDrainState() }

// applyDrainState drains or resumes this process and its sibling. There are three independent
// reasons for a drain: an operator's call, an order to leave, and a quarantine. The relay resumes
// when none is left.
func (r *relay) applyDrainState() {
	drain := r.drainedByOperator || r.shutdownOrder != nil || r.quarantineOrder != 0
	r.setDraining(drain)
	r.sendMessage(handover.Message{Drain: &drain})
}

func (r *relay) setDraining(on bool) {
	if on {
		r.core.Drain()
	} else {
		r.core.Resume()
	}
	switch {
	case r.natsFront == nil:
	case on:
		r.natsFront.EnterLameDuck()
	case r.core.AcceptsClients():
		r.natsFront.ExitLameDuck()
	}
}

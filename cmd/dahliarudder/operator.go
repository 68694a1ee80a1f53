package main

import (
	"errors"

	"dahliarudder/internal/ejections"
	"dahliarudder/internal/handover"
)

// restoreEjections applies the ejections that an earlier process has stored, and starts the goroutine that writes them.
func (r *relay) restoreEjections() error {
	dir, err := ejections.StateDir(r.cfg.Name)
	if err != nil {
		return err
	}
	r.stateDir, r.ejections, r.ejectionWrites = dir, &ejections.File{Dir: dir}, make(chan func(), maxEjectionWrites)
	r.background.run(func(quit <-chan struct{}) {
		consume(quit, r.ejectionWrites, func(write func()) { write() })
	})
	if err := r.joinPredecessor(dir); err != nil {
		return err
	}
	// Only now: the older process, if there is one, sends what changes from here on.
	names, err := r.ejections.Read()
	if err != nil {
		r.log.WithError(err).Error("no ejection is in force")
	}
	for _, name := range names {
		r.core.Eject(name)
		r.log.WithField("member", name).Info("ejected")
	}
	return nil
}

// Ready reports whether clients can be served: every listener is up, and there is a
// usable member.
func (r *relay) Ready() bool { return r.accepting && r.core.HasUsableMember() }

// Known reports whether there is a member of that name.
func (r *relay) Known(member string) bool { return r.core.IsKnownMember(member) }

// SetEjected ejects a member or restores it, at all relays if there is a fleet.
func (r *relay) SetEjected(member string, ejected bool, done func(error)) {
	if r.fleet != nil {
		r.ejectFleetWide(member, ejected, done)
		return
	}
	r.applyEjections(member, ejected, done)
}

// errTooManyCalls: the disk does not keep up with the operators' calls.
var errTooManyCalls = errors.New("too many calls are waiting")

// applyEjections writes an ejection, if member names one, and then applies the file, which the sibling process may have
// written too. It does so off the loop, which a slow disk must not block.
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

// Drain drains the relay: its clients migrate, and new ones are rejected.
func (r *relay) Drain() { r.drainedByOperator = true; r.applyDrainState() }

// Resume ends the operator's drain; one that the fleet has ordered goes on.
func (r *relay) Resume() { r.drainedByOperator = false; r.applyDrainState() }

// applyDrainState drains or resumes both processes of the relay. An operator, an order to leave and a quarantine each keep it drained, so
// that the end of one does not end another.
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

package main

import (
	"errors"

	"dahliarudder/internal/ejections"
	"dahliarudder/internal/handover"
)

// This file is what operators tell this relay at its second address.

// restoreEjections takes over the bans that an earlier process has kept.
func (r *relay) restoreEjections() error {
	dir, err := ejections.Dir(r.cfg.Name)
	if err != nil {
		return err
	}
	r.stateDir, r.ejections, r.ejectionWrites = dir, &ejections.File{Dir: dir}, make(chan func(), maxEjectionWrites)
	go func() {
		for word := range r.ejectionWrites {
			word()
		}
	}()
	if err := r.joinPredecessor(dir); err != nil {
		return err
	}
	// Only now: the older process, if there is one, tells of what changes from here on.
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

// Ready says whether clients can be served: every listener is up, and the pool has
// a member to send to.
func (r *relay) Ready() bool { return r.accepting && r.core.HasUsableMember() }

// IsKnownMember says whether operators may speak of a member by that name.
func (r *relay) Known(member string) bool { return r.core.IsKnownMember(member) }

// SetEjected keeps an operator's call off the loop, so that a slow disk does not hold it
// up, and then follows it.
func (r *relay) SetEjected(member string, out bool, done func(error)) {
	if r.fleet != nil {
		r.ejectFleetWide(member, out, done)
		return
	}
	r.applyEjections(member, out, done)
}

// applyEjections writes a ban, if member names one, and then does as the file says, which
// another process of this relay may have written too.
func (r *relay) applyEjections(member string, out bool, done func(error)) {
	word := func() {
		var err error
		if member != "" {
			err = r.ejections.Set(member, out)
		}
		names, unread := r.ejections.Read()
		err = errors.Join(err, unread)
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
	case r.ejectionWrites <- word:
	default:
		done(errors.New("too many calls are waiting"))
	}
}

// Drain empties the relay.
func (r *relay) Drain() { r.drainedByOperator = true; r.applyDrainState() }

// Resume ends that. What the fleet has ordered holds on.
func (r *relay) Resume() { r.drainedByOperator = false; r.applyDrainState() }

// applyDrainState drains or resumes both processes of the relay. An operator, an order to leave and one for drift each keep it drained, so that the end of one
// does not end another.
func (r *relay) applyDrainState() {
	drain := r.drainedByOperator || r.shutdownOrder != nil || r.closeOrder != 0
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

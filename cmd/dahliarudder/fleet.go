package main

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/consensus"
	"dahliarudder/internal/core"
	"dahliarudder/internal/drift"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/gossip"
	"dahliarudder/internal/rollout"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// orderedExit is the end of a relay that the fleet told to leave: whatever started it is to start it again.
type orderedExit int

func (e orderedExit) Error() string { return fmt.Sprintf("told to leave: exit status %d", int(e)) }

// shutdownOrder is how far this relay is with an order to leave.
type shutdownOrder struct {
	number uint64
	since  time.Duration
}

// orderedDrainTimeout is when a relay that was told to leave ends although some flow is left: its drain takes three seconds, and a stop moves the rest.
const orderedDrainTimeout = 4 * time.Second

// orderedDrainPoll is how often it looks whether it may end.
const orderedDrainPoll = 100 * time.Millisecond

// startFleet begins to agree with the other relays.
func (r *relay) startFleet(c fleet.Config) error {
	set := r.names.Settings
	program := cmp.Or(c.Program, version+"-"+fileDigest(os.Executable))
	zone := ""
	if set.Zone >= 0 && set.Zone < len(set.Zones) {
		zone = string(set.Zones[set.Zone])
	}
	r.trial, r.configDigests = newCanaryTrial(r), r.cfg.Sections()
	var err error
	r.fleet, err = fleet.Start(fleet.Options{Config: c, Name: r.cfg.Name, Zone: zone, Start: r.peers.Start(), Program: program,
		Settings: r.cfg.Digest(), Keys: r.cfg.Peers.Keys(), ColdFrom: set.Guarantees.ColdFrom, ColdFor: settings.Span(set.Guarantees.Cold),
		Wall: steadyWall(), Log: r.log, Post: r.loop.Post, Look: r.fleetStatus, Follow: r.applyOrders,
		Pause: r.pauseCanary})
	if err != nil {
		return err
	}
	// What was agreed while it was down is heard first: until then nothing new goes to a member, for finishCatchUp at most.
	r.core.Doubt()
	r.core.Expect(true)
	r.loop.After(catchUpTimeout, r.finishCatchUp)
	return nil
}

// finishCatchUp is how long a relay that starts waits for the record: an election takes two seconds at most, and without a majority it serves.
const catchUpTimeout = 2 * time.Second

func (r *relay) finishCatchUp() {
	if !r.caughtUp {
		r.caughtUp = true
		r.core.Expect(false)
		r.core.Sure()
	}
}

// fileDigest is the beginning of the digest of a file, "unknown" if it cannot be read.
func fileDigest(path func() (string, error)) string {
	name, err := path()
	if err != nil {
		return "unknown"
	}
	f, err := os.Open(name)
	if err != nil {
		return "unknown"
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "unknown"
	}
	return hex.EncodeToString(h.Sum(nil)[:4])
}

var stateNames = map[policy.ServerState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Gone: "gone"}

// fleetStatus is what this relay does now.
func (r *relay) fleetStatus() fleet.Look {
	set, n := r.names.Settings, r.core.Counts
	list, _ := r.watch.List()
	now := r.loop.Now()
	if r.statusAt > 0 {
		r.flowTime += time.Duration(r.core.Held()) * (now - r.statusAt)
	}
	r.statusAt = now
	l := fleet.Look{Phase: "serving", Flows: r.core.Held(), Asked: uint64((r.flowTime + n.Away).Milliseconds()), Served: uint64(r.flowTime.Milliseconds()), Astray: uint64(n.Astray),
		Local: r.core.Banned(), Agreed: r.fleetEjected, Follows: r.recordVersion, List: list.Generation, Sections: r.configDigests, Permits: r.permits, Shut: r.closeOrder}
	if r.reloadError != "" {
		l.Refused = map[string]string{drift.Config + ".settings": r.reloadError}
	}
	switch {
	case r.stopping:
		l.Phase = "leaving"
	case !r.accepting || !r.core.Usable() || !r.caughtUp:
		l.Phase = "starting"
	case r.closeOrder != 0:
		l.Phase = "shut"
	case !r.core.Welcomes():
		l.Phase = "draining"
	}
	for _, m := range r.core.Members() {
		p := fleet.Pooled{Name: m.Name, Listed: stateNames[m.State], Out: m.Out, Flows: m.Flows, Capacity: m.Capacity, Good: m.Good, Bad: m.Bad}
		if m.Zone < len(set.Zones) {
			p.Zone = string(set.Zones[m.Zone])
		}
		if m.Started != 0 {
			p.Started = r.names.Starts.UnixMilli(m.Name, m.Started)
		}
		l.Members = append(l.Members, p)
	}
	l.Weighs, l.Counts = r.trial.appliedVersion, r.trial.counts()
	for _, p := range r.peers.Known() {
		l.Peers = append(l.Peers, fleet.Peer{Name: p.Name, Zone: p.Zone, Alive: p.State <= gossip.Suspect, Gone: p.State >= gossip.Gone,
			Serving: p.Phase == gossip.Serving, Incarnation: p.Incarnation})
	}
	return l
}

// applyOrders does what was agreed.
func (r *relay) applyOrders(o fleet.Orders) {
	version := o.Version
	r.trial.applyOrders(o)
	out := map[string]core.Leaving{}
	for name, i := range o.Out {
		out[name] = core.Leaving{Over: time.Duration(i.MoveOver) * time.Millisecond, Ban: i.Why == rollout.Ban}
	}
	if o.Reached {
		defer r.finishCatchUp()
	}
	names := slices.Sorted(maps.Keys(out))
	if !slices.Equal(names, r.fleetEjected) {
		r.log.WithFields(logrus.Fields{"out": names, "version": version}).Info("fleet: members that are out")
	}
	r.core.Agree(out)
	r.fleetEjected, r.recordVersion, r.permits = names, version, o.Permits
	mine := o.Leave != nil && o.Leave.Start >= r.peers.Start() // else it was for the process before this one
	switch {
	case mine && r.shutdownOrder == nil:
		r.log.WithFields(logrus.Fields{"release": o.Leave.Release, "number": o.Leave.Number}).Info("fleet: told to leave")
		r.shutdownOrder = &shutdownOrder{o.Leave.Number, r.loop.Now()}
		r.applyDrainState()
		r.exitWhenDrained()
	case !mine && r.shutdownOrder != nil && !r.stopping:
		r.log.Info("fleet: may stay")
		r.shutdownOrder = nil
		r.applyDrainState()
	}
	shut := uint64(0)
	if o.Shut != nil && o.Shut.Start >= r.peers.Start() {
		shut = o.Shut.Number
	}
	if shut != r.closeOrder && !r.stopping {
		if shut != 0 {
			r.log.WithFields(logrus.Fields{"number": shut, "why": o.Shut.Why}).Warn("fleet: shut")
		} else {
			r.log.Info("fleet: admitted")
		}
		r.closeOrder = shut
		r.applyDrainState()
	}
}

// exitWhenDrained ends this relay once its clients are moved, and a majority says that the order stands. Without a majority it stays drained.
func (r *relay) exitWhenDrained() {
	l := r.shutdownOrder
	r.loop.After(orderedDrainPoll, func() {
		switch {
		case r.shutdownOrder != l || r.stopping: // it may stay, or was told anew, or ends already
		case r.core.Held() > 0 && r.loop.Now()-l.since < orderedDrainTimeout, r.loop.Now()-l.since < core.StopNotice:
			r.exitWhenDrained()
		default:
			r.fleet.Stands(l.number, func(stands, sound bool) {
				switch {
				case r.shutdownOrder != l || r.stopping:
				case !stands || !sound:
					r.exitWhenDrained()
				default:
					r.exitOrdered = true
					r.stop()
				}
			})
		}
	})
}

// ejectFleetWide has a member taken out, or put back, at all relays. Without a majority it holds at this relay alone, and is shown as drift
// when the majority is back.
func (r *relay) ejectFleetWide(member string, out bool, done func(error)) {
	r.fleet.Ban(member, out, func(err error) {
		switch {
		case err == nil && out: // agreed: a word of this relay's own would outlive it
			done(nil)
		case err == nil:
			r.applyEjections(member, false, done)
		case errors.Is(err, consensus.ErrNoMajority), errors.Is(err, consensus.ErrFull):
			r.log.WithError(err).WithField("member", member).Warn("fleet: the call holds at this relay alone")
			r.applyEjections(member, out, done)
		default:
			done(err)
		}
	})
}

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

	"dahliarudder/internal/await"
	"dahliarudder/internal/consensus"
	"dahliarudder/internal/core"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/rollout"
	"dahliarudder/internal/settings"
)

// orderedExit is the error of a relay that ends on an order of the fleet. Its value is the exit
// status, which asks the supervisor to start the relay again.
type orderedExit int

func (e orderedExit) Error() string {
	return fmt.Sprintf("stopped by an order of the fleet, exit status %d", int(e))
}

// shutdownOrder is an order of the fleet to leave, and the time since which this relay follows it.
type shutdownOrder struct {
	number uint64
	since  time.Duration
}

// orderedDrainTimeout is how long a relay that was ordered to leave waits for its last flows. Its
// drain takes three seconds; the shutdown migrates the flows that remain.
const orderedDrainTimeout = 4 * time.Second

// orderedDrainPoll is how often a relay that was ordered to leave checks whether it may end.
const orderedDrainPoll = 100 * time.Millisecond

// startFleet starts the fleet record. No attempt is dispatched until the record has caught up, or
// catchUpTimeout has passed: a member may have been ejected while this relay was down.
func (r *relay) startFleet(c fleet.Config) error {
	set := r.mapper.Settings
	program := cmp.Or(c.Program, version+"-"+fileDigest(os.Executable))
	zone := ""
	if set.Zone >= 0 && set.Zone < len(set.Zones) {
		zone = string(set.Zones[set.Zone])
	}
	r.canary, r.configDigests = newCanaryState(r), r.cfg.Sections()
	var err error
	r.fleet, err = fleet.Start(fleet.Options{Config: c, Name: r.cfg.Name, Zone: zone, Incarnation: r.peers.Incarnation(), Program: program,
		ConfigDigest: r.cfg.Digest(), Keys: r.cfg.Peers.Keys(), SlowStartShare: set.Guarantees.SlowStartMinCapacity, SlowStartDuration: settings.Duration(set.Guarantees.SlowStartDuration),
		WallClock: steadyWall(), Log: r.log, Post: r.loop.Post, Observe: r.fleetStatus, ApplyDesired: r.applyOrders,
		PauseCanary: r.pauseCanary})
	if err != nil {
		return err
	}
	r.core.PauseDispatch()
	r.core.SetSyncing(true)
	r.loop.After(catchUpTimeout, r.finishCatchUp)
	return nil
}

// fleetCloseTimeout is how long the end of the process waits for the fleet service, whose directory
// may not answer. The records of the store are still to be written then.
const fleetCloseTimeout = 500 * time.Millisecond

// closeFleet closes the fleet service. What it could not complete in time ends with the process; its
// files can be read after that.
func (r *relay) closeFleet() {
	if _, err := await.Result(fleetCloseTimeout, func() (struct{}, error) { r.fleet.Close(); return struct{}{}, nil }); err != nil {
		r.log.WithError(err).Error("fleet: the service did not close in time")
	}
}

// catchUpTimeout is how long a starting relay waits for the record. An election takes at most two
// seconds; without a majority, the relay then serves with the state that it has.
const catchUpTimeout = 2 * time.Second

func (r *relay) finishCatchUp() {
	if !r.caughtUp {
		r.caughtUp = true
		r.core.SetSyncing(false)
		r.core.ResumeDispatch()
	}
}

// fileDigest returns the first 4 bytes of the SHA-256 of a file in hexadecimal, "unknown" if the file
// cannot be read.
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

// applyOrders applies the state that the fleet record specifies for this relay.
func (r *relay) applyOrders(o fleet.DesiredState) {
	version := o.RecordVersion
	r.canary.applyOrders(o)
	removals := map[string]core.Removal{}
	for name, i := range o.Exclusions {
		removals[name] = core.Removal{SpreadOver: time.Duration(i.MigrateOverMS) * time.Millisecond, Ejection: i.Reason == rollout.ExcludedByEjection}
	}
	if o.MajorityConfirmed {
		defer r.finishCatchUp()
	}
	names := slices.Sorted(maps.Keys(removals))
	if !slices.Equal(names, r.excludedByFleet) {
		r.log.WithFields(logrus.Fields{"out": names, "version": version}).Info("fleet: excluded members")
	}
	r.core.SetFleetRemovals(removals)
	r.excludedByFleet, r.recordVersion, r.permitsVersion = names, version, o.PermitsVersion
	// An order with a lower start number was for a previous process of this relay.
	leaveApplies := o.Leave != nil && o.Leave.StartNumber >= r.peers.Incarnation()
	switch {
	case leaveApplies && r.shutdownOrder == nil:
		r.log.WithFields(logrus.Fields{"release": o.Leave.Release, "number": o.Leave.Number}).Info("fleet: ordered to leave")
		r.shutdownOrder = &shutdownOrder{o.Leave.Number, r.loop.Now()}
		r.applyDrainState()
		r.exitWhenDrained()
	case !leaveApplies && r.shutdownOrder != nil && !r.stopping:
		r.log.Info("fleet: order to leave revoked")
		r.shutdownOrder = nil
		r.applyDrainState()
	}
	quarantine := uint64(0)
	if o.Quarantine != nil && o.Quarantine.StartNumber >= r.peers.Incarnation() {
		quarantine = o.Quarantine.Number
	}
	if quarantine != r.quarantineOrder && !r.stopping {
		if quarantine != 0 {
			r.log.WithFields(logrus.Fields{"number": quarantine, "why": o.Quarantine.Reason}).Warn("fleet: quarantined")
		} else {
			r.log.Info("fleet: quarantine ended")
		}
		r.quarantineOrder = quarantine
		r.applyDrainState()
	}
}

// exitWhenDrained ends this relay once its clients have been migrated and a majority confirms that
// the order is still in force. Without a majority the relay stays drained.
func (r *relay) exitWhenDrained() {
	order := r.shutdownOrder
	r.loop.After(orderedDrainPoll, func() {
		switch {
		case r.shutdownOrder != order || r.stopping: // revoked, replaced, or already stopping
		case r.core.ActiveRequests() > 0 && r.loop.Now()-order.since < orderedDrainTimeout, r.loop.Now()-order.since < core.StopNotice:
			r.exitWhenDrained()
		default:
			r.fleet.ConfirmLeave(order.number, func(inForce, confirmed bool) {
				switch {
				case r.shutdownOrder != order || r.stopping:
				case !inForce || !confirmed:
					r.exitWhenDrained()
				default:
					r.exitOrdered = true
					r.stop()
				}
			})
		}
	})
}

// ejectFleetWide ejects a member at all relays, or reinstates it. If the record cannot accept the
// change (no majority, or too many queued changes), it applies to this relay only; once a majority
// is back, it shows as drift.
func (r *relay) ejectFleetWide(member string, ejected bool, done func(error)) {
	r.fleet.SetEjected(member, ejected, func(err error) {
		switch {
		case err == nil && ejected: // in the record; an ejection by this relay would outlast it
			done(nil)
		case err == nil:
			r.applyEjections(member, false, done)
		case errors.Is(err, consensus.ErrNoQuorum), errors.Is(err, consensus.ErrQueueFull):
			r.log.WithError(err).WithField("member", member).
				Warn("fleet: the record did not accept the change; it applies to this relay only")
			r.applyEjections(member, ejected, done)
		default:
			done(err)
		}
	})
}

package main

import (
	"math"
	"math/rand/v2"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/front/nats"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/operator"
	"dahliarudder/internal/pool"
	"dahliarudder/internal/store"
	"dahliarudder/policy"
)

// build assembles the relay on its event loop. The order matters: first the core, then the state of
// the predecessor or the snapshot, then the listeners, and last gossip and the fleet record.
func (r *relay) build() error {
	if err := r.openStore(); err != nil {
		return err
	}
	r.buildCore()
	r.startDiscovery()
	r.buildFronts()
	if r.cfg.Operator != "" {
		if err := r.restoreEjections(); err != nil {
			return err
		}
	}
	r.restoreState()
	if err := r.listenOnAll(); err != nil {
		return err
	}
	r.closeUnusedSockets()
	if err := r.startClustering(); err != nil {
		return err
	}
	if r.recovery != nil {
		r.writeSnapshots(time.Duration(r.cfg.State.EveryMS * float64(time.Millisecond)))
	}
	switch {
	case r.sibling != nil: // syncSibling starts accepting clients once there is a usable member
		r.syncSibling()
	default:
		r.accepting = true
		if r.cfg.Operator != "" {
			r.awaitSuccessor()
		}
	}
	return nil
}

// openStore opens the store of record, if one is configured. A store that cannot be reached now is not
// an error: requests are rejected until it can.
func (r *relay) openStore() (err error) {
	if r.cfg.Store == nil {
		return nil
	}
	run := runName(r.cfg.Name, r.cfg.Seed, wallClock())
	cfg := *r.cfg.Store
	cfg.MaxBytes = int(r.cfg.Limits.MemoryMB * storeMemoryFraction * (1 << 20))
	if r.store, err = store.Open(cfg, run, wallClock().Add(-r.clock()), r.log); err != nil {
		return err
	}
	select { // a client that comes at once should not be rejected for a database that needs a moment
	case <-r.store.FirstAttempt():
	case <-time.After(storeStartTimeout):
		r.log.Warn("the store is slow to open; requests are rejected until it is open")
	}
	return nil
}

// storeOpened reports whether requests can be recorded, as far as the start is concerned.
func (r *relay) storeOpened() bool { return r.store == nil || r.store.Opened() }

// buildCore creates the endpoint list watcher and the core, which call each other.
func (r *relay) buildCore() {
	cfg, loop := r.cfg, r.loop
	r.watch = &pool.Watcher{Loop: loop, Addr: cfg.Discovery, Log: r.log, Mapper: r.mapper,
		Dial: loop.NewDescriptorReserve(pool.MaxDescriptors).Dial, Random: newRandom(cfg.SeedNumber())}
	var recorder core.Recorder
	if r.store != nil { // a nil *store.Store in the interface would not be nil
		recorder = r.store
	}
	r.core = core.New(core.Options{Settings: r.mapper.Settings, Seed: cfg.SeedNumber(), FirstID: randomFirstID(), Clock: r.clock, LoopTime: loop.RoundStart, Recorder: recorder,
		Watch: r.watch.Start, FeedMemoryLimit: int(cfg.Limits.MemoryMB * feedMemoryFraction * (1 << 20)),
		Probe: r.checkHealth, Wake: r.scheduleTick})
	r.watch.OnUpdate = r.core.UpdateMembers
}

// checkHealth sends a health check through the line front if that is enabled, otherwise through the
// NATS front.
func (r *relay) checkHealth(member *core.Member) {
	if r.lineFront != nil {
		r.lineFront.CheckHealth(member)
	} else {
		r.natsFront.CheckHealth(member)
	}
}

// scheduleTick schedules the core's next Tick at the given time; math.MaxInt64 means never.
func (r *relay) scheduleTick(at time.Duration) {
	r.coreTimer.Stop()
	if at < math.MaxInt64 {
		r.coreTimer = r.loop.After(at-r.clock(), func() { r.core.Tick() })
	}
}

// startDiscovery starts to poll discovery, or to watch an agent to which discovery pushes the list.
func (r *relay) startDiscovery() {
	if set := r.core.PolicySettings(); set.Subscribe {
		r.loop.After(pool.InitialDelay(set.MaxPollInterval, r.watch.Random), r.watch.Start)
		return
	}
	r.watch.PushGrace = r.core.DrainGrace() // the list that the agent has counts as delivered from the start
	r.watch.Start()
}

func (r *relay) buildFronts() {
	cfg := r.cfg
	if cfg.Fronts.NATS != nil {
		r.natsFront = nats.New(r.loop, r.core, r.log, cfg.Name, *cfg.Fronts.NATS, cfg.Security())
	}
	if cfg.Fronts.Line != nil {
		r.lineFront = line.New(r.loop, r.core, r.log)
	}
}

// restoreState restores the endpoint list and the learned state: from the predecessor in a hot
// restart, whose state is the most recent, otherwise from the configured list and the snapshot.
func (r *relay) restoreState() {
	upgrading := r.inheritedState != nil
	if known := r.cfg.KnownList(); known != nil && !upgrading {
		r.watch.SetInitialList(known)
		r.core.UpdateMembers(policy.ListCached, r.mapper.Members(known))
	}
	r.restorePredecessorState()
	switch {
	case r.cfg.State == nil:
	case upgrading:
		r.recovery = newRecoveryReport("an older process", r.cfg.State.Dir)
	default:
		r.resumeFromSnapshot(*r.cfg.State)
	}
}

// listenOnAll opens the listeners of the fronts and of the operators' address.
func (r *relay) listenOnAll() error {
	r.clientListeners = map[string]*netloop.Listener{}
	if r.natsFront != nil {
		if err := r.listen("nats", r.cfg.Fronts.NATS.Listen, r.natsFront.Accept); err != nil {
			return err
		}
	}
	if r.lineFront != nil {
		if err := r.listen("line", r.cfg.Listen, r.lineFront.Accept); err != nil {
			return err
		}
	}
	if r.cfg.Operator == "" {
		return nil
	}
	front := &operator.Front{Loop: r.loop, Relay: r, Log: r.log}
	l, err := r.listenWithRetry(func() (*netloop.Listener, error) {
		return r.loop.ListenReserved(r.cfg.Operator, operator.MaxCallers, front.Accept)
	})
	r.addListener("operator", l, err)
	return err
}

// startClustering starts gossip and the fleet record if they are configured.
func (r *relay) startClustering() error {
	if r.cfg.Peers != nil {
		r.startGossip(*r.cfg.Peers)
	}
	if r.cfg.Fleet != nil {
		return r.startFleet(*r.cfg.Fleet)
	}
	return nil
}

// watchRandomStream separates the random numbers of the endpoint list watcher from those of package
// policy, which uses the same seed.
const watchRandomStream = 1

func newRandom(seed uint64) func() float64 {
	return rand.New(rand.NewPCG(seed, watchRandomStream)).Float64
}

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
	"dahliarudder/internal/snapshot"
	"dahliarudder/internal/store"
	"dahliarudder/policy"
)

func (r *relay) build() (err error) {
	cfg, loop := r.cfg, r.loop
	var ledger core.Ledger
	if cfg.Store != nil {
		run := runName(cfg.Name, cfg.Seed, wallClock())
		if r.store, err = store.Open(*cfg.Store, run, wallClock().Add(-r.clock()), r.log); err != nil {
			return err
		}
		ledger = r.store
	}
	r.watch = &pool.Watch{Loop: loop, Addr: cfg.Discovery, Log: r.log, Names: r.names,
		Dial: loop.NewDescriptorReserve(pool.Descriptors).Dial, Random: newRandom(cfg.SeedNumber())}
	var probe func(*core.Member)
	r.core = core.New(core.Options{Settings: r.names.Settings, Seed: cfg.SeedNumber(), Clock: r.clock, Round: loop.RoundStart, Ledger: ledger,
		Watch: r.watch.Ask, FeedMemory: int(cfg.Limits.MemoryMB * feedMemoryFraction * (1 << 20)),
		Probe: func(to *core.Member) { probe(to) },
		Wake: func(at time.Duration) {
			r.coreTimer.Stop()
			if at < math.MaxInt64 {
				r.coreTimer = loop.After(at-r.clock(), func() { r.core.Tick() })
			}
		},
	})
	r.watch.Told = r.core.Pool
	if set := r.core.Limits(); set.Subscribe {
		loop.After(pool.FirstBy(set.AskWithin, r.watch.Random), r.watch.Ask)
	} else { // what the agent has counts from the first moment
		r.watch.Pushed = r.core.Grace()
		r.watch.Ask()
	}
	if cfg.Fronts.NATS != nil {
		r.natsFront = nats.New(loop, r.core, r.log, cfg.Name, *cfg.Fronts.NATS, cfg.Security())
		probe = r.natsFront.CheckHealth
	}
	if cfg.Fronts.Line != nil {
		r.lineFront = line.New(loop, r.core, r.log)
		probe = r.lineFront.CheckHealth
	}
	if cfg.Operator != "" {
		if err := r.restoreEjections(); err != nil {
			return err
		}
	}
	if known := cfg.KnownList(); known != nil && r.inheritedState == nil {
		r.watch.Hold(known)
		r.core.Pool(policy.ListCached, r.names.Members(known))
	}
	succeeds := r.inheritedState != nil
	r.restorePredecessorState()
	if cfg.State != nil && !succeeds { // an older process knows more
		r.resumeFromSnapshot(*cfg.State)
	} else if cfg.State != nil {
		r.recovery = &recoveryReport{From: "an older process", Discarded: []snapshot.Part{}, dir: cfg.State.Dir, pending: make(chan []byte, 1)}
	}
	r.clientListeners = map[string]*netloop.Listener{}
	if r.natsFront != nil {
		err = r.listen("nats", cfg.Fronts.NATS.Listen, r.natsFront.Accept)
	}
	if r.lineFront != nil && err == nil {
		err = r.listen("line", cfg.Listen, r.lineFront.Accept)
	}
	if cfg.Operator != "" && err == nil {
		desk := &operator.Front{Loop: loop, Relay: r, Log: r.log}
		var l *netloop.Listener
		l, err = r.listenWithRetry(func() (*netloop.Listener, error) {
			return loop.ListenReserved(cfg.Operator, operator.Callers, desk.Accept)
		})
		r.addListener("operator", l, err)
	}
	if err != nil {
		return err
	}
	r.closeUnusedSockets()
	if cfg.Peers != nil {
		r.startGossip(*cfg.Peers)
	}
	if cfg.Fleet != nil {
		if err := r.startFleet(*cfg.Fleet); err != nil {
			return err
		}
	}
	if r.recovery != nil {
		r.writeSnapshots(time.Duration(cfg.State.EveryMS * float64(time.Millisecond)))
	}
	if r.sibling != nil {
		r.syncSibling()
	} else if r.accepting = true; cfg.Operator != "" {
		r.awaitSuccessor()
	}
	return nil
}

// watchRandomStream tells the random numbers of the watch from those of the decision module, which come of the same seed.
const watchRandomStream = 1

func newRandom(seed uint64) func() float64 {
	return rand.New(rand.NewPCG(seed, watchRandomStream)).Float64
}

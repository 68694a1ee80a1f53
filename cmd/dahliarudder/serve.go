package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliarudder/internal/config"
	"dahliarudder/internal/core"
	"dahliarudder/internal/ejections"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/front/nats"
	"dahliarudder/internal/gossiptransport"
	"dahliarudder/internal/handover"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/operator"
	"dahliarudder/internal/pool"
	"dahliarudder/internal/rollout"
	"dahliarudder/internal/settings"
	"dahliarudder/internal/snapshot"
	"dahliarudder/internal/store"
	"dahliarudder/policy"
)

const (
	// reservedSockets are the descriptors that are not within the loop's limit: standard streams,
	// epoll, the wakeup, what the runtime opens, and what is kept for discovery.
	reservedSockets = 16 + pool.Descriptors
	// bufferMemoryFraction of the memory is what the connections' buffers may hold together;
	// slices that grow take up to twice their length.
	bufferMemoryFraction = 0.25
	// feedMemoryFraction is for the messages on feeds, which wait or are out.
	feedMemoryFraction = 0.125
	// storeFlushTimeout is what the store has for its last records; a platform that kills
	// sooner has no store.
	storeFlushTimeout = 3 * time.Second
	// maxEjectionWrites is how many calls of operators may wait for the disk.
	maxEjectionWrites = 64
	// suspensionFraction of the time within which a relay must ask for the list is how long it may stand still and believe what it holds.
	suspensionFraction = 10
	// stopPollInterval is how often a stop looks whether it is over, and stopLingerTime what the last answers have to leave.
	stopPollInterval = 20 * time.Millisecond
	stopLingerTime   = 200 * time.Millisecond
	// stopOverrun is what flows that are moved at the very end have for the end of a line. SIGKILL comes 0.7 s after the
	// longest deadline, at which a stop ends at the latest.
	stopOverrun = line.MoveWithin + stopLingerTime/2
)

// wallClock is the machine's clock, which may be stepped. Nothing that lasts is measured by it. Only tests change it.
var wallClock = time.Now

// steadyWall is a wall clock that is read once and runs on from there, so that spans are those of real time.
func steadyWall() func() time.Time {
	began := wallClock()
	return func() time.Time { return began.Add(time.Since(began)) } // by its monotonic part
}

// runName names this life of the relay in the store of record. The time alone may come again: a record under a name that
// was used before would be taken for written.
func runName(name, seed string, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d-%08x", name, seed, at.UnixMicro(), rand.Uint32())
}

// serve runs the relay until it is told to stop. Reload reads the configuration
// again.
func serve(cfg *config.Config, reload func(*config.Config) (*config.Config, error), caught *signals, log *logrus.Logger) error {
	applyRuntimeLimits(cfg)
	set := cfg.Decoded()
	began := time.Now()
	// The clock starts an hour in, so that no time of this process is the 0 that
	// means "long ago" to the decision module.
	const zero = time.Hour
	clock := func() time.Duration { return zero + time.Since(began) }
	r := &relay{cfg: cfg, log: log, clock: clock, signals: caught, names: pool.Names{Settings: set, Starts: &pool.Starts{Clock: clock, Wall: wallClock, Believed: policy.Normalize(set.Policy()).MaxPollInterval}},
		maxBufferBytes: int(cfg.Limits.MemoryMB * bufferMemoryFraction * (1 << 20))}
	r.maxSockets = descriptorLimit(cfg) - reservedSockets - r.operatorDescriptors()
	loop, err := netloop.New(clock, r.maxSockets)
	if err != nil {
		return err
	}
	r.loop = loop
	loop.Memory(r.maxBufferBytes)
	if err := r.build(); err != nil {
		loop.Close()
		return errors.Join(err, r.closeStore())
	}
	loop.Gap(r.core.Limits().MaxPollInterval/suspensionFraction, r.afterSuspension)
	if cfg.CountsMS > 0 {
		r.logCounts(time.Duration(cfg.CountsMS*float64(time.Millisecond)), core.Counts{})
	}
	go func() {
		<-caught.stop
		loop.Post(r.stop)
	}()
	go r.watchReloads(caught.reload, reload)
	err = loop.Run()
	r.fleet.Close()
	if err == nil && r.exitOrdered {
		err = orderedExit(rollout.ExitOrdered)
	}
	log.WithField("counts", fmt.Sprintf("%+v", r.core.Counts)).Info("stopped")
	return errors.Join(err, r.closeStore())
}

// watchReloads reads the configuration again for each signal. It has a goroutine of its own: a slow disk holds up neither
// the loop nor a stop.
func (r *relay) watchReloads(asked <-chan os.Signal, reload func(*config.Config) (*config.Config, error)) {
	held := r.cfg
	for range asked {
		fresh, err := reload(held)
		if err != nil {
			r.log.WithError(err).Error("the old configuration stays")
			r.loop.Post(func() { r.reloadError = err.Error() })
			continue
		}
		held = fresh
		r.loop.Post(func() { r.reload(fresh) })
	}
}

// logCounts logs what the core counted in each span, as fields that many relays' logs can be
// added up by: the relay's clock in seconds, then one field a count.
func (r *relay) logCounts(every time.Duration, before core.Counts) {
	r.loop.After(every, func() {
		now := r.core.Counts
		line := logrus.Fields{"at": math.Round(r.clock().Seconds()*1e3) / 1e3,
			"requests": now.Requests - before.Requests, "served": now.Served - before.Served,
			"rejected": now.Rejected - before.Rejected, "failed": now.Failed - before.Failed,
			"left": now.Left - before.Left, "attempts": now.Attempts - before.Attempts,
			"moves": now.Moves - before.Moves, "barred": now.Barred - before.Barred}
		if r.peers != nil {
			line["relays"], line["shared_by"] = r.peers.Shares()
		}
		r.log.WithFields(line).Info("counts")
		r.logCounts(every, now)
	})
}

// afterSuspension is told that this process stood still: what it knows of members is as old as that, and nothing new is sent by it until discovery has
// said what has changed, or for as long as a change may take to be heeded anyway.
func (r *relay) afterSuspension(gap time.Duration) {
	r.log.WithField("gap", gap).Warn("this process stood still; members are asked for anew")
	r.core.Doubt()
	r.watch.Refresh(r.core.Sure)
	r.loop.After(settings.Span(r.names.Settings.Guarantees.Grace), r.core.Sure)
}

// relay is what serve puts together.
type relay struct {
	cfg               *config.Config
	signals           *signals
	log               *logrus.Logger
	loop              *netloop.Loop
	clock             func() time.Duration
	names             pool.Names
	watch             *pool.Watch
	core              *core.Core
	coreTimer         *netloop.Timer           // when the core is due
	natsFront         *nats.Front              // nil if it is off
	store             *store.Store             // nil if it is off
	peers             *gossiptransport.Service // nil if it is off
	recovery          *recoveryReport          // nil if no state is kept
	fleet             *fleet.Service           // nil if nothing is agreed with others
	recordVersion     uint64                   // the version of the fleet's record that this relay goes by
	fleetEjected      []string                 // the members that are out by it
	flowTime          time.Duration            // of all flows together, as looked at
	statusAt          time.Duration            // when it last was
	permits           uint64                   // what stands for the permits in force
	closeOrder        uint64                   // the number of the order by which it takes no clients; 0: it takes them
	configDigests     map[string]string        // digests of the configuration that it runs
	reloadError       string                   // why it did not take the file that it last read; "" if it did
	trial             *canaryTrial             // of canaries; nil without a fleet
	drainedByOperator bool                     // by an operator
	shutdownOrder     *shutdownOrder           // it was told to leave; nil if not
	exitOrdered       bool                     // it ends because it was told to
	stopping          bool
	caughtUp          bool // it has heard what was agreed while it was down, or waited long enough
	listeners         []*netloop.Listener
	maxSockets        int                          // descriptors that the loop may hold
	maxBufferBytes    int                          // bytes that its buffers may
	lineFront         *line.Front                  // nil if it is off
	clientListeners   map[string]*netloop.Listener // where clients come in
	accepting         bool                         // and they may

	// With a second address:
	stateDir          string // of the state that outlives this process
	ejections         *ejections.File
	ejectionWrites    chan func()       // what operators have said, to be written in that order
	successorListener *netloop.Listener // where a successor comes in
	sibling           *siblingProcess   // the other process of this relay; nil if there is none
	takeover          takeoverState     // what that one does when this one stops
	inheritedSockets  map[string]int    // the listening sockets of an older one, until they are used
	inheritedState    *handover.State   // what it knew, until that is taken over
}

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
		Dial: loop.Reserve(pool.Descriptors).Dial, Random: newRandom(cfg.SeedNumber())}
	var probe func(*core.Member)
	r.core = core.New(core.Options{Settings: r.names.Settings, Seed: cfg.SeedNumber(), Clock: r.clock, Round: loop.Round, Ledger: ledger,
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
		loop.After(pool.FirstBy(set.MaxPollInterval, r.watch.Random), r.watch.Ask)
	} else { // what the agent has counts from the first moment
		r.watch.Pushed = r.core.Grace()
		r.watch.Ask()
	}
	if cfg.Fronts.NATS != nil {
		r.natsFront = nats.New(loop, r.core, r.log, cfg.Name, *cfg.Fronts.NATS, cfg.Security())
		probe = r.natsFront.Probe
	}
	if cfg.Fronts.Line != nil {
		r.lineFront = line.New(loop, r.core, r.log)
		probe = r.lineFront.Probe
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
			return loop.ListenApart(cfg.Operator, operator.Callers, desk.Accept)
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

func (r *relay) listen(front, addr string, accept func(*netloop.Conn)) error {
	l, err := r.inheritOrListen(front, addr, accept)
	r.addListener(front, l, err)
	if err == nil {
		r.clientListeners[front] = l
	}
	return err
}

const (
	// listenTimeout is how long a start waits for an address that cannot be had yet: the process before it may still be
	// ending. It leaves half of the 10 s within which nine in ten restarted relays have to be ready.
	listenTimeout    = 5 * time.Second
	listenRetryPause = 20 * time.Millisecond
)

// listenWithRetry listens, again and again where the system refuses that for a moment.
func (r *relay) listenWithRetry(listen func() (*netloop.Listener, error)) (*netloop.Listener, error) {
	by := r.clock() + listenTimeout
	for told := false; ; time.Sleep(listenRetryPause) {
		l, err := listen()
		if err == nil || !netloop.MayPass(err) || r.clock() >= by || r.signals.stopping() {
			return l, err
		}
		if !told {
			r.log.WithError(err).Warn("the address cannot be had yet")
			told = true
		}
	}
}

// addListener keeps a listener, unless there is none.
func (r *relay) addListener(front string, l *netloop.Listener, err error) {
	if err == nil {
		r.listeners = append(r.listeners, l)
		r.log.WithFields(logrus.Fields{"front": front, "listen": l.Addr()}).Info("serving")
	}
}

// reload takes over what a configuration that was read again may change: where
// discovery is.
func (r *relay) reload(fresh *config.Config) {
	r.reloadError = ""
	keys := r.cfg.NeedRestart(fresh)
	if len(keys) > 0 {
		r.log.WithField("keys", keys).Warn("changed, but only a restart takes them")
	}
	r.log.WithField("discovery", fresh.Discovery).Info("configuration read again")
	r.watch.Move(fresh.Discovery)
	if r.natsFront != nil && fresh.Security() != nil && !slices.Contains(keys, "fronts") {
		r.natsFront.Renew(fresh.Security())
	}
}

// stop ends the relay once nothing is held any more, and in any case in time.
func (r *relay) stop() {
	if r.stopping { // a signal and an order may both come
		return
	}
	r.stopping = true
	loop := r.loop
	r.log.WithField("held", r.core.Held()).Info("stopping")
	r.peers.Leave() // nothing new is placed from here on
	deadline := loop.Now() + r.core.StopWithin()
	least := loop.Now() + core.StopNotice
	if r.requestTakeover() {
		r.core.GiveUp()
		r.handOverConnections()
	} else {
		r.core.Stop()
	}
	if r.natsFront != nil {
		r.natsFront.Leave()
	}
	r.pollUntil(func() bool {
		now := loop.Now()
		return now >= deadline || (now >= least || r.takeover == takeoverConfirmed) && r.openRequests() == 0 && r.handoverComplete()
	}, r.closeAndExit)
}

// pollUntil looks until something is so, and then goes on.
func (r *relay) pollUntil(so func() bool, then func()) {
	if so() {
		then()
		return
	}
	r.loop.After(stopPollInterval, func() { r.pollUntil(so, then) })
}

// openRequests is how many clients are not done with.
func (r *relay) openRequests() int {
	held := r.core.Held()
	if r.lineFront != nil {
		held = max(held, r.lineFront.Held())
	}
	return held
}

// closeAndExit ends a stop: nobody comes any more, who waits is answered, and the loop ends once what that takes has left.
func (r *relay) closeAndExit() {
	r.core.Finish()
	r.closeIdleConnections() // their descriptors are free for who is in a listener's queue
	for _, l := range append(r.listeners, r.successorListener) {
		l.Close()
	}
	least, most := r.loop.Now()+stopLingerTime, r.loop.Now()+stopOverrun
	r.pollUntil(func() bool {
		r.closeIdleConnections() // who was in the queue
		now := r.loop.Now()
		return now >= most || now >= least && r.openRequests() == 0 && r.listenersClosed()
	}, r.loop.Stop)
}

// closeIdleConnections ends connections on which nothing was asked yet.
func (r *relay) closeIdleConnections() {
	if r.lineFront != nil {
		r.lineFront.Leave()
	}
}

// listenersClosed says that no listener takes connections in any more.
func (r *relay) listenersClosed() bool {
	for _, l := range r.listeners {
		if !l.Closed() {
			return false
		}
	}
	return true
}

func (r *relay) closeStore() error {
	if r.store == nil {
		return nil
	}
	return r.store.Close(storeFlushTimeout)
}

// operatorDescriptors is how many descriptors are kept back for the second address and upgrades.
func (r *relay) operatorDescriptors() int {
	if r.cfg.Operator == "" {
		return 0
	}
	return operator.Callers + upgradeDescriptors
}

// applyRuntimeLimits keeps the runtime within the machine that the relay is given.
func applyRuntimeLimits(cfg *config.Config) {
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.7 * (1 << 20)))
		debug.SetGCPercent(300) // the live heap is small; the limit rules when it is not
	}
}

// maxSockets is how many descriptors the process may hold.
func descriptorLimit(cfg *config.Config) int {
	most := 1 << 20
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil && r.Cur < uint64(most) {
		most = int(r.Cur)
	}
	if s := cfg.Limits.Sockets; s > 0 {
		most = min(most, s)
	}
	return most
}

package main

import (
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliarudder/internal/config"
	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/pool"
	"dahliarudder/policy"
)

const (
	// ownSockets are the descriptors that are not the loop's: standard streams,
	// epoll, the wakeup, and what the runtime opens.
	ownSockets = 16
	// stopWithin ends a planned stop; SIGKILL comes no earlier than 3.7 s after SIGTERM.
	stopWithin = 3 * time.Second
	// stopLinger lets the last answers leave.
	stopLinger = 200 * time.Millisecond
)

// serve runs the relay until it is told to stop.
func serve(cfg *config.Config, log *logrus.Logger) error {
	limits(cfg)
	set := cfg.Decoded()
	began := time.Now()
	// The clock starts an hour in, so that no time of this process is the 0 that
	// means "long ago" to the decision module.
	const zero = time.Hour
	clock := func() time.Duration { return zero + time.Since(began) }
	loop, err := netloop.New(clock, sockets(cfg)-ownSockets)
	if err != nil {
		return err
	}

	var front *line.Front
	watch := &pool.Watch{Loop: loop, Addr: cfg.Discovery, Log: log,
		Names: pool.Names{Settings: set, Epoch: began.Add(-zero)}}
	var relay *core.Core
	var next *netloop.Timer
	relay = core.New(core.Options{
		Settings: set, Seed: cfg.SeedNumber(), Clock: clock,
		Wake: func(at time.Duration) {
			next.Stop()
			if at < math.MaxInt64 {
				next = loop.After(at-clock(), func() { relay.Tick() })
			}
		},
		Probe: func(to *core.Member) { front.Probe(to) },
		Watch: watch.Ask,
	})
	watch.Told = relay.Pool
	front = line.New(loop, relay, log)
	if known := cfg.KnownList(); known != nil {
		watch.Hold(known)
		relay.Pool(policy.ListCached, watch.Names.Members(known))
	}
	listener, err := loop.Listen(cfg.Listen, front.Accept)
	if err != nil {
		return err
	}

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		loop.Post(func() { stop(loop, relay, listener, log) })
	}()
	log.WithFields(logrus.Fields{"front": "line", "listen": listener.Addr()}).Info("serving")
	err = loop.Run()
	log.WithField("counts", relay.Counts).Info("stopped")
	return err
}

// stop ends the relay once nothing is held any more, and in any case in time.
func stop(loop *netloop.Loop, relay *core.Core, listener *netloop.Listener, log *logrus.Logger) {
	log.WithField("held", relay.Held()).Info("stopping")
	relay.Stop()
	deadline := loop.Now() + stopWithin
	least := loop.Now() + core.StopNotice
	var look func()
	look = func() {
		now := loop.Now()
		if now < deadline && (now < least || relay.Held() > 0) {
			loop.After(20*time.Millisecond, look)
			return
		}
		listener.Close()
		loop.After(stopLinger, loop.Stop)
	}
	look()
}

// limits keeps the runtime within the machine that the relay is given.
func limits(cfg *config.Config) {
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.7 * (1 << 20)))
	}
}

// sockets is how many descriptors the process may hold.
func sockets(cfg *config.Config) int {
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

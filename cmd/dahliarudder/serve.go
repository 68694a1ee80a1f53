package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/config"
	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/pool"
	"dahliarudder/internal/rollout"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

const (
	// reservedSockets are the descriptors outside the loop's limit: standard streams, epoll, the
	// wakeup descriptor, those that the Go runtime opens, and the connections to discovery.
	reservedSockets = 16 + pool.MaxDescriptors
	// bufferMemoryFraction of the memory limit is for the buffers of all connections together. Slices
	// that grow take up to twice their length.
	bufferMemoryFraction = 0.25
	// feedMemoryFraction of the memory limit is for messages of feeds, queued or in flight.
	feedMemoryFraction = 0.125
	// storeMemoryFraction of the memory limit is for records that the store has not written yet.
	storeMemoryFraction = 0.125
	// storeStartTimeout is how long a starting process waits for the store before it goes on without it.
	storeStartTimeout = time.Second
	// storeTakeoverTimeout is how long a successor leaves the clients to its predecessor while its own
	// store is not open. It leaves half of the 10 s within which a restarted relay has to be ready.
	storeTakeoverTimeout = 5 * time.Second
	// storeFlushTimeout is how long the store may take to write its last records when the process
	// ends.
	storeFlushTimeout = 3 * time.Second
	// maxEjectionWrites limits the queued writes of the ejection file.
	maxEjectionWrites = 64
	// A process that was suspended for longer than the longest poll interval divided by
	// suspensionDivisor no longer trusts its endpoint list.
	suspensionDivisor = 10
	// stopPollInterval is how often a shutdown checks whether it is complete. stopLingerTime is how
	// long the last answers have to be sent.
	stopPollInterval = 20 * time.Millisecond
	stopLingerTime   = 200 * time.Millisecond
	// stopOverrun is how long flows that are migrated at the very end have to complete a line. A
	// shutdown reaches its end at the longest deadline at the latest, and SIGKILL comes 0.7 s after
	// that.
	stopOverrun = line.MoveTimeout + stopLingerTime/2
)

// clockStart is the value of the relay's clock at its start. It is above 0, since package policy
// takes time 0 to mean unknown or long ago.
const clockStart = time.Hour

// wallClock returns the time of the machine's wall clock, which may be stepped, so it does not
// measure durations. Only tests replace it.
var wallClock = time.Now

// steadyWall returns a clock that starts at the wall clock's current time and advances with the
// monotonic clock, so that differences of its times are real durations.
func steadyWall() func() time.Time {
	startedAt := wallClock()
	return func() time.Time { return startedAt.Add(time.Since(startedAt)) }
}

// runName returns a name that identifies this run of the relay in the store. It includes a random
// number, since the time could repeat after a clock step, and the store would take a record under a
// name that was used before as already written.
func runName(name, seed string, at time.Time) string {
	return fmt.Sprintf("%s/%s/%d-%08x", name, seed, at.UnixMicro(), rand.Uint32())
}

// randomFirstID returns where the request IDs of this process begin. Proxies return them, also to another
// process than the one they are from, so the seed, which is the same after a restart, does not determine it.
func randomFirstID() core.ID { return core.ID(rand.Uint64N(uint64(core.MaxFirstID))) }

// serve runs the relay until SIGTERM, SIGINT or an order of the fleet. reload reads the
// configuration again.
func serve(cfg *config.Config, reload func(*config.Config) (*config.Config, error), sigs *signals, log *logrus.Logger) error {
	applyRuntimeLimits(cfg)
	set := cfg.Decoded()
	startedAt := time.Now()
	clock := func() time.Duration { return clockStart + time.Since(startedAt) }
	r := &relay{cfg: cfg, log: log, clock: clock, signals: sigs, background: newBackground(), mapper: pool.MemberMapper{Settings: set, StartTimes: &pool.StartTimes{Clock: clock, WallClock: wallClock, MaxListingDelay: policy.Normalize(set.Policy()).MaxPollInterval}},
		maxBufferBytes: int(cfg.Limits.MemoryMB * bufferMemoryFraction * (1 << 20))}
	r.maxSockets = descriptorLimit(cfg) - reservedSockets - r.operatorDescriptors()
	loop, err := netloop.New(clock, r.maxSockets)
	if err != nil {
		return err
	}
	r.loop = loop
	loop.SetMemoryLimit(r.maxBufferBytes)
	if err := r.build(); err != nil {
		loop.Close()
		r.stopBackground()
		if sigs.stopping() { // while the start waited for something; no client has been served yet
			log.WithError(err).Info("stopped before the start was complete")
			err = nil
		}
		return errors.Join(err, r.closeStore())
	}
	loop.OnStall(r.core.PolicySettings().MaxPollInterval/suspensionDivisor, r.afterSuspension)
	if cfg.CountsMS > 0 {
		r.logCounts(time.Duration(cfg.CountsMS*float64(time.Millisecond)), core.Counts{})
	}
	r.background.run(func(quit <-chan struct{}) {
		select {
		case <-sigs.stop:
			loop.Post(r.stop)
		case <-quit:
		}
	})
	r.background.run(func(quit <-chan struct{}) { r.watchReloads(quit, sigs.reload, reload) })
	err = loop.Run()
	r.closeFleet()
	r.stopBackground()
	if err == nil && r.exitOrdered {
		err = orderedExit(rollout.ExitOrderedRestart)
	}
	log.WithField("counts", fmt.Sprintf("%+v", r.core.Counts)).Info("stopped")
	return errors.Join(err, r.closeStore())
}

// stopBackground ends all goroutines of this process except the event loop.
func (r *relay) stopBackground() {
	if r.natsFront != nil {
		r.background.stop(r.natsFront.Close)
		return
	}
	r.background.stop()
}

// watchReloads reads the configuration again after each SIGHUP. It runs on a goroutine, so that a
// slow disk delays neither the event loop nor a shutdown.
func (r *relay) watchReloads(quit <-chan struct{}, hangups <-chan os.Signal, reload func(*config.Config) (*config.Config, error)) {
	current := r.cfg
	for {
		select {
		case <-quit:
			return
		case <-hangups:
		}
		fresh, err := reload(current)
		if err != nil {
			r.log.WithError(err).Error("cannot use the new configuration, the old configuration stays")
			r.loop.Post(func() { r.reloadError = err.Error() })
			continue
		}
		current = fresh
		r.loop.Post(func() { r.reload(fresh) })
	}
}

// logCounts logs the core's counters of each interval: the relay's clock in seconds, and one field
// per counter, so that the logs of many relays can be summed.
func (r *relay) logCounts(every time.Duration, before core.Counts) {
	r.loop.After(every, func() {
		now := r.core.Counts
		line := logrus.Fields{"at": math.Round(r.clock().Seconds()*1e3) / 1e3,
			"requests": now.Requests - before.Requests, "served": now.Served - before.Served,
			"rejected": now.Rejected - before.Rejected, "failed": now.Failed - before.Failed,
			"left": now.ClientsGone - before.ClientsGone, "attempts": now.Attempts - before.Attempts,
			"moves": now.Migrations - before.Migrations, "barred": now.Blocked - before.Blocked}
		if r.peers != nil {
			line["relays"], line["shared_by"] = r.peers.BudgetDivisor()
		}
		if r.store != nil {
			stats := r.store.Stats()
			line["store_queued"], line["store_bytes"] = stats.Queued, stats.QueuedBytes
			line["store_unrecorded"], line["store_lost"] = stats.Unrecorded, stats.Lost
		}
		r.log.WithFields(line).Info("counts")
		r.logCounts(every, now)
	})
}

// afterSuspension runs after this process was suspended for so long that its endpoint list may be
// stale. No attempt is dispatched until discovery has answered, or the drain grace has passed.
func (r *relay) afterSuspension(gap time.Duration) {
	r.log.WithField("gap", gap).Warn("this process was suspended; the endpoint list is polled again")
	r.core.PauseDispatch()
	r.watch.Refresh(r.core.ResumeDispatch)
	r.loop.After(settings.Duration(r.mapper.Settings.Guarantees.DrainGrace), r.core.ResumeDispatch)
}

// reload applies the changes that need no restart: the discovery address, and the credentials of
// the NATS front.
func (r *relay) reload(fresh *config.Config) {
	r.reloadError = ""
	keys := r.cfg.KeysNeedingRestart(fresh)
	if len(keys) > 0 {
		r.log.WithField("keys", keys).Warn("these configuration changes need a restart to take effect")
	}
	r.log.WithField("discovery", fresh.Discovery).Info("configuration read again")
	r.watch.SwitchAddress(fresh.Discovery)
	if r.natsFront != nil && fresh.Security() != nil && !slices.Contains(keys, "fronts") {
		r.natsFront.ReloadSecurity(fresh.Security())
	}
}

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
	// reservedSockets are the descriptors that are not within the loop's limit: standard streams,
	// epoll, the wakeup, what the runtime opens, and what is kept for discovery.
	reservedSockets = 16 + pool.MaxDescriptors
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
	stopOverrun = line.MoveTimeout + stopLingerTime/2
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
	r := &relay{cfg: cfg, log: log, clock: clock, signals: caught, names: pool.MemberMapper{Settings: set, StartTimes: &pool.StartTimes{Clock: clock, WallClock: wallClock, MaxListingDelay: policy.Normalize(set.Policy()).MaxPollInterval}},
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
		return errors.Join(err, r.closeStore())
	}
	loop.OnStall(r.core.PolicySettings().MaxPollInterval/suspensionFraction, r.afterSuspension)
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
		err = orderedExit(rollout.ExitOrderedRestart)
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
			"left": now.ClientsGone - before.ClientsGone, "attempts": now.Attempts - before.Attempts,
			"moves": now.Migrations - before.Migrations, "barred": now.Blocked - before.Blocked}
		if r.peers != nil {
			line["relays"], line["shared_by"] = r.peers.BudgetDivisor()
		}
		r.log.WithFields(line).Info("counts")
		r.logCounts(every, now)
	})
}

// afterSuspension is told that this process stood still: what it knows of members is as old as that, and nothing new is sent by it until discovery has
// said what has changed, or for as long as a change may take to be heeded anyway.
func (r *relay) afterSuspension(gap time.Duration) {
	r.log.WithField("gap", gap).Warn("this process was suspended; the endpoint list is polled again")
	r.core.PauseDispatch()
	r.watch.Refresh(r.core.ResumeDispatch)
	r.loop.After(settings.Duration(r.names.Settings.Guarantees.Grace), r.core.ResumeDispatch)
}

// reload takes over what a configuration that was read again may change: where
// discovery is.
func (r *relay) reload(fresh *config.Config) {
	r.reloadError = ""
	keys := r.cfg.KeysNeedingRestart(fresh)
	if len(keys) > 0 {
		r.log.WithField("keys", keys).Warn("changed, but only a restart takes them")
	}
	r.log.WithField("discovery", fresh.Discovery).Info("configuration read again")
	r.watch.SwitchAddress(fresh.Discovery)
	if r.natsFront != nil && fresh.Security() != nil && !slices.Contains(keys, "fronts") {
		r.natsFront.ReloadSecurity(fresh.Security())
	}
}

package main

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"dahliarudder/internal/await"
	"dahliarudder/internal/config"
	"dahliarudder/internal/snapshot"
	"dahliarudder/policy"
)

// recoveryReport describes what this relay restored at its start, and the state of its snapshots. GET
// /-/recovery returns it.
type recoveryReport struct {
	From       string                   `json:"from"` // "snapshot", "an older process" (a predecessor), or "nothing"
	Age        int64                    `json:"age_ms"`
	Discarded  []snapshot.DiscardedPart `json:"thrown_away"`
	WrittenAgo int64                    `json:"written_ms_ago"` // ms since the last snapshot; -1: none yet
	WriteError string                   `json:"write_failed,omitempty"`
	peers      []string                 // addresses of other relays in the restored snapshot
	writtenAt  time.Duration            // time of the last successful write
	dir        string
	pending    chan []byte // encoded snapshots to be written, at most one
}

// newRecoveryReport returns the report of a start that restores its state from one source.
func newRecoveryReport(from, dir string) *recoveryReport {
	return &recoveryReport{From: from, Discarded: []snapshot.DiscardedPart{}, dir: dir, pending: make(chan []byte, 1)}
}

// clocksNow reads both clocks of this machine. If the system's uptime cannot be read, only the wall
// clock is set.
func clocksNow() snapshot.Clocks {
	clocks := snapshot.Clocks{Wall: wallClock()}
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return clocks
	}
	text, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return clocks
	}
	seconds, _, _ := strings.Cut(string(text), " ")
	if up, err := strconv.ParseFloat(seconds, 64); err == nil {
		clocks.Boot, clocks.Up = strings.TrimSpace(string(boot)), time.Duration(up*float64(time.Second))
	}
	return clocks
}

// resumeFromSnapshot restores the state from the snapshot if there is a valid one. A known endpoint
// list is replaced only by a newer one.
func (r *relay) resumeFromSnapshot(c config.State) {
	r.recovery = newRecoveryReport("nothing", c.Dir)
	s, err := await.Result(stateDirTimeout, func() (*snapshot.Snapshot, error) {
		if err := os.MkdirAll(c.Dir, 0o700); err != nil {
			r.log.WithError(err).Error("state: the directory cannot be created")
		}
		return snapshot.Read(c.Dir)
	})
	if err != nil || s == nil {
		r.discardSnapshot("snapshot", err)
		return
	}
	current, known := r.watch.Snapshot()
	if !known || s.DiscoveryAddr != r.cfg.Discovery { // generations compare only at the same discovery address
		current.Generation = 0
	}
	age, discarded, err := s.Validate(clocksNow(), r.cfg.Name, current.Generation, snapshot.LimitsFor(r.core.PolicySettings().MaxPollInterval))
	if err != nil {
		r.discardSnapshot("snapshot", err)
		return
	}
	r.recovery.From, r.recovery.Age, r.recovery.peers = "snapshot", age.Milliseconds(), s.Peers
	r.recovery.Discarded = append(r.recovery.Discarded, discarded...)
	for _, p := range discarded {
		r.log.WithField("what", p.What).WithField("why", p.Why).Info("state: part of the snapshot discarded")
	}
	if s.List != nil {
		if s.DiscoveryAddr == r.cfg.Discovery {
			r.watch.SetInitialList(s.List)
		}
		r.core.UpdateMembers(policy.ListCached, r.mapper.Members(s.List))
	}
	r.core.Restore(s.Learned)
	r.log.WithField("age", age).Info("state: restored from the snapshot")
}

// discardSnapshot reports a part of the snapshot that could not be used. It does nothing if err is
// nil.
func (r *relay) discardSnapshot(what string, err error) {
	if err != nil {
		r.recovery.Discarded = append(r.recovery.Discarded, snapshot.DiscardedPart{What: what, Why: err.Error()})
		r.log.WithError(err).Error("state: the snapshot is not used")
	}
}

// onSnapshotWritten records the result of a write, and logs changes between failure and success.
func (r *relay) onSnapshotWritten(err error) {
	failed := r.recovery.WriteError != ""
	switch {
	case err == nil && failed:
		r.log.Info("state: snapshots are written again")
	case err != nil && !failed:
		r.log.WithError(err).Error("state: a snapshot could not be written")
	}
	if err != nil {
		r.recovery.WriteError = err.Error()
		return
	}
	r.recovery.WriteError, r.recovery.writtenAt = "", r.clock()
}

// writeSnapshots writes a snapshot at intervals. A goroutine writes them, so that a slow disk does
// not block the event loop; while a write is pending, further snapshots are skipped.
func (r *relay) writeSnapshots(every time.Duration) {
	c := r.recovery
	r.background.run(func(quit <-chan struct{}) {
		consume(quit, c.pending, func(b []byte) {
			err := snapshot.Write(c.dir, b)
			r.loop.Post(func() { r.onSnapshotWritten(err) })
		})
	})
	var write func()
	write = func() {
		if r.core.HasUsableMember() { // without a member, a snapshot would overwrite a better one
			if b, err := r.snapshot().Encode(); err != nil { // on the event loop, which owns the learned state
				r.onSnapshotWritten(err)
			} else {
				select {
				case c.pending <- b:
				default:
				}
			}
		}
		r.loop.After(every, write)
	}
	r.loop.After(every, write)
}

// snapshot returns the state that this relay would restore at its next start.
func (r *relay) snapshot() *snapshot.Snapshot {
	list, _ := r.watch.Snapshot()
	s := &snapshot.Snapshot{Name: r.cfg.Name, List: list, DiscoveryAddr: r.cfg.Discovery, Learned: r.core.LearnedState()}
	s.Stamp(clocksNow())
	if r.peers != nil {
		s.Peers = r.peers.LiveAddresses()
	}
	return s
}

// Recovery returns the recovery report as JSON, or "" if no state directory is configured.
func (r *relay) Recovery() string {
	if r.recovery == nil {
		return ""
	}
	c := *r.recovery
	if c.WrittenAgo = -1; c.writtenAt > 0 {
		c.WrittenAgo = (r.clock() - c.writtenAt).Milliseconds()
	}
	text, _ := json.MarshalIndent(c, "", " ")
	return string(text)
}

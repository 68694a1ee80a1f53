package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/consensus"
	"dahliarudder/internal/gossip"
	"dahliarudder/internal/rollout"
)

// Options configures a Service. Callbacks marked as running on the event loop are only ever called through Post.
type Options struct {
	Config
	Name, Zone string
	// Incarnation numbers this process; it exceeds that of every earlier process of the relay, as a wall clock in milliseconds does.
	Incarnation  uint64
	Program      string // identifies the program that this relay runs
	ConfigDigest string // digest of the configuration that all relays share
	Keys         gossip.Keys
	// SlowStartShare is the share of its capacity that a member can serve right after its start.
	SlowStartShare float64
	// SlowStartDuration is how long a member takes until it serves at full capacity.
	SlowStartDuration time.Duration
	WallClock         func() time.Time
	Log               logrus.FieldLogger
	// Post runs f on the relay's event loop. The service has at most one observation and one desired state posted at a time.
	Post func(f func())
	// Observe returns the relay's current state; on the event loop.
	Observe func() ObservedState
	// ApplyDesired makes the relay follow the record; on the event loop.
	ApplyDesired func(DesiredState)
	// PauseCanary sets a canary's weight to zero at this relay and gossips the pause, without the record; on the event loop.
	PauseCanary func(release string)
}

// Service is one relay's part in the fleet. It owns these goroutines: reportLoop, applyLoop, saveLoop, controlLoop, the API server, and one
// for each pending SetEjected or ConfirmLeave. The consensus node has its own.
type Service struct {
	Options
	record *Record
	node   *consensus.Node
	api    *http.Server
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	savedState agreedState // what the previous process saved
	postMu     sync.Mutex  // held from reading the record until the desired state is posted

	mu           sync.Mutex    // guards what follows
	lastObserved ObservedState // as last reported
	reporter     *statusReporter
	caughtUp     bool // this relay has once applied the record as a majority has it
	canaryActive bool
	failures     map[string]int // failed operations by name

	controller   *controller
	leaderSince  int64 // wall clock in ms; 0 while this relay does not lead
	lastView     rollout.View
	judge        *canary.Judge // of the running canary; nil if there is none
	judgedCanary canary.Canary // as it was when the judge last began
	verdict      canary.Verdict

	malformedReports   int // reports and replies that could not be decoded
	missedObservations int // observations that the event loop did not deliver in time
	reportBytes        int // bytes of status reports sent
}

// Start joins the fleet. A consensus node that cannot use its directory is no error: its status says so.
func Start(o Options) (*Service, error) {
	s := &Service{Options: o, record: NewRecord(), reporter: newStatusReporter(&o), failures: map[string]int{}}
	s.controller = newController(s.record)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if o.Dir == "" {
		o.Log.Warn("fleet: the record is in memory only, as fleet.dir is not set: if all voters stop at once, releases, drains and ejections are lost")
	}
	var err error
	if s.savedState, err = readAgreedState(o.Dir); err != nil {
		o.Log.WithError(err).Warn("fleet: the state saved by the previous process cannot be read: ejections apply again once the record is received")
	}
	s.node, err = consensus.Start(consensus.Options{Name: o.Name, Voters: o.Voters, DialAddresses: o.DialAddresses, Listen: o.Listen, Dir: o.Dir, Keys: o.Keys,
		Machine: s.record, OnReport: s.handleReport, OnReply: s.handleReply, OnLeadership: s.leadershipChanged, Log: o.Log})
	if err != nil {
		s.cancel()
		return nil, err
	}
	if err := s.startAPI(); err != nil {
		s.cancel()
		s.node.Close()
		return nil, err
	}
	for _, loop := range []func(){s.reportLoop, s.applyLoop, s.saveLoop, s.controlLoop} {
		s.run(loop)
	}
	return s, nil
}

// Close stops all goroutines, waits for them, and releases the addresses.
func (s *Service) Close() {
	if s == nil {
		return
	}
	s.cancel()
	s.api.Close()
	s.wg.Wait()
	if err := s.node.Close(); err != nil {
		s.Log.WithError(err).Error("fleet: closing the consensus node failed")
	}
}

// run starts a goroutine that Close waits for.
func (s *Service) run(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Service) now() int64 { return s.WallClock().UnixMilli() }

// every calls f until Close.
func (s *Service) every(interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// Names of operations that may fail, as the "failed" object of GET /-/fleet has them.
const (
	opReport = "say"
	opSave   = "keep"
	opIntent = "intent"
	opPlan   = "plan "   // and the kind of the command
	opCanary = "canary " // and its operation
)

// noteFailure counts a failed operation for the status page and logs the first one: the caller tries again anyway.
func (s *Service) countFailure(operation string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures[operation]++; s.failures[operation] == 1 {
		s.Log.WithError(err).WithField("operation", operation).Debug("fleet: operation failed and is retried")
	}
}

package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/await"
	"dahliarudder/internal/canary"
	"dahliarudder/internal/consensus"
	"dahliarudder/internal/gossip"
	"dahliarudder/internal/rollout"
)

// savedStateTimeout is how long a start waits for the directory with the saved state.
const savedStateTimeout = time.Second

// Options configures a Service. Callbacks that are marked "on the event loop" run only through Post.
type Options struct {
	Config
	Name, Zone string
	// Incarnation numbers this process. It must be higher than that of every earlier process of the
	// relay; a wall clock in milliseconds satisfies that.
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
	// Post runs f on the relay's event loop. At most one observation and one desired state are pending
	// at a time, besides the callbacks of API calls, SetEjected and ConfirmLeave.
	Post func(f func())
	// Observe returns the relay's current state. It runs on the event loop.
	Observe func() ObservedState
	// ApplyDesired applies the state that the record asks for. It runs on the event loop.
	ApplyDesired func(DesiredState)
	// PauseCanary sets a canary's weight to zero at this relay and gossips the pause, without the
	// record. It runs on the event loop.
	PauseCanary func(release string)
}

// Service connects one relay to the fleet. It owns these goroutines: reportLoop, applyLoop, saveLoop,
// controlLoop, the API server, and one for each pending SetEjected or ConfirmLeave. The consensus node
// owns others.
type Service struct {
	Options
	record *Record
	node   *consensus.Node
	api    *http.Server
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup

	savedState agreedState // what an earlier process of this relay saved
	postMu     sync.Mutex  // held from reading the record until the desired state is posted

	mu           sync.Mutex    // guards the fields below
	lastObserved ObservedState // as last reported
	reporter     *statusReporter
	caughtUp     bool // this relay's record has once included everything that a majority had committed
	canaryActive bool
	failures     map[string]int // number of failures by operation

	controller   *controller
	leaderSince  int64 // wall clock in ms; 0 while this relay is not the leader
	lastView     rollout.View
	judge        *canary.Judge // judge of the current canary; nil if there is none
	judgedCanary canary.Canary // the canary as the judge last saw it
	verdict      canary.Verdict

	malformedReports   int // reports and replies that could not be decoded
	missedObservations int // observations that the event loop did not deliver in time
	reportBytes        int // bytes of status reports sent
}

// Start joins the fleet. It returns an error if an address cannot be used. It is not an error if the
// consensus node cannot use its directory: the node's status shows that.
func Start(o Options) (*Service, error) {
	s := &Service{Options: o, record: NewRecord(), reporter: newStatusReporter(&o), failures: map[string]int{}}
	s.controller = newController(s.record)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if o.Dir == "" {
		o.Log.Warn("fleet: fleet.dir is not set, the record is kept in memory only: releases, drains and ejections are lost if all voters are stopped at the same time")
	}
	var err error
	if s.savedState, err = await.Result(savedStateTimeout, func() (agreedState, error) { return readAgreedState(o.Dir) }); err != nil {
		o.Log.WithError(err).Warn("fleet: cannot read the state saved by the previous process: exclusions and canary weights apply only after the record is received")
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

// every calls f once per interval until Close.
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

// Names of operations that may fail. They are keys of the object "failed" in GET /-/fleet.
const (
	opReport = "say"     // sending a status report
	opSave   = "keep"    // saving agreedFile
	opIntent = "intent"  // proposing a change of intent
	opPlan   = "plan "   // proposing a rollout command; followed by the command's kind
	opCanary = "canary " // proposing a canary command; followed by its operation
)

// countFailure counts a failed operation for the status page. It logs only the first failure of each
// operation, as the caller tries again.
func (s *Service) countFailure(operation string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures[operation]++; s.failures[operation] == 1 {
		s.Log.WithError(err).WithField("operation", operation).Debug("fleet: operation failed, will retry; further failures are only counted")
	}
}

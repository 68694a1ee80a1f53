package fleet

import (
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/consensus"
	"dahliarudder/internal/gossip"
	"dahliarudder/internal/rollout"
)

// Options is what a Service is made of.
type Options struct {
	Config
	Name, Zone        string
	Incarnation       uint64 // of this process; above that of every one before it, as a wall clock in milliseconds is
	Program           string // what this relay runs
	ConfigDigest      string // the digest of its configuration, as far as all relays have the same
	Keys              gossip.Keys
	SlowStartShare    float64       // what a member bears just after its start, as a part
	SlowStartDuration time.Duration // until it bears all
	WallClock         func() time.Time
	Log               logrus.FieldLogger
	// Post has f run on the relay's loop. The service has one look and one order under way at most.
	Post func(f func())
	// ObservedState is what the relay does; on the loop.
	Observe func() ObservedState
	// ApplyDesired has the relay do what was agreed; on the loop.
	ApplyDesired func(DesiredState)
	// PauseCanary holds a canary's weight at zero at this relay and has the others told, without the record; on the loop.
	PauseCanary func(release string)
}

// Service is one relay's part in the fleet. Its threads: the engine's own; words; orders; what is kept; the pilot; calls.
type Service struct {
	Options
	record *Record
	node   *consensus.Node
	api    *http.Server
	stop   chan struct{}
	wg     sync.WaitGroup

	lastAgreed agreedState // what was agreed before this process began, as far as it knew
	postMu     sync.Mutex

	mu                 sync.Mutex
	lastObserved       ObservedState // the last
	controller         *controller
	reporter           *statusReporter
	judge              *canary.Judge // of the canary that is going; nil if there is none
	judgedCanary       canary.Canary // as it was when the judge last began
	verdict            canary.Verdict
	caughtUp           bool         // this relay has followed the record as a majority has it, once
	canaryActive       bool         // there is a canary
	lastView           rollout.View // of the pilot's last look
	leaderSince        int64        // when this relay began to lead; 0 while it does not
	term               uint64
	malformedReports   int // maxRelays that could not be read
	missedObservations int // looks that the loop did not answer in time
	reportBytes        int // bytes of words
	failures           map[string]int
}

// Incarnation begins. What the engine cannot do with its directory is no error: it says so in its status.
func Start(o Options) (*Service, error) {
	s := &Service{Options: o, record: NewRecord(), stop: make(chan struct{}), reporter: newStatusReporter(&o), failures: map[string]int{}}
	s.controller = newController(s.record)
	if o.Dir == "" {
		o.Log.Warn("fleet: what is agreed is kept in memory alone; if all voters end at once, releases, drains and bans are forgotten")
	}
	var err error
	if s.lastAgreed, err = readAgreed(o.Dir); err != nil {
		o.Log.WithError(err).Warn("fleet: what was agreed before this start cannot be read: bans hold again when the record is heard")
	}
	s.node, err = consensus.Start(consensus.Options{Name: o.Name, Voters: o.Voters, DialAddresses: o.DialAddresses, Listen: o.Listen, Dir: o.Dir, Keys: o.Keys,
		Machine: s.record, OnReport: s.handleReport, OnReply: s.handleReply, OnLeadership: s.leadershipChanged, Log: o.Log})
	if err != nil {
		return nil, err
	}
	if err := s.serveAPI(); err != nil {
		s.node.Close()
		return nil, err
	}
	for _, f := range []func(){s.reportLoop, s.applyLoop, s.saveAgreed, s.controlLoop} {
		s.wg.Add(1)
		go func() { defer s.wg.Done(); f() }()
	}
	return s, nil
}

// Close ends all threads and gives the addresses back.
func (s *Service) Close() {
	if s == nil {
		return
	}
	close(s.stop)
	s.api.Close()
	s.wg.Wait()
	if err := s.node.Close(); err != nil {
		s.Log.WithError(err).Error("fleet: the record was not closed")
	}
}

func (s *Service) now() int64 { return s.WallClock().UnixMilli() }

// every calls f until the service ends.
func (s *Service) every(d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			f()
		}
	}
}

func (s *Service) noteFailure(what string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures[what]++; s.failures[what] == 1 {
		s.Log.WithError(err).WithField("what", what).Debug("fleet: failed, and is tried again")
	}
}

// Status is the engine's.
func (s *Service) Status() consensus.Status { return s.node.Status() }

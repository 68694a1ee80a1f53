package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/consensus"
	"dahliarudder/internal/drift"
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

// DesiredState are what a relay is to do by the record.
type DesiredState struct {
	rollout.Orders
	RecordVersion     uint64 // of the record
	CanaryWeights     []canary.Weight
	CanaryVersion     uint64 // the version of the canaries
	PermitsVersion    uint64 // stands for the permits in force; never 0. The loop keeps it, and its Look shows it
	AppliedIndex      uint64 // of the engine, up to which this is
	MajorityConfirmed bool   // a majority stood behind it just now
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

// ---- What this relay says ----

// maxRelays tells the leader about this relay. A loop that does not answer is not waited for: the leader hears of its silence.
func (s *Service) reportLoop() {
	looks := make(chan ObservedState, 1)
	asked := false
	s.every(reportInterval, func() {
		if !asked {
			asked = true
			s.Post(func() { looks <- s.Observe() }) // setOne is under way at most, so this never waits
		}
		select {
		case l := <-looks:
			asked = false
			s.sendReport(l)
		case <-time.After(reportInterval / 2):
			s.mu.Lock()
			s.missedObservations++
			s.mu.Unlock()
		case <-s.stop:
		}
	})
}

func (s *Service) sendReport(l ObservedState) {
	now := s.now()
	s.mu.Lock()
	s.lastObserved = l
	w := s.reporter.buildReport(now, l, s.record, votersDriftItem(s.node.Status()))
	text, err := json.Marshal(w)
	s.reportBytes += len(text)
	s.mu.Unlock()
	if err == nil {
		err = s.node.Report(text)
	}
	if err != nil {
		s.noteFailure("say", err)
	}
}

// votersDriftItem is who votes, as this relay's engine has it; nothing before it knows of a record.
func votersDriftItem(st consensus.Status) drift.Item {
	it := drift.Item{Name: drift.Voters}
	if st.RecordID == 0 {
		return it
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(st.Voters)) {
		names = append(names, name+" "+st.Voters[name])
	}
	it.Version, it.Digest = st.VotersIndex, digestOf(names)
	return it
}

func (s *Service) noteFailure(what string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures[what]++; s.failures[what] == 1 {
		s.Log.WithError(err).WithField("what", what).Debug("fleet: failed, and is tried again")
	}
}

// ---- What this relay is told ----

// applyLoop has the loop follow the record, once for all that changed meanwhile, and again as long as it does not.
func (s *Service) applyLoop() {
	again := time.NewTicker(planInterval)
	defer again.Stop()
	followed := make(chan struct{}, 1)
	followed <- struct{}{}
	var sent uint64
	var last time.Time
	first := true
	for {
		anew := false
		select {
		case <-s.stop:
			return
		case <-s.record.changed:
			anew = true
		case <-again.C:
			s.mu.Lock()
			// Until it has caught up; a weight that is not confirmed falls; the loop may have been told before a restored record.
			anew = !s.caughtUp || time.Since(last) >= reportInterval && (s.lastObserved.AppliedVersion != sent || s.canaryActive)
			s.mu.Unlock()
		}
		if !anew && !first {
			continue
		}
		select {
		case <-followed: // the loop has done the last ones
		case <-s.stop:
			return
		}
		first = false
		list, _ := s.record.canaryWeights()
		s.mu.Lock()
		s.canaryActive = len(list) > 0
		s.mu.Unlock()
		last = time.Now()
		sent = s.postDesired(func() { followed <- struct{}{} })
	}
}

// postDesired has the loop do what the record says now, and then call done there. Posts are in the order of what they read, so that an older
// state never comes after a newer one.
func (s *Service) postDesired(done func()) (version uint64) {
	s.postMu.Lock()
	defer s.postMu.Unlock()
	var o DesiredState
	st := s.node.Status() // previous the record is read: what is applied later is in it too
	o.AppliedIndex, o.MajorityConfirmed = st.Applied, st.HasQuorum && st.Applied == st.Committed
	s.mu.Lock()
	s.caughtUp = s.caughtUp || o.MajorityConfirmed
	caught := s.caughtUp
	s.mu.Unlock()
	s.record.read(func(r *rollout.State, h recordItems) {
		o.Orders, o.RecordVersion, o.PermitsVersion = r.Orders(s.Name), r.Version(), permitsVersion(h)
	})
	o.CanaryWeights, o.CanaryVersion = s.record.canaryWeights()
	if !caught {
		s.lastAgreed.fillIn(&o)
	}
	s.Post(func() { s.ApplyDesired(o); done() })
	return o.RecordVersion
}

// ---- The leader ----

// relayStatus takes a word at the leader, and says what the drift module wants of that relay.
func (s *Service) handleReport(from string, text []byte) (answer []byte) {
	w, err := decodeStatusReport(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.malformedReports++
		return nil
	}
	now := s.now()
	answer = s.controller.receive(now, from, w)
	if len(w.CanaryCounts) > 0 && s.judge != nil {
		if c, err := canary.DecodeCounts(w.CanaryCounts); err == nil {
			s.judge.Hear(now, from, w.Zone, c)
		} else {
			s.malformedReports++
		}
	}
	return answer
}

// handleReply takes what the leader wants: details come with the next words, and what this relay lacks is posted anew.
func (s *Service) handleReply(_ string, answer []byte) {
	r, err := drift.DecodeReply(answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.malformedReports++
		return
	}
	if len(s.reporter.driftBook.Hear(r)) > 0 {
		s.record.notifyChanged()
	}
}

// leadershipChanged is told when this relay begins or ends to lead. Who begins has heard nothing: what an earlier time left is no sight of now.
func (s *Service) leadershipChanged(leads bool, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller = newController(s.record)
	s.judge, s.leaderSince, s.term, s.lastView = nil, 0, term, rollout.View{}
	if leads {
		s.leaderSince = s.now()
	}
	s.Log.WithFields(logrus.Fields{"leads": leads, "term": term}).Info("fleet: leading")
}

// controlLoop asks what is next, and has it agreed. Nothing is planned until all relays that are known have been heard, or have had the time.
func (s *Service) controlLoop() {
	var reported map[string]string
	s.every(planInterval, func() {
		s.mu.Lock()
		now := s.now()
		led, look, seen := s.leaderSince, s.lastObserved, s.controller.fleet
		if led == 0 {
			s.mu.Unlock()
			return
		}
		v := seen.buildView(now, led, s.Budgets().FlowHoldMS, s.Name, look, slowStart{s.SlowStartShare, s.SlowStartDuration.Milliseconds()})
		s.watchDrift(now, &v)
		meant := s.controller.planIntent(now, &v)
		trials := s.evaluateCanary(now, &v)
		s.lastView = v
		unheard := slices.ContainsFunc(v.Relays, func(r rollout.Relay) bool { return seen.relays[r.Name] == nil && !r.Exited })
		s.mu.Unlock()
		if now-led < silenceTimeout.Milliseconds() && unheard {
			return
		}
		reported = s.logReleases(reported)
		for _, c := range trials {
			if err := s.proposeCanary(context.Background(), c); err != nil {
				s.noteFailure("canary "+c.Do, err)
				return
			}
		}
		for _, c := range meant {
			if a, err := s.proposeIntent(context.Background(), c); err != nil || a.Error != "" {
				s.noteFailure("intent", cmp.Or(err, errors.New(a.Error)))
			}
		}
		var plan []rollout.Command
		s.record.read(func(r *rollout.State, h recordItems) { plan = r.Plan(max(now, h.At), v, s.Budgets()) })
		s.mu.Lock()
		plan = s.controller.withholdBlocked(plan)
		s.mu.Unlock()
		for _, c := range s.gateOnCanary(plan) {
			answer, err := s.propose(context.Background(), c)
			if err != nil || answer.Error != "" {
				if err == nil {
					err = errors.New(answer.Error)
				}
				s.noteFailure("plan "+c.Kind, err)
				return // the next look begins anew
			}
		}
	})
}

// watchDrift holds what relays run against what is agreed. Called with the lock held.
func (s *Service) watchDrift(now int64, v *rollout.View) {
	s.controller.voters = votersDriftItem(s.node.Status())
	for _, c := range s.controller.evaluateDrift(now, v) {
		s.Log.WithFields(logrus.Fields{"relay": c.Relay, "item": c.Item, "from": c.From.String(), "to": c.To.String(), "why": c.Why}).Warn("fleet: drift")
	}
	if s.EjectDrifted { // else nobody is unfit, and who is shut is admitted
		s.controller.markUnfit(v)
	}
}

// ---- Having something agreed ----

// callTimeout is how long a call waits for a majority.
const callTimeout = 4 * time.Second

// propose has a command of the rollout's agreed, and waits until this relay's own record has it.
func (s *Service) propose(ctx context.Context, c rollout.Command) (rollout.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.submit(ctx, partRollout, c.Encode())
}

// proposeIntent is the same for what is meant.
func (s *Service) proposeIntent(ctx context.Context, c intentCommand) (rollout.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(c)
	if err != nil {
		return rollout.Result{}, err
	}
	return s.submit(ctx, partIntent, body)
}

func (s *Service) submit(ctx context.Context, part string, body []byte) (rollout.Result, error) {
	text, err := json.Marshal(command{Part: part, At: s.now(), By: s.Name, Body: body})
	if err != nil {
		return rollout.Result{}, err
	}
	answer, index, err := s.node.Propose(ctx, text)
	if err != nil {
		return rollout.Result{}, err
	}
	var a rollout.Result
	if err := json.Unmarshal(answer, &a); err != nil {
		return rollout.Result{}, err
	}
	s.node.WaitApplied(ctx, index) // at another relay it is agreed all the same
	return a, nil
}

// SetEjected has a member taken out, or put back, at all relays. Done is called once, on the loop, when this relay follows it too.
func (s *Service) SetEjected(member string, out bool, done func(error)) {
	go func() {
		c := rollout.Command{Kind: rollout.CommandReinstate, Names: []string{member}}
		if out {
			c.Kind, c.Reason = rollout.CommandEject, "an operator's call"
		}
		a, err := s.propose(context.Background(), c)
		if err == nil && a.Error != "" {
			err = errors.New(a.Error)
		}
		if err != nil {
			s.Post(func() { done(err) })
			return
		}
		s.postDesired(func() { done(nil) })
	}()
}

// ConfirmLeave says on the loop whether this relay's order to leave of that number stands, as of a majority; not sound if there is none to
// ask. What cannot be taken back is asked for right before it is done: this process may have stood still since it was told.
func (s *Service) ConfirmLeave(number uint64, done func(stands, sound bool)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := s.node.Barrier(ctx)
		stands := false
		s.record.read(func(r *rollout.State, _ recordItems) {
			l := r.Orders(s.Name).Leave
			stands = l != nil && l.Number == number && l.StartNumber >= s.Incarnation
		})
		s.Post(func() { done(stands, err == nil) })
	}()
}

// Status is the engine's.
func (s *Service) Status() consensus.Status { return s.node.Status() }

package main

import (
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/config"
	"dahliarudder/internal/core"
	"dahliarudder/internal/ejections"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/front/nats"
	"dahliarudder/internal/gossiptransport"
	"dahliarudder/internal/handover"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/pool"
	"dahliarudder/internal/store"
)

// relay is what serve puts together.
type relay struct {
	cfg               *config.Config
	signals           *signals
	log               *logrus.Logger
	loop              *netloop.Loop
	clock             func() time.Duration
	names             pool.MemberMapper
	watch             *pool.Watcher
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

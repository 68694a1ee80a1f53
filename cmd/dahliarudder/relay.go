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

// relay is one process of the relay: it owns the loop and all that runs on it. Its fields belong to the loop; what runs on another
// goroutine posts to it. The resources are closed in serve and closeAndExit.
type relay struct {
	cfg               *config.Config
	signals           *signals
	background        *background
	log               *logrus.Logger
	loop              *netloop.Loop
	clock             func() time.Duration
	mapper            pool.MemberMapper
	watch             *pool.Watcher
	core              *core.Core
	coreTimer         *netloop.Timer           // until the core's next Tick
	natsFront         *nats.Front              // nil if it is off
	store             *store.Store             // nil if it is off
	peers             *gossiptransport.Service // nil if it is off
	recovery          *recoveryReport          // nil if no state is kept
	fleet             *fleet.Service           // nil if it is off
	recordVersion     uint64                   // of the fleet record, as applied here
	excludedByFleet   []string                 // members that it excludes
	flowTime          time.Duration            // summed over all flows, at statusAt
	lastStatusAt      time.Duration            // of the last fleetStatus
	permitsVersion    uint64                   // version of the permits in force
	quarantineOrder   uint64                   // number of the quarantine order in force; 0: none
	configDigests     map[string]string        // digest by section of the running configuration
	reloadError       string                   // why the last reload was refused; "" if it was not
	canary            *canaryState             // nil without a fleet
	drainedByOperator bool
	shutdownOrder     *shutdownOrder // the order to leave in force; nil if none
	exitOrdered       bool           // the process ends by that order
	stopping          bool
	caughtUp          bool // with the fleet record, or catchUpTimeout has passed
	listeners         []*netloop.Listener
	maxSockets        int                          // descriptors that the loop may have open
	maxBufferBytes    int                          // bytes that its buffers may hold
	lineFront         *line.Front                  // nil if it is off
	clientListeners   map[string]*netloop.Listener // by front: where clients connect
	accepting         bool                         // clients

	// With an operators' address:
	stateDir          string // of the files that outlive this process
	ejections         *ejections.File
	ejectionWrites    chan func()       // writes of the ejection file, in order
	successorListener *netloop.Listener // where a successor connects
	sibling           *siblingProcess   // the other process of an upgrade; nil if there is none
	takeover          takeoverState     // of the clients, by the sibling
	inheritedSockets  map[string]int    // by front: listening sockets of the older process, until they are used
	inheritedState    *handover.State   // of the older process, until it is restored
}

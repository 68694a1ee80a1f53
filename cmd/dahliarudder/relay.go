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

// relay is the state of this process of a relay: the event loop and everything that runs on it. The
// fields belong to the loop; other goroutines post functions to it. serve and closeAndExit close
// the resources.
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
	coreTimer         *netloop.Timer           // fires at the core's next Tick
	natsFront         *nats.Front              // nil if it is off
	store             *store.Store             // nil if it is off
	peers             *gossiptransport.Service // nil if it is off
	recovery          *recoveryReport          // nil if no state directory is configured
	fleet             *fleet.Service           // nil if it is off
	recordVersion     uint64                   // version of the fleet record that is applied here
	excludedByFleet   []string                 // members that the fleet record excludes
	flowTime          time.Duration            // sum of the durations of all flows until lastStatusAt
	lastStatusAt      time.Duration            // time of the last fleetStatus
	permitsVersion    uint64                   // version of the permits in force
	quarantineOrder   uint64                   // number of the quarantine order in force; 0: none
	configDigests     map[string]string        // digest by section of the running configuration
	reloadError       string                   // why the last reload failed; "" if it did not
	canary            *canaryState             // nil without a fleet
	drainedByOperator bool
	shutdownOrder     *shutdownOrder // the order to leave in force; nil if none
	exitOrdered       bool           // the process ends because of shutdownOrder
	stopping          bool
	caughtUp          bool // the fleet record has caught up, or catchUpTimeout has passed
	listeners         []*netloop.Listener
	maxSockets        int                          // descriptors that the loop may have open
	maxBufferBytes    int                          // bytes that the loop's buffers may have together
	lineFront         *line.Front                  // nil if it is off
	clientListeners   map[string]*netloop.Listener // listeners for clients, by front
	accepting         bool                         // this process has begun to accept clients

	// Used only with an operators' address:
	stateDir          string // directory of the files that outlive this process
	ejections         *ejections.File
	ejectionWrites    chan func()       // writes of the ejection file, in order
	successorListener *netloop.Listener // where a successor connects
	sibling           *siblingProcess   // the other process during a hot restart; nil if there is none
	takeover          takeoverState     // whether the sibling takes over the clients during this process's shutdown
	inheritedSockets  map[string]int    // the predecessor's listening sockets by front, until they are used
	inheritedState    *handover.State   // the predecessor's state, until it is restored
}

// Package handover implements the protocol between the two processes of a relay during a hot
// restart: JSON messages on a Unix socket, which also passes file descriptors. Package
// cmd/dahliarudder acts on the messages. See docs/design.md, "Upgrades".
//
// The older process serves clients when the newer one is started beside it. Each of the two is the
// other process, or peer, of the other.
package handover

import (
	"path/filepath"

	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/front/nats"
	"dahliarudder/internal/pool"
)

// Versions of the protocol. Two processes use the lower one of their versions.
const (
	versionUnconfirmed = 1 // the receiver of a connection does not confirm the transfer
	versionConfirmed   = 2 // the receiver of a connection confirms the transfer
	versionProcessor   = 3 // the processors of both processes ask each other for requests
	version            = versionProcessor
)

// Message is one message of the protocol. Exactly one field is set; a message that carries a
// connection may have Transfer set in addition.
type Message struct {
	Transfer  uint64 `json:"transfer,omitempty"`  // number of this transfer; 0 if no confirmation is expected
	Confirmed uint64 `json:"confirmed,omitempty"` // number of a transfer whose connection the sender now serves

	Hello    int    `json:"hello,omitempty"`   // protocol version of the newer process
	State    *State `json:"state,omitempty"`   // answer to Hello, with the listening sockets
	Serving  bool   `json:"serving,omitempty"` // the newer process accepts clients
	Stopping bool   `json:"leaving,omitempty"` // the sender is shutting down
	// TakingOver means that the sender accepts the clients, and that the receiver may exit.
	TakingOver       bool `json:"relieves,omitempty"`
	EjectionsChanged bool `json:"bans,omitempty"` // the sender has changed the ejection file
	// Drain is true if an operator drained the relay, and false if an operator resumed it.
	Drain        *bool         `json:"drain,omitempty"`
	OpenRequests *OpenRequests `json:"open,omitempty"` // requests that are open in the older process
	// Processor is a message between the processors of both processes.
	Processor *nats.SiblingMessage `json:"processor,omitempty"`
	// Flow is an open flow; the sockets of its client and of its member come with the message.
	Flow *line.FlowHandoff `json:"flow,omitempty"`
	// Client is a client connection without a request; its socket comes with the message.
	Client *line.IdleConn `json:"client,omitempty"`
}

// OpenRequests lists the requests that are open at the line front of the older process, and sets
// that process's descriptor limit.
type OpenRequests struct {
	IDs   []uint64 `json:"ids"`
	Limit int      `json:"limit"` // descriptors that the older process uses at most from now on
}

// State is the state with which the newer process starts.
type State struct {
	Version       int                `json:"version"` // of the protocol: the lower version of the two processes
	Fronts        []string           `json:"fronts"`  // fronts of the attached listening sockets, in the same order
	Limit         int                `json:"limit"`   // descriptors that the older process uses at most from now on
	Pool          *pool.EndpointList `json:"pool"`
	DiscoveryAddr string             `json:"watched"` // discovery whose watch can continue from Pool; empty if none can
	Learned       core.LearnedState  `json:"learned"`
}

// NewState returns a state for a newer process that speaks version hello of the protocol.
func NewState(l core.LearnedState, hello int) *State {
	return &State{Version: min(version, hello), Learned: l}
}

// Path returns the path of the socket, in state directory dir, on which a process of the relay
// listens for the newer process that will replace it.
func Path(dir string) string { return filepath.Join(dir, "upgrade.sock") }

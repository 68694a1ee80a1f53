// Package handover is the protocol between the two processes of a relay during an upgrade (a hot restart): JSON messages on a Unix
// socket, which also passes descriptors. It decides nothing; cmd/dahliarudder acts on the messages. See docs/design.md, "Upgrades".
package handover

import (
	"path/filepath"

	"dahliarudder/internal/core"
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/pool"
)

// Versions of the protocol. Two processes use the lower one of theirs.
const (
	versionUnconfirmed = 1 // transfers of connections are not confirmed
	versionConfirmed   = 2 // transfers are confirmed
	version            = versionConfirmed
)

// Message is one message of the protocol. Exactly one field is set, besides Transfer.
type Message struct {
	Transfer  uint64 `json:"transfer,omitempty"`  // number of a message that carries a connection, if it is to be confirmed
	Confirmed uint64 `json:"confirmed,omitempty"` // number of a transfer that the sender has taken over

	Hello            int               `json:"hello,omitempty"` // the newer process's version
	State            *State            `json:"state,omitempty"` // the older process's answer, with the listening sockets
	Serving          bool              `json:"serving,omitempty"`
	Stopping         bool              `json:"leaving,omitempty"`  // the sender is shutting down
	TakingOver       bool              `json:"relieves,omitempty"` // the sender accepts the clients, and the other may end
	EjectionsChanged bool              `json:"bans,omitempty"`     // the ejection file has changed
	Drain            *bool             `json:"drain,omitempty"`    // an operator has drained the relay, or resumed
	OpenRequests     *OpenRequests     `json:"open,omitempty"`     // requests that are open at the older process
	Flow             *line.FlowHandoff `json:"flow,omitempty"`     // an open flow, with the client's socket and the member's
	Client           *line.IdleConn    `json:"client,omitempty"`   // a client without a request, with its socket
}

// OpenRequests is what is open at the older process: ids of requests at the line front, and the
// descriptor limit of that process from now on.
type OpenRequests struct {
	IDs   []uint64 `json:"ids"`
	Limit int      `json:"limit"`
}

// State is what the newer process starts with.
type State struct {
	Version       int                `json:"version"`
	Fronts        []string           `json:"fronts"` // fronts whose listening sockets come with the message, in their order
	Limit         int                `json:"limit"`
	Pool          *pool.EndpointList `json:"pool"`
	DiscoveryAddr string             `json:"watched"` // discovery at which Pool can be continued; empty if at none
	Learned       core.LearnedState  `json:"learned"`
}

// NewState returns a state for a newer process of the given version.
func NewState(l core.LearnedState, hello int) *State {
	return &State{Version: min(version, hello), Learned: l}
}

// Path is the socket on which a process of that state directory listens for its successor.
func Path(dir string) string { return filepath.Join(dir, "upgrade.sock") }

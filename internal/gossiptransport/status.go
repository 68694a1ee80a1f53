package gossiptransport

import (
	"encoding/json"
	"maps"
	"time"

	"dahliarudder/internal/gossip"
)

var (
	stateNames = map[gossip.State]string{gossip.Alive: "alive", gossip.Suspect: "suspect", gossip.Dead: "dead", gossip.Gone: "gone", gossip.Left: "left"}
	phaseNames = map[gossip.Phase]string{gossip.Starting: "starting", gossip.Recovering: "recovering", gossip.Serving: "serving",
		gossip.Draining: "draining", gossip.Leaving: "leaving"}
)

// PeerStatus is the status of one relay in the answer to GET /-/peers. Ages are in milliseconds.
type PeerStatus struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Phase       string `json:"phase"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Flows       uint64 `json:"flows"`
	Rate        uint64 `json:"requests_per_s"`
	Since       int64  `json:"since_ms"`
	LastContact int64  `json:"heard_ms"` // -1 if no datagram was received from it
	BytesIn     int    `json:"bytes_in"`
	BytesOut    int    `json:"bytes_out"`
	Accuser     string `json:"accuser,omitempty"`
	// Observed holds the relay's own observations of zones and of the members with the most failures.
	// ObservedAgo is their age, -1 if none were received.
	Observed    gossip.Digest `json:"seen"`
	ObservedAgo int64         `json:"seen_ms"`
}

// groupStatus is the answer to GET /-/peers.
type groupStatus struct {
	Self          PeerStatus     `json:"self"`
	Live          int            `json:"live"`
	Down          int            `json:"down"`
	Configured    int            `json:"configured"`
	DivideBy      float64        `json:"budgets_divided_by"`
	Rejected      map[string]int `json:"refused"` // number of rejected datagrams by reason
	NameConflicts int            `json:"clashes"`
	RejectedPeers int            `json:"beyond_the_bound"`
	Peers         []PeerStatus   `json:"peers"`
}

// StatusJSON returns the answer to GET /-/peers.
func (s *Service) StatusJSON() string {
	live, down := s.membership.Counts()
	status := groupStatus{Self: s.updateStatus(s.membership.Self()), Live: live, Down: down, Configured: s.Configured, DivideBy: s.divideBy,
		Rejected: map[string]int{}, NameConflicts: s.membership.NameConflicts, RejectedPeers: s.membership.RejectedPeers, Peers: []PeerStatus{}}
	status.Self.Observed = s.membership.Observations()
	maps.Copy(status.Rejected, s.opener.Rejected)
	if s.malformed > 0 {
		status.Rejected["malformed"] = s.malformed
	}
	for _, p := range s.membership.Peers() {
		status.Peers = append(status.Peers, s.peerStatus(p))
	}
	text, _ := json.MarshalIndent(status, "", " ") // no field has a type that cannot be encoded
	return string(text)
}

// updateStatus returns the part of a relay's status that is taken from its update.
func (s *Service) updateStatus(u gossip.Update) PeerStatus {
	return PeerStatus{Name: u.Name, Address: u.Addr, Zone: u.Zone, State: stateNames[u.State], Phase: phaseNames[u.Phase],
		Incarnation: u.Incarnation, Generation: u.Generation, Flows: u.Flows, Rate: u.Rate, Accuser: u.Accuser,
		BytesIn: s.bytesIn[u.Name], BytesOut: s.bytesOut[u.Name]}
}

func (s *Service) peerStatus(p *gossip.Peer) PeerStatus {
	now := s.Loop.Now()
	ago := func(at time.Duration) int64 {
		if at <= 0 {
			return -1
		}
		return (now - at).Milliseconds()
	}
	status := s.updateStatus(p.Update)
	status.Since, status.LastContact = (now - p.Since).Milliseconds(), ago(p.LastContact)
	status.Observed, status.ObservedAgo = p.Observed, ago(p.ObservedAt)
	return status
}

package nats

import (
	"encoding/json"
	"fmt"
	"strings"

	"dahliarudder/policy"
)

// memberInfo is the part of a member's INFO that affects clients.
type memberInfo struct {
	JetStream  bool `json:"jetstream"`
	MaxPayload int  `json:"max_payload"`
}

// advertisedInfo is the part of the relay's own INFO that depends on the INFO of the members.
type advertisedInfo struct {
	jetstream  bool
	maxPayload int
}

// EnterLameDuck announces to clients that the relay shuts down or drains. The core then migrates
// their subscriptions, which closes their connections; sweep closes idle clients.
func (f *Front) EnterLameDuck() {
	f.lameDuck, f.lameDuckSince = true, f.Loop.Now()
	f.broadcastInfo()
}

// ExitLameDuck announces that the relay accepts work again.
func (f *Front) ExitLameDuck() {
	f.lameDuck = false
	f.broadcastInfo()
}

// broadcastInfo sends INFO again to the clients whose protocol version allows it.
func (f *Front) broadcastInfo() {
	for c := range f.clients {
		if c.connect != nil && c.options.Protocol >= 1 {
			c.write(f.infoLine(c))
		}
	}
}

// infoLine returns the INFO line for a client.
func (f *Front) infoLine(c *client) []byte {
	fields := map[string]any{"server_id": f.Name, "server_name": f.Name, "version": "2.10.0", "proto": 1, "go": "dahliarudder",
		"headers": true, "max_payload": f.advertised.maxPayload, "client_id": c.id, "ldm": f.lameDuck, "jetstream": f.advertised.jetstream}
	if host, port, ok := strings.Cut(c.local, ":"); ok && !strings.Contains(port, ":") {
		fields["host"], fields["port"] = host, json.Number(port)
	}
	if c.remote != "" {
		fields["client_ip"] = c.remote
	}
	f.addSecurityInfo(c, fields)
	if len(f.ConnectURLs) > 0 {
		fields["connect_urls"] = f.ConnectURLs
	}
	text, _ := json.Marshal(fields)
	return fmt.Appendf(nil, "INFO %s\r\n", text)
}

// updateMemberInfo records a member's INFO. If that changes what the relay advertises, clients
// receive INFO again.
func (f *Front) updateMemberInfo(id policy.MemberID, info []byte) {
	received := &memberInfo{}
	if json.Unmarshal(info, received) != nil {
		return
	}
	f.memberInfos[id] = received
	updated := advertisedInfo{maxPayload: f.MaxPayload}
	for id, m := range f.memberInfos {
		if !f.Core.Reachable(id) {
			delete(f.memberInfos, id)
			continue
		}
		updated.jetstream = updated.jetstream || m.JetStream
		if m.MaxPayload > 0 {
			updated.maxPayload = min(updated.maxPayload, m.MaxPayload)
		}
	}
	if updated != f.advertised {
		f.advertised = updated
		f.broadcastInfo()
	}
}

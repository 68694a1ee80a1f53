package nats

import (
	"encoding/json"
	"fmt"
	"strings"

	"dahliarudder/policy"
)

// memberInfo is what a member's INFO has said that clients should know.
type memberInfo struct {
	JetStream  bool `json:"jetstream"`
	MaxPayload int  `json:"max_payload"`
}

// advertised is what the relay's own INFO says in consequence.
type advertised struct {
	jetstream  bool
	maxPayload int
}

// EnterLameDuck tells clients that the relay is leaving. The core then moves their
// subscriptions, which ends their connections; who has none is ended by the sweep.
func (f *Front) EnterLameDuck() {
	f.lameDuck, f.lameDuckSince = true, f.Loop.Now()
	f.broadcastInfo()
}

// ExitLameDuck takes that back.
func (f *Front) ExitLameDuck() {
	f.lameDuck = false
	f.broadcastInfo()
}

// broadcastInfo sends INFO again to those who know the protocol that allows it.
func (f *Front) broadcastInfo() {
	for c := range f.clients {
		if c.connect != nil && c.options.Protocol >= 1 {
			c.write(f.infoLine(c))
		}
	}
}

// infoLine is what a client is told.
func (f *Front) infoLine(c *client) []byte {
	v := map[string]any{"server_id": f.Name, "server_name": f.Name, "version": "2.10.0", "proto": 1, "go": "dahliarudder",
		"headers": true, "max_payload": f.offers.maxPayload, "client_id": c.id, "ldm": f.lameDuck, "jetstream": f.offers.jetstream}
	if host, port, ok := strings.Cut(c.local, ":"); ok && !strings.Contains(port, ":") {
		v["host"], v["port"] = host, json.Number(port)
	}
	if c.remote != "" {
		v["client_ip"] = c.remote
	}
	f.addSecurityInfo(c, v)
	if len(f.ConnectURLs) > 0 {
		v["connect_urls"] = f.ConnectURLs
	}
	text, _ := json.Marshal(v)
	return fmt.Appendf(nil, "INFO %s\r\n", text)
}

// updateMemberInfo takes in what a member's INFO says, and tells clients when that changes what they
// may do.
func (f *Front) updateMemberInfo(id policy.ServerID, info []byte) {
	t := &memberInfo{}
	if json.Unmarshal(info, t) != nil {
		return
	}
	f.memberInfos[id] = t
	now := advertised{maxPayload: f.MaxPayload}
	for id, t := range f.memberInfos {
		if !f.Core.Reachable(id) {
			delete(f.memberInfos, id)
			continue
		}
		now.jetstream = now.jetstream || t.JetStream
		if t.MaxPayload > 0 {
			now.maxPayload = min(now.maxPayload, t.MaxPayload)
		}
	}
	if now != f.offers {
		f.offers = now
		f.broadcastInfo()
	}
}

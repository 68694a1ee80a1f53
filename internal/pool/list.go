// Package pool keeps up with discovery's list of pool members: it reads the list,
// watches for its changes over HTTP/1.1 and hands both on. It decides nothing.
package pool

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"dahliarudder/internal/core"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// ErrMalformed is wrapped by every error about a list that is none.
var ErrMalformed = errors.New("malformed list")

// Snapshot is discovery's list, or changes of it, as it stands on the wire.
type EndpointList struct {
	Generation uint64     `json:"generation"`
	Full       bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is one member on the wire.
type Instance struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

// Decode reads a list.
func Decode(text []byte) (*EndpointList, error) {
	l := &EndpointList{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	for i, e := range l.Instances {
		if e.ID == "" {
			return nil, fmt.Errorf("%w: entry %d has no id", ErrMalformed, i)
		}
	}
	return l, nil
}

// Mapper translates entries of the list into members.
type MemberMapper struct {
	Settings   *settings.Settings
	StartTimes *StartTimes
}

var states = map[string]policy.ServerState{
	"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Gone,
}

// Members are the entries as members. An unknown lifecycle counts as draining,
// the state that neither takes new flows nor forgets the member.
func (n MemberMapper) Members(l *EndpointList) []core.Member {
	list := make([]core.Member, 0, len(l.Instances))
	for _, e := range l.Instances {
		m := core.Member{Name: e.ID, Addr: e.Addr}
		m.ID, m.Cell, m.Weight = DeriveServerID(e.ID), e.Cell, e.Weight
		for i, zone := range n.Settings.Zones {
			if string(zone) == e.Zone {
				m.Zone = i
			}
		}
		for i, kind := range n.Settings.HostTypes {
			if kind == e.Kind {
				m.Kind = i
			}
		}
		state, known := states[e.Lifecycle]
		if !known {
			state = policy.Draining
		}
		m.State = state
		m.Started = n.StartTimes.Resolve(e.ID, e.Started)
		list = append(list, m)
	}
	return list
}

// DeriveServerID is the member's number in the decision module. It depends on the name
// alone, so that all relays share members out alike: the eight hexadecimal
// digits that end it, or a hash.
func DeriveServerID(name string) policy.ServerID {
	if i := strings.LastIndexByte(name, '-'); len(name)-i-1 == 8 {
		if n, err := strconv.ParseUint(name[i+1:], 16, 32); err == nil {
			return policy.ServerID(n)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return policy.ServerID(h.Sum32())
}

// Package pool follows discovery's endpoint list, which lists the pool members: it decodes the list,
// watches for changes with long polls over HTTP/1.1, and hands both on. It makes no decisions about
// members.
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

// ErrMalformed is wrapped by every error about bytes that cannot be decoded as an endpoint list.
var ErrMalformed = errors.New("malformed endpoint list")

// EndpointList is the wire form of discovery's endpoint list, or of a delta to it.
type EndpointList struct {
	Generation uint64     `json:"generation"`
	Full       bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is the wire form of one member.
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

// Decode decodes an endpoint list. Every instance must have an ID.
func Decode(text []byte) (*EndpointList, error) {
	l := &EndpointList{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	for i, instance := range l.Instances {
		if instance.ID == "" {
			return nil, fmt.Errorf("%w: instance %d has no instanceId", ErrMalformed, i)
		}
	}
	return l, nil
}

// MemberMapper maps instances of the endpoint list to members.
type MemberMapper struct {
	Settings   *settings.Settings
	StartTimes *StartTimes
}

var lifecycleStates = map[string]policy.MemberState{
	"SERVING": policy.Ready, "DRAINING": policy.Draining, "DELETED": policy.Gone,
}

// Members returns the instances of a list as members.
func (m MemberMapper) Members(l *EndpointList) []core.Member {
	members := make([]core.Member, 0, len(l.Instances))
	for _, instance := range l.Instances {
		members = append(members, m.member(instance))
	}
	return members
}

// member maps one instance. An unknown lifecycle is treated as draining, the state in which a member
// neither gets new flows nor is removed.
func (m MemberMapper) member(i Instance) core.Member {
	member := core.Member{Name: i.ID, Addr: i.Addr}
	member.ID, member.Cell, member.Weight = DeriveMemberID(i.ID), i.Cell, i.Weight
	for number, zone := range m.Settings.Zones {
		if string(zone) == i.Zone {
			member.Zone = number
		}
	}
	for number, kind := range m.Settings.HostTypes {
		if kind == i.Kind {
			member.Kind = number
		}
	}
	state, known := lifecycleStates[i.Lifecycle]
	if !known {
		state = policy.Draining
	}
	member.State = state
	member.Started = m.StartTimes.Resolve(i.ID, i.Started)
	return member
}

// DeriveMemberID returns the member's ID in the decision module. It depends only on the name, so that
// all relays partition the members alike: it is the value of the eight hexadecimal digits after the
// name's last "-", or else a hash of the name.
func DeriveMemberID(name string) policy.MemberID {
	if i := strings.LastIndexByte(name, '-'); len(name)-i-1 == 8 {
		if n, err := strconv.ParseUint(name[i+1:], 16, 32); err == nil {
			return policy.MemberID(n)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return policy.MemberID(h.Sum32())
}

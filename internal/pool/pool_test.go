package pool

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

const instanceJSON = `{"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:9","zone":"b","machineType":"m2","cell":3,"lifecycle":"SERVING","weight":1.5,"startedAtMs":1700000000500}`

func newMapper() MemberMapper {
	return MemberMapper{Settings: &settings.Settings{Zones: []settings.Zone{"a", "b"}, HostTypes: []string{"m1", "m2"}},
		StartTimes: &StartTimes{Clock: func() time.Duration { return time.Second }, WallClock: func() time.Time { return time.UnixMilli(1700000001000) }}}
}

// TestMembers checks how an instance of the endpoint list is mapped to a member, and that malformed
// lists are rejected.
func TestMembers(t *testing.T) {
	l, err := Decode([]byte(`{"generation":41,"reset":true,"instances":[` + instanceJSON + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	m := newMapper().Members(l)[0]
	if m.ID != 0x5be2a07c || m.Zone != 1 || m.Kind != 1 || m.Cell != 3 || m.State != policy.Ready || m.Weight != 1.5 ||
		m.Started != 500*time.Millisecond || m.Name != "s-5be2a07c" || m.Addr != "127.0.0.1:9" || l.Generation != 41 || !l.Full {
		t.Errorf("Members of list %+v = %+v, want a full list of generation 41 with the values of %s",
			l, m, instanceJSON)
	}
	unknownLifecycle, err := Decode([]byte(`{"instances":[{"instanceId":"one","lifecycle":"NAPPING"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if m := newMapper().Members(unknownLifecycle)[0]; m.State != policy.Draining || m.Started != 0 || m.ID != DeriveMemberID("one") || m.ID == DeriveMemberID("two") {
		t.Errorf("member of an instance with an unknown lifecycle = %+v, want state Draining, no start and a hashed ID",
			m)
	}
	for _, bad := range []string{``, `[]`, `{"instances":[{}]}`, `{"generation":-1}`, `{"instances":[{"instanceId":"a","cell":"x"}]}`} {
		if _, err := Decode([]byte(bad)); !errors.Is(err, ErrMalformed) {
			t.Errorf("Decode(%q) = error %v, want %v", bad, err, ErrMalformed)
		}
	}
}

// newTestWatcher returns a watcher with an initial list of generation 41 that is not started.
func newTestWatcher(b *looptest.Harness, at *looptest.Server, updates func(policy.ListKind, []core.Member)) *Watcher {
	log := logrus.New()
	log.SetOutput(b.T.Output())
	w := &Watcher{Loop: b.Loop, Addr: at.Addr(), Mapper: newMapper(), Log: log, OnUpdate: updates, Random: func() float64 { return 1 }, Dial: b.NewDescriptorReserve(MaxDescriptors).Dial}
	w.SetInitialList(&EndpointList{Generation: 41})
	return w
}

// TestSwitchAddress checks that the watch continues at the new address at once by requesting the full
// list, and ignores later answers from the old address. It guards against using a generation that one
// discovery issued at another one.
func TestSwitchAddress(t *testing.T) {
	b := looptest.New(t, 8)
	old, next := b.Listen(), b.Listen()
	updates := 0
	w := newTestWatcher(b, old, func(kind policy.ListKind, list []core.Member) { updates += 100*int(kind) + len(list) })
	w.Start()
	before := old.Accept()
	w.SwitchAddress(next.Addr())
	p := next.Accept()
	before.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	host := " HTTP/1.1\r\nHost: " + next.Addr() + "\r\nAccept: application/json\r\n\r\n"
	p.Expect("GET /api/targets" + host)
	p.Send("HTTP/1.1 200 OK\r\nContent-Length: 44\r\n\r\n" + `{"generation":3,"reset":true,"instances":[]}`)
	p.Expect("GET /api/targets?since=3&timeout_ms=4000" + host)
	if updates != 100*int(policy.ListFull) {
		t.Errorf("sum of 100*kind + members over all updates = %d, want one full list without members (%d)",
			updates, 100*int(policy.ListFull))
	}
	w.SwitchAddress(next.Addr()) // the address is the same, so the watch continues
	p.Send("HTTP/1.1 200 OK\r\nContent-Length: 45\r\n\r\n" + `{"generation":4,"reset":false,"instances":[]}`)
	p.Expect("GET /api/targets?since=4&timeout_ms=4000" + host)
	w.Stop()
	w.SwitchAddress(old.Addr())
	b.RunOnce()
	if len(w.polls) > 0 {
		t.Errorf("SwitchAddress after Stop started %d polls, want none", len(w.polls))
	}
}

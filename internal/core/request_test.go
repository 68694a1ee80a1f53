package core

import (
	"math"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// Classes of classesText, by their place in it.
const (
	safeClass = iota
	keyedAll
	keyedZone
	unsafeClass
	keyedCell
)

// classesText is settings with a class of each effect and scope; windows are shorter than deadlines.
const classesText = `{"balancers":1,"zones":["a","b"],
 "classes":[{"name":"safe","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"},
  {"name":"all","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"all","window-ms":900},
  {"name":"zone","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"zone","window-ms":900},
  {"name":"unsafe","aim-ms":400,"deadline-ms":2000,"effect":"non_idempotent","key-scope":"all"},
  {"name":"cell","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"cell","window-ms":900}],
 "limits":{"max-attempts":3,"cancel":true,"probes":false,"connect-timeout-ms":250},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// newRigOf is a rig of other settings.
func newRigOf(t *testing.T, text string, members []Member) *rig {
	set, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, now: time.Hour, wake: math.MaxInt64, out: map[ID]*side{}}
	r.Core = New(Options{Settings: set, Seed: 7, Clock: func() time.Duration { return r.now },
		Wake: func(at time.Duration) { r.wake = at }, Probe: func(*Member) {}, Watch: func() {}, Ledger: r})
	r.Pool(policy.ListCached, members)
	return r
}

// bring opens a request of a class that waits so long.
func (r *rig) bring(class int, wait time.Duration) *side {
	s := &side{r: r}
	s.id = r.Open(Request{Class: class, Load: 0.01, Wait: wait}, s)
	return s
}

// ends has the attempt that is out end before it stood.
func (s *side) ends(result policy.Result) {
	s.out--
	s.r.Ended(s.id, s.tries-1, result, policy.NoReport)
}

func (s *side) got() string { return strings.Join(s.answers, ",") }

// TestHeldWindow: a repeat that waited for the end of a doubt is not sent once its window is over.
func TestHeldWindow(t *testing.T) {
	r := newRigOf(t, classesText, list(3, policy.Ready))
	s := r.bring(keyedAll, 2*time.Second)
	r.Doubt()
	s.ends(policy.Reset)
	if s.out != 0 || len(r.later) != 1 {
		t.Fatalf("%d out, %d held", s.out, len(r.later))
	}
	r.pass(901 * time.Millisecond)
	if s.got() != "" {
		t.Fatalf("answers %v", s.answers)
	}
	r.Sure()
	if s.tries != 1 {
		t.Errorf("%d tries, the last after its window", s.tries)
	}
	r.pass(2 * time.Second)
	if s.tries != 1 || len(s.answers) != 1 {
		t.Errorf("%d tries, answers %v", s.tries, s.answers)
	}
}

// TestRepeatEffects: after an attempt that may have run the module's word alone starts another only where the class lets it.
func TestRepeatEffects(t *testing.T) {
	away := list(4, policy.Ready)
	away[1].Cell, away[2].Zone, away[2].Cell, away[3].Zone = 1, 1, 2, 1
	for class, want := range map[int][4]bool{safeClass: {true, true, true, true}, keyedAll: {true, true, true, true},
		keyedZone: {true, true, false, false}, keyedCell: {true, false, false, true}, unsafeClass: {}} {
		for i, m := range away {
			for _, late := range []bool{false, true} {
				r := newRigOf(t, classesText, away)
				s := &side{r: r}
				r.Open(Request{Class: class, At: "m0", Wait: 2 * time.Second}, s)
				q := r.requests[s.id]
				q.standing = false // as any other that had its attempt there
				s.ends(policy.Reset)
				if late {
					r.now += 900 * time.Millisecond
				}
				r.do(policy.Verdict{Do: policy.DoSend, ID: s.id, Server: m.ID})
				if ok := want[i] && (class == safeClass || !late); (s.tries == 2) != ok {
					t.Errorf("class %d at %s, after the window %v: %d tries", class, m.Name, late, s.tries)
				}
			}
		}
	}
}

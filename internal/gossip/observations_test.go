package gossip

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestBook: counts of the last spans, worst first, bounded, gone when they are old; what is told fits a datagram and is read
// again as it was.
func TestBook(t *testing.T) {
	var b ObservationWindow
	for i := range 100 {
		name := fmt.Sprintf("s%02d", i)
		for range i {
			b.Record(time.Second, name, fmt.Sprintf("z%d", i%3), Timeout)
		}
		b.Record(2*time.Second, name, fmt.Sprintf("z%d", i%3), Success)
	}
	d := b.Digest(3 * time.Second)
	if len(d.Zones) != 3 || len(d.Members) != maxObservations || !reflect.DeepEqual(d.Members[0], Observation{"s99", 1, 0, 99, 1000}) {
		t.Errorf("%+v", d)
	}
	m := Message{Kind: Ping, Observed: d, Updates: []Update{{Name: "n1", Addr: "127.0.0.1:1", State: Alive}}}
	text, fit := m.Append(nil, MaxDatagramSize-Overhead)
	got, err := Decode(text)
	if err != nil || fit != 1 || !reflect.DeepEqual(got.Observed, d) || len(text) > 600 {
		t.Errorf("%v, %d fit in %d bytes, %+v", err, fit, len(text), got.Observed)
	}
	if d := b.Digest(7 * time.Second); len(d.Members) != maxObservations {
		t.Error("forgotten too soon")
	}
	if d := b.Digest(20 * time.Second); len(d.Zones)+len(d.Members) != 0 {
		t.Errorf("not forgotten: %+v", d)
	}
	long := Digest{Zones: make([]Observation, maxObservations+1)}
	all := append(long.Zones[:0:0], long.Zones...)
	var raw []byte
	for range 2 { // nine zones in two halves: more than may be told
		raw = (Digest{Zones: all[:5]}).append(raw)
	}
	if _, err := decodeDigest(raw); err == nil {
		t.Error("more sights than the bound are taken")
	}
}

// TestStale: a relay asks when others stay ahead, less and less often while nothing comes of it, and not for one of several.
func TestStale(t *testing.T) {
	peer := func(generation uint64, state State) *Peer {
		return &Peer{Update: Update{State: state, Phase: Serving, Generation: generation}, LastContact: 1}
	}
	for _, c := range []struct {
		what  string
		peers []*Peer
		asks  int // in a minute
	}{
		{"nobody ahead", []*Peer{peer(7, Alive), peer(5, Alive)}, 0},
		{"one of three ahead", []*Peer{peer(9, Alive), peer(7, Alive), peer(7, Alive)}, 0},
		{"the only one ahead", []*Peer{peer(8, Alive)}, 5},
		{"two of three", []*Peer{peer(8, Alive), peer(9, Alive), peer(7, Alive)}, 5},
		{"two that are gone", []*Peer{peer(8, Gone), peer(9, Dead), peer(7, Alive)}, 0},
	} {
		var s StaleListDetector
		asks, first := 0, time.Duration(0)
		for now := time.Second; now <= time.Minute; now += 250 * time.Millisecond {
			if s.ShouldRefresh(now, 7, c.peers) {
				if asks++; asks == 1 {
					first = now
				}
			}
		}
		if asks != c.asks || asks > 0 && first != 2*time.Second {
			t.Errorf("%s: %d calls, the first after %v", c.what, asks, first)
		}
	}
	var s StaleListDetector
	for now := time.Second; now < 5*time.Second; now += 250 * time.Millisecond {
		own := uint64(7)
		if now > 1500*time.Millisecond {
			own = 8 // its own watch has told it a little later
		}
		if s.ShouldRefresh(now, own, []*Peer{peer(8, Alive)}) {
			t.Errorf("asked at %v for what it holds", now)
		}
	}
}

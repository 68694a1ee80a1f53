package gossip

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestObservationWindow: counts of the last spans, worst first, bounded, gone when they are old; the digest fits a datagram and is decoded
// as it was.
func TestObservationWindow(t *testing.T) {
	var window ObservationWindow
	for i := range 100 {
		name := fmt.Sprintf("s%02d", i)
		for range i {
			window.Record(time.Second, name, fmt.Sprintf("z%d", i%3), Timeout)
		}
		window.Record(2*time.Second, name, fmt.Sprintf("z%d", i%3), Success)
	}
	d := window.Digest(3 * time.Second)
	if len(d.Zones) != 3 || len(d.Members) != maxObservations || !reflect.DeepEqual(d.Members[0], Observation{"s99", 1, 0, 99, 1000}) {
		t.Errorf("%+v", d)
	}
	m := Message{Kind: Ping, Observed: d, Updates: []Update{{Name: "n1", Addr: "127.0.0.1:1", State: Alive}}}
	text, fit := m.Append(nil, MaxDatagramSize-Overhead)
	got, err := Decode(text)
	if err != nil || fit != 1 || !reflect.DeepEqual(got.Observed, d) || len(text) > 600 {
		t.Errorf("%v, %d fit in %d bytes, %+v", err, fit, len(text), got.Observed)
	}
	if d := window.Digest(7 * time.Second); len(d.Members) != maxObservations {
		t.Error("forgotten too soon")
	}
	if d := window.Digest(20 * time.Second); len(d.Zones)+len(d.Members) != 0 {
		t.Errorf("not forgotten: %+v", d)
	}
	oversized := Digest{Zones: make([]Observation, maxObservations+1)}
	all := append(oversized.Zones[:0:0], oversized.Zones...)
	var raw []byte
	for range 2 { // nine zones in two halves: more than a digest may have
		raw = (Digest{Zones: all[:5]}).append(raw)
	}
	if _, err := decodeDigest(raw); err == nil {
		t.Error("more sights than the bound are taken")
	}
}

package gossip

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestObservationWindow checks that a digest has the counts of the last spans, with the most failures
// first and at most maxObservations of them, and that old counts are dropped. The digest must fit into
// a datagram and survive encoding and decoding.
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
		t.Errorf("Digest = %+v, want 3 zones and %d members, the first s99 with 1 success and 99 timeouts",
			d, maxObservations)
	}
	m := Message{Kind: Ping, Observed: d, Updates: []Update{{Name: "n1", Addr: "127.0.0.1:1", State: Alive}}}
	text, fit := m.Append(nil, MaxDatagramSize-Overhead)
	got, err := Decode(text)
	if err != nil || fit != 1 || !reflect.DeepEqual(got.Observed, d) || len(text) > 600 {
		t.Errorf("message with digest: error %v, %d updates fit, %d bytes (want 1 update, at most 600 bytes), decoded %+v, want %+v",
			err, fit, len(text), got.Observed, d)
	}
	if d := window.Digest(7 * time.Second); len(d.Members) != maxObservations {
		t.Errorf("Digest 5s after the last outcome has %d members, want %d", len(d.Members), maxObservations)
	}
	if d := window.Digest(20 * time.Second); len(d.Zones)+len(d.Members) != 0 {
		t.Errorf("Digest after the window = %+v, want none", d)
	}
	oversized := Digest{Zones: make([]Observation, maxObservations+1)}
	all := append(oversized.Zones[:0:0], oversized.Zones...)
	var raw []byte
	for range 2 { // ten zones in two calls, since append encodes at most maxObservations
		raw = (Digest{Zones: all[:5]}).append(raw)
	}
	if _, err := decodeDigest(raw); err == nil {
		t.Errorf("decodeDigest accepted 10 zones, want an error above %d", maxObservations)
	}
}

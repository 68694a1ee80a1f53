package peers

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestBook: counts of the last spans, worst first, bounded, gone when they are old; what is told fits a datagram and is read
// again as it was.
func TestBook(t *testing.T) {
	var b Book
	for i := range 100 {
		name := fmt.Sprintf("s%02d", i)
		for range i {
			b.Note(time.Second, name, fmt.Sprintf("z%d", i%3), Silent)
		}
		b.Note(2*time.Second, name, fmt.Sprintf("z%d", i%3), Good)
	}
	d := b.Digest(3 * time.Second)
	if len(d.Zones) != 3 || len(d.Members) != sightsMost || !reflect.DeepEqual(d.Members[0], Sight{"s99", 1, 0, 99, 1000}) {
		t.Errorf("%+v", d)
	}
	m := Message{Kind: Ping, Seen: d, Updates: []Update{{Name: "n1", Addr: "127.0.0.1:1", State: Alive}}}
	text, fit := m.Append(nil, DatagramMost-Overhead)
	got, err := Decode(text)
	if err != nil || fit != 1 || !reflect.DeepEqual(got.Seen, d) || len(text) > 600 {
		t.Errorf("%v, %d fit in %d bytes, %+v", err, fit, len(text), got.Seen)
	}
	if d := b.Digest(7 * time.Second); len(d.Members) != sightsMost {
		t.Error("forgotten too soon")
	}
	if d := b.Digest(20 * time.Second); len(d.Zones)+len(d.Members) != 0 {
		t.Errorf("not forgotten: %+v", d)
	}
	long := Digest{Zones: make([]Sight, sightsMost+1)}
	all := append(long.Zones[:0:0], long.Zones...)
	var raw []byte
	for range 2 { // nine zones in two halves: more than may be told
		raw = (Digest{Zones: all[:5]}).append(raw)
	}
	if _, err := decodeDigest(raw); err == nil {
		t.Error("more sights than the bound are taken")
	}
}

package gossip

import (
	"testing"
	"time"
)

// TestStaleListDetector checks that a relay polls when peers stay ahead, less and less often while the
// polls bring nothing, and that one peer of several is not enough.
func TestStaleListDetector(t *testing.T) {
	peer := func(generation uint64, state State) *Peer {
		return &Peer{Update: Update{State: state, Phase: Serving, Generation: generation}, LastContact: 1}
	}
	for _, c := range []struct {
		name  string
		peers []*Peer
		polls int // within a minute
	}{
		{"no peer ahead", []*Peer{peer(7, Alive), peer(5, Alive)}, 0},
		{"one of three peers ahead", []*Peer{peer(9, Alive), peer(7, Alive), peer(7, Alive)}, 0},
		{"the only peer ahead", []*Peer{peer(8, Alive)}, 5},
		{"two of three peers ahead", []*Peer{peer(8, Alive), peer(9, Alive), peer(7, Alive)}, 5},
		{"two peers ahead that are down", []*Peer{peer(8, Gone), peer(9, Dead), peer(7, Alive)}, 0},
	} {
		var s StaleListDetector
		polls, first := 0, time.Duration(0)
		for now := time.Second; now <= time.Minute; now += 250 * time.Millisecond {
			if s.ShouldRefresh(now, 7, c.peers) {
				if polls++; polls == 1 {
					first = now
				}
			}
		}
		if polls != c.polls || polls > 0 && first != 2*time.Second {
			t.Errorf("%s: %d polls in a minute, the first at %v; want %d polls, the first at 2s", c.name, polls, first, c.polls)
		}
	}
	var s StaleListDetector
	for now := time.Second; now < 5*time.Second; now += 250 * time.Millisecond {
		own := uint64(7)
		if now > 1500*time.Millisecond {
			own = 8 // the relay's own watch has received the list a little later
		}
		if s.ShouldRefresh(now, own, []*Peer{peer(8, Alive)}) {
			t.Errorf("ShouldRefresh at %v = true although no peer has been ahead for %v", now, aheadThreshold)
		}
	}
}

package fakes

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is the way from one relay to another, for datagrams: a forwarder that can be cut, can lose, repeat and delay. A
// relay reaches its peer by it, since its configuration names the link in the place of the peer's address.
type Link struct {
	in  *net.UDPConn
	out *net.UDPConn

	mu            sync.Mutex
	rng           *rand.Rand
	cut           bool
	loss, repeat  float64
	delay, jitter time.Duration
	rate          int       // bytes a second; 0: without bound
	idle          time.Time // when what has passed is through, at that rate
	to            *net.UDPAddr
	last          []byte
	passed        int
}

// NewLink opens one on the loopback. It passes to where To says.
func NewLink(seed uint64) (*Link, error) {
	in, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(Host)})
	if err != nil {
		return nil, err
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(Host)})
	if err != nil {
		in.Close()
		return nil, err
	}
	l := &Link{in: in, out: out, rng: rand.New(rand.NewPCG(seed, 3))}
	go l.run()
	return l, nil
}

// Addr is where it takes datagrams.
func (l *Link) Addr() string { return l.in.LocalAddr().String() }

// To says where they go.
func (l *Link) To(addr string) error {
	to, err := net.ResolveUDPAddr("udp4", addr)
	l.mu.Lock()
	l.to = to
	l.mu.Unlock()
	return err
}

// Cut has nothing pass, or again all.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
}

// Rough sets which parts are lost and come twice, and how late they are, so that some overtake others.
func (l *Link) Rough(loss, repeat float64, delay, jitter time.Duration) {
	l.mu.Lock()
	l.loss, l.repeat, l.delay, l.jitter = loss, repeat, delay, jitter
	l.mu.Unlock()
}

// Rate bounds what passes in a second; what comes faster waits, for a second at most, and is lost beyond that.
func (l *Link) Rate(bytes int) {
	l.mu.Lock()
	l.rate, l.idle = bytes, time.Time{}
	l.mu.Unlock()
}

// Last is the last datagram that came, and how many have passed.
func (l *Link) Last() ([]byte, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]byte(nil), l.last...), l.passed
}

// Inject sends a datagram of the caller's own.
func (l *Link) Inject(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out.WriteToUDP(b, l.to)
}

// Close ends it.
func (l *Link) Close() {
	l.in.Close()
	l.out.Close()
}

func (l *Link) run() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := l.in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		l.mu.Lock()
		b := append([]byte(nil), buf[:n]...)
		l.last = b
		if l.cut || l.to == nil || l.rng.Float64() < l.loss {
			l.mu.Unlock()
			continue
		}
		queue := time.Duration(0)
		if now := time.Now(); l.rate > 0 {
			if l.idle.Before(now) {
				l.idle = now
			}
			if queue = l.idle.Sub(now); queue > time.Second {
				l.mu.Unlock()
				continue
			}
			l.idle = l.idle.Add(time.Duration(float64(n) / float64(l.rate) * float64(time.Second)))
		}
		l.passed++
		copies := 1
		if l.rng.Float64() < l.repeat {
			copies = 2
		}
		to := l.to
		for range copies {
			if wait := queue + l.delay + time.Duration(l.rng.Float64()*float64(l.jitter)); wait > 0 {
				time.AfterFunc(wait, func() { l.out.WriteToUDP(b, to) })
			} else {
				l.out.WriteToUDP(b, to)
			}
		}
		l.mu.Unlock()
	}
}

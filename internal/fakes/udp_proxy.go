package fakes

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// UDPProxy is the way from one relay to another, for datagrams: a forwarder that can be cut, can lose, repeat and delay. A
// relay reaches its peer by it, since its configuration names the link in the place of the peer's address.
type UDPProxy struct {
	in  *net.UDPConn
	out *net.UDPConn

	mu                sync.Mutex
	rng               *rand.Rand
	cut               bool
	loss, duplication float64
	delay, jitter     time.Duration
	rate              int       // bytes a second; 0: without bound
	idleAt            time.Time // when what has passed is through, at that rate
	target            *net.UDPAddr
	last              []byte
	forwarded         int
}

// NewUDPProxy opens one on the loopback. It passes to where To says.
func NewUDPProxy(seed uint64) (*UDPProxy, error) {
	in, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(Host)})
	if err != nil {
		return nil, err
	}
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(Host)})
	if err != nil {
		in.Close()
		return nil, err
	}
	l := &UDPProxy{in: in, out: out, rng: rand.New(rand.NewPCG(seed, 3))}
	go l.run()
	return l, nil
}

// Addr is where it takes datagrams.
func (l *UDPProxy) Addr() string { return l.in.LocalAddr().String() }

// To says where they go.
func (l *UDPProxy) SetTarget(addr string) error {
	to, err := net.ResolveUDPAddr("udp4", addr)
	l.mu.Lock()
	l.target = to
	l.mu.Unlock()
	return err
}

// SetCut has nothing pass, or again all.
func (l *UDPProxy) SetCut(cut bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
}

// ReportError sets which parts are lost and come twice, and how late they are, so that some overtake others.
func (l *UDPProxy) SetImpairment(loss, repeat float64, delay, jitter time.Duration) {
	l.mu.Lock()
	l.loss, l.duplication, l.delay, l.jitter = loss, repeat, delay, jitter
	l.mu.Unlock()
}

// SetRate bounds what passes in a second; what comes faster waits, for a second at most, and is lost beyond that.
func (l *UDPProxy) SetRate(bytes int) {
	l.mu.Lock()
	l.rate, l.idleAt = bytes, time.Time{}
	l.mu.Unlock()
}

// Last is the last datagram that came, and how many have passed.
func (l *UDPProxy) Last() ([]byte, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]byte(nil), l.last...), l.forwarded
}

// Inject sends a datagram of the caller's own.
func (l *UDPProxy) Inject(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out.WriteToUDP(b, l.target)
}

// Close ends it.
func (l *UDPProxy) Close() {
	l.in.Close()
	l.out.Close()
}

func (l *UDPProxy) run() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := l.in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		l.mu.Lock()
		b := append([]byte(nil), buf[:n]...)
		l.last = b
		if l.cut || l.target == nil || l.rng.Float64() < l.loss {
			l.mu.Unlock()
			continue
		}
		queue := time.Duration(0)
		if now := time.Now(); l.rate > 0 {
			if l.idleAt.Before(now) {
				l.idleAt = now
			}
			if queue = l.idleAt.Sub(now); queue > time.Second {
				l.mu.Unlock()
				continue
			}
			l.idleAt = l.idleAt.Add(time.Duration(float64(n) / float64(l.rate) * float64(time.Second)))
		}
		l.forwarded++
		copies := 1
		if l.rng.Float64() < l.duplication {
			copies = 2
		}
		to := l.target
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

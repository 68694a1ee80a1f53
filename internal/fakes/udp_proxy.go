package fakes

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	maxDatagram = 64 << 10 // bytes
	// maxRateDelay is the longest delay that the rate limit may cause. Datagrams that would have to
	// wait longer are dropped.
	maxRateDelay = time.Second
	// udpProxyStream separates a proxy's random numbers from others that use the same seed.
	udpProxyStream = 3
)

// UDPProxy forwards datagrams from one relay to another, and can drop, duplicate, delay and throttle
// them. The sending relay's configuration contains the proxy's address in place of the other relay's.
type UDPProxy struct {
	in      *net.UDPConn
	out     *net.UDPConn
	stopped sync.WaitGroup

	mu                sync.Mutex
	rng               *rand.Rand
	cut               bool
	loss, duplication float64
	delay, jitter     time.Duration
	rate              int       // bytes per second; 0: unlimited
	idleAt            time.Time // when all datagrams accepted so far have been sent, under the rate limit
	target            *net.UDPAddr
	last              []byte
	forwarded         int
}

// NewUDPProxy opens a proxy that listens on Host. It drops all datagrams until SetTarget is called.
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
	p := &UDPProxy{in: in, out: out, rng: rand.New(rand.NewPCG(seed, udpProxyStream))}
	p.stopped.Go(p.run)
	return p, nil
}

// Addr returns the address at which the proxy receives datagrams.
func (p *UDPProxy) Addr() string { return p.in.LocalAddr().String() }

// SetTarget sets the address that datagrams are forwarded to.
func (p *UDPProxy) SetTarget(addr string) error {
	target, err := net.ResolveUDPAddr("udp4", addr)
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	return err
}

// SetCut sets whether the proxy drops all datagrams.
func (p *UDPProxy) SetCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
}

// SetImpairment sets the fractions of the datagrams that are lost and duplicated, and their delay.
// Jitter is the upper bound of a random addition to the delay, which can reorder datagrams.
func (p *UDPProxy) SetImpairment(loss, duplication float64, delay, jitter time.Duration) {
	p.mu.Lock()
	p.loss, p.duplication, p.delay, p.jitter = loss, duplication, delay, jitter
	p.mu.Unlock()
}

// SetRate limits the bytes forwarded per second; 0 means unlimited. Datagrams beyond the limit are
// delayed, or dropped if the delay would exceed maxRateDelay.
func (p *UDPProxy) SetRate(bytes int) {
	p.mu.Lock()
	p.rate, p.idleAt = bytes, time.Time{}
	p.mu.Unlock()
}

// Last returns the last datagram received and the number of datagrams forwarded.
func (p *UDPProxy) Last() ([]byte, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]byte(nil), p.last...), p.forwarded
}

// Inject sends a datagram with the given content to the target.
func (p *UDPProxy) Inject(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out.WriteToUDP(b, p.target)
}

// Close stops the proxy and waits until it no longer reads.
func (p *UDPProxy) Close() {
	p.in.Close()
	p.out.Close()
	p.stopped.Wait()
}

// run forwards datagrams until the proxy is closed.
func (p *UDPProxy) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := p.in.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p.forward(append([]byte(nil), buf[:n]...))
	}
}

func (p *UDPProxy) forward(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last = b
	if p.cut || p.target == nil || p.rng.Float64() < p.loss {
		return
	}
	wait, ok := p.reserve(len(b))
	if !ok {
		return
	}
	p.forwarded++
	copies := 1
	if p.rng.Float64() < p.duplication {
		copies = 2
	}
	target := p.target
	for range copies {
		if delay := wait + p.delay + time.Duration(p.rng.Float64()*float64(p.jitter)); delay > 0 {
			time.AfterFunc(delay, func() { p.out.WriteToUDP(b, target) })
		} else {
			p.out.WriteToUDP(b, target)
		}
	}
}

// reserve returns how long a datagram of the given size must wait under the rate limit. It returns
// false if the datagram must be dropped. The caller holds the lock.
func (p *UDPProxy) reserve(size int) (wait time.Duration, ok bool) {
	if p.rate <= 0 {
		return 0, true
	}
	now := time.Now()
	if p.idleAt.Before(now) {
		p.idleAt = now
	}
	if wait = p.idleAt.Sub(now); wait > maxRateDelay {
		return 0, false
	}
	p.idleAt = p.idleAt.Add(time.Duration(float64(size) / float64(p.rate) * float64(time.Second)))
	return wait, true
}

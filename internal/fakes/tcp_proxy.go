package fakes

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ReportError is what a way does to what passes.
type Impairment struct {
	Cut    bool          // nothing passes, and nothing is said
	Delay  time.Duration // each way on its own
	Jitter time.Duration // up to so much more, drawn for each piece
	Rate   int           // bytes a second; 0: without bound
}

// TCPProxy is the way to somebody who takes connections: a forwarder that can be cut, also one way only, delayed, throttled,
// and that can reset what passes by it. While it is cut new connections neither come up nor are refused, as with a machine that is cut off.
type TCPProxy struct {
	// OnCallerClosed is called, if set, when the calling side has ended a connection, with the address that the other side sees
	// it from: behind a cut, the other side does not learn of it.
	OnCallerClosed func(from string)

	l              net.Listener
	accepted       atomic.Int64 // connections
	mu             sync.Mutex
	target         string
	directions     [2]Impairment // there and back
	changed        chan struct{}
	conns          map[net.Conn]bool
	stalledConns   map[net.Conn]bool // of them, those that were stalled
	backlogFillers []net.Conn        // what keeps the listener's queue full while it is cut
}

// maxQueuedReads are how many reads may wait in a cut way, 16 KB each.
const maxQueuedReads = 16

// NewTCPProxy opens one on the loopback that passes to an address. Its field is set before the first connection.
func NewTCPProxy(to string) (*TCPProxy, error) {
	l, err := net.Listen("tcp", Host+":0")
	if err != nil {
		return nil, err
	}
	p := &TCPProxy{l: l, target: to, changed: make(chan struct{}), conns: map[net.Conn]bool{}, stalledConns: map[net.Conn]bool{}}
	go func() {
		for {
			p.waitUntilOpen(0)
			p.waitUntilOpen(1) // a handshake needs both
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.forward(c)
		}
	}()
	return p, nil
}

// Addr is where it takes connections.
func (p *TCPProxy) Addr() string { return p.l.Addr().String() }

// SetMode says what both ways do from now on.
func (p *TCPProxy) SetImpairment(there, back Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directions = [2]Impairment{there, back}
	p.blockBacklog(there.Cut || back.Cut)
	close(p.changed)
	p.changed = make(chan struct{})
}

// blockBacklog has the kernel drop what knocks: a listener whose queue is full says nothing. It needs no privileges.
func (p *TCPProxy) blockBacklog(on bool) {
	if on == (p.backlogFillers != nil) {
		return
	}
	backlog := 0
	if !on {
		backlog = 128
	}
	if raw, err := p.l.(*net.TCPListener).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
	if !on {
		for _, c := range p.backlogFillers {
			c.Close()
		}
		p.backlogFillers = nil
		return
	}
	p.backlogFillers = []net.Conn{}
	taken := p.accepted.Load()
	for misses := 0; misses < 2 && len(p.backlogFillers) < 16; { // one that fails may be this machine's own slowness
		c, err := net.DialTimeout("tcp", p.Addr(), 100*time.Millisecond)
		if err != nil {
			misses++
			continue
		}
		misses = 0
		p.backlogFillers = append(p.backlogFillers, c)
		// The accepting side takes one more, and frees its place, before it finds that the way is cut.
		for end := time.Now().Add(200 * time.Millisecond); len(p.backlogFillers) == 1 && p.accepted.Load() == taken && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

// isBacklogFiller says whether the pipe itself made a connection.
func (p *TCPProxy) isBacklogFiller(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.backlogFillers {
		if f.LocalAddr().String() == c.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// Reset resets all that passes by it now.
func (p *TCPProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Stall has nothing more pass on the connections that are open now, ever, as where something on the way has forgotten them. New ones pass.
func (p *TCPProxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.stalledConns[c] = true
	}
}

// Close ends it.
func (p *TCPProxy) Close() {
	p.l.Close()
	p.Reset()
	p.SetImpairment(Impairment{}, Impairment{})
}

func (p *TCPProxy) track(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
}

func (p *TCPProxy) closeAndForget(c net.Conn) {
	c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.stalledConns, c)
	p.mu.Unlock()
}

// waitUntilOpen waits until a way is not cut.
func (p *TCPProxy) waitUntilOpen(way int) Impairment {
	for {
		p.mu.Lock()
		r, on := p.directions[way], p.changed
		p.mu.Unlock()
		if !r.Cut {
			return r
		}
		<-on
	}
}

func (p *TCPProxy) isStalled(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalledConns[c]
}

func (p *TCPProxy) isCut(way int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directions[way].Cut
}

func (p *TCPProxy) forward(c net.Conn) {
	p.track(c)
	defer p.closeAndForget(c)
	if p.isBacklogFiller(c) {
		return
	}
	o, err := net.Dial("tcp", p.target)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	p.track(o)
	defer p.closeAndForget(o)
	var both sync.WaitGroup
	both.Add(2)
	from := o.LocalAddr().String()
	go func() { defer both.Done(); p.copyDirection(0, o, c, func() { p.callerClosed(from) }) }()
	go func() { defer both.Done(); p.copyDirection(1, c, o, nil) }()
	both.Wait()
}

func (p *TCPProxy) callerClosed(from string) {
	if p.OnCallerClosed != nil {
		p.OnCallerClosed(from)
	}
}

// copyDirection carries one way. What was read waits behind a cut; the end of the reading side is noticed all the same.
func (p *TCPProxy) copyDirection(way int, to, from net.Conn, ended func()) {
	read := make(chan []byte, maxQueuedReads)
	var failed error
	var over atomic.Bool
	go func() {
		defer close(read)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				read <- b[:n]
			}
			if err != nil {
				failed = err
				over.Store(true)
				if ended != nil && !errors.Is(err, net.ErrClosed) { // else the pipe has closed it, after the other side
					ended()
				}
				return
			}
		}
	}()
	for b := range read {
		behind := p.isCut(way)
		r := p.waitUntilOpen(way)
		if behind && over.Load() {
			break // what one side had sent and then gave up behind a cut is not delivered later
		}
		wait := r.Delay + time.Duration(rand.Float64()*float64(r.Jitter))
		if r.Rate > 0 {
			wait += time.Duration(float64(len(b)) / float64(r.Rate) * float64(time.Second))
		}
		time.Sleep(wait)
		if p.isStalled(to) {
			continue
		}
		if _, err := to.Write(b); err != nil {
			from.Close()
		}
	}
	p.waitUntilOpen(way)
	if errors.Is(failed, io.EOF) {
		to.(*net.TCPConn).CloseWrite()
		return
	}
	to.(*net.TCPConn).SetLinger(0) // a reset passes as one
	to.Close()
}

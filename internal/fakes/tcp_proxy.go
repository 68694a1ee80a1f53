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

// Impairment is what a TCPProxy does to one direction of its connections.
type Impairment struct {
	Cut    bool          // nothing is forwarded, and neither side is notified
	Delay  time.Duration // in this direction only
	Jitter time.Duration // upper bound of a random addition to Delay, drawn for each read
	Rate   int           // bytes per second; 0: unlimited
}

// direction is one way through a TCPProxy.
type direction int

const (
	forward  direction = iota // from the caller to the target
	backward                  // from the target to the caller
	directions
)

const (
	// maxQueuedReads is how many reads of one connection may wait while the direction is cut.
	maxQueuedReads = 16
	readSize       = 16 << 10 // bytes
)

// TCPProxy forwards TCP connections to a target. It can cut one direction or both, delay and throttle
// the traffic, stall the connections and reset them. While a direction is cut, new connections are
// neither established nor refused, as if the target's machine could not be reached.
type TCPProxy struct {
	// OnCallerClosed is called, if set, when the caller has ended a connection. Its argument is the
	// remote address of the connection as the target sees it. During a cut the target itself does
	// not observe the end. OnCallerClosed must be set before the first connection.
	OnCallerClosed func(from string)

	listener       net.Listener
	accepted       atomic.Int64
	mu             sync.Mutex
	target         string
	impairments    [directions]Impairment
	changed        chan struct{} // closed and replaced when impairments change
	conns          map[net.Conn]bool
	stalledConns   map[net.Conn]bool // a subset of conns
	backlogFillers []net.Conn        // fill the listener's accept queue while a direction is cut; otherwise nil
}

// NewTCPProxy opens a proxy to the target. The proxy listens on Host.
func NewTCPProxy(target string) (*TCPProxy, error) {
	l, err := net.Listen("tcp", Host+":0")
	if err != nil {
		return nil, err
	}
	p := &TCPProxy{listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}, stalledConns: map[net.Conn]bool{}}
	go p.acceptConns()
	return p, nil
}

// acceptConns serves connections until the proxy is closed.
func (p *TCPProxy) acceptConns() {
	for {
		p.waitUntilOpen(forward)
		p.waitUntilOpen(backward) // a handshake needs both directions
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		go p.serve(c)
	}
}

// Addr returns the address at which the proxy accepts connections.
func (p *TCPProxy) Addr() string { return p.listener.Addr().String() }

// SetImpairment sets the impairments of the two directions: there from the caller to the target, back
// from the target to the caller.
func (p *TCPProxy) SetImpairment(there, back Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairments = [directions]Impairment{there, back}
	p.blockBacklog(there.Cut || back.Cut)
	close(p.changed)
	p.changed = make(chan struct{})
}

// Lengths of the listener's accept queue.
const (
	cutBacklog  = 0
	openBacklog = 128
)

const (
	maxBacklogFillers = 16
	// fillTimeout is the dial timeout of a filler. The accept queue counts as full after two
	// consecutive timeouts.
	fillTimeout = 100 * time.Millisecond
	// acceptTimeout is how long blockBacklog waits for a blocked Accept to return the first filler.
	acceptTimeout = 200 * time.Millisecond
)

// blockBacklog starts or stops the dropping of new handshakes. It fills the listener's accept queue,
// so that the kernel drops further handshakes, which needs no privileges. The caller holds the lock.
func (p *TCPProxy) blockBacklog(block bool) {
	if block == (p.backlogFillers != nil) {
		return
	}
	backlog := cutBacklog
	if !block {
		backlog = openBacklog
	}
	if raw, err := p.listener.(*net.TCPListener).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) })
	}
	if !block {
		for _, c := range p.backlogFillers {
			c.Close()
		}
		p.backlogFillers = nil
		return
	}
	p.backlogFillers = []net.Conn{}
	accepted := p.accepted.Load()
	// A single timeout may be due to a slow machine.
	for misses := 0; misses < 2 && len(p.backlogFillers) < maxBacklogFillers; {
		c, err := net.DialTimeout("tcp", p.Addr(), fillTimeout)
		if err != nil {
			misses++
			continue
		}
		misses = 0
		p.backlogFillers = append(p.backlogFillers, c)
		// The accept loop may already be blocked in Accept. It then accepts one more connection, which
		// frees a place in the queue, before it notices the cut.
		for end := time.Now().Add(acceptTimeout); len(p.backlogFillers) == 1 && p.accepted.Load() == accepted && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

// isBacklogFiller reports whether the proxy itself opened an accepted connection, in blockBacklog.
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

// Reset resets all open connections.
func (p *TCPProxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Stall permanently stops forwarding on the open connections without notifying either side, as when a
// middlebox has lost their state. New connections are forwarded.
func (p *TCPProxy) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.stalledConns[c] = true
	}
}

// Close stops the proxy and resets its connections.
func (p *TCPProxy) Close() {
	p.listener.Close()
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

// waitUntilOpen blocks while a direction is cut, then returns its current impairment.
func (p *TCPProxy) waitUntilOpen(d direction) Impairment {
	for {
		p.mu.Lock()
		impairment, changed := p.impairments[d], p.changed
		p.mu.Unlock()
		if !impairment.Cut {
			return impairment
		}
		<-changed
	}
}

func (p *TCPProxy) isStalled(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stalledConns[c]
}

func (p *TCPProxy) isCut(d direction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairments[d].Cut
}

// serve forwards the connection of a caller to the target until both directions have ended.
func (p *TCPProxy) serve(caller net.Conn) {
	p.track(caller)
	defer p.closeAndForget(caller)
	if p.isBacklogFiller(caller) {
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		caller.(*net.TCPConn).SetLinger(0)
		return
	}
	p.track(target)
	defer p.closeAndForget(target)
	var both sync.WaitGroup
	from := target.LocalAddr().String()
	both.Go(func() { p.copyDirection(forward, target, caller, func() { p.callerClosed(from) }) })
	both.Go(func() { p.copyDirection(backward, caller, target, nil) })
	both.Wait()
}

func (p *TCPProxy) callerClosed(from string) {
	if p.OnCallerClosed != nil {
		p.OnCallerClosed(from)
	}
}

// copyDirection forwards one direction of a connection. During a cut it keeps reading and queues the
// data, so that it notices when the sender ends the connection. If onReadEnd is not nil, it is called
// at that end, unless the proxy itself closed the connection.
func (p *TCPProxy) copyDirection(d direction, to, from net.Conn, onReadEnd func()) {
	read := make(chan []byte, maxQueuedReads)
	var readErr error
	var readEnded atomic.Bool
	go func() {
		defer close(read)
		for {
			b := make([]byte, readSize)
			n, err := from.Read(b)
			if n > 0 {
				read <- b[:n]
			}
			if err != nil {
				readErr = err
				readEnded.Store(true)
				if onReadEnd != nil && !errors.Is(err, net.ErrClosed) { // ErrClosed: closed by the proxy itself
					onReadEnd()
				}
				return
			}
		}
	}()
	for b := range read {
		wasCut := p.isCut(d)
		impairment := p.waitUntilOpen(d)
		if wasCut && readEnded.Load() {
			break // the sender ended the connection during the cut: its data is not delivered later
		}
		wait := impairment.Delay + time.Duration(rand.Float64()*float64(impairment.Jitter))
		if impairment.Rate > 0 {
			wait += time.Duration(float64(len(b)) / float64(impairment.Rate) * float64(time.Second))
		}
		time.Sleep(wait)
		if p.isStalled(to) {
			continue
		}
		if _, err := to.Write(b); err != nil {
			from.Close()
		}
	}
	p.waitUntilOpen(d)
	if errors.Is(readErr, io.EOF) {
		to.(*net.TCPConn).CloseWrite()
		return
	}
	to.(*net.TCPConn).SetLinger(0) // forwards a reset as a reset
	to.Close()
}

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

// Rough is what a way does to what passes.
type Rough struct {
	Cut    bool          // nothing passes, and nothing is said
	Delay  time.Duration // each way on its own
	Jitter time.Duration // up to so much more, drawn for each piece
	Rate   int           // bytes a second; 0: without bound
}

// Pipe is the way to somebody who takes connections: a forwarder that can be cut, also one way only, delayed, throttled,
// and that can reset what passes by it. While it is cut new connections neither come up nor are refused, as with a machine that is cut off.
type Pipe struct {
	// Gone is called, if set, when the calling side has ended a connection, with the address that the other side sees
	// it from: behind a cut, the other side does not learn of it.
	Gone func(from string)

	l     net.Listener
	taken atomic.Int64 // connections
	mu    sync.Mutex
	to    string
	way   [2]Rough // there and back
	on    chan struct{}
	all   map[net.Conn]bool
	stuck map[net.Conn]bool // of them, those that were stalled
	fill  []net.Conn        // what keeps the listener's queue full while it is cut
}

// pieces are how many reads may wait in a cut way, 16 KB each.
const pieces = 16

// NewPipe opens one on the loopback that passes to an address. Its field is set before the first connection.
func NewPipe(to string) (*Pipe, error) {
	l, err := net.Listen("tcp", Host+":0")
	if err != nil {
		return nil, err
	}
	p := &Pipe{l: l, to: to, on: make(chan struct{}), all: map[net.Conn]bool{}, stuck: map[net.Conn]bool{}}
	go func() {
		for {
			p.open(0)
			p.open(1) // a handshake needs both
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.taken.Add(1)
			go p.pass(c)
		}
	}()
	return p, nil
}

// Addr is where it takes connections.
func (p *Pipe) Addr() string { return p.l.Addr().String() }

// Set says what both ways do from now on.
func (p *Pipe) Set(there, back Rough) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = [2]Rough{there, back}
	p.block(there.Cut || back.Cut)
	close(p.on)
	p.on = make(chan struct{})
}

// block has the kernel drop what knocks: a listener whose queue is full says nothing. It needs no privileges.
func (p *Pipe) block(on bool) {
	if on == (p.fill != nil) {
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
		for _, c := range p.fill {
			c.Close()
		}
		p.fill = nil
		return
	}
	p.fill = []net.Conn{}
	taken := p.taken.Load()
	for misses := 0; misses < 2 && len(p.fill) < 16; { // one that fails may be this machine's own slowness
		c, err := net.DialTimeout("tcp", p.Addr(), 100*time.Millisecond)
		if err != nil {
			misses++
			continue
		}
		misses = 0
		p.fill = append(p.fill, c)
		// The accepting side takes one more, and frees its place, before it finds that the way is cut.
		for end := time.Now().Add(200 * time.Millisecond); len(p.fill) == 1 && p.taken.Load() == taken && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

// filler says whether the pipe itself made a connection.
func (p *Pipe) filler(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.fill {
		if f.LocalAddr().String() == c.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// Reset resets all that passes by it now.
func (p *Pipe) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Stall has nothing more pass on the connections that are open now, ever, as where something on the way has forgotten them. New ones pass.
func (p *Pipe) Stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		p.stuck[c] = true
	}
}

// Close ends it.
func (p *Pipe) Close() {
	p.l.Close()
	p.Reset()
	p.Set(Rough{}, Rough{})
}

func (p *Pipe) keep(c net.Conn) {
	p.mu.Lock()
	p.all[c] = true
	p.mu.Unlock()
}

func (p *Pipe) drop(c net.Conn) {
	c.Close()
	p.mu.Lock()
	delete(p.all, c)
	delete(p.stuck, c)
	p.mu.Unlock()
}

// open waits until a way is not cut.
func (p *Pipe) open(way int) Rough {
	for {
		p.mu.Lock()
		r, on := p.way[way], p.on
		p.mu.Unlock()
		if !r.Cut {
			return r
		}
		<-on
	}
}

func (p *Pipe) stalled(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stuck[c]
}

func (p *Pipe) cut(way int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way[way].Cut
}

func (p *Pipe) pass(c net.Conn) {
	p.keep(c)
	defer p.drop(c)
	if p.filler(c) {
		return
	}
	o, err := net.Dial("tcp", p.to)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0)
		return
	}
	p.keep(o)
	defer p.drop(o)
	var both sync.WaitGroup
	both.Add(2)
	from := o.LocalAddr().String()
	go func() { defer both.Done(); p.pump(0, o, c, func() { p.gone(from) }) }()
	go func() { defer both.Done(); p.pump(1, c, o, nil) }()
	both.Wait()
}

func (p *Pipe) gone(from string) {
	if p.Gone != nil {
		p.Gone(from)
	}
}

// pump carries one way. What was read waits behind a cut; the end of the reading side is noticed all the same.
func (p *Pipe) pump(way int, to, from net.Conn, ended func()) {
	read := make(chan []byte, pieces)
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
		behind := p.cut(way)
		r := p.open(way)
		if behind && over.Load() {
			break // what one side had sent and then gave up behind a cut is not delivered later
		}
		wait := r.Delay + time.Duration(rand.Float64()*float64(r.Jitter))
		if r.Rate > 0 {
			wait += time.Duration(float64(len(b)) / float64(r.Rate) * float64(time.Second))
		}
		time.Sleep(wait)
		if p.stalled(to) {
			continue
		}
		if _, err := to.Write(b); err != nil {
			from.Close()
		}
	}
	p.open(way)
	if errors.Is(failed, io.EOF) {
		to.(*net.TCPConn).CloseWrite()
		return
	}
	to.(*net.TCPConn).SetLinger(0) // a reset passes as one
	to.Close()
}

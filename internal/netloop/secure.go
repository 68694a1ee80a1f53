package netloop

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// handshakes is how many TLS handshakes may be under way at once; each has a goroutine, and a peer
// may be slow on purpose. Who comes beyond that is refused at once.
const handshakes = 64

// recordMost is how much of a peer's TLS bytes is kept undecrypted.
const recordMost = 64 << 10

// ErrHandshakes is how a connection ends for which there is no handshake to be had.
var ErrHandshakes = errors.New("too many TLS handshakes")

// secure is the TLS side of a connection. The handshake runs in a goroutine on a connection in
// memory, which the loop feeds; after it only the loop calls the TLS state, on the same
// connection in memory, whose Read no longer blocks.
type secure struct {
	c      *Conn
	t      *tls.Conn
	raw    rawPipe
	cipher store // encrypted and unsent
	up     bool
	within *Timer
	byed   bool // the peer was told that nothing more comes
}

// StartTLS has all further bytes go by TLS: what was written before leaves as it is. Done is called
// from the loop once the handshake has succeeded; if it fails the handler is told by End.
func (c *Conn) StartTLS(cfg *tls.Config, client bool, within time.Duration, done func(tls.ConnectionState)) {
	if c.fd < 0 || c.sec != nil || c.failing != nil {
		return
	}
	if c.l.shaking >= handshakes {
		c.later(ErrHandshakes)
		return
	}
	c.l.shaking++
	s := &secure{c: c}
	s.raw.arrived = sync.NewCond(&s.raw.mu)
	s.raw.send = func(b []byte) {
		c.l.Post(func() {
			if c.sec == s && c.fd >= 0 {
				s.cipher.add(c.l, b)
				c.flush()
				c.update()
			}
		})
	}
	if client {
		s.t = tls.Client(&s.raw, cfg)
	} else {
		s.t = tls.Server(&s.raw, cfg)
	}
	s.cipher, c.out = c.out, store{}
	if c.in.size() > 0 { // the peer was quicker
		s.raw.feed(c.in.data())
		c.in.free(c.l)
	}
	c.sec, c.resting = s, false
	s.within = c.l.After(within, func() { c.fail(ErrDialTimeout) })
	c.update()
	go func() {
		err := s.t.Handshake()
		c.l.Post(func() { s.shaken(err, done) })
	}()
}

// IsTLS says whether the connection speaks TLS.
func (c *Conn) IsTLS() bool { return c.sec != nil && c.sec.up }

// shaken takes the connection over from the handshake's goroutine.
func (s *secure) shaken(err error, done func(tls.ConnectionState)) {
	c := s.c
	c.l.shaking--
	s.within.Stop()
	if c.sec != s || c.fd < 0 {
		return
	}
	if err != nil {
		if s.cipher.size() > 0 {
			c.flush() // the alert that says why
		}
		c.fail(err)
		return
	}
	s.up = true
	s.raw.mu.Lock()
	s.raw.polled = true
	s.raw.send = func(b []byte) { s.cipher.add(c.l, b) }
	s.raw.mu.Unlock()
	done(s.t.ConnectionState())
	c.flush()
	s.read()
	c.update()
}

// take feeds bytes that came.
func (s *secure) take(b []byte) {
	s.raw.feed(b)
	if s.up {
		s.read()
	} else if s.raw.size() > recordMost {
		s.c.fail(errors.New("too much before the end of a TLS handshake"))
	}
}

// read decrypts what has come and hands it on, while the handler takes it.
func (s *secure) read() {
	c := s.c
	if c.l.plain == nil {
		c.l.plain = make([]byte, 16<<10) // a record is no longer
	}
	chunk := c.l.plain
	for s.up && c.fd >= 0 && !c.resting && c.in.size() < c.inMost {
		n, err := s.t.Read(chunk)
		if n > 0 && !c.ending {
			c.takePlain(chunk[:n])
		}
		if c.fd < 0 || err == nil {
			continue
		}
		var late net.Error
		switch {
		case errors.As(err, &late) && late.Timeout():
		case err == io.EOF:
			c.heardEnd()
		default:
			c.fail(err)
		}
		return
	}
}

// write encrypts what waits, as far as the kernel may take it soon.
func (s *secure) write() error {
	c := s.c
	for s.up && c.out.size() > 0 && s.cipher.size() < DefaultWriteLimit {
		b := c.out.data()
		n, err := s.t.Write(b[:min(len(b), 16<<10)])
		c.out.drop(c.l, n)
		if err != nil {
			return err
		}
	}
	return nil
}

// bye tells the peer that nothing more comes, and says whether there was anything to tell.
func (s *secure) bye() bool {
	if s.byed || !s.up {
		return false
	}
	s.byed = true
	s.t.CloseWrite()
	return s.cipher.size() > 0
}

// end gives back what the connection held, and the handshake's goroutine ends.
func (s *secure) end() {
	s.within.Stop()
	s.cipher.free(s.c.l)
	s.raw.Close()
}

// rawPipe is the connection in memory under the TLS state.
type rawPipe struct {
	mu      sync.Mutex
	arrived *sync.Cond
	in      []byte
	over    bool
	polled  bool // Read does not wait: only the loop reads now
	send    func(b []byte)
}

func (p *rawPipe) feed(b []byte) {
	p.mu.Lock()
	p.in = append(p.in, b...)
	p.mu.Unlock()
	p.arrived.Signal()
}

func (p *rawPipe) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.in)
}

// Read is the TLS state's.
func (p *rawPipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 {
		switch {
		case p.over:
			return 0, io.EOF
		case p.polled:
			return 0, errLater{}
		}
		p.arrived.Wait()
	}
	n := copy(b, p.in)
	if p.in = p.in[n:]; len(p.in) == 0 {
		p.in = nil
	}
	return n, nil
}

// Write is the TLS state's.
func (p *rawPipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	over, polled, send := p.over, p.polled, p.send
	p.mu.Unlock()
	if over {
		return 0, net.ErrClosed
	}
	if !polled {
		b = append([]byte(nil), b...) // the loop sends it later
	}
	send(b)
	return len(b), nil
}

// Close has a waiting handshake end.
func (p *rawPipe) Close() error {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	p.arrived.Broadcast()
	return nil
}

// The rest of net.Conn, which the TLS state does not need here.
func (p *rawPipe) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (p *rawPipe) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (p *rawPipe) SetDeadline(time.Time) error      { return nil }
func (p *rawPipe) SetReadDeadline(time.Time) error  { return nil }
func (p *rawPipe) SetWriteDeadline(time.Time) error { return nil }

// errLater says that nothing has come yet. The TLS state keeps what it has over a temporary
// error, and goes on with the next Read.
type errLater struct{}

func (errLater) Error() string   { return "nothing has come yet" }
func (errLater) Timeout() bool   { return true }
func (errLater) Temporary() bool { return true }

package netloop

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// maxHandshakes is how many TLS handshakes may be in progress at once. The limit bounds the number of
// goroutines, because a peer may delay its handshake on purpose. Further handshakes fail at once.
const maxHandshakes = 64

// maxUndecrypted is how many bytes from the peer are buffered during a handshake. A peer that sends
// more is disconnected.
const maxUndecrypted = 64 << 10

// ErrHandshakes is reported by a connection whose TLS handshake cannot start because maxHandshakes
// are in progress.
var ErrHandshakes = errors.New("too many TLS handshakes in progress")

// tlsState is the TLS layer of a connection. The handshake runs in a goroutine of its own, on an
// in-memory pipe that the loop feeds. The goroutine ends when the handshake is complete or the pipe
// is closed. After that only the loop uses the TLS connection, with the pipe in non-blocking mode.
type tlsState struct {
	conn            *Conn
	tls             *tls.Conn
	transport       memoryPipe
	encrypted       buffer // encrypted bytes that are not sent
	established     bool   // the handshake has succeeded
	handshakeTimer  *Timer
	closeNotifySent bool // close_notify was sent: the peer knows that no more data follows
}

// StartTLS switches the connection to TLS. Bytes written before are sent unencrypted. onEstablished
// is called from the loop when the handshake succeeds. If it fails or takes longer than timeout,
// the handler's End is called.
func (c *Conn) StartTLS(cfg *tls.Config, client bool, timeout time.Duration, onEstablished func(tls.ConnectionState)) {
	if c.fd < 0 || c.tls != nil || c.failTimer != nil {
		return
	}
	if c.loop.handshakes >= maxHandshakes {
		c.failLater(ErrHandshakes)
		return
	}
	c.loop.handshakes++
	s := &tlsState{conn: c}
	s.transport.readable = sync.NewCond(&s.transport.mu)
	s.transport.send = func(b []byte) {
		c.loop.Post(func() {
			if c.tls == s && c.fd >= 0 {
				s.encrypted.append(c.loop, b)
				c.flush()
				c.updateInterest()
			}
		})
	}
	if client {
		s.tls = tls.Client(&s.transport, cfg)
	} else {
		s.tls = tls.Server(&s.transport, cfg)
	}
	s.encrypted, c.unsentBuf = c.unsentBuf, buffer{}
	if c.unread.size() > 0 { // the peer has already started its handshake
		s.transport.feed(c.unread.data())
		c.unread.free(c.loop)
	}
	c.tls, c.readPaused = s, false
	s.handshakeTimer = c.loop.After(timeout, func() { c.fail(ErrDialTimeout) })
	c.updateInterest()
	c.loop.handshakeGoroutines.Go(func() {
		err := s.tls.Handshake()
		c.loop.Post(func() { s.finishHandshake(err, onEstablished) })
	})
}

// IsTLS reports whether the TLS handshake has succeeded.
func (c *Conn) IsTLS() bool { return c.tls != nil && c.tls.established }

// finishHandshake hands the TLS connection from the handshake's goroutine to the loop.
func (s *tlsState) finishHandshake(err error, onEstablished func(tls.ConnectionState)) {
	c := s.conn
	c.loop.handshakes--
	s.handshakeTimer.Stop()
	if c.tls != s || c.fd < 0 {
		return
	}
	if err != nil {
		if s.encrypted.size() > 0 {
			c.flush() // sends the TLS alert with the reason of the failure
		}
		c.fail(err)
		return
	}
	s.established = true
	s.transport.mu.Lock()
	s.transport.nonBlocking = true
	s.transport.send = func(b []byte) { s.encrypted.append(c.loop, b) }
	s.transport.mu.Unlock()
	onEstablished(s.tls.ConnectionState())
	c.flush()
	s.read()
	c.updateInterest()
}

// receive handles encrypted bytes read from the socket.
func (s *tlsState) receive(b []byte) {
	s.transport.feed(b)
	if s.established {
		s.read()
	} else if s.transport.size() > maxUndecrypted {
		s.conn.fail(fmt.Errorf("peer sent more than %d bytes before the TLS handshake ended", maxUndecrypted))
	}
}

// read decrypts received bytes and passes them to the handler until its read limit is reached.
func (s *tlsState) read() {
	c := s.conn
	if c.loop.tlsReadBuffer == nil {
		c.loop.tlsReadBuffer = make([]byte, 16<<10) // the maximum size of a TLS record's content
	}
	chunk := c.loop.tlsReadBuffer
	for s.established && c.fd >= 0 && !c.readPaused && !c.yielded && c.unread.size() < c.maxUnread {
		n, err := s.tls.Read(chunk)
		if n > 0 && !c.finishing {
			c.receivePlain(chunk[:n])
		}
		if c.fd < 0 || err == nil {
			c.YieldIfTurnOver()
			continue
		}
		var netErr net.Error
		switch {
		case errors.As(err, &netErr) && netErr.Timeout():
		case err == io.EOF:
			c.handleEOF()
		default:
			c.fail(err)
		}
		return
	}
}

// write encrypts unsent bytes until DefaultWriteLimit bytes are encrypted and waiting for the kernel.
func (s *tlsState) write() error {
	c := s.conn
	for s.established && c.unsentBuf.size() > 0 && s.encrypted.size() < DefaultWriteLimit {
		b := c.unsentBuf.data()
		n, err := s.tls.Write(b[:min(len(b), 16<<10)])
		c.unsentBuf.consume(c.loop, n)
		if err != nil {
			return err
		}
	}
	return nil
}

// closeNotify sends the close_notify alert once. It returns true if the alert is ready to be flushed.
func (s *tlsState) closeNotify() bool {
	if s.closeNotifySent || !s.established {
		return false
	}
	s.closeNotifySent = true
	s.tls.CloseWrite()
	return s.encrypted.size() > 0
}

// end frees the resources of the TLS layer and ends the handshake's goroutine.
func (s *tlsState) end() {
	s.handshakeTimer.Stop()
	s.encrypted.free(s.conn.loop)
	s.transport.Close()
}

// memoryPipe is the in-memory net.Conn below the TLS connection.
type memoryPipe struct {
	mu          sync.Mutex
	readable    *sync.Cond
	received    []byte
	closed      bool
	nonBlocking bool // Read returns errWouldBlock instead of waiting, because only the loop reads now
	send        func(b []byte)
}

func (p *memoryPipe) feed(b []byte) {
	p.mu.Lock()
	p.received = append(p.received, b...)
	p.mu.Unlock()
	p.readable.Signal()
}

func (p *memoryPipe) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.received)
}

// Read implements net.Conn.
func (p *memoryPipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.received) == 0 {
		switch {
		case p.closed:
			return 0, io.EOF
		case p.nonBlocking:
			return 0, errWouldBlock{}
		}
		p.readable.Wait()
	}
	n := copy(b, p.received)
	if p.received = p.received[n:]; len(p.received) == 0 {
		p.received = nil
	}
	return n, nil
}

// Write implements net.Conn.
func (p *memoryPipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	closed, nonBlocking, send := p.closed, p.nonBlocking, p.send
	p.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if !nonBlocking {
		b = append([]byte(nil), b...) // copied, because the loop sends it later
	}
	send(b)
	return len(b), nil
}

// Close implements net.Conn. It ends a handshake that is waiting for data.
func (p *memoryPipe) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.readable.Broadcast()
	return nil
}

// The remaining methods of net.Conn do nothing; crypto/tls does not need them here.
func (p *memoryPipe) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (p *memoryPipe) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (p *memoryPipe) SetDeadline(time.Time) error      { return nil }
func (p *memoryPipe) SetReadDeadline(time.Time) error  { return nil }
func (p *memoryPipe) SetWriteDeadline(time.Time) error { return nil }

// errWouldBlock means that no data has arrived. It is a temporary error, so crypto/tls keeps its
// state and continues with the next Read.
type errWouldBlock struct{}

func (errWouldBlock) Error() string   { return "no data received yet" }
func (errWouldBlock) Timeout() bool   { return true }
func (errWouldBlock) Temporary() bool { return true }

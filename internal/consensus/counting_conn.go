package consensus

import (
	"net"
	"sync/atomic"
)

// countingConn counts a connection's bytes.
type countingConn struct {
	net.Conn
	bytesIn, bytesOut *atomic.Uint64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesIn.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesOut.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	bytesIn, bytesOut *atomic.Uint64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.bytesIn, l.bytesOut}, nil
}

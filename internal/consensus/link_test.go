package consensus

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// link forwards the connections from one relay to another. While it is cut, the connections stay open
// but no data passes.
type link struct {
	ln    net.Listener
	to    string
	cut   atomic.Bool
	mu    sync.Mutex
	conns []net.Conn
}

func newLink(t testing.TB, to string) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{ln: ln, to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			l.mu.Lock()
			l.conns = append(l.conns, c, upstream)
			l.mu.Unlock()
			forward := func(from, to net.Conn) {
				b := make([]byte, 32<<10)
				for {
					n, err := from.Read(b)
					if !l.cut.Load() {
						if _, werr := to.Write(b[:n]); werr != nil || err != nil {
							from.Close()
							to.Close()
						}
					}
					if err != nil {
						return
					}
				}
			}
			go forward(c, upstream)
			go forward(upstream, c)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.conns {
			c.Close()
		}
	})
	return l
}

// linkAll makes these relays reach each voter through a link. The keys of the result have the form
// "from>to".
func (f *cluster) linkAll(names ...string) map[string]*link {
	links := map[string]*link{}
	for _, a := range names {
		f.dialAddresses[a] = map[string]string{}
		for b, addr := range f.voters {
			if a != b {
				links[a+">"+b] = newLink(f.t, addr)
				f.dialAddresses[a][b] = links[a+">"+b].ln.Addr().String()
			}
		}
	}
	return links
}

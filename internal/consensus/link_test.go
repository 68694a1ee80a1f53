package consensus

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// link forwards the connections from one relay to another. It can be cut silently: the connections stay open, and nothing passes.
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
	w := &link{ln: ln, to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			w.mu.Lock()
			w.conns = append(w.conns, c, d)
			w.mu.Unlock()
			pass := func(from, to net.Conn) {
				b := make([]byte, 32<<10)
				for {
					n, err := from.Read(b)
					if !w.cut.Load() {
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
			go pass(c, d)
			go pass(d, c)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, c := range w.conns {
			c.Close()
		}
	})
	return w
}

// linkAll has all connections between these relays go through links.
func (f *cluster) linkAll(names ...string) map[string]*link {
	ws := map[string]*link{}
	for _, a := range names {
		f.dialAddresses[a] = map[string]string{}
		for b, addr := range f.voters {
			if a != b {
				ws[a+">"+b] = newLink(f.t, addr)
				f.dialAddresses[a][b] = ws[a+">"+b].ln.Addr().String()
			}
		}
	}
	return ws
}

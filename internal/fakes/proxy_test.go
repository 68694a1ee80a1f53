package fakes

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// TestTCPProxy checks that the proxy forwards data unchanged. While one or both directions are cut,
// it must forward nothing in them and establish no connection. After the cut it must forward the
// queued data, except that of a connection that its sender closed during the cut.
func TestTCPProxy(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	got := make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					got <- line
					fmt.Fprint(c, line)
				}
			}()
		}
	}()
	p, err := NewTCPProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	callerClosed := make(chan string, 100)
	p.OnCallerClosed = func(from string) { callerClosed <- from }
	dial := func() (net.Conn, *bufio.Reader) {
		t.Helper()
		c, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		return c, bufio.NewReader(c)
	}
	expectEcho := func(c net.Conn, in *bufio.Reader, word string) {
		t.Helper()
		fmt.Fprintln(c, word)
		if line, err := in.ReadString('\n'); err != nil || line != word+"\n" || <-got != line {
			t.Fatalf("echo through the proxy = %q, error %v, want %q", line, err, word+"\n")
		}
	}
	a, ain := dial()
	expectEcho(a, ain, "one")
	b, bin := dial()
	expectEcho(b, bin, "two")
	p.SetImpairment(Impairment{Cut: true}, Impairment{Cut: true})
	if c, err := net.DialTimeout("tcp", p.Addr(), 300*time.Millisecond); err == nil {
		t.Errorf("the proxy established a connection from %v during a cut", c.LocalAddr())
	}
	fmt.Fprintln(a, "waits")
	fmt.Fprintln(b, "given up")
	// The proxy may have read the data by now or not: the test must pass in both cases.
	time.Sleep(100 * time.Millisecond)
	b.Close()
	<-callerClosed
	if len(got) > 0 {
		t.Errorf("the target received %q during a cut", <-got)
	}
	p.SetImpairment(Impairment{}, Impairment{})
	if line := <-got; line != "waits\n" {
		t.Errorf("after the cut the target received %q, want %q", line, "waits\n")
	}
	if line, _ := ain.ReadString('\n'); line != "waits\n" {
		t.Errorf("after the cut the caller received %q, want %q", line, "waits\n")
	}
	c, in := dial()
	expectEcho(c, in, "three")
	// Only the direction to the caller is cut: data arrives at the target, its echo does not return.
	p.SetImpairment(Impairment{}, Impairment{Cut: true})
	fmt.Fprintln(c, "four")
	if line := <-got; line != "four\n" {
		t.Errorf("the target received %q, want %q", line, "four\n")
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if line, err := in.ReadString('\n'); err == nil {
		t.Errorf("the caller received %q from a cut direction", line)
	}
	p.Reset()
	p.SetImpairment(Impairment{}, Impairment{})
	c, in = dial()
	expectEcho(c, in, "five")
}

// TestUDPProxyRate checks that datagrams that arrive faster than the rate limit are delayed.
func TestUDPProxyRate(t *testing.T) {
	to, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	l, err := NewUDPProxy(1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.SetTarget(to.LocalAddr().String())
	l.SetRate(1000)
	from, err := net.Dial("udp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	began := time.Now()
	for range 30 {
		from.Write(make([]byte, 100))
	}
	to.SetReadDeadline(began.Add(20 * time.Second))
	buf := make([]byte, 200)
	for range 8 {
		if _, err := to.Read(buf); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took < 600*time.Millisecond {
		t.Errorf("800 bytes at 1000 bytes per second took %v, want at least 600ms", took)
	}
}

// TestTCPProxyCallerClosed checks that OnCallerClosed is not called for a connection that the target
// has reset.
func TestTCPProxyCallerClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p, err := NewTCPProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	callerClosed := make(chan string, 1)
	p.OnCallerClosed = func(from string) { callerClosed <- from }
	caller, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	target, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	target.(*net.TCPConn).SetLinger(0)
	target.Close()
	if _, err := caller.Read(make([]byte, 1)); err == nil {
		t.Fatal("the caller could read from a connection that the target had reset")
	}
	for open := 1; open > 0; { // both directions have ended once the proxy has no connection
		p.mu.Lock()
		open = len(p.conns)
		p.mu.Unlock()
	}
	if len(callerClosed) > 0 {
		t.Errorf("OnCallerClosed(%s) was called, want no call: the target reset the connection", <-callerClosed)
	}
}

package fakes

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"
)

// TestTCPProxy: what passes, passes unchanged; in a cut, one way or both, nothing does and no connection comes up, until it is healed;
// what was given up behind a cut is not delivered later.
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
			t.Fatalf("%q came back as %q, %v", word, line, err)
		}
	}
	a, ain := dial()
	expectEcho(a, ain, "one")
	b, bin := dial()
	expectEcho(b, bin, "two")
	p.SetImpairment(Impairment{Cut: true}, Impairment{Cut: true})
	if c, err := net.DialTimeout("tcp", p.Addr(), 300*time.Millisecond); err == nil {
		t.Errorf("a connection came up behind a cut: %v", c.LocalAddr())
	}
	fmt.Fprintln(a, "waits")
	fmt.Fprintln(b, "given up")
	time.Sleep(100 * time.Millisecond) // read by the pipe by now, or later: both must do
	b.Close()
	<-callerClosed
	if len(got) > 0 {
		t.Errorf("%q passed a cut", <-got)
	}
	p.SetImpairment(Impairment{}, Impairment{})
	if line := <-got; line != "waits\n" {
		t.Errorf("after the cut came %q", line)
	}
	if line, _ := ain.ReadString('\n'); line != "waits\n" {
		t.Errorf("back came %q", line)
	}
	c, in := dial()
	expectEcho(c, in, "three")
	p.SetImpairment(Impairment{}, Impairment{Cut: true}) // one way: it arrives, and nothing comes back
	fmt.Fprintln(c, "four")
	if line := <-got; line != "four\n" {
		t.Errorf("there came %q", line)
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if line, err := in.ReadString('\n'); err == nil {
		t.Errorf("%q came back by a cut way", line)
	}
	p.Reset()
	p.SetImpairment(Impairment{}, Impairment{})
	c, in = dial()
	expectEcho(c, in, "five")
}

// TestUDPProxyRate: datagrams that come faster than a link's rate wait in turn.
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
		t.Errorf("800 bytes at 1000 a second took %v", took)
	}
}

// TestTCPProxyCallerClosed: a connection that the far side has reset is not one that the calling side has ended.
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
		t.Fatal("the reset did not pass")
	}
	for open := 1; open > 0; { // both ways have ended once the pipe holds nothing
		p.mu.Lock()
		open = len(p.conns)
		p.mu.Unlock()
	}
	if len(callerClosed) > 0 {
		t.Errorf("%s counts as ended by the calling side", <-callerClosed)
	}
}

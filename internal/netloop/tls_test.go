package netloop_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	random "math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// selfSignedConfig returns a TLS configuration with a new self-signed certificate that peers do not
// verify.
func selfSignedConfig(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, InsecureSkipVerify: true}
}

// tlsPeer is the peer of a TLS connection. It runs in goroutines of its own.
type tlsPeer struct {
	*tls.Conn
	received chan []byte // gets all received bytes once the connection has ended, with the error if not EOF
}

// startReading reads until the connection ends and then sends the bytes to received.
func (a *tlsPeer) startReading() {
	a.received = make(chan []byte, 1)
	go func() {
		all, err := io.ReadAll(a.Conn)
		if err != nil {
			all = append(all, err.Error()...)
		}
		a.received <- all
	}()
}

// TestTLS: bytes pass in both directions in pieces of any size, with TLS 1.2 and 1.3, as client and
// as server, and an orderly end arrives as EOF.
func TestTLS(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		for _, client := range []bool{false, true} {
			b := looptest.New(t, 32)
			e, p := pair(b)
			cfg := selfSignedConfig(t)
			cfg.MaxVersion = version
			e.conn.SetBufferLimits(1<<20, 1<<20)
			e.consumable = 1 << 20
			established := false
			e.conn.Write([]byte("plain\n"))
			e.conn.StartTLS(cfg, client, looptest.Timeout, func(tls.ConnectionState) { established = true })
			// Read no more than this line: a client's first TLS record may follow it directly.
			plain := make([]byte, len("plain\n"))
			p.SetReadDeadline(time.Now().Add(looptest.Timeout))
			if _, err := io.ReadFull(p, plain); err != nil || string(plain) != "plain\n" {
				t.Fatalf("read before the handshake = %q, %v, want %q", plain, err, "plain\n")
			}
			p.SetReadDeadline(time.Time{})
			remote := &tlsPeer{}
			if client {
				remote.Conn = tls.Server(p.Conn, cfg)
			} else {
				remote.Conn = tls.Client(p.Conn, cfg)
			}
			handshakeErr := make(chan error, 1)
			go func() { handshakeErr <- remote.Handshake() }()
			b.WaitFor("the handshake", func() bool { return established })
			if err := <-handshakeErr; err != nil {
				t.Fatal(err)
			}
			remote.startReading()
			peerRand, loopRand := random.New(random.NewPCG(uint64(version), 3)), random.New(random.NewPCG(uint64(version), 4))
			toLoop, fromLoop := strings.Repeat("to the loop ", 20000), strings.Repeat("from the loop ", 20000)
			go func() {
				for rest := toLoop; len(rest) > 0; {
					n := min(1+peerRand.IntN(30000), len(rest))
					io.WriteString(remote.Conn, rest[:n])
					rest = rest[n:]
				}
			}()
			for rest := fromLoop; len(rest) > 0; {
				n := min(1+loopRand.IntN(30000), len(rest))
				e.conn.Write([]byte(rest[:n]))
				rest = rest[n:]
				b.RunOnce()
			}
			b.WaitFor("all bytes sent to the loop", func() bool { return len(e.received) == len(toLoop) })
			if string(e.received) != toLoop {
				t.Error("the handler received other bytes than the peer sent")
			}
			e.conn.Finish()
			var got []byte
			b.WaitFor("the end at the peer", func() bool {
				select {
				case got = <-remote.received:
					return true
				default:
					return false
				}
			})
			if string(got) != fromLoop {
				t.Errorf("peer received %d bytes, want the %d bytes written and EOF; it ends with %.60q",
					len(got), len(fromLoop), got[max(0, len(got)-60):])
			}
			remote.Close()
		}
	}
}

// TestTLSFails: the connection ends and End is called if the peer sends bytes that are not TLS,
// closes its side or is too slow during the handshake, or if there are too many handshakes. Ended
// handshakes make room for others.
func TestTLSFails(t *testing.T) {
	b := looptest.New(t, 16)
	cfg := selfSignedConfig(t)
	start := func() (*recordingHandler, *looptest.Peer) {
		e, p := pair(b)
		e.conn.StartTLS(cfg, false, time.Second, func(tls.ConnectionState) { t.Error("handshake succeeded, want a failure") })
		return e, p
	}
	e, p := start()
	p.Send(strings.Repeat("no handshake ", 100))
	b.WaitFor("the end after bytes that are not TLS", func() bool { return len(e.endErrs) > 0 })
	e, p = start()
	p.CloseWrite()
	b.WaitFor("the end after EOF during the handshake", func() bool { return len(e.endErrs) > 0 })

	// On a new loop: the handshakes that failed above may still count for a while.
	b = looptest.New(t, 512)
	var slow []*recordingHandler
	for range 64 {
		e, _ := start()
		slow = append(slow, e)
	}
	e, _ = start()
	b.WaitFor("the handshake over the limit to fail", func() bool { return len(e.endErrs) > 0 })
	if !errors.Is(e.endErrs[0], netloop.ErrHandshakes) {
		t.Errorf("handshake over the limit failed with %v, want ErrHandshakes", e.endErrs[0])
	}
	b.Advance(time.Second)
	for _, e := range slow {
		if len(e.endErrs) != 1 || !errors.Is(e.endErrs[0], netloop.ErrDialTimeout) {
			t.Fatalf("End of a slow handshake called with %v, want one call with ErrDialTimeout", e.endErrs)
		}
	}
	b.WaitFor("a successful handshake after the slow ones", func() bool {
		e, p := pair(b)
		established := false
		e.conn.StartTLS(cfg, false, looptest.Timeout, func(tls.ConnectionState) { established = true })
		p.SetReadDeadline(time.Time{})
		go tls.Client(p.Conn, cfg).Handshake()
		b.WaitFor("a handshake to succeed or fail", func() bool { return established || len(e.endErrs) > 0 })
		if !established {
			p.Close()
		}
		return established
	})
}

// TestCloseEndsHandshakes: after Close of a loop no handshake goroutine is left, even if a peer
// sends nothing.
func TestCloseEndsHandshakes(t *testing.T) {
	b := looptest.New(t, 16)
	cfg := selfSignedConfig(t)
	for range 3 {
		e, _ := pair(b)
		e.conn.StartTLS(cfg, false, time.Minute, func(tls.ConnectionState) { t.Error("handshake succeeded, want it to end with the loop") })
	}
	b.Close()
	stacks := make([]byte, 1<<20)
	if stacks = stacks[:runtime.Stack(stacks, true)]; bytes.Contains(stacks, []byte("tls.(*Conn).Handshake")) {
		t.Errorf("a handshake goroutine is still running after Close:\n%s", stacks)
	}
}

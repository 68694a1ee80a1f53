package standin

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Start is what a deployment's settings say of servers that have just started.
type Start struct {
	From   float64       // the share of its capacity with which a server begins
	For    time.Duration // how long it takes to be warm
	Factor float64       // how many times its capacity brings it down
	Window time.Duration // if it is sent that for so long
}

// Backend is a server of the platform's line protocol. It never really falls: it tells by OnFall.
type Backend struct {
	ID       string
	Full     float64 // how many connections of mean load fill it when it is warm
	Start    Start
	Started  time.Time // zero: long ago
	Fields   func(flows int, load float64) string
	OnFall   func(text string)
	mu       sync.Mutex
	addrs    map[string]string // by the relay that uses it
	told     map[string]bool   // the relays that have been told of the start
	flows    map[net.Conn]float64
	draining bool
	report   string
	reportAt time.Time
	arrivals []backendArrival
	most     int // arrivals in one window
	fallen   bool
}

type backendArrival struct {
	at   time.Time
	told bool
}

// reportEvery is how old a load report may be.
const reportEvery = 700 * time.Millisecond

// Open starts serving, at an address of its own for each relay.
func (b *Backend) Open(relays ...string) error {
	b.addrs, b.told, b.flows = map[string]string{}, map[string]bool{}, map[net.Conn]float64{}
	for _, relay := range relays {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		b.addrs[relay] = l.Addr().String()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go b.serve(conn, relay)
			}
		}()
	}
	return nil
}

// Addr returns the address that a relay uses.
func (b *Backend) Addr(relay string) string { return b.addrs[relay] }

// Told notes that a relay has been told of the start.
func (b *Backend) Told(relay string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told[relay] = true
}

// Flows returns how many connections are open, and Most how many new ones came in one window.
func (b *Backend) Flows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows)
}

// Most returns how many new connections came at most in one window of the start.
func (b *Backend) Most() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.most
}

// Drain sends all clients away, and takes none from now on.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
	for conn := range b.flows {
		fmt.Fprint(conn, "MOVE\r\n")
		conn.(*net.TCPConn).CloseWrite()
	}
}

// share returns the share of its capacity that the server has now.
func (b *Backend) share() float64 {
	if b.Started.IsZero() {
		return 1
	}
	return min(1, b.Start.From+(1-b.Start.From)*time.Since(b.Started).Seconds()/b.Start.For.Seconds())
}

// arrived counts a new connection against what a server that has just started can bear. The caller
// holds the lock.
func (b *Backend) arrived(relay string) {
	now := time.Now()
	if b.Started.IsZero() || now.Sub(b.Started) > b.Start.For {
		return
	}
	b.arrivals = append(b.arrivals, backendArrival{now, b.told[relay]})
	b.arrivals = slices.DeleteFunc(b.arrivals, func(a backendArrival) bool { return now.Sub(a.at) > b.Start.Window })
	told := 0
	for _, a := range b.arrivals {
		if a.told {
			told++
		}
	}
	n := len(b.arrivals)
	b.most = max(b.most, n)
	// A cold server can take new connections no faster than fills it over its warm-up.
	allowed := b.Start.Factor * b.Full * b.share() * b.Start.Window.Seconds() / b.Start.For.Seconds()
	limit := allowed + 2*math.Sqrt(allowed) + 2
	if allowed < 30 {
		limit = allowed + 3*math.Sqrt(allowed) + 3
	}
	if float64(n) > limit && !b.fallen {
		b.fallen = true
		text := fmt.Sprintf("%s falls %.2f s after its start: %d new connections in %v, %d of them from relays that had been told of the start; the settings allow it %.1f, with the slack %.1f",
			b.ID, now.Sub(b.Started).Seconds(), n, b.Start.Window, told, allowed, limit)
		if 3*told > 2*n {
			b.OnFall(text)
		}
	}
}

// stats returns the load report.
func (b *Backend) stats() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.reportAt) < reportEvery {
		return b.report
	}
	load := 0.0
	for _, l := range b.flows {
		load += l
	}
	load /= b.Full * b.share()
	b.report, b.reportAt = b.Fields(len(b.flows), load*(0.95+0.1*rand.Float64())), time.Now()
	return b.report
}

func (b *Backend) serve(conn net.Conn, relay string) {
	defer func() {
		b.mu.Lock()
		delete(b.flows, conn)
		b.mu.Unlock()
		conn.Close()
	}()
	in := bufio.NewReader(conn)
	open := false
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		switch {
		case open && line == "END\r\n":
			fmt.Fprint(conn, "BYE\r\n")
			return
		case open:
			fmt.Fprintf(conn, "GOT %s", line)
		case line == "STATS\r\n":
			fmt.Fprintf(conn, "PONG %s\r\n", b.stats())
		case line == "PING\r\n":
			fmt.Fprint(conn, "PONG\r\n")
		case strings.HasPrefix(line, "OPEN "):
			load := 0.7 + 0.6*rand.Float64() // of the mean
			b.mu.Lock()
			b.arrived(relay)
			if open = !b.draining; open {
				b.flows[conn] = load
			}
			b.mu.Unlock()
			if !open {
				fmt.Fprint(conn, "BUSY\r\n")
				return
			}
			time.Sleep(5 * time.Millisecond)
			// In microseconds of work a second: a core bears Full/2 connections of mean load.
			fmt.Fprintf(conn, "UP %s\r\nLOAD %.0f\r\n", strings.Fields(line)[1], load*2e6/b.Full)
		default:
			fmt.Fprint(conn, "SYNTAX\r\n")
			return
		}
	}
}

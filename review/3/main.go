// Command 3 is a case of the review: a proxy that asks the relay for each request, and a relay that
// is killed and starts again while the proxy's attempts are out.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/review/standin"
)

const (
	callers   = 12                      // requests of each wave
	serving   = 1500 * time.Millisecond // what a server takes for a request
	giveUp    = 3 * time.Second         // the class's deadline
	callLimit = time.Second             // of the proxy, for one call
)

// verdict is the relay's answer to a call of the proxy.
type verdict struct {
	Verdict string `json:"verdict"`
	ID      uint64 `json:"id"`
	Try     int    `json:"try"`
	Member  string `json:"member"`
	Addr    string `json:"addr"`
	WaitMS  int64  `json:"wait_ms"`
}

// proxy is the proxy that calls the relay. All its requests share one connection, which it opens again
// when it has ended, as the client libraries do.
type proxy struct {
	*standin.Case
	addr string
	mu   sync.Mutex
	conn *standin.NATS
}

func (p *proxy) connection() *standin.NATS {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		select {
		case <-p.conn.Gone():
			p.Logf("proxy: its connection to the relay has ended")
		default:
			return p.conn
		}
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if conn, err := standin.DialNATS(p.addr, "_dahlia.inbox"); err == nil {
			p.Logf("proxy: connected to the relay")
			p.conn = conn
			return conn
		}
	}
	p.NotRun("the relay cannot be reached")
	return nil
}

// call calls the relay, and again if there was no answer.
func (p *proxy) call(who, subject, body string) (v verdict) {
	for range 3 {
		answer, err := p.connection().Request(subject, body, callLimit)
		if err == nil {
			err = json.Unmarshal(answer, &v)
		}
		p.Logf("%s: %s %s -> %s %v", who, subject, body, answer, err)
		if err == nil {
			return v
		}
	}
	return verdict{Verdict: "no answer"}
}

// outcome is how a request of the proxy ended.
type outcome struct {
	name     string
	attempts int    // that a server has served
	final    string // the relay's final answer, or what the proxy got in its place
}

// run carries one request: it asks the relay, makes the attempts that the relay orders, and reports
// each. The relay's last word is the final answer.
func (p *proxy) run(name string) (o outcome) {
	o.name = name
	asked := time.Now()
	pick := fmt.Sprintf(`{"name":%q,"class":"pay-status","tenant":"water","wait_ms":%d}`, name, giveUp.Milliseconds())
	v := p.call(name, "_dahlia.pick", pick)
	for v.Verdict == "send" && time.Since(asked) < giveUp {
		result := "reset"
		if p.attempt(name, v.Addr) {
			result = "ok"
			o.attempts++
		}
		v = p.call(name, "_dahlia.report", fmt.Sprintf(`{"id":%d,"try":%d,"outcome":%q}`, v.ID, v.Try, result))
		if v.Verdict == "unknown" && result == "ok" {
			// The answer to the report is missing: the proxy asks again by name, but does not make
			// another attempt of what has been served.
			v = p.call(name, "_dahlia.pick", pick)
			o.final = v.Verdict + " after a report that the relay did not know"
			return o
		}
	}
	o.final = v.Verdict
	return o
}

// attempt makes an attempt at a server.
func (p *proxy) attempt(name, addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 250*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(giveUp))
	fmt.Fprintf(conn, "GET %s\n", name)
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "DONE")
}

// server is a member of the pool. It answers the relay's health checks, and serves the proxy's requests.
func server(c *standin.Case, id string) fakes.Entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					line, err := in.ReadString('\n')
					switch {
					case err != nil:
						return
					case strings.HasPrefix(line, "GET "):
						c.Logf("server %s: begins %s", id, strings.TrimSpace(line))
						time.Sleep(serving)
						c.Logf("server %s: served %s", id, strings.TrimSpace(line))
						fmt.Fprintf(conn, "DONE\n")
					case strings.HasPrefix(line, "STATS"):
						fmt.Fprintf(conn, "PONG x0=0.1,x1=0,inflight=10\r\n")
					default:
						fmt.Fprintf(conn, "PONG\r\n")
					}
				}
			}()
		}
	}()
	return fakes.Entry{ID: id, Addr: l.Addr().String(), Zone: "kirkton", Kind: "fast-pair", Lifecycle: fakes.Serving, Weight: 1}
}

func main() {
	c := standin.New("3")
	discovery := fakes.NewDiscovery(server(c, "s1"), server(c, "s2"), server(c, "s3"), server(c, "s4"))
	at, err := discovery.Open("relay", nil)
	c.Must(err)
	config := c.Config("deploy/nats.json")
	listen := c.FreeAddr()
	config["listen"], config["discovery"], config["operator"] = c.FreeAddr(), at, ""
	config["known"] = discovery.Snapshot(nil)
	config["store"] = map[string]any{"driver": "sqlite", "dsn": c.Dir + "/record.db"}
	config["fronts"] = map[string]any{"line": map[string]any{}, "nats": map[string]any{"listen": listen, "class": "pay-status", "tenant": "water"}}
	path := c.WriteConfig("relay", config)
	relay := c.StartRelay("relay", path, "")
	p := &proxy{Case: c, addr: listen}
	p.connection()
	time.Sleep(time.Second) // the relay has asked for its list

	results := make(chan outcome, 2*callers)
	wave := func(name string) {
		for n := range callers {
			go func() { results <- p.run(fmt.Sprintf("%s%d", name, n)) }()
		}
	}
	wave("before-")
	time.Sleep(300 * time.Millisecond)
	if c.Trouble {
		relay.Signal(syscall.SIGKILL)
		relay.WaitEnd(time.Second)
		c.StartRelay("relay again", path, "")
	}
	p.connection()
	wave("after-")
	for range 2 * callers {
		select {
		case o := <-results:
			c.Logf("%s: %d attempts served, final answer %q", o.name, o.attempts, o.final)
			// What was asked for before the kill was taken by a process that is no more. What came
			// after was taken by one that has run ever since.
			if strings.HasPrefix(o.name, "after-") && o.attempts > 0 && o.final != "served" {
				c.Broken("%s was taken by the running relay and served by a server, but its final answer is %q", o.name, o.final)
			}
		case <-time.After(30 * time.Second):
			c.NotRun("a request did not end")
		}
	}
	c.Finish()
}

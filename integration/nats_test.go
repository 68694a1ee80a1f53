package integration

import (
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/nats-io/nats.go"

	"dahliarudder/internal/fakes"
	_ "modernc.org/sqlite"
)

// natsRig is a relay with a NATS front and a SQLite store, in front of a cluster.
type natsRig struct {
	*relay
	k  *fakes.NATSCluster
	d  *discovery
	db string // path of the store's file
}

func newNATSRig(t *testing.T, nodes int) *natsRig {
	t.Helper()
	s := &natsRig{k: newCluster(t, nodes), db: filepath.Join(t.TempDir(), "record.db")}
	s.d = newDiscovery(t, natsMembers(s.k)...)
	s.relay = start(t, configure(t, s.d, map[string]any{
		"fronts": map[string]any{"nats": map[string]any{"listen": "127.0.0.1:0", "max_payload": 65536, "load_subject": "node.load",
			"class": "pay-status", "tenant": "water",
			"routes": []any{map[string]any{"subject": "refund.>", "class": "payee-check", "tenant": "waste"}}}},
		"store": map[string]any{"driver": "sqlite", "dsn": s.db},
	}), 1)
	return s
}

// connect returns a connected client of the NATS library that does not reconnect.
func (s *natsRig) connect(options ...nats.Option) *nats.Conn {
	s.t.Helper()
	options = append(options, nats.Timeout(eventTimeout), nats.NoReconnect(),
		nats.ErrorHandler(func(*nats.Conn, *nats.Subscription, error) {}))
	c, err := nats.Connect("nats://"+s.addrs["nats"], options...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// must returns a function that fails the test if err is not nil, and returns v otherwise.
func must[T any](t testing.TB) func(v T, err error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func (s *natsRig) flush(c *nats.Conn) {
	s.t.Helper()
	if err := c.FlushTimeout(eventTimeout); err != nil {
		s.t.Fatal(err)
	}
}

// TestNATS: the client protocol works through the relay: messages with headers, replies, queue groups,
// a limit on the messages of a subscription, requests without a responder, and the payload limit.
func TestNATS(t *testing.T) {
	s := newNATSRig(t, 3)
	a, b := s.connect(), s.connect()
	sub := must[*nats.Subscription](t)(a.SubscribeSync("status.*"))
	s.flush(a)
	m := nats.NewMsg("status.one")
	m.Header.Set("Trace", "7")
	m.Data = []byte("paid")
	if err := b.PublishMsg(m); err != nil {
		t.Fatal(err)
	}
	got := must[*nats.Msg](t)(sub.NextMsg(eventTimeout))
	if got.Subject != "status.one" || string(got.Data) != "paid" || got.Header.Get("Trace") != "7" {
		t.Errorf("got message %+v, want subject status.one, data paid and header Trace: 7", got)
	}
	must[*nats.Subscription](t)(a.Subscribe("refund.check", func(m *nats.Msg) { m.Respond(append([]byte("yes "), m.Data...)) }))
	s.flush(a)
	if got := must[*nats.Msg](t)(b.Request("refund.check", []byte("42"), eventTimeout)); string(got.Data) != "yes 42" {
		t.Errorf("reply = %q, want %q", got.Data, "yes 42")
	}
	if _, err := b.Request("refund.nobody", nil, eventTimeout); !errors.Is(err, nats.ErrNoResponders) {
		t.Errorf("request without a responder: error %v, want %v", err, nats.ErrNoResponders)
	}
	shared := make(chan *nats.Msg, 100)
	for _, c := range []*nats.Conn{a, b} {
		must[*nats.Subscription](t)(c.ChanQueueSubscribe("work", "crew", shared))
		s.flush(c)
	}
	for i := range 20 {
		b.Publish("work", fmt.Append(nil, "job ", i))
	}
	s.flush(b)
	seen := map[string]int{}
	for range 20 {
		select {
		case m := <-shared:
			seen[string(m.Data)]++
		case <-time.After(eventTimeout):
			t.Fatalf("%d of 20 jobs arrived, and no further one within %v", len(seen), eventTimeout)
		}
	}
	if len(seen) != 20 || len(shared) != 0 {
		t.Errorf("the queue group received the jobs %v and %d more, want 20 jobs once each", seen, len(shared))
	}
	few := must[*nats.Subscription](t)(a.SubscribeSync("few"))
	few.AutoUnsubscribe(2)
	s.flush(a)
	for i := range 4 {
		b.Publish("few", fmt.Append(nil, "few ", i))
	}
	s.flush(b)
	must[*nats.Msg](t)(few.NextMsg(eventTimeout))
	must[*nats.Msg](t)(few.NextMsg(eventTimeout))
	waitFor(t, "the nodes to have no subscription to few", func() bool {
		return fmt.Sprint(s.k.Subscriptions("few")) == "[0 0 0]"
	})
	if err := b.Publish("status.big", make([]byte, 70000)); !errors.Is(err, nats.ErrMaxPayload) {
		t.Errorf("publishing a payload over the limit: error %v, want %v", err, nats.ErrMaxPayload)
	}
	checkAttemptCounter(t, s.k.Attempts)
	s.stop()
}

// TestNATSDrain: when a node starts to drain, its subscriptions move to other nodes while it still
// serves them, and messages keep arriving.
func TestNATSDrain(t *testing.T) {
	s := newNATSRig(t, 3)
	c, p := s.connect(), s.connect()
	got := make(chan *nats.Msg, 100)
	for range 8 {
		must[*nats.Subscription](t)(c.ChanSubscribe("feed", got))
	}
	s.flush(c)
	sum := func(counts []int) (n int) {
		for _, h := range counts {
			n += h
		}
		return n
	}
	leaving := 0
	for i, n := range s.k.Subscriptions("feed") {
		if n > 0 {
			leaving = i
		}
	}
	s.d.SetLifecycle(s.k.Nodes[leaving].ID, "DRAINING")
	waitFor(t, "all 8 subscriptions to be at other nodes", func() bool {
		counts := s.k.Subscriptions("feed")
		return counts[leaving] == 0 && sum(counts) == 8
	})
	p.Publish("feed", []byte("after"))
	s.flush(p)
	for n := range 8 {
		select {
		case <-got:
		case <-time.After(eventTimeout):
			t.Fatalf("%d of 8 messages arrived after the drain, and no further one within %v", n, eventTimeout)
		}
	}
	c.Close()
	p.Close()
	checkAttemptCounter(t, s.k.Attempts)
	s.stop()
	s.checkStored(map[string]int{"served": 8 + 1}) // a minimum: the moved subscriptions are recorded too
}

// checkStored checks the store's contents: each attempt belongs to a recorded request, a request has at
// most three attempts, they do not overlap, and there are as many as the requests' tries add up to.
// minimum is the least number of requests by final answer.
func (s *natsRig) checkStored(minimum map[string]int) {
	s.t.Helper()
	count := s.queryCount
	for answer, n := range minimum {
		if got := count("SELECT count(*) FROM requests WHERE answer = '" + answer + "'"); got < n {
			s.t.Errorf("%d requests recorded with answer %s, want at least %d", got, answer, n)
		}
	}
	if n := count("SELECT count(*) FROM requests WHERE tries > 3"); n > 0 {
		s.t.Errorf("%d requests recorded with more than three attempts, want 0", n)
	}
	if n := count(`SELECT count(*) FROM attempts a JOIN attempts b ON a.run = b.run AND a.request = b.request
		AND a.try < b.try AND b.start_us < a.end_us`); n > 0 {
		s.t.Errorf("%d pairs of overlapping attempts of one request recorded, want 0", n)
	}
	if n := count(`SELECT count(*) FROM attempts a LEFT JOIN requests r ON a.run = r.run AND a.request = r.id WHERE r.id IS NULL`); n > 0 {
		s.t.Errorf("%d attempts recorded without a final answer of their request, want 0", n)
	}
	if a, t := count("SELECT count(*) FROM attempts"), count("SELECT coalesce(sum(tries), 0) FROM requests"); a != t {
		s.t.Errorf("%d attempts recorded, want %d, the sum of the requests' tries", a, t)
	}
}

// queryCount returns the one number that a query of the store selects.
func (s *natsRig) queryCount(query string) (n int) {
	s.t.Helper()
	db := must[*sql.DB](s.t)(sql.Open("sqlite", s.db))
	defer db.Close()
	if err := db.QueryRow(query).Scan(&n); err != nil {
		s.t.Fatal(err)
	}
	return n
}

// TestNATSRetry: a publication that a node refuses, resets or does not answer is retried at another
// node and never has two attempts in flight; each publication has one final answer.
func TestNATSRetry(t *testing.T) {
	for name, mode := range map[string]fakes.NodeMode{"err": fakes.NodeRefuses, "silent": fakes.NodeSilent, "reset": fakes.NodeResets} {
		t.Run(name, func(t *testing.T) {
			s := newNATSRig(t, 3)
			c := s.connect()
			c.Publish("job.first", []byte("first"))
			s.flush(c)
			for _, n := range s.k.Nodes { // set the mode of the node that the client's publications go to
				if n.Published() > 0 {
					n.SetMode(mode)
				}
			}
			const jobs = 12
			for i := range jobs {
				if err := c.Publish("job."+fmt.Sprint(i), fmt.Append(nil, "job ", i)); err != nil {
					t.Fatal(err)
				}
			}
			s.flush(c)
			checkAttemptCounter(t, s.k.Attempts)
			c.Close()
			s.stop()
			s.checkStored(map[string]int{"served": 1})
			if n := s.queryCount("SELECT count(*) FROM requests WHERE name LIKE 'PUB job.%'"); n != jobs+1 {
				t.Errorf("%d final answers recorded for %d publications, want one each", n, jobs+1)
			}
			if n := s.queryCount("SELECT count(*) FROM attempts WHERE result NOT IN ('ok', 'cancelled')"); n == 0 {
				t.Error("no attempt failed, want some: the test shows no retry")
			}
		})
	}
}

// TestNATSTerm: a relay that stops notifies its clients and closes their connections.
func TestNATSTerm(t *testing.T) {
	s := newNATSRig(t, 2)
	lame, closed := make(chan bool, 1), make(chan bool, 1)
	c := s.connect(nats.LameDuckModeHandler(func(*nats.Conn) { lame <- true }),
		nats.ClosedHandler(func(*nats.Conn) { closed <- true }))
	must[*nats.Subscription](t)(c.SubscribeSync("feed"))
	s.flush(c)
	s.stop()
	for what, ch := range map[string]chan bool{"the lame duck notice": lame, "the end of its connection": closed} {
		select {
		case <-ch:
		case <-time.After(eventTimeout):
			t.Errorf("the client did not see %s within %v", what, eventTimeout)
		}
	}
}

// processorVerdict is the relay's answer to a processor.
type processorVerdict struct {
	Verdict string `json:"verdict"`
	ID      uint64 `json:"id"`
	Try     int    `json:"try"`
	Member  string `json:"member"`
}

// TestProcessor: another proxy, which sends requests to members itself, asks the relay for a verdict
// on each attempt and reports the outcomes.
func TestProcessor(t *testing.T) {
	s := newNATSRig(t, 3)
	c := s.connect(nats.CustomInboxPrefix("_dahlia.inbox"))
	control := must[*nats.Subscription](t)(c.SubscribeSync("_dahlia.control.one"))
	call := func(subject, text string) processorVerdict {
		t.Helper()
		m := must[*nats.Msg](t)(c.Request("_dahlia."+subject, []byte(text), eventTimeout))
		var v processorVerdict
		if err := json.Unmarshal(m.Data, &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	report := func(v processorVerdict, outcome string) processorVerdict {
		t.Helper()
		return call("report", fmt.Sprintf(`{"id":%d,"try":%d,"outcome":%q}`, v.ID, v.Try, outcome))
	}
	const pickRequest = `{"name":"r1","class":"pay-status","tenant":"water","wait_ms":2900,"control":"_dahlia.control.one"}`
	for range 3 {
		if v := call("pick", pickRequest); v.Verdict != "send" || report(v, "ok").Verdict != "served" {
			t.Fatalf("pick answered with verdict %+v, want send, and served after the report ok", v)
		}
	}
	first := call("pick", pickRequest)
	if first.Verdict != "send" || first.Try != 0 || first.Member == "" {
		t.Fatalf("pick answered with verdict %+v, want send, try 0 and a member", first)
	}
	second := report(first, "connect_failed")
	if second.Verdict != "send" || second.Try != 1 || second.Member == first.Member {
		t.Fatalf("verdict %+v after %+v failed, want send, try 1 and another member", second, first)
	}
	if late := report(first, "up"); late.Verdict != "unknown" {
		t.Errorf("a report on an attempt that is over got verdict %+v, want unknown", late)
	}
	if v := report(second, "ok"); v.Verdict != "served" {
		t.Errorf("report ok got verdict %+v, want served", v)
	}
	if v := report(second, "ok"); v.Verdict != "unknown" {
		t.Errorf("a second report ok got verdict %+v, want unknown", v)
	}
	open := call("pick", pickRequest)
	if v := report(open, "up"); v.Verdict != "up" {
		t.Errorf("report up got verdict %+v, want up", v)
	}
	s.d.SetLifecycle(open.Member, "DRAINING")
	wantControl := func(want string) {
		t.Helper()
		m := must[*nats.Msg](t)(control.NextMsg(eventTimeout))
		if !strings.Contains(string(m.Data), `"verdict":"`+want+`"`) {
			t.Fatalf("control message = %s, want verdict %s", m.Data, want)
		}
	}
	wantControl("move")
	silent := call("pick", pickRequest)
	if silent.Verdict != "send" || silent.Member == open.Member {
		t.Fatalf("pick answered with verdict %+v, want send to a member other than %s, which drains", silent, open.Member)
	}
	wantControl("cancel") // an attempt without a report is cancelled like any attempt without an answer
	if v := call("pick", `{"class":"unheard-of"}`); v.Verdict != "error" {
		t.Errorf("pick with an unknown class got verdict %+v, want error", v)
	}
	if _, err := c.Request("_dahlia.nothing", nil, eventTimeout); !errors.Is(err, nats.ErrNoResponders) {
		t.Errorf("request on an unknown reserved subject: error %v, want %v", err, nats.ErrNoResponders)
	}
	c.Close()
	s.stop()
	s.checkStored(map[string]int{"served": 5})
}

// TestNATSBadInput: input that violates the protocol ends that connection with an error, and the relay
// still serves other clients.
func TestNATSBadInput(t *testing.T) {
	s := newNATSRig(t, 1)
	connect := "CONNECT {\"verbose\":true}\r\n"
	for text, want := range map[string]string{
		"HELLO\r\n":                 "-ERR 'Unknown Protocol Operation'",
		"PUB a 1\r\nx\r\n":          "-ERR 'Authorization Violation'",
		"CONNECT {\r\n":             "-ERR 'Parser Error'",
		connect + "PUB a\r\n":       "-ERR 'Parser Error'",
		connect + "PUB a 1\r\nxyz":  "-ERR 'Parser Error'",
		connect + "PUB a 65537\r\n": "-ERR 'Maximum Payload Violation'",
		connect + "HPUB a 9 3\r\n":  "-ERR 'Parser Error'",
		connect + "SUB a.>.b 1\r\n": "-ERR 'Invalid Subject'",
		connect + "SUB " + strings.Repeat("a", 5000) + " 1\r\n": "-ERR 'maximum control line exceeded'",
	} {
		c := s.natsDial()
		c.wantLine("INFO ")
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(text, connect) {
			c.wantLine("+OK")
		}
		if got := c.line(); got != want {
			t.Errorf("input %.40q: got %q, want %q", text, got, want)
		}
	}
	c := s.connect()
	s.flush(c)
	s.stop()
}

// TestDeployed: the shipped configuration deploy/nats.json works as docs/nats.md describes: over TLS, with
// certificates made by the command "keys certificate", for its configured users.
func TestDeployed(t *testing.T) {
	dir := t.TempDir()
	if out, err := runCommand("keys", "certificate", "--dir", filepath.Join(dir, "tls")); err != nil {
		t.Fatalf("keys certificate: %v, output %s", err, out)
	}
	k := newCluster(t, 2)
	text := string(must[[]byte](t)(os.ReadFile("../deploy/nats.json")))
	for old, now := range map[string]string{"127.0.0.1:8500": newDiscovery(t, natsMembers(k)...).addr, `"listen": "127.0.0.1:4222"`: `"listen": "127.0.0.1:0"`,
		`"operator": "127.0.0.1:9901",`: "", `"dahliarudder.db"`: fmt.Sprintf("%q", filepath.Join(dir, "record.db"))} {
		if !strings.Contains(text, old) {
			t.Errorf("deploy/nats.json does not contain %s", old)
		}
		text = strings.ReplaceAll(text, old, now)
	}
	path := filepath.Join(dir, "nats.json")
	writeFile(t, path, text)
	if out, err := runCommand("check", "--config", path); err != nil {
		t.Fatalf("check of the configuration: %v, output %s", err, out)
	}
	r := start(t, path, 1)
	ca := nats.RootCAs(filepath.Join(dir, "tls", "ca.pem"))
	connect := func(user, password string) (*nats.Conn, error) {
		return nats.Connect("nats://"+r.addrs["nats"], ca, nats.UserInfo(user, password), nats.Timeout(eventTimeout), nats.NoReconnect())
	}
	desk := must[*nats.Conn](t)(connect("status-desk", "desk-trial"))
	defer desk.Close()
	billing := must[*nats.Conn](t)(connect("billing", "billing-trial"))
	defer billing.Close()
	if _, err := connect("billing", "desk-trial"); err == nil {
		t.Error("user billing was admitted with a wrong password, want an error")
	}
	sub := must[*nats.Subscription](t)(desk.SubscribeSync("status.>"))
	flush(t, desk)
	billing.Publish("status.paid", []byte("42"))
	if m := must[*nats.Msg](t)(sub.NextMsg(eventTimeout)); string(m.Data) != "42" {
		t.Errorf("got message %q, want 42", m.Data)
	}
}

// TestProcessorRetry: a processor that has had no answer in time repeats its call with the same name,
// on the same connection or another one of its own. Both calls are about one request: there are never
// two attempts in flight.
func TestProcessorRetry(t *testing.T) {
	s := newNATSRig(t, 3)
	first, second := s.connect(nats.CustomInboxPrefix("_dahlia.inbox")), s.connect(nats.CustomInboxPrefix("_dahlia.inbox"))
	call := func(c *nats.Conn, subject, text string) (v processorVerdict) {
		t.Helper()
		m := must[*nats.Msg](t)(c.Request("_dahlia."+subject, []byte(text), eventTimeout))
		if err := json.Unmarshal(m.Data, &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	report := func(c *nats.Conn, v processorVerdict, outcome string) processorVerdict {
		t.Helper()
		return call(c, "report", fmt.Sprintf(`{"id":%d,"try":%d,"outcome":%q}`, v.ID, v.Try, outcome))
	}
	const pickRequest = `{"name":"r1","class":"pay-status","tenant":"water","wait_ms":2900}`
	wantVerdict := func(what string, got, want processorVerdict) {
		t.Helper()
		if got != want {
			t.Errorf("%s: verdict %+v, want %+v", what, got, want)
		}
	}
	v := call(first, "pick", pickRequest)
	repeated := call(first, "pick", pickRequest)
	wantVerdict("pick repeated on the same connection", repeated, v)
	next := report(first, v, "connect_failed")
	if next.Verdict != "send" || next.ID != v.ID || next.Try != 1 {
		t.Fatalf("report connect_failed got verdict %+v, want send of request %d with try 1", next, v.ID)
	}
	onSecond := call(second, "pick", pickRequest)
	wantVerdict("pick repeated on another connection", onSecond, next)
	if late := report(second, v, "ok"); late.Verdict != "unknown" {
		t.Errorf("a report on the previous attempt got verdict %+v, want unknown", late)
	}
	if up := report(second, next, "up"); up.Verdict != "up" {
		t.Errorf("report up got verdict %+v, want up", up)
	}
	if up := call(second, "pick", pickRequest); up.Verdict != "up" || up.ID != next.ID || up.Try != next.Try {
		t.Errorf("pick repeated for an open flow got verdict %+v, want up and the same attempt as %+v", up, next)
	}
	first.Close() // the request belongs to the second connection by now
	if done := report(second, next, "ok"); done.Verdict != "served" {
		t.Errorf("report ok at the flow's end got verdict %+v, want served", done)
	}
	if fresh := call(second, "pick", pickRequest); fresh.Verdict != "send" || fresh.ID == next.ID {
		t.Errorf("pick with the name of a finished request got verdict %+v, want send of a new request", fresh)
	}
	if other := call(second, "pick", strings.Replace(pickRequest, "r1", "r2", 1)); other.Verdict != "send" {
		t.Errorf("pick with another name got verdict %+v, want send", other)
	}
	second.Close()
	s.stop()
	s.checkStored(map[string]int{"served": 1, "left": 2})
}

// TestNATSClientGone: a publication whose client disconnects while it is in flight or waits for another
// attempt is not retried; publications of other clients are not affected.
func TestNATSClientGone(t *testing.T) {
	for name, mode := range map[string]fakes.NodeMode{"in flight at a silent node": fakes.NodeSilent, "refused by a node": fakes.NodeRefuses, "reset by a node": fakes.NodeResets} {
		t.Run(name, func(t *testing.T) {
			k := newCluster(t, 2)
			r := natsRelay(t, k, nil)
			for _, o := range k.Nodes {
				o.SetMode(mode)
			}
			c := r.natsDial()
			c.wantLine("INFO ")
			c.send("CONNECT {}\r\nPUB s 7\r\nleaving")
			published := func() (n int) {
				for _, o := range k.Nodes {
					n += o.Published()
				}
				return n
			}
			waitFor(t, "the first attempt to reach a node", func() bool { return published() > 0 })
			c.Conn.(*net.TCPConn).SetLinger(0)
			c.Close()
			waitFor(t, "the relay to close its connections to the nodes", func() bool {
				return k.Nodes[0].Connections()+k.Nodes[1].Connections() == 0
			})
			before := published()
			for _, o := range k.Nodes {
				o.SetMode(fakes.NodeHealthy)
			}
			other := r.natsDial() // its publication follows everything that was still in progress
			other.wantLine("INFO ")
			other.send("CONNECT {}\r\nPUB s 5\r\nstays\r\nPING")
			other.wantLine("PONG")
			if n := published() - before; n != 1 {
				t.Errorf("the nodes accepted %d publications after the client had left, want only the other client's", n)
			}
			for _, violation := range k.Attempts.Violations() {
				t.Error(violation)
			}
		})
	}
}

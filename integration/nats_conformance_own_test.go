package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nats-io/jwt/v2"
	"github.com/nats-io/nats.go"
	"github.com/nats-io/nkeys"
	"golang.org/x/crypto/bcrypt"

	"dahliarudder/internal/fakes"
)

// nodeClient connects a library client directly to a node, where it acts as a service.
func (s *conformanceRig) nodeClient(t *testing.T) *nats.Conn {
	t.Helper()
	c, err := nats.Connect("nats://"+s.k.Nodes[0].Addr, nats.Timeout(eventTimeout))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// answerRequests subscribes to each subject of answers and answers requests on it with the result of
// its function; an empty result is not sent.
func answerRequests(t *testing.T, c *nats.Conn, answers map[string]func(m *nats.Msg) string) {
	t.Helper()
	for subject, f := range answers {
		must[*nats.Subscription](t)(c.Subscribe(subject, func(m *nats.Msg) {
			if text := f(m); text != "" {
				m.Respond([]byte(text))
			}
		}))
	}
	flush(t, c)
}

func answerText(text string) func(*nats.Msg) string { return func(*nats.Msg) string { return text } }

// jetStream checks that JetStream works through the relay, which does not know JetStream: it passes the
// requests and the reply subjects on.
func jetStream(t *testing.T, s *conformanceRig) {
	server := s.nodeClient(t)
	acks := make(chan string, 10)
	const consumer = `{"type":"io.nats.jetstream.api.v1.consumer_info_response","stream_name":"ORDERS","name":"work","config":{"durable_name":"work","ack_policy":"explicit"},"num_pending":2}`
	answerRequests(t, server, map[string]func(*nats.Msg) string{
		"orders.new":                        answerText(`{"stream":"ORDERS","seq":7}`),
		"$JS.API.STREAM.NAMES":              answerText(`{"type":"io.nats.jetstream.api.v1.stream_names_response","total":1,"offset":0,"limit":1024,"streams":["ORDERS"]}`),
		"$JS.API.CONSUMER.INFO.ORDERS.work": answerText(consumer),
		"$JS.API.CONSUMER.MSG.NEXT.ORDERS.work": func(m *nats.Msg) string {
			for i := range 2 {
				out := nats.NewMsg(m.Reply)
				out.Reply, out.Data = fmt.Sprintf("$JS.ACK.ORDERS.work.1.%d.%d.1700000000000000000.0", i+1, i+1), fmt.Append(nil, "order ", i+1)
				server.PublishMsg(out)
			}
			return ""
		},
		"$JS.ACK.>": func(m *nats.Msg) string { acks <- m.Subject + " " + string(m.Data); return "" },
	})
	js := must[nats.JetStreamContext](t)(s.libraryClient(t).JetStream())
	if ack := must[*nats.PubAck](t)(js.Publish("orders.new", []byte("x"))); ack.Sequence != 7 {
		t.Errorf("JetStream publish acknowledged with %+v, want sequence 7", ack)
	}
	sub := must[*nats.Subscription](t)(js.PullSubscribe("orders.*", "work", nats.Bind("ORDERS", "work")))
	for i, m := range must[[]*nats.Msg](t)(sub.Fetch(2, nats.MaxWait(eventTimeout))) {
		if string(m.Data) != fmt.Sprint("order ", i+1) {
			t.Errorf("message %d = %q, want %q", i, m.Data, fmt.Sprint("order ", i+1))
		}
		if err := m.Ack(); err != nil {
			t.Error(err)
		}
		if got := <-acks; !strings.HasPrefix(got, fmt.Sprintf("$JS.ACK.ORDERS.work.1.%d.", i+1)) || !strings.HasSuffix(got, "+ACK") {
			t.Errorf("acknowledgement of message %d = %q, want +ACK on $JS.ACK.ORDERS.work.1.%d.", i, got, i+1)
		}
	}
}

// keyValue checks a key-value watch, which is an ordered push consumer that delivers to a subject of
// the client.
func keyValue(t *testing.T, s *conformanceRig) {
	server := s.nodeClient(t)
	const stream = `{"type":"io.nats.jetstream.api.v1.stream_info_response","config":{"name":"KV_b","subjects":["$KV.b.>"],"max_msgs_per_subject":1,"allow_direct":true},"state":{"messages":1,"last_seq":1}}`
	create := func(m *nats.Msg) string {
		var q struct {
			Config map[string]any `json:"config"`
		}
		if json.Unmarshal(m.Data, &q) != nil {
			return ""
		}
		config, _ := json.Marshal(q.Config)
		out := nats.NewMsg(fmt.Sprint(q.Config["deliver_subject"]))
		out.Header.Set("Nats-Subject", "$KV.b.rate")
		out.Subject, out.Reply, out.Data = fmt.Sprint(q.Config["deliver_subject"]), "$JS.ACK.KV_b.c.1.1.1.1700000000000000000.0", []byte("12")
		time.AfterFunc(50*time.Millisecond, func() { server.PublishMsg(out) })
		return fmt.Sprintf(`{"type":"io.nats.jetstream.api.v1.consumer_create_response","stream_name":"KV_b","name":"c","config":%s,"num_pending":1}`, config)
	}
	answerRequests(t, server, map[string]func(*nats.Msg) string{
		"$JS.API.STREAM.INFO.KV_b":       answerText(stream),
		"$JS.API.CONSUMER.CREATE.KV_b.>": create,
		"$JS.API.CONSUMER.CREATE.KV_b":   create,
		"$JS.API.CONSUMER.DELETE.>":      answerText(`{"success":true}`),
	})
	c := s.libraryClient(t)
	js := must[nats.JetStreamContext](t)(c.JetStream())
	kv, err := js.KeyValue("b")
	if err != nil {
		t.Fatal(err, c.LastError())
	}
	w := must[nats.KeyWatcher](t)(kv.WatchAll())
	defer w.Stop()
	select {
	case e := <-w.Updates():
		if e == nil || string(e.Value()) != "12" {
			t.Errorf("key-value update = %+v, want value 12", e)
		}
	case <-time.After(eventTimeout):
		t.Errorf("no key-value update within %v", eventTimeout)
	}
}

// ---- Clauses that need a relay of their own ----

// minCostHash returns a bcrypt hash of the least cost, which is quick to compute.
func minCostHash(password string) string {
	h, _ := bcrypt.GenerateFromPassword([]byte(password), bcrypt.MinCost)
	return string(h)
}

// withFront returns a clause test that runs with a relay of its own, to whose NATS front it adds the keys
// of front.
func withFront(front map[string]any, test func(t *testing.T, s *conformanceRig)) func(*testing.T, *conformanceRig) {
	return func(t *testing.T, _ *conformanceRig) { test(t, newConformanceRig(t, front)) }
}

// connectError connects with the library and returns the error, or nil if the relay admits the client.
func (s *conformanceRig) connectError(options ...nats.Option) error {
	c, err := nats.Connect("nats://"+s.addrs["nats"], append(options, nats.Timeout(eventTimeout), nats.NoReconnect())...)
	if err == nil {
		c.Close()
	}
	return err
}

func (s *conformanceRig) wantAdmission(t *testing.T, admitted bool, options ...nats.Option) {
	t.Helper()
	if err := s.connectError(options...); (err == nil) != admitted {
		t.Errorf("nats.Connect: error %v, want admitted: %v", err, admitted)
	}
}

// ownRelayClauses are the clauses that each need a relay of their own.
var ownRelayClauses = []clause{
	{name: "ping interval and stale connections", raw: withFront(map[string]any{"ping_interval_ms": 150, "ping_max": 2}, func(t *testing.T, s *conformanceRig) {
		c := s.rawClient(t, "")
		c.wantLines("PING")
		c.sendLines("PONG")
		c.wantLines("PING", "PING", "-ERR 'Stale Connection'", "EOF")
	})},
	{name: "max_connections", raw: withFront(map[string]any{"max_connections": 2}, func(t *testing.T, s *conformanceRig) {
		s.rawClient(t, "")
		c := s.rawClient(t, "")
		c.sendLines("PING")
		c.wantLines("PONG")
		d := s.natsDial()
		d.wantLine("INFO ")
		d.wantLines("-ERR 'maximum connections exceeded'", "EOF")
	})},
	{name: "a slow consumer is ended, and nobody waits for it", raw: withFront(map[string]any{"slow_after_ms": 300}, func(t *testing.T, s *conformanceRig) {
		slow, quick := s.rawClient(t, ""), s.rawClient(t, "")
		for _, c := range []*client{slow, quick} {
			c.sendLines("SUB flood 1", "PING")
			c.wantLines("PONG")
		}
		const messages = 3000
		p, payload := s.libraryClient(t), make([]byte, 16<<10)
		go func() {
			for range messages {
				p.Publish("flood", payload)
			}
		}()
		for range messages {
			quick.wantLine("MSG flood 1 16384")
			quick.line()
		}
		s.waitLogged("slow consumer")
		for last := ""; ; {
			line := slow.line()
			if line == "EOF" || strings.Contains(line, "reset") {
				if last != "" && last != "-ERR 'Slow Consumer'" && len(last) < 100 {
					t.Errorf("last line before the slow consumer's connection ended = %q, "+
						"want -ERR 'Slow Consumer' or a payload", last)
				}
				return
			}
			last = line
		}
	})},
	{name: "a relay that stops says so (ldm)", lib: withFront(nil, func(t *testing.T, s *conformanceRig) {
		lame := make(chan bool, 1)
		c := s.libraryClient(t, nats.LameDuckModeHandler(func(*nats.Conn) { lame <- true }))
		flush(t, c)
		s.stop()
		select {
		case <-lame:
		case <-time.After(eventTimeout):
			t.Errorf("the client saw no lame duck notice within %v", eventTimeout)
		}
	})},
	{name: "user and password, token", lib: withFront(map[string]any{"auth": map[string]any{"users": []any{
		map[string]any{"user": "ann", "password": minCostHash("one")}, map[string]any{"token": minCostHash("two")}}}}, func(t *testing.T, s *conformanceRig) {
		s.wantAdmission(t, true, nats.UserInfo("ann", "one"))
		s.wantAdmission(t, true, nats.Token("two"))
		s.wantAdmission(t, false, nats.UserInfo("ann", "two"))
		s.wantAdmission(t, false, nats.UserInfo("bob", "one"))
		s.wantAdmission(t, false, nats.Token("one"))
		s.wantAdmission(t, false)
		c := s.natsDial()
		c.wantLine("INFO ")
		c.sendLines(`CONNECT {"user":"ann","pass":"no"}`)
		c.wantLines("-ERR 'Authorization Violation'", "EOF")
	})},
	{name: "NKey challenge", lib: func(t *testing.T, _ *conformanceRig) {
		key, _ := nkeys.CreateUser()
		public, _ := key.PublicKey()
		s := newConformanceRig(t, map[string]any{"auth": map[string]any{"users": []any{map[string]any{"nkey": public}}}})
		s.wantAdmission(t, true, nats.Nkey(public, key.Sign))
		s.wantAdmission(t, false, nats.Nkey(public, func(nonce []byte) ([]byte, error) { return key.Sign(append(nonce, 'x')) }))
		other, _ := nkeys.CreateUser()
		s.wantAdmission(t, false, nats.Nkey(public, other.Sign))
	}},
	{name: "JWT credentials: signature, trust, expiry, permissions", lib: jwtCredentials},
	{name: "permissions to publish and subscribe, allow_responses", raw: withFront(map[string]any{"auth": map[string]any{"users": []any{
		map[string]any{"user": "all", "password": minCostHash("w")},
		map[string]any{"user": "few", "password": minCostHash("w"), "permissions": map[string]any{
			"publish": map[string]any{"allow": []string{"out.>"}, "deny": []string{"out.secret"}}, "allow_responses": map[string]any{"max": 1},
			"subscribe": map[string]any{"allow": []string{"in.>", "work.* crew"}, "deny": []string{"in.secret"}}}}}}}, func(t *testing.T, s *conformanceRig) {
		few, all := s.rawClient(t, `"user":"few","pass":"w"`), s.rawClient(t, `"user":"all","pass":"w"`)
		few.sendLines("PUB out.secret 0", "", "PUB other 0", "", "PUB out.ok 0", "", "SUB other 1", "SUB in.secret 2", "SUB work.a 3", "SUB work.a crew 4", "SUB in.* 5", "PING")
		few.wantLines(`-ERR 'Permissions Violation for Publish to "out.secret"'`, `-ERR 'Permissions Violation for Publish to "other"'`,
			`-ERR 'Permissions Violation for Subscription to "other"'`, `-ERR 'Permissions Violation for Subscription to "in.secret"'`,
			`-ERR 'Permissions Violation for Subscription to "work.a"'`, "PONG")
		all.sendLines("SUB box 1", "PUB in.secret 1", "1", "PUB in.open box 1", "2", "PING")
		// Read PONG before the client few replies: the relay sends PONG only once all links of this client
		// have answered, so that a reply that arrives on one of them could overtake it.
		all.wantLines("PONG")
		few.wantLines("MSG in.open 5 box 1", "2") // the wildcard subscription does not deliver a denied subject
		few.sendLines("PUB box 2", "ok", "PUB box 2", "no", "PING")
		few.wantLines(`-ERR 'Permissions Violation for Publish to "box"'`, "PONG")
		all.wantLines("MSG box 1 2", "ok")
	})},
	{name: "TLS after INFO and handshake first, client certificates", lib: func(t *testing.T, _ *conformanceRig) {
		ca := newAuthority(t)
		cert, key := ca.issue(t, "relay")
		for name, more := range map[string]map[string]any{"after INFO": {}, "first": {"handshake_first": true}, "1.3": {"min_version": "1.3"}} {
			set := map[string]any{"cert": cert, "key": key, "client_ca": ca.file, "verify": true}
			for k, v := range more {
				set[k] = v
			}
			s := newConformanceRig(t, map[string]any{"tls": set})
			clientCert, clientKey := ca.issue(t, "client")
			options := []nats.Option{nats.RootCAs(ca.file), nats.Secure()}
			if name == "first" {
				options = append(options, nats.TLSHandshakeFirst())
			}
			s.wantAdmission(t, false, options...) // without a client certificate
			c := s.libraryClient(t, append(options, nats.ClientCert(clientCert, clientKey))...)
			sub := must[*nats.Subscription](t)(c.SubscribeSync("secret"))
			big := make([]byte, 60000)
			for range 50 {
				c.Publish("secret", big)
			}
			for range 50 {
				if m := must[*nats.Msg](t)(sub.NextMsg(eventTimeout)); len(m.Data) != len(big) {
					t.Fatalf("received a message of %d bytes, want %d", len(m.Data), len(big))
				}
			}
			if name == "after INFO" {
				p := s.natsDial()
				p.wantLine("INFO ")
				p.sendLines("CONNECT {}")
				p.wantLines("-ERR 'Secure Connection - TLS Required'", "EOF")
			}
			c.Close()
			s.stop()
		}
	}},
	{name: "certificates read again on SIGHUP, a bad one refused whole", lib: func(t *testing.T, _ *conformanceRig) {
		ca, next := newAuthority(t), newAuthority(t)
		cert, key := ca.issue(t, "relay")
		s := newConformanceRig(t, map[string]any{"tls": map[string]any{"cert": cert, "key": key}})
		connected := s.libraryClient(t, nats.RootCAs(ca.file))
		writeFile(t, cert, "no certificate")
		s.reload()
		s.waitLogged("the old configuration stays")
		s.wantAdmission(t, true, nats.RootCAs(ca.file))
		cert2, key2 := next.issue(t, "relay")
		for from, to := range map[string]string{cert2: cert, key2: key} {
			text, _ := os.ReadFile(from)
			writeFile(t, to, string(text))
		}
		s.reload()
		waitFor(t, "the relay to use the new certificate", func() bool {
			return s.connectError(nats.RootCAs(next.file)) == nil
		})
		s.wantAdmission(t, false, nats.RootCAs(ca.file))
		flush(t, connected) // the client that connected before stays connected
	}},
	{name: "TLS and the relay's own login at members", lib: func(t *testing.T, _ *conformanceRig) {
		ca := newAuthority(t)
		cert, key := ca.issue(t, "member")
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		k, err := fakes.NewNATSCluster(2)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(k.Close)
		var mu sync.Mutex
		logins := map[string]bool{}
		k.TLS = &tls.Config{Certificates: []tls.Certificate{pair}}
		k.Authorize = func(connect map[string]any) bool {
			mu.Lock()
			defer mu.Unlock()
			logins[fmt.Sprint(connect["user"], connect["pass"], connect["sig"])] = true
			return connect["user"] == "relay" && connect["pass"] == "word"
		}
		s := &conformanceRig{k: k, relay: natsRelay(t, k, map[string]any{"member_tls": map[string]any{"ca": ca.file},
			"member_login": map[string]any{"user": "relay", "password": "word"}, "auth": map[string]any{"users": []any{map[string]any{"user": "ann", "password": minCostHash("one")}}}})}
		c := s.libraryClient(t, nats.UserInfo("ann", "one"))
		sub := must[*nats.Subscription](t)(c.SubscribeSync("by.tls"))
		c.Publish("by.tls", []byte("x"))
		must[*nats.Msg](t)(sub.NextMsg(eventTimeout))
		mu.Lock()
		defer mu.Unlock()
		if len(logins) != 1 || !logins["relayword<nil>"] {
			t.Errorf("the members received the logins %v, want only user relay with password word", logins)
		}
	}},
}

// jwtCredentials checks that user tokens are admitted by signature, issuing account and expiry, and
// that a client loses its connection when its token expires.
func jwtCredentials(t *testing.T, _ *conformanceRig) {
	operator, _ := nkeys.CreateOperator()
	account, _ := nkeys.CreateAccount()
	stranger, _ := nkeys.CreateAccount()
	user, _ := nkeys.CreateUser()
	public := func(k nkeys.KeyPair) string { p, _ := k.PublicKey(); return p }
	issue := func(by nkeys.KeyPair, until time.Duration) string {
		c := jwt.NewUserClaims(public(user))
		c.Permissions.Pub.Allow.Add("mine.>")
		if until != 0 {
			c.Expires = time.Now().Add(until).Unix()
		}
		text, err := c.Encode(by)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	claims := jwt.NewAccountClaims(public(account))
	signed, err := claims.Encode(operator)
	if err != nil {
		t.Fatal(err)
	}
	s := newConformanceRig(t, map[string]any{"auth": map[string]any{"jwt": map[string]any{"operators": []string{public(operator)}, "accounts": []string{signed}}}})
	credentials := func(text string, key nkeys.KeyPair) nats.Option {
		return nats.UserJWT(func() (string, error) { return text, nil }, key.Sign)
	}
	s.wantAdmission(t, true, credentials(issue(account, time.Hour), user))
	s.wantAdmission(t, true, credentials(issue(account, 0), user))
	s.wantAdmission(t, false, credentials(issue(account, -time.Minute), user))
	s.wantAdmission(t, false, credentials(issue(stranger, time.Hour), user))
	other, _ := nkeys.CreateUser()
	s.wantAdmission(t, false, credentials(issue(account, time.Hour), other))
	got := make(chan error, 10)
	c := s.libraryClient(t, credentials(issue(account, 3*time.Second), user), nats.ErrorHandler(func(_ *nats.Conn, _ *nats.Subscription, err error) { got <- err }),
		nats.ClosedHandler(func(c *nats.Conn) { got <- c.LastError() }))
	c.Publish("theirs", nil)
	for _, want := range []string{"Permissions Violation for Publish", "authentication expired"} {
		select {
		case err := <-got:
			if err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(want)) {
				t.Errorf("the library reported the error %v, want one with %q", err, want)
			}
		case <-time.After(eventTimeout):
			t.Errorf("the library reported no error within %v, want one with %q", eventTimeout, want)
		}
	}
}

// authority signs certificates for one test.
type authority struct {
	file string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.file = a.pem(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) pem(t *testing.T, name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	writeFile(t, path, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
	return path
}

// issue writes a certificate for 127.0.0.1 and its key, and returns the paths of both files.
func (a *authority) issue(t *testing.T, name string) (cert, key string) {
	t.Helper()
	k, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, _ := x509.MarshalECPrivateKey(k)
	return a.pem(t, name+".pem", "CERTIFICATE", der), a.pem(t, name+".key", "EC PRIVATE KEY", raw)
}

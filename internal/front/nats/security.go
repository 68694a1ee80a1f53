package nats

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/nats-io/jwt/v2"
	"github.com/nats-io/nkeys"

	"dahliarudder/internal/auth"
)

// ServerTLS is how clients are spoken to.
type ServerTLS struct {
	Cert           string `json:"cert"`
	Key            string `json:"key"`
	ClientCA       string `json:"client_ca"`       // who has signed clients' certificates
	Verify         bool   `json:"verify"`          // clients must show one
	HandshakeFirst bool   `json:"handshake_first"` // before INFO
	Optional       bool   `json:"optional"`        // clients may go without TLS
	MinVersion     string `json:"min_version"`     // "1.2" or "1.3"; 1.2 if empty
}

// MemberTLS is how members are spoken to.
type MemberTLS struct {
	CA             string `json:"ca"` // the system's if empty
	Cert           string `json:"cert"`
	Key            string `json:"key"`
	ServerName     string `json:"server_name"` // the member's address if empty
	HandshakeFirst bool   `json:"handshake_first"`
	MinVersion     string `json:"min_version"`
}

// MemberLogin is the relay's own at members, in the place of each client's.
type MemberLogin struct {
	User            string `json:"user"`
	Password        string `json:"password"`
	Token           string `json:"token"`
	NKeySeedFile    string `json:"nkey_seed_file"`
	CredentialsFile string `json:"credentials_file"` // a user's JWT and seed
}

// Security is what a Config's files hold; it can be read again while the relay runs.
type Security struct {
	server        *tls.Config
	member        *tls.Config
	authenticator *auth.Authenticator // nil where all may enter
	nkey          nkeys.KeyPair
	jwt           string
	authQueue     chan func() // to the workers that check passwords
}

// LoadSecurity reads the files that the configuration names. Errors name the key.
func (c *Config) LoadSecurity() (*Security, error) {
	s := &Security{}
	if t := c.TLS; t != nil {
		cfg, err := loadKeyPair("tls", c.resolvePath(t.Cert), c.resolvePath(t.Key), t.MinVersion, true)
		if err != nil {
			return nil, err
		}
		if cfg.ClientCAs, err = loadCertPool("tls.client_ca", c.resolvePath(t.ClientCA)); err != nil {
			return nil, err
		}
		switch {
		case t.Verify && cfg.ClientCAs == nil:
			return nil, errors.New("tls.verify: needs tls.client_ca")
		case t.Optional && t.HandshakeFirst:
			return nil, errors.New("tls.optional: cannot be with tls.handshake_first")
		case t.Verify:
			cfg.ClientAuth = tls.RequireAndVerifyClientCert
		case cfg.ClientCAs != nil:
			cfg.ClientAuth = tls.VerifyClientCertIfGiven
		}
		s.server = cfg
	}
	if t := c.MemberTLS; t != nil {
		cfg, err := loadKeyPair("member_tls", c.resolvePath(t.Cert), c.resolvePath(t.Key), t.MinVersion, false)
		if err != nil {
			return nil, err
		}
		if cfg.RootCAs, err = loadCertPool("member_tls.ca", c.resolvePath(t.CA)); err != nil {
			return nil, err
		}
		cfg.ServerName = t.ServerName
		s.member = cfg
	}
	if c.Auth != nil {
		book, err := auth.NewAuthenticator(c.Auth)
		if err != nil {
			return nil, fmt.Errorf("auth.%w", err)
		}
		s.authenticator = book
	}
	if c.MemberLogin != nil {
		if err := s.loadLogin(c.MemberLogin, c.resolvePath); err != nil {
			return nil, fmt.Errorf("member_login.%w", err)
		}
	}
	return s, nil
}

// resolvePath is where a path of the configuration leads: one that is not absolute counts from the
// configuration's own file.
func (c *Config) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.Dir, path)
}

// loadKeyPair reads a certificate with its key.
func loadKeyPair(at, cert, key, version string, needed bool) (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	switch version {
	case "", "1.2":
	case "1.3":
		cfg.MinVersion = tls.VersionTLS13
	default:
		return nil, fmt.Errorf("%s.min_version: %q is neither 1.2 nor 1.3", at, version)
	}
	if cert == "" && key == "" && !needed {
		return cfg, nil
	}
	for name, path := range map[string]string{"cert": cert, "key": key} {
		if _, err := os.Stat(path); err != nil {
			return nil, fmt.Errorf("%s.%s: %v", at, name, err)
		}
	}
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("%s.cert: %v", at, err)
	}
	if c.Leaf != nil && time.Now().After(c.Leaf.NotAfter) {
		return nil, fmt.Errorf("%s.cert: has expired on %s", at, c.Leaf.NotAfter.Format(time.DateOnly))
	}
	cfg.Certificates = []tls.Certificate{c}
	return cfg, nil
}

// loadCertPool reads certificates of authorities; nil if path is empty.
func loadCertPool(at, path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %v", at, err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: %s holds no certificate", at, path)
	}
	return p, nil
}

func (s *Security) loadLogin(l *MemberLogin, file func(string) string) error {
	if !auth.ExactlyOne(l.User, l.Token, l.NKeySeedFile, l.CredentialsFile) {
		return errors.New("user: want exactly one of user, token, nkey_seed_file and credentials_file")
	}
	at, path := "nkey_seed_file", l.NKeySeedFile
	if l.CredentialsFile != "" {
		at, path = "credentials_file", l.CredentialsFile
	}
	if path == "" {
		return nil
	}
	path = file(path)
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %v", at, err)
	}
	if l.CredentialsFile != "" {
		if s.jwt, err = jwt.ParseDecoratedJWT(text); err == nil {
			s.nkey, err = jwt.ParseDecoratedNKey(text)
		}
	} else {
		s.nkey, err = nkeys.FromSeed([]byte(strings.TrimSpace(string(text))))
	}
	if err != nil {
		return fmt.Errorf("%s: %s: %v", at, path, err)
	}
	return nil
}

// ---- Clients ----

const (
	// enterers check passwords, each a tenth of a second of work; so many clients may wait for
	// them, and who comes then is refused at once.
	authWorkers   = 2
	authQueueSize = 256
)

// ReloadSecurity takes over what was read again. Who has entered stays.
func (f *Front) ReloadSecurity(s *Security) {
	if f.security != nil && f.security.authQueue != nil {
		close(f.security.authQueue) // its workers end when they are done
	}
	if s.authenticator != nil {
		s.authQueue = make(chan func(), authQueueSize)
		for range authWorkers {
			go func() {
				for check := range s.authQueue {
					check()
				}
			}()
		}
	}
	f.security = s
}

// addSecurityInfo is what INFO says of all this.
func (f *Front) addSecurityInfo(c *client, v map[string]any) {
	if f.security.server != nil {
		v["tls_required"] = !f.TLS.Optional
		if f.TLS.Optional {
			v["tls_available"] = true
		}
		if f.TLS.Verify {
			v["tls_verify"] = true
		}
	}
	if f.security.authenticator != nil {
		v["auth_required"] = true
		if f.security.authenticator.RequiresNonce() {
			if c.nonce == "" {
				var b [16]byte
				rand.Read(b[:])
				c.nonce = base64.RawURLEncoding.EncodeToString(b[:])
			}
			v["nonce"] = c.nonce
		}
	}
}

// checkTLS starts TLS at a client's first byte, or turns away who goes without where it must not. It
// says whether the client's bytes may be read as they are.
func (c *client) checkTLS(first byte) bool {
	c.tlsChecked = true
	const record = 0x16 // the first byte of a TLS handshake
	switch {
	case c.front.security.server == nil || c.conn.IsTLS():
		return true
	case first == record:
		c.conn.PauseReading()
		c.front.Loop.After(0, func() { c.conn.StartTLS(c.front.security.server, false, connectTimeout, func(tls.ConnectionState) {}) })
		return false
	case c.front.TLS.Optional:
		return true
	}
	c.fail("Secure Connection - TLS Required")
	return false
}

// authenticate checks who a client is; then is run once it has entered.
func (c *client) authenticate(connect []byte, then func()) {
	book := c.front.security.authenticator
	if book == nil {
		then()
		return
	}
	claims, err := auth.ParseConnect(connect)
	if err != nil {
		c.fail(errParse.Error())
		return
	}
	decide := func(id *auth.Identity, err error) {
		if c.closed {
			return
		}
		if err != nil {
			c.front.Counts.Denied++
			c.front.Log.WithError(err).WithField("client", c.remote).Info("denied")
			if errors.Is(err, auth.ErrExpired) {
				c.fail("User Authentication Expired")
			} else {
				c.fail("Authorization Violation")
			}
			return
		}
		c.permissions = id.Permissions
		c.replies = auth.NewReplyTracker(id.Permissions)
		if !id.Expires.IsZero() {
			c.expiryTimer = c.front.Loop.After(time.Until(id.Expires), func() { c.fail("User Authentication Expired") })
		}
		then()
	}
	if !book.ChecksPassword(claims) {
		decide(book.Authenticate(claims, c.nonce, time.Now()))
		return
	}
	c.authenticating = true
	work := func() {
		id, err := book.Authenticate(claims, c.nonce, time.Now())
		c.front.Loop.Post(func() {
			c.authenticating = false
			decide(id, err)
			c.scheduleResume()
		})
	}
	select {
	case c.front.security.authQueue <- work:
	default:
		c.fail("Authentication Timeout")
	}
}

// canPublish says whether the client may publish to a subject.
func (c *client) canPublish(subject []byte) bool {
	if c.permissions == nil || c.permissions.CanPublish(string(subject)) {
		return true
	}
	return c.replies.AllowReply(c.front.Loop.RoundStart(), string(subject))
}

// ---- Members ----

// memberTLS is what a member at that address is spoken to with; nil for plain TCP.
func (f *Front) memberTLS(addr string) *tls.Config {
	if f.security.member == nil {
		return nil
	}
	cfg := f.security.member
	if cfg.ServerName == "" {
		cfg = cfg.Clone()
		if at, err := netip.ParseAddrPort(addr); err == nil {
			cfg.ServerName = at.Addr().String()
		}
	}
	return cfg
}

// addCredentials puts the relay's own login into a CONNECT, where one is configured or the client's cannot be
// passed on.
func (f *Front) addCredentials(connect map[string]any, info []byte) error {
	if f.MemberLogin == nil {
		for _, key := range []string{"nkey", "sig", "jwt"} { // answers to the relay's own challenge
			delete(connect, key)
		}
		return nil
	}
	auth.StripCredentials(connect)
	switch {
	case f.security.nkey != nil:
		var said struct {
			Nonce string `json:"nonce"`
		}
		if err := json.Unmarshal(info, &said); err != nil {
			return err
		}
		sig, err := f.security.nkey.Sign([]byte(said.Nonce))
		if err != nil {
			return err
		}
		connect["sig"] = base64.RawURLEncoding.EncodeToString(sig)
		if f.security.jwt != "" {
			connect["jwt"] = f.security.jwt
		} else if connect["nkey"], err = f.security.nkey.PublicKey(); err != nil {
			return err
		}
	case f.MemberLogin.Token != "":
		connect["auth_token"] = f.MemberLogin.Token
	default:
		connect["user"], connect["pass"] = f.MemberLogin.User, f.MemberLogin.Password
	}
	return nil
}

package nats

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/nats-io/jwt/v2"
	"github.com/nats-io/nkeys"

	"dahliarudder/internal/auth"
)

// ServerTLS configures TLS with clients.
type ServerTLS struct {
	Cert           string `json:"cert"`
	Key            string `json:"key"`
	ClientCA       string `json:"client_ca"`       // file of the CA certificates for clients' certificates
	Verify         bool   `json:"verify"`          // clients must present a certificate
	HandshakeFirst bool   `json:"handshake_first"` // the handshake comes before INFO
	Optional       bool   `json:"optional"`        // clients may use plain TCP
	MinVersion     string `json:"min_version"`     // "1.2" or "1.3"; default 1.2
}

// MemberTLS configures TLS with members.
type MemberTLS struct {
	CA             string `json:"ca"` // file of the CA certificates; the system's if empty
	Cert           string `json:"cert"`
	Key            string `json:"key"`
	ServerName     string `json:"server_name"` // the member's address if empty
	HandshakeFirst bool   `json:"handshake_first"`
	MinVersion     string `json:"min_version"`
}

// MemberLogin is the relay's own login at members, in place of each client's.
type MemberLogin struct {
	User            string `json:"user"`
	Password        string `json:"password"`
	Token           string `json:"token"`
	NKeySeedFile    string `json:"nkey_seed_file"`
	CredentialsFile string `json:"credentials_file"` // contains a user's JWT and seed
}

// Security is the content of the files that a Config names. It can be reloaded while the relay runs.
type Security struct {
	server        *tls.Config
	member        *tls.Config
	authenticator *auth.Authenticator // nil: no authentication
	nkey          nkeys.KeyPair
	jwt           string
	authQueue     chan func() // tasks of the workers that check passwords
}

// LoadSecurity reads the files that the configuration names. Errors begin with the key.
func (c *Config) LoadSecurity() (*Security, error) {
	s := &Security{}
	if t := c.TLS; t != nil {
		cfg, ca, err := loadTLS("tls", tlsFiles{c.resolvePath(t.Cert), c.resolvePath(t.Key), c.resolvePath(t.ClientCA)}, "client_ca", t.MinVersion, true)
		if err != nil {
			return nil, err
		}
		cfg.ClientCAs = ca
		switch {
		case t.Verify && cfg.ClientCAs == nil:
			return nil, errors.New("tls.verify: requires tls.client_ca")
		case t.Optional && t.HandshakeFirst:
			return nil, errors.New("tls.optional: cannot be combined with tls.handshake_first")
		case t.Verify:
			cfg.ClientAuth = tls.RequireAndVerifyClientCert
		case cfg.ClientCAs != nil:
			cfg.ClientAuth = tls.VerifyClientCertIfGiven
		}
		s.server = cfg
	}
	if t := c.MemberTLS; t != nil {
		cfg, ca, err := loadTLS("member_tls", tlsFiles{c.resolvePath(t.Cert), c.resolvePath(t.Key), c.resolvePath(t.CA)}, "ca", t.MinVersion, false)
		if err != nil {
			return nil, err
		}
		cfg.RootCAs = ca
		cfg.ServerName = t.ServerName
		s.member = cfg
	}
	if c.Auth != nil {
		authenticator, err := auth.NewAuthenticator(c.Auth)
		if err != nil {
			return nil, fmt.Errorf("auth.%w", err)
		}
		s.authenticator = authenticator
	}
	if c.MemberLogin != nil {
		if err := s.loadLogin(c.MemberLogin, c.resolvePath); err != nil {
			return nil, fmt.Errorf("member_login.%w", err)
		}
	}
	return s, nil
}

// resolvePath resolves a path of the configuration relative to the configuration file.
func (c *Config) resolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.Dir, path)
}

// tlsFiles are the paths of a certificate, its key and the CA certificates; empty if not configured.
type tlsFiles struct{ cert, key, ca string }

// loadTLS loads the files of one TLS section of the configuration. Errors begin with the key.
func loadTLS(section string, files tlsFiles, caKey, minVersion string, required bool) (*tls.Config, *x509.CertPool, error) {
	cfg, err := loadKeyPair(section, files.cert, files.key, minVersion, required)
	if err != nil {
		return nil, nil, err
	}
	ca, err := loadCertPool(section+"."+caKey, files.ca)
	return cfg, ca, err
}

// loadKeyPair loads a certificate with its key. If neither is configured, that is an error only if
// required is set.
func loadKeyPair(section, cert, key, minVersion string, required bool) (*tls.Config, error) {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	switch minVersion {
	case "", "1.2":
	case "1.3":
		cfg.MinVersion = tls.VersionTLS13
	default:
		return nil, fmt.Errorf("%s.min_version: %q is neither 1.2 nor 1.3", section, minVersion)
	}
	if cert == "" && key == "" && !required {
		return cfg, nil
	}
	for keyName, path := range map[string]string{"cert": cert, "key": key} {
		if _, err := os.Stat(path); err != nil {
			return nil, fmt.Errorf("%s.%s: %w", section, keyName, err)
		}
	}
	c, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("%s.cert: %w", section, err)
	}
	if c.Leaf != nil && time.Now().After(c.Leaf.NotAfter) {
		return nil, fmt.Errorf("%s.cert: certificate expired on %s", section, c.Leaf.NotAfter.Format(time.DateOnly))
	}
	cfg.Certificates = []tls.Certificate{c}
	return cfg, nil
}

// loadCertPool loads CA certificates; it returns nil if path is empty.
func loadCertPool(configKey, path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", configKey, err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: %s contains no PEM certificate", configKey, path)
	}
	return p, nil
}

// loadLogin loads the relay's own login at members.
func (s *Security) loadLogin(l *MemberLogin, resolvePath func(string) string) error {
	if !auth.ExactlyOne(l.User, l.Token, l.NKeySeedFile, l.CredentialsFile) {
		return errors.New("user: want exactly one of user, token, nkey_seed_file and credentials_file")
	}
	configKey, path := "nkey_seed_file", l.NKeySeedFile
	if l.CredentialsFile != "" {
		configKey, path = "credentials_file", l.CredentialsFile
	}
	if path == "" {
		return nil
	}
	path = resolvePath(path)
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %w", configKey, err)
	}
	if l.CredentialsFile != "" {
		if s.jwt, err = jwt.ParseDecoratedJWT(text); err == nil {
			s.nkey, err = jwt.ParseDecoratedNKey(text)
		}
	} else {
		s.nkey, err = nkeys.FromSeed([]byte(strings.TrimSpace(string(text))))
	}
	if err != nil {
		return fmt.Errorf("%s: %s: %w", configKey, path, err)
	}
	return nil
}

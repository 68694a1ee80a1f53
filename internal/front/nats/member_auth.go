package nats

import (
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"net/netip"
	"time"

	"dahliarudder/internal/auth"
	"dahliarudder/internal/netloop"
)

// memberTLS is the TLS configuration for a member at that address; nil for plain TCP.
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

// startTLSFirst starts the TLS handshake on a connection to a member if the configuration has it come before INFO.
func (f *Front) startTLSFirst(conn *netloop.Conn, addr string, timeout time.Duration) {
	if cfg := f.memberTLS(addr); cfg != nil && f.MemberTLS.HandshakeFirst {
		conn.StartTLS(cfg, true, timeout, func(tls.ConnectionState) {})
	}
}

// addCredentials puts the relay's own login into a CONNECT if one is configured, and removes those credentials of the
// client's that cannot be forwarded.
func (f *Front) addCredentials(connect map[string]any, info []byte) error {
	if f.MemberLogin == nil {
		for _, key := range []string{"nkey", "sig", "jwt"} { // the client's answers to the relay's challenge
			delete(connect, key)
		}
		return nil
	}
	auth.StripCredentials(connect)
	switch {
	case f.security.nkey != nil:
		var challenge struct {
			Nonce string `json:"nonce"`
		}
		if err := json.Unmarshal(info, &challenge); err != nil {
			return err
		}
		sig, err := f.security.nkey.Sign([]byte(challenge.Nonce))
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

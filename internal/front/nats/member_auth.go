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

// memberTLS returns the TLS configuration for the member at addr, or nil for plain TCP.
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

// startTLSFirst starts the TLS handshake on a connection to a member if it is configured to come
// before INFO.
func (f *Front) startTLSFirst(conn *netloop.Conn, addr string, timeout time.Duration) {
	if cfg := f.memberTLS(addr); cfg != nil && f.MemberTLS.HandshakeFirst {
		conn.StartTLS(cfg, true, timeout, func(tls.ConnectionState) {})
	}
}

// addCredentials replaces the client's credentials in the options of a CONNECT with the relay's own
// login if one is configured. Otherwise it removes only those that cannot be forwarded.
func (f *Front) addCredentials(connect map[string]any, info []byte) error {
	if f.MemberLogin == nil {
		for _, key := range []string{"nkey", "sig", "jwt"} { // they answer the relay's challenge, not the member's
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

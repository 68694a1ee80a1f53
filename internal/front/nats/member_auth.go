package nats

import (
	"crypto/tls"
	"encoding/base64"
	"encoding/json"
	"net/netip"

	"dahliarudder/internal/auth"
)

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

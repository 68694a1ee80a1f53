package auth

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"time"

	"github.com/nats-io/jwt/v2"
	"github.com/nats-io/nkeys"
	"golang.org/x/crypto/bcrypt"
)

// Authenticator decides which clients may log in. It is made from a Config by NewAuthenticator.
type Authenticator struct {
	usersByName map[string]*User
	usersByKey  map[string]*User
	tokenUsers  []*User
	// accounts has an entry for each public key that signs for an account; the value is nil if only the
	// account's public key is configured.
	accounts      map[string]*jwt.AccountClaims
	requiresNonce bool // some users log in by signing a nonce
}

// Credentials are the credentials in a client's CONNECT.
type Credentials struct {
	User      string `json:"user"`
	Pass      string `json:"pass"`
	Token     string `json:"auth_token"`
	NKey      string `json:"nkey"`
	Signature string `json:"sig"`
	JWT       string `json:"jwt"`
}

// ParseConnect decodes the credentials in the JSON of a CONNECT.
func ParseConnect(connect []byte) (*Credentials, error) {
	c := &Credentials{}
	return c, json.Unmarshal(connect, c)
}

// StripCredentials removes the client's credentials from a CONNECT that is sent to a member with
// another login.
func StripCredentials(connect map[string]any) {
	for _, key := range []string{"user", "pass", "auth_token", "nkey", "sig", "jwt"} {
		delete(connect, key)
	}
}

// Identity identifies a client that has logged in.
type Identity struct {
	Name        string
	Permissions *Permissions // nil: everything is allowed
	Expires     time.Time    // zero: never
}

// Errors of Authenticate. Their texts are logged only; the client gets the NATS protocol's texts.
var (
	ErrDenied  = errors.New("unknown user or wrong credentials")
	ErrExpired = errors.New("the JWT of the user or of its account has expired")
	ErrRevoked = errors.New("the account has revoked the JWT of the user")
)

// RequiresNonce reports whether some users log in by signing a nonce, which INFO must then contain.
func (a *Authenticator) RequiresNonce() bool { return a.requiresNonce }

// UsesBcrypt reports whether Authenticate may check a bcrypt hash for these credentials, which takes
// a tenth of a second or more.
func (a *Authenticator) UsesBcrypt(c *Credentials) bool { return c.JWT == "" && c.NKey == "" }

// Authenticate identifies a client by its credentials. It changes nothing and may be called in any
// goroutine.
func (a *Authenticator) Authenticate(c *Credentials, nonce string, now time.Time) (*Identity, error) {
	switch {
	case c.JWT != "":
		return a.authenticateJWT(c, nonce, now)
	case c.NKey != "":
		u := a.usersByKey[c.NKey]
		if u == nil || !verifySignature(u.NKey, c.Signature, nonce) {
			return nil, ErrDenied
		}
		return &Identity{Name: u.NKey, Permissions: u.Permissions}, nil
	case c.User != "":
		return a.authenticateByName(c)
	case c.Token != "":
		for _, u := range a.tokenUsers {
			if bcrypt.CompareHashAndPassword([]byte(u.TokenHash), []byte(c.Token)) == nil {
				return &Identity{Name: "token", Permissions: u.Permissions}, nil
			}
		}
	}
	return nil, ErrDenied
}

func (a *Authenticator) authenticateByName(c *Credentials) (*Identity, error) {
	u := a.usersByName[c.User]
	if u == nil {
		// A hash of another user is checked, so that the time taken does not disclose which users exist.
		for _, other := range a.usersByName {
			bcrypt.CompareHashAndPassword([]byte(other.PassHash), []byte(c.Pass))
			break
		}
		return nil, ErrDenied
	}
	if bcrypt.CompareHashAndPassword([]byte(u.PassHash), []byte(c.Pass)) != nil {
		return nil, ErrDenied
	}
	return &Identity{Name: u.User, Permissions: u.Permissions}, nil
}

// verifySignature reports whether signature is the base64 signature of the nonce by the private key
// that belongs to the public NKey key.
func verifySignature(key, signature, nonce string) bool {
	sig, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		sig, err = base64.StdEncoding.DecodeString(signature)
	}
	public, keyErr := nkeys.FromPublicKey(key)
	return err == nil && keyErr == nil && public.Verify([]byte(nonce), sig) == nil
}

// authenticateJWT identifies a client by a user's JWT, signed with a key of an accepted account, and
// by the user's signature of the nonce. A bearer token needs no signature of the nonce.
func (a *Authenticator) authenticateJWT(c *Credentials, nonce string, now time.Time) (*Identity, error) {
	claims, err := jwt.DecodeUserClaims(c.JWT) // checks the issuer's signature
	if err != nil {
		return nil, ErrDenied
	}
	account, known := a.accounts[claims.Issuer]
	if !known {
		return nil, ErrDenied
	}
	accountKey := claims.Issuer
	if account != nil {
		accountKey = account.Subject
	}
	if claims.IssuerAccount != "" && claims.IssuerAccount != accountKey {
		return nil, ErrDenied // signed with a key that does not belong to the account the JWT names
	}
	expires := claims.Expires
	if account != nil {
		if account.IsClaimRevoked(claims) {
			return nil, ErrRevoked
		}
		if account.Expires > 0 && (expires == 0 || account.Expires < expires) {
			expires = account.Expires
		}
	}
	switch {
	case expires > 0 && expires <= now.Unix():
		return nil, ErrExpired
	case claims.NotBefore > now.Unix():
		return nil, ErrDenied
	case !claims.BearerToken && !verifySignature(claims.Subject, c.Signature, nonce):
		return nil, ErrDenied
	}
	p := &Permissions{Publish: SubjectRules{claims.Pub.Allow, claims.Pub.Deny}, Subscribe: SubjectRules{claims.Sub.Allow, claims.Sub.Deny}}
	if claims.Resp != nil {
		p.Responses = &Responses{Max: claims.Resp.MaxMsgs, ExpiresMS: int(claims.Resp.Expires.Milliseconds())}
	}
	id := &Identity{Name: claims.Subject, Permissions: p}
	if expires > 0 {
		id.Expires = time.Unix(expires, 0)
	}
	return id, nil
}

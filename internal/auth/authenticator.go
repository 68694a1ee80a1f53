package auth

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/nats-io/jwt/v2"
	"github.com/nats-io/nkeys"
	"golang.org/x/crypto/bcrypt"
)

// User is one who may enter: by name and password, by a token, or by a key.
type User struct {
	User        string       `json:"user"`
	Password    string       `json:"password"` // its bcrypt hash
	Token       string       `json:"token"`    // likewise
	NKey        string       `json:"nkey"`     // public
	Permissions *Permissions `json:"permissions"`
}

// JWTTrust is whose JWT credentials are taken.
type JWTTrust struct {
	Operators []string `json:"operators"` // public keys, signing keys among them
	Accounts  []string `json:"accounts"`  // public keys, or JWTs that one of the operators has signed
}

// Config is all who may enter.
type Config struct {
	Users []User    `json:"users"`
	JWT   *JWTTrust `json:"jwt"`
}

// Authenticator is a Config that was read.
type Authenticator struct {
	names    map[string]*User
	tokens   []*User
	keys     map[string]*User
	accounts map[string]*jwt.AccountClaims // by the keys that sign for them; nil where only the key is known
	signed   bool                          // somebody signs a nonce
}

// Credentials is what a client says in CONNECT.
type Credentials struct {
	User      string `json:"user"`
	Pass      string `json:"pass"`
	Token     string `json:"auth_token"`
	NKey      string `json:"nkey"`
	Signature string `json:"sig"`
	JWT       string `json:"jwt"`
}

// ParseConnect reads the claims of a CONNECT.
func ParseConnect(connect []byte) (*Credentials, error) {
	c := &Credentials{}
	return c, json.Unmarshal(connect, c)
}

// StripCredentials takes what proves who a client is out of its CONNECT, for a member that is told another
// login.
func StripCredentials(connect map[string]any) {
	for _, key := range []string{"user", "pass", "auth_token", "nkey", "sig", "jwt"} {
		delete(connect, key)
	}
}

// Identity is who has entered.
type Identity struct {
	Name        string
	Permissions *Permissions // nil for all
	Expires     time.Time    // zero for never
}

// Errors of Enter.
var (
	ErrDenied  = errors.New("not known, or not by that word")
	ErrExpired = errors.New("expired")
	ErrRevoked = errors.New("revoked")
)

// costMost bounds the work that a configured hash may ask for: at 14 one check takes a second.
const costMost = 14

// NewAuthenticator checks a configuration and makes it a Book. Errors name the key.
func NewAuthenticator(c *Config) (*Authenticator, error) {
	b := &Authenticator{names: map[string]*User{}, keys: map[string]*User{}, accounts: map[string]*jwt.AccountClaims{}}
	for i := range c.Users {
		if err := b.user(&c.Users[i]); err != nil {
			return nil, fmt.Errorf("users[%d]%w", i, err)
		}
	}
	if c.JWT != nil {
		b.signed = true
		if err := b.trust(c.JWT); err != nil {
			return nil, fmt.Errorf("jwt.%w", err)
		}
	} else if len(c.Users) == 0 {
		return nil, errors.New("users: nobody could enter")
	}
	return b, nil
}

// ExactlyOne says whether exactly one of these is set.
func ExactlyOne(words ...string) bool {
	n := 0
	for _, w := range words {
		if w != "" {
			n++
		}
	}
	return n == 1
}

func (b *Authenticator) user(u *User) error {
	if !ExactlyOne(u.User, u.Token, u.NKey) {
		return errors.New(": want exactly one of user, token and nkey")
	}
	key, hash := "password", u.Password
	if u.Token != "" {
		key, hash = "token", u.Token
	}
	if u.NKey == "" {
		if n, err := bcrypt.Cost([]byte(hash)); err != nil {
			return fmt.Errorf(".%s: is no bcrypt hash", key)
		} else if n > costMost {
			return fmt.Errorf(".%s: a bcrypt cost of %d is over %d", key, n, costMost)
		}
	}
	switch {
	case u.User != "":
		if b.names[u.User] != nil {
			return fmt.Errorf(".user: %q stands twice", u.User)
		}
		b.names[u.User] = u
	case u.Token != "":
		b.tokens = append(b.tokens, u)
	case !nkeys.IsValidPublicUserKey(u.NKey):
		return errors.New(".nkey: is no public user key")
	case b.keys[u.NKey] != nil:
		return errors.New(".nkey: stands twice")
	default:
		b.keys[u.NKey], b.signed = u, true
	}
	if u.Permissions != nil {
		if err := u.Permissions.check(); err != nil {
			return fmt.Errorf(".permissions.%w", err)
		}
	}
	return nil
}

func (b *Authenticator) trust(t *JWTTrust) error {
	operators := map[string]bool{}
	for i, key := range t.Operators {
		if !nkeys.IsValidPublicOperatorKey(key) {
			return fmt.Errorf("operators[%d]: is no public operator key", i)
		}
		operators[key] = true
	}
	if len(t.Accounts) == 0 {
		return errors.New("accounts: is empty, so that nobody could enter")
	}
	for i, text := range t.Accounts {
		if nkeys.IsValidPublicAccountKey(text) {
			b.accounts[text] = nil
			continue
		}
		claims, err := jwt.DecodeAccountClaims(text)
		if err != nil {
			return fmt.Errorf("accounts[%d]: is neither a public account key nor an account's JWT: %v", i, err)
		}
		if !operators[claims.Issuer] {
			return fmt.Errorf("accounts[%d]: its issuer %s is not among operators", i, claims.Issuer)
		}
		b.accounts[claims.Subject] = claims
		for key := range claims.SigningKeys {
			b.accounts[key] = claims
		}
	}
	return nil
}

// RequiresNonce says whether clients need a nonce to sign.
func (b *Authenticator) RequiresNonce() bool { return b.signed }

// ChecksPassword says whether Enter would check a bcrypt hash.
func (b *Authenticator) ChecksPassword(c *Credentials) bool { return c.JWT == "" && c.NKey == "" }

// Authenticate says who a client is. It changes nothing in the book and may run in any goroutine.
func (b *Authenticator) Authenticate(c *Credentials, nonce string, now time.Time) (*Identity, error) {
	switch {
	case c.JWT != "":
		return b.byJWT(c, nonce, now)
	case c.NKey != "":
		u := b.keys[c.NKey]
		if u == nil || !verify(u.NKey, c.Signature, nonce) {
			return nil, ErrDenied
		}
		return &Identity{Name: u.NKey, Permissions: u.Permissions}, nil
	case c.User != "":
		u := b.names[c.User]
		if u == nil {
			for _, other := range b.names { // as much work, so that the time does not tell who is known
				bcrypt.CompareHashAndPassword([]byte(other.Password), []byte(c.Pass))
				break
			}
			return nil, ErrDenied
		}
		if bcrypt.CompareHashAndPassword([]byte(u.Password), []byte(c.Pass)) != nil {
			return nil, ErrDenied
		}
		return &Identity{Name: u.User, Permissions: u.Permissions}, nil
	case c.Token != "":
		for _, u := range b.tokens {
			if bcrypt.CompareHashAndPassword([]byte(u.Token), []byte(c.Token)) == nil {
				return &Identity{Name: "token", Permissions: u.Permissions}, nil
			}
		}
	}
	return nil, ErrDenied
}

func verify(key, signature, nonce string) bool {
	sig, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		sig, err = base64.StdEncoding.DecodeString(signature)
	}
	public, bad := nkeys.FromPublicKey(key)
	return err == nil && bad == nil && public.Verify([]byte(nonce), sig) == nil
}

// byJWT enters by a user's JWT, which its account has signed, and by the user's signature.
func (b *Authenticator) byJWT(c *Credentials, nonce string, now time.Time) (*Identity, error) {
	claims, err := jwt.DecodeUserClaims(c.JWT) // checks the issuer's signature
	if err != nil {
		return nil, ErrDenied
	}
	account, known := b.accounts[claims.Issuer]
	if !known {
		return nil, ErrDenied
	}
	of := claims.Issuer
	if account != nil {
		of = account.Subject
	}
	if by := claims.IssuerAccount; by != "" && by != of {
		return nil, ErrDenied // signed by a key that is not that account's
	}
	until := claims.Expires
	if account != nil {
		if account.IsClaimRevoked(claims) {
			return nil, ErrRevoked
		}
		if account.Expires > 0 && (until == 0 || account.Expires < until) {
			until = account.Expires
		}
	}
	switch {
	case until > 0 && until <= now.Unix():
		return nil, ErrExpired
	case claims.NotBefore > now.Unix():
		return nil, ErrDenied
	case !claims.BearerToken && !verify(claims.Subject, c.Signature, nonce):
		return nil, ErrDenied
	}
	p := &Permissions{Publish: SubjectRules{claims.Pub.Allow, claims.Pub.Deny}, Subscribe: SubjectRules{claims.Sub.Allow, claims.Sub.Deny}}
	if claims.Resp != nil {
		p.Responses = &Responses{Max: claims.Resp.MaxMsgs, ExpiresMS: int(claims.Resp.Expires.Milliseconds())}
	}
	id := &Identity{Name: claims.Subject, Permissions: p}
	if until > 0 {
		id.Expires = time.Unix(until, 0)
	}
	return id, nil
}

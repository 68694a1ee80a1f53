package auth

import (
	"errors"
	"fmt"

	"github.com/nats-io/jwt/v2"
	"github.com/nats-io/nkeys"
	"golang.org/x/crypto/bcrypt"
)

// User is a user that may log in with a name and password, with a token, or with an NKey.
type User struct {
	User        string       `json:"user"`
	PassHash    string       `json:"password"` // bcrypt hash
	TokenHash   string       `json:"token"`    // bcrypt hash
	NKey        string       `json:"nkey"`     // public key
	Permissions *Permissions `json:"permissions"`
}

// JWTTrust lists the operators and accounts whose JWTs are accepted.
type JWTTrust struct {
	Operators []string `json:"operators"` // public keys, including signing keys
	Accounts  []string `json:"accounts"`  // public keys, or JWTs signed by one of the operators
}

// Config lists the users and accounts that may log in.
type Config struct {
	Users []User    `json:"users"`
	JWT   *JWTTrust `json:"jwt"`
}

// maxBcryptCost limits the cost of a configured hash: at cost 14 one check takes a second.
const maxBcryptCost = 14

// NewAuthenticator validates a configuration. Errors begin with the key that is wrong, relative to
// the configuration's section auth.
func NewAuthenticator(c *Config) (*Authenticator, error) {
	a := &Authenticator{usersByName: map[string]*User{}, usersByKey: map[string]*User{}, accounts: map[string]*jwt.AccountClaims{}}
	for i := range c.Users {
		if err := a.addUser(&c.Users[i]); err != nil {
			return nil, fmt.Errorf("users[%d]%w", i, err)
		}
	}
	if c.JWT != nil {
		a.requiresNonce = true
		if err := a.addTrust(c.JWT); err != nil {
			return nil, fmt.Errorf("jwt.%w", err)
		}
	} else if len(c.Users) == 0 {
		return nil, errors.New("users: is empty and jwt is not set, so no client could log in")
	}
	return a, nil
}

// ExactlyOne reports whether exactly one of the settings is not empty.
func ExactlyOne(settings ...string) bool {
	n := 0
	for _, s := range settings {
		if s != "" {
			n++
		}
	}
	return n == 1
}

func (a *Authenticator) addUser(u *User) error {
	if !ExactlyOne(u.User, u.TokenHash, u.NKey) {
		return errors.New(": want exactly one of user, token and nkey")
	}
	key, hash := "password", u.PassHash
	if u.TokenHash != "" {
		key, hash = "token", u.TokenHash
	}
	if u.NKey == "" {
		if n, err := bcrypt.Cost([]byte(hash)); err != nil {
			return fmt.Errorf(".%s: is not a bcrypt hash", key)
		} else if n > maxBcryptCost {
			return fmt.Errorf(".%s: has a bcrypt cost of %d, want at most %d", key, n, maxBcryptCost)
		}
	}
	switch {
	case u.User != "":
		if a.usersByName[u.User] != nil {
			return fmt.Errorf(".user: %q is configured twice", u.User)
		}
		a.usersByName[u.User] = u
	case u.TokenHash != "":
		a.tokenUsers = append(a.tokenUsers, u)
	case !nkeys.IsValidPublicUserKey(u.NKey):
		return errors.New(".nkey: is not a public user key")
	case a.usersByKey[u.NKey] != nil:
		return errors.New(".nkey: is configured twice")
	default:
		a.usersByKey[u.NKey], a.requiresNonce = u, true
	}
	if u.Permissions != nil {
		if err := u.Permissions.validate(); err != nil {
			return fmt.Errorf(".permissions.%w", err)
		}
	}
	return nil
}

// addTrust adds the accounts whose users may log in with a JWT.
func (a *Authenticator) addTrust(t *JWTTrust) error {
	operators := map[string]bool{}
	for i, key := range t.Operators {
		if !nkeys.IsValidPublicOperatorKey(key) {
			return fmt.Errorf("operators[%d]: is not a public operator key", i)
		}
		operators[key] = true
	}
	if len(t.Accounts) == 0 {
		return errors.New("accounts: is empty, so no client could log in with a JWT")
	}
	for i, text := range t.Accounts {
		if nkeys.IsValidPublicAccountKey(text) {
			a.accounts[text] = nil
			continue
		}
		claims, err := jwt.DecodeAccountClaims(text)
		if err != nil {
			return fmt.Errorf("accounts[%d]: is neither a public account key nor an account's JWT: %w", i, err)
		}
		if !operators[claims.Issuer] {
			return fmt.Errorf("accounts[%d]: the issuer %s of the JWT is not in operators", i, claims.Issuer)
		}
		a.accounts[claims.Subject] = claims
		for key := range claims.SigningKeys {
			a.accounts[key] = claims
		}
	}
	return nil
}

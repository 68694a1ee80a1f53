package auth

import (
	"fmt"
	"testing"
	"time"

	"github.com/nats-io/jwt/v2"
	"github.com/nats-io/nkeys"
)

// TestCovers: a pattern covers a subject if it matches everything that the subject matches.
func TestCovers(t *testing.T) {
	for _, c := range []struct {
		pattern, subject string
		want             bool
	}{
		{"a.b", "a.b", true}, {"a.*", "a.b", true}, {"a.*", "a.*", true}, {"a.*", "a.>", false}, {"a.>", "a.b.c", true}, {"a.>", "a.>", true},
		{"a.>", "a", false}, {">", "a.b", true}, {"a.b", "a.*", false}, {"a", "a.b", false}, {"a.b", "a", false}, {"*.b", "a.b", true}, {"*", ">", false},
	} {
		if Covers(c.pattern, c.subject) != c.want {
			t.Errorf("Covers(%q, %q) = %v, want %v", c.pattern, c.subject, !c.want, c.want)
		}
	}
}

// TestPermissions: denied subjects take precedence over allowed ones, a pattern may name a queue
// group, and messages of a subscription with wildcards are filtered.
func TestPermissions(t *testing.T) {
	p := &Permissions{Publish: SubjectRules{Allow: []string{"a.>"}, Deny: []string{"a.x"}}, Subscribe: SubjectRules{Allow: []string{"s.*", "w crew.*"}, Deny: []string{"s.x"}}}
	got := fmt.Sprint(p.CanPublish("a.b"), p.CanPublish("a.x"), p.CanPublish("b"), " ", p.CanSubscribe("s.a", ""), p.CanSubscribe("s.x", ""), p.CanSubscribe("s.>", ""),
		p.CanSubscribe("w", ""), p.CanSubscribe("w", "crew.1"), " ", p.NeedsFilter("s.*"), p.NeedsFilter("s.a"), p.Denies("s.x"), p.Denies("s.a"))
	if want := "true false false true false false false true true false true false"; got != want {
		t.Errorf("CanPublish, CanSubscribe, NeedsFilter and Denies:\ngot  %s\nwant %s", got, want)
	}
	var none *Permissions
	if !none.CanPublish("x") || !none.CanSubscribe("x", "q") || none.NeedsFilter("*") {
		t.Error("nil permissions restrict the client, want everything allowed")
	}
}

// TestReplyTracker: replies are allowed up to the configured number and time, to at most
// maxPendingReplies of the newest requests.
func TestReplyTracker(t *testing.T) {
	r := NewReplyTracker(&Permissions{Responses: &Responses{Max: 2, ExpiresMS: 1000}})
	r.RecordRequest(0, []byte("box"))
	if !r.AllowReply(1, "box") || !r.AllowReply(2, "box") || r.AllowReply(3, "box") || r.AllowReply(3, "other") {
		t.Error("AllowReply did not allow exactly two replies to one request")
	}
	r.RecordRequest(0, []byte("late"))
	if r.AllowReply(time.Second, "late") {
		t.Error("AllowReply allowed a reply after the request had expired")
	}
	for i := range 3 * maxPendingReplies {
		r.RecordRequest(time.Minute, fmt.Append(nil, i))
	}
	if len(r.pending) > maxPendingReplies || len(r.order) > maxPendingReplies || !r.AllowReply(time.Minute, fmt.Sprint(3*maxPendingReplies-1)) {
		t.Errorf("%d pending requests and %d reply subjects tracked, want at most %d each, with the newest among them",
			len(r.pending), len(r.order), maxPendingReplies)
	}
	if NewReplyTracker(&Permissions{}).AllowReply(0, "x") {
		t.Error("AllowReply allowed a reply without a rule for responses")
	}
}

// TestRevoked: a user's JWT is accepted if the account's key or one of its signing keys signed it,
// and rejected if the signing key belongs to another account than the JWT names, if the account has
// revoked the user, or if the account has expired.
func TestRevoked(t *testing.T) {
	pair := func(k nkeys.KeyPair, err error) (nkeys.KeyPair, string) {
		p, _ := k.PublicKey()
		return k, p
	}
	operator, operatorPublicKey := pair(nkeys.CreateOperator())
	account, accountPublicKey := pair(nkeys.CreateAccount())
	signingKey, signingPublicKey := pair(nkeys.CreateAccount())
	_, user := pair(nkeys.CreateUser())
	now := time.Now()
	logIn := func(change func(*jwt.AccountClaims), signer nkeys.KeyPair, issuerAccount string) error {
		claims := jwt.NewAccountClaims(accountPublicKey)
		claims.SigningKeys.Add(signingPublicKey)
		change(claims)
		text, err := claims.Encode(operator)
		if err != nil {
			t.Fatal(err)
		}
		authenticator, err := NewAuthenticator(&Config{JWT: &JWTTrust{Operators: []string{operatorPublicKey}, Accounts: []string{text}}})
		if err != nil {
			t.Fatal(err)
		}
		u := jwt.NewUserClaims(user)
		u.BearerToken, u.IssuerAccount = true, issuerAccount
		token, err := u.Encode(signer)
		if err != nil {
			t.Fatal(err)
		}
		_, err = authenticator.Authenticate(&Credentials{JWT: token}, "", now)
		return err
	}
	for name, c := range map[string]struct {
		change        func(*jwt.AccountClaims)
		signer        nkeys.KeyPair
		issuerAccount string
		want          error
	}{
		"the account's own key":            {func(*jwt.AccountClaims) {}, account, "", nil},
		"a signing key of the account":     {func(*jwt.AccountClaims) {}, signingKey, accountPublicKey, nil},
		"a JWT that names another account": {func(*jwt.AccountClaims) {}, signingKey, signingPublicKey, ErrDenied},
		"a revoked user":                   {func(a *jwt.AccountClaims) { a.RevokeAt(user, now.Add(time.Hour)) }, account, "", ErrRevoked},
		"an expired account":               {func(a *jwt.AccountClaims) { a.Expires = now.Add(-time.Minute).Unix() }, account, "", ErrExpired},
	} {
		if err := logIn(c.change, c.signer, c.issuerAccount); err != c.want {
			t.Errorf("%s: Authenticate returned %v, want %v", name, err, c.want)
		}
	}
}

package nats

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"time"

	"dahliarudder/internal/auth"
)

const (
	// authWorkers is the number of goroutines that check passwords; a check takes about 0.1 s.
	// Up to authQueueSize clients wait for them, and further ones are rejected at once.
	authWorkers   = 2
	authQueueSize = 256
)

// ReloadSecurity replaces the content of the security files and starts the workers that check
// passwords. Clients that are already authenticated stay connected.
func (f *Front) ReloadSecurity(s *Security) {
	f.stopAuthWorkers()
	if s.authenticator != nil {
		s.authQueue = make(chan func(), authQueueSize)
		for range authWorkers {
			f.authWorkers.Go(func() {
				for check := range s.authQueue {
					check()
				}
			})
		}
	}
	f.security = s
}

// stopAuthWorkers closes the queue of the workers that check passwords. They finish the queued
// checks and exit.
func (f *Front) stopAuthWorkers() {
	if f.security != nil && f.security.authQueue != nil {
		close(f.security.authQueue)
	}
}

// Close stops the goroutines of the front and waits for them. The loop must have ended.
func (f *Front) Close() {
	f.stopAuthWorkers()
	f.authWorkers.Wait()
}

// addSecurityInfo adds the TLS and authentication options to INFO.
func (f *Front) addSecurityInfo(c *client, info map[string]any) {
	if f.security.server != nil {
		info["tls_required"] = !f.TLS.Optional
		if f.TLS.Optional {
			info["tls_available"] = true
		}
		if f.TLS.Verify {
			info["tls_verify"] = true
		}
	}
	if f.security.authenticator != nil {
		info["auth_required"] = true
		if f.security.authenticator.RequiresNonce() {
			if c.nonce == "" {
				var b [16]byte
				rand.Read(b[:])
				c.nonce = base64.RawURLEncoding.EncodeToString(b[:])
			}
			info["nonce"] = c.nonce
		}
	}
}

// checkTLS inspects the first byte of a client. It starts TLS if the byte begins a handshake, and
// rejects the client if it does not although TLS is required. It reports whether the client's bytes
// may be parsed as they are.
func (c *client) checkTLS(first byte) bool {
	c.tlsChecked = true
	const handshakeRecord = 0x16 // the first byte of a TLS handshake
	switch {
	case c.front.security.server == nil || c.conn.IsTLS():
		return true
	case first == handshakeRecord:
		c.conn.PauseReading()
		c.front.Loop.After(0, func() { c.conn.StartTLS(c.front.security.server, false, connectTimeout, func(tls.ConnectionState) {}) })
		return false
	case c.front.TLS.Optional:
		return true
	}
	c.fail(errTLSRequired)
	return false
}

// authenticate checks a client's credentials, on a worker if that takes long, and calls onSuccess if
// they are valid.
func (c *client) authenticate(connect []byte, onSuccess func()) {
	authenticator := c.front.security.authenticator
	if authenticator == nil {
		onSuccess()
		return
	}
	claims, err := auth.ParseConnect(connect)
	if err != nil {
		c.fail(errParse)
		return
	}
	decide := func(id *auth.Identity, err error) {
		if c.closed {
			return
		}
		if err != nil {
			c.front.Counts.Denied++
			c.front.Log.WithError(err).WithField("client", c.remote).Info("client authentication failed")
			if errors.Is(err, auth.ErrExpired) {
				c.fail(errAuthExpired)
			} else {
				c.fail(errAuthorization)
			}
			return
		}
		c.permissions = id.Permissions
		c.replies = auth.NewReplyTracker(id.Permissions)
		if !id.Expires.IsZero() {
			c.expiryTimer = c.front.Loop.After(time.Until(id.Expires), func() { c.abort(errAuthExpired) })
		}
		onSuccess()
	}
	if !authenticator.UsesBcrypt(claims) {
		decide(authenticator.Authenticate(claims, c.nonce, time.Now()))
		return
	}
	c.authenticating = true
	check := func() {
		id, err := authenticator.Authenticate(claims, c.nonce, time.Now())
		c.front.Loop.Post(func() {
			c.authenticating = false
			decide(id, err)
			c.scheduleResume()
		})
	}
	select {
	case c.front.security.authQueue <- check:
	default:
		c.fail(errAuthTimeout)
	}
}

// canPublish reports whether the client may publish to a subject, by its permissions or as a reply
// to a request that it has received. It counts the reply.
func (c *client) canPublish(subject []byte) bool {
	if c.permissions == nil || c.permissions.CanPublish(string(subject)) {
		return true
	}
	return c.replies.AllowReply(c.front.Loop.RoundStart(), string(subject))
}

package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"dahliarudder/internal/gossip"
)

const (
	dialTimeout     = time.Second
	maxCallAttempts = 4 // of one request, if the receiver rejects its epoch or start
)

// errNotSent means that no relay has acted on a request: it was not sent, or the receiver rejected its
// epoch or start without handling its body. The text can reach an operator in the HTTP response to a
// replacement of a voter.
var errNotSent = errors.New("not sent")

// invalidResponseError means that a relay's response has no valid authentication tag or is empty. The text
// can reach an operator in the HTTP response to a replacement of a voter, so it must not change: it ends in
// gossip.ReasonBadTag, not in the text of gossip.ErrBadTag.
type invalidResponseError struct {
	from string
}

func (e invalidResponseError) Error() string {
	return "answer of " + e.from + ": " + gossip.ReasonBadTag
}

func (e invalidResponseError) Unwrap() error { return gossip.ErrBadTag }

// client sends requests to other relays.
type client struct {
	node *Node
	http *http.Client
	mu   sync.Mutex
	// start identifies this process in its requests; see envelope. Its low bits are random: if two
	// relays of one name had the same start, each would use the other's sequence numbers undetected.
	start    uint64
	sequence uint64
	epochs   map[string]uint64 // the receivers' epochs, by name
}

func newClient(n *Node) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{c, &n.bytesIn, &n.bytesOut}, nil
		}}
	return &client{node: n, http: &http.Client{Transport: transport}, start: uint64(time.Now().UnixMilli())<<20 + randomID()>>42, epochs: map[string]uint64{}}
}

// response is an HTTP response whose body is neither read nor verified yet, with the tag and the start
// of its request.
type response struct {
	io.ReadCloser
	tag   []byte
	start uint64
}

// send sends a request. An error that wraps errNotSent means that no relay has acted on it.
func (c *client) send(ctx context.Context, to voter, kind requestKind, body []byte) (*response, error) {
	address := to.address
	if override, ok := c.node.options.DialAddresses[to.name]; ok {
		address = override
	}
	c.mu.Lock()
	c.sequence++
	start := c.start
	sealed, tag := sealRequest(c.node.options.Keys[0], c.epochs[to.name], start, c.sequence, kind, c.node.options.Name, to.name, body)
	c.mu.Unlock()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+endpointPath, bytes.NewReader(sealed))
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	req.Header["User-Agent"] = nil
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected {
			err = errors.Join(errNotSent, err)
		}
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		// The status is not authenticated, so it does not prove that no relay has acted on the request.
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return &response{ReadCloser: resp.Body, tag: tag, start: start}, nil
}

// updateEpochOrStart reports whether a response rejects its request's epoch or start. If so, it adopts
// the values in the response. The request can then be sent again, since its body was not handled.
func (c *client) updateEpochOrStart(name string, requestStart uint64, body []byte) (rejected bool) {
	if len(body) != 9 || body[0] != codeWrongEpoch && body[0] != codeStaleStart {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	value := binary.BigEndian.Uint64(body[1:])
	if body[0] == codeWrongEpoch {
		if len(c.epochs) >= maxSenders {
			clear(c.epochs)
		}
		c.epochs[name] = value
	} else if value >= c.start && requestStart == c.start { // unless c.start was raised in the meantime
		c.start, c.sequence = value+1+randomID()>>42, 0
		c.node.replayGuard.noteOwnRestart(c.node.options.Name)
	}
	return true
}

// call sends a request and returns the verified response, which begins with its code and is not empty.
func (c *client) call(ctx context.Context, to voter, kind requestKind, body []byte) ([]byte, error) {
	for range maxCallAttempts {
		resp, err := c.send(ctx, to, kind, body)
		if err != nil {
			return nil, err
		}
		b, err := io.ReadAll(io.LimitReader(resp, maxSmallRequest))
		resp.Close()
		if err != nil {
			return nil, err
		}
		b, err = verifyResponse(c.node.options.Keys[0], resp.tag, 0, b)
		if err != nil || len(b) == 0 {
			return nil, invalidResponseError{to.name}
		}
		if !c.updateEpochOrStart(to.name, resp.start, b) {
			return b, nil
		}
	}
	return nil, errNotSent
}

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
	maxCallAttempts = 4 // each refused unread, for its epoch or start
)

// errNotSent says that nobody has acted on a request.
var errNotSent = errors.New("not sent")

// client makes requests to other relays.
type client struct {
	node     *Node
	http     *http.Client
	mu       sync.Mutex
	start    uint64 // with random low bits: two relays of one name never have the same, or they would share sequence numbers unnoticed
	sequence uint64
	epochs   map[string]uint64 // of the receivers, by name
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

// response is an unread response, with what its tag covers of the request.
type response struct {
	io.ReadCloser
	tag   []byte
	start uint64
}

// send sends a request. An error that is errNotSent says that nobody has acted on it.
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
		// A status is not sealed, so anyone may have sent it: it does not prove that nobody has acted.
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return &response{ReadCloser: resp.Body, tag: tag, start: start}, nil
}

// updateEpochOrStart takes the epoch or start from a response that refused the request's. The request may then be sent again, since it was not read.
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
	} else if value >= c.start && requestStart == c.start { // otherwise it was raised since
		c.start, c.sequence = value+1+randomID()>>42, 0
		c.node.replayGuard.noteOwnRestart(c.node.options.Name)
	}
	return true
}

// call sends a request and returns the response from its code on; it is not empty.
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
			return nil, fmt.Errorf("answer of %s: %w", to.name, gossip.ErrBadTag)
		}
		if !c.updateEpochOrStart(to.name, resp.start, b) {
			return b, nil
		}
	}
	return nil, errNotSent
}

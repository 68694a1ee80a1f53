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
)

const (
	dialTimeout = time.Second
)

var errNotSent = errors.New("not sent")

// client makes requests to other relays.
type client struct {
	node     *Node
	http     *http.Client
	mu       sync.Mutex
	start    uint64 // with random low bits: two relays of one name never have the same, or they would share numbers unseen
	sequence uint64
	epochs   map[string]uint64 // by name; as many as relays are asked
}

func newClient(n *Node) *client {
	d := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{c, &n.bytesIn, &n.bytesOut}, nil
		}}
	return &client{node: n, http: &http.Client{Transport: t}, start: uint64(time.Now().UnixMilli())<<20 + randomID()>>42, epochs: map[string]uint64{}}
}

// response is a request that was answered; the answer is unread.
type response struct {
	io.ReadCloser
	tag   []byte
	start uint64
}

// forwardCall sends a request. An error that is errNotSent says that nobody acted on it.
func (c *client) send(ctx context.Context, name, addr string, kind byte, body []byte) (*response, error) {
	if reach, ok := c.node.options.DialAddresses[name]; ok {
		addr = reach
	}
	c.mu.Lock()
	c.sequence++
	s := &response{start: c.start}
	b, tag := sealRequest(c.node.options.Keys[0], c.epochs[name], c.start, c.sequence, kind, c.node.options.Name, name, body)
	c.mu.Unlock()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+endpointPath, bytes.NewReader(b))
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
		// Not sealed, so it may be anyone's word: it does not prove that nobody acted.
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	s.ReadCloser, s.tag = resp.Body, tag
	return s, nil
}

// updateFreshness takes an answer that refuses an epoch or a start; the request may then be sent again, since it was not read.
func (c *client) updateFreshness(name string, s *response, answer []byte) bool {
	if len(answer) != 9 || answer[0] != codeWrongEpoch && answer[0] != codeStaleStart {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := binary.BigEndian.Uint64(answer[1:])
	if answer[0] == codeWrongEpoch {
		if len(c.epochs) >= maxSenders {
			clear(c.epochs)
		}
		c.epochs[name] = v
	} else if v >= c.start && s.start == c.start { // else it was raised since
		c.start, c.sequence = v+1+randomID()>>42, 0
		c.node.replayGuard.noteOwnRestart(c.node.options.Name)
	}
	return true
}

// callWithRetry sends a request and returns its answer, from the code on.
func (c *client) call(ctx context.Context, name, addr string, kind byte, body []byte) ([]byte, error) {
	for range 4 {
		s, err := c.send(ctx, name, addr, kind, body)
		if err != nil {
			return nil, err
		}
		b, err := io.ReadAll(io.LimitReader(s, maxSmallRequest))
		s.Close()
		if err != nil {
			return nil, err
		}
		b, err = verifyAnswer(c.node.options.Keys[0], s.tag, 0, b)
		if err != nil || len(b) == 0 {
			return nil, fmt.Errorf("answer of %s: %w", name, errTag)
		}
		if !c.updateFreshness(name, s, b) {
			return b, nil
		}
	}
	return nil, errNotSent
}

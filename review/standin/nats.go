package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// NATS is a small client of the NATS protocol, with request and reply.
type NATS struct {
	conn  net.Conn
	inbox string
	mu    sync.Mutex
	next  int
	reply map[string]chan []byte // by subject
	subs  map[string]chan []byte // by subject
	gone  chan struct{}
}

// ErrTimeout means that a request got no reply in time.
var ErrTimeout = errors.New("no reply in time")

// DialNATS connects and subscribes to replies below the prefix.
func DialNATS(addr, prefix string) (*NATS, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	n := &NATS{conn: conn, inbox: prefix + "." + strconv.FormatInt(time.Now().UnixNano(), 36),
		reply: map[string]chan []byte{}, subs: map[string]chan []byte{}, gone: make(chan struct{})}
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "INFO ") {
		conn.Close()
		return nil, fmt.Errorf("no INFO: %q, %w", line, err)
	}
	fmt.Fprintf(conn, "CONNECT {\"verbose\":false,\"pedantic\":false,\"headers\":true,\"no_responders\":true,\"protocol\":1}\r\nSUB %s.* 1\r\nPING\r\n", n.inbox)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("no PONG: %w", err)
		}
		if line == "PONG\r\n" {
			break
		}
	}
	conn.SetReadDeadline(time.Time{})
	go n.read(in)
	return n, nil
}

func (n *NATS) read(in *bufio.Reader) {
	defer close(n.gone)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		switch {
		case len(fields) == 0:
		case fields[0] == "PING":
			n.write("PONG\r\n")
		case fields[0] == "MSG" || fields[0] == "HMSG":
			size, _ := strconv.Atoi(fields[len(fields)-1])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			n.mu.Lock()
			to := n.reply[fields[1]]
			delete(n.reply, fields[1])
			if to == nil {
				to = n.subs[fields[1]]
			}
			n.mu.Unlock()
			if to != nil {
				to <- body[:size]
			}
		}
	}
}

func (n *NATS) write(text string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, err := io.WriteString(n.conn, text)
	return err
}

// Subscribe subscribes to a subject without wildcards.
func (n *NATS) Subscribe(subject string) (<-chan []byte, error) {
	messages := make(chan []byte, 1024)
	n.mu.Lock()
	n.next++
	sid := n.next + 1
	n.subs[subject] = messages
	n.mu.Unlock()
	return messages, n.write(fmt.Sprintf("SUB %s %d\r\n", subject, sid))
}

// Request publishes on a subject and waits for the reply.
func (n *NATS) Request(subject, body string, atMost time.Duration) ([]byte, error) {
	got := make(chan []byte, 1)
	n.mu.Lock()
	n.next++
	reply := n.inbox + "." + strconv.Itoa(n.next)
	n.reply[reply] = got
	n.mu.Unlock()
	if err := n.write(fmt.Sprintf("PUB %s %s %d\r\n%s\r\n", subject, reply, len(body), body)); err != nil {
		return nil, err
	}
	select {
	case b := <-got:
		return b, nil
	case <-n.gone:
		return nil, io.EOF
	case <-time.After(atMost):
		n.mu.Lock()
		delete(n.reply, reply)
		n.mu.Unlock()
		return nil, ErrTimeout
	}
}

// Gone is closed when the connection has ended.
func (n *NATS) Gone() <-chan struct{} { return n.gone }

// Close ends the connection.
func (n *NATS) Close() { n.conn.Close() }

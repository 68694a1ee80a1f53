package fakes

import (
	"strconv"
	"strings"
	"sync/atomic"
)

// subscription is one subscription of a client.
type subscription struct {
	conn           *natsConn
	id             string // the client's sid
	subject, queue string
	delivered      atomic.Int64
	maxMessages    int // 0: unlimited; guarded by the cluster's lock
}

// noResponders is the message that informs a requester that its subject has no subscription.
const noResponders = "NATS/1.0 503\r\n\r\n"

// sendNoResponders informs a publishing connection that the subject of its request has no
// subscription.
func (k *NATSCluster) sendNoResponders(c *natsConn, reply string) {
	k.mu.RLock()
	var to *subscription
	for _, s := range c.subscriptions {
		if SubjectMatches(s.subject, reply) {
			to = s
		}
	}
	k.mu.RUnlock()
	if to != nil {
		to.send(reply, "", len(noResponders), []byte(noResponders))
	}
}

// addSubscription adds a subscription to those that receive messages. The caller holds the lock.
func (k *NATSCluster) addSubscription(s *subscription) {
	if strings.ContainsAny(s.subject, "*>") {
		k.wild[s] = true
		return
	}
	if k.exact[s.subject] == nil {
		k.exact[s.subject] = map[*subscription]bool{}
	}
	k.exact[s.subject][s] = true
}

// removeSubscription undoes addSubscription. The caller holds the lock.
func (k *NATSCluster) removeSubscription(s *subscription) {
	delete(k.wild, s)
	if m := k.exact[s.subject]; m != nil {
		if delete(m, s); len(m) == 0 {
			delete(k.exact, s.subject)
		}
	}
}

// deliver sends a message to every matching subscription without a queue group and to one of each
// queue group. It returns the number of receivers. A subscriber that reads too slowly blocks only the
// publisher.
func (k *NATSCluster) deliver(from *natsConn, subject, reply string, headerSize int, payload []byte) int {
	var buffer [16]*subscription
	to := buffer[:0]
	var groups map[string][]*subscription
	add := func(s *subscription) {
		switch {
		case s.conn == from && !from.echo:
		case s.queue == "":
			to = append(to, s)
		default:
			if groups == nil {
				groups = map[string][]*subscription{}
			}
			groups[s.queue] = append(groups[s.queue], s)
		}
	}
	k.mu.RLock()
	for s := range k.exact[subject] {
		add(s)
	}
	for s := range k.wild {
		if SubjectMatches(s.subject, subject) {
			add(s)
		}
	}
	for _, g := range groups {
		to = append(to, g[int(k.queueTurn.Add(1))%len(g)])
	}
	k.mu.RUnlock()
	for _, s := range to {
		s.send(subject, reply, headerSize, payload)
	}
	return len(to)
}

// send queues a message for the subscriber. It does nothing if the subscription has already received
// its maximum number of messages, and removes the subscription when that number is reached.
func (s *subscription) send(subject, reply string, headerSize int, payload []byte) {
	c, k := s.conn, s.conn.node.NATSCluster
	delivered := int(s.delivered.Add(1))
	k.mu.RLock()
	limit, truncate := s.maxMessages, c.node.mode == NodeTruncates
	k.mu.RUnlock()
	if limit > 0 && delivered > limit {
		return
	}
	c.enqueue(func(b []byte) []byte {
		start := len(b)
		b = s.appendMessage(b, subject, reply, headerSize, payload)
		if truncate {
			b = b[:start+(len(b)-start)/2]
			c.closed = true
		}
		return b
	})
	if limit > 0 && delivered == limit {
		k.mu.Lock()
		delete(c.subscriptions, s.id)
		k.removeSubscription(s)
		k.mu.Unlock()
	}
}

// appendMessage appends a message in the form MSG, or HMSG if it has a header.
func (s *subscription) appendMessage(b []byte, subject, reply string, headerSize int, payload []byte) []byte {
	if headerSize > 0 {
		b = append(b, "HMSG "...)
	} else {
		b = append(b, "MSG "...)
	}
	b = append(append(append(append(b, subject...), ' '), s.id...), ' ')
	if reply != "" {
		b = append(append(b, reply...), ' ')
	}
	if headerSize > 0 {
		b = append(strconv.AppendInt(b, int64(headerSize), 10), ' ')
	}
	b = append(strconv.AppendInt(b, int64(len(payload)), 10), "\r\n"...)
	return append(append(b, payload...), "\r\n"...)
}

// SubjectMatches reports whether a subscription's pattern matches a subject.
func SubjectMatches(pattern, subject string) bool {
	p, s := strings.Split(pattern, "."), strings.Split(subject, ".")
	for i, t := range p {
		if t == ">" {
			return len(s) > i
		}
		if i >= len(s) || t != "*" && t != s[i] {
			return false
		}
	}
	return len(p) == len(s)
}

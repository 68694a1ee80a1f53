package consensus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

// say puts a word into the ring for the leader.
func (n *Node) say(word []byte) error {
	if len(word) > MaxReportSize {
		return ErrTooLarge
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.said) >= saidMost || n.saidSize+len(word) > saidBytes {
		n.dropped["said"]++
		return ErrQueueFull
	}
	n.said = append(n.said, bytes.Clone(word))
	n.saidSize += len(word)
	return nil
}

// sayThread brings what was said to the leader, once a second. What does not arrive is lost, and counted.
func (n *Node) sayThread() {
	t := time.NewTicker(sayEvery)
	defer t.Stop()
	for {
		select {
		case <-n.quit:
			return
		case <-t.C:
		}
		n.mu.Lock()
		words := n.said
		n.said, n.saidSize = nil, 0
		n.mu.Unlock()
		if len(words) > 0 && !n.bring(words) {
			n.drop("unheard")
		}
	}
}

func (n *Node) bring(words [][]byte) bool {
	if _, here, _ := n.leaderNow(); here {
		n.tell(n.o.Name, n.hear(n.ctx, n.o.Name, words))
		return true
	}
	b := putBytes(put(nil, 0), n.o.Name)
	b = putList(b, words)
	// By the voter whose stream is read, else by the leader: a voter has its way to the leader open.
	list := n.toLeader()
	n.mu.Lock()
	via := n.followed.voter
	n.mu.Unlock()
	for i, m := range list {
		if m.Name == via {
			list[0], list[i] = list[i], list[0]
		}
	}
	for _, m := range list {
		ctx, cancel := context.WithTimeout(n.ctx, passMost)
		a, err := n.caller.ask(ctx, m.Name, m.Addr, kindSay, b)
		cancel()
		if err == nil && a[0] == codeOK {
			r := reader{b: a[1:]}
			leader, answers := r.string(), r.list(len(words))
			if r.end() == nil {
				n.tell(leader, answers)
			}
			return true
		}
		if n.ctx.Err() != nil {
			return false
		}
	}
	return false
}

// hear puts words into the leader's ring, and waits for the answers: not for long, and not if many wait already. The words count in any case.
func (n *Node) hear(ctx context.Context, from string, words [][]byte) (answers [][]byte) {
	back := make(chan []byte, len(words))
	wait := 0
	for _, w := range words {
		select {
		case n.heard <- saidWord{from, w, back}:
			wait++
		default:
			n.drop("heard")
		}
	}
	select {
	case n.await <- struct{}{}:
		defer func() { <-n.await }()
	default:
		n.drop("unanswered")
		return nil
	}
	late := time.NewTimer(awaitFor)
	defer late.Stop()
	for range wait {
		select {
		case a := <-back:
			if len(a) > 0 {
				answers = append(answers, a)
			}
			continue
		case <-late.C:
			n.drop("unanswered")
		case <-ctx.Done():
		case <-n.quit:
		}
		break
	}
	return answers
}

func (n *Node) tell(leader string, answers [][]byte) {
	for _, a := range answers {
		select {
		case n.told <- saidWord{from: leader, word: a}:
		default:
			n.drop("told")
		}
	}
}

func (n *Node) hearSaid(ctx context.Context, body []byte) []byte {
	return n.atLeader(ctx, kindSay, body, func(r reader) []byte {
		from, words := r.string(), r.list(saidMost)
		if err := r.end(); err != nil {
			return refused(err)
		}
		return putList(putBytes([]byte{codeOK}, n.o.Name), n.hear(ctx, from, words))
	})
}

// atLeader has the leader do what a request asks for: here, or by passing it on, once. A body begins with how often that was done.
func (n *Node) atLeader(ctx context.Context, kind byte, body []byte, here func(reader) []byte) []byte {
	r := reader{b: body}
	hops := r.uint()
	m, leads, known := n.leaderNow()
	switch {
	case r.err != nil:
		return refused(r.err)
	case leads:
		return here(r)
	case !known || hops > 0:
		return []byte{codeNoLeader}
	}
	ctx, cancel := context.WithTimeout(ctx, passMost)
	defer cancel()
	b, err := n.caller.ask(ctx, m.Name, m.Addr, kind, append(put(nil, hops+1), r.b...))
	if err != nil {
		return []byte{codeNoLeader}
	}
	return b
}

// replace asks the leader for a change of voters and waits until the record here has it.
func (n *Node) replace(ctx context.Context, old, new, address string) error {
	ctx, cancel := context.WithTimeout(ctx, ProposeTimeout)
	defer cancel()
	var identity uint64
	if old == new {
		identity = n.ap.membersNow().named(old)
		if identity == 0 {
			return errNoVoter
		}
	} else {
		if new == n.o.Name {
			n.mu.Lock()
			identity = n.identity
			n.mu.Unlock()
		} else {
			h, err := n.greet(member{new, address}, 0, 0)
			if err != nil {
				return fmt.Errorf("accord: %s at %s: %w", new, address, err)
			}
			identity = h.identity
		}
		if identity == 0 {
			return fmt.Errorf("accord: %s has no identity yet", new)
		}
	}
	w := wish{old: old, name: new, addr: address, id: identity, ordered: true}
	if err := n.order(ctx, append(put(nil, 0), w.encode()...)); err != nil {
		return err
	}
	for {
		record, _, changed := n.ap.at()
		if m, ok := n.ap.membersNow()[identity]; ok && record != 0 && m == (member{new, address}) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-n.quit:
			return ErrClosed
		}
	}
}

func (n *Node) order(ctx context.Context, body []byte) error {
	for {
		var list []member
		if m, here, ok := n.leaderNow(); here {
			a := n.hearWish(ctx, body)
			if a[0] == codeOK {
				return nil
			}
			return errors.New(string(a[1:]))
		} else if ok {
			list = append(list, m)
		}
		for _, m := range append(list, n.others()...) {
			a, err := n.caller.ask(ctx, m.Name, m.Addr, kindWish, body)
			switch {
			case errors.Is(err, errUnsent):
			case err != nil:
				return ErrOutcomeUnknown
			case a[0] == codeOK:
				return nil
			case a[0] == codeRefused:
				return errors.New(string(a[1:]))
			}
		}
		select {
		case <-ctx.Done():
			return ErrNoQuorum
		case <-n.quit:
			return ErrClosed
		case <-time.After(tryPause):
		}
	}
}

// wish has the leader know that this relay is to be taken in.
func (n *Node) wish(w wish) {
	for _, m := range n.toLeader() {
		ctx, cancel := context.WithTimeout(n.ctx, passMost)
		b, err := n.caller.ask(ctx, m.Name, m.Addr, kindWish, append(put(nil, 0), w.encode()...))
		cancel()
		if err == nil && b[0] == codeOK {
			return
		}
	}
}

// hearWish takes a change of voters at the leader. One that was ordered is refused if it is not allowed now; a newcomer's waits.
func (n *Node) hearWish(ctx context.Context, body []byte) []byte {
	return n.atLeader(ctx, kindWish, body, func(r reader) []byte {
		w := wish{ordered: r.uint() == 1, id: r.uint(), old: r.string(), name: r.string(), addr: r.string()}
		if r.end() != nil || w.id == 0 || w.name == "" {
			return refused(errShort)
		}
		done := make(chan error, 1)
		n.later(func(e *engine) {
			var err error
			if w.ordered {
				_, err = e.c.allowed(w)
			}
			if err == nil {
				e.c.wants(w)
			}
			done <- err
		})
		select {
		case err := <-done:
			if err != nil {
				return refused(err)
			}
			return []byte{codeOK}
		case <-ctx.Done():
		case <-n.quit:
		}
		return []byte{codeNoLeader}
	})
}

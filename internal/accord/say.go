package accord

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

// say puts a word into the ring for the leader.
func (n *Node) say(word []byte) error {
	if len(word) > WordMost {
		return ErrSize
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.said) >= saidMost || n.saidSize+len(word) > saidBytes {
		n.dropped["said"]++
		return ErrFull
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
		ctx, cancel := context.WithTimeout(n.ctx, sayEvery)
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
	r := reader{b: body}
	hops, from, words := r.uint(), r.string(), r.list(saidMost)
	if err := r.end(); err != nil {
		return refused(err)
	}
	m, here, ok := n.leaderNow()
	switch {
	case here:
		return putList(putBytes([]byte{codeOK}, n.o.Name), n.hear(ctx, from, words))
	case !ok || hops > 0:
		return []byte{codeNoLeader}
	}
	ctx, cancel := context.WithTimeout(ctx, sayEvery)
	defer cancel()
	_, n0 := uvarint(body)
	b, err := n.caller.ask(ctx, m.Name, m.Addr, kindSay, append(put(nil, hops+1), body[n0:]...))
	if err != nil {
		return []byte{codeNoLeader}
	}
	return b
}

func uvarint(b []byte) (uint64, int) {
	r := reader{b: b}
	v := r.uint()
	return v, len(b) - len(r.b)
}

// replace asks the leader for a change of voters and waits until the record here has it.
func (n *Node) replace(ctx context.Context, old, new, address string) error {
	ctx, cancel := context.WithTimeout(ctx, ProposeMost)
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
	body := putBytes(putBytes(putBytes(put(nil, 0, identity), old), new), address)
	if err := n.order(ctx, body); err != nil {
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
			return ErrDoubt
		case <-n.quit:
			return ErrClosed
		}
	}
}

func (n *Node) order(ctx context.Context, body []byte) error {
	for {
		var list []member
		if m, here, ok := n.leaderNow(); here {
			a := n.hearOrder(ctx, body)
			if a[0] == codeOK {
				return nil
			}
			return errors.New(string(a[1:]))
		} else if ok {
			list = append(list, m)
		}
		for _, m := range append(list, n.others()...) {
			a, err := n.caller.ask(ctx, m.Name, m.Addr, kindReplace, body)
			switch {
			case errors.Is(err, errUnsent):
			case err != nil:
				return ErrDoubt
			case a[0] == codeOK:
				return nil
			case a[0] == codeRefused:
				return errors.New(string(a[1:]))
			}
		}
		select {
		case <-ctx.Done():
			return ErrNoMajority
		case <-n.quit:
			return ErrClosed
		case <-time.After(tryPause):
		}
	}
}

// hearOrder takes a change of voters at the leader, if it is allowed now, or passes it on.
func (n *Node) hearOrder(ctx context.Context, body []byte) []byte {
	r := reader{b: body}
	hops := r.uint()
	w := wish{ordered: true, id: r.uint(), old: r.string(), name: r.string(), addr: r.string()}
	if err := r.end(); err != nil || w.id == 0 || w.name == "" {
		return refused(errShort)
	}
	m, here, ok := n.leaderNow()
	switch {
	case here:
		done := make(chan error, 1)
		n.later(func(e *engine) {
			_, err := e.c.allowed(w)
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
	case !ok || hops > 0:
		return []byte{codeNoLeader}
	}
	_, n0 := uvarint(body)
	b, err := n.caller.ask(ctx, m.Name, m.Addr, kindReplace, append(put(nil, hops+1), body[n0:]...))
	if err != nil {
		return []byte{codeNoLeader}
	}
	return b
}

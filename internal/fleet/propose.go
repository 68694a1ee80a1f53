package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// callTimeout is how long a call waits for a majority.
const callTimeout = 4 * time.Second

// propose has a command of the rollout's agreed, and waits until this relay's own record has it.
func (s *Service) propose(ctx context.Context, c rollout.Command) (rollout.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.submit(ctx, partRollout, c.Encode())
}

// proposeIntent is the same for what is meant.
func (s *Service) proposeIntent(ctx context.Context, c intentCommand) (rollout.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(c)
	if err != nil {
		return rollout.Result{}, err
	}
	return s.submit(ctx, partIntent, body)
}

func (s *Service) submit(ctx context.Context, part string, body []byte) (rollout.Result, error) {
	text, err := json.Marshal(command{Part: part, At: s.now(), By: s.Name, Body: body})
	if err != nil {
		return rollout.Result{}, err
	}
	answer, index, err := s.node.Propose(ctx, text)
	if err != nil {
		return rollout.Result{}, err
	}
	var a rollout.Result
	if err := json.Unmarshal(answer, &a); err != nil {
		return rollout.Result{}, err
	}
	s.node.WaitApplied(ctx, index) // at another relay it is agreed all the same
	return a, nil
}

// SetEjected has a member taken out, or put back, at all relays. Done is called once, on the loop, when this relay follows it too.
func (s *Service) SetEjected(member string, out bool, done func(error)) {
	go func() {
		c := rollout.Command{Kind: rollout.CommandReinstate, Names: []string{member}}
		if out {
			c.Kind, c.Reason = rollout.CommandEject, "an operator's call"
		}
		a, err := s.propose(context.Background(), c)
		if err == nil && a.Error != "" {
			err = errors.New(a.Error)
		}
		if err != nil {
			s.Post(func() { done(err) })
			return
		}
		s.postDesired(func() { done(nil) })
	}()
}

// ConfirmLeave says on the loop whether this relay's order to leave of that number stands, as of a majority; not sound if there is none to
// ask. What cannot be taken back is asked for right before it is done: this process may have stood still since it was told.
func (s *Service) ConfirmLeave(number uint64, done func(stands, sound bool)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := s.node.Barrier(ctx)
		stands := false
		s.record.read(func(r *rollout.State, _ recordItems) {
			l := r.Orders(s.Name).Leave
			stands = l != nil && l.Number == number && l.StartNumber >= s.Incarnation
		})
		s.Post(func() { done(stands, err == nil) })
	}()
}

// proposeCanary has a command of the canaries agreed.
func (s *Service) proposeCanary(ctx context.Context, c canary.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(command{Part: partCanary, At: s.now(), By: s.Name, Body: c.Encode()})
	if err != nil {
		return err
	}
	answer, index, err := s.node.Propose(ctx, text)
	if err != nil {
		return err
	}
	var a struct{ Error string }
	if err := json.Unmarshal(answer, &a); err != nil {
		return err
	}
	if a.Error != "" {
		return fmt.Errorf("%w: %s", errRejected, a.Error)
	}
	s.node.WaitApplied(ctx, index)
	return nil
}

var errRejected = errors.New("refused")

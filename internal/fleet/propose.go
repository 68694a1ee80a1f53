package fleet

import (
	"context"
	"encoding/json"
	"time"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// callTimeout is how long a call waits for the consensus.
const callTimeout = 4 * time.Second

// rejectedError is the reason why the record rejected a command.
type rejectedError string

func (e rejectedError) Error() string { return string(e) }

// rejection returns the error of a result, nil if the command was accepted.
func rejection(r rollout.Result) error {
	if r.Error == "" {
		return nil
	}
	return rejectedError(r.Error)
}

// propose gets a rollout command committed and waits until this relay's record has applied it. A
// rejection is in the result, not in the error.
func (s *Service) propose(ctx context.Context, c rollout.Command) (rollout.Result, error) {
	return s.submit(ctx, partRollout, c.Encode())
}

// proposeIntent is like propose, for a change of intent.
func (s *Service) proposeIntent(ctx context.Context, c intentCommand) (rollout.Result, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return rollout.Result{}, err
	}
	return s.submit(ctx, partIntent, body)
}

// submit gets a command committed for a part that answers with a rollout.Result, and waits until this
// relay's record has applied it. A rejection is in the result, not in the error.
func (s *Service) submit(ctx context.Context, part string, body []byte) (rollout.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var result rollout.Result
	index, err := s.proposeCommand(ctx, part, body, &result)
	if err != nil {
		return rollout.Result{}, err
	}
	s.node.WaitApplied(ctx, index) // a timeout here is not an error, as the command is committed
	return result, nil
}

// proposeCanary gets a canary command committed. A rejection is a rejectedError.
func (s *Service) proposeCanary(ctx context.Context, c canary.Command) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer struct{ Error string }
	index, err := s.proposeCommand(ctx, partCanary, c.Encode(), &answer)
	if err != nil {
		return err
	}
	if answer.Error != "" {
		return rejectedError("refused: " + answer.Error)
	}
	s.node.WaitApplied(ctx, index)
	return nil
}

// proposeCommand proposes a command and decodes the record's answer. It returns the errors of
// consensus unchanged, as the API sends their text.
func (s *Service) proposeCommand(ctx context.Context, part string, body []byte, answer any) (index uint64, err error) {
	text, err := json.Marshal(command{Part: part, At: s.now(), By: s.Name, Body: body})
	if err != nil {
		return 0, err
	}
	encoded, index, err := s.node.Propose(ctx, text)
	if err != nil {
		return 0, err
	}
	return index, json.Unmarshal(encoded, answer)
}

// SetEjected ejects a member at all relays, or reinstates it. It must be called on the event loop. It
// calls done there once: with nil after this relay has applied the change, or with the error.
func (s *Service) SetEjected(member string, ejected bool, done func(error)) {
	s.run(func() {
		c := rollout.Command{Kind: rollout.CommandReinstate, Names: []string{member}}
		if ejected {
			c.Kind, c.Reason = rollout.CommandEject, "an operator's call"
		}
		result, err := s.propose(s.ctx, c)
		if err == nil {
			err = rejection(result)
		}
		if err != nil {
			s.Post(func() { done(err) })
			return
		}
		s.postDesired(func() { done(nil) })
	})
}

// ConfirmLeave asks a majority whether this relay's order to leave with that number is still in force.
// Leaving cannot be undone, and this process may have been suspended since it received the order. It
// must be called on the event loop and calls done there. Confirmed is false if no majority answered;
// inForce then comes from this relay's copy of the record, which may be outdated.
func (s *Service) ConfirmLeave(number uint64, done func(inForce, confirmed bool)) {
	s.run(func() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		_, err := s.node.Barrier(ctx)
		inForce := false
		s.record.read(func(r *rollout.State, _ recordItems) {
			leave := r.Orders(s.Name).Leave
			inForce = leave != nil && leave.Number == number && leave.StartNumber >= s.Incarnation
		})
		s.Post(func() { done(inForce, err == nil) })
	})
}

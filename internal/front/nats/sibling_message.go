package nats

import "dahliarudder/internal/core"

// SiblingMessage is a message between the processors of the two processes of a hot restart. Exactly one
// field is set.
type SiblingMessage struct {
	Call         *SiblingCall    `json:"call,omitempty"`          // a caller's call on a request that the receiver may have
	Answer       *SiblingAnswer  `json:"answer,omitempty"`        // to a call
	Verdict      *SiblingVerdict `json:"verdict,omitempty"`       // for a caller of the receiver
	ClientEnded  uint64          `json:"client_ended,omitempty"`  // a caller that the receiver may have requests of
	AttemptBegun *SiblingAttempt `json:"attempt_begun,omitempty"` // in flight at the sender
	AttemptOver  []byte          `json:"attempt_over,omitempty"`  // key of a request whose attempt is no longer in flight
}

// SiblingCall is a pick by name or a report by id.
type SiblingCall struct {
	Number  uint64             `json:"number"`
	Client  uint64             `json:"client"` // the caller at the sender
	Reply   string             `json:"reply"`
	Key     []byte             `json:"key,omitempty"` // of a pick; see requestKey
	Control string             `json:"control,omitempty"`
	Login   []byte             `json:"login,omitempty"` // of a report; see client.login
	ID      core.ID            `json:"id,omitempty"`
	Attempt int                `json:"try,omitempty"`
	Outcome string             `json:"outcome,omitempty"`
	Load    map[string]float64 `json:"load,omitempty"`
	Message float64            `json:"message_ms,omitempty"`
}

// SiblingAnswer says whether the sender has the request of a call. If it has, it handles the call, and the
// verdicts follow as messages of their own.
type SiblingAnswer struct {
	Number uint64 `json:"number"`
	Owned  bool   `json:"owned"`
}

// SiblingVerdict is a verdict for a caller of the receiver.
type SiblingVerdict struct {
	Client  uint64 `json:"client"`
	Subject string `json:"subject"`
	Text    []byte `json:"text"` // as sent to the caller
}

// SiblingAttempt is an attempt in flight of a request with a name.
type SiblingAttempt struct {
	Key    []byte  `json:"key"`
	ID     core.ID `json:"id"`
	WaitMS int64   `json:"wait_ms"` // until it times out
}

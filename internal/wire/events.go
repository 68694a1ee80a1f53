package wire

import (
	"fmt"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// This file decodes the records of a batch. A truncated record has no effect; Next reports it.

// decodeEvent decodes one record and passes it to the host. instance is -1 until the batch has
// named one.
func (d *Decoder) decodeEvent(c *cursor, code uint8, instance int, now time.Duration, h Host) error {
	if code == evEndpointList {
		return d.decodeList(c)
	}
	if instance < 0 {
		return fmt.Errorf("%w: event code %d before any instance is named", ErrMalformed, code)
	}
	id := uint16(instance)
	if code == evLaunch {
		return d.decodeLaunch(c, id, now, h)
	}
	b := h.Instance(id)
	if b == nil {
		return fmt.Errorf("%w: event code %d for instance %d, which is not running", ErrMalformed, code, id)
	}
	switch code {
	case evMembers:
		return d.decodeMembers(c, b, now)
	case evRequest:
		decodeRequest(c, b, now)
	case evExisting:
		decodeExisting(c, b, now)
	case evEstablished:
		r := policy.RequestID(c.u64())
		c.skip(1 + 8 + 4)
		if !c.truncated {
			b.Established(now, r)
		}
	case evAttemptEnded:
		return d.decodeOutcome(c, b, id, now)
	case evRequestEnded:
		if r := policy.RequestID(c.u64()); !c.truncated {
			b.RequestEnded(now, r)
		}
	case evTimer:
		if token := c.u64(); !c.truncated {
			b.Timer(now, token)
		}
	case evProbeResult:
		return d.decodeProbeResult(c, b, id, now)
	case evNote:
		decodeNote(c, b, now)
	case evPeer:
		c.skip(4)
		c.bytes(uint32(c.u16()))
	case evStop:
		h.Stop(id)
	default:
		return fmt.Errorf("%w: unknown event code %d", ErrMalformed, code)
	}
	return nil
}

func (d *Decoder) decodeLaunch(c *cursor, id uint16, now time.Duration, h Host) error {
	seed := c.u64()
	text := c.bytes(c.u32())
	if c.truncated {
		return nil
	}
	set, err := settings.Decode(text)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	d.reportNames[id] = set.Report.Names
	h.Launch(id, now, seed, set.Policy())
	return nil
}

func (d *Decoder) decodeMembers(c *cursor, b *policy.Balancer, now time.Duration) error {
	number, kindCode := c.u16(), c.u8()
	c.u32()
	kind, known := listKinds[kindCode]
	if !known || kind != policy.ListFailed && number >= maxLists {
		return fmt.Errorf("%w: invalid list: number %d, kind code %d", ErrMalformed, number, kindCode)
	}
	if c.truncated {
		return nil
	}
	var endpoints []policy.Endpoint
	if kind != policy.ListFailed {
		endpoints = d.endpointLists[number]
	}
	b.UpdateEndpoints(now, kind, endpoints)
	return nil
}

func decodeRequest(c *cursor, b *policy.Balancer, now time.Duration) {
	q := decodedRequest{ID: policy.RequestID(c.u64()), Group: c.u64()}
	q.Deadline = c.ms()
	load := c.f64()
	q.Tenant, q.Class = int(c.u32()), int(c.u8())
	q.setFlags(c.u16(), load)
	q.Key = c.u64()
	if !c.truncated {
		b.Request(now, policy.Request(q))
	}
}

func decodeExisting(c *cursor, b *policy.Balancer, now time.Duration) {
	q := decodedRequest{ID: policy.RequestID(c.u64())}
	q.Class, q.Tenant, q.Key = int(c.u8()), int(c.u32()), c.u64()
	q.Deadline = c.ms()
	load := c.f64()
	q.Group = c.u64()
	q.setFlags(c.u16(), load)
	if member := policy.MemberID(c.u32()); !c.truncated {
		b.AddExisting(now, policy.Request(q), member)
	}
}

func (d *Decoder) decodeProbeResult(c *cursor, b *policy.Balancer, id uint16, now time.Duration) error {
	member := policy.MemberID(c.u32())
	result, err := c.result()
	c.skip(8)
	report := c.report(d.reportNames[id])
	if err == nil && !c.truncated {
		b.ProbeResult(now, member, result, report)
	}
	return err
}

func decodeNote(c *cursor, b *policy.Balancer, now time.Duration) {
	r := policy.RequestID(c.u64())
	c.skip(1 + 4)
	noteKind, value := c.u8(), float64(c.f32())
	if c.truncated {
		return
	}
	switch noteKind {
	case noteLoad:
		b.UpdateLoad(now, r, value/1e6) // sent in millionths
	case noteLatency:
		if latency, ok := settings.ParseMillis(value); ok {
			b.ObserveLatency(now, r, latency)
		}
	}
}

func (d *Decoder) decodeOutcome(c *cursor, b *policy.Balancer, id uint16, now time.Duration) error {
	o := policy.Outcome{ID: policy.RequestID(c.u64())}
	c.skip(8)
	result, err := c.result()
	o.Result = result
	o.Final = c.u8() != 0
	o.Attempt = int(c.u8())
	o.Member = policy.MemberID(c.u32())
	o.Report = c.report(d.reportNames[id])
	if err == nil && !c.truncated {
		b.AttemptEnded(now, o)
	}
	return err
}

// decodeList decodes a numbered endpoint list. Instances refer to it by its number.
func (d *Decoder) decodeList(c *cursor) error {
	number, n := c.u16(), c.u32()
	if c.truncated {
		return nil
	}
	if number >= maxLists {
		return fmt.Errorf("%w: list number %d, must be below %d", ErrMalformed, number, maxLists)
	}
	if uint64(n)*entrySize > uint64(len(c.data)) {
		return fmt.Errorf("%w: %d list entries do not fit in %d bytes", ErrMalformed, n, len(c.data))
	}
	list := make([]policy.Endpoint, n)
	for i := range list {
		e := &list[i]
		e.ID, e.Zone, e.Kind, e.Cell = policy.MemberID(c.u32()), int(c.u8()), int(c.u8()), int(c.u16())
		state, known := memberStates[c.u8()]
		if !known {
			return fmt.Errorf("%w: unknown member state in a list entry", ErrMalformed)
		}
		e.State = state
		e.Weight = float64(c.f32())
		e.Started = c.ms()
	}
	d.endpointLists[number] = list
	return nil
}

// The codes of list kinds, member states and results.
var listKinds = map[uint8]policy.ListKind{
	0: policy.ListFailed, 1: policy.ListDelta, 3: policy.ListFull, 4: policy.ListCached,
}

var memberStates = map[uint8]policy.MemberState{0: policy.Gone, 1: policy.Ready, 2: policy.Draining}

var results = [...]policy.Result{
	0: policy.Error, 1: policy.OK, 2: policy.Full, 3: policy.Timeout,
	4: policy.ConnectFailed, 5: policy.Reset, 6: policy.Cancelled, 7: policy.NotSent,
}

// Flags of a request.
const (
	flagLoadHint  = 1
	flagMidFlow   = 8
	flagReconnect = 16
)

// decodedRequest is a policy.Request whose fields are being decoded.
type decodedRequest policy.Request

// setFlags decodes the flags. The load hint is used only if flagLoadHint is set.
func (q *decodedRequest) setFlags(flags uint16, hint float64) {
	q.MidFlow, q.Reconnect = flags&flagMidFlow != 0, flags&flagReconnect != 0
	if flags&flagLoadHint != 0 {
		q.Load = hint / 1e3 // sent in thousandths
	}
}

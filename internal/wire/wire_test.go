package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// frameBuilder encodes the body of a batch field by field.
type frameBuilder struct{ body []byte }

func (f *frameBuilder) u8(v ...uint8) *frameBuilder { f.body = append(f.body, v...); return f }
func (f *frameBuilder) u16(v uint16) *frameBuilder {
	f.body = binary.LittleEndian.AppendUint16(f.body, v)
	return f
}
func (f *frameBuilder) u32(v uint32) *frameBuilder {
	f.body = binary.LittleEndian.AppendUint32(f.body, v)
	return f
}
func (f *frameBuilder) u64(v uint64) *frameBuilder {
	f.body = binary.LittleEndian.AppendUint64(f.body, v)
	return f
}
func (f *frameBuilder) f64(v float64) *frameBuilder { return f.u64(math.Float64bits(v)) }
func (f *frameBuilder) f32(v float32) *frameBuilder { return f.u32(math.Float32bits(v)) }

// batch returns the header and the body. clock is in milliseconds, and count is the number of
// records.
func (f *frameBuilder) batch(clock float64, count uint32) []byte {
	h := (&frameBuilder{}).u32(uint32(len(f.body))).f64(clock).u32(count)
	return append(h.body, f.body...)
}

// fakeHost runs balancers as command drill does, and stores the seeds and settings of launched
// instances.
type fakeHost struct {
	instances map[uint16]*policy.Balancer
	encoder   *Encoder
	seeds     map[uint16]uint64
	settings  map[uint16]policy.Settings
}

func (h *fakeHost) Launch(inst uint16, _ time.Duration, seed uint64, set policy.Settings) {
	h.seeds[inst], h.settings[inst] = seed, set
	h.instances[inst] = policy.New(set, seed, h.encoder)
	h.instances[inst].Start()
}
func (h *fakeHost) Stop(inst uint16)                      { delete(h.instances, inst) }
func (h *fakeHost) Instance(inst uint16) *policy.Balancer { return h.instances[inst] }

func newFakeHost(out *Encoder) *fakeHost {
	return &fakeHost{instances: map[uint16]*policy.Balancer{}, encoder: out, seeds: map[uint16]uint64{},
		settings: map[uint16]policy.Settings{}}
}

const settingsText = `{"balancers":2,"zone":0,"zones":["a","b"],"tenants":[{"share":1}],"unheard-of":[1],
 "classes":[{"aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all","window-ms":5000}],
 "limits":{"probes":false,"max-attempts":3,"cancel":true},"report":{"names":["outstanding","x0"],"source":"on_probe"},
 "guarantees":{"answer-slack-ms":20,"cold-ms":9000,"cold-from":0.3,"overload-factor":3,"ask-within-ms":10000},
 "extra":{"mode":"proxy","message-aim-ms":[150],"tenant-quota-connections":[40]},"discovery":"automatic"}`

// launch appends the records that launch an instance with an endpoint list of one member.
func (f *frameBuilder) launch(inst uint16, listNumber uint16) *frameBuilder {
	f.u8(evEndpointList).u16(listNumber).u32(1)
	f.u32(0xfeed).u8(0, 0).u16(0).u8(1).f32(1).f64(0)
	f.u8(evInstance).u16(inst).u8(evLaunch).u64(9).u32(uint32(len(settingsText)))
	f.body = append(f.body, settingsText...)
	return f.u8(evMembers).u16(listNumber).u8(4).u32(1)
}

const launchRecords = 4 // records that launch appends

// decodeStream passes a stream to a new decoder. It returns the replies in hexadecimal, and the host.
func decodeStream(stream []byte) (string, *fakeHost, error) {
	var out bytes.Buffer
	enc := NewEncoder(&out)
	host := newFakeHost(enc)
	dec := NewDecoder(bytes.NewReader(stream), enc)
	for {
		if err := dec.Next(host); err == io.EOF {
			return hex.EncodeToString(out.Bytes()), host, nil
		} else if err != nil {
			return hex.EncodeToString(out.Bytes()), host, err
		}
		if err := enc.Flush(); err != nil {
			return "", host, err
		}
	}
}

// TestEmptyBatch checks that the reply to a batch without records has no actions.
func TestEmptyBatch(t *testing.T) {
	got, _, err := decodeStream((&frameBuilder{}).batch(8412.25, 0))
	if err != nil || got != "00000000" {
		t.Errorf("reply to an empty batch = %s, error %v, want 00000000", got, err)
	}
}

// TestEveryEvent decodes each record type once. The request among them must lead to a send to the
// listed member.
func TestEveryEvent(t *testing.T) {
	f := (&frameBuilder{}).launch(3, 15)
	f.u8(evRequest).u64(77).u64(0).f64(3000).f64(12).u32(0).u8(0).u16(1).u64(5)
	f.u8(evExisting).u64(78).u8(0).u32(0).u64(0).f64(0).f64(0).u64(0).u16(0).u32(0xfeed)
	f.u8(evEstablished).u64(77).u8(0).f64(3).u32(0xfeed)
	f.u8(evNote).u64(77).u8(0).u32(0xfeed).u8(noteLoad).f32(4e5)
	f.u8(evNote).u64(77).u8(0).u32(0xfeed).u8(noteLatency).f32(20)
	f.u8(evAttemptEnded).u64(77).f64(9).u8(1, 1, 0).u32(0xfeed).u8(2).f32(3).f32(0.5)
	f.u8(evRequestEnded).u64(99)
	f.u8(evTimer).u64(1)
	f.u8(evProbeResult).u32(0xfeed).u8(1).f64(1).u8(2).f32(3).f32(0.5)
	f.u8(evPeer).u32(4).u16(2).u8(1, 2)
	f.u8(evMembers).u16(0).u8(0).u32(0)
	f.u8(evStop)
	got, host, err := decodeStream(f.batch(1000, launchRecords+12))
	if err != nil {
		t.Fatal(err)
	}
	// Actions of instance 3: a timer for the deadline, and the attempt with a timeout of 0.6 of the
	// time left.
	want := "0d0300" + "04" + "0000000000f09e40"
	if !strings.Contains(got, want) {
		t.Errorf("reply %s lacks the timer %s", got, want)
	}
	if send := "00" + "4d00000000000000" + "0000000000c09240" + "edfe0000"; !strings.Contains(got, send) {
		t.Errorf("reply %s lacks the send %s", got, send)
	}
	if host.seeds[3] != 9 || host.instances[3] != nil {
		t.Errorf("instance 3: seed %d, still running = %v, want 9 and false", host.seeds[3], host.instances[3] != nil)
	}
}

// TestEveryAction encodes each action type, twice for the same instance, which must be named only
// once.
func TestEveryAction(t *testing.T) {
	tests := []struct {
		name   string
		encode func(*Encoder)
		want   string
	}{
		{"send", func(e *Encoder) { e.Send(1, 2, 500*time.Millisecond) }, "00" + "0100000000000000" + "0000000000407f40" + "02000000"},
		{"reject", func(e *Encoder) { e.Reject(1, 0) }, "01" + "0100000000000000" + "0000000000000000"},
		{"fail", func(e *Encoder) { e.Fail(1) }, "02" + "0100000000000000"},
		{"cancel", func(e *Encoder) { e.Cancel(1, 3) }, "03" + "0100000000000000" + "03"},
		{"timer", func(e *Encoder) { e.Timer(500*time.Millisecond, 77) }, "04" + "0000000000407f40" + "4d00000000000000"},
		{"probe", func(e *Encoder) { e.Probe(2) }, "05" + "02000000"},
		{"watch", func(e *Encoder) { e.Watch() }, "0a" + "01"},
		{"migrate", func(e *Encoder) { e.Migrate(1) }, "0c" + "0100000000000000"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			e := NewEncoder(&out)
			e.setInstance(5)
			tt.encode(e)
			e.setInstance(5)
			tt.encode(e)
			if err := e.Flush(); err != nil {
				t.Fatal(err)
			}
			got := hex.EncodeToString(out.Bytes()[4:])
			if want := "0d0500" + tt.want + tt.want; got != want {
				t.Errorf("encoded actions = %s, want %s", got, want)
			}
			if n := binary.LittleEndian.Uint32(out.Bytes()); int(n) != out.Len()-4 {
				t.Errorf("length field of the reply = %d, want %d", n, out.Len()-4)
			}
		})
	}
}

// TestListsReused checks that a list number can be given to another list later in the same batch.
func TestListsReused(t *testing.T) {
	f := (&frameBuilder{}).launch(1, 0)
	f.u8(evEndpointList).u16(0).u32(1)
	f.u32(0xbeef).u8(0, 0).u16(0).u8(1).f32(1).f64(0)
	f.u8(evMembers).u16(0).u8(3).u32(2)
	f.u8(evRequest).u64(7).u64(0).f64(3000).f64(0).u32(0).u8(0).u16(0).u64(0)
	got, _, err := decodeStream(f.batch(1000, launchRecords+3))
	if err != nil || !strings.Contains(got, "efbe0000") || strings.Contains(got, "edfe0000") {
		t.Errorf("reply %s, error %v, want a send to 0xbeef of the new list and none to 0xfeed of the replaced list",
			got, err)
	}
}

// TestRestart checks that a stop and a second launch in one batch give a running instance.
func TestRestart(t *testing.T) {
	f := (&frameBuilder{}).launch(1, 0).u8(evStop).launch(1, 0)
	f.u8(evTimer).u64(1 << 56).u8(evRequestEnded).u64(4)
	if _, host, err := decodeStream(f.batch(1000, 2*launchRecords+3)); err != nil || host.instances[1] == nil {
		t.Errorf("instance after stop and launch = %v, error %v, want a running one", host.instances[1], err)
	}
}

// TestLargeBatch decodes a batch of several megabytes with many instances.
func TestLargeBatch(t *testing.T) {
	f := &frameBuilder{}
	const instances, requests = 300, 200
	for i := range uint16(instances) {
		f.launch(i, i%16)
		for j := range uint64(requests) {
			f.u8(evRequest).u64(uint64(i)<<20 | j).u64(0).f64(3000).f64(0).u32(0).u8(0).u16(0).u64(0)
		}
	}
	got, _, err := decodeStream(f.batch(1000, instances*(launchRecords+requests)))
	if err != nil || len(f.body) < 2<<20 || len(got) < instances*requests*2*20 {
		t.Errorf("batch of %d bytes: reply of %d bytes, error %v, want at least %d and %d bytes",
			len(f.body), len(got)/2, err, 2<<20, instances*requests*20)
	}
}

// TestMalformed checks that decoding an invalid stream returns ErrMalformed, without a panic or a
// huge allocation.
func TestMalformed(t *testing.T) {
	valid := (&frameBuilder{}).launch(1, 0).batch(1000, launchRecords)
	tests := []struct {
		name   string
		stream []byte
	}{
		{"truncated header", valid[:7]},
		{"truncated body", valid[:len(valid)-3]},
		{"huge size", (&frameBuilder{}).u32(math.MaxUint32).f64(1).u32(0).body},
		{"body never sent", (&frameBuilder{}).u32(1 << 29).f64(1).u32(0).body},
		{"more records than bytes", (&frameBuilder{}).u32(4).f64(1).u32(9).u32(0).body},
		{"clock is NaN", (&frameBuilder{}).batch(math.NaN(), 0)},
		{"unknown code", (&frameBuilder{}).launch(1, 0).u8(200).batch(1, launchRecords+1)},
		{"event without instance", (&frameBuilder{}).u8(evTimer).u64(1).batch(1, 1)},
		{"event for an instance that does not run", (&frameBuilder{}).u8(evInstance).u16(1).u8(evTimer).u64(1).batch(1, 2)},
		{"truncated record", (&frameBuilder{}).launch(1, 0).u8(evRequest).u32(1).batch(1, launchRecords+1)},
		{"list larger than the frame", (&frameBuilder{}).u8(evEndpointList).u16(0).u32(math.MaxUint32).batch(1, 1)},
		{"list number out of range", (&frameBuilder{}).u8(evEndpointList).u16(16).u32(0).batch(1, 1)},
		{"unknown member state", (&frameBuilder{}).u8(evEndpointList).u16(0).u32(1).u32(1).u8(0, 0).u16(0).u8(9).f32(1).f64(0).batch(1, 1)},
		{"unknown list kind", (&frameBuilder{}).launch(1, 0).u8(evMembers).u16(0).u8(2).u32(0).batch(1, launchRecords+1)},
		{"unknown result", (&frameBuilder{}).launch(1, 0).u8(evProbeResult).u32(1).u8(8).f64(1).u8(0).batch(1, launchRecords+1)},
		{"bytes left over", (&frameBuilder{}).u8(1, 2, 3).batch(1, 0)},
		{"truncated settings", (&frameBuilder{}).u8(evInstance).u16(1).u8(evLaunch).u64(1).u32(math.MaxUint32).batch(1, 2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, _, err := decodeStream(tt.stream); !errors.Is(err, ErrMalformed) {
				t.Errorf("Next: error %v, want %v", err, ErrMalformed)
			}
		})
	}
}

// FuzzDecoder checks that no stream makes the decoder panic or return an error other than
// ErrMalformed.
func FuzzDecoder(f *testing.F) {
	f.Add((&frameBuilder{}).launch(1, 0).batch(1000, launchRecords))
	f.Add((&frameBuilder{}).launch(1, 0).u8(evRequest).u64(7).u64(0).f64(3000).f64(0).u32(0).u8(0).u16(0).u64(0).batch(1, launchRecords+1))
	f.Fuzz(func(t *testing.T, stream []byte) {
		if _, _, err := decodeStream(stream); err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("Next: error %v, want %v", err, ErrMalformed)
		}
	})
}

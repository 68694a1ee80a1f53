package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a pool member in discovery's list, in the JSON form of discovery's HTTP API.
type Entry struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
}

// List is an answer of discovery: all members if Reset is set, otherwise the members that have
// changed since the generation in the call.
type List struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Lifecycles of a member.
const (
	Serving  = "SERVING"  // takes new flows
	Draining = "DRAINING" // takes no new flows
	Deleted  = "DELETED"  // removed; appears only in lists of changes
)

// Discovery is a fake discovery service with long polling. The exported fields must be set before
// Open.
type Discovery struct {
	// OnDelivered is called, if set, with the entries of each list after the list was written to a
	// reader.
	OnDelivered func(reader string, entries []Entry)
	// OnWritten is called, if set, with the size of each list after the list was written to a reader.
	OnWritten func(reader string, bytes int)
	// OnCall is called, if set, at the start of each call.
	OnCall func(reader string)

	mu               sync.Mutex
	generation       int // generation of the newest change
	members          map[string]Entry
	changedAt        map[string]int // generation of each member's last change
	updated          chan struct{}  // closed and replaced at each update
	down             bool
	answerDelay      time.Duration
	propagationDelay time.Duration
	calls            int
	servers          []*http.Server
}

// NewDiscovery returns a discovery service that lists the given members.
func NewDiscovery(entries ...Entry) *Discovery {
	d := &Discovery{generation: 1, members: map[string]Entry{}, changedAt: map[string]int{}, updated: make(chan struct{})}
	for _, e := range entries {
		d.members[e.ID], d.changedAt[e.ID] = e, 1
	}
	return d
}

// Open opens another address at which discovery serves, and returns it. Reader is the name of the
// relay that uses the address. If addrOf is not nil, it returns the address at which this reader
// reaches a member.
func (d *Discovery) Open(reader string, addrOf func(Entry) string) (string, error) {
	l, err := net.Listen("tcp", Host+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(reader, addrOf, w, r) })}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Close stops serving at all addresses.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Close()
	}
}

// entriesSince returns the members that changed after a generation, or all members if the generation
// is negative. The caller holds the lock.
func (d *Discovery) entriesSince(since int, addrOf func(Entry) string) List {
	out := List{Generation: d.generation, Reset: since < 0, Instances: []Entry{}}
	for id, e := range d.members {
		if d.changedAt[id] <= since || since < 0 && e.Lifecycle == Deleted {
			continue
		}
		if addrOf != nil {
			e.Addr = addrOf(e)
		}
		out.Instances = append(out.Instances, e)
	}
	return out
}

// Snapshot returns the complete list of members, in the form that a relay's configuration contains.
func (d *Discovery) Snapshot(addrOf func(Entry) string) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entriesSince(-1, addrOf)
}

// Put adds or replaces a member, after the propagation delay.
func (d *Discovery) Put(e Entry) {
	d.mu.Lock()
	delay := d.propagationDelay
	d.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { d.publish(e) })
		return
	}
	d.publish(e)
}

func (d *Discovery) publish(e Entry) {
	d.update(func() {
		d.generation++
		d.members[e.ID], d.changedAt[e.ID] = e, d.generation
	})
}

// SetLifecycle changes a member's lifecycle, after the propagation delay.
func (d *Discovery) SetLifecycle(id, lifecycle string) {
	d.mu.Lock()
	e := d.members[id]
	d.mu.Unlock()
	e.Lifecycle = lifecycle
	d.Put(e)
}

// SetDown sets whether all calls fail, waiting long polls included.
func (d *Discovery) SetDown(down bool) { d.update(func() { d.down = down }) }

// SetAnswerDelay sets a delay before each answer.
func (d *Discovery) SetAnswerDelay(delay time.Duration) { d.update(func() { d.answerDelay = delay }) }

// SetPropagationDelay sets the delay from a call of Put or SetLifecycle until the change is listed.
func (d *Discovery) SetPropagationDelay(delay time.Duration) {
	d.update(func() { d.propagationDelay = delay })
}

// Restart simulates a restart of discovery that loses its generations: they begin at 1 again, below
// those that readers have seen.
func (d *Discovery) Restart() {
	d.update(func() {
		d.generation = 1
		for id, e := range d.members {
			if d.changedAt[id] = 1; e.Lifecycle == Deleted {
				delete(d.members, id)
			}
		}
	})
}

// Calls returns how many calls have arrived.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// update calls f with the lock held and wakes the waiting long polls.
func (d *Discovery) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.updated)
	d.updated = make(chan struct{})
}

// serve answers one call. If the reader already has the newest generation, serve waits for a change,
// at most for the time that the call allows.
func (d *Discovery) serve(reader string, addrOf func(Entry) string, w http.ResponseWriter, r *http.Request) {
	if d.OnCall != nil {
		d.OnCall(reader)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	since := -1
	if s := r.URL.Query().Get("since"); s != "" {
		since, _ = strconv.Atoi(s)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	d.waitForChange(since, time.After(time.Duration(wait)*time.Millisecond), r.Context().Done())
	if since > d.generation { // a generation from before a restart: send the complete list
		since = -1
	}
	if delay := d.answerDelay; delay > 0 {
		d.mu.Unlock()
		time.Sleep(delay)
		d.mu.Lock()
	}
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := d.entriesSince(since, addrOf)
	text, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(append(text, '\n')); err != nil {
		return
	}
	if d.OnWritten != nil {
		d.OnWritten(reader, len(text))
	}
	if d.OnDelivered != nil {
		d.OnDelivered(reader, list.Instances)
	}
}

// waitForChange waits until the generation differs from since, discovery is down, the timeout has
// passed or the reader has ended its call. The caller holds the lock, which waitForChange releases
// while it waits.
func (d *Discovery) waitForChange(since int, timeout <-chan time.Time, callEnded <-chan struct{}) {
	for since == d.generation && !d.down {
		updated := d.updated
		d.mu.Unlock()
		stopWaiting := false
		select {
		case <-updated:
		case <-timeout:
			stopWaiting = true
		case <-callEnded:
			stopWaiting = true
		}
		d.mu.Lock()
		if stopWaiting {
			return
		}
	}
}

package fakes

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a pool member in discovery's list.
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

// List is what discovery answers.
type List struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Serving is the lifecycle of a member that takes new flows.
const Serving = "SERVING"

// Deleted is the lifecycle of a member that is gone, among changes only.
const Deleted = "DELETED"

// Discovery is the stand-in for discovery. Its fields are set before it is opened.
type Discovery struct {
	// OnDelivered is called, if set, with each list that a reader has been written.
	OnDelivered func(reader string, entries []Entry)
	// OnWritten is called, if set, with how many bytes of a list a reader has been written.
	OnWritten func(reader string, bytes int)
	// OnCall is called, if set, at the start of each call.
	OnCall func(reader string)

	mu               sync.Mutex
	generation       int // the newest generation
	members          map[string]Entry
	changedAt        map[string]int // when each member changed last
	updated          chan struct{}
	down             bool
	answerDelay      time.Duration
	propagationDelay time.Duration
	calls            int
	servers          []*http.Server
}

// NewDiscovery lists these members.
func NewDiscovery(entries ...Entry) *Discovery {
	d := &Discovery{generation: 1, members: map[string]Entry{}, changedAt: map[string]int{}, updated: make(chan struct{})}
	for _, e := range entries {
		d.members[e.ID], d.changedAt[e.ID] = e, 1
	}
	return d
}

// ConnectionWork has it served at one more address, to a reader of that name. Where is the reader's own address of a member, if
// not nil.
func (d *Discovery) Open(reader string, where func(Entry) string) (string, error) {
	l, err := net.Listen("tcp", Host+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(reader, where, w, r) })}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Close ends it at all its addresses.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Close()
	}
}

func (d *Discovery) entriesSince(since int, where func(Entry) string) List {
	out := List{Generation: d.generation, Reset: since < 0, Instances: []Entry{}}
	for id, e := range d.members {
		if d.changedAt[id] <= since || since < 0 && e.Lifecycle == Deleted {
			continue
		}
		if where != nil {
			e.Addr = where(e)
		}
		out.Instances = append(out.Instances, e)
	}
	return out
}

// Snapshot is the whole list, as a relay's configuration holds it.
func (d *Discovery) Snapshot(where func(Entry) string) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entriesSince(-1, where)
}

// Put lists a member anew, after the lag.
func (d *Discovery) Put(e Entry) {
	d.mu.Lock()
	lag := d.propagationDelay
	d.mu.Unlock()
	if lag > 0 {
		time.AfterFunc(lag, func() { d.publish(e) })
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

// SetMode changes a member's lifecycle, after the lag.
func (d *Discovery) SetLifecycle(id, lifecycle string) {
	d.mu.Lock()
	e := d.members[id]
	d.mu.Unlock()
	e.Lifecycle = lifecycle
	d.Put(e)
}

// SetDown has all calls and watches fail, or again none.
func (d *Discovery) SetDown(down bool) { d.update(func() { d.down = down }) }

// SetAnswerDelay has each answer wait.
func (d *Discovery) SetAnswerDelay(late time.Duration) { d.update(func() { d.answerDelay = late }) }

// SetPropagationDelay is how long after a change it is listed.
func (d *Discovery) SetPropagationDelay(lag time.Duration) {
	d.update(func() { d.propagationDelay = lag })
}

// Restart has it forget its generations: they begin again, below what its readers hold.
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

// Calls is how many have come.
func (d *Discovery) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

func (d *Discovery) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.updated)
	d.updated = make(chan struct{})
}

func (d *Discovery) serve(reader string, where func(Entry) string, w http.ResponseWriter, r *http.Request) {
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
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for since == d.generation && !d.down {
		news := d.updated
		d.mu.Unlock()
		late := false
		select {
		case <-news:
		case <-timer:
			late = true
		case <-r.Context().Done():
			late = true
		}
		d.mu.Lock()
		if late {
			break
		}
	}
	if since > d.generation { // from before a restart: nothing it holds can be told apart
		since = -1
	}
	if late := d.answerDelay; late > 0 {
		d.mu.Unlock()
		time.Sleep(late)
		d.mu.Lock()
	}
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := d.entriesSince(since, where)
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

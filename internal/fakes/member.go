package fakes

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// MemberMode is how a member answers requests.
type MemberMode string

// The modes of a member.
const (
	ModeHealthy      MemberMode = ""       // accepts requests with UP and answers each line at once
	ModeBusy         MemberMode = "busy"   // first lines are answered with BUSY
	ModeErr          MemberMode = "err"    // first lines are answered with ERR
	ModeReset        MemberMode = "reset"  // first lines are answered with a reset
	ModeSilent       MemberMode = "silent" // first lines are not answered
	ModeUnresponsive MemberMode = "mute"   // nothing is answered, health checks and open flows included
)

// Attempt is an attempt that has reached a member.
type Attempt struct {
	ID, Member string
	Via        string // the name for which the address that it used was opened
	From       string // the sender's network address
	Group      string
	Load       float64       // in cores
	Work       time.Duration // processor time for the new connection
	Rejected   bool          // set at the end: the member rejected the attempt, so that the request has not run
}

// Member is a fake pool member that speaks the platform's line protocol. The exported fields must be
// set before Open; all but ID are optional.
type Member struct {
	ID           string
	Capacity     Capacity
	Defect       Defect // of the member's build
	Attempts     *AttemptCounter
	OnAttempt    func(Attempt)                       // called at the start of an attempt
	OnAccept     func(a Attempt, up string)          // called before an UP line is sent
	OnEnd        func(a Attempt, endedByMember bool) // called at the end of an attempt
	OnProbe      func()                              // called at each health check
	OnConnection func(via string)                    // called at each connection

	mu           sync.Mutex
	listeners    []*memberListener
	mode         MemberMode
	flows        map[net.Conn]*flow
	conns        map[net.Conn]bool
	groups       map[string]int // number of flows by group
	load         float64        // of all flows, in cores
	busyUntil    time.Time      // when the member has done the work of all connections so far
	started      time.Time
	report       string // the last load report
	reportedAt   time.Time
	firstLines   []string
	invalidLines []string // first lines that violate the protocol
}

// memberListener is one address of a member. The listener is nil while the member is down.
type memberListener struct {
	via, addr string
	listener  net.Listener
}

// Defect describes how a defective build fails, for some relays or all.
type Defect struct {
	FailureRate float64       // fraction of the first lines that are answered with ERR
	Delay       time.Duration // before each answer to a first line
	Via         []string      // only for connections to addresses opened for these names; empty: for all
}

func (d Defect) appliesTo(via string) bool {
	return (d.FailureRate > 0 || d.Delay > 0) && (len(d.Via) == 0 || slices.Contains(d.Via, via))
}

// NewMember returns a member that is not in slow start.
func NewMember(id string) *Member {
	return &Member{ID: id, flows: map[net.Conn]*flow{}, conns: map[net.Conn]bool{}, groups: map[string]int{}}
}

// Open opens another address at which the member serves, and returns it. Via is the name of the
// relay or client that uses the address.
func (m *Member) Open(via string) (string, error) {
	l := &memberListener{via: via, addr: Host + ":0"}
	if err := m.listen(l); err != nil {
		return "", err
	}
	m.mu.Lock()
	m.listeners = append(m.listeners, l)
	m.mu.Unlock()
	return l.addr, nil
}

func (m *Member) listen(l *memberListener) (err error) {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.listener, l.addr = listener, listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go m.serve(c, l.via)
		}
	}()
	return nil
}

// Addr returns the address that was opened first.
func (m *Member) Addr() string { return m.listeners[0].addr }

// Start simulates the start of a new process of the member: it serves at all its addresses and is in
// slow start.
func (m *Member) Start(now time.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started, m.mode, m.busyUntil, m.reportedAt = now, ModeHealthy, time.Time{}, time.Time{}
	for _, l := range m.listeners {
		if l.listener == nil {
			if err := m.listen(l); err != nil {
				return err
			}
		}
	}
	return nil
}

// Kill simulates a killed process: open connections are reset and new ones refused.
func (m *Member) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.listeners {
		if l.listener != nil {
			l.listener.Close()
			l.listener = nil
		}
	}
	for _, f := range m.flows {
		f.endedByMember = true
	}
	for c := range m.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Down reports whether the member is killed.
func (m *Member) Down() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listeners[0].listener == nil
}

// SetMode sets how the member answers from now on.
func (m *Member) SetMode(mode MemberMode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mode = mode
}

func (m *Member) hasMode(mode MemberMode) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mode == mode
}

// OpenFlows returns how many flows are open.
func (m *Member) OpenFlows() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.flows)
}

// FirstLines returns all first lines received, and those among them that violate the protocol.
func (m *Member) FirstLines() (all, invalid []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.firstLines...), append([]string(nil), m.invalidLines...)
}

// EachConnection calls f with the connection of each flow.
func (m *Member) EachConnection(f func(net.Conn)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.flows {
		f(c)
	}
}

// MoveClients ends all flows with MOVE, as a draining member does.
func (m *Member) MoveClients() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, f := range m.flows {
		f.endedByMember = true
		fmt.Fprint(c, "MOVE\r\n")
		c.(*net.TCPConn).CloseWrite()
	}
}
